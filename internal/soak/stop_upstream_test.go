package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// stopEventInterval is the time between two events of a stream in the tests of a stop.
const stopEventInterval = 100 * time.Millisecond

// What an upstream does with a request, as its X-Work header names it.
const (
	workAnswer      = "answer"       // answers after a time
	workStream      = "stream"       // sends events for a time
	workRefuseFirst = "refuse-first" // refuses the first attempt as not run
	workResetFirst  = "reset-first"  // resets the connection of the first attempt
	workCrashFirst  = "crash-first"  // ends the process on the first attempt
)

// upstreamRun is one arrival of a request at an upstream.
type upstreamRun struct {
	upstream     string
	from         string // host that the connection came from
	began, ended time.Time
	answering    time.Time // when the first bytes of the answer were sent; zero before
	refused      bool      // answered as not run
	whole        bool      // the upstream sent its whole answer
}

// runRecord records what reaches the upstreams, by attempt ID.
type runRecord struct {
	mu   sync.Mutex
	runs map[string][]*upstreamRun
}

// begin records an arrival and returns it with the number of earlier ones.
func (r *runRecord) begin(id, upstream, address string) (run *upstreamRun, earlier int) {
	from, _, _ := net.SplitHostPort(address)
	r.mu.Lock()
	defer r.mu.Unlock()
	run = &upstreamRun{upstream: upstream, from: from, began: time.Now()}
	r.runs[id] = append(r.runs[id], run)
	return run, len(r.runs[id]) - 1
}

func (r *runRecord) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// of returns a copy of the arrivals of a request.
func (r *runRecord) of(id string) []upstreamRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []upstreamRun
	for _, run := range r.runs[id] {
		list = append(list, *run)
	}
	return list
}

// stopUpstream is a stand-in for an upstream that answers in the time that a request names.
type stopUpstream struct {
	t       testing.TB
	record  *runRecord
	service string
	address string
	slots   int
	places  chan struct{}

	mu       sync.Mutex
	cut      *cutListener
	server   *http.Server // nil while the process is down
	starts   int
	born     int64
	sequence int
	closed   bool
	turning  bool // refuses all requests as not run
	leaving  bool
	silent   bool // answers nothing, and ends no connection
	// refusingRepeats and resettingRepeats make further attempts of a request fail.
	refusingRepeats, resettingRepeats bool
	// pausedUntil is the end of a time in which the upstream sends nothing and then goes on.
	pausedUntil time.Time
}

// startUpstreams starts the stand-ins and reports their state until ctx is done. The returned
// channel closes after that.
func (c *stopCluster) startUpstreams(ctx context.Context) <-chan struct{} {
	n := 0
	for _, s := range []struct {
		service      string
		count, slots int
	}{{"s", 4, 64}, {"few", 1, 2}, {"crash", 3, 16}, {"turn", 2, 16}, {"reset", 2, 16}, {"silent", 2, 16}, {"leave", 2, 16}} {
		for range s.count {
			n++
			u := &stopUpstream{
				t: c.t, record: c.record, service: s.service, address: fmt.Sprintf("127.%d.2.%d:29000", c.network, n), slots: s.slots,
				places: make(chan struct{}, s.slots),
			}
			u.start()
			c.upstreams[s.service] = append(c.upstreams[s.service], u)
		}
	}
	var reports sync.WaitGroup
	for _, list := range c.upstreams {
		for _, u := range list {
			reports.Add(1)
			go func() {
				defer reports.Done()
				for ctx.Err() == nil {
					u.reportState(c)
					sleep(ctx, 300*time.Millisecond)
				}
			}()
		}
	}
	done := make(chan struct{})
	go func() { defer close(done); reports.Wait() }()
	return done
}

func (u *stopUpstream) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	l, err := listenCut(u.address)
	if err != nil {
		u.t.Errorf("start of upstream: %v", err)
		return
	}
	u.starts, u.born, u.sequence, u.cut = u.starts+1, time.Now().UnixMilli(), 0, l
	server := &http.Server{Handler: u.handler(u.id())}
	u.server = server
	go func() { _ = server.Serve(l) }()
}

// id returns the ID of the present start. The lock must be held.
func (u *stopUpstream) id() string { return fmt.Sprintf("%s-%d", u.address, u.starts) }

func (u *stopUpstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.server != nil {
		_ = u.server.Close()
	}
}

// crash ends the process at once and starts it again after restartTime.
func (u *stopUpstream) crash() {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server != nil {
		_ = server.Close()
		time.AfterFunc(restartTime, u.start)
	}
}

