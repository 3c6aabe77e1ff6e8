package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/listener"
)

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
	// stopped is when the node was told to stop; zero before.
	stopped time.Time
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
	return now.Sub(o.stopped), !o.stopped.IsZero()
}

// Open returns the number of requests that are being served.
func (g *Gateway) Open() int { return g.open.count() }

// Stop records that the node was told to stop at a time. From then on it is not ready, and
// each answer closes its connection.
func (g *Gateway) Stop(now time.Time) {
	g.open.mu.Lock()
	g.open.stopped = now
	g.open.mu.Unlock()
	g.unready.Store(true)
}

// LogOpen logs the calls that are being served.
func (g *Gateway) LogOpen(now time.Time) {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	for c := range g.open.calls {
		fields := logrus.Fields{"request": c.id, "phase": c.phase.load().String(), "took_ms": millis(now.Sub(c.start))}
		c.addConnFields(fields, now)
		fields["since_ms"] = millis(now.Sub(g.open.stopped))
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
