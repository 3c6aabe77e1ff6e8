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
	silentHeartbeats = 6
	// heardAnswers is how long an answer stands for a heartbeat.
	responseLiveness = 5 * time.Second
	// queueShare is the number of requests that may wait on a plain upstream for each
	// of its slots, and queueEngine the part of an engine's slots.
	waitingPerSlot       = 2
	engineWaitingPerSlot = 0.25
)

// fleet is what the node knows of the upstreams.
type upstreamSet struct {
	g      *Gateway
	roster *roster.Roster

	mu             sync.Mutex
	byID           map[string]*upstreamEntry
	byAddress      map[string]*upstreamEntry // by address
	candidateLists map[candidateKey]*candidateList
	// view and members are the view that the node list was last read from, and the list.
	nodesView    *config.View
	nodeNames    []string
	retryBudgets map[string]*traffic.RetryBudget // by service
	// heard is when any status arrived last. While none arrives, no upstream counts as
	// silent: the node itself may be cut off.
	lastStatus time.Time
	// freed is closed and replaced when a place becomes free.
	capacityFreed chan struct{}
	// returns is when each failure domain came back from a drain.
	drainEnds config.Returns
}

// unit is one start of an upstream.
type upstreamEntry struct {
	placement.Upstream
	candidates   *candidateList // that holds the unit
	lastStatus   time.Time      // last status
	lastResponse time.Time      // last answer
	lastWarm     time.Time      // when a status last said that it is warm
}

func newUpstreamSet(g *Gateway) *upstreamSet {
	return &upstreamSet{
		g: g, roster: roster.New(), byID: make(map[string]*upstreamEntry), byAddress: make(map[string]*upstreamEntry), candidateLists: make(map[candidateKey]*candidateList), retryBudgets: make(map[string]*traffic.RetryBudget),
		capacityFreed: make(chan struct{}),
	}
}

func (s *upstreamSet) hasUpstreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) > 0
}

// ApplyStatuses takes statuses of upstreams.
func (g *Gateway) ApplyStatuses(now time.Time, list []wire.Status) {
	for _, s := range list {
		change := g.upstreams.roster.Apply(now, s)
		g.upstreams.applyStatus(now, s, change)
		if change == roster.Joined || change == roster.Left {
			event.With(g.Log, event.UpstreamChanged).WithFields(map[string]any{
				"upstream": s.ID, "service": s.Service, "domain": s.Domain, "address": s.Address, "born": s.Born,
				"sequence": s.Sequence, "leaving": s.Leaving, "gone": s.Gone, "cold_ms": s.Cold,
			}).Info("upstream changed")
		}
	}
}

func (s *upstreamSet) applyStatus(now time.Time, status wire.Status, change roster.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStatus = now
	if change == roster.Outdated {
		return
	}
	if occupant := s.byAddress[status.Address]; occupant != nil && occupant.Address == status.Address && occupant.ID != status.ID && occupant.StartMillis <= int64(status.Born) {
		s.remove(occupant)
	}
	entry := s.byID[status.ID]
	switch {
	case status.Gone:
		if entry != nil {
			entry.Leaving = true
			if entry.Open == 0 {
				s.remove(entry)
			}
		}
		return
	case entry == nil || entry.StartMillis != int64(status.Born):
		entry = &upstreamEntry{Upstream: placement.Upstream{ID: status.ID, StartMillis: int64(status.Born)}}
		s.byID[status.ID] = entry
		clear(s.candidateLists)
	case entry.Service != status.Service || entry.Version != status.Version || entry.Domain != status.Domain:
		clear(s.candidateLists)
	}
	if entry.Address != status.Address && s.byAddress[entry.Address] == entry {
		delete(s.byAddress, entry.Address)
	}
	s.byAddress[status.Address] = entry
	entry.Address, entry.Domain, entry.Service, entry.Version = status.Address, status.Domain, status.Service, status.Version
	entry.Slots, entry.lastStatus = int(status.Slots), now
	entry.Leaving = entry.Leaving || status.Leaving
	if status.Cold > 0 {
		entry.ColdUntil = now.Add(time.Duration(status.Cold) * time.Millisecond)
	} else {
		entry.lastWarm = now
	}
}

// remove forgets a unit. The fleet's lock must be held.
func (s *upstreamSet) remove(entry *upstreamEntry) {
	if s.byID[entry.ID] == entry {
		delete(s.byID, entry.ID)
	}
	if s.byAddress[entry.Address] == entry {
		delete(s.byAddress, entry.Address)
	}
	clear(s.candidateLists)
}

// nodes lists the entry nodes of a view. The fleet's lock must be held.
func (s *upstreamSet) entryNodes(view *config.View) []string {
	if s.nodesView == view && view != nil {
		return s.nodeNames
	}
	s.nodesView, s.nodeNames = view, nil
	for _, n := range view.SortedNodes() {
		if !n.Voter {
			s.nodeNames = append(s.nodeNames, n.Name)
		}
	}
	return s.nodeNames
}

// count returns the number of entry nodes of a view.
func (s *upstreamSet) nodeCount(view *config.View) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entryNodes(view))
}

// listAge is how long a list of candidates is used again: whether an upstream reports
// shows over seconds.
const candidateListTTL = 50 * time.Millisecond

// listKey tells lists of candidates apart: requests of one service may go to different
// versions while its traffic moves.
type candidateKey struct {
	service       string
	targetVersion bool // the version that the traffic moves to
}

