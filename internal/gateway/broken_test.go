package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// refusalOf returns a response that refuses a request as not run.
func refusalOf(attempt string) string {
	id := ""
	if attempt != "" {
		id = "X-Attempt: " + attempt + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + id + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a client that is told 'not run' for a request that runs, or a request that
// runs twice, because its upstream sends the refusal of an earlier request once more.
func TestRepeatedRefusalIsNotTaken(t *testing.T) {
	for _, c := range []struct {
		name, first, second, repeated string // request IDs
	}{
		{"with the earlier ID", "a1", "a2", "a1"},
		{"without an ID", "a1", "a2", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := func(n int, r *http.Request) []step {
				own := response(r, 200, "own")
				if n == 1 {
					return []step{{send: own}}
				}
				return []step{{send: refusalOf(c.repeated) + own}}
			}
			upstreams := []*fakeUpstream{newFakeUpstream(t, script), newFakeUpstream(t, script)}
			env := newTestEnv(t, upstreams...)
			wantStatus(t, env.call("POST", "/twice/", "x", "X-Attempt", c.first), http.StatusOK)
			before := upstreams[0].count() + upstreams[1].count()
			res := env.call("POST", "/twice/", "x", "X-Attempt", c.second)
			if res.status == http.StatusServiceUnavailable || res.status == http.StatusTooManyRequests {
				t.Errorf("got status %d for a request that ran", res.status)
			}
			if got := upstreams[0].count() + upstreams[1].count() - before; got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}

// Guards against an error of the next upstream in the middle of a stream that broke off, and
// against a stream that then looks complete.
func TestErrorAfterBrokenStreamIsNotForwarded(t *testing.T) {
	head := func(r *http.Request, status string) string {
		return strings.Replace(eventStreamHead(r), "200 OK", status, 1)
	}
	for name, answer := range map[string]func(r *http.Request) string{
		"plain error": func(r *http.Request) string { return response(r, 500, "error text") },
		"error as events": func(r *http.Request) string {
			return head(r, "500 Broken") + chunk("data: error text\n\n") + "0\r\n\r\n"
		},
		"refused as events": func(r *http.Request) string {
			return head(r, "404 Unknown") + chunk("data: error text\n\n") + "0\r\n\r\n"
		},
		"plain answer":            func(r *http.Request) string { return response(r, 200, "error text") },
		"redirect without a body": func(r *http.Request) string { return response(r, 302, "") },
		"other success, as events": func(r *http.Request) string {
			return head(r, "206 Partial") + chunk("data: error text\n\n") + "0\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			script := func(_ int, r *http.Request) []step {
				if r.Header.Get("Last-Event-Id") == "" {
					return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)), reset: true}}
				}
				return []step{{send: answer(r)}}
			}
			res := newTestEnv(t, newFakeUpstream(t, script), newFakeUpstream(t, script)).call("POST", "/chat/", "x")
			if res.err == nil || res.body != numberedEvent(1) && res.body != "" {
				t.Errorf("got body %q, %v, want the first event and a broken connection", res.body, res.err)
			}
		})
	}
}

// Guards against a response whose head was cut and that reaches the client as whole.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, path := range map[string]string{"booking": "/book/", "stream": "/draft/"} {
		t.Run(name, func(t *testing.T) {
			cut := 1
			u := newFakeUpstream(t, func(_ int, r *http.Request) []step {
				full := response(r, 200, "whole")
				if path == "/draft/" {
					full = eventStreamHead(r)
				}
				return []step{{send: full[:min(cut, strings.Index(full, "\r\n\r\n")+3)], close: true}}
			})
			env := newTestEnv(t, u)
			for ; cut < 130; cut++ {
				if res := env.call("POST", path, "x"); res.err == nil && res.status != http.StatusBadGateway {
					t.Errorf("head cut after %d bytes: got %d %q, want 502", cut, res.status, res.body)
				}
			}
		})
	}
}

// Guards against a late response that is taken for that of a request without an ID: on a kept
// connection nothing tells them apart.
func TestRequestWithoutIDGetsItsOwnConnection(t *testing.T) {
	u := newFakeUpstream(t, respondOK("x"))
	env := newTestEnv(t, u)
	for range 2 {
		wantStatus(t, env.call("POST", "/twice/", "x", "X-Attempt", ""), http.StatusOK)
	}
	if got := u.connections(); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}
