package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	resendAfter  = 20 * time.Second
	backoffBase  = 30 * time.Second
	backoffLimit = 15 * time.Minute
	// trendWindow is the part of the samples that the trend is taken from.
	trendWindow = 10 * time.Minute
	// slack is the part by which load must be able to rise again without a start
	// before VMs are stopped.
	slack = 0.15
	// stuckAfter is the number of cold starts after which a VM that is not ready is
	// replaced.
	stuckAfter = 3
	// boot is the time from an order until a VM reads from the weight store.
	boot = 30 * time.Second
)

// Plan decides which VMs to start and stop. It gives no orders without a valid
// lease. The caller keeps Decision.Memory for the next plan.
func Plan(now time.Time, in Inputs) Decision {
	p := planner{now: now, in: &in, mem: in.Memory}
	p.mem.Pending = slices.Clone(in.Memory.Pending)
	p.mem.Backoff = slices.Clone(in.Memory.Backoff)
	p.answers()
	if in.Lease == nil || !now.Before(in.Lease.Expires) {
		return Decision{Refused: "no valid lease", Memory: p.mem}
	}
	p.resend()
	pools := slices.Clone(in.Pools)
	slices.SortStableFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Priority, b.Priority) })
	for i := range pools {
		p.pool(&pools[i])
	}
	p.orphans()
	return Decision{Orders: p.orders, Pools: p.plans, Memory: p.mem}
}

type planner struct {
	now    time.Time
	in     *Inputs
	mem    Memory
	orders []Order
	plans  []PoolPlan
}

// answers takes in the platform's answers and drops orders whose VM is listed.
func (p *planner) answers() {
	for _, r := range p.in.Results {
		i := slices.IndexFunc(p.mem.Pending, func(o Order) bool { return o.ID == r.Order })
		if i < 0 || !r.Refused {
			continue
		}
		p.backoff(p.mem.Pending[i].Offer)
		p.mem.Pending = slices.Delete(p.mem.Pending, i, i+1)
	}
	p.mem.Pending = slices.DeleteFunc(p.mem.Pending, func(o Order) bool {
		i := slices.IndexFunc(p.in.VMs, func(v VM) bool { return v.Order == o.ID })
		if i >= 0 {
			p.mem.Backoff = slices.DeleteFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o.Offer })
		}
		return i >= 0
	})
}

func (p *planner) backoff(o Offer) {
	i := slices.IndexFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o })
	if i < 0 {
		i = len(p.mem.Backoff)
		p.mem.Backoff = append(p.mem.Backoff, Backoff{Offer: o})
	}
	b := &p.mem.Backoff[i]
	if b.Until.After(p.now) {
		return
	}
	wait := min(backoffLimit, backoffBase<<min(b.Failures, 10))
	b.Failures++
	b.Until = p.now.Add(time.Duration((0.5 + p.in.Rand.Float64()) * float64(wait)))
}

func (p *planner) blocked(o Offer) bool {
	return slices.ContainsFunc(p.mem.Backoff, func(b Backoff) bool { return b.Offer == o && b.Until.After(p.now) })
}

// resend repeats orders whose answer was lost, under their first id.
func (p *planner) resend() {
	for i := range p.mem.Pending {
		o := &p.mem.Pending[i]
		if p.now.Sub(o.Sent) >= resendAfter {
			o.Sent, o.Fencing = p.now, p.in.Lease.Token
			p.orders = append(p.orders, *o)
		}
	}
}

func (p *planner) order(o Order) Order {
	p.mem.Sequence++
	o.ID = fmt.Sprintf("%d-%d", p.in.Lease.Token, p.mem.Sequence)
	o.Fencing, o.Sent = p.in.Lease.Token, p.now
	p.orders = append(p.orders, o)
	return o
}

// pool plans one pool: what it needs, the cheapest placement, and the orders
// that lead there.
func (p *planner) pool(pool *Pool) {
	plan := PoolPlan{Pool: pool.Name}
	plan.Load, plan.Forecast = forecast(p.now, pool)
	plan.Need = max(p.in.Rules.Margin*max(plan.Load, plan.Forecast), pool.Least)
	held, long := highest(p.now, pool, p.in.Rules.Hold)
	hold := max(plan.Need, p.in.Rules.Margin*held)

	units := p.units(pool)
	best, other := p.place(pool, units, hold)
	plan.Chosen, plan.Placement = best.cost, best.String()
	plan.Other, plan.Lost = other.cost, other.String()
	p.start(pool, best, &plan)
	p.giveUp(pool)
	if long {
		hold *= 1 + slack
		roomy, _ := p.place(pool, units, hold)
		p.stop(pool, units, roomy, hold)
	}
	p.describe(pool, &plan)
	p.plans = append(p.plans, plan)
}

