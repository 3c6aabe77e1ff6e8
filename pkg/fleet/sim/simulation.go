package sim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaystage/jaystage/pkg/fleet"
)

const (
	tick           = 10 * time.Second
	planEveryTicks = 3
	// listLag is the delay after which a new VM appears in the platform's list.
	listLag = 40 * time.Second
	// settleTime is the time after a disturbance during which headroom may be missing. It
	// covers a cold start, staggered loads from the weight store and a first backoff.
	settleTime = 25 * time.Minute
)

// Outcome is the result of one simulation.
type Outcome struct {
	Strategy Strategy
	// Cost is the price of all VMs and of the work repeated after reclaims, and
	// Recomputed the amount of that work in tokens or requests.
	Cost, Recomputed float64
	// Overloaded is the fraction of the time in which a pool's load exceeded its ready
	// capacity, and WorstShortfall the largest fraction of a load without capacity.
	Overloaded, WorstShortfall float64
	// Exposed is the fraction of the undisturbed time in which the loss of the failure
	// domain with the most capacity would have left less capacity than the load.
	Exposed float64
	// Starts, Stops and Reclaims count VMs. Flaps counts starts within an hour after a
	// stop in the same pool.
	Starts, Stops, Reclaims, Flaps int
	// OrdersWithoutLease counts orders that were given without a lease.
	// UnexplainedShortfalls counts plans of a pool that miss the headroom rule without
	// listing what they wait for. UnreplacedReclaims counts the times that VMs of a pool
	// were reclaimed before orders restored the headroom.
	OrdersWithoutLease, UnexplainedShortfalls, UnreplacedReclaims int
	// PeakVMs is the largest number of VMs of each pool.
	PeakVMs map[string]int
}

type simulation struct {
	site     Site
	strategy Strategy
	// envRand generates load, reclaim waves and prices, which do not depend on the
	// strategy; rng generates everything else.
	envRand, rng *rand.Rand
	now          time.Time
	outcome      Outcome
	vms          []fleet.VM
	samples      [][]fleet.Sample
	results      []fleet.Result
	memory       fleet.Memory
	processed    map[string]bool
	basePrices   map[fleet.Offer]float64
	offers       []fleet.Offer
	// refusingUntil holds the time until which most starts of reclaimable VMs are
	// refused, by failure domain.
	refusingUntil map[string]time.Time
	// noticed holds the VMs that had a reclaim notice at the last plan.
	noticed          map[string]bool
	leaseRegained    time.Time
	lastDisturbance  time.Time
	lastStop         map[string]time.Time
	lastDecision     fleet.Decision
	ticks            int
	undisturbedTicks int
}

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Run simulates a site for Site.Hours with a strategy for choosing VMs.
func Run(site Site, strategy Strategy, seed uint64) Outcome {
	sim := &simulation{
		site: site, strategy: strategy, now: startTime,
		envRand: rand.New(rand.NewPCG(seed, 17)), rng: rand.New(rand.NewPCG(seed, 19)),
		samples: make([][]fleet.Sample, len(site.Pools)), processed: make(map[string]bool),
		basePrices: make(map[fleet.Offer]float64), refusingUntil: make(map[string]time.Time), lastStop: make(map[string]time.Time),
		lastDisturbance: startTime,
	}
	sim.outcome = Outcome{Strategy: strategy, PeakVMs: make(map[string]int)}
	for _, domain := range site.Domains {
		factor := 0.8 + 0.4*sim.envRand.Float64()
		for _, c := range classes {
			onDemand, reclaimable := fleet.Offer{Class: c.name, Domain: domain}, fleet.Offer{Class: c.name, Domain: domain, Reclaimable: true}
			sim.basePrices[onDemand], sim.basePrices[reclaimable] = c.onDemand*(0.95+0.05*factor), c.reclaimable*factor
			sim.offers = append(sim.offers, onDemand, reclaimable)
		}
	}
	end := startTime.Add(time.Duration(site.Hours * float64(time.Hour)))
	for sim.now.Before(end) {
		sim.step()
	}
	sim.outcome.Overloaded /= float64(sim.ticks)
	sim.outcome.Exposed /= float64(max(1, sim.undisturbedTicks))
	return sim.outcome
}

