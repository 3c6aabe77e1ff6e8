package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of PlanCounts.
const (
	// onDemandShare is the fraction of the pool's nominal size that is kept on demand, so
	// that some capacity survives a wave of reclaims in all failure domains. It is small
	// because on-demand upstreams cost several times as much as reclaimable ones.
	onDemandShare = 0.15
	// reclaimableShare is the size of the reclaimable part relative to the nominal size.
	// It exceeds 1 so that no capacity is missing while one of four failure domains
	// restarts its upstreams.
	reclaimableShare = 1.3
	// survivingShare is the fraction of the nominal size that must remain when the failure
	// domain with the most reclaimable upstreams loses them. On-demand upstreams cover a
	// shortfall in advance, since reclaims tend to follow each other.
	survivingShare = 0.85
	// countResendAfter is how long the running count may differ from the ordered one
	// while upstreams start or drain. After that, the order is sent again.
	countResendAfter = 6 * time.Second
	// refusalBackoff is the delay before a refused offer is ordered again.
	refusalBackoff = 1500 * time.Millisecond
)

// OfferKey identifies an offer by its failure domain and kind.
type OfferKey struct {
	Domain      string
	Reclaimable bool
}

// CountDomain is a failure domain in which the pool can run. Domains with a lower price
// are filled first.
type CountDomain struct {
	Name  string
	Price float64
	// Drained is true while the domain is out of service.
	Drained bool
}

// CountInputs holds the inputs of PlanCounts for one pool.
type CountInputs struct {
	// Nominal is the number of upstreams that the operator provided initially.
	Nominal int
	// MinPerDomain and MaxPerDomain bound the number of upstreams in one failure domain,
	// reclaimable and on-demand ones together.
	MinPerDomain, MaxPerDomain int
	// SpotPriceRatio is the price of a reclaimable upstream divided by that of an
	// on-demand one. Reclaimable upstreams are ordered only if it is between 0 and 1.
	SpotPriceRatio float64
	Domains        []CountDomain
	// Running holds the number of upstreams that are ready and not leaving.
	Running map[OfferKey]int
	// Load is the pool's work; the zero value if it is not known. BootTime is the time from an
	// order until an upstream serves.
	Load     Load
	BootTime time.Duration
	// Warm holds the number of running upstreams that can take full load. For some
	// seconds after its start, an upstream takes only a few requests.
	Warm map[OfferKey]int
}

// CountOrder orders a number of upstreams of one offer.
type CountOrder struct {
	OfferKey
	Count int
}

// CountMemory is the state that PlanCounts keeps between calls. A new leader starts
// with the zero value.
type CountMemory struct {
	Sent     map[OfferKey]SentCount
	forecast workForecast
	sizes    sizes // by load; zero before the first
}

// Size returns the size that the last plan was made for.
func (m *CountMemory) Size() int { return m.sizes.reclaimable }

// Needed returns the number of upstreams that the load is expected to need.
func (m *CountMemory) Needed() float64 { return m.forecast.held }

// SentCount is the last order sent for an offer.
type SentCount struct {
	Count   int
	At      time.Time
	Refused bool
}

// PlanCounts returns the orders to send now and records them in memory. An order is
// sent again when the running count does not reach it in time.
func PlanCounts(now time.Time, in CountInputs, memory *CountMemory) []CountOrder {
	if memory.Sent == nil {
		memory.Sent = make(map[OfferKey]SentCount)
	}
	var orders []CountOrder
	for _, target := range targetCounts(in, sizesByLoad(now, in, memory)) {
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

// RecordRefusal records that the platform refused an order, which delays the next order
// for the offer.
func (m *CountMemory) RecordRefusal(now time.Time, o CountOrder) {
	m.Sent[o.OfferKey] = SentCount{Count: o.Count, At: now, Refused: true}
}

// targetCounts returns the number of upstreams to run of each offer in the domains that
// are not drained. Cheaper domains come first.
func targetCounts(in CountInputs, size sizes) []CountOrder {
	usable := slices.DeleteFunc(slices.Clone(in.Domains), func(d CountDomain) bool { return d.Drained })
	slices.SortStableFunc(usable, func(a, b CountDomain) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	onDemand := distribute(ceil(onDemandShare*float64(size.covered)), usable, func(CountDomain) int { return in.MaxPerDomain })
	reclaimable := distribute(ceil(reclaimableShare*float64(size.reclaimable)), usable, func(d CountDomain) int { return in.MaxPerDomain - onDemand[d.Name] })
	if !in.hasSpot() {
		reclaimable = nil
	}
	warmReclaimable, largestWarm := 0, 0
	for key, n := range in.Warm {
		if key.Reclaimable && slices.ContainsFunc(usable, func(d CountDomain) bool { return d.Name == key.Domain }) {
			warmReclaimable += n
			largestWarm = max(largestWarm, n)
		}
	}
	// On-demand upstreams must cover what would be missing from survivingShare after the
	// loss of the failure domain with the most reclaimable upstreams.
	if missing := ceil(survivingShare*float64(size.covered)) - (warmReclaimable - largestWarm); missing > sum(onDemand) {
		// They go where there is room beside the reclaimable ones that run: to stop one of
		// those for them would take away now what they bring after their boot.
		onDemand = distribute(missing, usable, func(d CountDomain) int {
			return max(onDemand[d.Name], in.MaxPerDomain-min(reclaimable[d.Name], in.Running[OfferKey{d.Name, true}]))
		})
	}
	var orders []CountOrder
	for _, d := range usable {
		onDemandCount, reclaimableCount := onDemand[d.Name], min(reclaimable[d.Name], in.MaxPerDomain-onDemand[d.Name])
		if onDemandCount+reclaimableCount < in.MinPerDomain {
			onDemandCount = in.MinPerDomain - reclaimableCount
		}
		orders = append(orders, CountOrder{OfferKey{d.Name, false}, onDemandCount})
		if reclaimable != nil {
			orders = append(orders, CountOrder{OfferKey{d.Name, true}, max(0, reclaimableCount)})
		}
	}
	return orders
}

// distribute divides n over the domains as evenly as their limits allow. Earlier domains
// get the remainder.
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

// ceil rounds up, but ignores an excess of up to 1e-9 due to rounding errors.
func ceil(f float64) int { return int(math.Ceil(f - 1e-9)) }
