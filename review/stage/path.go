package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// path is the way from one machine to another, through a proxy that can delay what passes.
type path struct {
	listener net.Listener
	target   string
	// core is true between two voters.
	core  bool
	delay atomic.Int64
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
			p := &path{listener: l, target: fmt.Sprintf("%s:%d", to.ip, to.peerPort), core: from.voter && to.voter}
			s.paths = append(s.paths, p)
			go p.accept()
		}
	}
	return nil
}

// delayCore delays what passes between voters, in each direction.
func (s *stage) delayCore(d time.Duration) {
	for _, p := range s.paths {
		if p.core {
			p.delay.Store(int64(d))
		}
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
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(target, client); done <- struct{}{} }()
	go func() { p.copy(client, target); done <- struct{}{} }()
	<-done
}

// chunk is what was read at once, and when it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

func (p *path) copy(to io.Writer, from io.Reader) {
	chunks := make(chan chunk, 4096)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{buffer[:n], time.Now().Add(time.Duration(p.delay.Load()))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}
