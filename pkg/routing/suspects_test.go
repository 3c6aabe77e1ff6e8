package routing

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashes runs a cell of nodes with requests of which some crash each upstream
// that runs them, while callers resend and nodes exchange entries late, in any
// order and more than once. It returns how many upstreams each poison crashed,
// and how many innocent requests were refused.
func crashes(seed uint64, variant string) (most, refused int) {
	rng := rand.New(rand.NewPCG(seed, 4))
	nodes := make([]*Suspects, 4)
	for i := range nodes {
		nodes[i] = NewSuspects(64, time.Minute)
	}
	now := time.Unix(0, 0)
	crashed := map[Fingerprint]int{}
	var late []Suspect
	poison := func(f Fingerprint) bool { return f%10 == 0 }
	for round := range 60 {
		now = now.Add(100 * time.Millisecond)
		upstream := "u" + strconv.Itoa(rng.IntN(8))
		n := nodes[rng.IntN(len(nodes))]
		flight := map[Fingerprint]bool{}
		alone := false
		for range 1 + rng.IntN(4) {
			f := Fingerprint(rng.IntN(40))
			ruling, _ := n.Check(now, f)
			if ruling == Refused {
				if !poison(f) {
					refused++
				}
				continue
			}
			if ruling == Alone && variant != "retries with others" {
				if len(flight) > 0 {
					continue
				}
				alone = true
			}
			flight[f] = true
			if alone {
				break
			}
		}
		crash := false
		var all []Fingerprint
		for f := range flight {
			all = append(all, f)
			crash = crash || poison(f)
		}
		for _, f := range all {
			if poison(f) {
				crashed[f]++
				most = max(most, crashed[f])
			}
			if !crash && n.Done(f, true) {
				for _, m := range nodes {
					m.Clear(f)
				}
			}
		}
		if crash {
			told := n.Crashed(now, upstream, uint64(round), alone, all)
			for _, m := range nodes {
				for _, s := range told {
					m.Merge(now, s)
				}
			}
			late = append(late, told...)
		}
		if len(late) > 0 {
			nodes[rng.IntN(len(nodes))].Merge(now, late[rng.IntN(len(late))])
		}
		if variant == "count restarts on resend" {
			for f := range flight {
				n.Clear(f)
			}
		}
	}
	return most, refused
}

func TestSuspectsCrashFewUpstreamsAndInnocentsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, refused := crashes(rapid.Uint64().Draw(t, "seed"), "")
		if want := 1 + maxRetries; most > want {
			t.Errorf("upstreams crashed by one request: got %d, want at most %d", most, want)
		}
		if refused > 0 {
			t.Errorf("innocent requests refused: got %d, want 0", refused)
		}
	})
}

func TestSuspectsDetectNaiveVariants(t *testing.T) {
	for _, variant := range []string{"count restarts on resend", "retries with others"} {
		t.Run(variant, func(t *testing.T) {
			for seed := range uint64(100) {
				if most, refused := crashes(seed, variant); most > 1+maxRetries || refused > 0 {
					return
				}
			}
			t.Error("got no violation with 100 seeds, want one")
		})
	}
}

func TestSuspectsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a, b := NewSuspects(8, time.Minute), NewSuspects(8, time.Minute)
		var all []Suspect
		for range rapid.IntRange(1, 8).Draw(t, "crashes") {
			c := Crash{
				Upstream: rapid.SampledFrom([]string{"u", "v", "w", "x"}).Draw(t, "upstream"), Alone: rapid.Bool().Draw(t, "alone"),
			}
			all = append(all, Suspect{Fingerprint: 1, Crashed: []Crash{c}})
		}
		for i := range all {
			a.Merge(now, all[i])
			b.Merge(now, all[len(all)-1-i])
		}
		ra, _ := a.Check(now, 1)
		rb, _ := b.Check(now, 1)
		if ra != rb {
			t.Errorf("ruling after merges in reverse order: got %v, want %v", rb, ra)
		}
	})
}

func TestSuspectTableIsBoundedAndAges(t *testing.T) {
	s := NewSuspects(16, time.Minute)
	now := time.Unix(0, 0)
	s.Crashed(now, "u", 1, true, []Fingerprint{1})
	s.Crashed(now, "v", 1, true, []Fingerprint{1})
	for f := range Fingerprint(1000) {
		s.Crashed(now, "w", uint64(f), false, []Fingerprint{f + 100, f + 5000})
	}
	if got := s.Len(); got > 16 {
		t.Errorf("entries: got %d, want at most 16", got)
	}
	if got, _ := s.Check(now, 1); got != Refused {
		t.Errorf("ruling on a confirmed crasher after many innocent entries: got %v, want %v", got, Refused)
	}
	if got, _ := s.Check(now.Add(time.Minute), 1); got != Free {
		t.Errorf("ruling after the entry's age: got %v, want %v", got, Free)
	}
}
