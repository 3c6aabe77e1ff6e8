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

// platformCall is one call that a node made to the platform.
type platformCall struct {
	node string
	at   time.Time
}

// callRecorder is a platform that records which node called it and when.
type callRecorder struct {
	now   time.Time
	node  string
	calls []platformCall
}

func (p *callRecorder) Report(context.Context, uint64, config.Usage) error { return p.call() }
func (p *callRecorder) Scale(context.Context, uint64, Order) error         { return p.call() }

func (p *callRecorder) call() error {
	p.calls = append(p.calls, platformCall{p.node, p.now})
	return nil
}

// Load pattern: the leader changes every one or two seconds, as it does when voters run out
// of CPU time (seen in the federwerk-grown sweep at 300 VMs). Guards against two nodes
// calling the platform alternately within the time in which it allows only one of them.
func TestLeadersDoNotAlternatePlatformCalls(t *testing.T) {
	const minLeadTime = 3 * time.Second
	s, p := newFakeState(), &callRecorder{}
	nodes := map[string]*Control{"a": newControl(s), "b": newControl(s)}
	if err := nodes["a"].PutPlan(context.Background(), scaledPlan()); err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	for _, c := range nodes {
		c.Platform, c.ScalingEnabled, c.MinLeadTime = p, true, minLeadTime
		c.scaler.startedAt = start.Add(-scalingWarmup)
	}
	leaderAt := func(at time.Duration) string {
		// One leader for longer than minLeadTime, then alternating leaders, then one again.
		if at < 6*time.Second || at > 12*time.Second || int(at/(1500*time.Millisecond))%2 == 0 {
			return "a"
		}
		return "b"
	}
	lastLeader := ""
	for at := time.Duration(0); at < 20*time.Second; at += 250 * time.Millisecond {
		p.now, p.node = start.Add(at), leaderAt(at)
		if p.node != lastLeader {
			s.term, lastLeader = s.term+1, p.node
		}
		c := nodes[p.node]
		for i := range 6 {
			c.roster.Apply(p.now, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Domain: "d", Born: 1, Slots: 8, Sequence: uint64(at/time.Millisecond) + 1})
		}
		c.scaler.term = 0 // discards the record of past orders, so that the scaler orders again
		c.scaler.run(context.Background(), p.now)
		c.ledger.handleReport(p.now.Add(-2*reportLifetime), s.term, nil, wire.UseTally{Node: "n", Process: 1, Sequence: 1})
		c.usageReporter.run(context.Background(), p.now)
	}
	if len(p.calls) == 0 {
		t.Fatal("got no calls at all")
	}
	for i, first := range p.calls {
		for j := i + 1; j < len(p.calls); j++ {
			for _, third := range p.calls[j+1:] {
				if p.calls[j].node != first.node && third.node == first.node && third.at.Sub(first.at) < minLeadTime {
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
	p := testPlan(1, time.Second)
	p.Services[0].Scaling = &traffic.Scaling{Min: 1, Max: 20, SpotPriceRatio: 0.2, Prices: map[string]float64{"d": 1}}
	return p
}
