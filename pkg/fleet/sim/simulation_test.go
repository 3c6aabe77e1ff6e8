package sim

import (
	"flag"
	"testing"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"pgregory.net/rapid"
)

var days = flag.Int("days", 1, "number of generated days of the measurement")

// Measures the cost of a day at the latency target. Guards against a planner whose load
// exceeds the ready capacity or that costs more than on-demand VMs alone.
func TestPlannedDayMeetsTargetAtLowerCost(t *testing.T) {
	for _, s := range []Site{Consortium(), Federwerk()} {
		t.Run(s.Name, func(t *testing.T) {
			sums := make(map[Strategy]Outcome)
			for seed := range uint64(*days) {
				for _, st := range []Strategy{Planned, AllOnDemand, CheapestDomain} {
					o, sum := Run(s, st, seed), sums[st]
					sum.Cost += o.Cost
					sum.Recomputed += o.Recomputed
					sum.Overloaded += o.Overloaded / float64(*days)
					sum.Exposed += o.Exposed / float64(*days)
					sum.WorstShortfall = max(sum.WorstShortfall, o.WorstShortfall)
					sum.Starts += o.Starts
					sum.Stops += o.Stops
					sum.Reclaims += o.Reclaims
					sums[st] = sum
				}
			}
			for _, st := range []Strategy{Planned, AllOnDemand, CheapestDomain} {
				o := sums[st]
				t.Logf("%-20s cost %.3f of all-on-demand, %.0f recomputed, %.4f of time over capacity (worst %.2f), %.4f exposed, %d starts, %d stops, %d reclaims",
					st, o.Cost/sums[AllOnDemand].Cost, o.Recomputed, o.Overloaded, o.WorstShortfall, o.Exposed, o.Starts, o.Stops, o.Reclaims)
			}
			if got, want := sums[Planned].Cost, sums[AllOnDemand].Cost; got >= want {
				t.Errorf("got cost %.1f, all on-demand %.1f", got, want)
			}
			if got := sums[Planned].Overloaded; got > 0 {
				t.Errorf("load exceeded the ready capacity for %.5f of the time", got)
			}
		})
	}
}

func faultySite(seed uint64) Site {
	s := Consortium()
	if seed%2 == 1 {
		s = Federwerk()
	}
	s.Hours, s.WavesPerDay, s.ReclaimsPerHour = 1.5, 10, 0.1
	s.LeaseLossProbability, s.ResponseLossProbability, s.RefuseProbability = 0.05, 0.2, 0.2
	return s
}

// Checks the headroom rule, the lease and the replacement of VMs with a reclaim notice
// under waves of reclaims, refused starts, lost responses and lost leases.
func TestPlanKeepsRulesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(t, "seed")
		o := Run(faultySite(seed), Planned, seed)
		if o.OrdersWithoutLease > 0 || o.UnexplainedShortfalls > 0 || o.UnreplacedReclaims > 0 {
			t.Fatalf("seed %d: %+v", seed, o)
		}
	})
}

// Guards against checks that cannot fail: each naive strategy has to break the rule that it
// ignores.
func TestNaivePlansBreakRules(t *testing.T) {
	cases := []struct {
		strategy Strategy
		broken   func(Outcome) int
	}{
		{NoHeadroom, func(o Outcome) int { return o.UnexplainedShortfalls }},
		{StaleLease, func(o Outcome) int { return o.OrdersWithoutLease }},
		{IgnoreNotices, func(o Outcome) int { return o.UnreplacedReclaims }},
	}
	for _, c := range cases {
		t.Run(string(c.strategy), func(t *testing.T) {
			n := 0
			for seed := range uint64(5) {
				n += c.broken(Run(faultySite(seed), c.strategy, seed))
			}
			if n == 0 {
				t.Error("the naive strategy broke no rule")
			}
		})
	}
}

func steadySite() Site {
	s := Consortium()
	s.Flat, s.Hours, s.WavesPerDay, s.ReclaimsPerHour, s.RefuseProbability, s.ResponseLossProbability, s.Noise = true, 4, 0, 0, 0, 0.3, 0.08
	return s
}

// Guards against stopping and starting VMs because of noise in the load, and against
// duplicate orders after lost responses. Without the measures against them, both have to
// occur.
func TestSteadyLoadCausesNoFlapping(t *testing.T) {
	for seed := range uint64(3) {
		o := Run(steadySite(), Planned, seed)
		if o.Flaps > 0 || o.Stops > 0 {
			t.Errorf("seed %d: %+v", seed, o)
		}
	}
	if o := Run(steadySite(), NoScaleInWindow, 0); o.Flaps == 0 {
		t.Error("no flapping without the scale-in window")
	}
	if o := Run(steadySite(), DropPending, 0); o.Stops == 0 {
		t.Error("no surplus VM when pending orders are dropped")
	}
}
