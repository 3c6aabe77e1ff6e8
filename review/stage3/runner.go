package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in of a runner. Its serve function handles one request that was read up to
// its body; it returns false if the connection ends.
type runner struct {
	s       *stage
	id      string
	service string
	address string
	born    int64
	serve   func(r *runner, c net.Conn, in *bufio.Reader, req *http.Request) bool

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[net.Conn]bool
	state    string
	stopped  bool
	sequence int
}

// newRunner returns a runner that only reports its status; another process serves its address.
func (s *stage) newRunner(service string) *runner {
	i := len(s.runners) + 1
	r := &runner{
		s: s, id: fmt.Sprintf("i-%04d", i), service: service, address: fmt.Sprintf("%s:%d", s.ip(3, i), runnerPort), born: time.Now().UnixMilli(),
		conns: make(map[net.Conn]bool), state: "ready",
	}
	s.runners = append(s.runners, r)
	return r
}

// addRunner returns a runner whose requests serve handles.
func (s *stage) addRunner(service string, serve func(r *runner, c net.Conn, in *bufio.Reader, req *http.Request) bool) (*runner, error) {
	r := s.newRunner(service)
	r.serve = serve
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.listener = l.(*net.TCPListener)
	go r.accept()
	return r, nil
}

func (r *runner) accept() {
	for {
		c, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			reset(c)
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *runner) handle(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Runner-Id: %s\r\nX-Runner-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n", r.id); err != nil {
				return
			}
			continue
		}
		if expected := req.Header.Get("X-Expected-Runner"); expected != "" && expected != r.id {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id")); err != nil {
				return
			}
			return
		}
		if !r.serve(r, c, in, req) {
			return
		}
	}
}

// kill ends the runner at once, as a crash of its process does: connections end.
func (r *runner) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.stopped = true
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

// beat sends status reports until the runner ends.
func (r *runner) beat() {
	for {
		r.report()
		time.Sleep(beatInterval)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
	}
}

// report sends one status report and reports whether it was acknowledged.
func (r *runner) report() bool {
	r.mu.Lock()
	r.sequence++
	body := map[string]any{
		"service": r.service, "address": r.address, "zone": "gulberg", "version": "v1", "slots": 8, "state": r.state, "cold_remaining_ms": 0,
		"sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	status, _ := r.s.call(http.MethodPut, "/runners/"+r.id, body)
	return status == http.StatusOK
}
