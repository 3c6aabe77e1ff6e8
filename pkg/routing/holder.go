package routing

import (
	"math"
	"time"
)

// Timing of a node's reports.
const (
	// renewInterval is the interval of the periodic reports, which renew grants. It
	// allows three attempts before a grant expires.
	renewInterval = 475 * time.Millisecond
	// evictAfter is the time after which the entry of an unused upstream is removed,
	// to bound memory. It is far longer than a grant.
	evictAfter = time.Minute
	// minReportInterval is the shortest interval between two reports on an upstream
	// that are triggered by changes.
	minReportInterval = 5 * time.Millisecond
)

// Ticket represents a slot in use. It must be returned exactly once.
type Ticket struct {
	Upstream string
	// Generation is the generation of the limit under which the request started.
	Generation uint64
	// PrefillTokens is the number of tokens of a long prompt, or zero for a short
	// prompt.
	PrefillTokens int
	// Isolated is true for a ticket from Holder.TakeIsolated.
	Isolated bool
	// tookLastSlot is true if the request took the node's last free slot.
	tookLastSlot bool
}

// Holder tracks one node's use of the slots that owners grant to it.
type Holder struct {
	self         Node
	view         View
	leaseExpires time.Time
	upstreams    map[string]*heldUpstream
	// checks orders the upstreams by the time at which Demands has to check them.
	checks checkHeap
	// baseSequence is the highest sequence number of a removed entry. New entries
	// continue from it, because owners ignore older sequence numbers.
	baseSequence uint64
}

type sentReport struct {
	sequence uint64
	sentAt   time.Time
}

// heldUpstream is the holder's state of one upstream.
type heldUpstream struct {
	id    string
	grant Grant
	// grantExpires is on this node's clock.
	grantExpires time.Time
	running      int
	// minRunning is the minimum of running since the last report, and
	// reportedMinRunning the value sent in that report.
	minRunning         int
	reportedMinRunning int
	queued             int
	// deniedTakes counts the calls of Take without a free slot since the last report.
	deniedTakes int
	// lastRequested is the number of slots requested in the last report.
	lastRequested int
	prefillTokens int
	// isolationRequests counts the requests that wait to run isolated; isolated is
	// true while one runs.
	isolationRequests int
	isolated          bool
	// minEpoch is the oldest view version whose grants are accepted.
	minEpoch uint64
	// lastStamp is the newest stamp received from the owner.
	lastStamp time.Duration
	// cold is set when this node finds the upstream cold or failing, and cleared by
	// a grant with a newer generation. While it is set, no slot is free.
	cold bool
	// warmGeneration is the generation of the grant that last cleared cold.
	// Failures of requests that started before it are ignored, because the limit
	// has been reduced since then.
	warmGeneration uint64
	hint           Hint
	evidence       Evidence
	// sequence is the number of the last report.
	sequence uint64
	// sentReports is a ring buffer of the last reports, indexed by sequence number.
	// A grant's TTL counts from the time at which the report that it answers was
	// sent.
	sentReports [16]sentReport
	reportDue   bool
	lastReport  time.Time
	// wasActive is true if the node used or requested slots at the last report.
	wasActive bool
	// nextCheck is the time before which no report is due, and heapIndex the index
	// in Holder.checks.
	nextCheck time.Time
	heapIndex int
}

// NewHolder returns a holder without slots. self.Incarnation must increase with
// each start of the process.
func NewHolder(self Node) *Holder {
	return &Holder{self: self, upstreams: make(map[string]*heldUpstream)}
}

