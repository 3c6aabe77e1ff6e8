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
	drainPoll = 10 * time.Millisecond
	// endTime is how long requests that are ended at the limit of a shutdown may take
	// to tell their callers.
	endTime = 2 * time.Second
)

// drain counts the requests of an API that shuts down.
type drain struct {
	mu     sync.Mutex
	closed bool
	open   int
	next   uint64
	ends   map[uint64]context.CancelCauseFunc
}

// enter admits one request unless the node no longer takes any.
func (d *drain) enter() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeShuttingDown, Status: http.StatusServiceUnavailable,
			RetryAfter: time.Second, Detail: "the node shuts down",
		}
	}
	d.open++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.open--
	}, nil
}

// add registers how a call is ended at the limit of a shutdown.
func (d *drain) add(end context.CancelCauseFunc) (forget func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ends == nil {
		d.ends = make(map[uint64]context.CancelCauseFunc)
	}
	d.next++
	id := d.next
	d.ends[id] = end
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.ends, id)
	}
}

func (d *drain) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// Drain takes no new requests and waits until the open ones are answered. When
// limit ends first, it ends them with their verdicts and returns their number.
// Until then requests on kept-alive connections are refused with NotRun.
func (a *API) Drain(limit context.Context) int {
	a.Unready.Store(true)
	a.drain.mu.Lock()
	a.drain.closed = true
	a.drain.mu.Unlock()
	for a.drain.count() > 0 && limit.Err() == nil {
		wait(limit, drainPoll)
	}
	cut := a.drain.count()
	if cut == 0 {
		return 0
	}
	event.With(a.Log, event.RequestsEnded).WithField("requests", cut).Error("open requests were ended at the limit of the shutdown")
	a.drain.mu.Lock()
	for _, end := range a.drain.ends {
		end(errShutdown)
	}
	a.drain.mu.Unlock()
	grace, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	for a.drain.count() > 0 && grace.Err() == nil {
		wait(grace, drainPoll)
	}
	return cut
}

// closing marks answers of a node that shuts down, so that callers open their next
// connection to another node.
func (a *API) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.Unready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
