package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// silentHeartbeats is the number of heartbeat intervals without a status after which
	// an upstream gets no new requests, unless it responded recently.
	silentHeartbeats = 6
	// responseLiveness is how long a response counts as proof that an upstream is alive.
	responseLiveness = 5 * time.Second
	// waitingPerSlot is the number of requests that may wait on an upstream for each of
	// its slots, and engineWaitingPerSlot the same for upstreams of an engine service.
	waitingPerSlot       = 2
	engineWaitingPerSlot = 0.25
)

// upstreamSet holds the upstreams that the node knows. Its lock also guards the entries.
type upstreamSet struct {
	g      *Gateway
	roster *roster.Roster

	mu             sync.Mutex
	byID           map[string]*upstreamEntry
	byAddress      map[string]*upstreamEntry
	candidateLists map[candidateKey]*candidateList
	// nodeNames lists the entry nodes of nodesView, the view for which it was last built.
	nodesView    *config.View
	nodeNames    []string
	retryBudgets map[string]*traffic.RetryBudget // by service
	rooms        map[string]*serviceRoom         // by service
	lines        map[string]*serviceLine         // by service
	// lastStatus is when a status of any upstream last arrived. While none arrives, no
	// upstream counts as silent: the node itself may be partitioned.
	lastStatus time.Time
	// drainEnds records when the drain of each failure domain last ended.
	drainEnds config.DrainEnds
	// limits holds the limits that upstreams named.
	limits *pace.Limits
	// engines holds what is known of the engines of services that have some.
	engines map[string]*engineState
	// openTotalsAt is when the open requests of the other nodes last arrived by their own message.
	openTotalsAt time.Time
}

// upstreamEntry is one incarnation of an upstream.
type upstreamEntry struct {
	placement.Upstream
	candidates   *candidateList // last list that the entry was added to
	lastStatus   time.Time      // when its last status arrived
	lastResponse time.Time      // when it last responded
	lastWarm     time.Time      // when a status last reported it as warm
	// distrustedUntil is until when its answers keep lower limits, Unix time in nanoseconds.
	// It is read without the lock.
	distrustedUntil atomic.Int64
	probe           *crashProbe // whether the process has ended; nil until a response is broken off
}

func newUpstreamSet(g *Gateway) *upstreamSet {
	list := roster.New()
	list.Configured = func(now time.Time, service string) bool {
		view, _ := g.State.View(now)
		return view.PlanHasService(service)
	}
	return &upstreamSet{
		g: g, roster: list, byID: make(map[string]*upstreamEntry), byAddress: make(map[string]*upstreamEntry),
		candidateLists: make(map[candidateKey]*candidateList), retryBudgets: make(map[string]*traffic.RetryBudget),
		rooms: make(map[string]*serviceRoom), lines: make(map[string]*serviceLine),
		limits: pace.New(g.Self), engines: make(map[string]*engineState),
	}
}

func (s *upstreamSet) hasUpstreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) > 0
}

// maxChangeLines is the number of changed upstreams of one message up to which each gets a
// log line. A node that starts learns of hundreds at once, and their lines would crowd out
// those of its first requests.
const maxChangeLines = 20

// ApplyStatuses updates the upstreams from received statuses.
func (g *Gateway) ApplyStatuses(now time.Time, list []wire.Status) {
	var changed []wire.Status
	for _, s := range list {
		change := g.upstreams.roster.Apply(now, s)
		g.upstreams.applyStatus(now, s, change)
		if change == roster.Joined || change == roster.Left {
			changed = append(changed, s)
		}
	}
	if len(changed) > maxChangeLines {
		event.With(g.Log, event.UpstreamChanged).WithField("count", len(changed)).Info("many upstreams changed")
		return
	}
	for _, s := range changed {
		event.With(g.Log, event.UpstreamChanged).WithFields(map[string]any{
			"upstream": s.ID, "service": s.Service, "domain": s.Domain, "address": s.Address, "born": s.Born,
			"sequence": s.Sequence, "leaving": s.Leaving, "gone": s.Gone, "cold_ms": s.Cold,
		}).Info("upstream changed")
	}
}

func (s *upstreamSet) applyStatus(now time.Time, status wire.Status, change roster.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change == roster.Rejected {
		return
	}
	s.lastStatus = now
	if change == roster.Outdated {
		return
	}
	if occupant := s.byAddress[status.Address]; occupant != nil && occupant.Address == status.Address &&
		occupant.ID != status.ID && occupant.StartMillis <= int64(status.Born) {
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

// remove removes an entry and discards all lists of candidates. The lock must be held.
func (s *upstreamSet) remove(entry *upstreamEntry) {
	if s.byID[entry.ID] == entry {
		delete(s.byID, entry.ID)
	}
	if s.byAddress[entry.Address] == entry {
		delete(s.byAddress, entry.Address)
	}
	clear(s.candidateLists)
}

// entryNodes lists the entry nodes of a view. The lock must be held.
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

// nodeCount returns the number of entry nodes of a view.
func (s *upstreamSet) nodeCount(view *config.View) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entryNodes(view))
}

// candidateListTTL is how long a list of candidates is reused. An upstream counts as
// silent only after seconds, so a list of this age is accurate enough.
const candidateListTTL = 50 * time.Millisecond

// candidateKey identifies a list of candidates. While the traffic of a service moves to
// a new version, there is one list for that version and one for all others.
type candidateKey struct {
	service       string
	targetVersion bool // the list is for the version that the traffic moves to
}