// Renew applies the reply to a session renewal: the node's view and the end of its
// session lease, after which no slot can be taken. It drops the grants of owners
// that the view replaces. If the lease had lapsed it drops all grants, because the
// node may have been removed from the view in the meantime.
func (h *Holder) Renew(now time.Time, v View, leaseExpires time.Time) {
	lapsed := !h.leaseExpires.After(now)
	if leaseExpires.After(h.leaseExpires) {
		h.leaseExpires = leaseExpires
	}
	newer := v.Version > h.view.Version
	for id, u := range h.upstreams {
		if lapsed || newer && h.view.ownerProcess(id) != v.ownerProcess(id) {
			u.minEpoch, u.grantExpires, u.reportDue = max(v.Version, u.minEpoch), time.Time{}, true
			h.checks.checkNow(u)
		}
	}
	if newer {
		h.view = v
	}
}

// getOrCreate returns the entry of the upstream. A new entry accepts only grants of
// the current view or a newer one.
func (h *Holder) getOrCreate(upstream string) *heldUpstream {
	u, ok := h.upstreams[upstream]
	if !ok {
		u = &heldUpstream{id: upstream, heapIndex: -1, minEpoch: h.view.Version, sequence: h.baseSequence}
		h.upstreams[upstream] = u
	}
	return u
}

// FreeSlots returns the number of slots that Take can still take.
func (h *Holder) FreeSlots(now time.Time, upstream string) int {
	u, ok := h.upstreams[upstream]
	if !ok || u.grant.Isolated || u.isolationRequests > 0 || !now.Before(h.leaseExpires) {
		return 0
	}
	return u.freeSlots(now)
}

func (u *heldUpstream) freeSlots(now time.Time) int {
	if u.cold || u.isolated || !now.Before(u.grantExpires) {
		return 0
	}
	return max(0, u.grant.Slots-u.running)
}

// RequestIsolation sets the number of requests that wait to run isolated on the
// upstream. While n > 0, this node starts no other requests there; n = 0 cancels
// the request for isolation.
func (h *Holder) RequestIsolation(upstream string, n int) {
	u := h.getOrCreate(upstream)
	u.isolationRequests, u.reportDue = n, true
	h.checks.checkNow(u)
}

// TakeIsolated takes a slot for a request that must run with no other request on the
// upstream. It returns false until RequestIsolation has led to an isolated grant and
// this node's own requests there have ended.
func (h *Holder) TakeIsolated(now time.Time, upstream string, prefillTokens int) (Ticket, bool) {
	u := h.getOrCreate(upstream)
	if u.isolationRequests == 0 || !u.grant.Isolated || u.running > 0 || u.freeSlots(now) == 0 || !now.Before(h.leaseExpires) {
		return Ticket{}, false
	}
	u.running, u.isolated = 1, true
	u.prefillTokens += prefillTokens
	h.checks.checkNow(u)
	return Ticket{Upstream: upstream, Generation: u.grant.Generation, PrefillTokens: prefillTokens, Isolated: true}, true
}

// Running returns the number of the node's open requests on the upstream.
func (h *Holder) Running(upstream string) int {
	if u, ok := h.upstreams[upstream]; ok {
		return u.running
	}
	return 0
}

// PrefillTokens returns the number of tokens of long prompts in prefill on the
// upstream: those of this node, and those of the other nodes as last reported by
// the owner.
func (h *Holder) PrefillTokens(upstream string) int {
	if u, ok := h.upstreams[upstream]; ok {
		return u.prefillTokens + u.grant.PrefillTokens
	}
	return 0
}

// Take takes a slot for a request that starts now. prefillTokens is the length of a
// long prompt, or zero for a short one. Without a free slot, Take returns false and
// the next report requests one more slot.
func (h *Holder) Take(now time.Time, upstream string, prefillTokens int) (Ticket, bool) {
	u := h.getOrCreate(upstream)
	h.checks.checkNow(u)
	if h.FreeSlots(now, upstream) == 0 {
		u.deniedTakes++
		u.reportShortage()
		return Ticket{}, false
	}
	u.running++
	u.prefillTokens += prefillTokens
	tookLastSlot := u.running == u.grant.Slots
	return Ticket{Upstream: upstream, Generation: u.grant.Generation, PrefillTokens: prefillTokens, tookLastSlot: tookLastSlot}, true
}

