// Package sim runs generated rollouts against simulated nodes, upstreams and
// messages. It is deterministic: a scenario's seed decides everything.
package sim

import (
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

// Fault is the way in which a new version is bad.
type Fault string

// Faults. Good versions have None.
const (
	None  Fault = "none"
	Fails Fault = "fails"
	Slow  Fault = "slow"
	Crash Fault = "crashes"
	Cut   Fault = "cut-short"
)

// Faults lists all faults.
var Faults = []Fault{Fails, Slow, Crash, Cut}

// Onset says when or where a fault shows.
type Onset string

// Onsets of faults.
const (
	AtOnce    Onset = "at-once"
	Later     Onset = "later"
	UnderLoad Onset = "under-load"
	OneRoute  Onset = "one-route"
)

// Onsets lists all onsets.
var Onsets = []Onset{AtOnce, Later, UnderLoad, OneRoute}

// Route is one route's part of the traffic and its usual times.
type Route struct {
	Name   string
	Weight float64
	First  time.Duration
	Tokens float64
}

// Scenario is one generated rollout.
type Scenario struct {
	Seed    uint64
	Rate    float64 // requests per second over all nodes
	Nodes   int
	Routes  []Route
	Domains []Domain
	Rules   rollout.Rules
	Limit   time.Duration // from the start to the deadline

	Fault Fault
	Onset Onset
	// Size is the added rate of bad answers, or the factor of a slow version.
	Size float64
	// Step is the step at which a fault shows that comes later or under load, and
	// After the delay since that step began.
	Step  int
	After time.Duration
	// Route is the index of the only bad route for OneRoute.
	Route int
	// Cold is true when cold upstreams fail and are slow for ColdFor.
	Cold    bool
	ColdFor time.Duration
	// Sessions is true when requests belong to sessions that need one version.
	Sessions bool

	Trouble Trouble
}

// Domain is a failure domain with its part of each version's traffic.
type Domain struct {
	Name     string
	Old, New float64
	// Slow multiplies the times and Fail adds to the failure rate of both versions.
	Slow, Fail float64
}

// Trouble lists the faults injected beside the version's own.
type Trouble struct {
	// Lose, Repeat and Delay are probabilities per message.
	Lose, Repeat, Delay float64
	// Leader is the probability of a leader change in each second; a change also
	// happens right after each step when EachStep is set.
	Leader   float64
	EachStep bool
	// Restart and Silent are probabilities per node and second that the process
	// restarts, or that the node loses contact for up to 20 s.
	Restart, Silent float64
	// Drain is the time after which the first domain is drained; zero for never.
	Drain time.Duration
	// OldGone is the time after which the old version has no upstreams; zero for
	// never.
	OldGone time.Duration
	// Undo is the time of an operator's undo; zero for none.
	Undo time.Duration
}

// Variant selects a naive alternative in place of one mechanism.
type Variant string

// Variants. The empty one is the product.
const (
	GlobalAverage Variant = "global-average"
	ColdMixed     Variant = "cold-mixed"
	NoUndoReserve Variant = "no-undo-reserve"
	PerNodeShare  Variant = "share-per-node"
	AddedGrants   Variant = "grants-added"
	FreshLeader   Variant = "leader-recounts"
	KeptPermits   Variant = "permits-kept"
	FixedSample   Variant = "fixed-sample-test"
	TotalsOnly    Variant = "no-recent-window"
)

// Draw generates a healthy fleet's scenario with a version of the given kind.
// Traffic is 5 to 100 requests a second over 2 to 4 routes of at least 15% each,
// the deadline is 30 to 60 minutes after the start, and a bad version fails at
// least 15% of its answers more or is at least twice as slow.
func Draw(seed uint64, fault Fault, onset Onset) Scenario {
	rng := rand.New(rand.NewPCG(seed, 7))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	s := Scenario{
		Seed: seed, Rate: 5 * pow(20, rng.Float64()), Nodes: 4 + rng.IntN(5), Fault: fault, Onset: onset,
		Limit: time.Duration(between(30, 60) * float64(time.Minute)),
		Rules: rollout.Rules{Steps: []float64{0.05, 0.2, 0.5, 1}, Canary: 0.05, Undo: time.Minute},
		Cold:  rng.IntN(2) == 0, ColdFor: time.Duration(between(10, 50) * float64(time.Second)),
		Step: 1 + rng.IntN(3), After: time.Duration(between(0, 40) * float64(time.Second)),
	}
	s.Size = between(0.15, 0.6)
	if fault == Slow {
		s.Size = between(2, 4)
	}
	n := 2 + rng.IntN(3)
	left := 1 - 0.15*float64(n)
	for i := range n {
		part := left
		if i < n-1 {
			part = left * rng.Float64()
		}
		left -= part
		s.Routes = append(s.Routes, Route{
			Name: string(rune('a' + i)), Weight: 0.15 + part,
			First:  time.Duration(between(50, 500) * float64(time.Millisecond)),
			Tokens: between(1, 150),
		})
	}
	s.Route = rng.IntN(n)
	for i := range 4 {
		s.Domains = append(s.Domains, Domain{
			Name: string(rune('w' + i)), Old: between(0.5, 1.5), New: between(0.1, 2),
			Slow: between(0.8, 1.5), Fail: between(0, 0.01),
		})
	}
	s.Sessions = rng.IntN(2) == 0
	return s
}