// lose makes the upstream's connections with some nodes fail from now on.
func (u *stopUpstream) lose(m loss, nodes ...*stopNode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range nodes {
		u.cut.set(n.host, m)
	}
}

// set changes the state under the lock.
func (u *stopUpstream) set(f func(u *stopUpstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u)
}

func (u *stopUpstream) reportState(c *stopCluster) {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	running, id := u.server != nil, u.id()
	status := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`, u.service, u.address, u.slots, state, u.sequence, u.born)
	u.mu.Unlock()
	if running {
		c.control(rand.IntN(voters), http.MethodPut, "/runners/"+id, status)
	}
}

func (u *stopUpstream) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		if attempt == "" {
			return // a health check
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("X-Attempt-Id", attempt)
		if r.Header.Get("X-Expected-Runner") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		u.mu.Lock()
		turning, leaving, silent := u.turning, u.leaving, u.silent
		refusingRepeats, resettingRepeats := u.refusingRepeats, u.resettingRepeats
		u.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
			w.Header().Set("Connection", "close")
		}
		run, earlier := u.record.begin(attempt, id, r.RemoteAddr)
		whole := false
		defer func() { u.record.change(func() { run.ended, run.whole = time.Now(), whole }) }()
		mode, work := parseWork(r.Header.Get("X-Work"))
		if turning || mode == workRefuseFirst && earlier == 0 || refusingRepeats && earlier > 0 || !u.enter(r.Context()) {
			u.record.change(func() { run.refused = true })
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-u.places }()
		if earlier == 0 && (mode == workResetFirst || mode == workCrashFirst) {
			u.breakOff(w, mode)
			return
		}
		if resettingRepeats && earlier > 0 {
			u.breakOff(w, workResetFirst)
			return
		}
		if silent {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Runner-Signature", id)
		whole = u.answer(w, r, run, attempt, work)
	}
}

// enter waits for a place; it reports false if none becomes free.
func (u *stopUpstream) enter(ctx context.Context) bool {
	select {
	case u.places <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
	return false
}

func parseWork(text string) (mode string, work time.Duration) {
	mode, ms, _ := strings.Cut(text, " ")
	n, _ := strconv.Atoi(ms)
	return mode, time.Duration(n) * time.Millisecond
}

func (u *stopUpstream) breakOff(w http.ResponseWriter, mode string) {
	time.Sleep(20 * time.Millisecond)
	if mode == workCrashFirst {
		u.crash()
		return
	}
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if cut, ok := c.(*cutConn); ok {
			cut.reset()
		}
	}
}

// answer answers a request and reports whether it could finish.
func (u *stopUpstream) answer(w http.ResponseWriter, r *http.Request, run *upstreamRun, attempt string, work time.Duration) bool {
	if !strings.HasPrefix(r.Header.Get("X-Work"), workStream) {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return false
		}
		if _, ok := u.awaitPauseEnd(r.Context()); !ok {
			return false
		}
		u.record.change(func() { run.answering = time.Now() })
		_, err := io.WriteString(w, "booked "+attempt)
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	began := time.Now()
	for i := last + 1; i <= int(work/stopEventInterval); i++ {
		paused, ok := u.awaitPauseEnd(r.Context())
		if !ok {
			return false
		}
		began = began.Add(paused)
		if i == last+1 {
			u.record.change(func() { run.answering = time.Now() })
		}
		if _, err := io.WriteString(w, event(attempt, i)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		select {
		case <-time.After(time.Until(began.Add(time.Duration(i-last) * stopEventInterval))):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// awaitPauseEnd waits for the end of a pause and returns how long that took; it reports false if
// ctx is done before.
func (u *stopUpstream) awaitPauseEnd(ctx context.Context) (took time.Duration, ok bool) {
	began := time.Now()
	u.mu.Lock()
	until := u.pausedUntil
	u.mu.Unlock()
	if !began.Before(until) {
		return 0, true
	}
	select {
	case <-time.After(until.Sub(began)):
		return time.Since(began), true
	case <-ctx.Done():
		return 0, false
	}
}

// stopAnswer returns the whole answer to a request.
func stopAnswer(attempt, work string) string {
	mode, d := parseWork(work)
	if mode != workStream {
		return "booked " + attempt
	}
	var b strings.Builder
	for i := 1; i <= int(d/stopEventInterval); i++ {
		b.WriteString(event(attempt, i))
	}
	return b.String()
}
