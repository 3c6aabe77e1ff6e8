// Package sim runs generated rollouts against simulated nodes, upstreams and
// messages. It is deterministic: the result depends only on the scenario and variant.
package sim

import (
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

// Fault is the kind of fault that a new version has.
type Fault string

// Faults. Good versions have FaultNone.
const (
	FaultNone      Fault = "none"
	FaultFailures  Fault = "fails"
	FaultSlow      Fault = "slow"
	FaultCrashes   Fault = "crashes"
	FaultTruncated Fault = "cut-short"
)

// Faults lists the faults of bad versions.
var Faults = []Fault{FaultFailures, FaultSlow, FaultCrashes, FaultTruncated}

// Onset determines when or where a fault occurs.
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

// Route holds the traffic weight and the typical request of one route.
type Route struct {
	Name             string
	Weight           float64
	TimeToFirstToken time.Duration
	MedianTokens     float64
}

// Scenario holds the parameters of one generated rollout.
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
	// Severity is the added rate of bad answers or, for FaultSlow, the factor by which
	// durations increase.
	Severity float64
	// OnsetStep is the step at which a fault with OnsetDelayed or OnsetUnderLoad starts, and
	// OnsetDelay the additional delay for OnsetDelayed.
	OnsetStep  int
	OnsetDelay time.Duration
	// BadRoute is the index of the affected route for OnsetOneRoute.
	BadRoute int
	// ColdFaults is true if cold upstreams are slower and fail more often for ColdFor.
	ColdFaults bool
	ColdFor    time.Duration
	// Sessions is true if requests belong to sessions that stay on one version.
	Sessions bool

	Injected InjectedFaults
}

// Domain is a failure domain with its traffic weight for each version.
type Domain struct {
	Name                 string
	OldWeight, NewWeight float64
	// SlowFactor multiplies the durations of both versions, and AddedFailureRate is added
	// to their failure rates.
	SlowFactor, AddedFailureRate float64
}

// InjectedFaults configures the faults that are injected in addition to the version's own.
type InjectedFaults struct {
	// LossRate, DuplicateRate and DelayRate are probabilities per message.
	LossRate, DuplicateRate, DelayRate float64
	// LeaderChangeRate is the probability of a leader change per second. If
	// LeaderChangeOnStep is set, one also follows each change of the rollout state.
	LeaderChangeRate   float64
	LeaderChangeOnStep bool
	// RestartRate and PartitionRate are the probabilities per node and second that the
	// process restarts, or that the node is partitioned for up to 20 s.
	RestartRate, PartitionRate float64
	// DrainAfter is the time after which the first failure domain is drained; zero for
	// never.
	DrainAfter time.Duration
	// OldGoneAfter is the time after which the old version has no upstreams; zero for
	// never.
	OldGoneAfter time.Duration
	// RollbackAfter is the time of an operator's rollback request; zero for none.
	RollbackAfter time.Duration
}

// Variant selects a naive implementation of one mechanism, which shows that the checks
// detect its faults.
type Variant string

// Variants. The empty variant is the unmodified implementation.
const (
	// GlobalAverage compares the versions over all routes, classes and domains at once.
	GlobalAverage Variant = "global-average"
	// ColdIncluded counts the answers of cold upstreams like those of warm ones.
	ColdIncluded Variant = "cold-mixed"
	// NoRollbackReserve reserves no time for a rollback before the deadline.
	NoRollbackReserve Variant = "no-undo-reserve"
	// PerNodeShare has each node apply the share to its own traffic, without permits.
	PerNodeShare Variant = "share-per-node"
	// IncrementalGrants sends grants as increments instead of totals.
	IncrementalGrants Variant = "grants-added"
	// LeaderRecounts has a new leader grant permits for traffic of earlier terms.
	LeaderRecounts Variant = "leader-recounts"
	// KeptPermits lets nodes use their permits after the share became zero.
	KeptPermits Variant = "permits-kept"
	// FixedSample judges by a fixed-sample test instead of the sequential test.
	FixedSample Variant = "fixed-sample-test"
	// TotalsOnly passes no Evidence.Recent to Step.
	TotalsOnly Variant = "no-recent-window"
)

// Generate returns a scenario without injected faults for a version with the given fault
// and onset. Traffic is 5 to 100 requests per second over 2 to 4 routes with at least 15%
// each, and the deadline is 30 to 60 minutes after the start. A bad version's failure
// rate is at least 15 percentage points higher, or it is at least twice as slow.
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
