package routing

import (
	"cmp"
	"slices"
	"time"
)

// Request describes a request to Choose.
type Request struct {
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// FirstTokenTarget is the longest acceptable time to the first token, or zero
	// for no target.
	FirstTokenTarget time.Duration
	// Adapter is empty for a request to the base model.
	Adapter string
	// Interactive requests prefer upstreams that have no long prompt in prefill.
	Interactive bool
	// FailedUpstreams lists the upstreams that have failed this request; they are
	// not chosen again.
	FailedUpstreams []string
	// AvoidDomains lists the suspected failure domains; they are chosen only if no
	// other domain has an eligible upstream.
	AvoidDomains []string
	// Isolated is true for a crash suspect, which may run only on an idle upstream.
	Isolated bool
}

// Candidate describes one upstream as known to the node.
type Candidate struct {
	ID     string
	Domain string
	// PricePerHour is the price of one hour of the VM.
	PricePerHour float64
	// Limit is the number of requests that the upstream may run concurrently over
	// all nodes, at least 1.
	Limit int
	// FreeSlots is the number of granted slots that this node does not use.
	FreeSlots int
	// Running and Waiting are the request counts of the last load report.
	Running int
	Waiting int
	// SentSinceReport and EndedSinceReport count this node's own requests since the
	// last load report.
	SentSinceReport  int
	EndedSinceReport int
	// CachedTokens is the estimated number of prompt tokens in the upstream's
	// prefix cache.
	CachedTokens int
	// Adapters lists the loaded adapters.
	Adapters []string
	// PrefillTokens is the number of tokens of long prompts in prefill, over all
	// nodes.
	PrefillTokens int
	// OpenInteractive is the number of this node's open interactive requests.
	OpenInteractive int
	// PrefillRate is in tokens per second and greater than zero.
	PrefillRate float64
	// InterTokenLatency is the time between two output tokens.
	InterTokenLatency time.Duration
	// RoundTripTime is the network round trip to the upstream.
	RoundTripTime time.Duration
	// Reclaimable reports whether the provider can reclaim the VM. TimeToReclaim is
	// the time left after a reclaim notice, or zero without a notice.
	Reclaimable   bool
	TimeToReclaim time.Duration
	// Expires is when the announcement expires.
	Expires time.Time
	// Drained, Leaving and Suspect exclude the upstream from new requests. Drained
	// is also true if the upstream's failure domain is drained.
	Drained bool
	Leaving bool
	Suspect bool
}

// Choice is a chosen upstream with its estimates.
type Choice struct {
	ID string
	// TimeToFirstToken is an estimate.
	TimeToFirstToken time.Duration
	// Cost is the estimated price of the request, in the currency of
	// Candidate.PricePerHour.
	Cost float64
	// PrefillTokens is the value to pass to Holder.Take.
	PrefillTokens int
}

// Thresholds and cost factors of Choose.
const (
	// minLongPromptTokens is the uncached prompt length from which a prefill
	// noticeably delays the upstream's other requests.
	minLongPromptTokens = 4096
	// prefillBudgetTokens is the number of tokens of long prompts that an upstream
	// may have in prefill. A single long prompt is allowed at any length.
	prefillBudgetTokens = 16384
	// adapterLoadTime is the estimated time to load an adapter.
	adapterLoadTime = 500 * time.Millisecond
	// reclaimableSurcharge is the expected share of a request's cost that has to be
	// spent again on another upstream because a reclaimable VM is reclaimed.
	reclaimableSurcharge = 0.05
	// reclaimNoticeSurcharge is the same share for a VM that has received a reclaim
	// notice.
	reclaimNoticeSurcharge = 0.5
)

// Choose returns the cheapest upstream that is expected to meet the first-token
// target, or the one with the shortest time to the first token if none is expected
// to meet it. It returns false if no candidate is eligible.
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

// compareBool orders false before true.
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

// eligible reports whether the request may run on the candidate now.
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

// longPrefill returns the number of uncached prompt tokens of a long prompt, or
// zero for a short prompt.
func longPrefill(r Request, c *Candidate) int {
	if n := uncachedTokens(r, c); n >= minLongPromptTokens {
		return n
	}
	return 0
}

func uncachedTokens(r Request, c *Candidate) int { return max(0, r.PromptTokens-c.CachedTokens) }

// openRequests estimates the requests at the upstream: those of the last load
// report, corrected by the node's own requests since then.
func openRequests(c *Candidate) int {
	return max(0, c.Running+c.Waiting+c.SentSinceReport-c.EndedSinceReport)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// estimateDuration returns the time from the start of the prefill to the last
// token, without queueing.
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
		// The upstream queues requests above its limit until others have ended.
		firstToken += time.Duration(openCount-c.Limit+1) * estimateDuration(r, c) / time.Duration(c.Limit)
	}
	// A request is charged for its slot's share of the VM, and for its prefill at
	// the price of the whole VM.
	cost := c.PricePerHour / 3600 * estimateDuration(r, c).Seconds() / float64(c.Limit)
	cost += c.PricePerHour / 3600 * float64(uncached) / c.PrefillRate
	switch {
	case c.TimeToReclaim > 0:
		cost *= 1 + reclaimNoticeSurcharge
	case c.Reclaimable:
		cost *= 1 + reclaimableSurcharge
	}
	prefill := longPrefill(r, c)
	// A long prefill delays interactive requests, so keep the two apart if another
	// upstream costs less than twice as much.
	if prefill > 0 && c.OpenInteractive > 0 || r.Interactive && c.PrefillTokens > 0 {
		cost *= 2
	}
	// Load slows all requests of an upstream, so spread the load at equal price.
	cost *= 1 + 0.5*float64(openCount)/float64(c.Limit)
	return Choice{ID: c.ID, TimeToFirstToken: firstToken, Cost: cost, PrefillTokens: prefill}
}
