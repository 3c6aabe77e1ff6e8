package fake

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	processHeaderTimeout = 10 * time.Second
	rebindAttempts       = 100
	rebindDelay          = 10 * time.Millisecond
)

// Process serves a stand-in on a loopback address and simulates a process that can be
// killed and restarted. The address stays the same across restarts.
type Process struct {
	Handler http.Handler

	mu          sync.Mutex
	address     string
	server      *http.Server
	incarnation uint64
	conns       map[*faultConn]struct{}
	accepted    int
}

// Start starts a process that serves h on a free loopback port.
func Start(h http.Handler) (*Process, error) {
	p := &Process{Handler: h, address: "127.0.0.1:0", conns: make(map[*faultConn]struct{})}
	return p, p.Restart()
}

// Address returns the host and port of the process.
func (p *Process) Address() string { return p.address }

// Incarnation returns the incarnation of the process: the number of starts so far.
func (p *Process) Incarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// Alive reports whether the process is running.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server != nil
}

// Accepted returns the number of connections accepted so far.
func (p *Process) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Kill closes the listener and all connections immediately.
func (p *Process) Kill() {
	p.mu.Lock()
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart starts a killed process with a new incarnation. It retries to bind while the
// address is still in use.
func (p *Process) Restart() error {
	var l net.Listener
	var err error
	for range rebindAttempts {
		if l, err = net.Listen("tcp", p.address); err == nil {
			break
		}
		time.Sleep(rebindDelay)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return errors.Join(errors.New("process is already running"), l.Close())
	}
	p.address = l.Addr().String()
	p.incarnation++
	p.server = &http.Server{Handler: p.Handler, ReadHeaderTimeout: processHeaderTimeout}
	go func(s *http.Server) { _ = s.Serve(&faultListener{l, p}) }(p.server)
	return nil
}

// Crash kills the process and restarts it.
func (p *Process) Crash() {
	p.Kill()
	_ = p.Restart()
}

// BlackholeConnections makes all open connections discard data in both directions until
// they are closed. New connections work.
func (p *Process) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackhole()
	}
}

// Close kills the process.
func (p *Process) Close() { p.Kill() }

type faultListener struct {
	net.Listener
	process *Process
}

func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, process: l.process, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.process.mu.Lock()
	defer l.process.mu.Unlock()
	l.process.conns[c] = struct{}{}
	l.process.accepted++
	return c, nil
}

// faultConn is a connection that can be turned into a black hole: writes succeed but are
// discarded, and reads block until the connection is closed.
type faultConn struct {
	net.Conn
	process                  *Process
	blackholed, closed       chan struct{}
	blackholeOnce, closeOnce sync.Once
}

func (c *faultConn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.blackholed:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	select {
	case <-c.blackholed:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.process.mu.Lock()
	delete(c.process.conns, c)
	c.process.mu.Unlock()
	return c.Conn.Close()
}
