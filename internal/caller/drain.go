package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	drainPollInterval = 10 * time.Millisecond
	// shutdownGrace is how long requests that were canceled at the shutdown limit may
	// take to send their errors.
	shutdownGrace = 2 * time.Second
	// settleTime is the part of shutdownGrace in which bookings may still record their
	// outcome before they are answered.
	settleTime = shutdownGrace / 2
	// bodyRestTimeout bounds the wait for the rest of the body of a refused request. The
	// client needs the time to read the refusal.
	bodyRestTimeout = 500 * time.Millisecond
)

// callPhase tells whether a call may still be refused as not run.
type callPhase int32

const (
	// phaseWaiting means that no upstream has run the call.
	phaseWaiting callPhase = iota
	// phaseStarted means that the call was sent.
	phaseStarted
	// phaseDuplicate means that the call is a duplicate of a booking that may have been sent.
	phaseDuplicate
	// phaseRefused means that the shutdown ended the call while it waited.
	phaseRefused
)

// drainState counts the open requests, decides which ones start during a shutdown, and can
// cancel their calls.
type drainState struct {
	mu        sync.Mutex
	window    drain.Window
	durations *drain.Durations
	// expired is true once the shutdown limit has passed. No call starts after it.
	expired bool
	open    int
	nextID  uint64
	ends    map[uint64]registration
	// answersDue ends settleTime after the limit.
	answersDue    context.Context
	endAnswersDue context.CancelFunc
}

// registration is a call, or the read of a body, that the shutdown can end.
type registration struct {
	call *call // nil for the read of a body
	end  context.CancelCauseFunc
}

func (d *drainState) init() {
	d.durations, d.ends = drain.NewDurations(), make(map[uint64]registration)
	d.answersDue, d.endAnswersDue = context.WithCancel(context.Background())
}

// beforeAnswersDue returns a context that also ends when the answers of the shutdown are due.
func (d *drainState) beforeAnswersDue(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.answersDue, func() { cancel(errShutdown) })
	return ctx, func() { stop(); cancel(nil) }
}

// commit runs f, which records something in the replicated state and may take longer than
// the shutdown. When the answers are due, commit returns errShutdown, while f goes on.
func (d *drainState) commit(f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-d.answersDue.Done():
		return errShutdown
	}
}

// shuttingDown returns the error for a request that ends because of the shutdown.
func shuttingDown(v verdict.Verdict, cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: v, Code: verdict.CodeShuttingDown, Status: http.StatusServiceUnavailable,
		RetryAfter: time.Second, Detail: "the node shuts down", Cause: cause,
	}
}

// startRequest counts one request unless the shutdown limit has passed. The returned
// function must be called at the end of the request.
func (d *drainState) startRequest(now time.Time) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired || d.window.Stopping() && !now.Before(d.window.End) {
		return nil, shuttingDown(verdict.NotRun, nil)
	}
	d.open++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open--
	}, nil
}

// register adds the function that ends a call, or the read of a body, during a shutdown.
// After the limit, it is called at once. It is never called after unregister.
func (d *drainState) register(c *call, end context.CancelCauseFunc) (unregister func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired {
		end(errShutdown)
		return func() {}
	}
	d.nextID++
	id := d.nextID
	d.ends[id] = registration{c, end}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.ends, id)
	}
}

// recordEnd records how long the answer to a call took. An upstream that fails may do so sooner
// than it answers. A client that reads slowly says nothing of its upstream.
func (d *drainState) recordEnd(now time.Time, c *call) {
	if c.attempts == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.answered && c.status < http.StatusInternalServerError {
		d.durations.Record(now, c.kind(), c.took(now))
	} else {
		d.durations.RecordUnfinished(now, c.kind(), c.took(now))
	}
}

// admits reports whether a call may be sent: its answer is expected to be complete before
// the end of a shutdown. Otherwise another node should serve it. A stream that has begun ends
// with an event that holds its verdict, so that it counts like any other answer.
func (d *drainState) admits(now time.Time, c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired || !d.window.Stopping() {
		return !d.expired
	}
	return d.window.Admits(now, c.deadline, false, d.estimate(now, c.kind()))
}

