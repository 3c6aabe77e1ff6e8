package gateway

import (
	"context"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Kinds of messages between entry nodes and voters.
const (
	// KindStatuses carries statuses of upstreams from a voter.
	KindStatuses = "statuses"
	// KindRoster asks a voter for all statuses.
	KindRoster = "roster"
	// KindTally tells the leader what the node used, and brings the totals.
	KindTally = "tally"
)

const (
	// tallyInterval is how often the leader is told of use and open requests.
	tallyInterval = 300 * time.Millisecond
	tallyTimeout  = 500 * time.Millisecond
	// rosterInterval is how often a node that knows no upstream asks for them.
	rosterInterval = time.Second
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
)

// Links carries messages to other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, to, kind string, message, reply any) error
}

// Leader tells which node leads; empty when unknown.
type Leader interface{ Leader() string }

// Exchange joins the gateway to the voters.
type Exchange struct {
	Gateway *Gateway
	Links   Links
	State   Leader
	Process uint64 // start number of this process

	sequence uint64
	asked    time.Time
}

// Open sets the handlers; it is called before the links run.
func (e *Exchange) Open() {
	e.Links.Handle(KindStatuses, func(_ context.Context, _ string, body []byte) (any, error) {
		var m wire.Statuses
		if err := wire.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		e.Gateway.Learn(time.Now(), m.List)
		return nil, nil
	})
}

// Run tells the leader what the node uses until ctx ends.
func (e *Exchange) Run(ctx context.Context) <-chan struct{} {
	swept := time.Now()
	return periodic.Run(ctx, tallyInterval, func(ctx context.Context, now time.Time) {
		if now.Sub(swept) >= sweepInterval {
			swept = now
			e.Gateway.pool.sweep(now)
		}
		leader := e.State.Leader()
		if leader == "" {
			return
		}
		if !e.Gateway.fleet.known() && now.Sub(e.asked) >= rosterInterval {
			e.asked = now
			e.roster(ctx, leader)
		}
		e.tally(ctx, leader)
	})
}

func (e *Exchange) roster(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, tallyTimeout)
	defer cancel()
	var reply wire.Statuses
	if err := e.Links.Call(ctx, leader, KindRoster, wire.RosterRequest{Node: e.Gateway.Self}, &reply); err != nil {
		event.With(e.Gateway.Log, event.RosterMissing).WithField("peer", leader).WithError(err).Info("list of upstreams did not come")
		return
	}
	e.Gateway.Learn(time.Now(), reply.List)
}

func (e *Exchange) tally(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, tallyTimeout)
	defer cancel()
	e.sequence++
	t := wire.UseTally{Node: e.Gateway.Self, Process: e.Process, Sequence: e.sequence}
	e.Gateway.ledger.tally(&t)
	e.Gateway.fleet.tally(&t)
	var reply wire.UseTotals
	err := e.Links.Call(ctx, leader, KindTally, t, &reply)
	now := time.Now()
	if err != nil || reply.Elsewhere {
		e.Gateway.Metrics.count("tally failed")
		return
	}
	view, _ := e.Gateway.State.View(now)
	e.Gateway.ledger.learn(now, e.Gateway.fleet.count(view), reply)
	if !reply.Partial {
		e.Gateway.fleet.learnOthers(now, reply.Open)
	}
}

// tally fills in the open requests on each upstream.
func (f *fleet) tally(t *wire.UseTally) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.ups {
		if u.Open > 0 {
			t.Open = append(t.Open, wire.UpstreamUse{Upstream: id, Open: uint64(u.Open), Pending: uint64(u.PendingTokens)})
		}
	}
}

// learnOthers takes the open requests of all other nodes.
func (f *fleet) learnOthers(now time.Time, open []wire.UpstreamUse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.ups {
		u.OtherNodesOpen, u.OtherNodesPendingTokens, u.OtherNodesAt = 0, 0, now
	}
	for _, o := range open {
		if u := f.ups[o.Upstream]; u != nil {
			u.OtherNodesOpen, u.OtherNodesPendingTokens = int(o.Open), int(o.Pending)
		}
	}
}
