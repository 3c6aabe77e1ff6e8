package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	pass    mode = iota
	delayed      // each piece is held for a while
	silent       // nothing passes, connections stay open
	oneWay       // answers do not pass
	refused      // connections are reset, new ones too
)

const (
	delayTime  = 150 * time.Millisecond
	pieceBytes = 16 << 10
)

// proxy forwards connections from one address to another and misbehaves on demand.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode; a refused proxy also resets what is open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refused {
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

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	if p.current() == refused {
		return
	}
	var d net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	up, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	for _, conn := range []net.Conn{c, up} {
		p.track(conn, true)
		defer p.track(conn, false)
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, false); done <- struct{}{} }()
	go func() { p.copy(c, up, true); done <- struct{}{} }()
	<-done
}

func (p *proxy) copy(to io.Writer, from io.Reader, answer bool) {
	b := make([]byte, pieceBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.hold(answer) {
			return
		}
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}

// hold waits as the mode says; false when the connection has to end.
func (p *proxy) hold(answer bool) bool {
	for {
		switch m := p.current(); {
		case m == delayed:
			time.Sleep(delayTime)
			return true
		case m == refused:
			return false
		case m == silent, m == oneWay && answer:
			time.Sleep(20 * time.Millisecond)
		default:
			return true
		}
	}
}
