package routing

import (
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// outstanding is a grant whose use by its node is not known yet.
type outstandingGrant struct {
	number uint64
	slots  int
	// expiry is on the owner's clock since its origin, drift bound included.
	expiry time.Duration
}

// peer is what an owner knows of one node's use of an upstream.
type peer struct {
	incarnation, sequence               uint64
	running, requestedSlots, minRunning int
	prefillTokens                       int
	// evidence is the last one taken.
	evidence Evidence
	// heard is when the last report came.
	lastReport  time.Time
	outstanding []outstandingGrant
	// last is the number of slots in the last grant.
	grantedSlots int
	// reported is true once the node follows this owner's view.
	reported bool
	// fresh is true once the node has reported since good answers were last counted.
	reportedSinceCount bool
	reportRequested    bool
	// stale is true when the node's last report has no answer yet.
	grantDue       bool
	hasSlots       bool
	slotsChangedAt time.Time
	// alone is when the node began to want the upstream alone; zero when it does not.
	isolationSince time.Time
}

// charge is the most requests that the node may have open now.
func (p *peer) maxOpenRequests() int {
	n := p.running
	for _, g := range p.outstanding {
		n = max(n, g.slots)
	}
	return n
}

// maxOutstanding bounds the grants kept for a node that does not acknowledge.
const maxOutstanding = 8

func (p *peer) addOutstanding(g outstandingGrant) {
	if len(p.outstanding) == maxOutstanding {
		p.outstanding[1].slots = max(p.outstanding[0].slots, p.outstanding[1].slots)
		p.outstanding[1].expiry = max(p.outstanding[0].expiry, p.outstanding[1].expiry)
		p.outstanding = p.outstanding[1:]
	}
	p.outstanding = append(p.outstanding, g)
}

// report takes a newer demand. A grant is forgotten only when the report was sent
// after the node had replaced it, or after it had expired on the owner's clock as
// the echoed stamp shows; Running then covers what was started under it.
func (p *peer) applyDemand(d Demand, ownerIncarnation uint64) {
	consecutive := d.Incarnation == p.incarnation && d.Sequence == p.sequence+1
	p.incarnation, p.sequence = d.Incarnation, d.Sequence
	p.running, p.requestedSlots, p.prefillTokens, p.minRunning = max(0, d.Running), max(0, d.RequestedSlots, d.Running), d.PrefillTokens, d.MinRunning
	if !consecutive {
		p.minRunning = 0 // the missing report may have told of a lower value
	}
	if d.OwnerIncarnation != ownerIncarnation {
		return
	}
	kept := p.outstanding[:0]
	for _, g := range p.outstanding {
		if g.number >= d.Applied && g.expiry > d.Echo {
			kept = append(kept, g)
		}
	}
	p.outstanding = kept
}

// news returns what the evidence adds to the last one.
func (p *peer) newEvidence(e Evidence) Evidence {
	old := p.evidence
	p.evidence = e
	if e.Generation == old.Generation {
		e.Good, e.Slow = max(0, e.Good-old.Good), max(0, e.Slow-old.Slow)
	}
	return e
}

// turnAlone picks the node that may use the upstream alone: the one that has
// waited longest, or none.
func (u *ownedUpstream) nextIsolatedNode() string {
	var best string
	for n, p := range u.peers {
		if p.isolationSince.IsZero() {
			continue
		}
		if b := u.peers[best]; b == nil || p.isolationSince.Before(b.isolationSince) || p.isolationSince.Equal(b.isolationSince) && n < best {
			best = n
		}
	}
	return best
}

// record is one upstream at its owner.
type ownedUpstream struct {
	id           string
	announcement wire.Announce
	// seen is when the last newer heartbeat came and life how long it counts.
	lastHeartbeat time.Time
	heartbeatTTL  time.Duration
	limiter       limiter
	peers         map[string]*peer
	owned         bool
	// longest is set for a limit without load reports, see Quota.
	maxDuration time.Duration
	// epoch and gained are the view version and time at which ownership began.
	epoch              uint64
	ownedSince         time.Time
	reportsRequestedAt time.Time
	// hints is the newest limit known to the nodes at a takeover.
	newestHint   Hint
	acceptsHints bool
	coldHinted   bool
	// level is true once all members have reported since ownership began.
	sawAllReports bool
	// ghost counts requests that may run for nodes that no longer report. It comes
	// from the upstream's own load report and falls with it.
	uncovered        int
	uncoveredAddedAt time.Time
	evaluation       limitEvaluation
	// exact is true once ghost was computed from a load report that is younger than
	// the takeover.
	uncoveredKnown bool
	// low holds the least sum of reported requests since lowAt and in the period of
	// at least Lag before it, against which a lagging load report is compared.
	minRunning      [2]int
	minRunningSince time.Time
}

func (u *ownedUpstream) takeOver(now time.Time, v View) {
	u.owned, u.epoch, u.ownedSince, u.reportsRequestedAt = true, v.Version, now, now
	u.newestHint, u.acceptsHints, u.coldHinted, u.sawAllReports = Hint{}, true, false, false
	for _, p := range u.peers {
		p.reported, p.reportRequested = false, false
	}
	u.uncovered, u.uncoveredAddedAt, u.uncoveredKnown = 0, now, false
	u.minRunning = [2]int{}
}

func (u *ownedUpstream) reportedLoad() int {
	return int(u.announcement.Load.Running + u.announcement.Load.Waiting)
}

// depart moves the open requests of nodes that are silent or have left the view to
// ghost, once none of their grants can be in use.
func (u *ownedUpstream) expirePeers(now time.Time, o *Owner) {
	for name, p := range u.peers {
		member := o.view.HasNode(name)
		if !member {
			p.requestedSlots, p.isolationSince = 0, time.Time{}
		}
		if now.Sub(p.lastReport) <= withDrift(o.policy.GrantTTL) {
			continue
		}
		u.addUncovered(now, p)
		p.running, p.requestedSlots, p.minRunning, p.prefillTokens, p.outstanding, p.isolationSince = 0, 0, 0, 0, nil, time.Time{}
		if !member {
			delete(u.peers, name)
		}
	}
}

// drifted returns how long a lease of length d on another clock may last here.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * MaxClockRateRatio) }

func (u *ownedUpstream) addUncovered(now time.Time, p *peer) {
	if open := p.maxOpenRequests(); open > 0 {
		u.uncovered += open
		u.minRunning[0], u.minRunning[1] = max(0, u.minRunning[0]-open), max(0, u.minRunning[1]-open)
		u.uncoveredAddedAt = now
	}
}

func (u *ownedUpstream) applyHeartbeat(now time.Time, a wire.Announce, start int, policy Policy) {
	restarted := u.lastHeartbeat.IsZero() || a.Incarnation != u.announcement.Incarnation
	ceiling := policy.MaxLimit
	if a.Limit > 0 {
		ceiling = int(a.Limit)
	}
	wasReady := u.announcement.Ready
	u.announcement = a
	u.heartbeatTTL = 3 * max(policy.MinHeartbeatInterval, u.sinceHeartbeat(now))
	u.lastHeartbeat = now
	switch {
	case restarted:
		u.limiter = newLimiter(start, ceiling, u.limiter.generation+1)
	case !wasReady && a.Ready:
		u.limiter.setCeiling(ceiling)
		u.limiter.reset()
	default:
		u.limiter.setCeiling(ceiling)
	}
	u.raiseGeneration(u.epoch)
	u.updateUncovered(now, policy.ReportLag)
	u.evaluation.observeLoad(now, u.reportedLoad(), &u.limiter, policy.ReportLag)
	if now.Sub(u.minRunningSince) >= policy.ReportLag {
		u.minRunning[1], u.minRunning[0], u.minRunningSince = u.minRunning[0], u.running(), now
	}
}

// interval is the time since the last heartbeat, bounded to a minute.
func (u *ownedUpstream) sinceHeartbeat(now time.Time) time.Duration {
	if u.lastHeartbeat.IsZero() {
		return 0
	}
	return min(now.Sub(u.lastHeartbeat), time.Minute)
}

// settleGhost sets ghost to what the upstream runs beyond the reports of live
// nodes. A load report that is younger than the cause by less than Lag may not
// show all of it yet. After a takeover the load report is the only source; later
// ghost only falls, because the load report also shows new requests.
func (u *ownedUpstream) updateUncovered(now time.Time, lag time.Duration) {
	if u.maxDuration > 0 {
		u.updateUncoveredWithoutLoad(now, lag)
		return
	}
	if now.Sub(u.uncoveredAddedAt) < lag {
		return
	}
	extra := max(0, u.reportedLoad()-min(u.minRunning[0], u.minRunning[1]))
	if !u.uncoveredKnown {
		u.uncovered, u.uncoveredKnown = extra, true
		return
	}
	u.uncovered = min(u.uncovered, extra)
}

// sample keeps the least sum of running requests. Open requests only end between
// a takeover and the first grant, so the first complete sum is a lower bound for
// the time before it.
func (u *ownedUpstream) sampleRunning(v View) {
	if !u.sawAllReports && u.allReported(v) {
		u.sawAllReports = true
		u.minRunning = [2]int{u.running(), u.running()}
	}
	u.minRunning[0] = min(u.minRunning[0], u.running())
}

func (u *ownedUpstream) running() int {
	sum := 0
	for _, p := range u.peers {
		sum += p.running
	}
	return sum
}

func (u *ownedUpstream) otherNodesOpen(name string) int {
	sum := 0
	for n, p := range u.peers {
		if n != name {
			sum += p.maxOpenRequests()
		}
	}
	return sum
}

func (u *ownedUpstream) otherNodesPrefill(name string) int {
	sum := 0
	for n, p := range u.peers {
		if n != name {
			sum += p.prefillTokens
		}
	}
	return sum
}

// usable is false for an upstream that gets nothing new.
func (u *ownedUpstream) usable(now time.Time) bool {
	return u.announcement.Ready && !u.announcement.Leaving && now.Sub(u.lastHeartbeat) <= u.heartbeatTTL
}

// settled tells whether the owner knows enough to grant. Open requests are known
// from a load report that is younger than the takeover. Grants of earlier owners
// have ended: every member has reported, or the wait is over. All owners that rank above this one have left the
// view, so their grants have expired; an owner that ranks below can have grants
// only if this node joined within the session lease, and those end with the lease.
func (u *ownedUpstream) settled(now time.Time, o *Owner) bool {
	return u.uncoveredKnown && (!now.Before(o.joinedAt.Add(withDrift(SessionTTL))) || u.allReported(o.view))
}

// complete tells whether all members have reported since ownership began.
func (u *ownedUpstream) allReported(v View) bool {
	for _, n := range v.Nodes {
		if p := u.peers[n.Name]; p == nil || !p.reported {
			return false
		}
	}
	return true
}

// idle tells whether nothing of the record can matter any more.
func (u *ownedUpstream) evictable(now time.Time, policy Policy) bool {
	return now.Sub(u.lastHeartbeat) > u.heartbeatTTL+2*policy.GrantTTL && (u.running() == 0 || !u.owned)
}

// hint takes over the newest limit that the previous owner had learned, until
// this owner makes its first grant. A node that saw the upstream cold takes the
// limit back to its start value at any time.
func (u *ownedUpstream) applyHint(h Hint) {
	if h.Incarnation != u.announcement.Incarnation || h.Epoch >= u.epoch {
		return
	}
	if h.Cold && !u.coldHinted {
		u.coldHinted = true
		u.limiter.reset()
	}
	newer := h.Epoch > u.newestHint.Epoch || h.Epoch == u.newestHint.Epoch && h.Number > u.newestHint.Number
	if u.coldHinted || !u.acceptsHints || !newer {
		return
	}
	u.newestHint = h
	u.limiter.setLimit(max(1, min(h.Limit, u.limiter.ceiling)))
}

// bump keeps generations of one upstream rising from owner to owner.
func (u *ownedUpstream) raiseGeneration(version uint64) {
	if minGeneration := version << 16; u.limiter.generation < minGeneration {
		u.limiter.generation += minGeneration
		u.limiter.decreasedGeneration += minGeneration
	}
}
