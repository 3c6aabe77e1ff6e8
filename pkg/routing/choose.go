package routing

import (
	"cmp"
	"slices"
	"time"
)

// Request is what Choose needs to know of a request.
type Request struct {
	// PromptTokens and Output are estimated numbers of tokens.
	PromptTokens int
	OutputTokens int
	// FirstTokenTarget is the longest acceptable time to the first token.
	FirstTokenTarget time.Duration
	// Adapter is empty for a request to the base model.
	Adapter string
	// Interactive requests are kept away from upstreams with a long prefill.
	Interactive bool
	// FailedUpstreams lists the upstreams that have failed this request; they are not chosen
	// again.
	FailedUpstreams []string
	// AvoidDomains names the failure domains under suspicion; they are chosen only when no
	// other domain is left.
	AvoidDomains []string
	// Isolated is true for a crash suspect: it goes only to an idle upstream.
	Isolated bool
}

// Candidate is one upstream as a node sees it.
type Candidate struct {
	ID     string
	Domain string
	// PricePerHour is the cost of one hour of the VM.
	PricePerHour float64
	// Limit is the number of requests that the upstream runs at once, at least 1.
	Limit int
	// FreeSlots is the number of slots that this node may still take.
	FreeSlots int
	// Running and Waiting are from the last load report.
	Running int
	Waiting int
	// SentSinceReport and Ended count this node's own requests since that report.
	SentSinceReport  int
	EndedSinceReport int
	// CachedTokens is the estimated number of prompt tokens in the prefix cache.
	CachedTokens int
	// Adapters lists the loaded adapters.
	Adapters []string
	// PrefillTokens is the number of long-prompt tokens in flight from all nodes.
	PrefillTokens int
	// OpenInteractive is the number of this node's open interactive requests.
	OpenInteractive int
	// PrefillRate is the prefill rate in tokens a second, above zero.
	PrefillRate float64
	// InterTokenLatency is the time between two tokens.
	InterTokenLatency time.Duration
	// RoundTripTime is the network delay there and back.
	RoundTripTime time.Duration
	// Reclaimable tells whether the VM can be reclaimed; Reclaim is the time left
	// under a notice, zero without one.
	Reclaimable   bool
	TimeToReclaim time.Duration
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
	// TimeToFirstToken is the estimated time to the first token.
	TimeToFirstToken time.Duration
	// Cost is the estimated price of the request, in the unit of Candidate.Price.
	Cost float64
	// PrefillTokens is the number of tokens to give to Holder.Take as prefill.
	PrefillTokens int
}

// Lengths and weights of the choice.
const (
	// longPrompt is the uncached prompt length from which a prefill delays the
	// other requests of an upstream noticeably.
	minLongPromptTokens = 4096
	// prefillBudget is the number of long-prompt tokens that an upstream may have
	// in flight. One long prompt is always allowed.
	prefillBudgetTokens = 16384
	// adapterLoad is the time that loading an adapter takes.
	adapterLoadTime = 500 * time.Millisecond
	// reclaimCost is the share of a request's price expected to be recomputed on a
	// VM that can be reclaimed.
	reclaimableSurcharge = 0.05
	// noticeCost is the same share on a VM that is under a notice of reclaim.
	reclaimNoticeSurcharge = 0.5
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
	var eligibleChoices []scored
	for i := range candidates {
		c := &candidates[i]
		if !eligible(now, r, c) {
			continue
		}
		choice := estimate(r, c)
		late := r.FirstTokenTarget > 0 && choice.TimeToFirstToken > r.FirstTokenTarget
		eligibleChoices = append(eligibleChoices, scored{choice, slices.Contains(r.AvoidDomains, c.Domain), late})
	}
	if len(eligibleChoices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(eligibleChoices, func(a, b scored) int {
		byCost := cmp.Compare(a.choice.Cost, b.choice.Cost)
		if a.late && b.late {
			byCost = cmp.Compare(a.choice.TimeToFirstToken, b.choice.TimeToFirstToken)
		}
		return cmp.Or(compareBool(a.avoided, b.avoided), compareBool(a.late, b.late), byCost,
			cmp.Compare(a.choice.TimeToFirstToken, b.choice.TimeToFirstToken), cmp.Compare(a.choice.ID, b.choice.ID))
	})
	return best.choice, true
}

// order puts false before true.
func compareBool(a, b bool) int {
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
	if c.Drained || c.Leaving || c.Suspect || c.FreeSlots <= 0 || !now.Before(c.Expires) || slices.Contains(r.FailedUpstreams, c.ID) {
		return false
	}
	if r.Isolated && openRequests(c) > 0 {
		return false
	}
	if c.TimeToReclaim > 0 && c.TimeToReclaim < estimateDuration(r, c) {
		return false
	}
	return c.PrefillTokens == 0 || c.PrefillTokens+longPrefill(r, c) <= prefillBudgetTokens || longPrefill(r, c) == 0
}

// long returns the uncached prompt tokens of a long prompt, zero for a short one.
func longPrefill(r Request, c *Candidate) int {
	if n := uncachedTokens(r, c); n >= minLongPromptTokens {
		return n
	}
	return 0
}

func uncachedTokens(r Request, c *Candidate) int { return max(0, r.PromptTokens-c.CachedTokens) }

// queue corrects the lagging report by the node's own requests since then.
func openRequests(c *Candidate) int {
	return max(0, c.Running+c.Waiting+c.SentSinceReport-c.EndedSinceReport)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func estimateDuration(r Request, c *Candidate) time.Duration {
	return seconds(float64(uncachedTokens(r, c))/c.PrefillRate) + time.Duration(r.OutputTokens)*c.InterTokenLatency
}

func estimate(r Request, c *Candidate) Choice {
	uncached := uncachedTokens(r, c)
	firstToken := c.RoundTripTime + seconds(float64(uncached)/c.PrefillRate)
	firstToken += seconds(float64(c.PrefillTokens) / c.PrefillRate)
	if r.Adapter != "" && !slices.Contains(c.Adapters, r.Adapter) {
		firstToken += adapterLoadTime
	}
	openCount := openRequests(c)
	if openCount >= c.Limit {
		// Requests beyond the limit wait until as many others have ended.
		firstToken += time.Duration(openCount-c.Limit+1) * estimateDuration(r, c) / time.Duration(c.Limit)
	}
	cost := c.PricePerHour / 3600 * estimateDuration(r, c).Seconds() / float64(c.Limit)
	cost += c.PricePerHour / 3600 * float64(uncached) / c.PrefillRate
	switch {
	case c.TimeToReclaim > 0:
		cost *= 1 + reclaimNoticeSurcharge
	case c.Reclaimable:
		cost *= 1 + reclaimableSurcharge
	}
	prefill := longPrefill(r, c)
	if prefill > 0 && c.OpenInteractive > 0 || r.Interactive && c.PrefillTokens > 0 {
		cost *= 2
	}
	// A busy upstream slows all its requests; this spreads load at equal price.
	cost *= 1 + 0.5*float64(openCount)/float64(c.Limit)
	return Choice{ID: c.ID, TimeToFirstToken: firstToken, Cost: cost, PrefillTokens: prefill}
}
