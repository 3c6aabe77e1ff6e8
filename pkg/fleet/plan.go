package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// orderResendAfter is how long a start order may be pending before it is sent again.
	orderResendAfter = 20 * time.Second
	backoffBase      = 30 * time.Second
	maxBackoff       = 15 * time.Minute
	// trendWindow is the age up to which samples count for the load trend.
	trendWindow = 10 * time.Minute
	// scaleInMargin is the fraction by which the load must be able to rise after VMs are
	// stopped without new VMs having to start.
	scaleInMargin = 0.15
	// stuckColdStarts is the multiple of the cold start time after which a VM that is not
	// ready is replaced.
	stuckColdStarts = 3
	// bootDelay is the time from a start order until the VM reads from the weight store.
	bootDelay = 30 * time.Second
)

// Plan decides which VMs to start and stop. Without a valid lease, it returns no orders.
// The caller passes Decision.Memory to the next call as Inputs.Memory.
func Plan(now time.Time, in Inputs) Decision {
	p := planner{now: now, in: &in, mem: in.Memory}
	p.mem.Pending = slices.Clone(in.Memory.Pending)
	p.mem.Backoff = slices.Clone(in.Memory.Backoff)
	p.applyResults()
	if in.Lease == nil || !now.Before(in.Lease.Expires) {
		return Decision{Refused: "no valid lease", Memory: p.mem}
	}
	p.resendPending()
	pools := slices.Clone(in.Pools)
	slices.SortStableFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Priority, b.Priority) })
	for i := range pools {
		p.planPool(&pools[i])
	}
	p.stopOrphans()
	return Decision{Orders: p.orders, Pools: p.plans, Memory: p.mem}
}

type planner struct {
	now    time.Time
	in     *Inputs
	mem    Memory
	orders []Order
	plans  []PoolPlan
}

// applyResults removes refused orders from the pending ones and starts the backoff of
// their offers. It also removes orders whose VM the platform lists, and ends the backoff
// of their offers.
func (p *planner) applyResults() {
	for _, r := range p.in.Results {
		i := slices.IndexFunc(p.mem.Pending, func(o Order) bool { return o.ID == r.OrderID })
		if i < 0 || !r.Refused {
			continue
		}
		p.backOff(p.mem.Pending[i].Offer)
		p.mem.Pending = slices.Delete(p.mem.Pending, i, i+1)
	}
	p.mem.Pending = slices.DeleteFunc(p.mem.Pending, func(o Order) bool {
		i := slices.IndexFunc(p.in.VMs, func(v VM) bool { return v.OrderID == o.ID })
		if i >= 0 {
			p.mem.Backoff = slices.DeleteFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o.Offer })
		}
		return i >= 0
	})
}

// backOff excludes an offer from new orders for an exponentially growing, jittered time.
func (p *planner) backOff(o Offer) {
	i := slices.IndexFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o })
	if i < 0 {
		i = len(p.mem.Backoff)
		p.mem.Backoff = append(p.mem.Backoff, Backoff{Offer: o})
	}
	b := &p.mem.Backoff[i]
	if b.Until.After(p.now) {
		return
	}
	wait := min(maxBackoff, backoffBase<<min(b.Failures, 10))
	b.Failures++
	b.Until = p.now.Add(time.Duration((0.5 + p.in.Rand.Float64()) * float64(wait)))
}

func (p *planner) inBackoff(o Offer) bool {
	return slices.ContainsFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o && b.Until.After(p.now) })
}

// resendPending resends pending orders whose response may have been lost. They keep
// their ID, so that the platform does not start a second VM.
func (p *planner) resendPending() {
	for i := range p.mem.Pending {
		o := &p.mem.Pending[i]
		if p.now.Sub(o.Sent) >= orderResendAfter {
			o.Sent, o.Fencing = p.now, p.in.Lease.Token
			p.orders = append(p.orders, *o)
		}
	}
}

