package routing

import (
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"pgregory.net/rapid"
)

func faultLists(kinds ...string) *rapid.Generator[[]fault] {
	one := rapid.Custom(func(t *rapid.T) fault {
		at := time.Duration(rapid.IntRange(100, 900).Draw(t, "at")) * simStep
		return fault{
			At: at, Until: at + time.Duration(rapid.IntRange(5, 400).Draw(t, "length"))*simStep,
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Node: rapid.IntRange(0, 7).Draw(t, "node"),
		}
	})
	return rapid.SliceOfN(one, 1, 8)
}

func scenarios(kinds ...string) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		limit := rapid.IntRange(1, 24).Draw(t, "limit")
		return scenario{
			Seed: rapid.Uint64().Draw(t, "seed"), Nodes: rapid.IntRange(2, 8).Draw(t, "nodes"),
			Start: limit, Limit: limit, Capacity: limit,
			Load:                rapid.Float64Range(0.2, 3).Draw(t, "load"),
			Loss:                rapid.Float64Range(0, 0.3).Draw(t, "loss"),
			Duplication:         rapid.Float64Range(0, 0.3).Draw(t, "dup"),
			Delayed:             rapid.Float64Range(0, 0.2).Draw(t, "late"),
			MeanRequestDuration: time.Duration(rapid.IntRange(50, 3000).Draw(t, "hold")) * time.Millisecond,
			Faults:              faultLists(kinds...).Draw(t, "faults"), Duration: 14 * time.Second,
		}
	})
}

var nodeFaults = []string{"kill", "restart", "cutLeader", "cutPeers"}

func assertNoViolation(t *testing.T, g *rapid.Generator[scenario]) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(g.Draw(t, "scenario")).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSumOfGrantsNeverAboveLimit(t *testing.T) { assertNoViolation(t, scenarios(nodeFaults...)) }

func assertDetected(t *testing.T, g *rapid.Generator[scenario], variants ...string) {
	t.Helper()
	for _, variant := range variants {
		found := false
		for i := 0; i < 300 && !found; i++ {
			s := g.Example(i)
			s.Variant = variant
			if err := newSimulation(s).run(); err != nil {
				t.Logf("%s: example %d: %v", variant, i, err)
				found = true
			}
		}
		if !found {
			t.Errorf("variant %q: got no violation in 300 runs, want one", variant)
		}
	}
}

func TestSumOfGrantsDetectsFaultyVariants(t *testing.T) {
	assertDetected(t, scenarios(nodeFaults...),
		"grants immediately after a takeover", "full limit for each node", "drops unacknowledged grants", "applies grants in any order")
}

func leavingScenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenarios(nodeFaults...).Draw(t, "scenario")
		at := time.Duration(rapid.IntRange(500, 900).Draw(t, "leaves")) * simStep
		s.Faults = append(s.Faults, fault{At: at, Kind: rapid.SampledFrom([]string{"leave", "drain"}).Draw(t, "way")})
		// Nodes that are partitioned from the owner at that time do not receive the
		// smaller grants.
		for i := range rapid.IntRange(0, 3).Draw(t, "cut") {
			s.Faults = append(s.Faults, fault{At: at - simStep, Until: at + 3*time.Second, Kind: "cutPeers", Node: i})
		}
		s.Load, s.MeanRequestDuration = 2, 200*time.Millisecond
		return s
	})
}

// A node that does not receive the smaller grants stops when its session lease or
// its grants expire.
func TestLeavingUpstreamGetsNoRequestsAfterTwoSeconds(t *testing.T) {
	assertNoViolation(t, leavingScenarios())
}

func TestLeavingDetectsFaultyVariants(t *testing.T) {
	assertDetected(t, leavingScenarios(),
		"measures a grant from its receipt", "grants do not expire")
}

func TestSlotRotationDetectsFaultyVariant(t *testing.T) {
	s := scenario{
		Seed: 1, Nodes: 8, Start: 2, Limit: 2, Capacity: 2, Load: 4, MeanRequestDuration: 200 * time.Millisecond, Duration: 20 * time.Second,
		Variant: "keeps slots while they are used",
	}
	sim := newSimulation(s)
	if err := sim.run(); err != nil {
		t.Fatal(err)
	}
	starved := 0
	for _, n := range sim.nodes {
		if sim.now-n.lastStart > 10*time.Second {
			starved++
		}
	}
	if starved == 0 {
		t.Errorf("variant %q: got no starved node, want some", s.Variant)
	}
}

// After the faults have ended, every live node gets slots.
func TestNoNodeStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenarios(nodeFaults...).Draw(t, "scenario")
		s.Loss, s.Delayed, s.Load, s.SteadyAt, s.Duration = min(s.Loss, 0.1), 0, 2, 16*time.Second, 26*time.Second
		s.MeanRequestDuration = min(s.MeanRequestDuration, 500*time.Millisecond)
		for i := range s.Faults {
			if s.Faults[i].Node%s.Nodes == 0 && s.Faults[i].Kind == "kill" {
				s.Faults[i].Kind = "restart" // at least one node has to survive
			}
		}
		assertNoNodeStarves(t, s)
	})
}

func assertNoNodeStarves(t *rapid.T, s scenario) {
	t.Helper()
	sim := newSimulation(s)
	if err := sim.run(); err != nil {
		t.Fatal(err)
	}
	offered := 0.0
	for _, n := range sim.nodes {
		if n.alive {
			offered += s.Load / float64(s.Nodes)
		}
		if wait := sim.now - n.lastStart; n.alive && wait > 10*time.Second {
			t.Errorf("node %s: started no request for %v, want one within 10s", n.name, wait)
		}
	}
	// Killed nodes offer no load.
	want := min(0.4, 0.8*offered)
	if got := float64(sim.openSum) / float64(sim.measuredSteps) / float64(s.Limit); got < want {
		t.Errorf("share of the limit in use after the faults: got %.2f, want at least %.2f", got, want)
	}
}

func coldScenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenarios("kill", "restart", "cutLeader", "cutPeers", "cold", "reborn").Draw(t, "scenario")
		s.AdaptiveLimit, s.Load = true, 2
		s.Start = rapid.IntRange(1, max(1, s.Limit/4)).Draw(t, "start")
		s.MeanRequestDuration = min(s.MeanRequestDuration, time.Second)
		// The upstream is cold for up to 9 s from the start.
		s.Faults = append(s.Faults, fault{
			At: simStep, Until: time.Duration(rapid.IntRange(2, 900).Draw(t, "warm")) * simStep, Kind: "cold",
		})
		return s
	})
}

// An upstream that turns cold without notice may get more requests than it can
// handle for 2 s. A newly started one never does.
func TestColdUpstreamStaysWithinCapacity(t *testing.T) {
	assertNoViolation(t, coldScenarios())
}

func TestColdDetectsFaultyVariants(t *testing.T) {
	assertDetected(t, coldScenarios(),
		"starts at the announced limit", "ignores evidence of a cold upstream", "full limit for each node")
}

// quotaScenarios divide an account's concurrency limit. They leave out the case of
// a node that is partitioned from the leader while its open requests continue, see
// docs/proofs-routing.md.
func quotaScenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenarios("kill", "restart", "cutPeers").Draw(t, "scenario")
		s.Mode = "quota"
		return s
	})
}

func TestAccountLimitHoldsOverAllNodes(t *testing.T) {
	assertNoViolation(t, quotaScenarios())
}

func TestAccountLimitDetectsFaultyVariant(t *testing.T) {
	assertDetected(t, quotaScenarios(), "full limit for each node")
}
