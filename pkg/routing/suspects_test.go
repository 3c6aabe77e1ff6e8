package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashCell simulates a cell of nodes. Some requests crash every upstream that runs
// them, clients resend requests, and nodes exchange entries late, in any order and
// more than once.
type crashCell struct {
	rng             *rand.Rand
	variant         string
	nodes           []*Suspects
	crashCounts     map[Fingerprint]int
	delayed         []Suspect
	harmlessRefused int // refused requests that crash no upstream
}

func crashesUpstreams(f Fingerprint) bool { return f%10 == 0 }

// drawInFlight draws requests that run together on one upstream.
func (c *crashCell) drawInFlight(now time.Time, n *Suspects) (inFlight []Fingerprint, isolated, crash bool) {
	for range 1 + c.rng.IntN(4) {
		f := Fingerprint(c.rng.IntN(40))
		decision, _ := n.Check(now, f)
		switch {
		case slices.Contains(inFlight, f):
			continue
		case decision == Refuse:
			if !crashesUpstreams(f) {
				c.harmlessRefused++
			}
			continue
		case decision == Isolate && c.variant != "retries with others":
			if len(inFlight) > 0 {
				continue
			}
			return []Fingerprint{f}, true, crashesUpstreams(f)
		}
		inFlight, crash = append(inFlight, f), crash || crashesUpstreams(f)
	}
	return inFlight, false, crash
}

func (c *crashCell) runRound(now time.Time, incarnation uint64) {
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	inFlight, isolated, crash := c.drawInFlight(now, n)
	for _, f := range inFlight {
		if crashesUpstreams(f) {
			c.crashCounts[f]++
		}
		if !crash && n.RecordEnd(f, true) {
			for _, m := range c.nodes {
				m.Clear(f)
			}
		}
	}
	if crash {
		recorded := n.RecordCrash(now, "u"+strconv.Itoa(c.rng.IntN(8)), incarnation, isolated, inFlight)
		c.delayed = append(c.delayed, recorded...)
		for _, s := range recorded {
			for _, m := range c.nodes {
				m.Merge(now, s)
			}
		}
	}
	if len(c.delayed) > 0 {
		c.nodes[c.rng.IntN(len(c.nodes))].Merge(now, c.delayed[c.rng.IntN(len(c.delayed))])
	}
	if c.variant == "count restarts on resend" {
		for _, f := range inFlight {
			n.Clear(f)
		}
	}
}

// simulateCrashes returns the largest number of upstreams that a single request
// crashed, and the number of harmless requests that were refused.
func simulateCrashes(seed uint64, variant string) (most, refused int) {
	c := crashCell{rng: rand.New(rand.NewPCG(seed, 4)), variant: variant, crashCounts: map[Fingerprint]int{}}
	for range 4 {
		c.nodes = append(c.nodes, NewSuspects(64, time.Minute))
	}
	for i := range 60 {
		c.runRound(time.Unix(0, 0).Add(time.Duration(i)*100*time.Millisecond), uint64(i))
	}
	for _, n := range c.crashCounts {
		most = max(most, n)
	}
	return most, c.harmlessRefused
}

func TestSuspectsLimitCrashesWithoutRefusingHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, refused := simulateCrashes(rapid.Uint64().Draw(t, "seed"), "")
		if want := 1 + maxRetries; most > want {
			t.Errorf("upstreams crashed by one request: got %d, want at most %d", most, want)
		}
		if refused > 0 {
			t.Errorf("harmless requests refused: got %d, want 0", refused)
		}
	})
}

func TestSuspectsDetectFaultyVariants(t *testing.T) {
	for _, variant := range []string{"count restarts on resend", "retries with others"} {
		t.Run(variant, func(t *testing.T) {
			for seed := range uint64(100) {
				if most, refused := simulateCrashes(seed, variant); most > 1+maxRetries || refused > 0 {
					return
				}
			}
			t.Error("got no violation with 100 seeds, want one")
		})
	}
}

func TestSuspectsMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a, b := NewSuspects(8, time.Minute), NewSuspects(8, time.Minute)
		var all []Suspect
		for range rapid.IntRange(1, 8).Draw(t, "crashes") {
			c := Crash{
				Upstream: rapid.SampledFrom([]string{"u", "v", "w", "x"}).Draw(t, "upstream"), Isolated: rapid.Bool().Draw(t, "alone"),
			}
			all = append(all, Suspect{Fingerprint: 1, Crashes: []Crash{c}})
		}
		for i := range all {
			a.Merge(now, all[i])
			b.Merge(now, all[len(all)-1-i])
		}
		ra, _ := a.Check(now, 1)
		rb, _ := b.Check(now, 1)
		if ra != rb {
			t.Errorf("decision after merges in reverse order: got %v, want %v", rb, ra)
		}
	})
}

func TestSuspectsBoundedAndExpiring(t *testing.T) {
	s := NewSuspects(16, time.Minute)
	now := time.Unix(0, 0)
	s.RecordCrash(now, "u", 1, true, []Fingerprint{1})
	s.RecordCrash(now, "v", 1, true, []Fingerprint{1})
	for f := range Fingerprint(1000) {
		s.RecordCrash(now, "w", uint64(f), false, []Fingerprint{f + 100, f + 5000})
	}
	if got := s.Len(); got > 16 {
		t.Errorf("entries: got %d, want at most 16", got)
	}
	if got, _ := s.Check(now, 1); got != Refuse {
		t.Errorf("decision on a confirmed suspect after many harmless entries: got %v, want %v", got, Refuse)
	}
	if got, _ := s.Check(now.Add(time.Minute), 1); got != Allow {
		t.Errorf("decision after the entry expired: got %v, want %v", got, Allow)
	}
}
