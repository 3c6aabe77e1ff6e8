package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/sirupsen/logrus"
)

// heldListener accepts connections whose next write waits for release once hold was called.
type heldListener struct {
	net.Listener
	entered, release chan struct{}

	mu   sync.Mutex
	held bool
}

// heldConn is a connection of a heldListener.
type heldConn struct {
	net.Conn
	listener *heldListener
}

func (l *heldListener) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

// takeHold reports whether the present write has to wait.
func (l *heldListener) takeHold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.held
	l.held = false
	return held
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l}, nil
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	if c.listener.takeHold() {
		close(c.listener.entered)
		<-c.listener.release
	}
	return c.Conn.Write(b)
}

// dialStreams opens streams to one address.
type dialStreams struct{ url string }

// OpenStream implements Streams.
func (d dialStreams) OpenStream(ctx context.Context, _, _ string) (*websocket.Conn, error) {
	stream, resp, err := websocket.DefaultDialer.DialContext(ctx, d.url, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return stream, err
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// newTestServer returns a server that connects to any address.
func newTestServer() *Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer()
	s.Known, s.Log = func(string) bool { return true }, log
	s.Lost, s.Suspected = func() bool { return false }, func(time.Time) bool { return false }
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return s
}

// serve serves tunnels to all who connect.
func serve(t *testing.T, s *Server, l net.Listener) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream, err := (&websocket.Upgrader{}).Upgrade(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		s.Serve(r.Context(), "other", stream)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Guards against a node that ends with a panic, and with it all its requests, because its stop
// begins while it replies to another node's request for a tunnel.
func TestDrainDuringReply(t *testing.T) {
	held := &heldListener{Listener: listen(t), entered: make(chan struct{}), release: make(chan struct{})}
	release := sync.OnceFunc(func() { close(held.release) })
	t.Cleanup(release)
	upstream := listen(t)
	s := newTestServer()
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		held.hold() // the next write is the reply
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	serve(t, s, held)
	go func() {
		c, err := Open(t.Context(), dialStreams{"ws://" + held.Addr().String()}, "n", upstream.Addr().String(), "r1")
		if err == nil {
			_ = c.Close()
		}
	}()
	<-held.entered
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = s.Drain(ctx)
	}()
	select {
	case p := <-ended:
		if p != nil {
			t.Errorf("drain during a reply: got panic %v, want none", p)
		}
	case <-time.After(100 * time.Millisecond): // it waits for the reply
		release()
		if p := <-ended; p != nil {
			t.Errorf("drain after a reply: got panic %v, want none", p)
		}
	}
}

// Guards against a drain that waits for a node which reads nothing, beyond its own end, so that
// the clients of the stopping node get no answers.
func TestDrainIsNotHeldUpByOneTunnel(t *testing.T) {
	const limit = 300 * time.Millisecond
	upstream := listen(t)
	go func() {
		c, err := upstream.Accept()
		for block := make([]byte, 64<<10); err == nil; {
			_, err = c.Write(block)
		}
	}()
	s := newTestServer()
	l := listen(t)
	serve(t, s, l)
	c, err := Open(t.Context(), dialStreams{"ws://" + l.Addr().String()}, "n", upstream.Addr().String(), "r1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(limit) // the buffers are full then
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	start := time.Now()
	if err := s.Drain(ctx); err == nil {
		t.Error("drain with an open tunnel: got no error, want one")
	}
	if took := time.Since(start); took > 2*limit {
		t.Errorf("end of the drain: got it after %v, want it after %v", took, limit)
	}
}
