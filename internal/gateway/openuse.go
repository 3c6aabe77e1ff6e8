package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// openReportInterval is how often a node with engine services reports its open requests:
	// what other nodes sent meanwhile is not known to a choice, and a prompt is read in some
	// hundred milliseconds. openReportsPerSecond bounds the reports of all nodes together.
	openReportInterval    = 50 * time.Millisecond
	maxOpenReportInterval = 300 * time.Millisecond
	openReportsPerSecond  = 2000
	// openTimeout bounds the wait for a reply: the next report says the same and more.
	openTimeout = 250 * time.Millisecond
	// openRetryDelay is the further wait after a report that failed: the leader may be of an
	// earlier release, or be starting with all nodes waiting for it.
	openRetryDelay = 500 * time.Millisecond
	// openTotalsLifetime is how long the reply to such a report goes before that to a usage
	// report.
	openTotalsLifetime = time.Second
	// engineReportShare is the number of reports for each one that tells what was learnt of
	// engines.
	engineReportShare = 10
	// maxSharedSlownessAge is the age up to which a report of slowness is told to other nodes.
	maxSharedSlownessAge = time.Second
)

// runOpenReports reports the open requests of a node with engine services until ctx ends. It returns
// a channel that closes after that.
func (e *Exchange) runOpenReports(ctx context.Context) <-chan struct{} {
	var sequence uint64
	var last time.Time
	return periodic.Run(ctx, e.Gateway.Log, openReportInterval, func(ctx context.Context, now time.Time) {
		interval, needed := e.Gateway.openReportInterval(now)
		leader := e.State.Leader()
		if !needed || leader == "" || now.Sub(last) < interval-openReportInterval/2 {
			return
		}
		last = now
		sequence++
		if !e.reportOpen(ctx, leader, sequence) {
			last = now.Add(openRetryDelay)
		}
	})
}

// openReportInterval returns how often the node reports its open requests; false if it need not.
func (g *Gateway) openReportInterval(now time.Time) (time.Duration, bool) {
	view, _ := g.State.View(now)
	set := g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	nodes := time.Duration(len(set.entryNodes(view)))
	return min(max(openReportInterval, nodes*time.Second/openReportsPerSecond), maxOpenReportInterval), hasEngines(view)
}

// hasEngines reports whether the plan of a view has a service with engines.
func hasEngines(view *config.View) bool {
	return view != nil && view.Plan != nil && slices.ContainsFunc(view.Plan.Services, func(s traffic.Service) bool { return s.Engine != nil })
}

// reportOpen reports the open requests once, and reports whether the leader answered.
func (e *Exchange) reportOpen(ctx context.Context, leader string, sequence uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	report := wire.OpenReport{Node: e.Gateway.Self, Process: e.Incarnation, Sequence: sequence}
	e.Gateway.upstreams.fillOpenReport(time.Now(), &report)
	var totals wire.OpenTotals
	if err := e.Links.Call(ctx, leader, KindOpen, report, &totals); err != nil || totals.Elsewhere {
		e.Gateway.Metrics.count("open report failed")
		return false
	}
	e.Gateway.upstreams.applyOpenTotals(time.Now(), totals)
	return true
}

// fillOpenReport adds the open requests on each upstream, and in some reports what was learnt of
// engines.
func (s *upstreamSet) fillOpenReport(now time.Time, report *wire.OpenReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := make(map[string]record.Use)
	for id, u := range s.byID {
		if u.Open == 0 {
			continue
		}
		use := record.Use{Open: u.Open, Pending: u.PendingTokens, Streams: u.Streams, Long: u.LongOpen}
		if now.Sub(u.SlownessAt) < maxSharedSlownessAge {
			use.Slowness, use.SlownessAt = u.ReportedSlowness, u.SlownessAt
		}
		uses[id] = use
	}
	report.Ids, report.Uses = record.FromUses(now, uses)
	if report.Sequence%engineReportShare != 1 {
		return
	}
	for service, e := range s.engines {
		report.Engines = append(report.Engines, wire.EngineUse{Service: service, Sums: e.Sums(now)})
	}
}

// applyOpenTotals sets the open requests of the other nodes, and what they have learnt of engines.
func (s *upstreamSet) applyOpenTotals(now time.Time, totals wire.OpenTotals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, learnt := range totals.Engines {
		if s.engines[learnt.Service] == nil {
			s.engines[learnt.Service] = &engineState{}
		}
		s.engines[learnt.Service].SetOthers(learnt.Sums)
	}
	if totals.Partial {
		return
	}
	s.openTotalsAt = now
	uses := record.ToUses(now, totals.Ids, totals.Uses)
	for id, u := range s.byID {
		use := uses[id]
		u.OtherNodesOpen, u.OtherNodesPendingTokens, u.OtherNodesAt = use.Open, use.Pending, now
		u.OtherNodesStreams, u.OtherNodesLong = use.Streams, use.Long
		u.ApplyOthersSlowness(use.SlownessAt, use.Slowness)
	}
}