// RecordFirstToken records the end of the request's prefill; late is true if the
// first token missed its target. It must be called at most once, and before Return.
func (h *Holder) RecordFirstToken(t *Ticket, late bool) {
	u, ok := h.upstreams[t.Upstream]
	if !ok {
		return
	}
	h.checks.checkNow(u)
	u.prefillTokens -= t.PrefillTokens
	t.PrefillTokens = 0
	switch {
	case late && u.acceptEvidence(t.Generation):
		u.evidence.Slow++
		u.reportDue = true
	case !late && t.tookLastSlot && u.acceptEvidence(t.Generation):
		u.evidence.Good++
		u.reportDue = u.reportDue || u.evidence.Good == 1
	}
}

// acceptEvidence reports whether outcomes of the generation still count. The first
// outcome of a newer generation resets the evidence.
func (u *heldUpstream) acceptEvidence(generation uint64) bool {
	if u.cold || generation < u.evidence.Generation {
		return false
	}
	if generation > u.evidence.Generation {
		u.evidence = Evidence{Generation: generation}
	}
	return true
}

// Return releases a slot. failed is true if the upstream refused the request,
// crashed or stalled; a client that disconnects is not a failure.
func (h *Holder) Return(t Ticket, failed bool) {
	u, ok := h.upstreams[t.Upstream]
	if !ok || u.running == 0 {
		return
	}
	h.checks.checkNow(u)
	u.prefillTokens -= t.PrefillTokens
	u.running--
	if t.Isolated {
		u.isolated, u.reportDue = false, true
		u.isolationRequests = max(0, u.isolationRequests-1)
	}
	if u.running >= u.grant.Slots {
		u.reportDue = true // the owner has reduced the grant and waits for this slot
	}
	if failed && t.Generation >= u.warmGeneration {
		h.MarkCold(t.Upstream)
	}
}

// MarkCold stops new requests to an upstream that this node finds cold or failing,
// until the owner has reduced the limit.
func (h *Holder) MarkCold(upstream string) {
	u, ok := h.upstreams[upstream]
	if !ok || u.cold {
		return
	}
	u.cold, u.reportDue = true, true
	h.checks.checkNow(u)
	u.evidence = Evidence{Generation: u.grant.Generation}
}

// Limit returns the upstream's estimated limit over all nodes, as reported in the
// owner's last grant, or zero if it is unknown.
func (h *Holder) Limit(upstream string) int {
	if u, ok := h.upstreams[upstream]; ok {
		return u.grant.Limit
	}
	return 0
}

// SetQueued sets the number of this node's requests that wait for a slot of the
// upstream.
func (h *Holder) SetQueued(upstream string, n int) {
	u := h.getOrCreate(upstream)
	if n = max(0, n); n == u.queued {
		return
	}
	if n > u.queued {
		u.reportShortage()
	}
	u.queued = n
	h.checks.checkNow(u)
}

// reportShortage makes a report due unless the last report requested more slots than
// are granted: then the owner already knows of the shortage, and the periodic reports
// suffice.
func (u *heldUpstream) reportShortage() {
	u.reportDue = u.reportDue || u.lastRequested <= u.grant.Slots
}

// Apply applies an owner's grant. It ignores grants that are older than the last
// one and grants of owners that the view has replaced.
func (h *Holder) Apply(g Grant) {
	if g.To != h.self.Name {
		return
	}
	u := h.getOrCreate(g.Upstream)
	if g.Epoch < u.minEpoch || g.Epoch <= h.view.Version && h.view.Owner(g.Upstream) != g.Owner {
		return
	}
	if g.Epoch < u.grant.Epoch || g.Epoch == u.grant.Epoch && g.Number <= u.grant.Number {
		return
	}
	h.checks.checkNow(u)
	if g.OwnerIncarnation != u.grant.OwnerIncarnation || g.Owner != u.grant.Owner {
		u.lastStamp = 0
	}
	u.lastStamp = max(u.lastStamp, g.Stamp)
	if g.Limit > 0 {
		u.applyLimit(g)
	}
	u.reportDue = u.reportDue || g.RequestReport || g.Slots < u.grant.Slots
	if g.Generation > u.grant.Generation {
		u.minRunning = math.MaxInt // restart the minimum: each limit needs its own proof of full use
	}
	u.grant, u.grantExpires = g, time.Time{}
	if at, ok := u.reportSentAt(g.Sequence); ok {
		u.grantExpires = at.Add(g.TTL)
	}
}