func (s *simulation) step() {
	t := s.now.Sub(startTime)
	for i := range s.site.Pools {
		load := s.site.Pools[i].Peak * s.site.load(t, s.envRand)
		s.samples[i] = append(s.samples[i], fleet.Sample{Time: s.now, Load: load})
		// 120 samples cover 20 min, more than trendWindow and Rules.ScaleInWindow.
		if keep := 120; len(s.samples[i]) > keep {
			s.samples[i] = s.samples[i][len(s.samples[i])-keep:]
		}
	}
	s.reclaim()
	if s.ticks%planEveryTicks == 0 {
		s.plan()
	}
	s.advanceVMs()
	s.measure()
	s.ticks++
	s.now = s.now.Add(tick)
}

// reclaim gives reclaim notices, to all reclaimable VMs of a domain in a wave or to
// individual ones.
func (s *simulation) reclaim() {
	tickHours := tick.Hours()
	for _, domain := range s.site.Domains {
		wave := s.envRand.Float64() < s.site.WavesPerDay/24*tickHours
		notice := time.Duration(30+s.envRand.IntN(90)) * time.Second
		if wave {
			s.refusingUntil[domain] = s.now.Add(time.Duration(15+s.envRand.IntN(20)) * time.Minute)
			s.lastDisturbance = s.now
		}
		for i := range s.vms {
			v := &s.vms[i]
			if v.Offer.Domain != domain || !v.Offer.Reclaimable || !v.ReclaimAt.IsZero() {
				continue
			}
			if wave || s.rng.Float64() < s.site.ReclaimsPerHour*tickHours {
				v.ReclaimAt = s.now.Add(notice)
				s.lastDisturbance = s.now
			}
		}
	}
}

func (s *simulation) prices() []fleet.Price {
	hour := s.now.Sub(startTime).Hours()
	list := make([]fleet.Price, 0, len(s.offers))
	for i, o := range s.offers {
		p := fleet.Price{Offer: o, PerHour: s.basePrices[o]}
		if o.Reclaimable {
			phase := float64(len(o.Domain) + 5*slices.Index(s.site.Domains, o.Domain))
			if !s.site.Flat {
				p.PerHour *= 1 + 0.25*math.Sin(hour/3+phase) + 0.02*math.Sin(60*hour+float64(i))
			}
			p.ReclaimRate = s.site.ReclaimsPerHour + s.site.WavesPerDay/24
		}
		list = append(list, p)
	}
	return list
}

func (s *simulation) inputs() fleet.Inputs {
	in := fleet.Inputs{
		Rules: s.site.Rules, Prices: s.prices(), VMs: s.listedVMs(), Results: s.results, Memory: s.memory,
		Lease: &fleet.Lease{Token: 7, Expires: s.now.Add(time.Minute)}, Rand: s.rng,
	}
	s.results = nil
	for i, p := range s.site.Pools {
		p.Samples = s.samples[i]
		in.Pools = append(in.Pools, p.Pool)
	}
	if s.now.Before(s.leaseRegained) {
		in.Lease.Expires = s.now
	} else if s.rng.Float64() < s.site.LeaseLossProbability {
		s.leaseRegained = s.now.Add(time.Minute)
		s.lastDisturbance = s.now
	}
	s.applyStrategy(&in)
	return in
}

// listedVMs returns the VMs in the platform's list, in which new VMs appear after listLag.
func (s *simulation) listedVMs() []fleet.VM {
	return slices.DeleteFunc(slices.Clone(s.vms), func(v fleet.VM) bool { return s.now.Sub(v.Since) < listLag })
}

