package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaystage/jaystage/internal/problem"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/verdict"
	"github.com/jaystage/jaystage/pkg/wire"
)

// stopWindow returns the window of a stop that has passed its middle and ends after left.
func stopWindow(left time.Duration) drain.Window {
	now := time.Now()
	return drain.Window{Start: now.Add(-time.Second), Settled: now, End: now.Add(left)}
}

// awaitPhase waits until the only open call has reached a phase.
func (env *testEnv) awaitPhase(want phase) {
	env.t.Helper()
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		env.gateway.open.mu.Lock()
		for c := range env.gateway.open.calls {
			if c.phase.load() == want {
				env.gateway.open.mu.Unlock()
				return
			}
		}
		env.gateway.open.mu.Unlock()
	}
	env.t.Fatalf("no call has reached the phase %v", want)
}

// callAsync sends a request and returns a channel for its result.
func (env *testEnv) callAsync(method, path, body string, header ...string) <-chan clientResult {
	result := make(chan clientResult, 1)
	go func() { result <- env.call(method, path, body, header...) }()
	return result
}

// sendPart sends the beginning of a request with a body of 100 bytes, and returns the answer.
func (env *testEnv) sendPart(body string) <-chan clientResult {
	env.t.Helper()
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt: a1\r\nContent-Length: 100\r\n\r\n%s", body)
	if err != nil {
		env.t.Fatal(err)
	}
	result := make(chan clientResult, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			result <- clientResult{err: err}
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		result <- clientResult{resp.StatusCode, resp.Header, string(text), err}
	}()
	return result
}

func wantCode(t *testing.T, res clientResult, status int, code verdict.Code) {
	t.Helper()
	wantStatus(t, res, status)
	var document problem.Document
	if err := json.Unmarshal([]byte(res.body), &document); err != nil || document.Code != code {
		t.Errorf("got code %q (%v), want %q", document.Code, err, code)
	}
	if status == http.StatusServiceUnavailable && res.header.Get("Retry-After") == "" {
		t.Error("got no Retry-After, want one")
	}
}

// Guards against requests that a stopping node passes on although it will end before them, and
// against refusals of those that it can finish.
func TestStoppingNodeSendsOnlyWhatItCanFinish(t *testing.T) {
	const left = 600 * time.Millisecond
	setUp := func(t *testing.T, took time.Duration) (env *testEnv, sent func() int) {
		script := func(_ int, r *http.Request) []step {
			if r.URL.Path == "/twice/" {
				return []step{{pause: 400 * time.Millisecond}, {send: "HTTP/1.1 503 Full\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}}
			}
			return []step{{send: response(r, 200, "ok")}}
		}
		u1, u2 := newFakeUpstream(t, script), newFakeUpstream(t, script)
		env = newTestEnv(t, u1, u2)
		for range 300 {
			env.gateway.open.durations.Record(time.Now(), drain.Kind{Service: "s"}, took)
		}
		env.gateway.Stop(stopWindow(left))
		return env, func() int { return u1.count() + u2.count() }
	}
	t.Run("a short request is refused", func(t *testing.T) {
		env, _ := setUp(t, 30*time.Millisecond)
		wantStatus(t, env.call("POST", "/book/", "b"), 200)
	})
	t.Run("a request whose deadline comes before the end is refused", func(t *testing.T) {
		env, _ := setUp(t, time.Minute)
		wantStatus(t, env.call("POST", "/book/", "b", "X-Deadline", "300"), 200)
	})
	t.Run("a long request is passed on", func(t *testing.T) {
		env, sent := setUp(t, time.Second)
		wantCode(t, env.call("POST", "/book/", "b"), 503, verdict.CodeShuttingDown)
		if got := sent(); got != 0 {
			t.Errorf("got %d requests at upstreams, want none", got)
		}
	})
	t.Run("a request is passed on again after the time for it is over", func(t *testing.T) {
		env, sent := setUp(t, 300*time.Millisecond)
		wantCode(t, env.call("POST", "/twice/", "b"), 503, verdict.CodeShuttingDown)
		if got := sent(); got != 1 {
			t.Errorf("got %d requests at upstreams, want 1", got)
		}
	})
}

// Guards against requests that are open at the end of the grace period and whose connections
// end without an answer.
func TestOpenRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	silent := func(_ int, _ *http.Request) []step { return []step{{pause: 3 * time.Second}} }
	setUp := func(t *testing.T, script func(int, *http.Request) []step) *testEnv {
		env := newTestEnv(t, newFakeUpstream(t, script))
		env.gateway.Stop(drain.Window{Start: time.Now(), Settled: time.Now().Add(time.Minute), End: time.Now().Add(time.Minute)})
		return env
	}
	t.Run("a request that is being read", func(t *testing.T) {
		env := setUp(t, silent)
		result := env.sendPart("half of it")
		env.awaitPhase(phaseReading)
		env.gateway.EndCalls()
		wantCode(t, <-result, 503, verdict.CodeShuttingDown)
	})
	t.Run("a booking that may have run is refused as not run", func(t *testing.T) {
		env := setUp(t, silent)
		result := env.callAsync("POST", "/book/", "b")
		env.awaitPhase(phaseSent)
		time.Sleep(50 * time.Millisecond) // until it is written
		env.gateway.EndCalls()
		wantCode(t, <-result, 502, verdict.CodeShuttingDown)
	})
	t.Run("a request that waits for a place", func(t *testing.T) {
		env := setUp(t, silent)
		env.state.mu.Lock()
		env.state.view.Plan.Routes[0].TargetLatency = time.Minute // of lookups
		env.state.mu.Unlock()
		env.gateway.ApplyStatuses(time.Now(), []wire.Status{{ID: "u0", Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 4, Born: 1, Sequence: 2, Leaving: true}})
		result := env.callAsync("GET", "/look/", "")
		env.awaitPhase(phaseChoosing)
		env.gateway.EndCalls()
		wantCode(t, <-result, 503, verdict.CodeShuttingDown)
	})
	t.Run("a part of a stream looks whole", func(t *testing.T) {
		env := setUp(t, func(_ int, r *http.Request) []step {
			return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)), pause: 3 * time.Second}}
		})
		result := env.callAsync("POST", "/draft/", "b")
		env.awaitPhase(phaseAnswering)
		env.gateway.EndCalls()
		if res := <-result; res.status != 200 || res.err == nil {
			t.Errorf("got status %d and error %v, want 200 and a cut body", res.status, res.err)
		}
	})
	t.Run("a whole answer that came before the body was taken", func(t *testing.T) {
		env := setUp(t, nil)
		early := newEarlyUpstream(t)
		env.gateway.ApplyStatuses(time.Now(), []wire.Status{{ID: "u0", Service: "s", Address: early, Domain: "a", Slots: 4, Born: 2, Sequence: 1}})
		result := env.callAsync("POST", "/book/", string(make([]byte, 4<<20)))
		env.awaitPhase(phaseAnswering)
		env.gateway.EndCalls()
		wantBody(t, <-result, "early")
	})
}

// newEarlyUpstream serves one request: it answers before it has read the body, which it never
// does.
func newEarlyUpstream(t *testing.T) string {
	t.Helper()
	// With a small buffer, the kernel does not take the whole body either.
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, _ = io.WriteString(c, response(r, 200, "early"))
		}
	}()
	return l.Addr().String()
}
