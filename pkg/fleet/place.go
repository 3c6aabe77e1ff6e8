package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// unit is a VM of a pool: a listed one, an ordered one, or one that could be
// ordered.
type unit struct {
	vm       string
	order    string
	offer    Offer
	capacity float64
	// cost is per hour and includes the expected cost of reclaims.
	cost  float64
	ready bool
}

// switchGain is the part of its cost by which another VM must be cheaper before
// it replaces a listed one. Without it, small price changes would cause moves.
const switchGain = 0.25

// levels holds a pool's capacity by failure domain.
type levels struct {
	domain          map[string]float64
	total, onDemand float64
}

func newLevels() *levels { return &levels{domain: make(map[string]float64)} }

func (l *levels) add(o Offer, capacity float64) {
	l.domain[o.Domain] += capacity
	l.total += capacity
	if !o.Reclaimable {
		l.onDemand += capacity
	}
}

func (l *levels) largest() float64 {
	largest := 0.0
	for _, c := range l.domain {
		largest = max(largest, c)
	}
	return largest
}

func (l *levels) surviving() float64 { return l.total - l.largest() }

// enough tells whether all rules hold.
func (l *levels) enough(r Rules, need float64) bool { return l.short(r, need) <= 1e-9 }

// short adds up what is missing for the load itself, for the loss of a domain and
// for a wave of reclaims.
func (l *levels) short(r Rules, need float64) float64 {
	return max(need-l.total, 0) + max(r.Headroom*need-l.surviving(), 0) + max(r.OnDemand*need-l.onDemand, 0)
}

// placement is a set of units that carries a load.
type placement struct {
	units []unit
	cost  float64
	// short is the capacity that no offer could supply.
	short float64
}

// String lists the numbers of VMs by offer.
func (p placement) String() string {
	counts := make(map[string]int)
	for _, u := range p.units {
		kind := "on-demand"
		if u.offer.Reclaimable {
			kind = "reclaimable"
		}
		counts[u.offer.Domain+" "+u.offer.Class+" "+kind]++
	}
	parts := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d x %s", counts[k], k))
	}
	return fmt.Sprintf("%s for %.3f/h", strings.Join(parts, ", "), p.cost)
}

// stuck tells whether a VM takes so long to become ready that it is given up.
func (p *planner) stuck(pool *Pool, v *VM) bool {
	return v.State == Starting && p.now.Sub(v.Since) > stuckAfter*pool.ColdStart
}

// units returns the pool's VMs and pending orders. VMs with a reclaim notice, in
// drained domains, that never became ready or are on their way out do not count.
func (p *planner) units(pool *Pool) []unit {
	var list []unit
	for _, v := range p.in.VMs {
		if v.Pool != pool.Name || v.State == Leaving || !v.Reclaim.IsZero() || p.in.Drained[v.Offer.Domain] ||
			p.stuck(pool, &v) {
			continue
		}
		u := unit{vm: v.ID, offer: v.Offer, capacity: pool.Capacity[v.Offer.Class], ready: v.State == Ready}
		u.cost = p.cost(pool, v.Offer, v.Hour) * (1 - switchGain)
		if p.now.Sub(v.Since) < p.in.Rules.MinAge {
			u.cost = 0
		}
		list = append(list, u)
	}
	for _, o := range p.mem.Pending {
		if o.Pool == pool.Name && !p.in.Drained[o.Offer.Domain] {
			list = append(list, unit{order: o.ID, offer: o.Offer, capacity: pool.Capacity[o.Offer.Class]})
		}
	}
	slices.SortFunc(list, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.cost*b.capacity, b.cost*a.capacity), cmp.Compare(a.vm, b.vm), cmp.Compare(a.order, b.order))
	})
	return list
}

// cost adds to the price of a VM what its reclaims are expected to cost: the cold
// start of the replacement and the work that is run again.
func (p *planner) cost(pool *Pool, o Offer, hour float64) float64 {
	for _, price := range p.in.Prices {
		if price.Offer == o {
			return hour * (1 + price.Reclaims*(pool.ColdStart.Seconds()+pool.Recompute)/3600)
		}
	}
	return hour
}

// offers returns the units that could be ordered, the cheapest first.
func (p *planner) offers(pool *Pool) []unit {
	var list []unit
	for _, price := range p.in.Prices {
		capacity := pool.Capacity[price.Offer.Class]
		if capacity <= 0 || p.in.Drained[price.Offer.Domain] || p.blocked(price.Offer) {
			continue
		}
		list = append(list, unit{offer: price.Offer, capacity: capacity, cost: p.cost(pool, price.Offer, price.Hour)})
	}
	slices.SortStableFunc(list, func(a, b unit) int { return cmp.Compare(a.cost*b.capacity, b.cost*a.capacity) })
	return list
}

// place returns the cheapest placement for a load and the best one that lost. A
// bound on the capacity of one domain trades price against headroom: with a low
// bound more domains are used and less is lost with one. All bounds between an
// even spread and two domains are tried.
func (p *planner) place(pool *Pool, have []unit, need float64) (best, other placement) {
	offers := p.offers(pool)
	smallest := math.Inf(1)
	for _, c := range pool.Capacity {
		smallest = min(smallest, c)
	}
	best.short, other.short = math.Inf(1), math.Inf(1)
	const tries = 32
	step := max(smallest, need/tries)
	better := func(a, b placement) bool {
		return cmp.Or(cmp.Compare(a.short, b.short), cmp.Compare(a.cost, b.cost)) < 0
	}
	for bound := step; bound <= need+2*step; bound += step {
		c := p.fill(have, offers, need, bound)
		switch {
		case better(c, best):
			best, other = c, best
		case better(c, other) && math.Abs(c.cost-best.cost) > 1e-9:
			other = c
		}
	}
	if math.IsInf(best.short, 1) {
		best = placement{short: need}
	}
	if math.IsInf(other.short, 1) {
		other = placement{}
	}
	return best, other
}

// fill takes units, the cheapest first, until the rules hold, with at most bound
// capacity in one domain. On-demand units come first as far as the rules ask.
func (p *planner) fill(have, offers []unit, need, bound float64) placement {
	l := newLevels()
	var out placement
	fits := func(u unit) bool { return l.domain[u.offer.Domain]+u.capacity <= bound+1e-9 }
	take := func(u unit) {
		l.add(u.offer, u.capacity)
		out.units = append(out.units, u)
		out.cost += u.cost
	}
	used := make([]bool, len(have))
	pass := func(wanted func(Offer) bool, met func() bool) {
		// A unit that does not fit once does not fit later, since domains only fill up.
		next, old := 0, 0
		for !met() {
			for next < len(offers) && (!wanted(offers[next].offer) || !fits(offers[next])) {
				next++
			}
			for old < len(have) && (used[old] || !wanted(have[old].offer) || !fits(have[old])) {
				old++
			}
			switch {
			case old < len(have) && (next == len(offers) || have[old].cost*offers[next].capacity <= offers[next].cost*have[old].capacity):
				used[old] = true
				take(have[old])
			case next < len(offers):
				take(offers[next])
			default:
				return
			}
		}
	}
	onDemand := p.in.Rules.OnDemand * need
	pass(func(o Offer) bool { return !o.Reclaimable }, func() bool { return l.onDemand >= onDemand-1e-9 })
	pass(func(Offer) bool { return true }, func() bool { return l.enough(p.in.Rules, need) })
	out.short = l.short(p.in.Rules, need)
	return out
}
