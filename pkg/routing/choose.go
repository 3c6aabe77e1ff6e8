package routing

import (
	"cmp"
	"slices"
	"time"
)

// Request is what Choose needs to know of a request.
type Request struct {
	// Prompt and Output are estimated numbers of tokens.
	Prompt int
	Output int
	// Target is the longest acceptable time to the first token.
	Target time.Duration
	// Adapter is empty for a request to the base model.
	Adapter string
	// Interactive requests are kept away from upstreams with a long prefill.
	Interactive bool
	// Tried lists the upstreams that have failed this request; they are not chosen
	// again.
	Tried []string
	// Avoid names the failure domains under suspicion; they are chosen only when no
	// other domain is left.
	Avoid []string
	// Alone is true for a crash suspect: it goes only to an idle upstream.
	Alone bool
}

// Candidate is one upstream as a node sees it.
type Candidate struct {
	ID     string
	Domain string
	// Price is the cost of one hour of the VM.
	Price float64
	// Limit is the number of requests that the upstream runs at once, at least 1.
	Limit int
	// Free is the number of slots that this node may still take.
	Free int
	// Running and Waiting are from the last load report.
	Running int
	Waiting int
	// Sent and Ended count this node's own requests since that report.
	Sent  int
	Ended int
	// Hit is the estimated number of prompt tokens in the prefix cache.
	Hit int
	// Adapters lists the loaded adapters.
	Adapters []string
	// Prefill is the number of long-prompt tokens in flight from all nodes.
	Prefill int
	// Interactive is the number of this node's open interactive requests.
	Interactive int
	// Rate is the prefill rate in tokens a second, above zero.
	Rate float64
	// Gap is the time between two tokens.
	Gap time.Duration
	// Distance is the network delay there and back.
	Distance time.Duration
	// Reclaimable tells whether the VM can be reclaimed; Reclaim is the time left
	// under a notice, zero without one.
	Reclaimable bool
	Reclaim     time.Duration
	// Expires is when the announcement stops counting.
	Expires time.Time
	// Drained, Leaving and Suspect upstreams get nothing new. Drained covers the
	// upstream's failure domain.
	Drained bool
	Leaving bool
	Suspect bool
}

// Choice is a chosen upstream with its estimates.
type Choice struct {
	ID string
	// First is the estimated time to the first token.
	First time.Duration
	// Cost is the estimated price of the request, in the unit of Candidate.Price.
	Cost float64
	// Long is the number of tokens to give to Holder.Take as prefill.
	Long int
}

// Lengths and weights of the choice.
const (
	// longPrompt is the uncached prompt length from which a prefill delays the
	// other requests of an upstream noticeably.
	longPrompt = 4096
	// prefillBudget is the number of long-prompt tokens that an upstream may have
	// in flight. One long prompt is always allowed.
	prefillBudget = 16384
	// adapterLoad is the time that loading an adapter takes.
	adapterLoad = 500 * time.Millisecond
	// reclaimCost is the share of a request's price expected to be recomputed on a
	// VM that can be reclaimed.
	reclaimCost = 0.05
	// noticeCost is the same share on a VM that is under a notice of reclaim.
	noticeCost = 0.5
)

// Choose picks the cheapest upstream that is expected to meet the first-token
// target, or the quickest when none is. It returns false when no candidate may
// get the request now.
func Choose(now time.Time, r Request, candidates []Candidate) (Choice, bool) {
	type scored struct {
		choice  Choice
		avoided bool
		late    bool
	}
	var all []scored
	for i := range candidates {
		c := &candidates[i]
		if !eligible(now, r, c) {
			continue
		}
		choice := estimate(r, c)
		late := r.Target > 0 && choice.First > r.Target
		all = append(all, scored{choice, slices.Contains(r.Avoid, c.Domain), late})
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(all, func(a, b scored) int {
		byCost := cmp.Compare(a.choice.Cost, b.choice.Cost)
		if a.late && b.late {
			byCost = cmp.Compare(a.choice.First, b.choice.First)
		}
		return cmp.Or(order(a.avoided, b.avoided), order(a.late, b.late), byCost,
			cmp.Compare(a.choice.First, b.choice.First), cmp.Compare(a.choice.ID, b.choice.ID))
	})
	return best.choice, true
}

// order puts false before true.
func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func eligible(now time.Time, r Request, c *Candidate) bool {
	if c.Drained || c.Leaving || c.Suspect || c.Free <= 0 || !now.Before(c.Expires) || slices.Contains(r.Tried, c.ID) {
		return false
	}
	if r.Alone && queue(c) > 0 {
		return false
	}
	if c.Reclaim > 0 && c.Reclaim < duration(r, c) {
		return false
	}
	return c.Prefill == 0 || c.Prefill+long(r, c) <= prefillBudget || long(r, c) == 0
}

// long returns the uncached prompt tokens of a long prompt, zero for a short one.
func long(r Request, c *Candidate) int {
	if n := uncached(r, c); n >= longPrompt {
		return n
	}
	return 0
}

func uncached(r Request, c *Candidate) int { return max(0, r.Prompt-c.Hit) }

// queue corrects the lagging report by the node's own requests since then.
func queue(c *Candidate) int { return max(0, c.Running+c.Waiting+c.Sent-c.Ended) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func duration(r Request, c *Candidate) time.Duration {
	return seconds(float64(uncached(r, c))/c.Rate) + time.Duration(r.Output)*c.Gap
}

func estimate(r Request, c *Candidate) Choice {
	mine := uncached(r, c)
	first := c.Distance + seconds(float64(mine)/c.Rate)
	first += seconds(float64(c.Prefill) / c.Rate)
	if r.Adapter != "" && !slices.Contains(c.Adapters, r.Adapter) {
		first += adapterLoad
	}
	n := queue(c)
	if n >= c.Limit {
		// Requests beyond the limit wait until as many others have ended.
		first += time.Duration(n-c.Limit+1) * duration(r, c) / time.Duration(c.Limit)
	}
	cost := c.Price / 3600 * duration(r, c).Seconds() / float64(c.Limit)
	cost += c.Price / 3600 * float64(mine) / c.Rate
	switch {
	case c.Reclaim > 0:
		cost *= 1 + noticeCost
	case c.Reclaimable:
		cost *= 1 + reclaimCost
	}
	l := long(r, c)
	if l > 0 && c.Interactive > 0 || r.Interactive && c.Prefill > 0 {
		cost *= 2
	}
	// A busy upstream slows all its requests; this spreads load at equal price.
	cost *= 1 + 0.5*float64(n)/float64(c.Limit)
	return Choice{ID: c.ID, First: first, Cost: cost, Long: l}
}
