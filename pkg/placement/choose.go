package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights of the choice, in milliseconds of expected delay.
const (
	// promptTokensPerMs is the number of prompt tokens that an engine reads in a millisecond;
	// engines in use read about 80.
	promptTokensPerMs = 80.0
	// runningDelayMs is how much one more running request slows the others.
	runningDelayMs = 2.0
	// waitingDelayMs is the delay of a request for each one beyond the slots.
	waitingDelayMs = 30.0
	// failureDelayMs is what a failed attempt costs: the time until it is noticed and
	// the place of another one.
	failureDelayMs = 1500.0
	// domainDelayMs prefers an upstream in the node's own failure domain among equals.
	domainDelayMs = 2.0
	// defaultSampleSize is the number of upstreams that a request compares beside its session's
	// home. Nodes that compared all of them would rush to the one that looked idle in
	// the totals that they all have.
	defaultSampleSize = 4
	// connectedSampleSize is the number of further ones, drawn from those that the node
	// keeps a connection to.
	connectedSampleSize = 2
	// connectDelayMs is the cost of a new connection: a round trip and the handshake of
	// the upstream, each about a millisecond, on either side.
	connectDelayMs = 6.0
	// secondCachedShare is the part of the shared prompt that the second home is expected to
	// hold: it has it if the first one was busy lately.
	secondCachedShare = 0.6
	// jitterMs spreads equal upstreams, so that nodes that read the same reports do not
	// all choose the same one.
	jitterMs = 3.0
)

