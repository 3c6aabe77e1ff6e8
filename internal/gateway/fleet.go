package gateway

import (
	"slices"
	"strings"
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
	holders map[string]*unit // by address
	lists   map[listKey]*candidates
	// view and members are the view that the node list was last read from, and the list.
	view    *config.View
	members []string
	budgets map[string]*traffic.RetryBudget // by service
	// heard is when any status arrived last. While none arrives, no upstream counts as
	// silent: the node itself may be cut off.
	heard time.Time
	// freed is closed and replaced when a place becomes free.
	freed chan struct{}
	// returns is when each failure domain came back from a drain.
	returns config.Returns
}

// unit is one start of an upstream.
type unit struct {
	placement.Upstream
	list     *candidates // that holds the unit
	seen     time.Time   // last status
	answered time.Time   // last answer
	warmed   time.Time   // when a status last said that it is warm
}

func newFleet(g *Gateway) *fleet {
	return &fleet{
		g: g, roster: roster.New(), ups: make(map[string]*unit), holders: make(map[string]*unit), lists: make(map[listKey]*candidates), budgets: make(map[string]*traffic.RetryBudget),
		freed: make(chan struct{}),
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
	if holder := f.holders[s.Address]; holder != nil && holder.Address == s.Address && holder.ID != s.ID && holder.StartMillis <= int64(s.Born) {
		f.remove(holder)
	}
	u := f.ups[s.ID]
	switch {
	case s.Gone:
		if u != nil {
			u.Leaving = true
			if u.Open == 0 {
				f.remove(u)
			}
		}
		return
	case u == nil || u.StartMillis != int64(s.Born):
		u = &unit{Upstream: placement.Upstream{ID: s.ID, StartMillis: int64(s.Born)}}
		f.ups[s.ID] = u
		clear(f.lists)
	case u.Service != s.Service || u.Version != s.Version || u.Domain != s.Domain:
		clear(f.lists)
	}
	if u.Address != s.Address && f.holders[u.Address] == u {
		delete(f.holders, u.Address)
	}
	f.holders[s.Address] = u
	u.Address, u.Domain, u.Service, u.Version = s.Address, s.Domain, s.Service, s.Version
	u.Slots, u.seen = int(s.Slots), now
	u.Leaving = u.Leaving || s.Leaving
	if s.Cold > 0 {
		u.ColdUntil = now.Add(time.Duration(s.Cold) * time.Millisecond)
	} else {
		u.warmed = now
	}
}

// remove forgets a unit. The fleet's lock must be held.
func (f *fleet) remove(u *unit) {
	if f.ups[u.ID] == u {
		delete(f.ups, u.ID)
	}
	if f.holders[u.Address] == u {
		delete(f.holders, u.Address)
	}
	clear(f.lists)
}

// nodes lists the entry nodes of a view. The fleet's lock must be held.
func (f *fleet) nodes(view *config.View) []string {
	if f.view == view && view != nil {
		return f.members
	}
	f.view, f.members = view, nil
	for _, n := range view.SortedNodes() {
		if !n.Voter {
			f.members = append(f.members, n.Name)
		}
	}
	return f.members
}

// count returns the number of entry nodes of a view.
func (f *fleet) count(view *config.View) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.nodes(view))
}

// listAge is how long a list of candidates is used again: whether an upstream reports
// shows over seconds.
const listAge = 50 * time.Millisecond

// listKey tells lists of candidates apart: requests of one service may go to different
// versions while its traffic moves.
type listKey struct {
	service string
	next    bool // the version that the traffic moves to
}

// candidates is a list of upstreams that may get new requests.
type candidates struct {
	view *config.View
	at   time.Time
	list []*placement.Upstream
}

// candidates lists the upstreams of a call's service that may get new requests. The
// fleet's lock must be held.
func (f *fleet) candidates(now time.Time, c *call, view *config.View) *candidates {
	next, admits := versions(view, c)
	key := listKey{c.service.Name, next}
	if l := f.lists[key]; l != nil && l.view == view && now.Sub(l.at) < listAge {
		return l
	}
	f.followDrains(now, view, c.service)
	l := &candidates{view: view, at: now}
	f.lists[key] = l
	for _, u := range f.ups {
		if u.Service == c.service.Name && admits(u.Version) && !f.out(now, view, u) {
			u.list = l
			l.list = append(l.list, &u.Upstream)
		}
	}
	slices.SortFunc(l.list, func(a, b *placement.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// out tells whether an upstream is drained or has fallen silent.
func (f *fleet) out(now time.Time, view *config.View, u *unit) bool {
	if _, drained := view.DrainedDomains[u.Domain]; drained {
		return true
	}
	if d, drained := view.DrainedUpstreams[u.ID]; drained && (d.Born == 0 || u.StartMillis <= d.Born) {
		return true
	}
	stale := silentBeats * f.g.Bounds.Heartbeat
	return stale > 0 && now.Sub(u.seen) > stale && now.Sub(u.answered) > heardAnswers && now.Sub(f.heard) < f.g.Bounds.Heartbeat
}

// linked lists the members of a list to which the node keeps a connection.
func (f *fleet) linked(l *candidates) []*placement.Upstream {
	var list []*placement.Upstream
	for _, address := range f.g.pool.addresses() {
		if u := f.holders[address]; u != nil && u.list == l {
			list = append(list, &u.Upstream)
		}
	}
	return list
}

// versions tells which versions of its service may serve a call while the service's
// traffic moves to a new version, and after a move; next is true for the new one.
func versions(view *config.View, c *call) (next bool, admits func(version string) bool) {
	move, ok := view.Moves[c.service.Name]
	switch {
	case !ok:
		return false, func(string) bool { return true }
	case move.Phase == config.MoveDone:
		next = true
	case move.Phase != config.MoveUndone:
		next = draw(c.id, "move") < move.Share && c.sent == 0 || move.Share >= 1
	}
	return next, func(version string) bool { return (version == move.Target) == next }
}

// followDrains takes upstreams of failure domains that came back from a drain for cold:
// they may have turned so meanwhile, and a status from before does not say it.
func (f *fleet) followDrains(now time.Time, view *config.View, s *traffic.Service) {
	f.returns.Follow(now, view)
	if s.MaxColdRate <= 0 {
		return
	}
	for _, u := range f.ups {
		back, ok := f.returns.At(u.Domain)
		// A status that was sent after the return tells; it may have been on its way for
		// one interval.
		if ok && u.Service == s.Name && u.warmed.Before(back.Add(f.g.Bounds.Heartbeat)) {
			if until := now.Add(f.g.Bounds.Heartbeat); until.After(u.ColdUntil) {
				u.ColdUntil = until
			}
		}
	}
}

// limits returns the limits of a call's service as this node keeps them, for a list
// that is not empty.
func (f *fleet) limits(c *call, view *config.View, among *candidates) placement.Options {
	l := placement.Options{
		Self: f.g.Self, Domain: f.g.Domain, Nodes: f.nodes(view), ColdRate: c.service.MaxColdRate,
		Connected: f.g.pool.has, ConnectedUpstreams: f.linked(among),
	}
	u := among.list[0]
	if c.service.Engine != nil {
		l.MaxWaiting = int(float64(u.Slots) * queueEngine)
	} else {
		l.MaxWaiting = u.Slots * queueShare
	}
	return l
}

// budget returns the budget of attempts beyond the first for a service. The fleet's
// lock must be held.
func (f *fleet) budget(service string, nodes int) *traffic.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		b = &traffic.RetryBudget{Window: f.g.Bounds.RetryWindow}
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
