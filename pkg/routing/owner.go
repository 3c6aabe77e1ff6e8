package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Policy holds the settings of an Owner.
type Policy struct {
	// MaxLimit is the ceiling of the estimated limit of an upstream that announces
	// no limit.
	MaxLimit int
	// GrantTTL is the longest duration of a grant.
	GrantTTL time.Duration
	// ReportLag is how far an upstream's load report may lag behind.
	ReportLag time.Duration
	// MinHeartbeatInterval is the shortest heartbeat interval of an upstream.
	MinHeartbeatInterval time.Duration
	// HeartbeatBytesPerSecond is the node's receive budget for heartbeats; zero
	// means unlimited.
	HeartbeatBytesPerSecond int
	// HeartbeatBytes is the size of one heartbeat on the wire.
	HeartbeatBytes int
}

// settleHeartbeatInterval is the heartbeat interval while the owner needs load
// reports to find requests that no node reports.
const settleHeartbeatInterval = 200 * time.Millisecond

// heartbeatWireBytes is the number of bytes that the owner receives per heartbeat:
// an HTTP request of 623 B, as measured by BenchmarkHeartbeat in internal/cell, and
// two packets with 52 B of IPv4 and TCP headers each.
const heartbeatWireBytes = 623 + 2*52

// DefaultPolicy returns the settings for the current scale of the system.
func DefaultPolicy() Policy {
	return Policy{
		MaxLimit: 256, GrantTTL: GrantTTL, ReportLag: time.Second, MinHeartbeatInterval: time.Second,
		HeartbeatBytesPerSecond: 2048, HeartbeatBytes: heartbeatWireBytes,
	}
}

// Owner divides the limits of the upstreams that its node owns among the nodes of
// the cell. It makes no grant that would raise the sum of the unexpired grants and
// of the open requests that no grant covers above an upstream's limit.
type Owner struct {
	self   Node
	policy Policy
	view   View
	// joinedAt is when this node saw that it had joined the view.
	joinedAt time.Time
	// leaseExpires is the end of the node's own session lease.
	leaseExpires time.Time
	// clockOrigin is the time from which grants' stamps and expiries are counted.
	clockOrigin     time.Time
	lastGrantNumber uint64
	upstreams       map[string]*ownedUpstream
	drained         map[string]bool
}

// NewOwner returns an owner that owns nothing until it has a view and a lease.
func NewOwner(now time.Time, self Node, policy Policy) *Owner {
	return &Owner{self: self, policy: policy, clockOrigin: now, upstreams: make(map[string]*ownedUpstream), drained: make(map[string]bool)}
}

// Renew applies the reply to a session renewal: the node's view, which may be
// unchanged, and the end of its session lease, which no grant outlives. An upstream
// gained with the view starts unsettled: the owner first requests reports of the
// requests that the nodes have open there. A node whose lease had lapsed may have
// been removed from the view and added again unnoticed, so it starts as if it had
// just joined.
func (o *Owner) Renew(now time.Time, v View, leaseExpires time.Time) []Grant {
	lapsed := !o.leaseExpires.After(now)
	if leaseExpires.After(o.leaseExpires) {
		o.leaseExpires = leaseExpires
	}
	wasMember := o.view.HasProcess(o.self) && !lapsed
	if v.Version > o.view.Version {
		o.view = v
	} else if !lapsed {
		return nil
	}
	if o.view.HasProcess(o.self) && !wasMember {
		o.joinedAt = now
	}
	var out []Grant
	for _, id := range slices.Sorted(maps.Keys(o.upstreams)) {
		u := o.upstreams[id]
		owned := o.Owns(id)
		switch {
		case owned && (!u.owned || !wasMember):
			u.takeOver(now, o.view)
		case !owned && u.owned:
			u.owned = false
		}
		out = append(out, o.updateGrants(now, u)...)
	}
	return out
}

