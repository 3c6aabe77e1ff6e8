package placement

import (
	"math"
	"strconv"
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
	// Queue is the number of requests that may wait on one upstream beyond its slots.
	Queue int
}

// Choice is the upstream of a request and the delay that is expected there.
type Choice struct {
	Upstream *Upstream
	Delay    time.Duration
}

// Choose returns the upstream with the least expected delay, or false when none may
// get the request now.
func Choose(now time.Time, r Request, l Limits, candidates []*Upstream) (Choice, bool) {
	home := r.home(now, candidates)
	tried := l.sample(r.ID, candidates)
	best, bestCost := (*Upstream)(nil), math.Inf(1)
	for _, u := range candidates {
		if u.bar(now, r, l) != "" || u != home && tried != nil && !tried[u] {
			continue
		}
		if cost := u.cost(now, r, l, u == home); cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil && tried != nil {
		l.Sample = len(candidates) // none of the drawn ones could take it
		return Choose(now, r, l, candidates)
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{best, time.Duration(bestCost * float64(time.Millisecond))}, true
}

// sample draws the candidates that a request compares; nil for all.
func (l Limits) sample(id string, candidates []*Upstream) map[*Upstream]bool {
	n := l.Sample
	if n == 0 {
		n = sampled
	}
	if len(candidates) <= n {
		return nil
	}
	drawn := make(map[*Upstream]bool, n)
	for i := 0; len(drawn) < n; i++ {
		drawn[candidates[int(fraction(id+strconv.Itoa(i))*float64(len(candidates)))]] = true
	}
	return drawn
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
	case contains(r.Tried, u.ID):
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

// Chosen notes that a request goes to the upstream.
func (u *Upstream) Chosen(now time.Time, r Request, l Limits) {
	if now.Before(u.Cold) && l.ColdRate > 0 {
		u.coldSent(now, ColdRate(u.ID, l.Self, l.Nodes, l.ColdRate))
	}
	u.Sent(r.Prompt)
}

func (u *Upstream) cost(now time.Time, r Request, l Limits, home bool) float64 {
	load := u.Load(now)
	cost := float64(load) * runningDelay
	if r.Prompt == 0 {
		cost = float64(load) / float64(max(1, u.Slots)) * waitingDelay
	}
	if over := load - u.Slots; over >= 0 {
		cost += float64(over+1) * waitingDelay
	}
	uncached := r.Prompt
	if home {
		shared, _ := r.Shared()
		uncached -= shared
	}
	cost += (u.waiting(now) + float64(uncached)) / promptRate
	cost += u.failureRate(now) * failureDelay
	if u.Domain != l.Domain {
		cost += domainDelay
	}
	return cost + jitter*fraction(r.ID+u.ID)
}

// home returns the upstream that most likely holds the session's part of the prompt:
// the first in an order that all nodes agree on without telling each other.
func (r Request) home(now time.Time, candidates []*Upstream) *Upstream {
	_, session := r.Shared()
	if session == "" {
		return nil
	}
	var first *Upstream
	var top uint64
	for _, u := range candidates {
		if h := xxhash.Sum64String(session + "\x00" + u.ID); u.Usable(now) && (first == nil || h > top) {
			first, top = u, h
		}
	}
	return first
}

// fraction maps a text to [0, 1).
func fraction(s string) float64 {
	return float64(xxhash.Sum64String(s)>>11) / (1 << 53)
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