// applyLimit applies the limit reported by an owner that is ready to grant.
func (u *heldUpstream) applyLimit(g Grant) {
	if u.cold && g.Generation > u.evidence.Generation {
		u.cold, u.warmGeneration = false, g.Generation
	}
	u.hint = Hint{Epoch: g.Epoch, Number: g.Number, Incarnation: g.Incarnation, Limit: g.Limit}
}

// reportSentAt returns when the report with the sequence number was sent, or false
// if it is no longer in sentReports.
func (u *heldUpstream) reportSentAt(sequence uint64) (time.Time, bool) {
	e := u.sentReports[sequence%uint64(len(u.sentReports))]
	return e.sentAt, sequence > 0 && e.sequence == sequence
}

// Demands returns the reports that are due, at most one per upstream. It is called
// every few milliseconds, and after changes. After a slot was returned, waiting
// requests should take it before the call: Demands samples the number of open
// requests, and a short dip would count as less than full use. It does no work for
// an upstream that has not changed and has no renewal due: at full scale a node
// tracks about 290 upstreams.
func (h *Holder) Demands(now time.Time) []Demand {
	var out []Demand
	for _, u := range h.checks.popDue(now) {
		sinceReport := now.Sub(u.lastReport)
		u.minRunning = min(u.minRunning, u.running)
		u.reportDue = u.reportDue || u.minRunning < u.reportedMinRunning // the owner still takes the higher minimum as proof of full use
		requested := u.running + u.queued + u.deniedTakes
		if u.isolationRequests > 0 {
			requested = 1
		}
		active := requested > 0 || u.grant.Slots > 0 && now.Before(u.grantExpires)
		if u.reportDue && sinceReport >= minReportInterval || (active || u.wasActive) && sinceReport >= renewInterval {
			u.wasActive = active
			out = append(out, h.buildDemand(now, u, requested))
		}
		if requested == 0 && sinceReport >= evictAfter && !u.reportDue && !u.lastReport.IsZero() {
			h.baseSequence = max(h.baseSequence, u.sequence)
			delete(h.upstreams, u.id)
			continue
		}
		h.checks.scheduleNext(u, active)
	}
	return out
}

// buildDemand returns a report on the upstream and records that it was sent.
func (h *Holder) buildDemand(now time.Time, u *heldUpstream, requested int) Demand {
	u.sequence++
	u.sentReports[u.sequence%uint64(len(u.sentReports))] = sentReport{u.sequence, now}
	d := Demand{
		Upstream: u.id, Node: h.self.Name, Incarnation: h.self.Incarnation, Sequence: u.sequence,
		Epoch: max(u.minEpoch, u.grant.Epoch), Running: u.running, MinRunning: u.minRunning, RequestedSlots: requested,
		PrefillTokens: u.prefillTokens, Isolated: u.isolationRequests > 0,
		OwnerIncarnation: u.grant.OwnerIncarnation, Applied: u.grant.Number, Echo: u.lastStamp, Evidence: u.evidence,
		Hint: u.hint,
	}
	d.Evidence.Cold, d.Hint.Cold = u.cold, u.cold
	u.reportDue, u.lastReport, u.deniedTakes = false, now, 0
	u.minRunning, u.reportedMinRunning, u.lastRequested = u.running, u.minRunning, requested
	return d
}
