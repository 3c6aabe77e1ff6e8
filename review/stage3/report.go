package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	reportLines   = 40
	linePause     = 100 * time.Millisecond
	lastLine      = "end of the report\n"
	reportTimeout = 8 * time.Second
)

// serveReports is a runner's process: its answers have no length and end with the connection. From a
// SIGUSR1 to a SIGUSR2, connections of the machine at cutIP are reset, as on a path that is lost.
func serveReports(address, id, cutIP string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	cut, open := false, make(map[net.Conn]bool) // those of cutIP
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range signals {
			mu.Lock()
			cut = received == syscall.SIGUSR1
			for c := range open {
				if cut {
					reset(c)
				}
				delete(open, c)
			}
			mu.Unlock()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if c.RemoteAddr().(*net.TCPAddr).IP.String() == cutIP {
			mu.Lock()
			open[c] = true
			lost := cut
			mu.Unlock()
			if lost {
				reset(c)
				continue
			}
		}
		go func() {
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			writeReport(c, id, req)
		}()
	}
}

func writeReport(c io.Writer, id string, req *http.Request) {
	if req.URL.Path == "/health" {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Runner-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", req.Header.Get("X-Attempt-Id"), signature)
	for i := 0; i < reportLines && err == nil; i++ {
		_, err = fmt.Fprintf(c, "line %d of %d\n", i+1, reportLines)
		time.Sleep(linePause)
	}
	if err == nil {
		_, _ = io.WriteString(c, lastLine)
	}
}

// startReportRunners starts the processes of runners that serve reports.
func (s *stage) startReportRunners(n int) (processes []*exec.Cmd, stop func(), err error) {
	stop = func() {
		for _, cmd := range processes {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for range n {
		r := s.newRunner("reports")
		cmd := exec.Command(os.Args[0], "runner", r.address, r.id, s.entries[0].ip)
		if err := cmd.Start(); err != nil {
			stop()
			return nil, nil, err
		}
		processes = append(processes, cmd)
	}
	return processes, stop, nil
}

func reportConfig() map[string]any {
	return map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "report", "host": host, "path_prefix": "/report/", "route_kind": "idempotent", "timeout_ms": reportTimeout.Milliseconds(),
			"target_latency_ms": 4000, "priority": 0, "service": "reports", "max_attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "reports", "health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
	}
}

// reports are the answers that clients have got.
type reports struct {
	clients               sync.WaitGroup
	done                  atomic.Bool
	whole, partial, other atomic.Int64
}

// load starts clients that get one report after the other, at different times.
func (s *stage) load(entries []*node, clients int) *reports {
	r := &reports{}
	var ids atomic.Int64
	for i := range clients {
		r.clients.Go(func() {
			client := newClient(reportTimeout)
			defer client.CloseIdleConnections()
			time.Sleep(time.Duration(i) * reportLines * linePause / time.Duration(clients))
			for !r.done.Load() {
				n := entries[i%len(entries)]
				id := fmt.Sprintf("%016x", ids.Add(1))
				body, complete := fetch(client, n, id)
				switch {
				case !complete:
					r.other.Add(1)
					s.note("request %s to %s: no whole answer with status 200", id, n.name)
					time.Sleep(100 * time.Millisecond)
				case strings.HasSuffix(body, lastLine):
					r.whole.Add(1)
					s.note("request %s to %s: the whole report", id, n.name)
				default:
					r.partial.Add(1)
					s.note("request %s to %s: WRONG: an answer with status 200 that looks whole and ends with %q", id, n.name, tail(body))
				}
			}
		})
	}
	return r
}

func (s *stage) judgeReports(r *reports) (bool, error) {
	r.done.Store(true)
	r.clients.Wait()
	partial := r.partial.Load()
	s.note("whole answers: %d, answers that look whole and are not: %d, other ends: %d", r.whole.Load(), partial, r.other.Load())
	if r.whole.Load() < 10 {
		return false, errTooFew
	}
	return s.judge(partial > 0, "MIXED: %d answers with status 200 ended early and looked complete", partial), nil
}

func tail(body string) string { return body[max(0, len(body)-20):] }

// fetch gets a report. complete is true if the answer has status 200 and its end arrived.
func fetch(client *http.Client, n *node, id string) (body string, complete bool) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/report/1", n.ip, clientPort), http.NoBody)
	if err != nil {
		return "", false
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(reportTimeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil && resp.StatusCode == http.StatusOK
}
