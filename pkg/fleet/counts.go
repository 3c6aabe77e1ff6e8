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
	baseShare = 0.15
	// spotShare is the part that reclaimable upstreams have. It exceeds the nominal
	// size, so that nothing is missing while one of four domains starts anew.
	spotShare = 1.3
	// leastShare is the part of the nominal size that remains when the domain with the
	// most reclaimable upstreams loses them. On-demand upstreams make up for what is
	// missing before that happens, since reclaims tend to follow each other.
	leastShare = 0.85
	// repeatAfter is how long after an order the counts may still differ from it
	// because upstreams start or drain; then it is given again.
	repeatAfter = 6 * time.Second
	// refusedPause is the pause before an offer that was refused is asked for again.
	refusedPause = 1500 * time.Millisecond
)

// CountKey names an offer: a failure domain and a kind.
type CountKey struct {
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
	// Least and Most bound the upstreams of one domain, both kinds together.
	Least, Most int
	// Spot is the price of a reclaimable upstream relative to an on-demand one.
	Spot    float64
	Domains []CountDomain
	// Running holds the upstreams that are ready and do not leave.
	Running map[CountKey]int
	// Warm holds those of Running that bear full load: for some seconds after its
	// start, an upstream takes only a few requests.
	Warm map[CountKey]int
}

// CountOrder asks for a number of upstreams of one offer.
type CountOrder struct {
	CountKey
	Count int
}

// CountMemory is what one call of Counts hands to the next. A new leader begins with
// an empty one.
type CountMemory struct {
	Orders map[CountKey]CountSent
}

// CountSent is the last order for an offer.
type CountSent struct {
	Count   int
	At      time.Time
	Refused bool
}

// Counts returns the orders to give now. An order is given again when the counts do
// not follow it.
func Counts(now time.Time, in CountInputs, mem *CountMemory) []CountOrder {
	if mem.Orders == nil {
		mem.Orders = make(map[CountKey]CountSent)
	}
	var orders []CountOrder
	for _, want := range wanted(in) {
		sent, known := mem.Orders[want.CountKey]
		running := in.Running[want.CountKey]
		switch {
		case known && sent.Refused && now.Sub(sent.At) < refusedPause:
			continue
		case known && !sent.Refused && sent.Count == want.Count && (running == want.Count || now.Sub(sent.At) < repeatAfter):
			continue
		case !known && running == want.Count:
			continue
		}
		mem.Orders[want.CountKey] = CountSent{Count: want.Count, At: now}
		orders = append(orders, want)
	}
	return orders
}

// Refuse notes that the platform refused an order.
func (m *CountMemory) Refuse(now time.Time, o CountOrder) {
	m.Orders[o.CountKey] = CountSent{Count: o.Count, At: now, Refused: true}
}

// wanted returns the count of every offer.
func wanted(in CountInputs) []CountOrder {
	usable := slices.DeleteFunc(slices.Clone(in.Domains), func(d CountDomain) bool { return d.Drained })
	slices.SortStableFunc(usable, func(a, b CountDomain) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	base := spread(ceil(baseShare*float64(in.Nominal)), usable, func(CountDomain) int { return in.Most })
	spot := spread(ceil(spotShare*float64(in.Nominal)), usable, func(d CountDomain) int { return in.Most - base[d.Name] })
	if in.Spot <= 0 || in.Spot >= 1 {
		spot = nil
	}
	ready, largest := 0, 0
	for key, n := range in.Warm {
		if key.Reclaimable && slices.ContainsFunc(usable, func(d CountDomain) bool { return d.Name == key.Domain }) {
			ready += n
			largest = max(largest, n)
		}
	}
	if missing := ceil(leastShare*float64(in.Nominal)) - (ready - largest); missing > sum(base) {
		base = spread(missing, usable, func(CountDomain) int { return in.Most })
	}
	var orders []CountOrder
	for _, d := range usable {
		b, s := base[d.Name], min(spot[d.Name], in.Most-base[d.Name])
		if b+s < in.Least {
			b = in.Least - s
		}
		orders = append(orders, CountOrder{CountKey{d.Name, false}, b})
		if spot != nil {
			orders = append(orders, CountOrder{CountKey{d.Name, true}, max(0, s)})
		}
	}
	return orders
}

// spread divides a number over domains as evenly as their bounds allow, the first
// ones first.
func spread(n int, domains []CountDomain, most func(CountDomain) int) map[string]int {
	counts := make(map[string]int)
	for n > 0 {
		before := n
		for _, d := range domains {
			if n > 0 && counts[d.Name] < most(d) {
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