// admitsAgain reports whether a call that may have run can be sent again. No other node can
// take it over, so it is enough if its usual time fits.
func (d *drainState) admitsAgain(now time.Time, c *call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired || !d.window.Stopping() {
		return !d.expired
	}
	e := d.estimate(now, c.kind())
	return !e.Known || !now.Add(e.Mean).After(d.window.End)
}

// estimate returns how long answers of a kind take. What open calls have waited so far shows
// that their upstreams have become slow. d.mu must be held.
func (d *drainState) estimate(now time.Time, kind drain.Kind) drain.Estimate {
	e := d.durations.Estimate(now, kind)
	for _, r := range d.ends {
		if r.call != nil && callPhase(r.call.phase.Load()) == phaseStarted && r.call.kind() == kind {
			e.Longest = max(e.Longest, r.call.took(now))
		}
	}
	return e
}

// refuseWaiting ends the calls that wait and would not be sent any more.
func (d *drainState) refuseWaiting(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.window.Stopping() {
		return
	}
	estimates := make(map[drain.Kind]drain.Estimate)
	for _, r := range d.ends {
		if r.call == nil || callPhase(r.call.phase.Load()) != phaseWaiting && !r.call.isRefused() {
			continue
		}
		kind := r.call.kind()
		if _, ok := estimates[kind]; !ok {
			estimates[kind] = d.estimate(now, kind)
		}
		if d.window.Admits(now, r.call.deadline, false, estimates[kind]) {
			continue
		}
		// A booking has two registrations, both of which must end.
		if r.call.changePhase(phaseWaiting, phaseRefused) || r.call.isRefused() {
			r.end(errShutdown)
		}
	}
}

// expire ends all registered calls and reads. It returns the number of calls that had been
// sent; the others end as refused.
func (d *drainState) expire() (aborted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.expired {
		d.expired = true
		time.AfterFunc(settleTime, d.endAnswersDue)
	}
	sent := make(map[*call]bool)
	for _, r := range d.ends {
		if r.call != nil && callPhase(r.call.phase.Load()) == phaseStarted {
			sent[r.call] = true
		}
		r.end(errShutdown)
	}
	return len(sent)
}

func (d *drainState) hasExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *drainState) stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.window.Stopping()
}

func (d *drainState) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Stop starts the shutdown: the readiness check fails, responses close their connections, and
// a request starts only if it is expected to be complete before the end of the window.
func (a *API) Stop(w drain.Window) {
	a.drain.mu.Lock()
	a.drain.window = w
	a.drain.mu.Unlock()
	a.Unready.Store(true)
}

// Drain waits until no request is open. ctx ends at the shutdown limit. If it ends first,
// Drain closes the API and returns the number of aborted requests. Without an earlier Stop,
// no further request starts.
func (a *API) Drain(ctx context.Context) int {
	if !a.drain.stopping() {
		now := a.Now()
		a.Stop(drain.Window{Start: now, Settled: now, End: now})
	}
	for a.drain.count() > 0 && ctx.Err() == nil {
		wait(ctx, drainPollInterval)
	}
	if ctx.Err() == nil {
		return 0
	}
	return a.Close()
}

// Close refuses all further requests and those that wait, and aborts those that were sent,
// which end with their verdicts. It returns the number of aborted ones.
func (a *API) Close() int {
	aborted := a.drain.expire()
	if aborted > 0 {
		event.With(a.Log, event.RequestsEnded).WithField("requests", aborted).Error("shutdown limit reached; open requests were canceled")
	}
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	for a.drain.count() > 0 && grace.Err() == nil {
		wait(grace, drainPollInterval)
	}
	return aborted
}

// Open returns the number of open requests.
func (a *API) Open() int { return a.drain.count() }

// closeWhenUnready closes the connection after each response while the node shuts
// down, so that clients open their next connection to another node.
func (a *API) closeWhenUnready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.Unready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		if a.Unready.Load() {
			// Before it closes the connection, net/http waits for the rest of a body that was
			// not read. Reading the next request on a kept connection lifts the deadline.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyRestTimeout))
		}
	})
}
