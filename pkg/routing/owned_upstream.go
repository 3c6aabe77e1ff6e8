package routing

import (
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// outstandingGrant is a grant that the node may still be using: the node has
// neither acknowledged a newer grant nor shown that this one has expired.
type outstandingGrant struct {
	number uint64
	slots  int
	// expiry is on the owner's clock, counted from Owner.clockOrigin, and includes the
	// clock drift bound.
	expiry time.Duration
}

// peer is the owner's state of one node's use of an upstream.
type peer struct {
	incarnation, sequence               uint64
	running, requestedSlots, minRunning int
	prefillTokens                       int
	// evidence is the last evidence applied.
	evidence Evidence
	// lastReport is when the last report arrived.
	lastReport  time.Time
	outstanding []outstandingGrant
	// grantedSlots is the number of slots in the last grant.
	grantedSlots int
	// reported is true once the node has reported with the view of the takeover
	// (ownedUpstream.epoch) or a newer one.
	reported bool
	// reportedThisRound is true if the node has reported in the current round, see
	// limitEvaluation.
	reportedThisRound bool
	reportRequested   bool
	// grantDue is true if a grant must be sent even if the number of slots has not
	// changed, for example in reply to a report.
	grantDue bool
	// hasSlots is true if the last grant had slots, and slotsChangedAt is when that
	// last changed.
	hasSlots       bool
	slotsChangedAt time.Time
	// isolationSince is when the node started to request isolation, or zero if it
	// requests none.
	isolationSince time.Time
}

// maxOpenRequests is an upper bound on the requests that the node has open now.
func (p *peer) maxOpenRequests() int {
	n := p.running
	for _, g := range p.outstanding {
		n = max(n, g.slots)
	}
	return n
}

// maxOutstanding limits the grants kept for a node that does not acknowledge them.
// Beyond it, the two oldest are merged into one that covers both.
const maxOutstanding = 8

func (p *peer) addOutstanding(g outstandingGrant) {
	if len(p.outstanding) == maxOutstanding {
		p.outstanding[1].slots = max(p.outstanding[0].slots, p.outstanding[1].slots)
		p.outstanding[1].expiry = max(p.outstanding[0].expiry, p.outstanding[1].expiry)
		p.outstanding = p.outstanding[1:]
	}
	p.outstanding = append(p.outstanding, g)
}

// applyDemand applies a newer report. An outstanding grant is removed only if the
// node sent the report after it had applied a newer grant, or after the grant had
// expired on the owner's clock, as the echoed stamp shows. In both cases the report's
// Running includes the requests that were started under the removed grant.
func (p *peer) applyDemand(d Demand, ownerIncarnation uint64) {
	consecutive := d.Incarnation == p.incarnation && d.Sequence == p.sequence+1
	p.incarnation, p.sequence = d.Incarnation, d.Sequence
	p.running, p.requestedSlots, p.prefillTokens, p.minRunning = max(0, d.Running), max(0, d.RequestedSlots, d.Running), d.PrefillTokens, d.MinRunning
	if !consecutive {
		p.minRunning = 0 // the missing report may have contained a lower value
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

// newEvidence returns the difference between the evidence and the last evidence
// applied.
func (p *peer) newEvidence(e Evidence) Evidence {
	old := p.evidence
	p.evidence = e
	if e.Generation == old.Generation {
		e.Good, e.Slow = max(0, e.Good-old.Good), max(0, e.Slow-old.Slow)
	}
	return e
}

// nextIsolatedNode returns the node that may run an isolated request next, which is
// the one that has waited longest, or an empty string if no node requests
// isolation.
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

// ownedUpstream is the owner's state of one upstream. While another node owns the
// upstream, owned is false.
type ownedUpstream struct {
	id           string
	announcement wire.Announce
	// lastHeartbeat is when the last accepted heartbeat arrived, and heartbeatTTL
	// how long it is valid.
	lastHeartbeat time.Time
	heartbeatTTL  time.Duration
	limiter       limiter
	peers         map[string]*peer
	owned         bool
	// maxDuration is set for a limit without load reports, see Owner.SetQuota.
	maxDuration time.Duration
	// epoch and ownedSince are the view version and time of the takeover.
	epoch              uint64
	ownedSince         time.Time
	reportsRequestedAt time.Time
	// newestHint is the newest limit of an earlier owner that nodes have reported.
	// acceptsHints is true until the first grant, and coldHinted is true once a node
	// has reported the upstream cold.
	newestHint   Hint
	acceptsHints bool
	coldHinted   bool
	// sawAllReports is true once all members have reported since the takeover.
	sawAllReports bool
	// uncovered counts requests that may still run for nodes that no longer report.
	// It is derived from the upstream's load report and falls with it.
	// uncoveredAddedAt is when requests were last added, or the time of the takeover.
	uncovered        int
	uncoveredAddedAt time.Time
	evaluation       limitEvaluation
	// uncoveredKnown is true once uncovered was computed from a load report that is
	// newer than the takeover.
	uncoveredKnown bool
	// minRunning holds the minimum sum of reported requests since minRunningSince
	// (index 0) and in the period of at least ReportLag before it (index 1). A
	// lagging load report is compared with the lower of the two.
	minRunning      [2]int
	minRunningSince time.Time
}

// takeOver starts the ownership. The upstream is then unsettled, see settled.
func (u *ownedUpstream) takeOver(now time.Time, v View) {
	u.owned, u.epoch, u.ownedSince, u.reportsRequestedAt = true, v.Version, now, now
	u.newestHint, u.acceptsHints, u.coldHinted, u.sawAllReports = Hint{}, true, false, false
	for _, p := range u.peers {
		p.reported, p.reportRequested = false, false
	}
	u.uncovered, u.uncoveredAddedAt, u.uncoveredKnown = 0, now, false
	u.minRunning = [2]int{}
}

// reportedLoad returns the open requests of the upstream's last load report.
func (u *ownedUpstream) reportedLoad() int {
	return int(u.announcement.Load.Running + u.announcement.Load.Waiting)
}

// expirePeers adds the open requests of silent nodes to uncovered, once none of their
// grants can be in use. Nodes that have left the view are then removed.
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

// withDrift returns the longest time on this node's clock that a lease of length d
// on another node's clock can take.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * MaxClockRateRatio) }

// addUncovered adds the requests that the node may have open to uncovered. The node's
// reports no longer include them, so the minimum sum of reported requests falls.
func (u *ownedUpstream) addUncovered(now time.Time, p *peer) {
	if open := p.maxOpenRequests(); open > 0 {
		u.uncovered += open
		u.minRunning[0], u.minRunning[1] = max(0, u.minRunning[0]-open), max(0, u.minRunning[1]-open)
		u.uncoveredAddedAt = now
	}
}

func (u *ownedUpstream) applyHeartbeat(now time.Time, a wire.Announce, startLimit int, policy Policy) {
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
		u.limiter = newLimiter(startLimit, ceiling, u.limiter.generation+1)
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

// sinceHeartbeat returns the time since the last heartbeat, at most a minute.
func (u *ownedUpstream) sinceHeartbeat(now time.Time) time.Duration {
	if u.lastHeartbeat.IsZero() {
		return 0
	}
	return min(now.Sub(u.lastHeartbeat), time.Minute)
}

// updateUncovered sets uncovered to the number of requests that the upstream runs
// in addition to those that live nodes report. A load report that arrives less than
// ReportLag after requests were added to uncovered may not include all of them yet
// and is not used. The first report after a takeover sets uncovered. Later ones may
// only lower it, because they also include new requests.
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

// sampleRunning updates the minimum sum of running requests. Between a takeover and
// the first grant open requests only end, so the first sum over all members is also
// a lower bound for the time before it.
func (u *ownedUpstream) sampleRunning(v View) {
	if !u.sawAllReports && u.allReported(v) {
		u.sawAllReports = true
		u.minRunning = [2]int{u.running(), u.running()}
	}
	u.minRunning[0] = min(u.minRunning[0], u.running())
}

// running returns the sum of the open requests that the nodes report.
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

// usable reports whether the upstream may get new requests.
func (u *ownedUpstream) usable(now time.Time) bool {
	return u.announcement.Ready && !u.announcement.Leaving && now.Sub(u.lastHeartbeat) <= u.heartbeatTTL
}

// settled reports whether the owner knows enough to grant: a load report newer than
// the takeover has shown the open requests, and no grant of an earlier owner is in
// use any more. The latter is certain once every member has reported with the view
// of the takeover, because a member then applies no grant of an older view.
//
// It is also certain once SessionTTL, with clock drift, has passed since this process
// joined. Owners that rank above this node in the rendezvous hashing have left the
// view, so their sessions and grants have expired. Owners that rank below it, and
// earlier processes of this node, could grant only under a view without this process:
// the session leases that they held when it joined last at most SessionTTL, and no
// grant outlives its owner's lease.
func (u *ownedUpstream) settled(now time.Time, o *Owner) bool {
	return u.uncoveredKnown && (!now.Before(o.joinedAt.Add(withDrift(SessionTTL))) || u.allReported(o.view))
}

// allReported reports whether all members have reported since the takeover, see
// peer.reported.
func (u *ownedUpstream) allReported(v View) bool {
	for _, n := range v.Nodes {
		if p := u.peers[n.Name]; p == nil || !p.reported {
			return false
		}
	}
	return true
}

// evictable reports whether the entry is no longer needed: the heartbeats have
// stopped, and no node reports open requests or another node owns the upstream.
func (u *ownedUpstream) evictable(now time.Time, policy Policy) bool {
	return now.Sub(u.lastHeartbeat) > u.heartbeatTTL+2*policy.GrantTTL && (u.running() == 0 || !u.owned)
}

// applyHint adopts the newest limit that an earlier owner had estimated, until this
// owner makes its first grant. If a node found the upstream cold since then, the
// limit is reset to its start value, also after the first grant.
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

// raiseGeneration keeps the generations of an upstream increasing from owner to
// owner: under an owner that took over at a view version, they are at least
// version<<16.
func (u *ownedUpstream) raiseGeneration(version uint64) {
	if minGeneration := version << 16; u.limiter.generation < minGeneration {
		u.limiter.generation += minGeneration
		u.limiter.decreasedGeneration += minGeneration
	}
}
