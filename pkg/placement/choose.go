package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the choice. Delays are in milliseconds.
const (
	// promptTokensPerMs is the number of prompt tokens that an engine processes per
	// millisecond, where nothing was learnt of it.
	promptTokensPerMs = 80.0
	// runningDelayMs is the delay that each running request adds for the others.
	runningDelayMs = 2.0
	// waitingDelayMs is the delay that each request in excess of the slots adds for a new
	// one. For requests without a prompt, this delay times the load per slot replaces
	// the delay for running requests.
	waitingDelayMs = 30.0
	// failureDelayMs is the cost of a failed attempt: the time until the failure is
	// detected and the slot that the retry takes.
	failureDelayMs = 1500.0
	// domainDelayMs makes the node prefer its own failure domain among equal upstreams.
	domainDelayMs = 2.0
	// defaultSampleSize is the number of upstreams that a request compares, besides the
	// preferred ones of its session. If nodes compared all upstreams, they would all send
	// to the one that looks idle in the usage totals that they share.
	defaultSampleSize = 4
	// connectedSampleSize is the number of further upstreams that a request compares,
	// drawn from those to which the node has an idle connection.
	connectedSampleSize = 2
	// connectDelayMs is the cost of a new connection: a round trip and the handshake of the
	// upstream, each about a millisecond on both sides.
	connectDelayMs = 6.0
	// readWeight is the weight of the time in which an engine reads a prompt itself, against
	// that of waiting for others: it is taken from all requests beside and after it.
	readWeight = 3.0
	// secondCachedShare is the share of the shared prefix that the second preferred
	// upstream is expected to have cached. It has the prefix if the first one was busy
	// recently.
	secondCachedShare = 0.6
	// lateDelay is the delay that counts as much as a late stream.
	lateDelay = time.Second
	// jitterMs is the maximum pseudo-random delay added to each upstream, so that nodes
	// with the same reports do not all choose the same one of several equal upstreams.
	jitterMs = 3.0
)

// Request holds the properties of a request that affect the choice.
type Request struct {
	ID string
	// PromptTokens is the number of prompt tokens; zero for a service without prompts.
	PromptTokens int
	// Parts lists the parts of the prompt in order; only the last one is specific to the
	// request.
	Parts []Part
	// Tried lists the upstreams to which the request has been sent.
	Tried []string
}

// Part is one part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SharedPrefix returns the number of tokens of the prompt prefix that other requests
// may share, and the session: the ID that all requests with this prefix have in common.
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

// uncachedTokens returns the number of prompt tokens that an upstream has to process if
// it has this share of the shared prefix cached.
func (r Request) uncachedTokens(cachedShare float64) float64 {
	shared, _ := r.SharedPrefix()
	return max(0, float64(r.PromptTokens)-cachedShare*float64(shared))
}

// Options holds the state and limits of the node for one service.
type Options struct {
	// Self is this node, Domain its failure domain, and Nodes lists all entry nodes. The
	// list must not be modified after it was passed: results for it are kept.
	Self, Domain string
	Nodes        []string
	// ColdRate is the maximum rate of requests to a cold upstream, from all nodes together,
	// in requests per second; zero for no limit.
	ColdRate float64
	// SampleSize is the number of upstreams that a request compares, besides the preferred
	// ones of its session; zero for the default.
	SampleSize int
	// SinglePreferred disables the second preferred upstream of a session.
	SinglePreferred bool
	// MaxWaiting is the maximum number of requests that may wait on one upstream beyond
	// its slots.
	MaxWaiting int
	// Brittle is true if upstreams of the service fall over when they have to turn many
	// requests away. Each node then keeps to its share of their slots.
	Brittle bool
	// Allowed reports whether an upstream's own limit allows a request now; nil if none has
	// a limit.
	Allowed func(u *Upstream) bool
	// Connected reports whether the node has an idle connection to an address; nil if new
	// connections cost nothing.
	Connected func(address string) bool
	// ConnectedUpstreams lists the candidates to which the node has an idle connection.
	ConnectedUpstreams []*Upstream
	// Engine is what was learnt of the service's engines; nil for a service without any.
	Engine *Engine
	// Targets are those of the request and of the service's streams.
	Targets Targets
	// LongPart is the number of candidates, from the first on, that serve long prompts; the
	// others serve the rest. The candidates must be in the order of Upstream.Order then.
	LongPart int

	long    bool   // the request's prompt is long
	partEnd uint64 // place of the last upstream in the part
}

