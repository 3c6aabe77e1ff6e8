package routing

import (
	"math"
	"time"
)

// Intervals of a node's reports.
const (
	// renewEvery leaves three tries before a grant expires.
	renewEvery = 475 * time.Millisecond
	// forgetAfter bounds the memory for upstreams that are not used any more. It is
	// far longer than a grant.
	forgetAfter = time.Minute
	// urgentEvery bounds the reports that a change causes.
	urgentEvery = 5 * time.Millisecond
)

// Ticket is one used slot. It is returned exactly once.
type Ticket struct {
	Upstream string
	// Generation is that of the limit under which the request started.
	Generation uint64
	// Prefill is the number of tokens of a long prompt, zero for a short one.
	Prefill int
	// Alone is true for a ticket of TakeAlone.
	Alone bool
	// full is true when the request took the node's last slot.
	full bool
}

// Holder is one node's use of the slots that owners grant to it.
type Holder struct {
	self  Node
	view  View
	lease time.Time
	slots map[string]*held
	// checks tells which of slots Demands looks at.
	checks checks
	// base is the highest sequence of a forgotten entry; a new one continues there.
	base uint64
}

type sending struct {
	sequence uint64
	at       time.Time
}

// held is one upstream at a holder.
type held struct {
	id    string
	grant Grant
	// until is the end of the grant on this node's clock.
	until   time.Time
	running int
	// low is the least value of running since the last report, and claimed its value
	// in that report.
	low     int
	claimed int
	queued  int
	missed  int
	// asked is the number of slots that the last report wanted.
	asked   int
	prefill int
	// wantAlone counts requests that wait to run alone; alone is true while one runs.
	wantAlone int
	alone     bool
	// floor is the oldest view version whose grants are applied.
	floor uint64
	echo  time.Duration
	// cold is true from the time that this node saw the upstream cold until a
	// grant with a newer generation comes.
	cold bool
	// fallen is the generation that ended the last cold spell. Failures of requests
	// that started before it show nothing new.
	fallen   uint64
	hint     Hint
	evidence Evidence
	sequence uint64
	// sent holds the last reports, from whose sending grants are measured.
	sent   [16]sending
	due    bool
	last   time.Time
	active bool
	// check is the time before which nothing is due, and place the index in
	// Holder.checks.
	check time.Time
	place int
}

// NewHolder returns a holder without slots. self.Incarnation grows at each start.
func NewHolder(self Node) *Holder {
	return &Holder{self: self, slots: make(map[string]*held)}
}

// Renew takes the reply to a session renewal: the node's view and the end of its
// session lease, after which no slot is given. Grants of owners that the view
// replaces are given up, and all grants when the lease had lapsed: the node may
// have been dropped from the view in between.
func (h *Holder) Renew(now time.Time, v View, lease time.Time) {
	lapsed := !h.lease.After(now)
	if lease.After(h.lease) {
		h.lease = lease
	}
	newer := v.Version > h.view.Version
	for id, s := range h.slots {
		if lapsed || newer && h.view.process(id) != v.process(id) {
			s.floor, s.until, s.due = max(v.Version, s.floor), time.Time{}, true
			h.checks.changed(s)
		}
	}
	if newer {
		h.view = v
	}
}

func (h *Holder) entry(upstream string) *held {
	s, ok := h.slots[upstream]
	if !ok {
		s = &held{id: upstream, place: -1, floor: h.view.Version, sequence: h.base}
		h.slots[upstream] = s
	}
	return s
}

// Free returns the number of slots that Take would still give.
func (h *Holder) Free(now time.Time, upstream string) int {
	s, ok := h.slots[upstream]
	if !ok || s.grant.Alone || s.wantAlone > 0 || !now.Before(h.lease) {
		return 0
	}
	return s.free(now)
}

func (s *held) free(now time.Time) int {
	if s.cold || s.alone || !now.Before(s.until) {
		return 0
	}
	return max(0, s.grant.Slots-s.running)
}

// WantAlone asks for (n > 0) or gives up (n = 0) running a request alone on the
// upstream. Until it is given up this node starts nothing else there.
func (h *Holder) WantAlone(upstream string, n int) {
	s := h.entry(upstream)
	s.wantAlone, s.due = n, true
	h.checks.changed(s)
}

