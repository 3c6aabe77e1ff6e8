package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relaySlots    = 4
	relayQueue    = 2
	restartDelay  = 500 * time.Millisecond
	clientTimeout = 5 * time.Second
	// maxLost is the number of requests from kept connections that LOST bears.
	maxLost = 3
)

// answer writes a whole answer.
func answer(c net.Conn, req *http.Request, status int, extra, body string) bool {
	if status < 300 {
		extra += "X-Runner-Signature: " + signature + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), req.Header.Get("X-Attempt-Id"), extra, len(body), body)
	return err == nil
}

// busyRunners serve requests with relaySlots at a time and relayQueue more. Further ones are
// turned away before their body is read, which is read on afterwards.
type busyRunners struct {
	seen       *attempts
	turnedAway atomic.Int64

	mu   sync.Mutex
	held map[*runner]int
}

func (b *busyRunners) take(r *runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[r] >= relaySlots+relayQueue {
		return false
	}
	b.held[r]++
	return true
}

func (b *busyRunners) release(r *runner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[r]--
}

func (b *busyRunners) serve(r *runner, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	b.seen.update(id, func(a *attempt) { a.arrived++ })
	if !b.take(r) {
		b.turnedAway.Add(1)
		if !answer(c, req, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nRetry-After: 0.5\r\n", "") {
			return false
		}
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	defer b.release(r)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	b.seen.update(id, func(a *attempt) { a.ran++ })
	time.Sleep(150 * time.Millisecond)
	return answer(c, req, http.StatusOK, "", "done")
}

func desk() (routes, services []any) {
	for _, name := range []string{"hold", "upload"} {
		kind := map[string]string{"hold": "non_idempotent", "upload": "idempotent"}[name]
		routes = append(routes, map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": clientTimeout.Milliseconds(),
			"target_latency_ms": 500, "priority": 0, "service": name, "max_attempts": 2, "public": true,
		})
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
		})
	}
	return routes, services
}

// restartEnded starts processes again that have ended, as the platform does.
func (s *stage) restartEnded(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(restartDelay):
		}
		for _, n := range slices.Concat(s.voters, s.entries) {
			n.mu.Lock()
			ended := n.cmd == nil
			n.mu.Unlock()
			if ended {
				if err := s.start(n, false); err != nil {
					s.note("%s does not start: %v", n.name, err)
				}
			}
		}
	}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// summarise writes how the attempts ended to the record.
func (a *attempts) summarise(s *stage) {
	a.mu.Lock()
	ends := make(map[string]int)
	for _, at := range a.list {
		ends[at.end]++
	}
	a.mu.Unlock()
	names := make([]string, 0, len(ends))
	for end := range ends {
		names = append(names, end)
	}
	slices.Sort(names)
	for _, end := range names {
		s.note("attempts that ended with %s: %d", end, ends[end])
	}
}

// noteLost writes the attempts that ran and got no answer to the record.
func (a *attempts) noteLost(s *stage) {
	a.mu.Lock()
	var lost []string
	for id, at := range a.list {
		if at.ran > 0 && at.end == closedWithoutAnswer {
			lost = append(lost, fmt.Sprintf("request %s: sent at %.3f s on a kept connection: %v, ran at %d runners, closed without an answer at %.3f s",
				id, at.sent.Sub(s.began).Seconds(), at.kept, at.ran, at.ended.Sub(s.began).Seconds()))
		}
	}
	a.mu.Unlock()
	slices.Sort(lost)
	for _, line := range lost {
		s.note("%s", line)
	}
}
