package placement

import (
	"fmt"
	"testing"
	"time"
)

// chooseTime returns the shortest of several measured times of one choice among cold
// upstreams, with the given number of entry nodes.
func chooseTime(nodes int) time.Duration {
	now := time.Unix(1000, 0)
	// A node outside the list has no share at any size, so each choice compares all.
	o := Options{Self: "other", ColdRate: 10, MaxWaiting: 4}
	for i := range nodes {
		o.Nodes = append(o.Nodes, fmt.Sprint("n", i))
	}
	var candidates []*Upstream
	for i := range 160 {
		candidates = append(candidates, &Upstream{ID: fmt.Sprint("u", i), Slots: 24, ColdUntil: now.Add(time.Hour)})
	}
	choose := func() { Choose(now, Request{ID: "r", PromptTokens: 100}, o, candidates) }
	choose() // ranks the nodes once
	shortest := time.Hour
	for range 20 {
		start := time.Now()
		choose()
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// Load pattern: all upstreams of a large fleet have just started, so each choice asks
// whether this node may use them. Guards against work that grows with the number of entry
// nodes at each choice: ranking 1,000 nodes for each upstream takes about a hundred times
// as long as the choice itself, so the bound of ten times does not depend on the machine.
func TestChoiceAmongColdUpstreamsDoesNotGrowWithNodes(t *testing.T) {
	few := chooseTime(8)
	for _, nodes := range []int{72, 300, 1000} {
		if got, most := chooseTime(nodes), 10*few; got > most {
			t.Errorf("with %d nodes: got %v for a choice, want at most %v, ten times that with 8", nodes, got, most)
		}
	}
}

// Guards against a share that is kept although the nodes or the rate have changed: the
// shares of all nodes would add up to more than the rate.
func TestColdShareFollowsNodesAndRate(t *testing.T) {
	u := &Upstream{ID: "u"}
	for _, nodes := range []int{1, 2, 5, 2, 1} {
		for _, rate := range []float64{4, 20} {
			o := Options{Self: "n0", ColdRate: rate}
			for i := range nodes {
				o.Nodes = append(o.Nodes, fmt.Sprint("n", i))
			}
			if got, want := u.nodeColdRate(o), NodeColdRate("u", "n0", o.Nodes, rate); got != want {
				t.Errorf("%d nodes, %v per second: got %v, want %v", nodes, rate, got, want)
			}
		}
	}
}
