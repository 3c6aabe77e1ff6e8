package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// candidate is a VM that a placement can include: a listed one, an ordered one, or one
// that could be ordered.
type candidate struct {
	vmID     string
	orderID  string
	offer    Offer
	capacity float64
	// cost is the price per hour including the expected cost of reclaims. It is reduced by
	// minSwitchSaving for a listed VM, and zero for a pending order and for a VM younger
	// than Rules.MinAge, so that these are kept.
	cost  float64
	ready bool
}

// minSwitchSaving is the fraction of a listed VM's cost by which a new VM must be cheaper
// to replace it. Without it, small price changes would replace VMs.
const minSwitchSaving = 0.25

// domainCapacity is a pool's capacity by failure domain and in total.
type domainCapacity struct {
	byDomain        map[string]float64
	total, onDemand float64
}

func newDomainCapacity() *domainCapacity { return &domainCapacity{byDomain: make(map[string]float64)} }

func (d *domainCapacity) add(o Offer, capacity float64) {
	d.byDomain[o.Domain] += capacity
	d.total += capacity
	if !o.Reclaimable {
		d.onDemand += capacity
	}
}

func (d *domainCapacity) largestDomain() float64 {
	largest := 0.0
	for _, c := range d.byDomain {
		largest = max(largest, c)
	}
	return largest
}

func (d *domainCapacity) surviving() float64 { return d.total - d.largestDomain() }

// satisfies reports whether the capacity meets all rules for a load.
func (d *domainCapacity) satisfies(r Rules, need float64) bool { return d.shortfall(r, need) <= 1e-9 }

// shortfall adds up the capacity that is missing to serve the load, to serve it after
// the loss of a failure domain, and to serve the on-demand share after a wave of
// reclaims.
func (d *domainCapacity) shortfall(r Rules, need float64) float64 {
	return max(need-d.total, 0) + max(r.Headroom*need-d.surviving(), 0) + max(r.OnDemandShare*need-d.onDemand, 0)
}

// placement is a set of VMs chosen to serve a load.
type placement struct {
	candidates []candidate
	cost       float64
	// shortfall is the capacity that is missing because no offer provides it.
	shortfall float64
}

// String lists the number of VMs of each offer and the total cost.
func (p placement) String() string {
	counts := make(map[string]int)
	for _, c := range p.candidates {
		kind := "on-demand"
		if c.offer.Reclaimable {
			kind = "reclaimable"
		}
		counts[c.offer.Domain+" "+c.offer.Class+" "+kind]++
	}
	parts := make([]string, 0, len(counts))
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d x %s", counts[k], k))
	}
	return fmt.Sprintf("%s for %.3f/h", strings.Join(parts, ", "), p.cost)
}

// isStuck reports whether a VM has been starting for too long and is to be stopped.
func (p *planner) isStuck(pool *Pool, v *VM) bool {
	return v.State == Starting && p.now.Sub(v.Since) > stuckColdStarts*pool.ColdStart
}

// currentCandidates returns the pool's VMs and pending orders, those with the lowest cost
// per capacity first. It leaves out VMs that are leaving, have a reclaim notice, are in a
// drained domain, or are stuck in their start.
func (p *planner) currentCandidates(pool *Pool) []candidate {
	var candidates []candidate
	for _, v := range p.in.VMs {
		if v.Pool != pool.Name || v.State == Leaving || !v.ReclaimAt.IsZero() || p.in.Drained[v.Offer.Domain] ||
			p.isStuck(pool, &v) {
			continue
		}
		c := candidate{vmID: v.ID, offer: v.Offer, capacity: pool.Capacity[v.Offer.Class], ready: v.State == Ready}
		c.cost = p.hourlyCost(pool, v.Offer, v.PricePerHour) * (1 - minSwitchSaving)
		if p.now.Sub(v.Since) < p.in.Rules.MinAge {
			c.cost = 0
		}
		candidates = append(candidates, c)
	}
	for _, o := range p.mem.Pending {
		if o.Pool == pool.Name && !p.in.Drained[o.Offer.Domain] {
			candidates = append(candidates, candidate{orderID: o.ID, offer: o.Offer, capacity: pool.Capacity[o.Offer.Class]})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost*b.capacity, b.cost*a.capacity), cmp.Compare(a.vmID, b.vmID), cmp.Compare(a.orderID, b.orderID))
	})
	return candidates
}

