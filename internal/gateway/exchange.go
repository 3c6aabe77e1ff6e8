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
	// KindStatuses carries upstream statuses from a voter.
	KindStatuses = "statuses"
	// KindRoster requests the statuses of all upstreams from a voter.
	KindRoster = "roster"
	// KindTally carries a node's usage report to the leader, which replies with the
	// usage totals.
	KindTally = "tally"
	// KindOpen carries a node's open requests to the leader, which replies with those of all
	// others. Nodes without engine services send none.
	KindOpen = "open"
)

const (
	// usageReportInterval is how often the node reports usage and open requests to the
	// leader.
	usageReportInterval = 300 * time.Millisecond
	exchangeTimeout     = 500 * time.Millisecond
	// lastReportTimeout bounds the report of a node that stops, whose time is almost over.
	lastReportTimeout = 100 * time.Millisecond
	// rosterRequestInterval is how often a node that knows no upstream requests the
	// statuses of all upstreams.
	rosterRequestInterval = time.Second
	// idleSweepInterval is how often expired idle connections are closed.
	idleSweepInterval = 500 * time.Millisecond
)

// Links exchanges messages with other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Call(ctx context.Context, to, kind string, message, reply any) error
}

// Leader returns the name of the leader; empty when unknown.
type Leader interface{ Leader() string }

// Exchange connects the gateway to the voters: it receives upstream statuses and reports
// usage to the leader.
type Exchange struct {
	Gateway     *Gateway
	Links       Links
	State       Leader
	Incarnation uint64 // incarnation of this process

	sequence          uint64
	lastRosterRequest time.Time
}

// RegisterHandlers registers the handler of upstream statuses. Call it before the links
// start.
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

// RunProbes probes paths to upstreams that the node has lost until ctx ends. It returns a
// channel that closes after that.
func (e *Exchange) RunProbes(ctx context.Context) <-chan struct{} {
	return e.Gateway.Detour.RunProbes(ctx, e.Gateway.probe)
}

// Run reports usage to the leader and closes expired idle connections until ctx ends, and then
// reports the rest of the usage. It returns a channel that closes after that.
func (e *Exchange) Run(ctx context.Context) <-chan struct{} {
	done, openDone, reported := e.runPeriodic(ctx), e.runOpenReports(ctx), make(chan struct{})
	go func() {
		defer close(reported)
		<-done
		<-openDone
		if leader := e.State.Leader(); leader != "" {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastReportTimeout)
			defer cancel()
			e.reportUsage(ctx, leader)
		}
	}()
	return reported
}

func (e *Exchange) runPeriodic(ctx context.Context) <-chan struct{} {
	lastSweep := time.Now()
	return periodic.Run(ctx, e.Gateway.Log, usageReportInterval, func(ctx context.Context, now time.Time) {
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
		event.With(e.Gateway.Log, event.RosterMissing).WithField("peer", leader).WithError(err).Info("could not fetch the list of upstreams")
		return
	}
	e.Gateway.ApplyStatuses(time.Now(), reply.List)
}

func (e *Exchange) reportUsage(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e.sequence++
	report := wire.UseTally{Node: e.Gateway.Self, Process: e.Incarnation, Sequence: e.sequence}
	e.Gateway.ledger.fillUsageReport(time.Now(), &report)
	e.Gateway.upstreams.fillUsageReport(&report)
	e.Gateway.upstreams.fillLimits(time.Now(), &report)
	sent := e.Gateway.parts.fillUsageReport(time.Now(), &report)
	var reply wire.UseTotals
	err := e.Links.Call(ctx, leader, KindTally, report, &reply)
	now := time.Now()
	if err != nil || reply.Elsewhere {
		e.Gateway.Metrics.count("tally failed")
		return
	}
	e.Gateway.parts.applyTotals(sent, reply)
	e.Gateway.upstreams.applyLimits(now, reply.Limits)
	view, _ := e.Gateway.State.View(now)
	e.Gateway.ledger.applyTotals(now, e.Gateway.upstreams.nodeCount(view), reply)
	if !reply.Partial {
		e.Gateway.upstreams.applyOtherNodesOpen(now, reply.Open)
	}
}

// fillUsageReport adds the open requests on each upstream to a usage report.
func (s *upstreamSet) fillUsageReport(report *wire.UseTally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.byID {
		if u.Open > 0 {
			report.Open = append(report.Open, wire.UpstreamUse{Upstream: id, Open: uint64(u.Open), Pending: uint64(u.PendingTokens)})
		}
	}
}

// applyOtherNodesOpen sets the open requests of the other nodes on each upstream.
func (s *upstreamSet) applyOtherNodesOpen(now time.Time, open []wire.UpstreamUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.openTotalsAt) < openTotalsLifetime {
		return // newer ones are known
	}
	for _, u := range s.byID {
		u.OtherNodesOpen, u.OtherNodesPendingTokens, u.OtherNodesAt = 0, 0, now
	}
	for _, o := range open {
		if u := s.byID[o.Upstream]; u != nil {
			u.OtherNodesOpen, u.OtherNodesPendingTokens = int(o.Open), int(o.Pending)
		}
	}
}
