package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass      mode = iota
	delayed        // each chunk is forwarded after forwardDelay
	blackhole      // nothing is forwarded; connections stay open
	oneWay         // responses are not forwarded; requests are
	reset          // open connections are reset, new ones closed at once
)

const (
	forwardDelay = 150 * time.Millisecond
	bufferBytes  = 16 << 10
)

// proxy forwards connections from one address to another and injects network faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode; reset also resets all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) forward(client net.Conn) {
	defer client.Close()
	if p.currentMode() == reset {
		return
	}
	var dialer net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	target, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	for _, conn := range []net.Conn{client, target} {
		p.track(conn, true)
		defer p.track(conn, false)
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(target, client, false); done <- struct{}{} }()
	go func() { p.copy(client, target, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) copy(to io.Writer, from io.Reader, response bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.applyMode(response) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// applyMode blocks while the mode holds data back in this direction. It reports whether to
// forward the data; if not, the connection must be closed.
func (p *proxy) applyMode(response bool) bool {
	for {
		switch m := p.currentMode(); {
		case m == delayed:
			time.Sleep(forwardDelay)
			return true
		case m == reset:
			return false
		case m == blackhole, m == oneWay && response:
			time.Sleep(20 * time.Millisecond)
		default:
			return true
		}
	}
}
