package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// manyTallies returns one tally of each of some nodes, each with requests open on a part of
// the upstreams, and a plan with accounts.
func manyTallies(nodes, upstreams, accounts int) (*traffic.Plan, []wire.UseTally) {
	p := &traffic.Plan{}
	for a := range accounts {
		p.Accounts = append(p.Accounts, traffic.Account{Name: fmt.Sprint("a", a), Rate: 1000, Burst: 1000})
	}
	var list []wire.UseTally
	for n := range nodes {
		t := wire.UseTally{Node: fmt.Sprint("n", n), Process: 1, Sequence: 1}
		for u := range upstreams / 10 {
			t.Open = append(t.Open, wire.UpstreamUse{Upstream: fmt.Sprint("u", (n*7+u*10)%upstreams), Open: 1, Pending: 500})
		}
		for a := range accounts {
			t.Use = append(t.Use, wire.AccountUse{Account: fmt.Sprint("a", a), Cost: 10, Asked: 20})
		}
		list = append(list, t)
	}
	return p, list
}

// Guards against totals that hold the node's own requests, or lose those of others.
func TestTotalsAreThoseOfTheOtherNodes(t *testing.T) {
	p, list := manyTallies(30, 40, 2)
	l, now := newLedger(), time.Unix(1000, 0)
	want := make(map[string]uint64)
	for _, tally := range list {
		l.take(now, 1, p, tally)
		for _, o := range tally.Open {
			want[o.Upstream] += o.Open
		}
	}
	later := now.Add(sumsAge)
	for _, tally := range list[:5] {
		tally.Sequence = 2
		got := make(map[string]uint64)
		for _, o := range l.take(later, 1, p, tally).Open {
			got[o.Upstream] = o.Open
		}
		own := make(map[string]uint64)
		for _, o := range tally.Open {
			own[o.Upstream] += o.Open
		}
		for id, n := range want {
			if got[id] != n-own[id] {
				t.Errorf("%s hears of %d requests of others on %s, want %d", tally.Node, got[id], id, n-own[id])
			}
		}
	}
	if got := l.take(later.Add(tallyLife+sumsAge), 1, p, wire.UseTally{Node: "new", Process: 1, Sequence: 1}).Open; len(got) > 0 {
		t.Errorf("got %d upstreams from nodes that told nothing for long, want none", len(got))
	}
}

// Load pattern: more nodes than one leader can tell everything in each answer, and
// processes that have ended. Guards against totals of open requests that are told to all
// nodes each time, and against waits that ended processes cause.
func TestOpenRequestsAreToldLessOftenToManyNodes(t *testing.T) {
	for _, c := range []struct {
		name        string
		live, ended int
		want        int // answers with open requests, of 12
	}{
		{"few nodes", 72, 0, 12},
		{"few nodes, many ended processes", 72, 500, 12},
		{"more nodes", 150, 0, 6},
		{"many nodes", 300, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, list := manyTallies(c.live, 40, 1)
			l, start := newLedger(), time.Unix(1000, 0)
			_, ended := manyTallies(c.ended, 40, 1)
			for _, tally := range ended {
				tally.Process = 2
				l.take(start, 1, p, tally)
			}
			got := 0
			for sequence := range uint64(12 + 1) {
				now := start.Add(tallyLife + time.Duration(sequence)*300*time.Millisecond)
				for i, tally := range list {
					tally.Sequence = sequence + 1
					totals := l.take(now, 1, p, tally)
					if i == 0 && sequence > 0 && !totals.Partial {
						got++
					}
				}
			}
			if got != c.want {
				t.Errorf("got %d answers of 12 with the open requests, want %d", got, c.want)
			}
		})
	}
}

// BenchmarkTally measures what the leader does for one tally: 1,000 a second come from
// 300 nodes.
func BenchmarkTally(b *testing.B) {
	for _, nodes := range []int{30, 72, 300} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			p, list := manyTallies(nodes, 2*nodes, 16)
			l, now := newLedger(), time.Unix(1000, 0)
			sequence := uint64(1)
			for i := 0; b.Loop(); i++ {
				if i%nodes == 0 {
					sequence++
				}
				list[i%nodes].Sequence = sequence
				now = now.Add(300 * time.Millisecond / time.Duration(nodes))
				l.take(now, 1, p, list[i%nodes])
			}
		})
	}
}