// SetDrained sets the upstreams that get no new requests, including those in
// drained failure domains, and returns the resulting grants.
func (o *Owner) SetDrained(now time.Time, upstreams []string) []Grant {
	clear(o.drained)
	var out []Grant
	for _, id := range upstreams {
		o.drained[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(o.upstreams)) {
		out = append(out, o.updateGrants(now, o.upstreams[id])...)
	}
	return out
}

// HandleHeartbeat applies a heartbeat, which carries an upstream's announcement. It
// returns the interval until the next heartbeat and the resulting grants. It ignores
// an announcement that is not newer than the last one by incarnation and sequence.
// startLimit is the limit of a newly started upstream of the service.
func (o *Owner) HandleHeartbeat(now time.Time, a wire.Announce, startLimit int) (time.Duration, []Grant) {
	u, ok := o.upstreams[a.ID]
	if !ok {
		u = &ownedUpstream{id: a.ID, peers: make(map[string]*peer)}
		o.upstreams[a.ID] = u
	}
	interval := o.heartbeatInterval()
	if ok && (a.Incarnation < u.announcement.Incarnation ||
		a.Incarnation == u.announcement.Incarnation && a.Sequence <= u.announcement.Sequence) {
		return interval, nil
	}
	if o.Owns(a.ID) && !u.owned {
		u.takeOver(now, o.view)
	}
	u.applyHeartbeat(now, a, startLimit, o.policy)
	grants := o.updateGrants(now, u)
	if u.owned && (!u.uncoveredKnown || u.uncovered > 0) {
		interval = settleHeartbeatInterval
	}
	return interval, grants
}

// HandleDemand applies a node's report and returns the resulting grants, including
// the reply to the reporting node.
func (o *Owner) HandleDemand(now time.Time, d Demand) []Grant {
	u, ok := o.upstreams[d.Upstream]
	if !ok || !u.owned || !o.view.HasNode(d.Node) {
		return nil
	}
	p := u.peers[d.Node]
	if p == nil {
		p = &peer{slotsChangedAt: now}
		u.peers[d.Node] = p
	}
	if d.Incarnation < p.incarnation || d.Incarnation == p.incarnation && d.Sequence <= p.sequence {
		return nil
	}
	if d.Incarnation > p.incarnation && p.incarnation != 0 {
		u.addUncovered(now, p)
		p = &peer{slotsChangedAt: now}
		u.peers[d.Node] = p
	}
	p.applyDemand(d, o.self.Incarnation)
	p.lastReport = now
	if d.Epoch >= u.epoch {
		p.reported = true
	}
	switch {
	case !d.Isolated:
		p.isolationSince = time.Time{}
	case p.isolationSince.IsZero():
		p.isolationSince = now
	}
	u.applyHint(d.Hint)
	u.sampleRunning(o.view)
	u.applyEvidence(now, p, p.newEvidence(d.Evidence))
	p.grantDue = true
	return o.updateGrants(now, u)
}

// Tick removes expired entries and repeats unanswered requests for reports. It
// should be called about every 100 ms.
func (o *Owner) Tick(now time.Time) []Grant {
	var out []Grant
	for _, id := range slices.Sorted(maps.Keys(o.upstreams)) {
		u := o.upstreams[id]
		if now.Sub(u.lastHeartbeat) > u.heartbeatTTL && u.evictable(now, o.policy) {
			delete(o.upstreams, id)
			continue
		}
		if u.owned && !u.settled(now, o) && now.Sub(u.reportsRequestedAt) >= 100*time.Millisecond {
			u.reportsRequestedAt = now
			for _, p := range u.peers {
				p.reportRequested = false
			}
		}
		out = append(out, o.updateGrants(now, u)...)
	}
	return out
}

// Owns reports whether this node owns the upstream. Heartbeats of other upstreams
// have to be forwarded to the node that View.Owner names.
func (o *Owner) Owns(upstream string) bool {
	return o.view.HasProcess(o.self) && o.view.Owner(upstream) == o.self.Name
}

// Limit returns the number of requests that the upstream may run now over all
// nodes, or zero if this node does not own it or must not grant.
func (o *Owner) Limit(now time.Time, upstream string) int {
	u, ok := o.upstreams[upstream]
	if !ok {
		return 0
	}
	return o.grantableLimit(now, u)
}

func (o *Owner) grantableLimit(now time.Time, u *ownedUpstream) int {
	if !u.owned || !o.leaseExpires.After(now) || !u.usable(now) || o.drained[u.id] || !u.settled(now, o) {
		return 0
	}
	return u.limiter.limit
}

// heartbeatInterval returns the interval that keeps the heartbeats of the owned
// upstreams within the node's byte budget.
func (o *Owner) heartbeatInterval() time.Duration {
	if o.policy.HeartbeatBytesPerSecond == 0 {
		return o.policy.MinHeartbeatInterval
	}
	owned := 0
	for _, u := range o.upstreams {
		if u.owned {
			owned++ // the other upstreams send their heartbeats to other owners
		}
	}
	minInterval := time.Duration(owned*o.policy.HeartbeatBytes) * time.Second / time.Duration(o.policy.HeartbeatBytesPerSecond)
	return max(o.policy.MinHeartbeatInterval, minInterval)
}

// updateGrants divides the upstream's limit anew. It returns the grants that have
// changed or are due, such as replies to reports.
func (o *Owner) updateGrants(now time.Time, u *ownedUpstream) []Grant {
	if !u.owned || !o.leaseExpires.After(now) {
		return nil
	}
	var out []Grant
	u.expirePeers(now, o)
	limit := o.grantableLimit(now, u)
	targets := divideSlots(now, max(0, limit-u.uncovered), u.peers)
	isolatedNode := u.nextIsolatedNode()
	if isolatedNode != "" {
		targets = map[string]int{isolatedNode: min(1, limit)}
	}
	for _, n := range o.view.Nodes {
		p := u.peers[n.Name]
		if p == nil {
			p = &peer{slotsChangedAt: now}
			u.peers[n.Name] = p
		}
		usedElsewhere := u.uncovered + u.otherNodesOpen(n.Name)
		slots := min(targets[n.Name], max(0, limit-usedElsewhere))
		if n.Name == isolatedNode && usedElsewhere > 0 {
			slots = 0
		}
		requestReport := !p.reported && !p.reportRequested
		if !p.grantDue && slots == p.grantedSlots && !requestReport {
			continue
		}
		if p.sequence == 0 && !requestReport {
			continue
		}
		out = append(out, o.makeGrant(now, u, n.Name, slots, requestReport, isolatedNode == n.Name && slots == 1))
	}
	return out
}

func (o *Owner) makeGrant(now time.Time, u *ownedUpstream, to string, slots int, requestReport, isolated bool) Grant {
	p := u.peers[to]
	o.lastGrantNumber++
	ttl := min(o.policy.GrantTTL, o.leaseExpires.Sub(now))
	p.grantDue, p.grantedSlots = false, slots
	p.reportRequested = p.reportRequested || requestReport
	p.recordSlots(now, slots)
	if slots > 0 {
		u.acceptsHints = false
		p.addOutstanding(outstandingGrant{number: o.lastGrantNumber, slots: slots, expiry: p.lastReport.Add(withDrift(ttl)).Sub(o.clockOrigin)})
	}
	return Grant{
		Upstream: u.id, To: to, Owner: o.self.Name, OwnerIncarnation: o.self.Incarnation, Epoch: o.view.Version,
		Number: o.lastGrantNumber, Sequence: p.sequence, TTL: ttl, Slots: slots, Stamp: now.Sub(o.clockOrigin), RequestReport: requestReport, Isolated: isolated,
		Incarnation: u.announcement.Incarnation, Limit: o.grantableLimit(now, u), Generation: u.limiter.generation,
		PrefillTokens: u.otherNodesPrefill(to),
	}
}
