package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
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
)

// drainState counts the open requests and can cancel their calls at shutdown.
type drainState struct {
	mu     sync.Mutex
	closed bool
	// expired is true once the shutdown limit has passed. No call starts after it.
	expired bool
	open    int
	nextID  uint64
	cancels map[uint64]context.CancelCauseFunc
	// answersDue ends settleTime after the limit.
	answersDue    context.Context
	endAnswersDue context.CancelFunc
}

func (d *drainState) init() {
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

// startRequest counts one request unless the API is shutting down. The returned function
// must be called at the end of the request.
func (d *drainState) startRequest() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, shuttingDown(verdict.NotRun, nil)
	}
	d.open++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open--
	}, nil
}

// register adds the function that ends a call, or the read of a body, at the shutdown limit.
// After the limit, it is called at once. It is never called after unregister.
func (d *drainState) register(cancel context.CancelCauseFunc) (unregister func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired {
		cancel(errShutdown)
		return func() {}
	}
	if d.cancels == nil {
		d.cancels = make(map[uint64]context.CancelCauseFunc)
	}
	d.nextID++
	id := d.nextID
	d.cancels[id] = cancel
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.cancels, id)
	}
}

// expire ends all registered calls and reads.
func (d *drainState) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.expired {
		d.expired = true
		time.AfterFunc(settleTime, d.endAnswersDue)
	}
	for _, cancel := range d.cancels {
		cancel(errShutdown)
	}
}

func (d *drainState) hasExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *drainState) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Drain stops accepting requests and waits until the open ones are answered. ctx ends
// at the shutdown limit. If it ends first, Drain cancels the open requests, which end
// with their verdicts, and returns their number. Requests that still arrive on
// keep-alive connections are refused with NotRun.
func (a *API) Drain(ctx context.Context) int {
	a.Unready.Store(true)
	a.drain.mu.Lock()
	a.drain.closed = true
	a.drain.mu.Unlock()
	for a.drain.count() > 0 && ctx.Err() == nil {
		wait(ctx, drainPollInterval)
	}
	interrupted := a.drain.count()
	if interrupted == 0 {
		return 0
	}
	event.With(a.Log, event.RequestsEnded).WithField("requests", interrupted).Error("shutdown limit reached; canceling open requests")
	a.drain.expire()
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	for a.drain.count() > 0 && grace.Err() == nil {
		wait(grace, drainPollInterval)
	}
	return interrupted
}

// closeWhenUnready closes the connection after each response while the node shuts
// down, so that clients open their next connection to another node.
func (a *API) closeWhenUnready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.Unready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
