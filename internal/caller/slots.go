package caller

import (
	"math"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/routing"
)

const (
	// slotTickInterval is the interval of Tick.
	slotTickInterval = 5 * time.Millisecond
	// ownerTickInterval is the interval at which the owner checks all its
	// upstreams. It is longer than slotTickInterval, since entries and grants
	// take seconds to expire.
	ownerTickInterval = 100 * time.Millisecond
	// ejectionTime is how long an upstream gets no new requests after a failure.
	ejectionTime = 2 * time.Second
	// domainFailureWindow is how long a failure counts against a failure domain.
	domainFailureWindow = 10 * time.Second
	// defaultInitialLimit is the concurrency limit of a new upstream whose
	// service sets no initial concurrency.
	defaultInitialLimit = 4

	maxPrefixBlocks    = 4096 // per upstream
	maxPrefixUpstreams = 1024
	prefixBlockBytes   = 256 // about 64 tokens
)

// Slots manages a node's share of the upstreams' concurrency limits. The node owns
// the limits of some upstreams, which it divides between the nodes, and holds
// grants for slots of all upstreams. Slots is safe for concurrent use.
type Slots struct {
	// SendDemand and SendGrant send messages to other nodes; nil if there are
	// none. They must not block and must not call methods of Slots.
	SendDemand func(owner string, d routing.Demand)
	SendGrant  func(node string, g routing.Grant)
	// SendLimits sends the limits that upstreams named to this node to all other nodes of
	// the cell, like SendDemand.
	SendLimits func([]pace.Limit)

	mu     sync.Mutex
	self   routing.Node
	view   routing.View
	holder *routing.Holder
	owner  *routing.Owner
	// ownerTick is the time of the owner's last tick.
	ownerTick      time.Time
	prefix         *routing.PrefixIndex
	usage          map[string]*upstreamUsage
	domainFailures map[string]map[string]time.Time // last failure by failure domain and upstream
	changedCh      chan struct{}
	limits         *pace.Limits
	limitsSentAt   time.Time
	// nodeNames lists the nodes of view.
	nodeNames []string
}

// upstreamUsage is what the node knows about its own usage of one upstream.
type upstreamUsage struct {
	incarnation, sequence uint64
	running               int
	// sentSinceReport and endedSinceReport count requests since the last load
	// report.
	sentSinceReport, endedSinceReport int
	// isolated counts the calls that run isolated here or have reserved the
	// upstream for an isolated run.
	isolated int
	// ejectedUntil is the time until which the upstream gets no new requests,
	// unless it restarts with an incarnation above ejectedIncarnation.
	ejectedUntil       time.Time
	ejectedIncarnation uint64
	speed              speedEstimate
}

// slotPolicy returns the owner's policy. MaxLimit also bounds the concurrency
// limits of client accounts.
func slotPolicy() routing.Policy {
	p := routing.DefaultPolicy()
	p.MaxLimit = 4096
	return p
}

// NewSlots returns the slots of a node that owns no upstreams until Renew is
// called.
func NewSlots(now time.Time, self routing.Node, policy routing.Policy) *Slots {
	return &Slots{
		self: self, holder: routing.NewHolder(self), owner: routing.NewOwner(now, self, policy),
		prefix: routing.NewPrefixIndex(maxPrefixBlocks, maxPrefixUpstreams),
		usage:  make(map[string]*upstreamUsage), domainFailures: make(map[string]map[string]time.Time),
		limits: pace.New(self.Name),
	}
}

// Renew applies the view of the cell and the expiry of the node's session lease,
// as of the last renewal.
func (s *Slots) Renew(now time.Time, view routing.View, lease time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Version > s.view.Version {
		s.view, s.nodeNames = view, nil
		for _, n := range view.Nodes {
			s.nodeNames = append(s.nodeNames, n.Name)
		}
	}
	s.holder.Renew(now, view, lease)
	s.deliverGrants(s.owner.Renew(now, view, lease))
	s.sendDemands(now)
}

// HandleAnnounce applies an upstream's announcement and returns the time until
// the next one, or zero if the announcement is not new. initialLimit is the limit
// of a newly started upstream.
func (s *Slots) HandleAnnounce(now time.Time, e upstream.Entry, initialLimit int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handleAnnounce(now, e, initialLimit)
}

func (s *Slots) handleAnnounce(now time.Time, e upstream.Entry, initialLimit int) time.Duration {
	u := s.usageOf(e.ID)
	if e.Incarnation < u.incarnation || e.Incarnation == u.incarnation && e.Sequence <= u.sequence {
		return 0
	}
	if e.Incarnation > u.incarnation {
		s.prefix.Remove(e.ID)
	}
	u.incarnation, u.sequence, u.sentSinceReport, u.endedSinceReport = e.Incarnation, e.Sequence, 0, 0
	if initialLimit <= 0 {
		initialLimit = defaultInitialLimit
	}
	interval, grants := s.owner.HandleHeartbeat(now, e.Announce, initialLimit)
	s.deliverGrants(grants)
	s.notify()
	return interval
}

// HandleDemand handles a demand report of another node.
func (s *Slots) HandleDemand(now time.Time, d routing.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverGrants(s.owner.HandleDemand(now, d))
}

// ApplyGrant applies a grant from another node.
func (s *Slots) ApplyGrant(now time.Time, g routing.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Apply(g)
	s.sendDemands(now)
	s.notify()
}

// Tick sends due demand reports and expires entries and grants. Call it every
// slotTickInterval.
func (s *Slots) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownerTick) >= ownerTickInterval {
		s.ownerTick = now
		s.deliverGrants(s.owner.Tick(now))
	}
	s.sendDemands(now)
	s.sendLimits(now)
}

