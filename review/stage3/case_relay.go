package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadBytes   = 2 << 20
	uploaders     = 40
	callers       = 12
	relaySlots    = 4
	relayQueue    = 2
	cutLength     = 5 * time.Second
	beforeCut     = 5 * time.Second
	afterCut      = 5 * time.Second
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

// playRelay cuts the path of one entry machine to all runners, while runners that are full turn
// uploads away.
func playRelay(record string) (bool, error) {
	s, err := newStage(record, 3, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	seen := newAttempts()
	uploads := &busyRunners{seen: seen, held: make(map[*runner]int)}
	holds := &busyRunners{seen: seen, held: make(map[*runner]int)}
	for range 4 {
		_, err1 := s.addRunner("upload", uploads.serve)
		_, err2 := s.addRunner("hold", holds.serve)
		if err := errors.Join(err1, err2); err != nil {
			return false, err
		}
	}
	routes, services := desk()
	if err := s.startAll(map[string]any{"version": 1, "routes": routes, "services": services, "limits": limits()}); err != nil {
		return false, err
	}
	lost := s.entries[0]
	var ids atomic.Int64
	var done atomic.Bool
	var clients sync.WaitGroup
	load := func(n *node, path string, size int) {
		client := newClient(clientTimeout)
		defer client.CloseIdleConnections()
		for !done.Load() {
			id := fmt.Sprintf("%016x", ids.Add(1))
			if end := seen.send(client, n, id, path, size, clientTimeout); !strings.HasPrefix(end, "200") {
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	for i := range uploaders {
		clients.Go(func() { load(s.entries[i%len(s.entries)], "/upload/1", uploadBytes) })
	}
	for range callers {
		clients.Go(func() { load(lost, "/hold/1", 300) })
	}
	stopped := make(chan struct{})
	restarts := make(chan struct{})
	go func() { defer close(restarts); s.restartEnded(stopped) }()
	time.Sleep(beforeCut)
	if s.trouble {
		s.note("%s loses its path to all runners: open connections live on, new ones are refused", lost.name)
		s.cutAll(lost, true)
	}
	time.Sleep(cutLength)
	if s.trouble {
		s.cutAll(lost, false)
		s.note("%s has its path again", lost.name)
	}
	time.Sleep(afterCut)
	done.Store(true)
	clients.Wait()
	close(stopped)
	<-restarts
	seen.summarise(s)
	s.note("uploads turned away by full runners: %d", uploads.turnedAway.Load())
	seen.noteLost(s)
	broken := seen.count(func(a *attempt) bool { return a.kept && a.ran > 0 && a.end == closedWithoutAnswer })
	if len(seen.list) < 200 {
		return false, errTooFew
	}
	return s.judge(broken > maxLost,
		"LOST: %d requests from kept connections ran at a runner and got no answer (%d are borne); processes that ended by themselves: %v", broken, maxLost, s.ends()), nil
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

// cutAll cuts the path of a machine to all runners, or heals it.
func (s *stage) cutAll(n *node, cut bool) {
	for _, r := range s.runners {
		r.setCut(n.ip, cut)
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
