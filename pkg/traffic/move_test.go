package traffic

import (
	"math/rand/v2"
	"testing"
	"time"
)

// version describes the new version in a simulated move.
type version struct {
	failureRate       float64       // of responses, between 0 and 1
	slowdown          float64       // factor on the duration of a response
	faultDelay        time.Duration // time from the start of the move to the fault
	underFullLoadOnly bool          // the fault shows only while the version gets all requests
}

// simulateMove simulates a move at 75 requests/s. Step runs four times a second on
// outcomes that are half a second old.
func simulateMove(seed uint64, v version, timeLimit time.Duration) (exposed, total int, last MoveStep, lastSent time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	m := MoveState{Started: start, Deadline: start.Add(timeLimit), MaxExposure: 0.1, HasUpstreams: true}
	newVersion, oldVersions := Outcomes{Route: "r"}, Outcomes{Route: "r"}
	type sample struct{ newVersion, oldVersions Outcomes }
	var samples []sample
	for ms := 0; ms < int(timeLimit.Milliseconds()); ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%250 == 0 {
			samples = append(samples, sample{newVersion, oldVersions})
			delayed := samples[max(0, len(samples)-3)]
			m.NewVersion, m.OldVersions = []Outcomes{delayed.newVersion}, []Outcomes{delayed.oldVersions}
			last = m.Step(now)
			m.Share = last.Share
			if last.Done || last.UndoReason != "" {
				break
			}
		}
		if rng.Float64() >= 0.075 {
			continue
		}
		total++
		took := time.Duration(50+rng.IntN(100)) * time.Millisecond
		o := &oldVersions
		failed := rng.Float64() < 0.01
		if rng.Float64() < m.Share {
			o, lastSent = &newVersion, now.Sub(start)
			exposed++
			if now.Sub(start) >= v.faultDelay && (!v.underFullLoadOnly || m.Share >= 1) {
				failed = failed || rng.Float64() < v.failureRate
				took = time.Duration(float64(took) * max(1, v.slowdown))
			}
		}
		o.Requests++
		if failed {
			o.Failures++
		} else {
			o.TotalDuration += took
		}
	}
	return exposed, total, last, lastSent
}

// Guards against sending more requests than allowed to a version that is bad from the
// start, later, or only under full load.
func TestBadVersionIsUndoneWithinExposure(t *testing.T) {
	for name, v := range map[string]version{
		"fails":            {failureRate: 0.4},
		"fails later":      {failureRate: 0.5, faultDelay: 4 * time.Second},
		"slow":             {slowdown: 5},
		"fails under load": {failureRate: 0.5, underFullLoadOnly: true},
		"slow under load":  {slowdown: 5, underFullLoadOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				exposed, total, step, _ := simulateMove(seed, v, 12*time.Second)
				if step.UndoReason == "" {
					t.Fatalf("seed %d: the move was not undone", seed)
				}
				if got, want := exposed, int(0.1*75*12)+50; got > want {
					t.Errorf("seed %d: got %d of %d requests, want at most %d", seed, got, total, want)
				}
			}
		})
	}
}

// Guards against a move to a good version that is undone or misses its deadline.
func TestGoodVersionFinishesInTime(t *testing.T) {
	unfinished := 0
	for seed := range uint64(500) {
		if _, _, step, _ := simulateMove(seed, version{}, 12*time.Second); !step.Done {
			unfinished++
		}
	}
	if got, want := unfinished, 5; got > want {
		t.Errorf("got %d of 500 moves to a good version not done, want at most %d", got, want)
	}
}

func TestVersionWithoutUpstreamsIsUndone(t *testing.T) {
	start := time.Unix(0, 0)
	m := MoveState{Started: start, Deadline: start.Add(10 * time.Second), MaxExposure: 0.1, Share: 1}
	if step := m.Step(start.Add(10 * time.Second)); step.UndoReason == "" {
		t.Errorf("got %+v, want it undone", step)
	}
}