// submit gives an order its ID and fencing token and adds it to the plan's orders.
func (p *planner) submit(o Order) Order {
	p.mem.Sequence++
	o.ID = fmt.Sprintf("%d-%d", p.in.Lease.Token, p.mem.Sequence)
	o.Fencing, o.Sent = p.in.Lease.Token, p.now
	p.orders = append(p.orders, o)
	return o
}

// planPool plans one pool: it forecasts the load, chooses the cheapest placement and
// submits the orders that lead to it.
func (p *planner) planPool(pool *Pool) {
	plan := PoolPlan{Pool: pool.Name}
	plan.Load, plan.Forecast = forecast(p.now, pool)
	plan.Need = max(p.in.Rules.ForecastMargin*max(plan.Load, plan.Forecast), pool.MinLoad)
	recentPeak, windowCovered := peakLoad(p.now, pool, p.in.Rules.ScaleInWindow)
	capacityTarget := max(plan.Need, p.in.Rules.ForecastMargin*recentPeak)

	current := p.currentCandidates(pool)
	best, runnerUp := p.bestPlacement(pool, current, capacityTarget)
	plan.Chosen, plan.Placement = best.cost, best.String()
	plan.Other, plan.Lost = runnerUp.cost, runnerUp.String()
	p.scaleOut(pool, best, &plan)
	p.stopStuck(pool)
	if windowCovered {
		capacityTarget *= 1 + scaleInMargin
		withMargin, _ := p.bestPlacement(pool, current, capacityTarget)
		p.scaleIn(pool, current, withMargin, capacityTarget)
	}
	p.summarize(pool, &plan)
	p.plans = append(p.plans, plan)
}

// scaleOut orders the new VMs of a placement. It staggers the starts to the rate limit of
// the weight store.
func (p *planner) scaleOut(pool *Pool, best placement, plan *PoolPlan) {
	delayed := 0
	for _, c := range best.candidates {
		if c.vmID != "" || c.orderID != "" {
			continue
		}
		if p.in.Rules.StoreRate > 0 {
			if p.mem.StoreFree.After(p.now.Add(bootDelay)) {
				delayed++
				continue
			}
			storeFree := p.now.Add(bootDelay)
			if p.mem.StoreFree.After(storeFree) {
				storeFree = p.mem.StoreFree
			}
			p.mem.StoreFree = storeFree.Add(time.Duration(pool.WeightBytes / p.in.Rules.StoreRate * float64(time.Second)))
		}
		o := p.submit(Order{
			Action: Start, Offer: c.offer, Pool: pool.Name,
			Why: fmt.Sprintf("need %.0f with headroom %.2f", plan.Need, p.in.Rules.Headroom),
		})
		p.mem.Pending = append(p.mem.Pending, o)
	}
	if delayed > 0 {
		plan.Waiting = append(plan.Waiting, fmt.Sprintf("%d starts wait for the weight store until %s",
			delayed, p.mem.StoreFree.Format(time.TimeOnly)))
	}
	if best.shortfall > 0 {
		plan.Waiting = append(plan.Waiting, fmt.Sprintf("no offer for %.0f of the capacity", best.shortfall))
	}
}

// stopStuck stops VMs that did not become ready in time.
func (p *planner) stopStuck(pool *Pool) {
	for i := range p.in.VMs {
		v := &p.in.VMs[i]
		if v.Pool == pool.Name && p.isStuck(pool, v) {
			p.submit(Order{
				Action: Stop, Offer: v.Offer, Pool: pool.Name, VM: v.ID,
				Why: fmt.Sprintf("not ready after %s", p.now.Sub(v.Since)),
			})
		}
	}
}

