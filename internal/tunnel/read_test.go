package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"
)

// openTestTunnel returns a connection through a node to an upstream, and the upstream's end.
func openTestTunnel(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	l, upstream := listen(t), listen(t)
	serve(t, newTestServer(), l)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := Open(ctx, dialStreams{"ws://" + l.Addr().String()}, "other", upstream.Addr().String(), "r")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	end, err := upstream.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = end.Close() })
	return c, end
}

// Guards against a connection that is lost because nothing arrived in time: a silent upstream
// may go on.
func TestReadGoesOnAfterTimeout(t *testing.T) {
	c, upstream := openTestTunnel(t)
	b := make([]byte, 4)
	for range 3 {
		if err := c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		var timeout net.Error
		if n, err := c.Read(b); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Fatalf("read without bytes: got %d, %v, want a timeout", n, err)
		}
	}
	if _, err := io.WriteString(upstream, "late"); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "late" {
		t.Errorf("read after timeouts: got %q, %v, want late", b, err)
	}
}

// Guards against a kept connection that is used again although bytes of no request wait on it,
// or although it has ended.
func TestIdleTellsWaitingBytesAndEnd(t *testing.T) {
	c, upstream := openTestTunnel(t)
	if !c.Idle() {
		t.Error("new connection: got not idle, want idle")
	}
	if _, err := io.WriteString(upstream, strings.Repeat("x", 100)); err != nil {
		t.Fatal(err)
	}
	awaitNotIdle(t, c)
	if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	_ = upstream.Close()
	awaitNotIdle(t, c)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the end: got %v, want EOF", err)
	}
}

func awaitNotIdle(t *testing.T, c *Conn) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); c.Idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got idle for 5 s, want not idle")
		}
	}
}

// Guards against a kept connection that is used again, and that holds up the stop of the node in
// between, although that node has said that it leaves.
func TestIdleTellsLeavingNode(t *testing.T) {
	l, upstream := listen(t), listen(t)
	s := newTestServer()
	serve(t, s, l)
	c, err := Open(t.Context(), dialStreams{"ws://" + l.Addr().String()}, "other", upstream.Addr().String(), "r")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	awaitNotIdle(t, c)
	_ = c.Close()
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want none", err)
	}
}

// Guards against an event of another upstream that is held back until a node that does not answer
// has been given up, although its connection is not needed any more.
func TestOpenEndsWithItsContext(t *testing.T) {
	l := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stream, err := (&websocket.Upgrader{}).Upgrade(w, r, nil); err == nil {
			t.Cleanup(func() { _ = stream.Close() })
		}
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	if _, err := Open(ctx, dialStreams{"ws://" + l.Addr().String()}, "other", "127.0.0.1:1", "r"); err == nil {
		t.Error("open without a reply: got no error, want one")
	}
	if took, most := time.Since(start), openTimeout/2; took > most {
		t.Errorf("open whose context has ended: got its end after %v, want it within %v", took, most)
	}
}
