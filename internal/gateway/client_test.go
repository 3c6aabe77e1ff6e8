package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a call that never ends because its client does not read.
func TestClientThatDoesNotReadIsDropped(t *testing.T) {
	body := strings.Repeat("x", 24<<20)
	u := newFakeUpstream(t, func(_ int, r *http.Request) []step { return []step{{send: response(r, 200, body)}} })
	env := newTestEnv(t, u)
	env.gateway.writeGrace = 200 * time.Millisecond
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /book/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt: a1\r\nX-Deadline: 500\r\nContent-Length: 0\r\n\r\n")
	limit := time.Now().Add(5 * time.Second)
	for started := false; ; time.Sleep(10 * time.Millisecond) {
		open := env.gateway.Open()
		started = started || open > 0
		if started && open == 0 {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("got %d open calls 5 s after the request, want none", open)
		}
	}
}

// Guards against a kept connection on which the write deadline of an earlier request ends
// the response to a later one.
func TestKeptConnectionOutlivesWriteDeadline(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, respondOK("ok")))
	env.gateway.writeGrace = 100 * time.Millisecond
	for i := range 3 {
		wantStatus(t, env.call("GET", "/look/", "", "X-Attempt", fmt.Sprint("a", i), "X-Deadline", "200"), 200)
		wantStatus(t, env.call("GET", "/none/", ""), 404)
		time.Sleep(400 * time.Millisecond)
	}
}