// hourlyCost adds the expected cost of reclaims to the listed price of a VM: the cold
// start of the replacement and the work that has to be repeated.
func (p *planner) hourlyCost(pool *Pool, o Offer, listed float64) float64 {
	for _, price := range p.in.Prices {
		if price.Offer == o {
			return listed * (1 + price.ReclaimRate*(pool.ColdStart.Seconds()+pool.RecomputeSeconds)/3600)
		}
	}
	return listed
}

// newCandidates returns the VMs that could be ordered, those with the lowest cost per
// capacity first.
func (p *planner) newCandidates(pool *Pool) []candidate {
	var candidates []candidate
	for _, price := range p.in.Prices {
		capacity := pool.Capacity[price.Offer.Class]
		if capacity <= 0 || p.in.Drained[price.Offer.Domain] || p.inBackoff(price.Offer) {
			continue
		}
		candidates = append(candidates, candidate{offer: price.Offer, capacity: capacity, cost: p.hourlyCost(pool, price.Offer, price.PerHour)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost*b.capacity, b.cost*a.capacity) })
	return candidates
}

// bestPlacement returns the cheapest placement for a load and the second-best one. It
// compares placements with different upper bounds on the capacity of one failure domain.
// The bound trades price against headroom: a low bound uses more domains, so that the
// loss of one costs less capacity. The bounds range from an even spread over many
// domains to the whole load in one domain; with a headroom of 1, that takes two domains.
func (p *planner) bestPlacement(pool *Pool, current []candidate, need float64) (best, runnerUp placement) {
	available := p.newCandidates(pool)
	smallest := math.Inf(1)
	for _, c := range pool.Capacity {
		smallest = min(smallest, c)
	}
	best.shortfall, runnerUp.shortfall = math.Inf(1), math.Inf(1)
	const boundSteps = 32
	step := max(smallest, need/boundSteps)
	better := func(a, b placement) bool {
		return cmp.Or(cmp.Compare(a.shortfall, b.shortfall), cmp.Compare(a.cost, b.cost)) < 0
	}
	for bound := step; bound <= need+2*step; bound += step {
		option := p.fill(current, available, need, bound)
		switch {
		case better(option, best):
			best, runnerUp = option, best
		case better(option, runnerUp) && math.Abs(option.cost-best.cost) > 1e-9:
			runnerUp = option
		}
	}
	if math.IsInf(best.shortfall, 1) {
		best = placement{shortfall: need}
	}
	if math.IsInf(runnerUp.shortfall, 1) {
		runnerUp = placement{}
	}
	return best, runnerUp
}

// fill adds candidates, those with the lowest cost per capacity first, until the rules are
// met, with a capacity of at most bound in one failure domain. It adds the on-demand share first.
func (p *planner) fill(current, available []candidate, need, bound float64) placement {
	capacity := newDomainCapacity()
	var result placement
	fits := func(c candidate) bool { return capacity.byDomain[c.offer.Domain]+c.capacity <= bound+1e-9 }
	take := func(c candidate) {
		capacity.add(c.offer, c.capacity)
		result.candidates = append(result.candidates, c)
		result.cost += c.cost
	}
	used := make([]bool, len(current))
	takeUntil := func(eligible func(Offer) bool, satisfied func() bool) {
		// A candidate that does not fit now never fits later, since domains only fill up.
		nextNew, nextCurrent := 0, 0
		for !satisfied() {
			for nextNew < len(available) && (!eligible(available[nextNew].offer) || !fits(available[nextNew])) {
				nextNew++
			}
			for nextCurrent < len(current) && (used[nextCurrent] || !eligible(current[nextCurrent].offer) || !fits(current[nextCurrent])) {
				nextCurrent++
			}
			switch {
			case nextCurrent < len(current) && (nextNew == len(available) || current[nextCurrent].cost*available[nextNew].capacity <= available[nextNew].cost*current[nextCurrent].capacity):
				used[nextCurrent] = true
				take(current[nextCurrent])
			case nextNew < len(available):
				take(available[nextNew])
			default:
				return
			}
		}
	}
	onDemand := p.in.Rules.OnDemandShare * need
	takeUntil(func(o Offer) bool { return !o.Reclaimable }, func() bool { return capacity.onDemand >= onDemand-1e-9 })
	takeUntil(func(Offer) bool { return true }, func() bool { return capacity.satisfies(p.in.Rules, need) })
	result.shortfall = capacity.shortfall(p.in.Rules, need)
	return result
}
