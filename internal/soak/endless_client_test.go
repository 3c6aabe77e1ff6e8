package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessDeadline is how long a client waits, and endlessPatience when it takes a request
	// as lost.
	endlessDeadline = 4 * time.Second
	endlessPatience = 10 * time.Second
	// clientRamp is the time in which the clients begin.
	clientRamp = time.Second
	// clientPause is how long a client waits after an answer.
	clientPause = 500 * time.Millisecond
	// maxReported bounds the lost requests that are printed.
	maxReported = 5
)

// endlessLoad are clients that send requests to one node until they are stopped.
type endlessLoad struct {
	cluster  *stopCluster
	node     int
	route    string
	requests *sync.Map // of *endlessArrivals, by attempt ID
	watch    *memoryWatch
	over     atomic.Bool
	clients  sync.WaitGroup

	// sound counts whole answers of sound upstreams, failed the failures of requests that met a
	// faulty one, refused those that did not run, and starved those that failed because the node
	// or the test got no processor.
	sound, failed, refused, starved, unconnected atomic.Int64

	mu   sync.Mutex
	lost []string
}

func (l *endlessLoad) start(clients int) {
	for i := range clients {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			time.Sleep(time.Duration(i) * clientRamp / time.Duration(clients))
			l.useConnections()
		}()
	}
}

// stop waits for the answers to all requests under way.
func (l *endlessLoad) stop() {
	l.over.Store(true)
	l.clients.Wait()
}

// useConnections sends requests on one connection after the other.
func (l *endlessLoad) useConnections() {
	var conn net.Conn
	var reader *bufio.Reader
	for !l.over.Load() {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", l.cluster.clientAddress(l.node), time.Second); err != nil {
				l.unconnected.Add(1)
				conn = nil
				time.Sleep(clientPause)
				continue
			}
			reader = bufio.NewReaderSize(conn, 1<<10)
		}
		if !l.send(conn, reader) {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(clientPause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send sends one request, reads its answer and judges it.
func (l *endlessLoad) send(conn net.Conn, reader *bufio.Reader) (keep bool) {
	id, arrivals := l.cluster.newID(), new(endlessArrivals)
	l.requests.Store(id, arrivals)
	defer l.requests.Delete(id)
	began := time.Now()
	_ = conn.SetDeadline(began.Add(endlessPatience))
	_, err := fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nok", l.route, id, endlessDeadline.Milliseconds())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	}
	if err != nil {
		l.judge(id, arrivals, 0, "", err, began)
		return false
	}
	defer resp.Body.Close()
	text := new(strings.Builder)
	_, err = io.Copy(text, io.LimitReader(resp.Body, 64)) // a faulty upstream's bytes may pass through
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	l.judge(id, arrivals, resp.StatusCode, text.String(), err, began)
	return err == nil && !resp.Close
}

// judge counts a request, as lost if it got no true answer.
func (l *endlessLoad) judge(id string, arrivals *endlessArrivals, status int, text string, err error, began time.Time) {
	sound, faulty, whole := arrivals.sound.Load(), arrivals.faulty.Load(), arrivals.whole.Load()
	lost := ""
	switch {
	case status == 0:
		lost = "no answer"
	case errors.Is(err, os.ErrDeadlineExceeded):
		lost = "an answer without an end"
	case promisesNotRun(status) && sound+faulty > 0:
		lost = "a refusal that is not true"
	case promisesNotRun(status):
		l.refused.Add(1)
	case whole > 0 && l.watch.starvedSince(began) && (status == http.StatusGatewayTimeout || status == http.StatusBadGateway):
		l.starved.Add(1)
	case whole > 0 && (status != http.StatusOK || err != nil || text != "booked" && text != "data: sound\n\n"):
		lost = "a sound answer that was not passed on"
	case whole > 0:
		l.sound.Add(1)
	case faulty > 0:
		l.failed.Add(1)
	case status != 0 && l.watch.starvedSince(began):
		l.starved.Add(1)
	default:
		lost = "a failure without a faulty upstream"
	}
	if lost == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, fmt.Sprintf("%s: request %s after %v: status %d, %.20q, error %v, arrivals %d sound, %d faulty", lost, id, time.Since(began).Round(time.Millisecond), status, text, err, sound, faulty))
}

// wantNoneLost checks that no request ended without a true answer.
func (l *endlessLoad) wantNoneLost(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lost) == 0 {
		return
	}
	t.Errorf("requests without a true answer: got %d, want none", len(l.lost))
	for _, text := range l.lost[:min(len(l.lost), maxReported)] {
		t.Log(text)
	}
}

// memoryWatch kills a process that takes more memory than its VM has, as the platform does.
type memoryWatch struct {
	done chan struct{}
	// peak is the largest resident memory, and over is true if the process exceeded its limit.
	// Both are set before done closes.
	peak int64
	over bool
	// starved is when the process or the test last got no processor, in nanoseconds of Unix
	// time.
	starved atomic.Int64
}

// starvedSince reports whether the process, or the test with its upstreams, got no processor
// for a while since a time.
func (w *memoryWatch) starvedSince(began time.Time) bool {
	return w.starved.Load() >= began.UnixNano()
}

// watchProcessor records when a thread had work and got no processor for most of
// starvationInterval.
func (w *memoryWatch) watchProcessor(pids ...int) {
	waits := func() map[string]time.Duration {
		all := make(map[string]time.Duration)
		for _, pid := range pids {
			maps.Copy(all, threadWaits(pid))
		}
		return all
	}
	for waited := waits(); ; {
		select {
		case <-w.done:
			return
		case <-time.After(starvationInterval):
		}
		now := waits()
		for thread, total := range now {
			if before, known := waited[thread]; known && total-before > starvationLimit {
				w.starved.Store(time.Now().UnixNano())
			}
		}
		waited = now
	}
}

// watchMemory watches a process until ctx is done or it ends.
func watchMemory(ctx context.Context, p *stopProcess, limit int64) *memoryWatch {
	w := &memoryWatch{done: make(chan struct{})}
	go w.watchProcessor(p.cmd.Process.Pid, os.Getpid())
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			resident := residentBytes(p.cmd.Process.Pid)
			w.peak = max(w.peak, resident)
			if resident > limit {
				w.over = true
				_ = p.cmd.Process.Kill()
				return
			}
			select {
			case <-p.exited:
				return
			default:
			}
			sleep(ctx, 5*time.Millisecond)
		}
	}()
	return w
}

// residentBytes returns the resident memory of a process; zero if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}