// applyStrategy changes the inputs for a strategy other than Planned.
func (s *simulation) applyStrategy(in *fleet.Inputs) {
	switch s.strategy {
	case AllOnDemand:
		in.Prices = slices.DeleteFunc(in.Prices, func(p fleet.Price) bool { return p.Offer.Reclaimable })
	case CheapestDomain:
		sums := make(map[string]float64)
		for _, p := range in.Prices {
			sums[p.Offer.Domain] += p.PerHour
		}
		cheapest := slices.MinFunc(s.site.Domains, func(a, b string) int {
			if sums[a] < sums[b] {
				return -1
			}
			return 1
		})
		in.Prices = slices.DeleteFunc(in.Prices, func(p fleet.Price) bool { return p.Offer.Domain != cheapest })
		in.Rules.Headroom, in.Rules.OnDemandShare = 0, 0
	case NoHeadroom:
		in.Rules.Headroom, in.Rules.OnDemandShare = 0, 0
	case IgnoreNotices:
		for i := range in.VMs {
			in.VMs[i].ReclaimAt = time.Time{}
		}
	case StaleLease:
		in.Lease.Expires = s.now.Add(time.Hour)
	case DropPending:
		in.Memory.Pending = nil
	case NoScaleInWindow:
		in.Rules.ScaleInWindow, in.Rules.MinAge = time.Second, 0
	}
}

// plan runs the planner and carries out its orders.
func (s *simulation) plan() {
	s.lastDecision = fleet.Plan(s.now, s.inputs())
	s.memory = s.lastDecision.Memory
	s.noticed = make(map[string]bool)
	for _, v := range s.vms {
		s.noticed[v.ID] = !v.ReclaimAt.IsZero()
	}
	for _, p := range s.lastDecision.Pools {
		if p.Surviving < s.site.Rules.Headroom*p.Need-1e-6 && len(p.Waiting) == 0 {
			s.outcome.UnexplainedShortfalls++
		}
	}
	for _, o := range s.lastDecision.Orders {
		// A plan during which the lease is lost still held it, so its orders do not count.
		if s.now.Before(s.leaseRegained) && s.leaseRegained.Sub(s.now) < time.Minute {
			s.outcome.OrdersWithoutLease++
		}
		if o.Action == fleet.Stop {
			s.outcome.Stops++
			s.lastStop[o.Pool] = s.now
			s.vms = slices.DeleteFunc(s.vms, func(v fleet.VM) bool { return v.ID == o.VM })
			continue
		}
		s.startVM(o)
	}
}

// startVM processes a start order as the platform does: the order or its response may be
// lost, the start may be refused, and a resent order has no further effect.
func (s *simulation) startVM(o fleet.Order) {
	if s.processed[o.ID] {
		if !slices.ContainsFunc(s.vms, func(v fleet.VM) bool { return v.OrderID == o.ID }) {
			s.results = append(s.results, fleet.Result{OrderID: o.ID, Refused: true})
		}
		return
	}
	lost := s.rng.Float64() < s.site.ResponseLossProbability
	if lost && s.rng.IntN(2) == 0 {
		return // the order itself was lost
	}
	s.processed[o.ID] = true
	refuseProbability := s.site.RefuseProbability
	if o.Offer.Reclaimable && s.now.Before(s.refusingUntil[o.Offer.Domain]) {
		refuseProbability = 0.7
	}
	if s.rng.Float64() < refuseProbability {
		if !lost {
			s.results = append(s.results, fleet.Result{OrderID: o.ID, Refused: true})
		}
		return
	}
	if at, ok := s.lastStop[o.Pool]; ok && s.now.Sub(at) < time.Hour {
		s.outcome.Flaps++
	}
	s.outcome.Starts++
	price := slices.IndexFunc(s.prices(), func(p fleet.Price) bool { return p.Offer == o.Offer })
	s.vms = append(s.vms, fleet.VM{
		ID: "vm-" + o.ID, OrderID: o.ID, Offer: o.Offer, Pool: o.Pool, State: fleet.Starting, Since: s.now,
		PricePerHour: s.prices()[price].PerHour,
	})
}

