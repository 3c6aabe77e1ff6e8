package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashTime is how long a runner that crashed is down.
	crashTime = 3 * time.Second

	heartbeatInterval = 1200 * time.Millisecond
	// runnerSlots is what a runner says that it serves at a time; it serves more here.
	runnerSlots = 64
)

// runner is a stand-in for one runner of the service. It answers each request with a body
// that names its attempt.
type runner struct {
	w       *world
	id      string
	address string
	born    int64
	cores   func() []*machine // to which it sends its status reports
	work    time.Duration
	// turnAwayLong makes the runner reject requests with a body beyond longBody before it has
	// read the body, with 503, X-Not-Executed and this Retry-After; it reads on afterwards.
	turnAwayLong time.Duration
	// unframed makes answers come with neither a length nor chunks and end with their
	// connection.
	unframed bool
	// poison is a part of a prompt under which the runner crashes when it begins to answer.
	poison string

	listener *cutListener
	server   *http.Server

	mu       sync.Mutex
	sequence uint64
	runs     map[string]time.Time // when each attempt began to run
	complete map[string]bool      // attempts whose answer was written in full
	away     int                  // requests that were turned away
	down     bool
	crashes  int
	working  int // requests that it works on
}

// longBody is the size of a body beyond which a runner may answer before it has read it.
const longBody = 32 << 10

// startRunner starts a runner at the i-th address of the network and its status reports.
func (w *world) startRunner(i int, work time.Duration, cores func() []*machine) (*runner, error) {
	r := &runner{
		w: w, id: fmt.Sprintf("i-%08x", i), address: net.JoinHostPort(w.host(i), runnerPort), born: time.Now().UnixMilli(), cores: cores, work: work,
		runs: make(map[string]time.Time), complete: make(map[string]bool),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, r.close)
	go r.report()
	return r, nil
}

// listen starts a boot of the runner.
func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.server, r.down = newCutListener(l.(*net.TCPListener)), &http.Server{Handler: r}, false
	go func(s *http.Server, l *cutListener) { _ = s.Serve(l) }(r.server, r.listener)
	return nil
}

// close ends the present boot: all its connections end and new ones are refused.
func (r *runner) close() {
	r.mu.Lock()
	server, listener := r.server, r.listener
	r.mu.Unlock()
	_ = server.Close()
	listener.closeAll()
}

// crash ends the runner's process; it is back under a new id some seconds later.
func (r *runner) crash(cause string, downTime time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.crashes++
	r.mu.Unlock()
	r.w.note("runner %s crashes: %s", r.id, cause)
	r.close()
	time.AfterFunc(downTime, func() {
		r.mu.Lock()
		r.id, r.born, r.sequence = fmt.Sprintf("%s-%d", r.id[:10], r.crashes), time.Now().UnixMilli(), 0
		r.mu.Unlock()
		if !r.w.isEnding() && r.listen() == nil {
			r.w.note("runner %s at %s is back", r.id, r.address)
		}
	})
}

// report sends status reports until the case ends.
func (r *runner) report() {
	for i := 0; !r.w.isEnding(); i++ {
		cores := r.cores()
		r.mu.Lock()
		if r.down {
			r.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.sequence++
		path := "/runners/" + r.id
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": r.address, "zone": "a", "version": "v1", "slots": runnerSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
		})
		r.mu.Unlock()
		for range cores {
			if status, _, err := call(http.MethodPut, cores[i%len(cores)].host, path, body, time.Second); err == nil && status == http.StatusOK {
				break
			}
			i++
		}
		time.Sleep(heartbeatInterval)
	}
}