// Request is what the choice needs to know of a request.
type Request struct {
	ID string
	// PromptTokens is the number of prompt tokens; zero for a plain service.
	PromptTokens int
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

// SharedPrefix returns the shared tokens of the prompt and the name that all requests of
// one session have in common.
func (r Request) SharedPrefix() (tokens int, session string) {
	if len(r.Parts) < 2 {
		return 0, ""
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
		session = p.ID
	}
	return tokens, session
}

// uncachedTokens returns the prompt tokens that an upstream has to read which holds a part of
// the shared ones.
func (r Request) uncachedTokens(cachedShare float64) float64 {
	shared, _ := r.SharedPrefix()
	return max(0, float64(r.PromptTokens)-cachedShare*float64(shared))
}

// Options are the limits of a service that one node keeps.
type Options struct {
	// Self is this node and Domain its failure domain; Nodes lists all entry nodes.
	Self, Domain string
	Nodes        []string
	// ColdRate is the rate of a cold upstream over all nodes, in requests a second;
	// zero for none.
	ColdRate float64
	// SampleSize is the number of upstreams that a request compares beside its session's
	// home; zero selects the default.
	SampleSize int
	// SinglePreferred turns the second home of a session off.
	SinglePreferred bool
	// MaxWaiting is the number of requests that may wait on one upstream beyond its slots.
	MaxWaiting int
	// Connected tells whether the node keeps an idle connection to an address; nil if
	// connections cost nothing.
	Connected func(address string) bool
	// ConnectedUpstreams lists the candidates to which it does.
	ConnectedUpstreams []*Upstream
}

// Choice is the upstream of a request and what is expected there.
type Choice struct {
	Upstream *Upstream
	// Delay is the time until the first output, without the request's own run.
	Delay time.Duration
	// CachedShare is the part of the shared prompt that the upstream has read before.
	CachedShare float64
	// UncachedTokens is the number of prompt tokens that it has to read.
	UncachedTokens int
}

// Choose returns the upstream with the least expected delay, or false when none may
// get the request now.
func Choose(now time.Time, r Request, o Options, candidates []*Upstream) (Choice, bool) {
	preferred := r.preferred(now, o, candidates)
	short := o.shortlist(r.ID, candidates, preferred)
	best, bestCost, bestCached := (*Upstream)(nil), math.Inf(1), 0.0
	for _, u := range short {
		if u.exclusion(now, r, o) != "" {
			continue
		}
		if cost := u.cost(now, r, o, preferred.cachedShare(u)); cost < bestCost {
			best, bestCost, bestCached = u, cost, preferred.cachedShare(u)
		}
	}
	switch {
	case best != nil:
		return Choice{best, time.Duration(bestCost * float64(time.Millisecond)), bestCached, int(r.uncachedTokens(bestCached))}, true
	case len(short) < len(candidates):
		o.SampleSize = len(candidates) // none of the compared ones could take it
		return Choose(now, r, o, candidates)
	}
	return Choice{}, false
}

// shortlist returns the candidates that a request compares: those that hold its shared
// parts, some drawn ones, and some drawn from those with a connection.
func (o Options) shortlist(id string, candidates []*Upstream, preferred preferredUpstreams) []*Upstream {
	n := o.SampleSize
	if n == 0 {
		n = defaultSampleSize
	}
	if len(candidates) <= n {
		return candidates
	}
	short := make([]*Upstream, 0, n+connectedSampleSize+2)
	add := func(u *Upstream) {
		if u != nil && !slices.Contains(short, u) {
			short = append(short, u)
		}
	}
	seed := xxhash.Sum64String(id)
	for i := uint64(0); len(short) < n; i++ {
		add(candidates[fmix64(seed+i)%uint64(len(candidates))])
	}
	add(preferred.first)
	add(preferred.second)
	for i := range uint64(min(connectedSampleSize, len(o.ConnectedUpstreams))) {
		add(o.ConnectedUpstreams[fmix64(^seed+i)%uint64(len(o.ConnectedUpstreams))])
	}
	return short
}

// Reasons for which an upstream cannot get a request now.
const (
	ExcludedLeaving     = "leaving"
	ExcludedUnreachable = "unreachable"
	ExcludedTried       = "tried"
	ExcludedFull        = "full"
	ExcludedCold        = "cold"
)

// exclusion returns why the upstream cannot get the request now; empty when it can.
func (u *Upstream) exclusion(now time.Time, r Request, o Options) string {
	switch {
	case u.Leaving:
		return ExcludedLeaving
	case u.Banned(now):
		return ExcludedUnreachable
	case slices.Contains(r.Tried, u.ID):
		return ExcludedTried
	case u.Load(now) >= u.Slots+o.MaxWaiting:
		return ExcludedFull
	case now.Before(u.ColdUntil) && o.ColdRate > 0 && !u.allowsColdRequest(now, NodeColdRate(u.ID, o.Self, o.Nodes, o.ColdRate)):
		return ExcludedCold
	}
	return ""
}

// Exclusions counts the candidates by the reason for which they cannot get the request.
func Exclusions(now time.Time, r Request, o Options, candidates []*Upstream) map[string]int {
	counts := make(map[string]int)
	for _, u := range candidates {
		if reason := u.exclusion(now, r, o); reason != "" {
			counts[reason]++
		}
	}
	return counts
}

// Usable tells whether an upstream may get any new request.
func (u *Upstream) Usable(now time.Time) bool { return !u.Leaving && !u.Banned(now) }

// RecordSend notes that a request goes to the chosen upstream.
func (c Choice) RecordSend(now time.Time, o Options) {
	u := c.Upstream
	if now.Before(u.ColdUntil) && o.ColdRate > 0 {
		u.recordColdRequest(now, NodeColdRate(u.ID, o.Self, o.Nodes, o.ColdRate))
	}
	u.RecordSend(c.UncachedTokens)
}

// cost is the expected delay in milliseconds on an upstream that holds a part of the
// shared prompt.
func (u *Upstream) cost(now time.Time, r Request, o Options, cachedShare float64) float64 {
	load := u.Load(now)
	cost := float64(load) * runningDelayMs
	if r.PromptTokens == 0 {
		cost = float64(load) / float64(max(1, u.Slots)) * waitingDelayMs
	}
	if over := load - u.Slots; over >= 0 {
		cost += float64(over+1) * waitingDelayMs
	}
	cost += (u.waitingTokens(now) + r.uncachedTokens(cachedShare)) / promptTokensPerMs
	if o.Connected != nil && !o.Connected(u.Address) {
		cost += connectDelayMs
	}
	cost += u.failureRate(now) * failureDelayMs
	if u.Domain != o.Domain {
		cost += domainDelayMs
	}
	return cost + jitterMs*unitHash(r.ID+u.ID)
}

// preferredUpstreams are the upstreams that most likely hold a session's part of the prompt.
type preferredUpstreams struct{ first, second *Upstream }

// cachedShare returns the cachedShare of the shared prompt that an upstream holds.
func (h preferredUpstreams) cachedShare(u *Upstream) float64 {
	switch u {
	case h.first:
		return 1
	case h.second:
		return secondCachedShare
	}
	return 0
}

// preferred returns the homes of the request's session: the first ones in an order that all
// nodes agree on without telling each other.
func (r Request) preferred(now time.Time, o Options, candidates []*Upstream) preferredUpstreams {
	_, session := r.SharedPrefix()
	if session == "" {
		return preferredUpstreams{}
	}
	var h preferredUpstreams
	var firstRank, secondRank uint64
	key := xxhash.Sum64String(session)
	for _, u := range candidates {
		if !u.Usable(now) {
			continue
		}
		switch rank := fmix64(key ^ u.hash()); {
		case h.first == nil || rank > firstRank:
			h.first, h.second, firstRank, secondRank = u, h.first, rank, firstRank
		case h.second == nil || rank > secondRank:
			h.second, secondRank = u, rank
		}
	}
	if o.SinglePreferred {
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

// fmix64 scrambles a number, so that close ones lie far apart (the finalizer of MurmurHash3).
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// unitHash maps a text to [0, 1).
func unitHash(s string) float64 {
	return float64(xxhash.Sum64String(s)>>11) / (1 << 53)
}
