package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Policy holds the settings of an Owner.
type Policy struct {
	// Max is the ceiling of the learned limit of an upstream that announces none.
	Max int
	// TTL is the length of a grant.
	TTL time.Duration
	// Lag is how far an upstream's load report may lag behind.
	Lag time.Duration
	// Beat is the shortest heartbeat interval.
	Beat time.Duration
	// Bytes is the number of bytes a second that the node may receive as heartbeats;
	// zero for no bound.
	Bytes int
	// Size is the number of bytes of one heartbeat on the wire.
	Size int
}

// settleBeat is the heartbeat interval while the owner needs load reports to learn
// of requests that no node reports.
const settleBeat = 200 * time.Millisecond

// heartbeatSize is what one heartbeat brings to its owner: 623 B of HTTP request, as
// measured by BenchmarkHeartbeat in internal/cell, and two packets with 52 B of IPv4
// and TCP header each.
const heartbeatSize = 623 + 2*52

// DefaultPolicy returns the settings of a node at today's scale.
func DefaultPolicy() Policy {
	return Policy{Max: 256, TTL: GrantTTL, Lag: time.Second, Beat: time.Second, Bytes: 2048, Size: heartbeatSize}
}

// Owner divides the limits of the upstreams that its node owns among the nodes of
// the cell. The sum of unexpired grants, and of open requests that no grant
// covers, never exceeds an upstream's limit by a grant that Owner makes.
type Owner struct {
	self   Node
	policy Policy
	view   View
	// joined is when the node first saw itself in the view.
	joined time.Time
	// lease is the end of the node's own session lease.
	lease   time.Time
	origin  time.Time
	number  uint64
	records map[string]*record
	drained map[string]bool
}

// NewOwner returns an owner that owns nothing until it has a view and a lease.
func NewOwner(now time.Time, self Node, policy Policy) *Owner {
	return &Owner{self: self, policy: policy, origin: now, records: make(map[string]*record), drained: make(map[string]bool)}
}

// Renew takes the reply to a session renewal: the node's view, which may be the
// one it has, and the end of its session lease, which no grant outlives. Ownership
// gained with the view starts unsettled: the nodes are asked for their running
// requests first. A node whose lease had lapsed may have been dropped from the
// view and added again without seeing it; it starts as if it had just joined.
func (o *Owner) Renew(now time.Time, v View, lease time.Time) []Grant {
	lapsed := !o.lease.After(now)
	if lease.After(o.lease) {
		o.lease = lease
	}
	had := o.view.Member(o.self) && !lapsed
	if v.Version > o.view.Version {
		o.view = v
	} else if !lapsed {
		return nil
	}
	if o.view.Member(o.self) && !had {
		o.joined = now
	}
	var out []Grant
	for _, id := range slices.Sorted(maps.Keys(o.records)) {
		r := o.records[id]
		owned := o.Owns(id)
		switch {
		case owned && (!r.owned || !had):
			r.gain(now, o.view)
		case !owned && r.owned:
			r.owned = false
		}
		out = append(out, o.push(now, r)...)
	}
	return out
}

