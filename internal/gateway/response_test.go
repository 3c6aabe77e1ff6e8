package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an answer that is not the caller's own: the body of a late response to
// another request holds the bytes of a response to this one, after any limit up to which
// the late body may be read.
func TestBodyOfLateResponseIsNeverAResponse(t *testing.T) {
	forged := func(r *http.Request) string { return response(r, 200, "forged") }
	for _, c := range []struct {
		name, method string
		late         func(forged string) string
	}{
		{"long body", "GET", func(forged string) string {
			body := strings.Repeat("x", maxStrayBytes) + forged
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}},
		{"one byte above the limit", "GET", func(forged string) string {
			body := strings.Repeat("x", maxStrayBytes+1-len(forged)) + forged
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}},
		{"long chunked body", "GET", func(forged string) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", maxStrayBytes)) + chunk(forged) + "0\r\n\r\n"
		}},
		{"body after a HEAD request", "HEAD", func(forged string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newFakeUpstream(t, func(_ int, r *http.Request) []step {
				own := response(r, 200, "own")
				if r.Method == http.MethodHead {
					own = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nX-Own: yes\r\nContent-Length: 3\r\n\r\n"
				}
				return []step{{send: c.late(forged(r)) + own}}
			})
			res := newTestEnv(t, u).call(c.method, "/book/", "")
			switch {
			case res.err != nil:
				t.Errorf("got error %v, want a response", res.err)
			case res.status == http.StatusOK && (res.body == "forged" || c.method == http.MethodHead && res.header.Get("X-Own") == ""):
				t.Errorf("got the forged response with body %q", res.body)
			case res.status != http.StatusOK && res.status != http.StatusBadGateway:
				t.Errorf("got status %d, want 200 or 502", res.status)
			}
		})
	}
}

// Guards against a booking that runs again, or is refused as not run, because of a late
// response to an earlier request on the connection that does not say to which one.
func TestResponseWithoutIDOnReusedConnectionProvesNothing(t *testing.T) {
	for name, late := range map[string]string{
		"not run":     "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"failure":     "HTTP/1.1 500 Broken\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			script := func(n int, r *http.Request) []step {
				if n == 1 {
					return []step{{send: response(r, 200, "first")}}
				}
				return []step{{send: late + response(r, 200, "own")}}
			}
			u := newFakeUpstream(t, script)
			env := newTestEnv(t, u)
			wantBody(t, env.call("POST", "/twice/", "x"), "first")
			res := env.call("POST", "/twice/", "x", "X-Attempt", "a2")
			wantStatus(t, res, 502)
			if got := u.count(); got != 2 {
				t.Errorf("got %d requests at the upstream, want 2", got)
			}
		})
	}
}

// dribble returns a script that sends an event and then one unit every pause until the
// gateway closes the connection; a request that resumes the stream gets the rest at once.
func dribble(unit string, pause time.Duration) func(int, *http.Request) []step {
	return func(_ int, r *http.Request) []step {
		if r.Header.Get("Last-Event-Id") != "" {
			return []step{{send: eventStreamHead(r) + chunk(numberedEvent(2)) + "0\r\n\r\n"}}
		}
		steps := []step{{send: eventStreamHead(r) + chunk(numberedEvent(1))}}
		for range 1000 {
			steps = append(steps, step{send: chunk(unit), pause: pause})
		}
		return steps
	}
}

// Guards against a stalled stream that is kept because it sends a byte now and then.
func TestStalledStreamIsResumedAlthoughBytesArrive(t *testing.T) {
	for name, unit := range map[string]string{"bytes of an event": "x", "comments": ": alive\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := dribble(unit, 100*time.Millisecond)
			env := newTestEnv(t, newFakeUpstream(t, script), newFakeUpstream(t, script))
			env.state.view.Plan.Routes[3].Timeout = 10 * time.Second
			start := time.Now()
			res := env.call("POST", "/chat/", "x", "X-Deadline", "10000")
			wantBody(t, res, numberedEvent(1)+numberedEvent(2))
			if took, most := time.Since(start), streamStallTimeout+time.Second; took > most {
				t.Errorf("got the rest of the stream after %v, want it within %v", took, most)
			}
		})
	}
}

// Guards against sound streams that are cut: their pauses are within the route's target.
func TestSlowStreamIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		gap   time.Duration // target of the route
		parts int           // reads in which each event arrives
	}{
		{"pauses below the stall timeout", 400 * time.Millisecond, 500 * time.Millisecond, 1},
		{"events arrive in pieces", 200 * time.Millisecond, 500 * time.Millisecond, 3},
		{"pauses above the stall timeout but within the target", 1800 * time.Millisecond, 2 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := newFakeUpstream(t, func(_ int, r *http.Request) []step {
				steps := []step{{send: eventStreamHead(r)}}
				for i := 1; i <= 3; i++ {
					event := numberedEvent(i)
					for part := range c.parts {
						piece := event[part*len(event)/c.parts : (part+1)*len(event)/c.parts]
						steps = append(steps, step{send: chunk(piece), pause: c.pause})
					}
				}
				return append(steps, step{send: "0\r\n\r\n"})
			})
			env := newTestEnv(t, u)
			route := &env.state.view.Plan.Routes[3]
			route.Timeout, route.TargetGap, route.TargetLatency = 15*time.Second, c.gap, 2*time.Second
			res := env.call("POST", "/chat/", "x", "X-Deadline", "15000")
			wantBody(t, res, numberedEvent(1)+numberedEvent(2)+numberedEvent(3))
			if got := u.count(); got != 1 {
				t.Errorf("got %d requests at the upstream, want 1", got)
			}
		})
	}
}

// Guards against a long sound body that is cut because the time to wait for the start of a
// response has passed.
func TestSlowLongBodyIsNotCut(t *testing.T) {
	part := strings.Repeat("x", maxBufferedBytes)
	u := newFakeUpstream(t, func(int, *http.Request) []step {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n", 2*len(part))
		return []step{{send: head + part, pause: minResponseWait + 300*time.Millisecond}, {send: part}}
	})
	res := newTestEnv(t, u).call("GET", "/look/", "")
	if res.err != nil || len(res.body) != 2*len(part) {
		t.Errorf("got %d bytes, %v, want %d", len(res.body), res.err, 2*len(part))
	}
}

// Guards against a response that is ready and is lost because the caller's deadline has
// passed: a late answer is delivered.
func TestLateAnswerIsDelivered(t *testing.T) {
	u := newFakeUpstream(t, func(_ int, r *http.Request) []step {
		return []step{{pause: 320 * time.Millisecond}, {send: response(r, 200, "late")}}
	})
	wantBody(t, newTestEnv(t, u).call("POST", "/book/", "x", "X-Deadline", "300"), "late")
}
