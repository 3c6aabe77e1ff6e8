package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// suspectTime is how long a crash counts against a request.
	suspectTime = 10 * time.Minute
	maxSuspects = 10000
	trialPoll   = 20 * time.Millisecond
	// siblingGrace is how long requests that failed with an upstream may take to
	// notice it.
	siblingGrace = 50 * time.Millisecond
)

// Suspects holds the requests that were in flight on crashed upstreams. It is safe
// for concurrent use.
type Suspects struct {
	// Spread tells the other nodes of the cell of new suspects, SpreadClear of a
	// request that proved harmless; nil for no other nodes. They must not block.
	Spread      func([]routing.Suspect)
	SpreadClear func(routing.Fingerprint)

	mu    sync.Mutex
	table *routing.Suspects
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects { return &Suspects{table: routing.NewSuspects(maxSuspects, suspectTime)} }

// Learn takes an entry of another node.
func (s *Suspects) Learn(now time.Time, in routing.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(now, in)
}

// Forget takes SpreadClear of another node.
func (s *Suspects) Forget(f routing.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Clear(f)
}

// Confirmed lists the entries for the other cells.
func (s *Suspects) Confirmed(now time.Time) []routing.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Confirmed(now)
}

// rule tells how a request may run. For Alone, began is true when the try of the
// request begins now, and false while a copy of it runs.
func (s *Suspects) rule(now, deadline time.Time, f routing.Fingerprint) (r routing.SuspectDecision, began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, busy := s.table.Check(now, f)
	if r == routing.Isolate && !busy {
		s.table.RecordStart(f, deadline)
	}
	return r, r == routing.Isolate && !busy
}

func (s *Suspects) tried(f routing.Fingerprint) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CrashedUpstreams(f)
}

// crash records that the upstream crashed with the request in flight.
func (s *Suspects) crash(now time.Time, at *attempt) {
	s.mu.Lock()
	out := s.table.RecordCrash(now, at.target.ID, at.target.Incarnation, at.ticket.Isolated, []routing.Fingerprint{at.call.fingerprint})
	s.mu.Unlock()
	if s.Spread != nil {
		s.Spread(out)
	}
}

// done ends the try of a request.
func (s *Suspects) done(f routing.Fingerprint, answered bool) {
	s.mu.Lock()
	cleared := s.table.RecordEnd(f, answered)
	s.mu.Unlock()
	if cleared && s.SpreadClear != nil {
		s.SpreadClear(f)
	}
}

// suspected refuses a call that crashed too many upstreams. A call that is a
// suspect becomes a trial, which runs alone; copies of it wait for each other, so
// that they do not crash several upstreams at once.
func (a *API) suspected(ctx context.Context, c *call) error {
	for {
		ruling, began := a.Suspects.rule(a.Now(), c.deadline, c.fingerprint)
		switch {
		case ruling == routing.Refuse:
			event.With(a.Log, event.CrashRefused).WithField("account", c.account.Name).WithField("service", c.service.Name).Warn("request refused because it crashes upstreams")
			return &verdict.Error{
				Verdict: verdict.NotRun, Code: verdict.CodeCrashes, Status: http.StatusUnprocessableEntity,
				Detail: "the upstreams that ran this request crashed",
			}
		case ruling == routing.Allow || c.trial || c.once:
			return nil
		case began:
			c.trial = true
			for _, id := range a.Suspects.tried(c.fingerprint) {
				c.avoid(id)
			}
			return nil
		}
		if !wait(ctx, trialPoll) {
			return a.contextError(ctx, c)
		}
	}
}

// crashed tells whether the upstream of a broken attempt crashed: it runs under
// another incarnation, fails its health check, or all requests that it ran failed
// with this one. A connection that fails while others of the upstream go on is no
// crash. down is true when the upstream does not answer now.
func (a *API) crashed(ctx context.Context, at *attempt) (crash, down bool) {
	if err := a.Transport.Probe(ctx, at.target.Address); err != nil {
		return ctx.Err() == nil, ctx.Err() == nil
	}
	if e, ok := a.Upstreams.Get(at.target.ID); !ok || e.Incarnation != at.target.Incarnation {
		return true, false
	}
	if !wait(ctx, siblingGrace) {
		return false, false
	}
	return !a.flights.hasOpenSibling(at), false
}

// suspect records the call as in flight at a crash. VMs that were announced to go
// say nothing of the requests on them.
func (a *API) suspect(c *call, at *attempt) {
	e, ok := a.Upstreams.Get(at.target.ID)
	if ok && (e.Leaving || e.Reclaim > 0) || at.target.Reclaim > 0 || c.once {
		return
	}
	c.trial = false // the try ended with the crash
	a.Suspects.crash(a.Now(), at)
	event.With(a.Log, event.UpstreamCrashed).WithField("upstream", at.target.ID).WithField("incarnation", at.target.Incarnation).
		WithField("request", at.id).Warn("upstream crashed with the request in flight")
}
