package traffic

import (
	"math/rand/v2"
	"testing"
	"time"
)

// version is a new version in a small model of a move.
type version struct {
	failing float64       // share of answers that fail
	slow    float64       // factor on the time to an answer
	after   time.Duration // when the fault begins
	load    bool          // the fault shows only when it gets all requests
}

// play runs a move of 75 requests a second with a judge that looks four times a
// second at counts that are half a second old.
func play(seed uint64, v version, within time.Duration) (exposed, total int, last MoveStep, lastSent time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	m := MoveState{Started: start, Deadline: start.Add(within), Exposure: 0.1, Present: true}
	next, before := Outcomes{Route: "r"}, Outcomes{Route: "r"}
	type look struct{ next, before Outcomes }
	var looks []look
	for ms := 0; ms < int(within.Milliseconds()); ms++ {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%250 == 0 {
			looks = append(looks, look{next, before})
			old := looks[max(0, len(looks)-3)]
			m.Next, m.Before = []Outcomes{old.next}, []Outcomes{old.before}
			last = m.Step(now)
			m.Share = last.Share
			if last.Done || last.Undo != "" {
				break
			}
		}
		if rng.Float64() >= 0.075 {
			continue
		}
		total++
		took := time.Duration(50+rng.IntN(100)) * time.Millisecond
		o := &before
		bad := rng.Float64() < 0.01
		if rng.Float64() < m.Share {
			o, lastSent = &next, now.Sub(start)
			exposed++
			if now.Sub(start) >= v.after && (!v.load || m.Share >= 1) {
				bad = bad || rng.Float64() < v.failing
				took = time.Duration(float64(took) * max(1, v.slow))
			}
		}
		o.Sent++
		if bad {
			o.Bad++
		} else {
			o.Took += took
		}
	}
	return exposed, total, last, lastSent
}

// Load pattern: a version that is bad at once, later, or under load. Guards against
// more than the allowed share for it.
func TestBadVersionIsTakenBackWithinItsShare(t *testing.T) {
	for name, v := range map[string]version{
		"fails":            {failing: 0.4},
		"fails later":      {failing: 0.5, after: 4 * time.Second},
		"slow":             {slow: 5},
		"fails under load": {failing: 0.5, load: true},
		"slow under load":  {slow: 5, load: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				exposed, total, step, _ := play(seed, v, 12*time.Second)
				if step.Undo == "" {
					t.Fatalf("seed %d: the version was kept", seed)
				}
				if got, want := exposed, int(0.1*75*12)+50; got > want {
					t.Errorf("seed %d: got %d of %d requests, want at most %d", seed, got, total, want)
				}
			}
		})
	}
}

// Guards against a good version that is taken back or late.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	undone := 0
	for seed := range uint64(500) {
		if _, _, step, _ := play(seed, version{}, 12*time.Second); !step.Done {
			undone++
		}
	}
	if got, want := undone, 5; got > want {
		t.Errorf("got %d of 500 good versions not done, want at most %d", got, want)
	}
}

func TestVersionWithoutUpstreamsIsNotDone(t *testing.T) {
	start := time.Unix(0, 0)
	m := MoveState{Started: start, Deadline: start.Add(10 * time.Second), Exposure: 0.1, Share: 1}
	if step := m.Step(start.Add(10 * time.Second)); step.Undo == "" {
		t.Errorf("got %+v, want it undone", step)
	}
}
