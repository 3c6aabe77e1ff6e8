package gateway

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/listener"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// stopRetryAfter is the shortest Retry-After of a request that a stopping node refuses,
	// and stopRetrySpread the time over which such clients return: other nodes serve them at
	// once.
	stopRetryAfter  = 50 * time.Millisecond
	stopRetrySpread = 100 * time.Millisecond
)

// errStopped is the cause of the end of a call at the end of a stop.
var errStopped = errors.New("the node stops")

// phase is how far a call has come.
type phase int32

const (
	phaseReading   phase = iota // the request is being read
	phaseChoosing               // waits for an upstream
	phaseSent                   // sent to an upstream, which has not answered
	phaseAnswering              // the client has got a part of the answer
)

// String returns the name used in logs.
func (p phase) String() string { return [...]string{"reading", "choosing", "sent", "answering"}[p] }

// openCalls holds the calls that are being served.
type openCalls struct {
	mu    sync.Mutex
	calls map[*call]bool
	// window is that of the stop; zero before.
	window drain.Window
	// durations are from the time a request was read in full to the end of its answer.
	durations *drain.Durations
}

func (o *openCalls) add(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = make(map[*call]bool)
	}
	o.calls[c] = true
}

func (o *openCalls) remove(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
}

func (o *openCalls) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.calls)
}

// sinceStop returns how long the node has been stopping; false if it is not.
func (o *openCalls) sinceStop(now time.Time) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.window.Start), o.window.Stopping()
}

// admits reports whether a call may be sent to an upstream: while the node stops, it must be
// expected to end in time.
func (o *openCalls) admits(now time.Time, c *call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.window.Stopping() || o.window.Admits(now, c.deadline.Add(deadlineGrace), o.durations.Estimate(now, c.kind()))
}

func (o *openCalls) recordAnswer(now time.Time, c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.durations.Record(now, c.kind(), now.Sub(c.bodyRead))
}

// Open returns the number of requests that are being served.
func (g *Gateway) Open() int { return g.open.count() }

// Stop records that the node was told to stop. From then on it is not ready, each answer
// closes its connection, and requests that cannot be answered within the window are refused.
func (g *Gateway) Stop(w drain.Window) {
	g.open.mu.Lock()
	g.open.window = w
	g.open.mu.Unlock()
	g.unready.Store(true)
}

// EndCalls ends the calls that are being served. Their clients get their verdicts; an answer
// that has begun is broken off.
func (g *Gateway) EndCalls() {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	for c := range g.open.calls {
		c.cancel(errStopped)
	}
}

// ended reports whether the call was ended by EndCalls.
func (c *call) ended() bool { return errors.Is(context.Cause(c.ctx), errStopped) }

// stopRefusal refuses a call that was not sent to an upstream. The delay depends on the
// request ID, so that clients that were refused together do not return together.
func (c *call) stopRefusal() *verdict.Error {
	after := stopRetryAfter + time.Duration(unitHash(c.id, "return")*float64(stopRetrySpread))
	return refusal(http.StatusServiceUnavailable, verdict.CodeShuttingDown, after, "the node stops and cannot finish the request in time")
}

// kind returns the kind of requests whose answers take as long as that of the call.
func (c *call) kind() drain.Kind {
	return drain.Kind{Service: c.service.Name, Size: bits.Len(uint(c.maxOutput))}
}

// LogOpen logs the calls that are being served.
func (g *Gateway) LogOpen(now time.Time) {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	for c := range g.open.calls {
		fields := logrus.Fields{"request": c.id, "phase": c.phase.load().String(), "took_ms": millis(now.Sub(c.start))}
		c.addConnFields(fields, now)
		fields["since_ms"] = millis(now.Sub(g.open.window.Start))
		event.With(g.Log, event.RequestCut).WithFields(fields).Warn("request is still open at the end of the grace period")
	}
}

// addConnFields adds what tells how a request came to the node.
func (c *call) addConnFields(fields logrus.Fields, now time.Time) {
	if info, ok := listener.InfoOf(c.r.Context()); ok {
		fields["conn"], fields["conn_age_ms"] = info.Requests, millis(now.Sub(info.Opened))
	}
	fields["chunked"] = len(c.r.TransferEncoding) > 0
}

// phaseValue is a phase that another goroutine may read.
type phaseValue struct{ value atomic.Int32 }

func (v *phaseValue) store(p phase) { v.value.Store(int32(p)) }

func (v *phaseValue) load() phase { return phase(v.value.Load()) }