// ServeHTTP serves one request as a runner does.
func (r *runner) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	h := rw.Header()
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	h.Set("X-Runner-Id", id)
	if req.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	attempt := req.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	if expected := req.Header.Get("X-Expected-Runner"); expected != "" && expected != id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.turnAwayLong > 0 && req.ContentLength > longBody {
		r.turnAway(rw, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs[attempt] = time.Now()
	r.mu.Unlock()
	if r.poison != "" && strings.Contains(req.Header.Get("X-Prefix-Hash"), r.poison+":") {
		time.Sleep(r.work / 4)
		r.crash("it begins to answer a request with the part "+r.poison, crashTime)
		return
	}
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	answer := answerOf(attempt)
	h.Set("X-Runner-Signature", fmt.Sprintf("%x.%d", sum.Sum64(), len(answer)))
	if n, err := strconv.Atoi(req.Header.Get("X-Length-Hint")); err == nil && n > 0 {
		r.stream(rw, req, attempt, n)
		return
	}
	r.countWorking(1)
	defer r.countWorking(-1)
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		return
	}
	if r.unframed {
		r.answerUnframed(rw, attempt, answer)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := rw.Write(answer); err == nil {
		r.setComplete(attempt)
	}
}

// answerUnframed answers without a length or chunks and ends the connection.
func (r *runner) answerUnframed(rw http.ResponseWriter, attempt string, answer []byte) {
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = rw.Header().Write(buffer)
	fmt.Fprintf(buffer, "\r\n%s", answer)
	if buffer.Flush() == nil {
		r.setComplete(attempt)
	}
}

// answerOf returns the runner's body for an attempt.
func answerOf(attempt string) []byte { return []byte("done " + attempt + "\n") }

// eventGap is the pause between two events of a stream.
const eventGap = 100 * time.Millisecond

// stream answers with n events.
func (r *runner) stream(rw http.ResponseWriter, req *http.Request, attempt string, n int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(rw)
	for i := 1; i <= n; i++ {
		if _, err := rw.Write(eventOf(attempt, i)); err != nil || flusher.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-req.Context().Done():
			return
		}
	}
	r.setComplete(attempt)
}

func eventOf(attempt string, i int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i, attempt)
}

// turnAway rejects a long request before its body is in, keeps the connection and reads on.
func (r *runner) turnAway(rw http.ResponseWriter, req *http.Request) {
	controller := http.NewResponseController(rw)
	_ = controller.EnableFullDuplex()
	rw.Header().Set("X-Not-Executed", "1")
	rw.Header().Set("Retry-After", fmt.Sprint(r.turnAwayLong.Seconds()))
	rw.Header().Set("Content-Length", "0")
	rw.WriteHeader(http.StatusServiceUnavailable)
	_ = controller.Flush()
	r.mu.Lock()
	r.away++
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, req.Body)
}

func (r *runner) countWorking(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.working += n
}

func (r *runner) setComplete(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete[attempt] = true
}

// ran returns when an attempt began to run; false if it did not run here.
func (r *runner) ran(attempt string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.runs[attempt]
	return at, ok
}

// ranAt returns the runner that ran an attempt.
func ranAt(runners []*runner, attempt string) (*runner, time.Time, bool) {
	for _, r := range runners {
		if at, ok := r.ran(attempt); ok {
			return r, at, true
		}
	}
	return nil, time.Time{}, false
}

// cutListener accepts connections, except those of hosts that are cut off.
type cutListener struct {
	*net.TCPListener

	mu    sync.Mutex
	cut   map[string]bool
	conns map[*net.TCPConn]string // hosts of open connections
}

func newCutListener(l *net.TCPListener) *cutListener {
	return &cutListener{TCPListener: l, cut: make(map[string]bool), conns: make(map[*net.TCPConn]string)}
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		host := c.RemoteAddr().(*net.TCPAddr).IP.String()
		l.mu.Lock()
		cut := l.cut[host]
		if !cut {
			l.conns[c] = host
		}
		l.mu.Unlock()
		if !cut {
			return c, nil
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// setCut resets the connections of a host and refuses new ones, or accepts them again.
func (l *cutListener) setCut(host string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[host] = cut
	for c, h := range l.conns {
		if cut && h == host {
			_ = c.SetLinger(0)
			_ = c.Close()
			delete(l.conns, c)
		}
	}
}

// closeAll closes all open connections.
func (l *cutListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

// longRequestBody returns a body of n bytes.
func longRequestBody(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16) }