// TakeAlone uses a slot for a request while no other request runs on the upstream.
func (h *Holder) TakeAlone(now time.Time, upstream string, prefill int) (Ticket, bool) {
	s := h.entry(upstream)
	if s.wantAlone == 0 || !s.grant.Alone || s.running > 0 || s.free(now) == 0 || !now.Before(h.lease) {
		return Ticket{}, false
	}
	s.running, s.alone = 1, true
	s.prefill += prefill
	h.checks.changed(s)
	return Ticket{Upstream: upstream, Generation: s.grant.Generation, Prefill: prefill, Alone: true}, true
}

// Running returns the number of the node's open requests on the upstream.
func (h *Holder) Running(upstream string) int {
	if s, ok := h.slots[upstream]; ok {
		return s.running
	}
	return 0
}

// Prefill returns the long-prompt tokens in flight on the upstream: those of this
// node and, as last told by the owner, those of other nodes.
func (h *Holder) Prefill(upstream string) int {
	if s, ok := h.slots[upstream]; ok {
		return s.prefill + s.grant.Prefill
	}
	return 0
}

// Take uses a slot for a request that starts now; prefill is the length of a long
// prompt in tokens, or zero. Without a free slot the demand grows.
func (h *Holder) Take(now time.Time, upstream string, prefill int) (Ticket, bool) {
	s := h.entry(upstream)
	h.checks.changed(s)
	if h.Free(now, upstream) == 0 {
		s.missed++
		s.lack()
		return Ticket{}, false
	}
	s.running++
	s.prefill += prefill
	full := s.running == s.grant.Slots
	return Ticket{Upstream: upstream, Generation: s.grant.Generation, Prefill: prefill, full: full}, true
}

// FirstToken ends the prefill of a long prompt; late is true when the first token
// missed its target. It is called at most once, before Return.
func (h *Holder) FirstToken(t *Ticket, late bool) {
	s, ok := h.slots[t.Upstream]
	if !ok {
		return
	}
	h.checks.changed(s)
	s.prefill -= t.Prefill
	t.Prefill = 0
	switch {
	case late && s.evidenceOf(t.Generation):
		s.evidence.Slow++
		s.due = true
	case !late && t.full && s.evidenceOf(t.Generation):
		s.evidence.Good++
		s.due = s.due || s.evidence.Good == 1
	}
}

// evidenceOf tells whether outcomes of the generation still count.
func (s *held) evidenceOf(generation uint64) bool {
	if s.cold || generation < s.evidence.Generation {
		return false
	}
	if generation > s.evidence.Generation {
		s.evidence = Evidence{Generation: generation}
	}
	return true
}

// Return gives a slot back. failed is true when the upstream refused the request,
// crashed or stalled; a caller that went away is no failure.
func (h *Holder) Return(t Ticket, failed bool) {
	s, ok := h.slots[t.Upstream]
	if !ok || s.running == 0 {
		return
	}
	h.checks.changed(s)
	s.prefill -= t.Prefill
	s.running--
	if t.Alone {
		s.alone, s.due = false, true
		s.wantAlone = max(0, s.wantAlone-1)
	}
	if s.running >= s.grant.Slots {
		s.due = true // the owner waits for this slot
	}
	if failed && t.Generation >= s.fallen {
		h.Cold(t.Upstream)
	}
}

// Cold stops new requests on an upstream that this node sees cold or failing,
// until the owner has reduced the limit.
func (h *Holder) Cold(upstream string) {
	s, ok := h.slots[upstream]
	if !ok || s.cold {
		return
	}
	s.cold, s.due = true, true
	h.checks.changed(s)
	s.evidence = Evidence{Generation: s.grant.Generation}
}

// Limit returns the learned limit of an upstream, over all nodes together, as its
// owner told it with the last grant; zero while it is unknown.
func (h *Holder) Limit(upstream string) int {
	if s, ok := h.slots[upstream]; ok {
		return s.grant.Limit
	}
	return 0
}

