// Package listener accepts the connections of an HTTP server and ends them without losing
// a request that has arrived. http.Server.Shutdown alone resets connections that the
// kernel has accepted and the server has not, and closes idle connections whose next
// request is already there.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// backlogTimeout bounds how long connections are still accepted once a drain has
	// started: under steady load the backlog may never be empty.
	backlogTimeout = 500 * time.Millisecond
	// pollInterval is the time between two checks for connections that became idle, or
	// were accepted by the kernel, during a drain.
	pollInterval = 10 * time.Millisecond
)

// Listener is a net.Listener for one http.Server. Set ConnState as the server's hook
// before it serves.
type Listener struct {
	net.Listener
	acceptEnd atomic.Int64 // when Accept must end, in Unix nanoseconds; zero while serving

	mu    sync.Mutex
	conns map[*conn]bool // whether the connection is idle
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	opened time.Time
	// received is true once bytes of the next request have been read.
	received atomic.Bool
	// requests counts the requests whose head was read.
	requests atomic.Int64
}

// Info describes the connection of a request.
type Info struct {
	// Opened is when the connection was accepted.
	Opened time.Time
	// Requests is the number of requests on it so far, with the present one.
	Requests int64
}

// Counts is the number of open connections by state.
type Counts struct {
	// Unused connections have not carried a request; of those that are Idle the last answer
	// is complete; those that are Busy have an open request.
	Unused, Idle, Busy int
}

type contextKey struct{}

// ConnContext is the hook of the same name of http.Server. It lets InfoOf find the
// connection of a request.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// InfoOf returns what is known of the connection of a request with this context; false if
// it was not accepted by a Listener.
func InfoOf(ctx context.Context) (Info, bool) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return Info{}, false
	}
	return Info{Opened: c.opened, Requests: c.requests.Load()}, true
}

// Counts counts the open connections.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n Counts
	for c, idle := range l.conns {
		switch {
		case idle:
			n.Idle++
		case c.requests.Load() == 0:
			n.Unused++
		default:
			n.Busy++
		}
	}
	return n
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// New returns a listener that accepts from l, which must be a *net.TCPListener.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener. During a drain, it ends once the backlog is empty.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err == nil {
			c := &conn{Conn: accepted, opened: time.Now()}
			l.mu.Lock()
			l.conns[c] = false
			l.mu.Unlock()
			return c, nil
		}
		end := l.acceptEnd.Load()
		if end == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if time.Now().UnixNano() >= end || !readable(l.Listener) {
			return nil, net.ErrClosed
		}
		if err := l.setDeadline(time.Now().Add(pollInterval)); err != nil {
			return nil, err
		}
	}
}

func (l *Listener) setDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return l.Close()
}

// ConnState tracks which connections are idle. It is the hook of the same name of
// http.Server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	accepted, ok := c.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, accepted)
	case http.StateIdle:
		accepted.received.Store(false)
		l.conns[accepted] = true
	case http.StateActive:
		accepted.requests.Add(1)
		l.conns[accepted] = false
	default:
		l.conns[accepted] = false
	}
}

// Drain accepts the connections that are in the backlog, then accepts no more. It closes
// connections as they become idle, except those on which a request has arrived, and
// returns when none is left or ctx ends. Meanwhile the server should end its responses
// with "Connection: close", so that clients do not send another request.
func (l *Listener) Drain(ctx context.Context) error {
	now := time.Now()
	l.acceptEnd.Store(now.Add(backlogTimeout).UnixNano())
	if err := l.setDeadline(now.Add(pollInterval)); err != nil {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	started := now
	for {
		open := l.closeIdle()
		if open == 0 && time.Since(started) > 2*pollInterval {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// closeIdle closes the idle connections without unread bytes and returns the number of
// open connections.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, idle := range l.conns {
		if idle && !c.received.Load() && !readable(c.Conn) {
			// A deadline, unlike Close, ends only a read that has not returned any bytes yet.
			// The server then closes the connection.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(l.conns)
}

// readable reports whether a socket has bytes to read, or a connection to accept.
func readable(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0
	})
	return err == nil && ready
}
