package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// silentBeats is the number of heartbeat intervals after which an upstream that
	// says nothing and answered nothing gets no new requests.
	silentBeats = 6
	// heardAnswers is how long an answer stands for a heartbeat.
	heardAnswers = 5 * time.Second
	// queueShare is the number of requests that may wait on a plain upstream for each
	// of its slots, and queueEngine the part of an engine's slots.
	queueShare  = 2
	queueEngine = 0.25
)

// fleet is what the node knows of the upstreams.
type fleet struct {
	g      *Gateway
	roster *roster.Roster

	mu      sync.Mutex
	ups     map[string]*unit
	budgets map[string]*traffic.Budget // by service
	// heard is when any status arrived last. While none arrives, no upstream counts as
	// silent: the node itself may be cut off.
	heard time.Time
	// freed is closed and replaced when a place becomes free.
	freed chan struct{}
	// returned is when each failure domain came back from a drain.
	returned map[string]time.Time
	drained  map[string]bool
}

// unit is one start of an upstream.
type unit struct {
	placement.Upstream
	seen     time.Time // last status
	answered time.Time // last answer
	warmed   time.Time // when a status last said that it is warm
}

func newFleet(g *Gateway) *fleet {
	return &fleet{
		g: g, roster: roster.New(), ups: make(map[string]*unit), budgets: make(map[string]*traffic.Budget),
		freed: make(chan struct{}), returned: make(map[string]time.Time), drained: make(map[string]bool),
	}
}

func (f *fleet) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ups) > 0
}

// Learn takes statuses of upstreams.
func (g *Gateway) Learn(now time.Time, list []wire.Status) {
	for _, s := range list {
		change := g.fleet.roster.Apply(now, s)
		g.fleet.learn(now, s, change)
		if change == roster.Joined || change == roster.Left {
			event.With(g.Log, event.UpstreamChanged).WithFields(map[string]any{
				"upstream": s.ID, "service": s.Service, "domain": s.Domain, "address": s.Address, "born": s.Born,
				"sequence": s.Sequence, "leaving": s.Leaving, "gone": s.Gone, "cold_ms": s.Cold,
			}).Info("upstream changed")
		}
	}
}

func (f *fleet) learn(now time.Time, s wire.Status, change roster.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = now
	if change == roster.Outdated {
		return
	}
	for id, u := range f.ups {
		if u.Address == s.Address && id != s.ID && u.Born <= int64(s.Born) {
			delete(f.ups, id)
		}
	}
	u := f.ups[s.ID]
	switch {
	case s.Gone:
		if u != nil {
			u.Leaving = true
			if u.Open == 0 {
				delete(f.ups, s.ID)
			}
		}
		return
	case u == nil || u.Born != int64(s.Born):
		u = &unit{Upstream: placement.Upstream{ID: s.ID, Born: int64(s.Born)}}
		f.ups[s.ID] = u
	}
	u.Address, u.Domain, u.Service, u.Version = s.Address, s.Domain, s.Service, s.Version
	u.Slots, u.seen = int(s.Slots), now
	u.Leaving = u.Leaving || s.Leaving
	if s.Cold > 0 {
		u.Cold = now.Add(time.Duration(s.Cold) * time.Millisecond)
	} else {
		u.warmed = now
	}
}

// nodes lists the entry nodes of a view.
func nodes(view *config.View) []string {
	var list []string
	for _, n := range view.SortedNodes() {
		if !n.Voter {
			list = append(list, n.Name)
		}
	}
	return list
}

// candidates lists the upstreams of a call's service that may get new requests. The
// fleet's lock must be held.
func (f *fleet) candidates(now time.Time, c *call, view *config.View) []*placement.Upstream {
	f.followDrains(now, view, c.service)
	admits := versions(view, c)
	stale := silentBeats * f.g.Bounds.Heartbeat
	var list []*placement.Upstream
	for _, u := range f.ups {
		if u.Service != c.service.Name {
			continue
		}
		if _, drained := view.DrainedDomains[u.Domain]; drained {
			continue
		}
		if !admits(u.Version) {
			continue
		}
		if d, drained := view.DrainedUpstreams[u.ID]; drained && (d.Born == 0 || u.Born <= d.Born) {
			continue
		}
		if stale > 0 && now.Sub(u.seen) > stale && now.Sub(u.answered) > heardAnswers && now.Sub(f.heard) < f.g.Bounds.Heartbeat {
			continue
		}
		list = append(list, &u.Upstream)
	}
	slices.SortFunc(list, func(a, b *placement.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// versions tells which versions of its service may serve a call while the service's
// traffic moves to a new version, and after a move.
func versions(view *config.View, c *call) func(version string) bool {
	move, ok := view.Moves[c.service.Name]
	switch {
	case !ok:
		return func(string) bool { return true }
	case move.Phase == config.MoveDone:
		return func(version string) bool { return version == move.Target }
	case move.Phase == config.MoveUndone:
		return func(version string) bool { return version != move.Target }
	}
	next := draw(c.id, "move") < move.Share && c.sent == 0
	return func(version string) bool { return (version == move.Target) == (next || move.Share >= 1) }
}

// followDrains notes which failure domains came back from a drain: their upstreams
// may have turned cold meanwhile, and a status from before does not say so.
func (f *fleet) followDrains(now time.Time, view *config.View, s *traffic.Service) {
	for d := range f.drained {
		if _, still := view.DrainedDomains[d]; !still {
			delete(f.drained, d)
			f.returned[d] = now
		}
	}
	for d := range view.DrainedDomains {
		f.drained[d] = true
	}
	if s.ColdRate <= 0 {
		return
	}
	for _, u := range f.ups {
		back, ok := f.returned[u.Domain]
		// A status that was sent after the return tells; it may have been on its way for
		// one interval.
		if ok && u.Service == s.Name && u.warmed.Before(back.Add(f.g.Bounds.Heartbeat)) {
			if until := now.Add(f.g.Bounds.Heartbeat); until.After(u.Cold) {
				u.Cold = until
			}
		}
	}
}

// limits returns the limits of a call's service as this node keeps them.
func (f *fleet) limits(c *call, view *config.View, u *placement.Upstream) placement.Limits {
	l := placement.Limits{Self: f.g.Self, Domain: f.g.Domain, Nodes: nodes(view), ColdRate: c.service.ColdRate, Connected: f.g.pool.has}
	if u == nil {
		return l
	}
	if c.service.Engine != nil {
		l.Queue = int(float64(u.Slots) * queueEngine)
	} else {
		l.Queue = u.Slots * queueShare
	}
	return l
}

// budget returns the budget of attempts beyond the first for a service. The fleet's
// lock must be held.
func (f *fleet) budget(service string, nodes int) *traffic.Budget {
	b := f.budgets[service]
	if b == nil {
		b = &traffic.Budget{Window: f.g.Bounds.RetryWindow}
		f.budgets[service] = b
	}
	// Retries of several nodes may fall into one window that none of them sees, so
	// each keeps within a part of its own share.
	const part = 0.7
	b.Ratio, b.Slack = part*f.g.Bounds.RetryRatio, part*f.g.Bounds.RetrySlack/float64(max(1, nodes))
	return b
}

// free wakes the calls that wait for a place. The fleet's lock must be held.
func (f *fleet) free() {
	close(f.freed)
	f.freed = make(chan struct{})
}
