package sim

import (
	"flag"
	"os"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/rollout"
)

var (
	rollouts = flag.Int("rollouts", 32, "number of generated rollouts to simulate")
	first    = flag.Uint64("first", 0, "seed of the first generated rollout, even")
)

// Guards against rolling back good versions, finishing the rollout of bad ones, and
// giving a bad version more traffic than allowed. The bounds are the design's targets.
func TestErrorRatesAndExposure(t *testing.T) {
	m := Measure(Scenarios(*rollouts, *first), "")
	m.Print(os.Stdout)
	if m.GoodInTime+m.FalseAlarms != m.Good || float64(m.FalseAlarms) >= 0.01*float64(m.Good) {
		t.Errorf("got %d of %d good versions completed before the deadline, %d judged bad", m.GoodInTime, m.Good, m.FalseAlarms)
	}
	if m.BadRolledBack != m.Bad || m.Late > 0 {
		t.Errorf("got %d of %d bad versions rolled back, %d rollouts after the deadline", m.BadRolledBack, m.Bad, m.Late)
	}
	if m.MaxExcess > 1e-6 {
		t.Errorf("the share limit was exceeded by %.3f requests", m.MaxExcess)
	}
	for _, r := range m.Wrong {
		t.Errorf("seed %d %s %s: %s at step %d, %+v", r.Scenario.Seed, r.Scenario.Fault, r.Scenario.Onset,
			r.Rollout.Phase, r.Rollout.Step, r.Rollout.Cause)
	}
	for _, r := range m.Results {
		bad := r.Scenario.Fault != FaultNone
		if part := r.BadRequests / r.Requests; bad && part > 0.05 {
			t.Errorf("seed %d %s %s: the bad version got %.4f of the traffic at %.1f/s, %+v",
				r.Scenario.Seed, r.Scenario.Fault, r.Scenario.Onset, part, r.Scenario.Rate, r.Rollout.Cause)
		}
		if bad && r.Rollout.Phase == rollout.RolledBack && r.LastNewRequest-r.JudgedAt > 5*time.Second {
			t.Errorf("seed %d: last request %s after the verdict", r.Scenario.Seed, r.LastNewRequest-r.JudgedAt)
		}
	}
}
