package routing

import (
	"math"
	"time"
)

// Intervals of a node's reports.
const (
	// renewEvery leaves three tries before a grant expires.
	renewInterval = 475 * time.Millisecond
	// forgetAfter bounds the memory for upstreams that are not used any more. It is
	// far longer than a grant.
	evictAfter = time.Minute
	// urgentEvery bounds the reports that a change causes.
	minReportInterval = 5 * time.Millisecond
)

// Ticket is one used slot. It is returned exactly once.
type Ticket struct {
	Upstream string
	// Generation is that of the limit under which the request started.
	Generation uint64
	// PrefillTokens is the number of tokens of a long prompt, zero for a short one.
	PrefillTokens int
	// Isolated is true for a ticket of TakeAlone.
	Isolated bool
	// full is true when the request took the node's last slot.
	tookLastSlot bool
}

// Holder is one node's use of the slots that owners grant to it.
type Holder struct {
	self         Node
	view         View
	leaseExpires time.Time
	upstreams    map[string]*heldUpstream
	// checks tells which of slots Demands looks at.
	checks checkHeap
	// base is the highest sequence of a forgotten entry; a new one continues there.
	baseSequence uint64
}

type sentReport struct {
	sequence uint64
	sentAt   time.Time
}

// held is one upstream at a holder.
type heldUpstream struct {
	id    string
	grant Grant
	// until is the end of the grant on this node's clock.
	grantExpires time.Time
	running      int
	// low is the least value of running since the last report, and claimed its value
	// in that report.
	minRunning         int
	reportedMinRunning int
	queued             int
	deniedTakes        int
	// asked is the number of slots that the last report wanted.
	lastRequested int
	prefillTokens int
	// wantAlone counts requests that wait to run alone; alone is true while one runs.
	isolationRequests int
	isolated          bool
	// floor is the oldest view version whose grants are applied.
	minEpoch  uint64
	lastStamp time.Duration
	// cold is true from the time that this node saw the upstream cold until a
	// grant with a newer generation comes.
	cold bool
	// fallen is the generation that ended the last cold spell. Failures of requests
	// that started before it show nothing new.
	warmGeneration uint64
	hint           Hint
	evidence       Evidence
	sequence       uint64
	// sent holds the last reports, from whose sending grants are measured.
	sentReports [16]sentReport
	reportDue   bool
	lastReport  time.Time
	wasActive   bool
	// check is the time before which nothing is due, and place the index in
	// Holder.checks.
	nextCheck time.Time
	heapIndex int
}

// NewHolder returns a holder without slots. self.Incarnation grows at each start.
func NewHolder(self Node) *Holder {
	return &Holder{self: self, upstreams: make(map[string]*heldUpstream)}
}

// Renew takes the reply to a session renewal: the node's view and the end of its
// session lease, after which no slot is given. Grants of owners that the view
// replaces are given up, and all grants when the lease had lapsed: the node may
// have been dropped from the view in between.
func (h *Holder) Renew(now time.Time, v View, lease time.Time) {
	lapsed := !h.leaseExpires.After(now)
	if lease.After(h.leaseExpires) {
		h.leaseExpires = lease
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

func (h *Holder) getOrCreate(upstream string) *heldUpstream {
	u, ok := h.upstreams[upstream]
	if !ok {
		u = &heldUpstream{id: upstream, heapIndex: -1, minEpoch: h.view.Version, sequence: h.baseSequence}
		h.upstreams[upstream] = u
	}
	return u
}

// FreeSlots returns the number of slots that Take would still give.
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

// RequestIsolation asks for (n > 0) or gives up (n = 0) running a request alone on the
// upstream. Until it is given up this node starts nothing else there.
func (h *Holder) RequestIsolation(upstream string, n int) {
	u := h.getOrCreate(upstream)
	u.isolationRequests, u.reportDue = n, true
	h.checks.checkNow(u)
}

// TakeIsolated uses a slot for a request while no other request runs on the upstream.
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

// PrefillTokens returns the long-prompt tokens in flight on the upstream: those of this
// node and, as last told by the owner, those of other nodes.
func (h *Holder) PrefillTokens(upstream string) int {
	if u, ok := h.upstreams[upstream]; ok {
		return u.prefillTokens + u.grant.PrefillTokens
	}
	return 0
}

// Take uses a slot for a request that starts now; prefill is the length of a long
// prompt in tokens, or zero. Without a free slot the demand grows.
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

// RecordFirstToken ends the prefill of a long prompt; late is true when the first token
// missed its target. It is called at most once, before Return.
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

// evidenceOf tells whether outcomes of the generation still count.
func (u *heldUpstream) acceptEvidence(generation uint64) bool {
	if u.cold || generation < u.evidence.Generation {
		return false
	}
	if generation > u.evidence.Generation {
		u.evidence = Evidence{Generation: generation}
	}
	return true
}

// Return gives a slot back. failed is true when the upstream refused the request,
// crashed or stalled; a caller that went away is no failure.
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
		u.reportDue = true // the owner waits for this slot
	}
	if failed && t.Generation >= u.warmGeneration {
		h.MarkCold(t.Upstream)
	}
}