// sendDemands sends the demand reports that are due; s.mu must be held.
func (s *Slots) sendDemands(now time.Time) {
	for _, d := range s.holder.Demands(now) {
		switch owner := s.view.Owner(d.Upstream); {
		case owner == s.self.Name:
			s.deliverGrants(s.owner.HandleDemand(now, d))
		case owner != "" && s.SendDemand != nil:
			s.SendDemand(owner, d)
		}
	}
}

// deliverGrants applies grants for this node and sends the rest to their nodes.
func (s *Slots) deliverGrants(grants []routing.Grant) {
	for _, g := range grants {
		if g.To != s.self.Name {
			if s.SendGrant != nil {
				s.SendGrant(g.To, g)
			}
			continue
		}
		s.holder.Apply(g)
		s.notify()
	}
}

// changed returns a channel that is closed when free slots or upstreams may have
// changed.
func (s *Slots) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changedCh == nil {
		s.changedCh = make(chan struct{})
	}
	return s.changedCh
}

func (s *Slots) notify() {
	if s.changedCh != nil {
		close(s.changedCh)
		s.changedCh = nil
	}
}

func (s *Slots) usageOf(id string) *upstreamUsage {
	u, ok := s.usage[id]
	if !ok {
		u = &upstreamUsage{}
		s.usage[id] = u
	}
	return u
}

// release returns the slot of an attempt; failed is true when the attempt failed
// because of the upstream.
func (s *Slots) release(now time.Time, at *attempt, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usageOf(at.target.ID)
	u.running--
	u.endedSinceReport++
	if at.ticket.Isolated {
		u.isolated = max(0, u.isolated-1)
	}
	s.holder.Return(at.ticket, failed)
	s.sendDemands(now)
	s.notify()
}

// recordFirstToken records the first token of an attempt; late is true when it
// missed the target of the class.
func (s *Slots) recordFirstToken(at *attempt, late bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.tokenSeen {
		at.tokenSeen = true
		s.holder.RecordFirstToken(&at.ticket, late)
		s.usageOf(at.target.ID).speed.recordPrefill(at.uncachedTokens, took)
	}
}

// recordInterTokenLatency records the mean time between the tokens of a completed
// attempt.
func (s *Slots) recordInterTokenLatency(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usageOf(id).speed.recordInterTokenLatency(d)
}

// eject stops sending new requests to a failed upstream for ejectionTime and
// counts the failure against its failure domain.
func (s *Slots) eject(now time.Time, e upstream.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usageOf(e.ID)
	u.ejectedUntil, u.ejectedIncarnation = now.Add(ejectionTime), e.Incarnation
	if s.domainFailures[e.Domain] == nil {
		s.domainFailures[e.Domain] = make(map[string]time.Time)
	}
	s.domainFailures[e.Domain][e.ID] = now
}

// isEjected reports whether an upstream gets no new requests after a failure.
func (s *Slots) isEjected(now time.Time, e upstream.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usageOf(e.ID).isEjected(now, &e)
}

func (u *upstreamUsage) isEjected(now time.Time, e *upstream.Entry) bool {
	return now.Before(u.ejectedUntil) && e.Incarnation <= u.ejectedIncarnation
}

// suspectDomains lists the failure domains in which several upstreams failed
// recently.
func (s *Slots) suspectDomains(now time.Time) []string {
	var list []string
	for domain, failed := range s.domainFailures {
		n := 0
		for id, failedAt := range failed {
			if now.Sub(failedAt) > domainFailureWindow {
				delete(failed, id)
				continue
			}
			n++
		}
		if n > 1 {
			list = append(list, domain)
		}
	}
	return list
}

// evictUnknown removes unused upstreams for which known returns false.
func (s *Slots) evictUnknown(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.usage {
		if u.running == 0 && u.isolated == 0 && !known(id) {
			delete(s.usage, id)
			s.prefix.Remove(id)
		}
	}
}

// speedEstimate estimates how fast an upstream computes prompts and output.
type speedEstimate struct {
	// prefillRate is in prompt tokens per second, interTokenLatency in seconds;
	// zero while unknown.
	prefillRate, interTokenLatency float64
}

const (
	ewmaWeight               = 0.2  // weight of a new sample
	defaultPrefillRate       = 5000 // prompt tokens per second
	defaultInterTokenLatency = 30 * time.Millisecond
	// minPrefillTokens is the minimum prompt length for a rate sample. With a
	// shorter prompt, the time to the first token says little about the prefill
	// rate.
	minPrefillTokens = 256
)

func (e *speedEstimate) recordPrefill(tokens int, took time.Duration) {
	if tokens >= minPrefillTokens && took > 0 {
		e.prefillRate = ewma(e.prefillRate, float64(tokens)/took.Seconds())
	}
}

func (e *speedEstimate) recordInterTokenLatency(d time.Duration) {
	e.interTokenLatency = ewma(e.interTokenLatency, d.Seconds())
}

// ewma adds a sample to an exponentially weighted moving average.
func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + ewmaWeight*(sample-old)
}

// estimates returns the prefill rate and the inter-token latency, both above
// zero.
func (e *speedEstimate) estimates() (prefillRate float64, interTokenLatency time.Duration) {
	prefillRate, interTokenLatency = defaultPrefillRate, defaultInterTokenLatency
	if e.prefillRate > 0 {
		prefillRate = e.prefillRate
	}
	if e.interTokenLatency > 0 {
		interTokenLatency = time.Duration(math.Max(e.interTokenLatency*float64(time.Second), 1))
	}
	return prefillRate, interTokenLatency
}
