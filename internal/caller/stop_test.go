package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/wire"
)

// stopAPI stops an API as the node does: the load balancer needs the time unready to notice,
// then open requests have the time limit. The channel receives how many were aborted.
func stopAPI(a *API, unready, limit time.Duration) <-chan int {
	done := make(chan int, 1)
	now := time.Now()
	a.Stop(drain.Window{Start: now, Settled: now.Add(unready), End: now.Add(unready + limit)})
	go func() {
		time.Sleep(unready)
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		done <- a.Drain(ctx)
	}()
	return done
}

// wantNoneUnanswered fails the test if requests have no answer although the stop is over.
func wantNoneUnanswered(t *testing.T, a *API) {
	t.Helper()
	if got := a.drain.count(); got != 0 {
		t.Errorf("got %d requests without an answer at the end of the stop, want 0", got)
	}
}

// wantRefusal fails the test unless the response refuses the request because of the stop.
func wantRefusal(t *testing.T, resp *http.Response, verdict string) {
	t.Helper()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a delay", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	checkProblem(t, resp, "shutting-down", verdict)
}

// send writes raw bytes on a new connection to the server.
func (f *fixture) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func receive(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testLimit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got no response: %v", err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// answerMany lets n requests be answered at the same time.
func (f *fixture) answerMany(t *testing.T, n, tokens int) {
	t.Helper()
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			resp, err := f.try("/v1/chat/completions", chatBody("earlier", tokens, true), nil)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			checkAnswer(t, resp, "earlier", tokens, nil)
		})
	}
	group.Wait()
}

// openStream starts a stream that does not end by itself. It keeps a stop from being over.
func (f *fixture) openStream(t *testing.T) (end func()) {
	t.Helper()
	resp := f.post(t, "/v1/chat/completions", chatBody("open", 1<<20, true))
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %s, want an open stream", resp.Status)
	}
	return func() { _ = resp.Body.Close() }
}

// Planned stop while a body arrives slowly. Guards against a body that is read until its own
// time limit, so that the connection is closed without an answer when the process ends.
func TestSlowBodyIsAnsweredAtShutdownLimit(t *testing.T) {
	for _, c := range []struct{ name, path, header, body, verdict string }{
		{"body with a length", "/v1/chat/completions", "Content-Length: 100", `{"model":`, "not-run"},
		{"body in chunks", "/v1/chat/completions", "Transfer-Encoding: chunked", "3\r\n{\"m\r\n", "not-run"},
		{"body of a booking", "/s/booking/bookings", "Idempotency-Key: k\r\nContent-Length: 100", "{", "may-have-run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addModel(t, "m1", fastModel(), nil)
			conn := f.send(t, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testToken+"\r\n"+c.header+"\r\n\r\n"+c.body)
			eventually(t, "the request is open", func() bool { return f.api.drain.count() == 1 })
			<-stopAPI(f.api, 0, 100*time.Millisecond)
			wantNoneUnanswered(t, f.api)
			if t.Failed() {
				return // the response would not come before the time limit of the body
			}
			wantRefusal(t, receive(t, conn), c.verdict)
		})
	}
}

// Planned stop with callers that still send: the load balancer has noticed, but connections
// are kept. Guards against refusing requests whose answers would be complete long before the
// limit, and against starting those that have no known time.
func TestShortRequestsAreServedDuringStop(t *testing.T) {
	const tokens = 4
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	f.answerMany(t, 40, tokens)
	end := f.openStream(t)
	done := stopAPI(f.api, 0, testLimit)
	eventually(t, "the stop has begun", func() bool { return f.get(t, "/readyz").StatusCode == http.StatusServiceUnavailable })
	time.Sleep(50 * time.Millisecond)
	resp := f.post(t, "/v1/chat/completions", chatBody("short", tokens, true))
	if !resp.Close {
		t.Error("the answer leaves its connection open, want Connection: close")
	}
	checkAnswer(t, resp, "short", tokens, nil)
	wantRefusal(t, f.post(t, "/v1/chat/completions", chatBody("unknown", 1<<20, true)), "not-run")
	end()
	<-done
	wantNoneUnanswered(t, f.api)
}

