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
	// suspectTTL is how long a crash counts against a request.
	suspectTTL            = 10 * time.Minute
	maxSuspects           = 10000
	isolationPollInterval = 20 * time.Millisecond
	// siblingFailureWait is how long to wait until other requests on a failed
	// upstream have failed too.
	siblingFailureWait = 50 * time.Millisecond
)

// Suspects holds the requests that were in flight on crashed upstreams. It is
// safe for concurrent use.
type Suspects struct {
	// Broadcast sends new suspects to the other nodes of the cell. BroadcastClear
	// sends the fingerprint of a request that proved harmless. Both are nil if
	// there are no other nodes, and must not block.
	Broadcast      func([]routing.Suspect)
	BroadcastClear func(routing.Fingerprint)

	mu    sync.Mutex
	table *routing.Suspects
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects { return &Suspects{table: routing.NewSuspects(maxSuspects, suspectTTL)} }

// Merge applies a suspect received from another node.
func (s *Suspects) Merge(now time.Time, in routing.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(now, in)
}

// Clear removes a suspect that another node cleared.
func (s *Suspects) Clear(f routing.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Clear(f)
}

// Confirmed lists the suspects to send to the other cells.
func (s *Suspects) Confirmed(now time.Time) []routing.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Confirmed(now)
}

// check returns how a request may run. For Isolate, started is true when the
// isolated run of the request starts now, and false while a copy of the request
// runs.
func (s *Suspects) check(now, deadline time.Time, f routing.Fingerprint) (decision routing.SuspectDecision, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, busy := s.table.Check(now, f)
	if decision == routing.Isolate && !busy {
		s.table.RecordStart(f, deadline)
	}
	return decision, decision == routing.Isolate && !busy
}

// allows reports whether a request may run beside others.
func (s *Suspects) allows(now time.Time, f routing.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, _ := s.table.Check(now, f)
	return decision == routing.Allow
}

// crashedUpstreams lists the upstreams that crashed with the request in flight.
func (s *Suspects) crashedUpstreams(f routing.Fingerprint) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CrashedUpstreams(f)
}

// recordCrash records that the upstream crashed with the request in flight.
func (s *Suspects) recordCrash(now time.Time, at *attempt) {
	s.mu.Lock()
	out := s.table.RecordCrash(now, at.target.ID, at.target.Incarnation, at.ticket.Isolated, []routing.Fingerprint{at.call.fingerprint})
	s.mu.Unlock()
	if s.Broadcast != nil {
		s.Broadcast(out)
	}
}

// recordEnd records the end of an isolated run, if there was one.
func (s *Suspects) recordEnd(f routing.Fingerprint, answered bool) {
	s.mu.Lock()
	cleared := s.table.RecordEnd(f, answered)
	s.mu.Unlock()
	if cleared && s.BroadcastClear != nil {
		s.BroadcastClear(f)
	}
}

// checkSuspect refuses a call that crashed too many upstreams. A suspect must run
// isolated; copies of it wait for each other, so that they do not crash several
// upstreams at once.
func (a *API) checkSuspect(ctx context.Context, c *call) error {
	for {
		if a.Parts.isBlocked(c.parts) {
			event.With(a.Log, event.CrashRefused).WithField("account", c.account.Name).WithField("service", c.service.Name).Warn("request refused because a part of its prompt crashes upstreams")
			return crashRefusal("a part of the prompt crashes the upstreams that run it")
		}
		decision, started := a.Suspects.check(a.Now(), c.deadline, c.fingerprint)
		switch {
		case decision == routing.Refuse:
			event.With(a.Log, event.CrashRefused).WithField("account", c.account.Name).WithField("service", c.service.Name).Warn("request refused because it crashes upstreams")
			return crashRefusal("the upstreams that ran this request crashed")
		case decision == routing.Allow || c.isolated || c.atMostOnce:
			return nil
		case started:
			c.isolated = true
			for _, id := range a.Suspects.crashedUpstreams(c.fingerprint) {
				c.avoid(id)
			}
			return nil
		}
		if !wait(ctx, isolationPollInterval) {
			return a.contextError(ctx, c)
		}
	}
}

func crashRefusal(detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeCrashes, Status: http.StatusUnprocessableEntity, Detail: detail}
}

// detectCrash reports whether the upstream of a broken attempt crashed: it fails
// its health check, has a new incarnation, or all its requests failed together
// with this one. If only this connection failed while other requests of the
// upstream continue, it did not crash. down is true when the health check failed.
func (a *API) detectCrash(ctx context.Context, at *attempt) (crash, down bool) {
	if err := a.Transport.Probe(ctx, at.target.Address); err != nil {
		return ctx.Err() == nil, ctx.Err() == nil
	}
	if e, ok := a.Upstreams.Get(at.target.ID); !ok || e.Incarnation != at.target.Incarnation {
		return true, false
	}
	if !wait(ctx, siblingFailureWait) {
		return false, false
	}
	return !a.openAttempts.hasOpenSibling(at), false
}

// recordSuspect records the call as in flight at a crash. It ignores VMs whose
// reclaim or shutdown was announced, because their end says nothing about the
// requests.
func (a *API) recordSuspect(c *call, at *attempt) {
	e, ok := a.Upstreams.Get(at.target.ID)
	if ok && (e.Leaving || e.Reclaim > 0) || at.target.Reclaim > 0 || c.atMostOnce {
		return
	}
	c.isolated = false // the crash ended the isolated run
	a.Suspects.recordCrash(a.Now(), at)
	a.Parts.recordCrash(a.Now(), at)
	event.With(a.Log, event.UpstreamCrashed).WithField("upstream", at.target.ID).WithField("incarnation", at.target.Incarnation).
		WithField("request", at.id).Warn("upstream crashed with the request in flight")
}
