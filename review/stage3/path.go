package main

import (
	"fmt"
	"net"
	"sync"
)

// path is a proxy between two machines that can be cut: bytes then pass no more.
type path struct {
	to string

	mu    sync.Mutex
	cut   bool
	wait  *sync.Cond
	conns []net.Conn
}

func listenPath(address, to string) (*path, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &path{to: to}
	p.wait = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *path) forward(c net.Conn) {
	p.await()
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, out)
	p.mu.Unlock()
	go p.pump(c, out)
	p.pump(out, c)
}

func (p *path) pump(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// await waits while the path is cut.
func (p *path) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.wait.Wait()
	}
}

// set cuts the path, or heals it: what was held up is lost then, as the connections end.
func (p *path) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		for _, c := range p.conns {
			reset(c)
		}
		p.conns = nil
	}
	p.cut = cut
	p.wait.Broadcast()
}

// layPaths puts a proxy between each two machines. Each machine then has its own port for other
// machines, so that the proxies can tell them apart.
func (s *stage) layPaths() error {
	nodes := s.nodes()
	s.paths = make(map[[2]*node]*path)
	for i, from := range nodes {
		from.port = internalPort + 20*i
		for j, to := range nodes {
			if i == j {
				continue
			}
			p, err := listenPath(fmt.Sprintf("%s:%d", to.ip, internalPort+20*i), fmt.Sprintf("%s:%d", to.ip, internalPort+20*j))
			if err != nil {
				return err
			}
			s.paths[[2]*node{from, to}] = p
		}
	}
	return nil
}

// split cuts one group of machines from another, or heals the cut.
func (s *stage) split(a, b []*node, cut bool) {
	for _, x := range a {
		for _, y := range b {
			s.paths[[2]*node{x, y}].set(cut)
			s.paths[[2]*node{y, x}].set(cut)
		}
	}
}
