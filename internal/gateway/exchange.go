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
	usageReportInterval = 300 * time.Millisecond
	exchangeTimeout     = 500 * time.Millisecond
	// rosterInterval is how often a node that knows no upstream asks for them.
	rosterRequestInterval = time.Second
	// sweepInterval is how often idle connections are looked through.
	idleSweepInterval = 500 * time.Millisecond
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

	sequence          uint64
	lastRosterRequest time.Time
}

// RegisterHandlers sets the handlers; it is called before the links run.
func (e *Exchange) RegisterHandlers() {
	e.Links.Handle(KindStatuses, func(_ context.Context, _ string, body []byte) (any, error) {
		var m wire.Statuses
		if err := wire.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		e.Gateway.ApplyStatuses(time.Now(), m.List)
		return nil, nil
	})
}

// Run tells the leader what the node uses until ctx ends.
func (e *Exchange) Run(ctx context.Context) <-chan struct{} {
	lastSweep := time.Now()
	return periodic.Run(ctx, usageReportInterval, func(ctx context.Context, now time.Time) {
		if now.Sub(lastSweep) >= idleSweepInterval {
			lastSweep = now
			e.Gateway.pool.closeExpired(now)
		}
		leader := e.State.Leader()
		if leader == "" {
			return
		}
		if !e.Gateway.upstreams.hasUpstreams() && now.Sub(e.lastRosterRequest) >= rosterRequestInterval {
			e.lastRosterRequest = now
			e.fetchRoster(ctx, leader)
		}
		e.reportUsage(ctx, leader)
	})
}

func (e *Exchange) fetchRoster(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply wire.Statuses
	if err := e.Links.Call(ctx, leader, KindRoster, wire.RosterRequest{Node: e.Gateway.Self}, &reply); err != nil {
		event.With(e.Gateway.Log, event.RosterMissing).WithField("peer", leader).WithError(err).Info("list of upstreams did not come")
		return
	}
	e.Gateway.ApplyStatuses(time.Now(), reply.List)
}

func (e *Exchange) reportUsage(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e.sequence++
	report := wire.UseTally{Node: e.Gateway.Self, Process: e.Process, Sequence: e.sequence}
	e.Gateway.ledger.fillUsageReport(&report)
	e.Gateway.upstreams.fillUsageReport(&report)
	var reply wire.UseTotals
	err := e.Links.Call(ctx, leader, KindTally, report, &reply)
	now := time.Now()
	if err != nil || reply.Elsewhere {
		e.Gateway.Metrics.count("tally failed")
		return
	}
	view, _ := e.Gateway.State.View(now)
	e.Gateway.ledger.applyTotals(now, e.Gateway.upstreams.nodeCount(view), reply)
	if !reply.Partial {
		e.Gateway.upstreams.applyOtherNodesOpen(now, reply.Open)
	}
}

// tally fills in the open requests on each upstream.
func (s *upstreamSet) fillUsageReport(report *wire.UseTally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.byID {
		if u.Open > 0 {
			report.Open = append(report.Open, wire.UpstreamUse{Upstream: id, Open: uint64(u.Open), Pending: uint64(u.PendingTokens)})
		}
	}
}

// learnOthers takes the open requests of all other nodes.
func (s *upstreamSet) applyOtherNodesOpen(now time.Time, open []wire.UpstreamUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.byID {
		u.OtherNodesOpen, u.OtherNodesPendingTokens, u.OtherNodesAt = 0, 0, now
	}
	for _, o := range open {
		if u := s.byID[o.Upstream]; u != nil {
			u.OtherNodesOpen, u.OtherNodesPendingTokens = int(o.Open), int(o.Pending)
		}
	}
}
