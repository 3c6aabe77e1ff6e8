package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the counts of a pool that is ordered by domain and kind.
const (
	// baseShare is the part of the pool's nominal size that on-demand upstreams keep,
	// so that a wave of reclaims over all domains leaves some capacity. They cost
	// several times as much as reclaimable ones.
	onDemandShare = 0.15
	// spotShare is the part that reclaimable upstreams have. It exceeds the nominal
	// size, so that nothing is missing while one of four domains starts anew.
	reclaimableShare = 1.3
	// leastShare is the part of the nominal size that remains when the domain with the
	// most reclaimable upstreams loses them. On-demand upstreams make up for what is
	// missing before that happens, since reclaims tend to follow each other.
	survivingShare = 0.85
	// repeatAfter is how long after an order the counts may still differ from it
	// because upstreams start or drain; then it is given again.
	countResendAfter = 6 * time.Second
	// refusedPause is the pause before an offer that was refused is asked for again.
	refusalBackoff = 1500 * time.Millisecond
)

// OfferKey names an offer: a failure domain and a kind.
type OfferKey struct {
	Domain      string
	Reclaimable bool
}

// CountDomain is a failure domain in which the pool can run.
type CountDomain struct {
	Name  string
	Price float64
	// Drained is true while the domain is out of service.
	Drained bool
}

// CountInputs is what the counts of one pool depend on.
type CountInputs struct {
	// Nominal is the number of upstreams that the operator provided at first.
	Nominal int
	// MinPerDomain and MaxPerDomain bound the upstreams of one domain, both kinds together.
	MinPerDomain, MaxPerDomain int
	// SpotPriceRatio is the price of a reclaimable upstream relative to an on-demand one.
	SpotPriceRatio float64
	Domains        []CountDomain
	// Running holds the upstreams that are ready and do not leave.
	Running map[OfferKey]int
	// Warm holds those of Running that bear full load: for some seconds after its
	// start, an upstream takes only a few requests.
	Warm map[OfferKey]int
}

// CountOrder asks for a number of upstreams of one offer.
type CountOrder struct {
	OfferKey
	Count int
}

// CountMemory is what one call of Counts hands to the next. A new leader begins with
// an empty one.
type CountMemory struct {
	Sent map[OfferKey]SentCount
}

// SentCount is the last order for an offer.
type SentCount struct {
	Count   int
	At      time.Time
	Refused bool
}

// PlanCounts returns the orders to give now. An order is given again when the counts do
// not follow it.
func PlanCounts(now time.Time, in CountInputs, memory *CountMemory) []CountOrder {
	if memory.Sent == nil {
		memory.Sent = make(map[OfferKey]SentCount)
	}
	var orders []CountOrder
	for _, target := range targetCounts(in) {
		sent, known := memory.Sent[target.OfferKey]
		running := in.Running[target.OfferKey]
		switch {
		case known && sent.Refused && now.Sub(sent.At) < refusalBackoff:
			continue
		case known && !sent.Refused && sent.Count == target.Count && (running == target.Count || now.Sub(sent.At) < countResendAfter):
			continue
		case !known && running == target.Count:
			continue
		}
		memory.Sent[target.OfferKey] = SentCount{Count: target.Count, At: now}
		orders = append(orders, target)
	}
	return orders
}

// RecordRefusal notes that the platform refused an order.
func (m *CountMemory) RecordRefusal(now time.Time, o CountOrder) {
	m.Sent[o.OfferKey] = SentCount{Count: o.Count, At: now, Refused: true}
}

// wanted returns the count of every offer.
func targetCounts(in CountInputs) []CountOrder {
	usable := slices.DeleteFunc(slices.Clone(in.Domains), func(d CountDomain) bool { return d.Drained })
	slices.SortStableFunc(usable, func(a, onDemandCount CountDomain) int {
		return cmp.Or(cmp.Compare(a.Price, onDemandCount.Price), cmp.Compare(a.Name, onDemandCount.Name))
	})
	onDemand := distribute(ceil(onDemandShare*float64(in.Nominal)), usable, func(CountDomain) int { return in.MaxPerDomain })
	reclaimable := distribute(ceil(reclaimableShare*float64(in.Nominal)), usable, func(d CountDomain) int { return in.MaxPerDomain - onDemand[d.Name] })
	if in.SpotPriceRatio <= 0 || in.SpotPriceRatio >= 1 {
		reclaimable = nil
	}
	warm, largest := 0, 0
	for key, n := range in.Warm {
		if key.Reclaimable && slices.ContainsFunc(usable, func(d CountDomain) bool { return d.Name == key.Domain }) {
			warm += n
			largest = max(largest, n)
		}
	}
	if missing := ceil(survivingShare*float64(in.Nominal)) - (warm - largest); missing > sum(onDemand) {
		onDemand = distribute(missing, usable, func(CountDomain) int { return in.MaxPerDomain })
	}
	var orders []CountOrder
	for _, d := range usable {
		b, reclaimableCount := onDemand[d.Name], min(reclaimable[d.Name], in.MaxPerDomain-onDemand[d.Name])
		if b+reclaimableCount < in.MinPerDomain {
			b = in.MinPerDomain - reclaimableCount
		}
		orders = append(orders, CountOrder{OfferKey{d.Name, false}, b})
		if reclaimable != nil {
			orders = append(orders, CountOrder{OfferKey{d.Name, true}, max(0, reclaimableCount)})
		}
	}
	return orders
}

// spread divides a number over domains as evenly as their bounds allow, the first
// ones first.
func distribute(n int, domains []CountDomain, maxPerDomain func(CountDomain) int) map[string]int {
	counts := make(map[string]int)
	for n > 0 {
		before := n
		for _, d := range domains {
			if n > 0 && counts[d.Name] < maxPerDomain(d) {
				counts[d.Name]++
				n--
			}
		}
		if n == before {
			break
		}
	}
	return counts
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func ceil(f float64) int { return int(math.Ceil(f - 1e-9)) }
