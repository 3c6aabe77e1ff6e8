package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights of the choice, in milliseconds of expected delay.
const (
	// promptRate is the number of prompt tokens that an engine reads in a millisecond;
	// engines in use read about 80.
	promptRate = 80.0
	// runningDelay is how much one more running request slows the others.
	runningDelay = 2.0
	// waitingDelay is the delay of a request for each one beyond the slots.
	waitingDelay = 30.0
	// failureDelay is what a failed attempt costs: the time until it is noticed and
	// the place of another one.
	failureDelay = 1500.0
	// domainDelay prefers an upstream in the node's own failure domain among equals.
	domainDelay = 2.0
	// sampled is the number of upstreams that a request compares beside its session's
	// home. Nodes that compared all of them would rush to the one that looked idle in
	// the totals that they all have.
	sampled = 4
	// sampledConnected is the number of further ones, drawn from those that the node
	// keeps a connection to.
	sampledConnected = 2
	// connectDelay is the cost of a new connection: a round trip and the handshake of
	// the upstream, each about a millisecond, on either side.
	connectDelay = 6.0
	// secondHome is the part of the shared prompt that the second home is expected to
	// hold: it has it if the first one was busy lately.
	secondHome = 0.6
	// jitter spreads equal upstreams, so that nodes that read the same reports do not
	// all choose the same one.
	jitter = 3.0
)

// Request is what the choice needs to know of a request.
type Request struct {
	ID string
	// Prompt is the number of prompt tokens; zero for a plain service.
	Prompt int
	// Parts lists the parts of the prompt in order; the last one is the request's own.
	Parts []Part
	// Tried lists the upstreams that the request has been sent to.
	Tried []string
}

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Shared returns the shared tokens of the prompt and the name that all requests of
// one session have in common.
func (r Request) Shared() (tokens int, session string) {
	if len(r.Parts) < 2 {
		return 0, ""
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
		session = p.ID
	}
	return tokens, session
}

// unread returns the prompt tokens that an upstream has to read which holds a part of
// the shared ones.
func (r Request) unread(held float64) float64 {
	shared, _ := r.Shared()
	return max(0, float64(r.Prompt)-held*float64(shared))
}

// Limits are the limits of a service that one node keeps.
type Limits struct {
	// Self is this node and Domain its failure domain; Nodes lists all entry nodes.
	Self, Domain string
	Nodes        []string
	// ColdRate is the rate of a cold upstream over all nodes, in requests a second;
	// zero for none.
	ColdRate float64
	// Sample is the number of upstreams that a request compares beside its session's
	// home; zero selects the default.
	Sample int
	// OneHome turns the second home of a session off.
	OneHome bool
	// Queue is the number of requests that may wait on one upstream beyond its slots.
	Queue int
	// Connected tells whether the node keeps an idle connection to an address; nil if
	// connections cost nothing.
	Connected func(address string) bool
	// Linked lists the candidates to which it does.
	Linked []*Upstream
}

// Choice is the upstream of a request and what is expected there.
type Choice struct {
	Upstream *Upstream
	// Delay is the time until the first output, without the request's own run.
	Delay time.Duration
	// Held is the part of the shared prompt that the upstream has read before.
	Held float64
	// Tokens is the number of prompt tokens that it has to read.
	Tokens int
}

// Choose returns the upstream with the least expected delay, or false when none may
// get the request now.
func Choose(now time.Time, r Request, l Limits, candidates []*Upstream) (Choice, bool) {
	held := r.held(now, l, candidates)
	short := l.shortlist(r.ID, candidates, held)
	best, bestCost, bestHeld := (*Upstream)(nil), math.Inf(1), 0.0
	for _, u := range short {
		if u.bar(now, r, l) != "" {
			continue
		}
		if cost := u.cost(now, r, l, held.part(u)); cost < bestCost {
			best, bestCost, bestHeld = u, cost, held.part(u)
		}
	}
	switch {
	case best != nil:
		return Choice{best, time.Duration(bestCost * float64(time.Millisecond)), bestHeld, int(r.unread(bestHeld))}, true
	case len(short) < len(candidates):
		l.Sample = len(candidates) // none of the compared ones could take it
		return Choose(now, r, l, candidates)
	}
	return Choice{}, false
}

