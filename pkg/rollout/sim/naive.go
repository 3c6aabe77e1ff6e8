package sim

import (
	"math"
	"time"

	"github.com/jaystage/jaystage/pkg/rollout"
)

// naiveEvidence returns the evidence that a variant passes to Step.
func naiveEvidence(v Variant, e rollout.Evidence) rollout.Evidence {
	switch v {
	case GlobalAverage:
		e.Total, e.Recent = average(e.Total), average(e.Recent)
	case TotalsOnly:
		e.Recent, e.WindowsPassed = nil, 0
	}
	return e
}

func average(s rollout.CountSet) rollout.CountSet {
	out := rollout.CountSet{}
	for k, c := range s {
		out.GetOrCreate(rollout.Key{Version: k.Version, Cold: k.Cold}).Merge(c)
	}
	return out
}

// fixedSample repeats a one-sided test, whose 1% significance level holds for a single
// evaluation only, at every decision of the leader.
func fixedSample(now time.Time, r rollout.Rollout, e rollout.Evidence, d rollout.Decision) rollout.Decision {
	var n, bad [2]float64
	for k, c := range e.Total {
		if k.Cold {
			continue
		}
		i := 0
		if k.Version == r.To {
			i = 1
		}
		n[i] += float64(c.Requests)
		bad[i] += float64(c.Failures + c.Crashes + c.Truncated)
	}
	if n[0] < 30 || n[1] < 30 {
		return d
	}
	p := (bad[0] + bad[1]) / (n[0] + n[1])
	z := (bad[1]/n[1] - bad[0]/n[0]) / math.Sqrt(max(1e-9, p*(1-p)*(1/n[0]+1/n[1])))
	if z < 2.33 {
		return d
	}
	next, err := rollout.Rollback(now, r, "fixed-sample test")
	if err != nil {
		return d
	}
	next.Bad = true
	return rollout.Decision{Rollout: next, Changed: true}
}
