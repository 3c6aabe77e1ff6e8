package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// tellingListener tells when a deadline in the past is about to be set on a connection, and
// waits before it does.
type tellingListener struct {
	*net.TCPListener
	// armed is set once it is to tell; net/http sets such deadlines too.
	armed *atomic.Bool
	told  chan struct{}
	wait  time.Duration
}

type tellingConn struct {
	*net.TCPConn
	l tellingListener
}

// Accept implements net.Listener.
func (l tellingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return tellingConn{c, l}, nil
}

// SetReadDeadline implements net.Conn.
func (c tellingConn) SetReadDeadline(t time.Time) error {
	if t.Equal(time.Unix(1, 0)) && c.l.armed.CompareAndSwap(true, false) {
		close(c.l.told)
		time.Sleep(c.l.wait)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Guards against a request that arrives while the drain ends its idle connection, and whose
// body cannot be read because the end stays in force.
func TestRequestLiftsTheEndOfItsConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	telling := tellingListener{inner.(*net.TCPListener), new(atomic.Bool), make(chan struct{}), 50 * time.Millisecond}
	l := New(telling)
	server := http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			w.Header().Set("Connection", "close")
		}
		if body, err := io.ReadAll(r.Body); err != nil || r.Context().Err() != nil {
			t.Errorf("%s: got body %q, %v, context %v, want it undisturbed", r.URL.Path, body, err, r.Context().Err())
		}
		_, _ = io.WriteString(w, "ok")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	defer server.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := &client{raw, bufio.NewReader(raw)}
	c.send(t)
	wantAllAnswered(t, []*client{c})
	time.Sleep(10 * time.Millisecond) // the connection becomes idle
	telling.armed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(ctx) }()
	<-telling.told
	for _, part := range []string{"POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"} {
		if _, err := fmt.Fprint(raw, part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wantAllAnswered(t, []*client{c})
	if err := <-drained; err != nil {
		t.Errorf("got %v from the drain, want it to end", err)
	}
}

// Guards against a pipelined request that is in the server's buffer while the drain takes its
// connection for idle, and that is then served with a cancelled context.
func TestBufferedRequestLiftsTheEndOfItsConnection(t *testing.T) {
	s := newTestServer(t, 0)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond) // a read that fails meanwhile cancels the context
		if err := r.Context().Err(); err != nil {
			t.Errorf("got a request with context %v, want it undisturbed", err)
		}
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "ok")
	})
	idle := make(chan struct{}, 2)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		s.listener.ConnState(c, state)
		if state == http.StateIdle {
			idle <- struct{}{}
			time.Sleep(10 * pollInterval)
		}
	}
	s.start()
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /last HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-idle
	drain(t, s)
	wantAllAnswered(t, []*client{c, c})
}

// slowListener returns its connections some time after the kernel has accepted them.
type slowListener struct {
	*net.TCPListener
	delay time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// Guards against a drain that finds no open connection and ends while the last one is being
// accepted.
func TestDrainWaitsForTheLastAcceptedConnection(t *testing.T) {
	s := newTestServer(t, 0)
	s.listener = New(slowListener{s.listener.Listener.(*net.TCPListener), 10 * pollInterval})
	s.ConnState = s.listener.ConnState
	s.start()
	c := dial(t, s)
	c.send(t)
	time.Sleep(pollInterval)
	s.draining.Store(true)
	drain(t, s)
	_ = s.Close()
	wantAllAnswered(t, []*client{c})
}
