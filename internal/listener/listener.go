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
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pollInterval is the time between two checks for connections that became idle, or
	// were accepted by the kernel, during a drain.
	pollInterval = 10 * time.Millisecond
	// crowdedPause is the time between two checks for room while connections wait.
	crowdedPause = time.Millisecond
	// unusedTimeout is how long a connection may be open without a byte before a drain
	// closes it: the first request of a new connection is on its way.
	unusedTimeout = 250 * time.Millisecond
)

// Listener is a net.Listener for one http.Server. Set ConnState and ConnContext as the
// server's hooks before it serves.
type Listener struct {
	net.Listener
	// Group bounds the connections of this and other listeners. Set it before Accept; nil means
	// no bound.
	Group *Group
	// window is the size of the buffers of accepted sockets; zero for the kernel's. Accept uses
	// it.
	window int

	acceptEnd atomic.Int64 // when Accept must end, in Unix nanoseconds; zero while serving
	// accepted is closed once Accept returns no more connections.
	accepted chan struct{}
	end      sync.Once // closes accepted

	mu    sync.Mutex
	conns map[*conn]bool
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
	for c := range l.conns {
		c.mu.Lock()
		switch {
		case c.idle:
			n.Idle++
		case c.requests.Load() == 0:
			n.Unused++
		default:
			n.Busy++
		}
		c.mu.Unlock()
	}
	return n
}

// New returns a listener that accepts from l, which must be a *net.TCPListener.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, accepted: make(chan struct{}), conns: make(map[*conn]bool)}
}

// Accept implements net.Listener. During a drain, it ends once the backlog is empty.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err == nil {
			c, ok := l.admit(accepted, time.Now())
			if !ok {
				_ = accepted.Close()
				continue
			}
			l.mu.Lock()
			l.conns[c] = true
			l.mu.Unlock()
			return c, nil
		}
		end := l.acceptEnd.Load()
		if end == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			if errors.Is(err, net.ErrClosed) {
				l.endAccept()
			}
			return nil, err
		}
		if time.Now().UnixNano() >= end || !readable(l.Listener) {
			l.endAccept()
			return nil, net.ErrClosed
		}
		if err := l.setDeadline(time.Now().Add(pollInterval)); err != nil {
			l.endAccept()
			return nil, err
		}
	}
}

// admit returns an accepted connection; false if there is no room for it.
func (l *Listener) admit(accepted net.Conn, now time.Time) (*conn, bool) {
	c := &conn{Conn: accepted, opened: now, group: l.Group}
	c.begun.Store(now.UnixNano())
	if l.Group == nil {
		return c, true
	}
	if l.Group.full() {
		runtime.Gosched() // the last accepted one reads first
	}
	for l.Group.crowded() {
		time.Sleep(crowdedPause)
	}
	c.head, c.turn = l.Group.Heads.Open(c.giveUp), l.Group.Lane.Open()
	if !l.Group.add(now, c) {
		return nil, false
	}
	if window := l.Group.shares.WindowFor(l.Group.open()); window != l.window {
		l.window = window
		setWindow(l.Listener, window)
	}
	return c, true
}

func (l *Listener) endAccept() { l.end.Do(func() { close(l.accepted) }) }

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
	switch state {
	case http.StateClosed, http.StateHijacked:
		accepted.end()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, accepted)
	case http.StateIdle:
		accepted.endRequest()
	case http.StateActive:
		accepted.beginRequest()
	}
}

// Drain accepts connections until the backlog is empty, but not after the deadline of ctx,
// since under steady load it may never be: then it accepts no more. It closes
// connections as they become idle, and those that have carried no request, except those on
// which a request has arrived. It returns when none is left or ctx ends. Meanwhile the server
// should end its responses with "Connection: close", so that clients do not send another
// request.
func (l *Listener) Drain(ctx context.Context) error {
	now := time.Now()
	end, ok := ctx.Deadline()
	if !ok {
		return errors.New("a drain needs a context with a deadline")
	}
	l.acceptEnd.CompareAndSwap(0, end.UnixNano())
	if err := l.setDeadline(now.Add(pollInterval)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.accepted:
			if l.closeIdle(time.Now()) == 0 {
				return nil
			}
		default:
			l.closeIdle(time.Now())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// closeIdle closes the idle and unused connections without unread bytes and returns the
// number of open connections.
func (l *Listener) closeIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIfIdle(now)
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
