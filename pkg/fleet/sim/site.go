// Package sim simulates the fleet of a deployment under generated load, prices, reclaims
// and refused starts. It is deterministic: the result depends only on the seed and the
// arguments.
package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/pkg/fleet"
)

// Site is a simulated deployment.
type Site struct {
	Name    string
	Domains []string
	Pools   []Pool
	Rules   fleet.Rules
	// WavesPerDay is the mean number of reclaim waves per failure domain and day, and
	// ReclaimsPerHour the mean number of individual reclaims per VM and hour.
	WavesPerDay, ReclaimsPerHour float64
	// RefuseProbability is the probability that a start is refused, and
	// ResponseLossProbability that an order or its response is lost.
	RefuseProbability, ResponseLossProbability float64
	// LeaseLossProbability is the probability per plan that the lease is lost for a minute.
	LeaseLossProbability float64
	// Noise is the standard deviation of the load relative to its mean. Flat removes the
	// daily pattern of the load and the variation of prices.
	Noise float64
	Flat  bool
	Hours float64
}

// Pool is a pool together with its peak load.
type Pool struct {
	fleet.Pool
	Peak float64
}

// class is a class of VM with its prices per hour.
type class struct {
	name                  string
	onDemand, reclaimable float64
}

var classes = []class{{"gpu-a", 2.0, 0.7}, {"gpu-b", 4.2, 1.3}, {"cpu", 0.2, 0.07}}

func newSite(name string, domains []string, modelPeak, plainPeak float64) Site {
	model := fleet.Pool{
		Name: "model", Service: "desk", Model: "base", Adapter: "site", Version: "1", Role: "mixed", Priority: 1,
		Capacity: map[string]float64{"gpu-a": 1000, "gpu-b": 1800}, ColdStart: 4 * time.Minute, WeightBytes: 30e9, RecomputeSeconds: 20,
	}
	booking := fleet.Pool{
		Name: "booking", Service: "booking", Version: "1", Role: "plain", Capacity: map[string]float64{"cpu": 50},
		ColdStart: time.Minute, WeightBytes: 1e9,
	}
	return Site{
		Name: name, Domains: domains, Pools: []Pool{{model, modelPeak}, {booking, plainPeak}},
		Rules: fleet.Rules{
			Headroom: 1, ForecastMargin: 1.15, OnDemandShare: 0.25, ScaleInWindow: 15 * time.Minute, MinAge: time.Hour, StoreRate: 1e9,
		},
		WavesPerDay: 2, ReclaimsPerHour: 0.02, RefuseProbability: 0.1, Noise: 0.05, Hours: 24,
	}
}

// Consortium returns a site with about 12 model upstreams and 4 booking upstreams at peak.
func Consortium() Site {
	return newSite("consortium", []string{"gulberg", "model-town", "johar-town", "cantt"}, 7800, 130)
}

// Federwerk returns a site with about 9 model upstreams and 4 booking upstreams at peak.
func Federwerk() Site {
	return newSite("federwerk", []string{"vienna-1", "vienna-2", "vienna-3", "lower-austria"}, 5900, 130)
}

// Strategy selects how VMs are chosen.
type Strategy string

// Strategies. Planned uses fleet.Plan unchanged. The others serve for comparison or show
// that a check can fail.
const (
	Planned         Strategy = "planned"
	AllOnDemand     Strategy = "all-on-demand"
	CheapestDomain  Strategy = "cheapest-domain-only"
	NoHeadroom      Strategy = "no-headroom"
	IgnoreNotices   Strategy = "notices-ignored"
	StaleLease      Strategy = "lease-not-checked"
	NoScaleInWindow Strategy = "no-hold"
	DropPending     Strategy = "orders-forgotten"
)

// load returns the load relative to its peak at a time of day: low at night, with a peak
// in the evening and a rapid rise at 9.
func (s *Site) load(t time.Duration, rng *rand.Rand) float64 {
	share := 0.7
	if !s.Flat {
		h := math.Mod(t.Hours(), 24)
		bump := func(at, width float64) float64 { return math.Exp(-(h - at) * (h - at) / (2 * width * width)) }
		share = 0.2 + 0.45*bump(12, 3) + 0.75*bump(19.5, 2)
		if h >= 9 && h < 18 {
			share += 0.1 * min(1, (h-9)*6)
		}
	}
	return min(1, share) * (1 + s.Noise*rng.NormFloat64())
}
