package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newUnreadingUpstream returns an upstream that answers with events, at intervals, and reads
// nothing of the request's body.
func newUnreadingUpstream(t *testing.T, events int, interval time.Duration) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 1024)); err != nil {
			return
		}
		_, _ = fmt.Fprint(c, eventStreamHead(&http.Request{Header: http.Header{"X-Attempt": {"a1"}}}))
		for i := 1; i <= events; i++ {
			_, _ = fmt.Fprint(c, chunk(numberedEvent(i)))
			time.Sleep(interval)
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		time.Sleep(10 * time.Second)
	}()
	return &fakeUpstream{t: t, listener: l}
}

// Guards against an answer that is broken off because its upstream has not read the request's body
// yet.
func TestAnswerGoesOnWhileBodyIsUnread(t *testing.T) {
	const events = 14
	env := newSilenceEnv(t, newUnreadingUpstream(t, events, 400*time.Millisecond))
	res := env.call("POST", "/chat/", strings.Repeat("b", 4<<20), "X-Deadline", "9000")
	if got := strings.Count(res.body, "id:"); res.err != nil || got != events {
		t.Errorf("got %d events, %v, want %d", got, res.err, events)
	}
}

// Guards against the end of an answer that is held back because its upstream has not read the
// request's body.
func TestAnswerEndsWhileBodyIsUnread(t *testing.T) {
	env := newSilenceEnv(t, newUnreadingUpstream(t, 3, 10*time.Millisecond))
	start := time.Now()
	res := env.call("POST", "/chat/", strings.Repeat("b", 4<<20), "X-Deadline", "9000")
	wantBody(t, res, numberedEvent(1)+numberedEvent(2)+numberedEvent(3))
	if took, most := time.Since(start), 2*time.Second; took > most {
		t.Errorf("got the end after %v, want it within %v", took, most)
	}
}
