package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/http1"
	"github.com/jaystage/jaystage/internal/tunnel"
)

const (
	// dialTimeout bounds a connect, which takes a few milliseconds within a region and
	// some tens of milliseconds between regions. A lost SYN is retransmitted only after
	// a second. No request has been sent yet, so another upstream can be tried instead,
	// which is faster.
	dialTimeout = 200 * time.Millisecond
	// defaultIdleTimeout applies when the upstream announces no idle timeout. Of an
	// announced timeout only idleTimeoutShare is used, so that the upstream does not close
	// the connection while a request is on its way.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutShare   = 0.5
	// readBufferBytes is the size of the read buffer; response headers usually fit.
	readBufferBytes = 4096
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	tcpUserTimeout = 4 * time.Second
)

// conn is a connection to an upstream. One request uses it at a time.
type conn struct {
	net.Conn
	// reader reads from limit, which reads from the conn itself.
	reader *bufio.Reader
	limit  *bounded.Reader
	watch  silenceWatch
	// headCost is what the head of the last response costs in the memory budget.
	headCost int
	// reused is true once a response has been read from the connection.
	reused bool
	// via is the node through which the connection goes; empty for a direct one.
	via string
	// userTimeout is the present TCP_USER_TIMEOUT; zero if it was never changed.
	userTimeout time.Duration
	// opened is when a connect was started.
	opened      time.Time
	lastUsed    time.Time
	idleTimeout time.Duration
}

// pool keeps idle connections to upstreams. The most recently used one is reused first.
type pool struct {
	// localIP is the source address of new connections; nil lets the kernel choose.
	localIP net.IP
	// window returns the size of the receive buffer of a new connection. The kernel would grow it
	// to several MB while a client does not read; nil leaves it to the kernel.
	window func() int

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(localIP net.IP) *pool {
	return &pool{localIP: localIP, idle: make(map[string][]*conn)}
}

// getIdle returns a healthy idle connection, direct or through another node; nil if there is
// none. It closes those of the other kind, since the path was lost or is back.
func (p *pool) getIdle(address string, relayed bool) *conn {
	now := time.Now()
	for {
		idle := p.take(address)
		if idle == nil {
			return nil
		}
		if (idle.via != "") == relayed && now.Sub(idle.lastUsed) < idle.idleTimeout && idle.healthy() {
			return idle
		}
		_ = idle.Close()
	}
}

// dial returns a new direct connection.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: p.setSocketOptions}
	if p.localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	opened := time.Now()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := newConn(http1.NewConn(raw), "")
	c.opened = opened
	return c, nil
}

// newConn returns an open connection through a node, or a direct one.
func newConn(raw net.Conn, via string) *conn {
	c := &conn{Conn: raw, via: via, idleTimeout: defaultIdleTimeout}
	c.limit = &bounded.Reader{Source: c}
	c.reader = bufio.NewReaderSize(c.limit, readBufferBytes)
	return c
}

// leaving reports whether the node in between is about to leave.
func (c *conn) leaving() bool {
	t, ok := c.Conn.(*tunnel.Conn)
	return ok && t.Leaving()
}

// readHead reads the status line and headers of a response to a request with this method,
// at most maxHeadBytes and a read buffer. The error wraps http1.ErrMalformed if they are none.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.Limit(maxHeadBytes)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	read := c.limit.Lift()
	switch {
	case c.limit.Exceeded():
		return nil, bounded.ErrTooLong
	case err == nil:
		err = http1.CheckHead(resp)
	case !c.limit.Failed():
		err = fmt.Errorf("%w: %w", http1.ErrMalformed, err) // the bytes have come, but cannot be parsed
	}
	if err != nil {
		return nil, err
	}
	buffered := c.reader.Buffered()
	c.headCost = bounded.HeadFactor * max(0, read-buffered)
	if err := c.limit.Account.Set(c.headCost + bounded.BodyFactor*buffered); err != nil {
		return nil, err
	}
	return resp, nil
}

// setSocketOptions sets the options of a new socket.
func (p *pool) setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The port is chosen at the connect, so that connections to different upstreams can
		// share it. Without the option there are fewer ports, but still enough.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		// If this fails, a dead peer is detected later, at the deadline of the request.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		if p.window != nil {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, p.window())
		}
	})
}

// setUserTimeout sets how long sent bytes may stay unacknowledged, or wait until the upstream
// reads, before the kernel closes the connection. It has no effect on a connection through
// another node, whose sockets are shared.
func (c *conn) setUserTimeout(d time.Duration) {
	c.userTimeout = d
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := syscallConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

// hasIdle reports whether the pool has an idle connection to an address.
func (p *pool) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// idleAddresses lists the addresses to which the pool has idle connections.
func (p *pool) idleAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]string, 0, len(p.idle))
	for address, conns := range p.idle {
		if len(conns) > 0 {
			list = append(list, address)
		}
	}
	return list
}

// put returns a connection to the pool, or closes it if it has buffered bytes, which
// belong to no request.
func (p *pool) put(address string, c *conn) {
	if c.reader.Buffered() > 0 || c.leaving() {
		_ = c.Close()
		return
	}
	if c.userTimeout > tcpUserTimeout {
		c.setUserTimeout(tcpUserTimeout)
	}
	c.lastUsed = time.Now()
	// Clear the deadline of the previous request.
	if err := c.startRequest(time.Time{}, nil); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// closeIdle closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// closeExpired closes connections that have exceeded their idle timeout.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			// The node in between of a relayed connection waits for its end when it leaves.
			if now.Sub(c.lastUsed) < c.idleTimeout && (c.via == "" || c.healthy()) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// healthy reports whether an idle connection is open and has no bytes to read.
func (c *conn) healthy() bool {
	if t, ok := c.Conn.(*tunnel.Conn); ok {
		return t.Idle()
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = err == unix.EAGAIN
		return true
	})
	return err == nil && healthy
}

// keepAliveTimeout returns the idle timeout of a connection after a response.
func keepAliveTimeout(resp *http.Response) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleTimeoutShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdleTimeout
}
