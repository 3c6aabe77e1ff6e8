package routing

import (
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// outstanding is a grant whose use by its node is not known yet.
type outstanding struct {
	number uint64
	slots  int
	// expiry is on the owner's clock since its origin, drift bound included.
	expiry time.Duration
}

// peer is what an owner knows of one node's use of an upstream.
type peer struct {
	incarnation, sequence uint64
	running, want, low    int
	prefill               int
	// evidence is the last one taken.
	evidence Evidence
	// heard is when the last report came.
	heard time.Time
	out   []outstanding
	// last is the number of slots in the last grant.
	last int
	// reported is true once the node follows this owner's view.
	reported bool
	// fresh is true once the node has reported since good answers were last counted.
	fresh bool
	asked bool
	// stale is true when the node's last report has no answer yet.
	stale   bool
	holding bool
	since   time.Time
	// alone is when the node began to want the upstream alone; zero when it does not.
	alone time.Time
}

// charge is the most requests that the node may have open now.
func (p *peer) charge() int {
	n := p.running
	for _, g := range p.out {
		n = max(n, g.slots)
	}
	return n
}

// maxOutstanding bounds the grants kept for a node that does not acknowledge.
const maxOutstanding = 8

func (p *peer) add(g outstanding) {
	if len(p.out) == maxOutstanding {
		p.out[1].slots = max(p.out[0].slots, p.out[1].slots)
		p.out[1].expiry = max(p.out[0].expiry, p.out[1].expiry)
		p.out = p.out[1:]
	}
	p.out = append(p.out, g)
}

// report takes a newer demand. A grant is forgotten only when the report was sent
// after the node had replaced it, or after it had expired on the owner's clock as
// the echoed stamp shows; Running then covers what was started under it.
func (p *peer) report(d Demand, start uint64) {
	next := d.Incarnation == p.incarnation && d.Sequence == p.sequence+1
	p.incarnation, p.sequence = d.Incarnation, d.Sequence
	p.running, p.want, p.prefill, p.low = max(0, d.Running), max(0, d.Want, d.Running), d.Prefill, d.Low
	if !next {
		p.low = 0 // the missing report may have told of a lower value
	}
	if d.Start != start {
		return
	}
	kept := p.out[:0]
	for _, g := range p.out {
		if g.number >= d.Applied && g.expiry > d.Echo {
			kept = append(kept, g)
		}
	}
	p.out = kept
}

// news returns what the evidence adds to the last one.
func (p *peer) news(e Evidence) Evidence {
	old := p.evidence
	p.evidence = e
	if e.Generation == old.Generation {
		e.Good, e.Slow = max(0, e.Good-old.Good), max(0, e.Slow-old.Slow)
	}
	return e
}

// turnAlone picks the node that may use the upstream alone: the one that has
// waited longest, or none.
func (r *record) turnAlone() string {
	var best string
	for n, p := range r.peers {
		if p.alone.IsZero() {
			continue
		}
		if b := r.peers[best]; b == nil || p.alone.Before(b.alone) || p.alone.Equal(b.alone) && n < best {
			best = n
		}
	}
	return best
}

// record is one upstream at its owner.
type record struct {
	id       string
	announce wire.Announce
	// seen is when the last newer heartbeat came and life how long it counts.
	seen    time.Time
	life    time.Duration
	limiter limiter
	peers   map[string]*peer
	owned   bool
	// longest is set for a limit without load reports, see Quota.
	longest time.Duration
	// epoch and gained are the view version and time at which ownership began.
	epoch  uint64
	gained time.Time
	asked  time.Time
	// hints is the newest limit known to the nodes at a takeover.
	hints   Hint
	hinting bool
	cold    bool
	// level is true once all members have reported since ownership began.
	level bool
	// ghost counts requests that may run for nodes that no longer report. It comes
	// from the upstream's own load report and falls with it.
	ghost   int
	ghostAt time.Time
	proof   proof
	// exact is true once ghost was computed from a load report that is younger than
	// the takeover.
	exact bool
	// low holds the least sum of reported requests since lowAt and in the period of
	// at least Lag before it, against which a lagging load report is compared.
	low   [2]int
	lowAt time.Time
}

func (r *record) gain(now time.Time, v View) {
	r.owned, r.epoch, r.gained, r.asked = true, v.Version, now, now
	r.hints, r.hinting, r.cold, r.level = Hint{}, true, false, false
	for _, p := range r.peers {
		p.reported, p.asked = false, false
	}
	r.ghost, r.ghostAt, r.exact = 0, now, false
	r.low = [2]int{}
}

func (r *record) load() int { return int(r.announce.Load.Running + r.announce.Load.Waiting) }

// depart moves the open requests of nodes that are silent or have left the view to
// ghost, once none of their grants can be in use.
func (r *record) depart(now time.Time, o *Owner) {
	for name, p := range r.peers {
		member := o.view.Has(name)
		if !member {
			p.want, p.alone = 0, time.Time{}
		}
		if now.Sub(p.heard) <= drifted(o.policy.TTL) {
			continue
		}
		r.abandon(now, p)
		p.running, p.want, p.low, p.prefill, p.out, p.alone = 0, 0, 0, 0, nil, time.Time{}
		if !member {
			delete(r.peers, name)
		}
	}
}

// drifted returns how long a lease of length d on another clock may last here.
func drifted(d time.Duration) time.Duration { return time.Duration(float64(d) * Drift) }

func (r *record) abandon(now time.Time, p *peer) {
	if c := p.charge(); c > 0 {
		r.ghost += c
		r.low[0], r.low[1] = max(0, r.low[0]-c), max(0, r.low[1]-c)
		r.ghostAt = now
	}
}

func (r *record) heartbeat(now time.Time, a wire.Announce, start int, policy Policy) {
	restarted := r.seen.IsZero() || a.Incarnation != r.announce.Incarnation
	ceiling := policy.Max
	if a.Limit > 0 {
		ceiling = int(a.Limit)
	}
	wasReady := r.announce.Ready
	r.announce = a
	r.life = 3 * max(policy.Beat, r.interval(now))
	r.seen = now
	switch {
	case restarted:
		r.limiter = newLimiter(start, ceiling, r.limiter.generation+1)
	case !wasReady && a.Ready:
		r.limiter.bound(ceiling)
		r.limiter.cold()
	default:
		r.limiter.bound(ceiling)
	}
	r.bump(r.epoch)
	r.settleGhost(now, policy.Lag)
	r.proof.load(now, r.load(), &r.limiter, policy.Lag)
	if now.Sub(r.lowAt) >= policy.Lag {
		r.low[1], r.low[0], r.lowAt = r.low[0], r.running(), now
	}
}

// interval is the time since the last heartbeat, bounded to a minute.
func (r *record) interval(now time.Time) time.Duration {
	if r.seen.IsZero() {
		return 0
	}
	return min(now.Sub(r.seen), time.Minute)
}

// settleGhost sets ghost to what the upstream runs beyond the reports of live
// nodes. A load report that is younger than the cause by less than Lag may not
// show all of it yet. After a takeover the load report is the only source; later
// ghost only falls, because the load report also shows new requests.
func (r *record) settleGhost(now time.Time, lag time.Duration) {
	if r.longest > 0 {
		r.settleFixed(now, lag)
		return
	}
	if now.Sub(r.ghostAt) < lag {
		return
	}
	extra := max(0, r.load()-min(r.low[0], r.low[1]))
	if !r.exact {
		r.ghost, r.exact = extra, true
		return
	}
	r.ghost = min(r.ghost, extra)
}

// sample keeps the least sum of running requests. Open requests only end between
// a takeover and the first grant, so the first complete sum is a lower bound for
// the time before it.
func (r *record) sample(v View) {
	if !r.level && r.complete(v) {
		r.level = true
		r.low = [2]int{r.running(), r.running()}
	}
	r.low[0] = min(r.low[0], r.running())
}

func (r *record) running() int {
	sum := 0
	for _, p := range r.peers {
		sum += p.running
	}
	return sum
}

func (r *record) others(name string) int {
	sum := 0
	for n, p := range r.peers {
		if n != name {
			sum += p.charge()
		}
	}
	return sum
}

func (r *record) prefill(except string) int {
	sum := 0
	for n, p := range r.peers {
		if n != except {
			sum += p.prefill
		}
	}
	return sum
}

// usable is false for an upstream that gets nothing new.
func (r *record) usable(now time.Time) bool {
	return r.announce.Ready && !r.announce.Leaving && now.Sub(r.seen) <= r.life
}

// settled tells whether the owner knows enough to grant. Open requests are known
// from a load report that is younger than the takeover. Grants of earlier owners
// have ended: every member has reported, or the wait is over. All owners that rank above this one have left the
// view, so their grants have expired; an owner that ranks below can have grants
// only if this node joined within the session lease, and those end with the lease.
func (r *record) settled(now time.Time, o *Owner) bool {
	return r.exact && (!now.Before(o.joined.Add(drifted(SessionTTL))) || r.complete(o.view))
}

// complete tells whether all members have reported since ownership began.
func (r *record) complete(v View) bool {
	for _, n := range v.Nodes {
		if p := r.peers[n.Name]; p == nil || !p.reported {
			return false
		}
	}
	return true
}

// idle tells whether nothing of the record can matter any more.
func (r *record) idle(now time.Time, policy Policy) bool {
	return now.Sub(r.seen) > r.life+2*policy.TTL && (r.running() == 0 || !r.owned)
}

// hint takes over the newest limit that the previous owner had learned, until
// this owner makes its first grant. A node that saw the upstream cold takes the
// limit back to its start value at any time.
func (r *record) hint(h Hint) {
	if h.Incarnation != r.announce.Incarnation || h.Epoch >= r.epoch {
		return
	}
	if h.Cold && !r.cold {
		r.cold = true
		r.limiter.cold()
	}
	newer := h.Epoch > r.hints.Epoch || h.Epoch == r.hints.Epoch && h.Number > r.hints.Number
	if r.cold || !r.hinting || !newer {
		return
	}
	r.hints = h
	r.limiter.set(max(1, min(h.Limit, r.limiter.ceiling)))
}

// bump keeps generations of one upstream rising from owner to owner.
func (r *record) bump(version uint64) {
	if floor := version << 16; r.limiter.generation < floor {
		r.limiter.generation += floor
		r.limiter.fallen += floor
	}
}