// shortlist returns the candidates that a request compares: those that hold its shared
// parts, some drawn ones, and some drawn from those with a connection.
func (l Limits) shortlist(id string, candidates []*Upstream, held homes) []*Upstream {
	n := l.Sample
	if n == 0 {
		n = sampled
	}
	if len(candidates) <= n {
		return candidates
	}
	short := make([]*Upstream, 0, n+sampledConnected+2)
	add := func(u *Upstream) {
		if u != nil && !slices.Contains(short, u) {
			short = append(short, u)
		}
	}
	seed := xxhash.Sum64String(id)
	for i := uint64(0); len(short) < n; i++ {
		add(candidates[mix(seed+i)%uint64(len(candidates))])
	}
	add(held.first)
	add(held.second)
	for i := range uint64(min(sampledConnected, len(l.Linked))) {
		add(l.Linked[mix(^seed+i)%uint64(len(l.Linked))])
	}
	return short
}

// Reasons for which an upstream cannot get a request now.
const (
	BarLeaving = "leaving"
	BarBanned  = "unreachable"
	BarTried   = "tried"
	BarFull    = "full"
	BarCold    = "cold"
)

// bar returns why the upstream cannot get the request now; empty when it can.
func (u *Upstream) bar(now time.Time, r Request, l Limits) string {
	switch {
	case u.Leaving:
		return BarLeaving
	case u.Banned(now):
		return BarBanned
	case slices.Contains(r.Tried, u.ID):
		return BarTried
	case u.Load(now) >= u.Slots+l.Queue:
		return BarFull
	case now.Before(u.Cold) && l.ColdRate > 0 && !u.coldAllows(now, ColdRate(u.ID, l.Self, l.Nodes, l.ColdRate)):
		return BarCold
	}
	return ""
}

// Bars counts the candidates by the reason for which they cannot get the request.
func Bars(now time.Time, r Request, l Limits, candidates []*Upstream) map[string]int {
	counts := make(map[string]int)
	for _, u := range candidates {
		if why := u.bar(now, r, l); why != "" {
			counts[why]++
		}
	}
	return counts
}

// Usable tells whether an upstream may get any new request.
func (u *Upstream) Usable(now time.Time) bool { return !u.Leaving && !u.Banned(now) }

// Take notes that a request goes to the chosen upstream.
func (c Choice) Take(now time.Time, l Limits) {
	u := c.Upstream
	if now.Before(u.Cold) && l.ColdRate > 0 {
		u.coldSent(now, ColdRate(u.ID, l.Self, l.Nodes, l.ColdRate))
	}
	u.Sent(c.Tokens)
}

// cost is the expected delay in milliseconds on an upstream that holds a part of the
// shared prompt.
func (u *Upstream) cost(now time.Time, r Request, l Limits, held float64) float64 {
	load := u.Load(now)
	cost := float64(load) * runningDelay
	if r.Prompt == 0 {
		cost = float64(load) / float64(max(1, u.Slots)) * waitingDelay
	}
	if over := load - u.Slots; over >= 0 {
		cost += float64(over+1) * waitingDelay
	}
	cost += (u.waiting(now) + r.unread(held)) / promptRate
	if l.Connected != nil && !l.Connected(u.Address) {
		cost += connectDelay
	}
	cost += u.failureRate(now) * failureDelay
	if u.Domain != l.Domain {
		cost += domainDelay
	}
	return cost + jitter*fraction(r.ID+u.ID)
}

// homes are the upstreams that most likely hold a session's part of the prompt.
type homes struct{ first, second *Upstream }

// part returns the part of the shared prompt that an upstream holds.
func (h homes) part(u *Upstream) float64 {
	switch u {
	case h.first:
		return 1
	case h.second:
		return secondHome
	}
	return 0
}

// held returns the homes of the request's session: the first ones in an order that all
// nodes agree on without telling each other.
func (r Request) held(now time.Time, l Limits, candidates []*Upstream) homes {
	_, session := r.Shared()
	if session == "" {
		return homes{}
	}
	var h homes
	var top, next uint64
	key := xxhash.Sum64String(session)
	for _, u := range candidates {
		if !u.Usable(now) {
			continue
		}
		switch rank := mix(key ^ u.hash()); {
		case h.first == nil || rank > top:
			h.first, h.second, top, next = u, h.first, rank, top
		case h.second == nil || rank > next:
			h.second, next = u, rank
		}
	}
	if l.OneHome {
		h.second = nil
	}
	return h
}

// hash returns a number that stands for the upstream's ID.
func (u *Upstream) hash() uint64 {
	if u.idHash == 0 {
		u.idHash = xxhash.Sum64String(u.ID)
	}
	return u.idHash
}

// mix scrambles a number, so that close ones lie far apart (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// fraction maps a text to [0, 1).
func fraction(s string) float64 {
	return float64(xxhash.Sum64String(s)>>11) / (1 << 53)
}
