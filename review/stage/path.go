package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// path is the way from one machine to another, through a proxy that can reset its connections.
type path struct {
	listener net.Listener
	target   string
	from, to *machine

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// openPaths opens the paths between all machines. A machine connects to the others at its own
// peer port, where the proxy of the path listens.
func (s *stage) openPaths() error {
	for _, from := range s.machines {
		for _, to := range s.machines {
			if from == to {
				continue
			}
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", to.ip, from.peerPort))
			if err != nil {
				return err
			}
			p := &path{listener: l, target: fmt.Sprintf("%s:%d", to.ip, to.peerPort), from: from, to: to, conns: make(map[net.Conn]bool)}
			s.paths = append(s.paths, p)
			go p.accept()
		}
	}
	return nil
}

// resetCore resets the connections between a voter and the other voters. New ones work. It returns
// how many there were, and how many connections the voter has with all machines.
func (s *stage) resetCore(m *machine) (reset, all int) {
	for _, p := range s.paths {
		if p.from != m && p.to != m {
			continue
		}
		n := p.reset(p.from.voter && p.to.voter)
		all += n
		if p.from.voter && p.to.voter {
			reset += n
		}
	}
	return reset, all
}

// reset counts the connections, and resets them if it is told to.
func (p *path) reset(now bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if now {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	return len(p.conns) / 2 // each has two ends at the proxy
}

func (p *path) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *path) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *path) forward(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	for _, c := range []net.Conn{client, target} {
		p.track(c, true)
		defer p.track(c, false)
	}
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(target, client); done <- struct{}{} }()
	go func() { _, _ = io.Copy(client, target); done <- struct{}{} }()
	<-done
}