// MarkCold stops new requests on an upstream that this node sees cold or failing,
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

// Limit returns the learned limit of an upstream, over all nodes together, as its
// owner told it with the last grant; zero while it is unknown.
func (h *Holder) Limit(upstream string) int {
	if u, ok := h.upstreams[upstream]; ok {
		return u.grant.Limit
	}
	return 0
}

// SetQueued sets how many requests wait for a slot of the upstream.
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

// lack makes a report due when the owner believes that this node has enough slots.
// While it knows better, the regular reports suffice.
func (u *heldUpstream) reportShortage() {
	u.reportDue = u.reportDue || u.lastRequested <= u.grant.Slots
}

// Apply takes an owner's grant. Older grants, and those of owners that the view
// has replaced, change nothing.
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
		u.minRunning = math.MaxInt // full use is judged anew for each limit
	}
	u.grant, u.grantExpires = g, time.Time{}
	if at, ok := u.reportSentAt(g.Sequence); ok {
		u.grantExpires = at.Add(g.TTL)
	}
}

// told keeps the limit of an owner that is ready to grant.
func (u *heldUpstream) applyLimit(g Grant) {
	if u.cold && g.Generation > u.evidence.Generation {
		u.cold, u.warmGeneration = false, g.Generation
	}
	u.hint = Hint{Epoch: g.Epoch, Number: g.Number, Incarnation: g.Incarnation, Limit: g.Limit}
}

func (u *heldUpstream) reportSentAt(sequence uint64) (time.Time, bool) {
	e := u.sentReports[sequence%uint64(len(u.sentReports))]
	return e.sentAt, sequence > 0 && e.sequence == sequence
}

// Demands returns the reports that are due, one per upstream at most. It is
// called every few milliseconds, and after changes once free slots have been taken
// again. It costs nothing for an upstream that has not changed and has no renewal
// due: at full size a node holds about 290.
func (h *Holder) Demands(now time.Time) []Demand {
	var out []Demand
	for _, u := range h.checks.popDue(now) {
		sinceReport := now.Sub(u.lastReport)
		u.minRunning = min(u.minRunning, u.running)
		u.reportDue = u.reportDue || u.minRunning < u.reportedMinRunning // the owner counts on full use
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

func (h *Holder) buildDemand(now time.Time, u *heldUpstream, requested int) Demand {
	u.sequence++
	u.sentReports[u.sequence%uint64(len(u.sentReports))] = sentReport{u.sequence, now}
	d := Demand{
		Upstream: u.id, Node: h.self.Name, Incarnation: h.self.Incarnation, Sequence: u.sequence,
		Epoch: max(u.minEpoch, u.grant.Epoch), Running: u.running, MinRunning: u.minRunning, RequestedSlots: requested, PrefillTokens: u.prefillTokens, Isolated: u.isolationRequests > 0,
		OwnerIncarnation: u.grant.OwnerIncarnation, Applied: u.grant.Number, Echo: u.lastStamp, Evidence: u.evidence,
		Hint: u.hint,
	}
	d.Evidence.Cold, d.Hint.Cold = u.cold, u.cold
	u.reportDue, u.lastReport, u.deniedTakes = false, now, 0
	u.minRunning, u.reportedMinRunning, u.lastRequested = u.running, u.minRunning, requested
	return d
}