func (s *simulation) pool(name string) *Pool {
	i := slices.IndexFunc(s.site.Pools, func(p Pool) bool { return p.Name == name })
	return &s.site.Pools[i]
}

// advanceVMs removes reclaimed VMs, bills the others and marks them as ready after their
// cold start.
func (s *simulation) advanceVMs() {
	reclaimed := map[string]bool{}
	s.vms = slices.DeleteFunc(s.vms, func(v fleet.VM) bool {
		if v.ReclaimAt.IsZero() || s.now.Before(v.ReclaimAt) {
			return false
		}
		s.outcome.Reclaims++
		p := s.pool(v.Pool)
		s.outcome.Recomputed += p.RecomputeSeconds * p.Capacity[v.Offer.Class]
		s.outcome.Cost += v.PricePerHour / 3600 * p.RecomputeSeconds
		reclaimed[v.Pool] = true
		return true
	})
	for i := range s.vms {
		v := &s.vms[i]
		s.outcome.Cost += v.PricePerHour * tick.Hours()
		if v.State == fleet.Starting && s.now.Sub(v.Since) >= s.pool(v.Pool).ColdStart {
			v.State = fleet.Ready
		}
	}
	for name := range reclaimed {
		if !s.replacementPlanned(name) {
			s.outcome.UnreplacedReclaims++
		}
	}
}

// replacementPlanned reports whether the last plan accounted for the VMs of a pool that
// were just reclaimed: the remaining and the ordered VMs provide the headroom, or the plan
// lists what it waits for. VMs whose notice came after that plan count as remaining.
func (s *simulation) replacementPlanned(pool string) bool {
	i := slices.IndexFunc(s.lastDecision.Pools, func(p fleet.PoolPlan) bool { return p.Pool == pool })
	if i < 0 || len(s.lastDecision.Pools[i].Waiting) > 0 {
		return true
	}
	domains := make(map[string]float64)
	total, largest := 0.0, 0.0
	add := func(o fleet.Offer) {
		c := s.pool(pool).Capacity[o.Class]
		domains[o.Domain] += c
		total += c
		largest = max(largest, domains[o.Domain])
	}
	for _, v := range s.listedVMs() {
		if v.Pool == pool && !s.noticed[v.ID] {
			add(v.Offer)
		}
	}
	for _, o := range s.memory.Pending {
		if o.Pool == pool {
			add(o.Offer)
		}
	}
	return total-largest >= s.site.Rules.Headroom*s.lastDecision.Pools[i].Need-1e-6
}

// measure updates the outcome with the ready capacity and the load of this tick.
func (s *simulation) measure() {
	// The fleet starts empty, so the time until it has settled does not count.
	if s.now.Sub(startTime) < settleTime {
		return
	}
	overloaded, exposed := false, false
	for i, p := range s.site.Pools {
		domains := make(map[string]float64)
		total, largest, count := 0.0, 0.0, 0
		for _, v := range s.vms {
			if v.Pool != p.Name {
				continue
			}
			count++
			if v.State == fleet.Ready {
				c := p.Capacity[v.Offer.Class]
				domains[v.Offer.Domain] += c
				total += c
				largest = max(largest, domains[v.Offer.Domain])
			}
		}
		load := s.samples[i][len(s.samples[i])-1].Load
		s.outcome.PeakVMs[p.Name] = max(s.outcome.PeakVMs[p.Name], count)
		s.outcome.WorstShortfall = max(s.outcome.WorstShortfall, 1-total/load)
		overloaded = overloaded || total < load
		exposed = exposed || total-largest < load
	}
	if overloaded {
		s.outcome.Overloaded++
	}
	if s.now.Sub(s.lastDisturbance) > settleTime {
		s.undisturbedTicks++
		if exposed {
			s.outcome.Exposed++
		}
	}
}