// scaleIn stops ready VMs that the placement does not include, as long as the remaining
// ready VMs satisfy the rules.
func (p *planner) scaleIn(pool *Pool, current []candidate, placed placement, need float64) {
	keep := make(map[string]bool)
	for _, c := range placed.candidates {
		keep[c.vmID] = true
	}
	ready := newDomainCapacity()
	for _, c := range current {
		if c.ready {
			ready.add(c.offer, c.capacity)
		}
	}
	for _, c := range slices.Backward(current) {
		if c.vmID == "" || keep[c.vmID] || !c.ready {
			continue
		}
		ready.add(c.offer, -c.capacity)
		if !ready.satisfies(p.in.Rules, need) {
			ready.add(c.offer, c.capacity)
			continue
		}
		p.submit(Order{
			Action: Stop, Offer: c.offer, Pool: pool.Name, VM: c.vmID,
			Why: fmt.Sprintf("need %.0f is met without it", need),
		})
	}
}

// stopOrphans stops the VMs of pools that no longer exist.
func (p *planner) stopOrphans() {
	for _, v := range p.in.VMs {
		known := slices.ContainsFunc(p.in.Pools, func(pool Pool) bool { return pool.Name == v.Pool })
		if !known && v.State != Leaving {
			p.submit(Order{Action: Stop, Offer: v.Offer, Pool: v.Pool, VM: v.ID, Why: "its pool was removed"})
		}
	}
}

// summarize fills in the capacities of a pool's plan and the offers that it waits for.
func (p *planner) summarize(pool *Pool, plan *PoolPlan) {
	capacity := newDomainCapacity()
	for _, c := range p.currentCandidates(pool) {
		if c.ready {
			plan.Ready += c.capacity
		} else {
			plan.Coming += c.capacity
		}
		capacity.add(c.offer, c.capacity)
	}
	plan.Surviving = capacity.surviving()
	for _, b := range p.mem.Backoff {
		if pool.Capacity[b.Offer.Class] > 0 && b.Until.After(p.now) {
			plan.Waiting = append(plan.Waiting, fmt.Sprintf("%s %s refused %d times, next at %s",
				b.Offer.Domain, b.Offer.Class, b.Failures, b.Until.Format(time.TimeOnly)))
		}
	}
}

// forecast returns the current load and the load expected when a VM that is ordered now
// reaches its full capacity. The current load is the mean of the last minute; the
// forecast adds the linear trend over trendWindow and is limited to between half and
// twice the current load.
func forecast(now time.Time, pool *Pool) (load, expected float64) {
	var count, recentSum, sumT, sumL, sumTT, sumTL float64
	var recentCount float64
	for _, s := range pool.Samples {
		age := now.Sub(s.Time)
		if age > trendWindow || age < 0 {
			continue
		}
		t := -age.Seconds()
		count, sumT, sumL, sumTT, sumTL = count+1, sumT+t, sumL+s.Load, sumTT+t*t, sumTL+t*s.Load
		if age <= time.Minute {
			recentSum, recentCount = recentSum+s.Load, recentCount+1
		}
	}
	if count == 0 {
		return 0, 0
	}
	load = sumL / count
	if recentCount > 0 {
		load = recentSum / recentCount
	}
	slope := 0.0
	if d := count*sumTT - sumT*sumT; d > 0 {
		slope = (count*sumTL - sumT*sumL) / d
	}
	expected = load + slope*pool.ColdStart.Seconds()
	return load, math.Max(load/2, math.Min(2*load, expected))
}

// peakLoad returns the highest one-minute mean of the load within the last window, and
// whether the samples cover the whole window.
func peakLoad(now time.Time, pool *Pool, window time.Duration) (float64, bool) {
	sums := make(map[int][2]float64)
	covered := false
	for _, s := range pool.Samples {
		age := now.Sub(s.Time)
		if age >= window {
			covered = true
			continue
		}
		minute := int(age / time.Minute)
		sums[minute] = [2]float64{sums[minute][0] + s.Load, sums[minute][1] + 1}
	}
	peak := 0.0
	for _, s := range sums {
		peak = max(peak, s[0]/s[1])
	}
	return peak, covered
}
