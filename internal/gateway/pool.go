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
	idleLimit = 4 * time.Second
	keepShare = 0.5
	// readBuffer holds the headers of an answer, in bytes.
	readBuffer = 4096
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 4 * time.Second
)

// conn is one connection to an upstream. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused is true when an earlier request was answered on it.
	reused bool
	used   time.Time
	keep   time.Duration
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
		k := p.take(address)
		if k == nil {
			break
		}
		if now.Sub(k.used) < k.keep && k.quiet() {
			return k, nil
		}
		_ = k.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, Control: control}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: idleLimit}, nil
}

func control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option a dead peer is noticed later, by the deadline of the request.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return k
}

// has tells whether an idle connection to an address is kept.
func (p *pool) has(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// addresses lists those to which idle connections are kept.
func (p *pool) addresses() []string {
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
func (p *pool) put(address string, k *conn) {
	if k.reader.Buffered() > 0 {
		_ = k.Close()
		return
	}
	k.reused, k.used = true, time.Now()
	// The request that used the connection may have set a deadline.
	if err := k.SetDeadline(time.Time{}); err != nil {
		_ = k.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], k)
}

// forget closes all idle connections to an address.
func (p *pool) forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, k := range list {
		_ = k.Close()
	}
}

// sweep closes connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.used) < k.keep {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, k := range old {
		_ = k.Close()
	}
}

// quiet tells whether an idle connection is open and has no bytes to read.
func (k *conn) quiet() bool {
	raw, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAlive returns how long a connection may be kept after an answer.
func keepAlive(resp *http.Response) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(keepShare * float64(time.Duration(seconds)*time.Second))
		}
	}
	return idleLimit
}
