package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// usageReports returns a plan with the given number of accounts and one usage report of each
// node, with open requests on a tenth of the upstreams.
func usageReports(nodes, upstreams, accounts int) (*traffic.Plan, []wire.UseTally) {
	p := &traffic.Plan{}
	for a := range accounts {
		p.Accounts = append(p.Accounts, traffic.Account{Name: fmt.Sprint("a", a), Rate: 1000, Burst: 1000})
	}
	var reports []wire.UseTally
	for n := range nodes {
		report := wire.UseTally{Node: fmt.Sprint("n", n), Process: 1, Sequence: 1}
		for u := range upstreams / 10 {
			report.Open = append(report.Open, wire.UpstreamUse{Upstream: fmt.Sprint("u", (n*7+u*10)%upstreams), Open: 1, Pending: 500})
		}
		for a := range accounts {
			report.Use = append(report.Use, wire.AccountUse{Account: fmt.Sprint("a", a), Cost: 10, Asked: 20})
		}
		reports = append(reports, report)
	}
	return p, reports
}

// Guards against totals that include the node's own requests or miss those of other nodes.
func TestTotalsExcludeOwnNode(t *testing.T) {
	p, reports := usageReports(30, 40, 2)
	l, now := newLedger(), time.Unix(1000, 0)
	want := make(map[string]uint64)
	for _, report := range reports {
		l.handleReport(now, 1, p, report)
		for _, o := range report.Open {
			want[o.Upstream] += o.Open
		}
	}
	later := now.Add(totalsMaxAge)
	for _, report := range reports[:5] {
		report.Sequence = 2
		got := make(map[string]uint64)
		for _, o := range l.handleReport(later, 1, p, report).Open {
			got[o.Upstream] = o.Open
		}
		own := make(map[string]uint64)
		for _, o := range report.Open {
			own[o.Upstream] += o.Open
		}
		for id, n := range want {
			if got[id] != n-own[id] {
				t.Errorf("%s: got %d requests of other nodes on %s, want %d", report.Node, got[id], id, n-own[id])
			}
		}
	}
	if got := l.handleReport(later.Add(reportLifetime+totalsMaxAge), 1, p, wire.UseTally{Node: "new", Process: 1, Sequence: 1}).Open; len(got) > 0 {
		t.Errorf("got %d upstreams from nodes whose reports have expired, want none", len(got))
	}
}

// Load pattern: more nodes than a leader can send all open requests in every reply, and
// processes that have ended. Guards against sending the open requests to all nodes every
// time, and against counting ended processes, which would delay them further.
func TestOpenRequestsAreSentLessOftenToManyNodes(t *testing.T) {
	for _, c := range []struct {
		name        string
		live, ended int
		want        int // replies with open requests, of 12
	}{
		{"few nodes", 72, 0, 12},
		{"few nodes, many ended processes", 72, 500, 12},
		{"more nodes", 150, 0, 6},
		{"many nodes", 300, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, reports := usageReports(c.live, 40, 1)
			l, start := newLedger(), time.Unix(1000, 0)
			_, ended := usageReports(c.ended, 40, 1)
			for _, report := range ended {
				report.Process = 2
				l.handleReport(start, 1, p, report)
			}
			got := 0
			for sequence := range uint64(12 + 1) {
				now := start.Add(reportLifetime + time.Duration(sequence)*300*time.Millisecond)
				for i, report := range reports {
					report.Sequence = sequence + 1
					totals := l.handleReport(now, 1, p, report)
					if i == 0 && sequence > 0 && !totals.Partial {
						got++
					}
				}
			}
			if got != c.want {
				t.Errorf("got %d replies of 12 with the open requests, want %d", got, c.want)
			}
		})
	}
}

// BenchmarkUsageReport measures the handling of one usage report by the leader, which gets
// 1,000 per second from 300 nodes.
func BenchmarkUsageReport(b *testing.B) {
	for _, nodes := range []int{30, 72, 300} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			p, reports := usageReports(nodes, 2*nodes, 16)
			l, now := newLedger(), time.Unix(1000, 0)
			sequence := uint64(1)
			for i := 0; b.Loop(); i++ {
				if i%nodes == 0 {
					sequence++
				}
				reports[i%nodes].Sequence = sequence
				now = now.Add(300 * time.Millisecond / time.Duration(nodes))
				l.handleReport(now, 1, p, reports[i%nodes])
			}
		})
	}
}
