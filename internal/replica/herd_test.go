package replica

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/pkg/wire"
)

// renewalsOfHerd starts a number of nodes at once and returns how many renewals each made
// on average, and in what time: until all had a lease, and the second after that.
func renewalsOfHerd(t *testing.T, nodes int) (float64, time.Duration) {
	t.Helper()
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	herd := names("n", nodes)
	var renewals atomic.Int64
	c.mu.Lock()
	for _, name := range herd {
		c.onReply[name] = func(kind string) error {
			if kind == kindRenew {
				renewals.Add(1)
			}
			return nil
		}
	}
	c.mu.Unlock()
	start := time.Now()
	c.start(herd...)
	c.ready(herd...)
	time.Sleep(time.Second)
	return float64(renewals.Load()) / float64(nodes), time.Since(start)
}

// Load pattern: all nodes start sessions at once, after a loss of all processes. Each start
// changes the list of nodes, which is pushed to all. Guards against a renewal by every node
// for each of these pushes: the work of the leader would grow with the square of the fleet
// and delay the leases.
func TestHerdOfSessionsDoesNotMultiplyRenewals(t *testing.T) {
	for _, nodes := range []int{8, 32} {
		got, took := renewalsOfHerd(t, nodes)
		// One renewal gets the lease; the others follow at the regular interval.
		most := 1 + float64(took)/float64(renewInterval) + 1
		t.Logf("%d nodes: %.1f renewals each in %v", nodes, got, took.Round(time.Millisecond))
		if got > most {
			t.Errorf("%d nodes: got %.1f renewals each, want at most %.1f", nodes, got, most)
		}
	}
}

// Guards against an operator that waits for a node's next regular renewal until a change is
// in force, and against renewals for changes that no one waits for.
func TestOnlyChangesOfNodesAreNotUrgent(t *testing.T) {
	for _, c := range []struct {
		keys []string
		want bool
	}{
		{[]string{"node/x"}, false},
		{[]string{"node/x", "node/y"}, false},
		{[]string{"domain/x"}, true},
		{[]string{"node/x", "plan"}, true},
	} {
		var d wire.Delta
		for _, key := range c.keys {
			d.Items = append(d.Items, wire.Item{Key: key})
		}
		if got := isUrgent(d); got != c.want {
			t.Errorf("%v: got %v, want %v", c.keys, got, c.want)
		}
	}
}

// Guards against a node that does not apply a push because a renewal has brought it a part
// of the changes already.
func TestPushThatContainsKnownChangesIsApplied(t *testing.T) {
	v := newViewer(hooks{}, time.Hour)
	item := func(n uint64) wire.Item {
		return wire.Item{Key: fmt.Sprint("domain/x", n), Value: []byte(`{"name":"x"}`), Version: n}
	}
	if err := v.extend(boottime.ReadClocks(), &wire.Delta{Version: 2, Full: true, Items: []wire.Item{item(1), item(2)}}); err != nil {
		t.Fatal(err)
	}
	if applied, err := v.applyPush(wire.Delta{From: 1, Version: 3, Items: []wire.Item{item(2), item(3)}}); !applied || err != nil {
		t.Errorf("got %v, %v, want the push applied", applied, err)
	}
	view, _ := v.get(boottime.ReadClocks())
	if got := len(view.Domains); got != 3 || view.Version != 3 {
		t.Errorf("got %d domains in version %d, want 3 in version 3", got, view.Version)
	}
}