// start orders the new units of a placement, staggered to the weight store.
func (p *planner) start(pool *Pool, best placement, plan *PoolPlan) {
	waiting := 0
	for _, u := range best.units {
		if u.vm != "" || u.order != "" {
			continue
		}
		if p.in.Rules.StoreRate > 0 {
			if p.mem.StoreFree.After(p.now.Add(boot)) {
				waiting++
				continue
			}
			free := p.now.Add(boot)
			if p.mem.StoreFree.After(free) {
				free = p.mem.StoreFree
			}
			p.mem.StoreFree = free.Add(time.Duration(pool.Weights / p.in.Rules.StoreRate * float64(time.Second)))
		}
		o := p.order(Order{
			Action: Start, Offer: u.offer, Pool: pool.Name,
			Why: fmt.Sprintf("need %.0f with headroom %.2f", plan.Need, p.in.Rules.Headroom),
		})
		p.mem.Pending = append(p.mem.Pending, o)
	}
	if waiting > 0 {
		plan.Waiting = append(plan.Waiting, fmt.Sprintf("%d starts wait for the weight store until %s",
			waiting, p.mem.StoreFree.Format(time.TimeOnly)))
	}
	if best.short > 0 {
		plan.Waiting = append(plan.Waiting, fmt.Sprintf("no offer for %.0f of the capacity", best.short))
	}
}

// giveUp stops VMs that never became ready.
func (p *planner) giveUp(pool *Pool) {
	for i := range p.in.VMs {
		v := &p.in.VMs[i]
		if v.Pool == pool.Name && p.stuck(pool, v) {
			p.order(Order{
				Action: Stop, Offer: v.Offer, Pool: pool.Name, VM: v.ID,
				Why: fmt.Sprintf("not ready after %s", p.now.Sub(v.Since)),
			})
		}
	}
}

// stop gives up VMs that the placement does without, as long as the ready ones
// that remain keep the headroom.
func (p *planner) stop(pool *Pool, units []unit, best placement, need float64) {
	keep := make(map[string]bool)
	for _, u := range best.units {
		keep[u.vm] = true
	}
	ready := newLevels()
	for _, u := range units {
		if u.ready {
			ready.add(u.offer, u.capacity)
		}
	}
	for _, u := range slices.Backward(units) {
		if u.vm == "" || keep[u.vm] || !u.ready {
			continue
		}
		ready.add(u.offer, -u.capacity)
		if !ready.enough(p.in.Rules, need) {
			ready.add(u.offer, u.capacity)
			continue
		}
		p.order(Order{
			Action: Stop, Offer: u.offer, Pool: pool.Name, VM: u.vm,
			Why: fmt.Sprintf("need %.0f is met without it", need),
		})
	}
}

// orphans stops VMs of pools that no longer exist.
func (p *planner) orphans() {
	for _, v := range p.in.VMs {
		known := slices.ContainsFunc(p.in.Pools, func(pool Pool) bool { return pool.Name == v.Pool })
		if !known && v.State != Leaving {
			p.order(Order{Action: Stop, Offer: v.Offer, Pool: v.Pool, VM: v.ID, Why: "its pool was removed"})
		}
	}
}

func (p *planner) describe(pool *Pool, plan *PoolPlan) {
	all := newLevels()
	for _, u := range p.units(pool) {
		if u.ready {
			plan.Ready += u.capacity
		} else {
			plan.Coming += u.capacity
		}
		all.add(u.offer, u.capacity)
	}
	plan.Surviving = all.surviving()
	for _, b := range p.mem.Backoff {
		if pool.Capacity[b.Offer.Class] > 0 && b.Until.After(p.now) {
			plan.Waiting = append(plan.Waiting, fmt.Sprintf("%s %s refused %d times, next at %s",
				b.Offer.Domain, b.Offer.Class, b.Failures, b.Until.Format(time.TimeOnly)))
		}
	}
}

// forecast returns the present load and the load expected when a VM that is
// ordered now has its full capacity: the mean of the last minute plus the linear
// trend, between half and twice the present load.
func forecast(now time.Time, pool *Pool) (load, expected float64) {
	var n, sum, st, sl, stt, stl float64
	var recent float64
	for _, s := range pool.Samples {
		age := now.Sub(s.Time)
		if age > trendWindow || age < 0 {
			continue
		}
		t := -age.Seconds()
		n, st, sl, stt, stl = n+1, st+t, sl+s.Load, stt+t*t, stl+t*s.Load
		if age <= time.Minute {
			sum, recent = sum+s.Load, recent+1
		}
	}
	if n == 0 {
		return 0, 0
	}
	load = sl / n
	if recent > 0 {
		load = sum / recent
	}
	slope := 0.0
	if d := n*stt - st*st; d > 0 {
		slope = (n*stl - st*sl) / d
	}
	expected = load + slope*pool.ColdStart.Seconds()
	return load, math.Max(load/2, math.Min(2*load, expected))
}

// highest returns the highest one-minute load within the last span, and whether
// the samples reach back that far.
func highest(now time.Time, pool *Pool, span time.Duration) (float64, bool) {
	sums := make(map[int][2]float64)
	long := false
	for _, s := range pool.Samples {
		age := now.Sub(s.Time)
		if age >= span {
			long = true
			continue
		}
		m := int(age / time.Minute)
		sums[m] = [2]float64{sums[m][0] + s.Load, sums[m][1] + 1}
	}
	high := 0.0
	for _, s := range sums {
		high = max(high, s[0]/s[1])
	}
	return high, long
}