// Queue sets how many requests wait for a slot of the upstream.
func (h *Holder) Queue(upstream string, n int) {
	s := h.entry(upstream)
	if n = max(0, n); n == s.queued {
		return
	}
	if n > s.queued {
		s.lack()
	}
	s.queued = n
	h.checks.changed(s)
}

// lack makes a report due when the owner believes that this node has enough slots.
// While it knows better, the regular reports suffice.
func (s *held) lack() { s.due = s.due || s.asked <= s.grant.Slots }

// Apply takes an owner's grant. Older grants, and those of owners that the view
// has replaced, change nothing.
func (h *Holder) Apply(g Grant) {
	if g.To != h.self.Name {
		return
	}
	s := h.entry(g.Upstream)
	if g.Epoch < s.floor || g.Epoch <= h.view.Version && h.view.Owner(g.Upstream) != g.Owner {
		return
	}
	if g.Epoch < s.grant.Epoch || g.Epoch == s.grant.Epoch && g.Number <= s.grant.Number {
		return
	}
	h.checks.changed(s)
	if g.Start != s.grant.Start || g.Owner != s.grant.Owner {
		s.echo = 0
	}
	s.echo = max(s.echo, g.Stamp)
	if g.Limit > 0 {
		s.told(g)
	}
	s.due = s.due || g.Ask || g.Slots < s.grant.Slots
	if g.Generation > s.grant.Generation {
		s.low = math.MaxInt // full use is judged anew for each limit
	}
	s.grant, s.until = g, time.Time{}
	if at, ok := s.sentAt(g.Sequence); ok {
		s.until = at.Add(g.TTL)
	}
}

// told keeps the limit of an owner that is ready to grant.
func (s *held) told(g Grant) {
	if s.cold && g.Generation > s.evidence.Generation {
		s.cold, s.fallen = false, g.Generation
	}
	s.hint = Hint{Epoch: g.Epoch, Number: g.Number, Incarnation: g.Incarnation, Limit: g.Limit}
}

func (s *held) sentAt(sequence uint64) (time.Time, bool) {
	e := s.sent[sequence%uint64(len(s.sent))]
	return e.at, sequence > 0 && e.sequence == sequence
}

// Demands returns the reports that are due, one per upstream at most. It is
// called every few milliseconds, and after changes once free slots have been taken
// again. It costs nothing for an upstream that has not changed and has no renewal
// due: at full size a node holds about 290.
func (h *Holder) Demands(now time.Time) []Demand {
	var out []Demand
	for _, s := range h.checks.take(now) {
		since := now.Sub(s.last)
		s.low = min(s.low, s.running)
		s.due = s.due || s.low < s.claimed // the owner counts on full use
		want := s.running + s.queued + s.missed
		if s.wantAlone > 0 {
			want = 1
		}
		active := want > 0 || s.grant.Slots > 0 && now.Before(s.until)
		if s.due && since >= urgentEvery || (active || s.active) && since >= renewEvery {
			s.active = active
			out = append(out, h.demand(now, s, want))
		}
		if want == 0 && since >= forgetAfter && !s.due && !s.last.IsZero() {
			h.base = max(h.base, s.sequence)
			delete(h.slots, s.id)
			continue
		}
		h.checks.plan(s, active)
	}
	return out
}

func (h *Holder) demand(now time.Time, s *held, want int) Demand {
	s.sequence++
	s.sent[s.sequence%uint64(len(s.sent))] = sending{s.sequence, now}
	d := Demand{
		Upstream: s.id, Node: h.self.Name, Incarnation: h.self.Incarnation, Sequence: s.sequence,
		Epoch: max(s.floor, s.grant.Epoch), Running: s.running, Low: s.low, Want: want, Prefill: s.prefill, Alone: s.wantAlone > 0,
		Start: s.grant.Start, Applied: s.grant.Number, Echo: s.echo, Evidence: s.evidence,
		Hint: s.hint,
	}
	d.Evidence.Cold, d.Hint.Cold = s.cold, s.cold
	s.due, s.last, s.missed = false, now, 0
	s.low, s.claimed, s.asked = s.running, s.low, want
	return d
}
