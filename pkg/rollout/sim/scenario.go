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

// Faults. Good versions have FaultNone.
const (
	FaultNone      Fault = "none"
	FaultFailures  Fault = "fails"
	FaultSlow      Fault = "slow"
	FaultCrashes   Fault = "crashes"
	FaultTruncated Fault = "cut-short"
)

// Faults lists all faults.
var Faults = []Fault{FaultFailures, FaultSlow, FaultCrashes, FaultTruncated}

// Onset says when or where a fault shows.
type Onset string

// Onsets of faults.
const (
	OnsetImmediate Onset = "at-once"
	OnsetDelayed   Onset = "later"
	OnsetUnderLoad Onset = "under-load"
	OnsetOneRoute  Onset = "one-route"
)

// Onsets lists all onsets.
var Onsets = []Onset{OnsetImmediate, OnsetDelayed, OnsetUnderLoad, OnsetOneRoute}

// Route is one route's part of the traffic and its usual times.
type Route struct {
	Name             string
	Weight           float64
	TimeToFirstToken time.Duration
	MedianTokens     float64
}

// Scenario is one generated rollout.
type Scenario struct {
	Seed      uint64
	Rate      float64 // requests per second over all nodes
	Nodes     int
	Routes    []Route
	Domains   []Domain
	Rules     rollout.Rules
	TimeLimit time.Duration // from the start to the deadline

	Fault Fault
	Onset Onset
	// Severity is the added rate of bad answers, or the factor of a slow version.
	Severity float64
	// OnsetStep is the step at which a fault shows that comes later or under load, and
	// After the delay since that step began.
	OnsetStep  int
	OnsetDelay time.Duration
	// BadRoute is the index of the only bad route for OneRoute.
	BadRoute int
	// ColdFaults is true when cold upstreams fail and are slow for ColdFor.
	ColdFaults bool
	ColdFor    time.Duration
	// Sessions is true when requests belong to sessions that need one version.
	Sessions bool

	Injected InjectedFaults
}

// Domain is a failure domain with its part of each version's traffic.
type Domain struct {
	Name                 string
	OldWeight, NewWeight float64
	// SlowFactor multiplies the times and AddedFailureRate adds to the failure rate of both versions.
	SlowFactor, AddedFailureRate float64
}

// InjectedFaults lists the faults injected beside the version's own.
type InjectedFaults struct {
	// LossRate, DuplicateRate and DelayRate are probabilities per message.
	LossRate, DuplicateRate, DelayRate float64
	// LeaderChangeRate is the probability of a leader change in each second; a change also
	// happens right after each step when EachStep is set.
	LeaderChangeRate   float64
	LeaderChangeOnStep bool
	// RestartRate and PartitionRate are probabilities per node and second that the process
	// restarts, or that the node loses contact for up to 20 s.
	RestartRate, PartitionRate float64
	// DrainAfter is the time after which the first domain is drained; zero for never.
	DrainAfter time.Duration
	// OldGoneAfter is the time after which the old version has no upstreams; zero for
	// never.
	OldGoneAfter time.Duration
	// RollbackAfter is the time of an operator's undo; zero for none.
	RollbackAfter time.Duration
}

// Variant selects a naive alternative in place of one mechanism.
type Variant string

// Variants. The empty one is the product.
const (
	GlobalAverage     Variant = "global-average"
	ColdIncluded      Variant = "cold-mixed"
	NoRollbackReserve Variant = "no-undo-reserve"
	PerNodeShare      Variant = "share-per-node"
	IncrementalGrants Variant = "grants-added"
	LeaderRecounts    Variant = "leader-recounts"
	KeptPermits       Variant = "permits-kept"
	FixedSample       Variant = "fixed-sample-test"
	TotalsOnly        Variant = "no-recent-window"
)

// Generate generates a healthy fleet's scenario with a version of the given kind.
// Traffic is 5 to 100 requests a second over 2 to 4 routes of at least 15% each,
// the deadline is 30 to 60 minutes after the start, and a bad version fails at
// least 15% of its answers more or is at least twice as slow.
func Generate(seed uint64, fault Fault, onset Onset) Scenario {
	rng := rand.New(rand.NewPCG(seed, 7))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	s := Scenario{
		Seed: seed, Rate: 5 * pow(20, rng.Float64()), Nodes: 4 + rng.IntN(5), Fault: fault, Onset: onset,
		TimeLimit:  time.Duration(between(30, 60) * float64(time.Minute)),
		Rules:      rollout.Rules{Steps: []float64{0.05, 0.2, 0.5, 1}, Canary: 0.05, RollbackReserve: time.Minute},
		ColdFaults: rng.IntN(2) == 0, ColdFor: time.Duration(between(10, 50) * float64(time.Second)),
		OnsetStep: 1 + rng.IntN(3), OnsetDelay: time.Duration(between(0, 40) * float64(time.Second)),
	}
	s.Severity = between(0.15, 0.6)
	if fault == FaultSlow {
		s.Severity = between(2, 4)
	}
	routes := 2 + rng.IntN(3)
	remainingWeight := 1 - 0.15*float64(routes)
	for i := range routes {
		extraWeight := remainingWeight
		if i < routes-1 {
			extraWeight = remainingWeight * rng.Float64()
		}
		remainingWeight -= extraWeight
		s.Routes = append(s.Routes, Route{
			Name: string(rune('a' + i)), Weight: 0.15 + extraWeight,
			TimeToFirstToken: time.Duration(between(50, 500) * float64(time.Millisecond)),
			MedianTokens:     between(1, 150),
		})
	}
	s.BadRoute = rng.IntN(routes)
	for i := range 4 {
		s.Domains = append(s.Domains, Domain{
			Name: string(rune('w' + i)), OldWeight: between(0.5, 1.5), NewWeight: between(0.1, 2),
			SlowFactor: between(0.8, 1.5), AddedFailureRate: between(0, 0.01),
		})
	}
	s.Sessions = rng.IntN(2) == 0
	return s
}