// candidateList is a list of upstreams that may get new requests.
type candidateList struct {
	view      *config.View
	builtAt   time.Time
	upstreams []*placement.Upstream
	longPart  int // number of them that serve long prompts
}

// candidates lists the upstreams of a call's service that may get new requests. The
// lock must be held.
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
	slices.SortFunc(list.upstreams, func(a, b *placement.Upstream) int { return cmp.Compare(a.Order(), b.Order()) })
	list.longPart = s.longPart(now, view, c.service, list.upstreams)
	return list
}

// unavailable reports whether an upstream is drained or silent: no status arrived for
// silentHeartbeats intervals, and it has not responded recently.
func (s *upstreamSet) unavailable(now time.Time, view *config.View, entry *upstreamEntry) bool {
	if _, drained := view.DrainedDomains[entry.Domain]; drained {
		return true
	}
	if d, drained := view.DrainedUpstreams[entry.ID]; drained && (d.StartMillis == 0 || entry.StartMillis <= d.StartMillis) {
		return true
	}
	silence := silentHeartbeats * s.g.Settings.Heartbeat
	return silence > 0 && now.Sub(entry.lastStatus) > silence && now.Sub(entry.lastResponse) > responseLiveness &&
		now.Sub(s.lastStatus) < s.g.Settings.Heartbeat
}

// connected lists the candidates to which the node keeps an idle connection.
func (s *upstreamSet) connected(list *candidateList) []*placement.Upstream {
	var connected []*placement.Upstream
	for _, address := range s.g.pool.idleAddresses() {
		if entry := s.byAddress[address]; entry != nil && entry.candidates == list {
			connected = append(connected, &entry.Upstream)
		}
	}
	return connected
}

// admittedVersions returns a function that reports whether a version of the service may
// serve the call, during a move of the service's traffic to a new version and after it.
// targetVersion is true if the call goes to the version that the move targets.
func admittedVersions(view *config.View, c *call) (targetVersion bool, admits func(version string) bool) {
	move, ok := view.Moves[c.service.Name]
	switch {
	case !ok:
		return false, func(string) bool { return true }
	case move.Phase == config.MoveDone:
		targetVersion = true
	case move.Phase != config.MoveRolledBack:
		targetVersion = unitHash(c.id, "move") < move.Share && c.attempts == 0 || move.Share >= 1
	}
	return targetVersion, func(version string) bool { return (version == move.Target) == targetVersion }
}

// markColdAfterDrain marks the upstreams of a service as cold when the drain of their
// failure domain ends, until a later status reports them as warm: they may have become
// cold during the drain.
func (s *upstreamSet) markColdAfterDrain(now time.Time, view *config.View, service *traffic.Service) {
	s.drainEnds.Update(now, view)
	if service.MaxColdRate <= 0 {
		return
	}
	for _, entry := range s.byID {
		drainEnd, ok := s.drainEnds.At(entry.Domain)
		// Only a status sent after the end of the drain shows that an upstream is warm.
		// One that arrives within a heartbeat interval may have been sent before.
		if ok && entry.Service == service.Name && entry.lastWarm.Before(drainEnd.Add(s.g.Settings.Heartbeat)) {
			if until := now.Add(s.g.Settings.Heartbeat); until.After(entry.ColdUntil) {
				entry.ColdUntil = until
			}
		}
	}
}

// options returns the placement options for a call. The list of candidates must not be
// empty.
func (s *upstreamSet) options(now time.Time, c *call, view *config.View, candidates *candidateList) placement.Options {
	options := placement.Options{
		Self: s.g.Self, Domain: s.g.Domain, Nodes: s.entryNodes(view), ColdRate: c.service.MaxColdRate,
		Connected: s.g.pool.hasIdle, ConnectedUpstreams: s.connected(candidates),
	}
	if !s.limits.Empty() {
		options.Allowed = func(u *placement.Upstream) bool { return s.limits.Allows(now, limitKey(u), options.Nodes) }
	}
	first := candidates.upstreams[0]
	if c.service.Engine != nil {
		options.MaxWaiting = int(float64(first.Slots) * engineWaitingPerSlot)
	} else {
		options.MaxWaiting = first.Slots * waitingPerSlot
	}
	if isBrittle(candidates.upstreams) {
		// All upstreams of the service may turn brittle together.
		options.MaxWaiting, options.Brittle = 0, true
	}
	s.addEngineOptions(now, c, view, candidates, &options)
	return options
}

// retryBudget returns the retry budget of a service. The lock must be held.
func (s *upstreamSet) retryBudget(now time.Time, service string, nodes int) *traffic.RetryBudget {
	budget := s.retryBudgets[service]
	if budget == nil {
		budget = &traffic.RetryBudget{Window: s.g.Settings.RetryWindow}
		s.retryBudgets[service] = budget
	}
	// A node sees only its own retries, and those of several nodes can fall into the same
	// window. So each node uses only a part of its share of the budget. A process that has just
	// started does not know what the one before it has used of that part, and uses the rest.
	share := 0.7
	if now.Sub(s.g.started) < s.g.Settings.RetryWindow {
		share = 1 - share
	}
	budget.Ratio, budget.Slack = share*s.g.Settings.RetryRatio, share*s.g.Settings.RetrySlack/float64(max(1, nodes))
	return budget
}

// notifyCapacity lets the calls that wait for a place try again. The lock must be held.
func (s *upstreamSet) notifyCapacity() {
	now := time.Now()
	for _, l := range s.lines {
		l.openRound(now)
	}
}