// candidates is a list of upstreams that may get new requests.
type candidateList struct {
	view      *config.View
	builtAt   time.Time
	upstreams []*placement.Upstream
}

// candidates lists the upstreams of a call's service that may get new requests. The
// fleet's lock must be held.
func (s *upstreamSet) candidates(now time.Time, c *call, view *config.View) *candidateList {
	targetVersion, admits := admittedVersions(view, c)
	key := candidateKey{c.service.Name, targetVersion}
	if list := s.candidateLists[key]; list != nil && list.view == view && now.Sub(list.builtAt) < candidateListTTL {
		return list
	}
	s.markColdAfterDrain(now, view, c.service)
	list := &candidateList{view: view, builtAt: now}
	s.candidateLists[key] = list
	for _, entry := range s.byID {
		if entry.Service == c.service.Name && admits(entry.Version) && !s.unavailable(now, view, entry) {
			entry.candidates = list
			list.upstreams = append(list.upstreams, &entry.Upstream)
		}
	}
	slices.SortFunc(list.upstreams, func(a, b *placement.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// out tells whether an upstream is drained or has fallen silent.
func (s *upstreamSet) unavailable(now time.Time, view *config.View, entry *upstreamEntry) bool {
	if _, drained := view.DrainedDomains[entry.Domain]; drained {
		return true
	}
	if d, drained := view.DrainedUpstreams[entry.ID]; drained && (d.Born == 0 || entry.StartMillis <= d.Born) {
		return true
	}
	silence := silentHeartbeats * s.g.Bounds.Heartbeat
	return silence > 0 && now.Sub(entry.lastStatus) > silence && now.Sub(entry.lastResponse) > responseLiveness && now.Sub(s.lastStatus) < s.g.Bounds.Heartbeat
}

// linked lists the members of a list to which the node keeps a connection.
func (s *upstreamSet) connected(list *candidateList) []*placement.Upstream {
	var connected []*placement.Upstream
	for _, address := range s.g.pool.idleAddresses() {
		if entry := s.byAddress[address]; entry != nil && entry.candidates == list {
			connected = append(connected, &entry.Upstream)
		}
	}
	return connected
}

// versions tells which versions of its service may serve a call while the service's
// traffic moves to a new version, and after a move; next is true for the new one.
func admittedVersions(view *config.View, c *call) (targetVersion bool, admits func(version string) bool) {
	move, ok := view.Moves[c.service.Name]
	switch {
	case !ok:
		return false, func(string) bool { return true }
	case move.Phase == config.MoveDone:
		targetVersion = true
	case move.Phase != config.MoveUndone:
		targetVersion = unitHash(c.id, "move") < move.Share && c.attempts == 0 || move.Share >= 1
	}
	return targetVersion, func(version string) bool { return (version == move.Target) == targetVersion }
}

// followDrains takes upstreams of failure domains that came back from a drain for cold:
// they may have turned so meanwhile, and a status from before does not say it.
func (s *upstreamSet) markColdAfterDrain(now time.Time, view *config.View, service *traffic.Service) {
	s.drainEnds.Follow(now, view)
	if service.MaxColdRate <= 0 {
		return
	}
	for _, entry := range s.byID {
		drainEnd, ok := s.drainEnds.At(entry.Domain)
		// A status that was sent after the return tells; it may have been on its way for
		// one interval.
		if ok && entry.Service == service.Name && entry.lastWarm.Before(drainEnd.Add(s.g.Bounds.Heartbeat)) {
			if until := now.Add(s.g.Bounds.Heartbeat); until.After(entry.ColdUntil) {
				entry.ColdUntil = until
			}
		}
	}
}

// limits returns the limits of a call's service as this node keeps them, for a list
// that is not empty.
func (s *upstreamSet) options(c *call, view *config.View, candidates *candidateList) placement.Options {
	options := placement.Options{
		Self: s.g.Self, Domain: s.g.Domain, Nodes: s.entryNodes(view), ColdRate: c.service.MaxColdRate,
		Connected: s.g.pool.hasIdle, ConnectedUpstreams: s.connected(candidates),
	}
	first := candidates.upstreams[0]
	if c.service.Engine != nil {
		options.MaxWaiting = int(float64(first.Slots) * engineWaitingPerSlot)
	} else {
		options.MaxWaiting = first.Slots * waitingPerSlot
	}
	return options
}

// budget returns the budget of attempts beyond the first for a service. The fleet's
// lock must be held.
func (s *upstreamSet) retryBudget(service string, nodes int) *traffic.RetryBudget {
	budget := s.retryBudgets[service]
	if budget == nil {
		budget = &traffic.RetryBudget{Window: s.g.Bounds.RetryWindow}
		s.retryBudgets[service] = budget
	}
	// Retries of several nodes may fall into one window that none of them sees, so
	// each keeps within a part of its own share.
	const nodeShare = 0.7
	budget.Ratio, budget.Slack = nodeShare*s.g.Bounds.RetryRatio, nodeShare*s.g.Bounds.RetrySlack/float64(max(1, nodes))
	return budget
}

// free wakes the calls that wait for a place. The fleet's lock must be held.
func (s *upstreamSet) notifyCapacity() {
	close(s.capacityFreed)
	s.capacityFreed = make(chan struct{})
}