// Planned stop whose limit is shorter than the usual answer. Guards against starting a request
// that cannot be complete before the limit.
func TestRequestLongerThanStopIsRefused(t *testing.T) {
	const tokens = 60
	f := newFixture(t, nil)
	f.addModel(t, "m1", &fake.Model{InterTokenLatency: 50 * time.Millisecond}, nil)
	f.answerMany(t, 40, tokens) // the last ones may not be recorded yet
	done := stopAPI(f.api, 2*time.Second, time.Millisecond)
	wantRefusal(t, f.post(t, "/v1/chat/completions", chatBody("late", tokens, true)), "not-run")
	if got := f.models["m1"].Runs.Load(); got != 40 {
		t.Errorf("got %d runs, want the 40 before the stop", got)
	}
	<-done
	wantNoneUnanswered(t, f.api)
}

// Planned stop when a service has just become slow. Guards against starting a request because
// earlier answers were quick, although open ones have waited for longer.
func TestSlowOpenRequestsCountAtStop(t *testing.T) {
	const tokens, limit = 4, 600 * time.Millisecond
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	f.answerMany(t, 40, tokens)
	f.models["m1"].Stalled.Store(true)
	go func() {
		if resp, err := f.try("/v1/chat/completions", chatBody("open", tokens, true), nil); err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(t, "the upstream runs the request", func() bool { return f.models["m1"].Running.Load() == 1 })
	time.Sleep(limit)
	done := stopAPI(f.api, 0, limit)
	wantRefusal(t, f.post(t, "/v1/chat/completions", chatBody("late", tokens, true)), "not-run")
	if got := f.models["m1"].Runs.Load(); got != 41 {
		t.Errorf("got %d runs, want the 41 before the stop", got)
	}
	<-done
}

// A client that takes its answer slowly. Guards against refusing all requests of its kind
// during a stop.
func TestSlowClientDoesNotLengthenEstimate(t *testing.T) {
	const pause, size = 2 * time.Second, 16 << 20
	f := newFixture(t, nil)
	f.announce("b", "booking", rawUpstream(t, func(n int, conn net.Conn, req *http.Request, _ []byte) bool {
		body := "small"
		if n == 1 {
			body = strings.Repeat("x", size)
		}
		respond(conn, req.Header.Get(RequestIDHeader), body)
		return true
	}), 1, nil)
	get := func() *http.Response { return f.post(t, "/s/booking/list", "") }
	slow := get()
	time.Sleep(pause)
	if n, err := io.Copy(io.Discard, slow.Body); err != nil || n != size {
		t.Fatalf("got %d bytes, %v, want %d", n, err, size)
	}
	for range 20 {
		_, _ = io.Copy(io.Discard, get().Body)
	}
	f.api.drain.mu.Lock()
	defer f.api.drain.mu.Unlock()
	if got := f.api.drain.durations.Estimate(time.Now(), drain.Kind{Service: "booking", Route: "/"}); !got.Known || got.Longest >= pause {
		t.Errorf("got %+v, want a longest answer below the %v that the client paused", got, pause)
	}
}

// Planned stop while requests wait. Guards against holding them until the limit although they
// cannot be done in time.
func TestWaitingRequestIsRefusedAtStop(t *testing.T) {
	post := func(f *fixture) <-chan *http.Response {
		answered := make(chan *http.Response, 1)
		go func() {
			resp, err := f.try("/v1/chat/completions", chatBody("waiting", 4, true), nil)
			if err != nil {
				resp = nil
			}
			answered <- resp
		}()
		return answered
	}
	want := func(t *testing.T, answered <-chan *http.Response) {
		t.Helper()
		select {
		case resp := <-answered:
			if resp == nil {
				t.Fatal("got no response, want a refusal")
			}
			defer resp.Body.Close()
			wantRefusal(t, resp, "not-run")
		case <-time.After(testLimit / 2):
			t.Error("the request is held, want it refused at once")
		}
	}
	t.Run("request waits for admission", func(t *testing.T) {
		f := newFixture(t, func(s *config.Site) { s.Services[0].InitialConcurrency = 1 })
		f.addModel(t, "m1", fastModel(), func(a *wire.Announce) { a.Limit = 1 })
		end := f.openStream(t)
		answered := post(f)
		eventually(t, "the request waits", func() bool {
			f.api.queues.mu.Lock()
			defer f.api.queues.mu.Unlock()
			return f.api.queues.services["chat"].controller.Waiting() == 1
		})
		done := stopAPI(f.api, 0, testLimit)
		want(t, answered)
		end()
		<-done
		wantNoneUnanswered(t, f.api)
	})
	t.Run("request waits for a slot", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		e, _ := f.registry.Get("m1")
		f.api.Slots.recordLimit(time.Now(), e, 0.001)
		for f.api.Slots.limits.Allows(time.Now(), limitKey(e), nil) {
			f.api.Slots.limits.RecordSend(time.Now(), limitKey(e))
		}
		answered := post(f)
		eventually(t, "the request is open", func() bool { return f.api.drain.count() == 1 })
		done := stopAPI(f.api, 0, testLimit)
		want(t, answered)
		<-done
		wantNoneUnanswered(t, f.api)
	})
}