// Choice is the upstream chosen for a request, with estimates.
type Choice struct {
	Upstream *Upstream
	// Delay is the expected delay until the first output, not counting the execution of
	// the request itself. For a service with an engine, it counts it.
	Delay time.Duration
	// rank is the upstream's for the session, and request the request.
	rank    int
	request Request
	// pauses is the number of streams that were expected to pause for too long.
	pauses float64
	// Long is true if the prompt is long for the streams beside it.
	Long bool
	// Alone is true if the upstream had no other prompt to read.
	Alone bool
	// CachedShare is the share of the shared prefix that the upstream is expected to have
	// cached.
	CachedShare float64
	// UncachedTokens is the number of prompt tokens that it has to process.
	UncachedTokens int
}

// Choose returns the upstream with the lowest expected delay, or false if none may get
// the request now.
func Choose(now time.Time, r Request, o Options, candidates []*Upstream) (Choice, bool) {
	o.long = o.Long(r)
	own := o.part(candidates)
	if len(own) < len(candidates) {
		o.partEnd = candidates[o.LongPart-1].Order()
	}
	preferred := r.preferred(now, o, own)
	shortlist := o.shortlist(r.ID, own, preferred, candidates)
	best, bestCost := (*Upstream)(nil), math.Inf(1)
	for _, u := range shortlist {
		if u.exclusion(now, r, o) != "" {
			continue
		}
		if cost := u.cost(now, r, o, preferred.cachedShare(u, o)); cost < bestCost {
			best, bestCost = u, cost
		}
	}
	switch {
	case best != nil:
		cached := preferred.cachedShare(best, o)
		if o.Engine != nil {
			cached = o.Engine.cachedShare(preferred.rank(best))
		}
		c := Choice{
			Upstream: best, Delay: time.Duration(bestCost * float64(time.Millisecond)), Long: o.long,
			CachedShare: cached, UncachedTokens: int(r.uncachedTokens(cached)), Alone: best.waitingTokens(now, o) == 0,
			rank: preferred.rank(best), request: r,
		}
		if o.weighsHarm(r) {
			c.pauses = best.pauses(now, r, o, cached)
		}
		if o.Engine != nil && r.PromptTokens > 0 {
			c.Delay = time.Duration(best.estimate(now, o, r.uncachedTokens(cached)) * float64(time.Millisecond))
		}
		return c, true
	case len(shortlist) < len(candidates):
		o.SampleSize = len(candidates) // the whole shortlist is excluded: compare all
		return Choose(now, r, o, candidates)
	}
	return Choice{}, false
}

// shortlist returns the candidates that a request compares: a pseudo-random sample of its part,
// the preferred upstreams of its session, a sample of those with a connection, and a few outside
// its part.
func (o Options) shortlist(id string, candidates []*Upstream, preferred preferredUpstreams, all []*Upstream) []*Upstream {
	n := o.SampleSize
	switch {
	case n >= len(all):
		return all
	case n == 0 && o.long:
		n = partSampleSize
	case n == 0:
		n = defaultSampleSize
	}
	if len(candidates) <= n && len(candidates) == len(all) {
		return candidates
	}
	n = min(n, len(candidates))
	shortlist := make([]*Upstream, 0, n+connectedSampleSize+2+outsideSampleSize)
	add := func(u *Upstream) {
		if u != nil && !slices.Contains(shortlist, u) {
			shortlist = append(shortlist, u)
		}
	}
	seed := xxhash.Sum64String(id)
	if n == len(candidates) {
		shortlist = append(shortlist, candidates...)
	}
	for i := uint64(0); len(shortlist) < n; i++ {
		add(candidates[fmix64(seed+i)%uint64(len(candidates))])
	}
	if len(candidates) < len(all) {
		for i := range uint64(outsideSampleSize) {
			add(all[fmix64(seed^i<<32)%uint64(len(all))])
		}
	}
	add(preferred.first)
	add(preferred.second)
	for i := range uint64(min(connectedSampleSize, len(o.ConnectedUpstreams))) {
		add(o.ConnectedUpstreams[fmix64(^seed+i)%uint64(len(o.ConnectedUpstreams))])
	}
	return shortlist
}

