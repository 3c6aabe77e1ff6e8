package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Load pattern: one account at several times its usual, spread over many nodes with
// large requests. Guards against all nodes spending the same level at once.
func TestLimitHoldsWhileManyNodesSeeOneLevel(t *testing.T) {
	for _, c := range []struct {
		nodes  int
		demand float64 // in limits
		cost   float64
		limit  float64
		least  float64 // part of what can be served
	}{
		{59, 2.5, 12_000, 600_000, 0.85},
		{72, 4, 12_000, 600_000, 0.85},
		{8, 3, 12_000, 600_000, 0.85},
		{6, 1.5, 2000, 600_000, 0.85},
		{59, 0.6, 12_000, 600_000, 0.98},
		{59, 0.4, 12_000, 60_000, 0.9},
	} {
		rate, burst := c.limit, c.limit
		account := &traffic.Account{Name: "a", Rate: rate, Burst: burst, Tokens: true}
		rng := rand.New(rand.NewPCG(1, uint64(c.nodes)))
		start := time.Unix(1000, 0)
		leader := traffic.Bucket{}
		ledgers, told := make([]*ledger, c.nodes), make([]float64, c.nodes)
		rates, asks, demands := make([]float64, c.nodes), make([]float64, c.nodes), make([]float64, c.nodes)
		for i := range ledgers {
			ledgers[i] = newLedger(0)
		}
		window := make([]float64, 0, 20_000)
		asked, spent := 0.0, 0.0
		for ms := range 20_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			tallies(now, ms, ledgers, &leader, told, rates, asks, demands, rate, burst)
			used := 0.0
			for i := range ledgers {
				if rng.Float64() >= c.demand*rate/1000/float64(c.nodes)/c.cost {
					continue
				}
				asked += c.cost
				if ledgers[i].take(now, account, c.cost, rng.Float64()).accepted {
					used += c.cost
				}
			}
			spent += used
			window = append(window, used)
		}
		most, sum := 0.0, 0.0
		for i, used := range window {
			sum += used
			if i >= 8000 {
				sum -= window[i-8000]
			}
			most = max(most, sum)
		}
		if got, want := most, (rate*8+burst)*1.1; got > want {
			t.Errorf("%d nodes: got %.0f tokens in 8 s, want at most %.0f", c.nodes, got, want)
		}
		if got, want := spent, c.least*min(asked, rate*20); got < want {
			t.Errorf("%d nodes: got %.0f tokens served of %.0f asked, want at least %.0f", c.nodes, got, asked, want)
		}
	}
}

// Guards against use that no leader counts: a tally without an answer may be lost.
func TestUnansweredTalliesAreToldAgain(t *testing.T) {
	l := newLedger(0)
	now := time.Unix(1000, 0)
	account := &traffic.Account{Name: "a", Rate: 1000, Burst: 1000}
	untold := func() float64 {
		var tally wire.UseTally
		l.tally(&tally)
		return tally.Use[0].Untold
	}
	l.learn(now, 2, wire.UseTotals{Levels: []wire.AccountLevel{{Account: "a", Level: 1000}}})
	l.take(now, account, 100, 0)
	for range 2 {
		if got, want := untold(), 100.0; got != want {
			t.Errorf("without an answer: got %.0f untold, want %.0f", got, want)
		}
	}
	l.take(now, account, 50, 0)
	l.learn(now, 2, wire.UseTotals{Levels: []wire.AccountLevel{{Account: "a", Level: 900}}})
	if got, want := untold(), 50.0; got != want {
		t.Errorf("after the answer: got %.0f untold, want %.0f", got, want)
	}
}

// answers is a leader that gives the answers of a test.
type answers struct{ next wire.UseTotals }

func (*answers) Handle(string, peer.Handler) {}

func (a *answers) Call(_ context.Context, _, _ string, _, reply any) error {
	*reply.(*wire.UseTotals) = a.next
	return nil
}

func (*answers) Leader() string { return "v" }

// Guards against an answer without open requests that is taken for none.
func TestAnswerWithoutOpenRequestsKeepsTheLastOnes(t *testing.T) {
	d, a := newDesk(t, newStand(t, sound("x"))), &answers{}
	e := &Exchange{Gateway: d.gateway, Links: a, State: a}
	for _, c := range []struct {
		name   string
		totals wire.UseTotals
		want   int
	}{
		{"told", wire.UseTotals{Open: []wire.UpstreamUse{{Upstream: "u0", Open: 7}}}, 7},
		{"not told", wire.UseTotals{Partial: true}, 7},
		{"none", wire.UseTotals{}, 0},
	} {
		a.next = c.totals
		e.tally(context.Background(), a.Leader())
		if got := d.gateway.fleet.ups["u0"].OtherNodesOpen; got != c.want {
			t.Errorf("%s: got %d requests of other nodes, want %d", c.name, got, c.want)
		}
	}
}

// tallies plays the exchange with the leader for the nodes whose turn it is.
func tallies(now time.Time, ms int, ledgers []*ledger, leader *traffic.Bucket, told, rates, asks, demands []float64, rate, burst float64) {
	interval := int(tallyInterval.Milliseconds())
	for i, l := range ledgers {
		if ms%interval != i*interval/len(ledgers) {
			continue
		}
		var t wire.UseTally
		l.tally(&t)
		leader.Refill(now, rate, burst)
		for _, u := range t.Use {
			leader.Level -= u.Cost - told[i]
			rates[i] = 0.5*rates[i] + 0.5*(u.Cost-told[i])/tallyInterval.Seconds()
			told[i] = u.Cost
			demands[i] = 0.5*demands[i] + 0.5*(u.Asked-asks[i])/tallyInterval.Seconds()
			asks[i] = u.Asked
		}
		others, demand := 0.0, 0.0
		for j, r := range rates {
			demand += demands[j]
			if j != i {
				others += r
			}
		}
		l.learn(now, len(ledgers), wire.UseTotals{Levels: []wire.AccountLevel{{Account: "a", Level: leader.Level, Rate: others, Asked: demand}}})
	}
}