// Planned stop at its limit, for requests that are under way. Guards against answers without
// a true verdict, and against streams that look complete.
func TestShutdownLimitAnswersEveryRequest(t *testing.T) {
	t.Run("stream is cut without a visible end", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		resp := f.post(t, "/v1/chat/completions", chatBody("open", 1<<20, true))
		done := stopAPI(f.api, 0, 100*time.Millisecond)
		text, complete, err := readTokens(resp.Body, nil)
		if complete || err == nil || !strings.Contains(err.Error(), `"verdict":"ran"`) {
			t.Errorf("got %d bytes, [DONE] %t, %v, want an error event", len(text), complete, err)
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Error("the response ends as if it were complete, want a broken connection")
		}
		<-done
		wantNoneUnanswered(t, f.api)
	})
	t.Run("plain response is cut without a visible end", func(t *testing.T) {
		f := newFixture(t, nil)
		f.announce("b", "booking", rawUpstream(t, func(_ int, conn net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
			return true
		}), 1, nil)
		resp := f.post(t, "/s/booking/list", "")
		done := stopAPI(f.api, 0, 100*time.Millisecond)
		if text, err := io.ReadAll(resp.Body); err == nil || string(text) != "first" {
			t.Errorf("got %q, %v, want the part and a broken connection", text, err)
		}
		<-done
		wantNoneUnanswered(t, f.api)
	})
	t.Run("plain response to an HTTP/1.0 client looks complete", func(t *testing.T) {
		f := newFixture(t, nil)
		f.announce("b", "booking", rawUpstream(t, func(_ int, conn net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
			return true
		}), 1, nil)
		resp := receive(t, f.send(t, "GET /s/booking/list HTTP/1.0\r\nAuthorization: Bearer "+testToken+"\r\n\r\n"))
		done := stopAPI(f.api, 0, 100*time.Millisecond)
		if text, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("got %q as a complete response, want a reset connection", text)
		}
		<-done
		wantNoneUnanswered(t, f.api)
	})
	t.Run("request between two attempts is cut", func(t *testing.T) {
		f := newFixture(t, nil)
		begun := make(chan (<-chan int), 1)
		var once sync.Once
		f.announce("m1", "chat", rawUpstream(t, func(int, net.Conn, *http.Request, []byte) bool {
			once.Do(func() { begun <- stopAPI(f.api, 0, 100*time.Millisecond) })
			return false
		}), 1, nil)
		checkVerdict(t, f.post(t, "/v1/chat/completions", chatBody("p", 4, true)), "may-have-run")
		<-<-begun
		wantNoneUnanswered(t, f.api)
	})
	t.Run("request that arrives at the limit is held", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		f.answerMany(t, 40, 4)
		<-stopAPI(f.api, 0, time.Nanosecond)
		wantRefusal(t, f.post(t, "/v1/chat/completions", chatBody("late", 4, true)), "not-run")
	})
}

// checkVerdict fails the test unless the response is a problem document with the verdict.
func checkVerdict(t *testing.T, resp *http.Response, verdict string) {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if want := fmt.Sprintf(`"verdict":%q`, verdict); err != nil || !strings.Contains(string(body), want) {
		t.Errorf("got %s %q, %v, want %s", resp.Status, body, err, want)
	}
}