// Reasons why an upstream is excluded from the choice.
const (
	ExcludedLeaving     = "leaving"
	ExcludedUnreachable = "unreachable"
	ExcludedTried       = "tried"
	ExcludedFull        = "full"
	ExcludedCold        = "cold"
	ExcludedLimited     = "limited"
	ExcludedHeld        = "held"
)

// exclusion returns why the upstream cannot get the request now, or an empty string if
// it can.
func (u *Upstream) exclusion(now time.Time, r Request, o Options) string {
	switch {
	case u.Leaving:
		return ExcludedLeaving
	case u.Banned(now), u.Open > 0 && u.onTrial(now):
		return ExcludedUnreachable
	case slices.Contains(r.Tried, u.ID):
		return ExcludedTried
	case now.Before(u.HoldUntil):
		return ExcludedHeld
	case u.Load(now) >= u.Slots+o.MaxWaiting || o.Brittle && u.Open >= u.ownSlots(o):
		return ExcludedFull
	case now.Before(u.ColdUntil) && o.ColdRate > 0 && !u.allowsColdRequest(now, u.nodeColdRate(o)):
		return ExcludedCold
	case o.Allowed != nil && !o.Allowed(u):
		return ExcludedLimited
	}
	return ""
}

// Exclusions counts the excluded candidates by reason.
func Exclusions(now time.Time, r Request, o Options, candidates []*Upstream) map[string]int {
	counts := make(map[string]int)
	for _, u := range candidates {
		if reason := u.exclusion(now, r, o); reason != "" {
			counts[reason]++
		}
	}
	return counts
}

// Usable reports whether the upstream may get new requests.
func (u *Upstream) Usable(now time.Time) bool { return !u.Leaving && !u.Banned(now) }

// RecordSend records that the request is sent to the chosen upstream. For a cold
// upstream, it uses Self, Nodes and ColdRate of the options.
func (c Choice) RecordSend(now time.Time, o Options) {
	u := c.Upstream
	if now.Before(u.ColdUntil) && o.ColdRate > 0 {
		u.recordColdRequest(now, u.nodeColdRate(o))
	}
	u.RecordSend(c.UncachedTokens)
	if c.Long {
		u.LongOpen++
	}
	if o.Engine != nil {
		o.Engine.recordExpected(now, c.pauses)
	}
}

// cost returns the expected delay of the request on the upstream, in milliseconds, if
// the upstream has this share of the shared prefix cached.
func (u *Upstream) cost(now time.Time, r Request, o Options, cachedShare float64) float64 {
	load := u.Load(now)
	cost := float64(load) * runningDelayMs
	if r.PromptTokens == 0 {
		cost = float64(load) / float64(max(1, u.Slots)) * waitingDelayMs
	}
	if over := load - u.Slots; over >= 0 {
		cost += float64(over+1) * waitingDelayMs
	}
	uncached := r.uncachedTokens(cachedShare)
	if o.Engine != nil && r.PromptTokens > 0 {
		costs, weight := o.Engine.Costs(), 1.0
		if o.weighsHarm(r) {
			weight += (readWeight - 1) * o.Engine.pausingShare()
		}
		cost += u.outlook(now, o.Engine).mean * (costs.ReadMs(u.waitingTokens(now, o)) + weight*costs.ReadMs(uncached))
	} else {
		cost += (u.waitingTokens(now, o) + uncached) / promptTokensPerMs
	}
	if o.weighsHarm(r) {
		cost += millis(lateDelay) * u.harm(now, r, o, cachedShare)
	}
	if o.Connected != nil && !o.Connected(u.Address) {
		cost += connectDelayMs
	}
	cost += u.FailureRate(now) * failureDelayMs
	if u.Domain != o.Domain {
		cost += domainDelayMs
	}
	return cost + jitterMs*unitHash(r.ID+u.ID)
}

// hash returns the hash of the ID, computed on first use.
func (u *Upstream) hash() uint64 {
	if u.idHash == 0 {
		u.idHash = xxhash.Sum64String(u.ID)
	}
	return u.idHash
}

// fmix64 is the 64-bit finalizer of MurmurHash3. It spreads its input over the whole
// range, so that close numbers give unrelated results.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// unitHash hashes a string to a number in [0, 1).
func unitHash(s string) float64 {
	return float64(xxhash.Sum64String(s)>>11) / (1 << 53)
}
