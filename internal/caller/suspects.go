package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxCrashes is the number of upstreams that a request may crash: one, and two
	// further ones on which it ran alone.
	maxCrashes = 3
	// suspectTime is how long a crash counts against a request.
	suspectTime = 10 * time.Minute
	maxSuspects = 10000
	trialPoll   = 20 * time.Millisecond
	// siblingGrace is how long requests that failed with an upstream may take to
	// notice it.
	siblingGrace = 50 * time.Millisecond
)

// Suspicion says that a request was in flight on an upstream when it crashed. The
// same crash reported twice counts once.
type Suspicion struct {
	Fingerprint uint64
	Upstream    string
	Incarnation uint64
	// Trial is the id of the attempt when the request ran alone, or empty. Each
	// attempt alone counts, also on an upstream whose new incarnation is not known
	// yet; copies of a request on one upstream count once.
	Trial string
}

// Suspects holds the requests that were in flight on crashed upstreams. It is safe
// for concurrent use.
type Suspects struct {
	// Spread tells the other nodes of the cell; nil for none. It must not block.
	Spread func(Suspicion)

	mu    sync.Mutex
	known map[uint64]*suspectRequest
}

type suspectRequest struct {
	crashes map[Suspicion]struct{}
	last    time.Time
	trial   bool
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects { return &Suspects{known: make(map[uint64]*suspectRequest)} }

// Learn records a crash that this node or another one saw.
func (s *Suspects) Learn(now time.Time, crash Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.known) >= maxSuspects {
		s.expire(now)
	}
	r, ok := s.known[crash.Fingerprint]
	if !ok {
		r = &suspectRequest{crashes: make(map[Suspicion]struct{})}
		s.known[crash.Fingerprint] = r
	}
	r.crashes[crash] = struct{}{}
	r.last = now
}

// expire drops old entries, and if there are none, those with a single crash.
func (s *Suspects) expire(now time.Time) {
	for fp, r := range s.known {
		if !r.trial && now.Sub(r.last) > suspectTime {
			delete(s.known, fp)
		}
	}
	for fp, r := range s.known {
		if len(s.known) < maxSuspects {
			return
		}
		if !r.trial && len(r.crashes) == 1 {
			delete(s.known, fp)
		}
	}
}

// Crashes returns the number of upstreams that crashed with the request in flight.
func (s *Suspects) Crashes(now time.Time, fingerprint uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.known[fingerprint]
	if !ok || !r.trial && now.Sub(r.last) > suspectTime {
		return 0
	}
	return len(r.crashes)
}

// BeginTrial is true when no other copy of the suspect runs on this node.
func (s *Suspects) BeginTrial(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.known[fingerprint]
	if !ok || r.trial {
		return false
	}
	r.trial = true
	return true
}

// EndTrial ends what BeginTrial began.
func (s *Suspects) EndTrial(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.known[fingerprint]; ok {
		r.trial = false
	}
}

// Clear removes a request that was answered in full.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.known, fingerprint)
}

// fingerprint names a request by its client account and content.
func fingerprint(account, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(account + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

// suspected refuses a call that crashed too many upstreams. A call that is a
// suspect becomes a trial, which runs alone; copies of it wait for each other, so
// that they do not crash several upstreams at once.
func (a *API) suspected(ctx context.Context, c *call) error {
	for {
		crashes := a.Suspects.Crashes(a.Now(), c.fingerprint)
		switch {
		case crashes >= maxCrashes:
			event.With(a.Log, event.CrashRefused).WithField("account", c.account.Name).WithField("crashes", crashes).Warn("request refused because it crashes upstreams")
			return &verdict.Error{
				Verdict: verdict.NotRun, Code: verdict.CodeCrashes, Status: http.StatusUnprocessableEntity,
				Detail: "the upstreams that ran this request crashed",
			}
		case crashes == 0 || c.trial:
			return nil
		case a.Suspects.BeginTrial(c.fingerprint):
			c.trial = true
			return nil
		}
		if !wait(ctx, trialPoll) {
			return a.ended(ctx, c)
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
	return !a.flights.openBefore(at), false
}

// suspect records the call as in flight at a crash. VMs that were announced to go
// say nothing of the requests on them.
func (a *API) suspect(c *call, at *attempt) {
	e, ok := a.Upstreams.Get(at.target.ID)
	if ok && (e.Leaving || e.Reclaim > 0) || at.target.Reclaim > 0 || c.once {
		return
	}
	crash := Suspicion{Fingerprint: c.fingerprint, Upstream: at.target.ID, Incarnation: at.target.Incarnation}
	if at.alone {
		crash.Trial = at.id
	}
	a.Suspects.Learn(a.Now(), crash)
	if a.Suspects.Spread != nil {
		a.Suspects.Spread(crash)
	}
	event.With(a.Log, event.UpstreamCrashed).WithField("upstream", at.target.ID).WithField("incarnation", at.target.Incarnation).
		WithField("request", at.id).Warn("upstream crashed with the request in flight")
}
