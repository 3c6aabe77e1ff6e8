package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection: it takes a few milliseconds within
	// a region and some ten between regions. A lost first packet is sent again only
	// after a second, and nothing has been sent yet, so another upstream is sooner.
	dialTimeout = 200 * time.Millisecond
	// idleLimit is how long a connection is kept without use when the upstream names
	// no limit; keepShare is the part of a named limit that is used, so that the
	// upstream does not close the connection as a request is on its way.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutShare   = 0.5
	// readBuffer holds the headers of an answer, in bytes.
	readBufferBytes = 4096
	// userTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 4 * time.Second
)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused is true when an earlier request was answered on it.
	reused      bool
	lastUsed    time.Time
	idleTimeout time.Duration
}

// pool keeps idle connections to upstreams, the last used first.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn)} }

// get returns an idle connection that is still sound, or a new one.
func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		idle := p.take(address)
		if idle == nil {
			break
		}
		if now.Sub(idle.lastUsed) < idle.idleTimeout && idle.healthy() {
			return idle, nil
		}
		_ = idle.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option a dead peer is noticed later, by the deadline of the request.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
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

// has tells whether an idle connection to an address is kept.
func (p *pool) hasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// addresses lists those to which idle connections are kept.
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

// put keeps a connection for the next request, unless bytes have come that belong to
// no request.
func (p *pool) put(address string, c *conn) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.reused, c.lastUsed = true, time.Now()
	// The request that used the connection may have set a deadline.
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// forget closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// sweep closes connections that have been idle for too long.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) < c.idleTimeout {
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

// quiet tells whether an idle connection is open and has no bytes to read.
func (c *conn) healthy() bool {
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

// keepAlive returns how long a connection may be kept after an answer.
func keepAliveTimeout(resp *http.Response) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(idleTimeoutShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return defaultIdleTimeout
}