// Drain sets which upstreams get nothing new, those in drained failure domains
// among them, and returns the smaller grants that follow.
func (o *Owner) Drain(now time.Time, upstreams []string) []Grant {
	clear(o.drained)
	var out []Grant
	for _, id := range upstreams {
		o.drained[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(o.records)) {
		out = append(out, o.push(now, o.records[id])...)
	}
	return out
}

// Heartbeat takes an upstream's announcement. It returns the interval until the
// next one and the grants that follow. An announcement that is not newer than the
// last one by incarnation and sequence changes nothing. start is the number of
// requests that a newly started upstream of its service gets.
func (o *Owner) Heartbeat(now time.Time, a wire.Announce, start int) (time.Duration, []Grant) {
	r, ok := o.records[a.ID]
	if !ok {
		r = &record{id: a.ID, peers: make(map[string]*peer)}
		o.records[a.ID] = r
	}
	interval := o.interval()
	if ok && (a.Incarnation < r.announce.Incarnation ||
		a.Incarnation == r.announce.Incarnation && a.Sequence <= r.announce.Sequence) {
		return interval, nil
	}
	if o.Owns(a.ID) && !r.owned {
		r.gain(now, o.view)
	}
	r.heartbeat(now, a, start, o.policy)
	grants := o.push(now, r)
	if r.owned && (!r.exact || r.ghost > 0) {
		interval = settleBeat
	}
	return interval, grants
}

// Demand takes a node's report and returns the grants that follow, the answer to
// the reporting node among them.
func (o *Owner) Demand(now time.Time, d Demand) []Grant {
	r, ok := o.records[d.Upstream]
	if !ok || !r.owned || !o.view.Has(d.Node) {
		return nil
	}
	p := r.peers[d.Node]
	if p == nil {
		p = &peer{since: now}
		r.peers[d.Node] = p
	}
	if d.Incarnation < p.incarnation || d.Incarnation == p.incarnation && d.Sequence <= p.sequence {
		return nil
	}
	if d.Incarnation > p.incarnation && p.incarnation != 0 {
		r.abandon(now, p)
		p = &peer{since: now}
		r.peers[d.Node] = p
	}
	p.report(d, o.self.Incarnation)
	p.heard = now
	if d.Epoch >= r.epoch {
		p.reported = true
	}
	switch {
	case !d.Alone:
		p.alone = time.Time{}
	case p.alone.IsZero():
		p.alone = now
	}
	r.hint(d.Hint)
	r.sample(o.view)
	r.learn(now, p, p.news(d.Evidence))
	p.stale = true
	return o.push(now, r)
}

// Tick expires entries and repeats questions that were not answered. It is due
// every 100 ms or so.
func (o *Owner) Tick(now time.Time) []Grant {
	var out []Grant
	for _, id := range slices.Sorted(maps.Keys(o.records)) {
		r := o.records[id]
		if now.Sub(r.seen) > r.life && r.idle(now, o.policy) {
			delete(o.records, id)
			continue
		}
		if r.owned && !r.settled(now, o) && now.Sub(r.asked) >= 100*time.Millisecond {
			r.asked = now
			for _, p := range r.peers {
				p.asked = false
			}
		}
		out = append(out, o.push(now, r)...)
	}
	return out
}

// Owns tells whether this node owns the upstream; heartbeats of others are to be
// forwarded to View.Owner.
func (o *Owner) Owns(upstream string) bool {
	return o.view.Member(o.self) && o.view.Owner(upstream) == o.self.Name
}

// Limit returns the number of requests that the upstream may run now over all
// nodes together; zero when this node does not own it or may not grant.
func (o *Owner) Limit(now time.Time, upstream string) int {
	r, ok := o.records[upstream]
	if !ok {
		return 0
	}
	return o.limit(now, r)
}

func (o *Owner) limit(now time.Time, r *record) int {
	if !r.owned || !o.lease.After(now) || !r.usable(now) || o.drained[r.id] || !r.settled(now, o) {
		return 0
	}
	return r.limiter.limit
}

// interval spreads the heartbeats of the node's upstreams over its byte budget.
func (o *Owner) interval() time.Duration {
	if o.policy.Bytes == 0 {
		return o.policy.Beat
	}
	owned := 0
	for _, r := range o.records {
		if r.owned {
			owned++ // heartbeats of others arrive at their owners
		}
	}
	need := time.Duration(owned*o.policy.Size) * time.Second / time.Duration(o.policy.Bytes)
	return max(o.policy.Beat, need)
}

// push makes the grants that changed, and those that nodes asked for.
func (o *Owner) push(now time.Time, r *record) []Grant {
	if !r.owned || !o.lease.After(now) {
		return nil
	}
	var out []Grant
	r.depart(now, o)
	limit := o.limit(now, r)
	want := shares(now, max(0, limit-r.ghost), r.peers)
	alone := r.turnAlone()
	if alone != "" {
		want = map[string]int{alone: min(1, limit)}
	}
	for _, n := range o.view.Nodes {
		p := r.peers[n.Name]
		if p == nil {
			p = &peer{since: now}
			r.peers[n.Name] = p
		}
		others := r.ghost + r.others(n.Name)
		slots := min(want[n.Name], max(0, limit-others))
		if n.Name == alone && others > 0 {
			slots = 0
		}
		ask := !p.reported && !p.asked
		if !p.stale && slots == p.last && !ask {
			continue
		}
		if p.sequence == 0 && !ask {
			continue
		}
		out = append(out, o.grant(now, r, n.Name, slots, ask, alone == n.Name && slots == 1))
	}
	return out
}

func (o *Owner) grant(now time.Time, r *record, to string, slots int, ask, alone bool) Grant {
	p := r.peers[to]
	o.number++
	ttl := min(o.policy.TTL, o.lease.Sub(now))
	p.stale, p.last = false, slots
	p.asked = p.asked || ask
	p.place(now, slots)
	if slots > 0 {
		r.hinting = false
		p.add(outstanding{number: o.number, slots: slots, expiry: p.heard.Add(drifted(ttl)).Sub(o.origin)})
	}
	return Grant{
		Upstream: r.id, To: to, Owner: o.self.Name, Start: o.self.Incarnation, Epoch: o.view.Version,
		Number: o.number, Sequence: p.sequence, TTL: ttl, Slots: slots, Stamp: now.Sub(o.origin), Ask: ask, Alone: alone,
		Incarnation: r.announce.Incarnation, Limit: o.limit(now, r), Generation: r.limiter.generation,
		Prefill: r.prefill(to),
	}
}
