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
	"github.com/jaystage/jaystage/pkg/traffic"
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
	mu sync.Mutex
	// calls holds since when each call waits for its answer.
	calls map[*call]waiting
	// window is that of the stop; zero before.
	window drain.Window
	// durations are from the time a request was read in full to the end of its answer.
	durations *drain.Durations
}

// waiting tells which answer a call waits for; zero while the request is being read.
type waiting struct {
	kind  drain.Kind
	since time.Time
}

func (o *openCalls) add(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = make(map[*call]waiting)
	}
	o.calls[c] = waiting{}
}

// startWaiting records that the call's request was read.
func (o *openCalls) startWaiting(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls[c] = waiting{c.kind(), c.bodyRead}
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
	return !o.window.Stopping() || o.window.Admits(now, c.deadline.Add(deadlineGrace), c.route.Kind == traffic.Stream, o.estimate(now, c))
}

// estimate returns how long the answer to a call takes. What other calls of the kind have waited
// so far shows that their service has become slow.
func (o *openCalls) estimate(now time.Time, c *call) drain.Estimate {
	kind := c.kind()
	e := o.durations.Estimate(now, kind)
	for other, w := range o.calls {
		if other != c && w.kind == kind && other.phase.load() != phaseChoosing {
			e.Longest = max(e.Longest, now.Sub(w.since)-other.w.waitedFor())
		}
	}
	return e
}

// recordEnd records how long the answer to a call took. Upstreams that reject requests or fail
// do so sooner than they answer. A client that reads slowly says nothing of its upstream.
func (o *openCalls) recordEnd(now time.Time, c *call, complete bool) {
	took := now.Sub(c.bodyRead) - c.w.waitedFor()
	o.mu.Lock()
	defer o.mu.Unlock()
	if complete && c.status < http.StatusMultipleChoices {
		o.durations.Record(now, c.kind(), took)
	} else {
		o.durations.RecordUnfinished(now, c.kind(), took)
	}
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
	return drain.Kind{Service: c.service.Name, Route: c.route.Name, Size: bits.Len(uint(c.maxOutput))}
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
