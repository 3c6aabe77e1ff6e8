package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// turn is a call of a node.
type turn struct {
	node string
	at   time.Time
}

// turns records which node called the platform when.
type turns struct {
	now   time.Time
	node  string
	calls []turn
}

func (p *turns) Report(context.Context, uint64, config.Usage) error { return p.call() }
func (p *turns) Scale(context.Context, uint64, Order) error         { return p.call() }

func (p *turns) call() error {
	p.calls = append(p.calls, turn{p.node, p.now})
	return nil
}

// Load pattern: leaders that change every second or two, as with voters that run out of
// processor time (sweep of federwerk-grown at 300 VMs). Guards against calls of two nodes
// on one duty that take turns within the time for which the platform allows one holder.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	const tenure = 3 * time.Second
	s, p := newSpace(), &turns{}
	nodes := map[string]*Control{"a": newControl(s), "b": newControl(s)}
	if err := nodes["a"].PutPlan(context.Background(), scaledPlan()); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	for _, c := range nodes {
		c.Platform, c.Scales, c.Tenure = p, true, tenure
		c.fleet.started = start.Add(-fleetWarmup)
	}
	leads := func(at time.Duration) string {
		// Long enough to call at first, then in turns, then for long again.
		if at < 6*time.Second || at > 12*time.Second || int(at/(1500*time.Millisecond))%2 == 0 {
			return "a"
		}
		return "b"
	}
	last := ""
	for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
		p.now, p.node = start.Add(at), leads(at)
		if p.node != last {
			s.term, last = s.term+1, p.node
		}
		c := nodes[p.node]
		for i := range 6 {
			c.roster.Apply(p.now, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Domain: "d", Born: 1, Slots: 8, Sequence: uint64(at/time.Millisecond) + 1})
		}
		c.fleet.term = 0 // what was ordered is forgotten, so that it is ordered again
		c.fleet.run(context.Background(), p.now)
		c.ledger.take(p.now.Add(-2*tallyLife), s.term, nil, wire.UseTally{Node: "n", Process: 1, Sequence: 1})
		c.duty.run(context.Background(), p.now)
	}
	if len(p.calls) == 0 {
		t.Fatal("got no calls at all")
	}
	for i, first := range p.calls {
		for j := i + 1; j < len(p.calls); j++ {
			for _, third := range p.calls[j+1:] {
				if p.calls[j].node != first.node && third.node == first.node && third.at.Sub(first.at) < tenure {
					t.Fatalf("%s, %s and %s called the platform within %v", first.node, p.calls[j].node, third.node, third.at.Sub(first.at))
				}
			}
		}
	}
	if got, want := p.calls[len(p.calls)-1].at, start.Add(16*time.Second); got.Before(want) {
		t.Errorf("got the last call at %v, want some after %v", got, want)
	}
}

func scaledPlan() *traffic.Plan {
	p := plan(1, time.Second)
	p.Services[0].Scaling = &traffic.Scaling{Min: 1, Max: 20, SpotPriceRatio: 0.2, Prices: map[string]float64{"d": 1}}
	return p
}
