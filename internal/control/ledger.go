package control

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// reportLifetime is how long a node's open requests count after its last usage report.
	reportLifetime = 1500 * time.Millisecond
	// totalsMaxAge is how long computed totals are reused. They are computed from reports
	// that are up to 300 ms old anyway.
	totalsMaxAge = 50 * time.Millisecond
	// openTotalsNodes is the number of nodes up to which every reply contains the open
	// requests on all upstreams. Twice as many nodes get them in every second reply, and so
	// on, because the number of upstreams grows with the number of nodes.
	openTotalsNodes = 100
)

// ledger aggregates the usage reports of all entry nodes on the leader. A new leader starts
// with an empty ledger, but for the counts of usage windows.
type ledger struct {
	mu            sync.Mutex
	term          uint64
	firstReportAt time.Time // arrival of the term's first report
	nodes         map[nodeKey]*nodeUsage
	// buckets holds the bucket of each account over all nodes.
	buckets map[string]*traffic.Bucket
	// unreported is the usage of each account between the nodes' last reply from the
	// previous leader and their first report to this one.
	unreported map[string]float64
	totals     usageTotals // over all live nodes
	liveNodes  int         // nodes that reported within reportLifetime
	totalsAt   time.Time
	// counts are the counts of usage windows, also of earlier terms.
	counts *windowCounts
}

type nodeKey struct {
	name        string
	incarnation uint64
}

// nodeUsage is the usage that one process has reported. Maps of numbers are by account.
type nodeUsage struct {
	sequence     uint64
	reportedAt   time.Time
	used         map[string]float64
	usageRates   map[string]float64 // usage per second
	requested    map[string]float64
	demandRates  map[string]float64 // requested amount per second
	kinds        map[string][]wire.KindDemand
	open         []wire.UpstreamUse
	contribution usageTotals // this node's part of the totals
	versions     []wire.VersionUse
}

func newLedger() *ledger { return &ledger{counts: newWindowCounts()} }

func (l *ledger) reset(now time.Time, term uint64) {
	l.term, l.firstReportAt, l.totalsAt, l.totals = term, now, time.Time{}, newUsageTotals()
	l.nodes, l.buckets, l.unreported = make(map[nodeKey]*nodeUsage), make(map[string]*traffic.Bucket), make(map[string]float64)
}

// handleUsageReport handles a node's usage report. A voter that does not lead replies with
// the name of the leader.
func (c *Control) handleUsageReport(now time.Time, from string, report wire.UseTally) wire.UseTotals {
	term, leads := c.State.Leading()
	if !leads || report.Node != from {
		return wire.UseTotals{Elsewhere: true, Leader: c.State.Leader()}
	}
	view, _ := c.State.View(now)
	totals := c.ledger.handleReport(now, term, view.Plan, report)
	totals.Term, totals.Watched = term, c.parts.apply(now, term, view, report)
	totals.Limits = c.limits.exchange(now, term, report.Limits)
	return totals
}

// handleReport applies a usage report and returns the totals for its node.
func (l *ledger) handleReport(now time.Time, term uint64, plan *traffic.Plan, report wire.UseTally) wire.UseTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.reset(now, term)
	}
	key := nodeKey{report.Node, report.Process}
	node, known := l.nodes[key]
	if !known {
		node = &nodeUsage{
			contribution: newUsageTotals(), used: make(map[string]float64), usageRates: make(map[string]float64),
			requested: make(map[string]float64), demandRates: make(map[string]float64),
		}
		l.nodes[key] = node
	}
	l.counts.merge(key, report.Windows)
	if report.Sequence > node.sequence {
		l.applyReport(now, plan, node, known, report)
	}
	l.updateTotals(now, plan)
	totals := wire.UseTotals{Time: uint64(now.UnixMilli()), Levels: l.accountLevels(now, plan, node)}
	if report.Sequence%uint64(1+l.liveNodes/openTotalsNodes) == 0 {
		totals.Open = l.otherNodesOpen(node)
	} else {
		totals.Partial = true
	}
	return totals
}

// usageTotals are the totals over all nodes, or one node's part of them.
type usageTotals struct {
	usageRates  map[string]float64          // usage per second, by account
	demandRates map[string]float64          // requested amount per second, by account
	open        map[string]wire.UpstreamUse // by upstream
	// kinds holds the demand by account and kind of request, of accounts that are short.
	kinds map[string][]wire.KindDemand
}

func newUsageTotals() usageTotals {
	return usageTotals{usageRates: make(map[string]float64), demandRates: make(map[string]float64), open: make(map[string]wire.UpstreamUse), kinds: make(map[string][]wire.KindDemand)}
}

// updateTotals recomputes the totals unless they are younger than totalsMaxAge: hundreds of
// nodes each request them several times per second.
func (l *ledger) updateTotals(now time.Time, plan *traffic.Plan) {
	if now.Sub(l.totalsAt) < totalsMaxAge {
		return
	}
	l.totalsAt, l.totals, l.liveNodes = now, newUsageTotals(), 0
	for _, node := range l.nodes {
		node.contribution = newUsageTotals()
		if now.Sub(node.reportedAt) >= reportLifetime {
			continue
		}
		l.liveNodes++
		for _, part := range []usageTotals{node.contribution, l.totals} {
			for account, rate := range node.usageRates {
				part.usageRates[account] += rate
			}
			for account, demand := range node.demandRates {
				part.demandRates[account] += demand
			}
			for _, o := range node.open {
				sum := part.open[o.Upstream]
				sum.Upstream, sum.Open, sum.Pending = o.Upstream, sum.Open+o.Open, sum.Pending+o.Pending
				part.open[o.Upstream] = sum
			}
		}
	}
	l.sumKinds(now, plan)
}

// otherNodesOpen returns the open requests of all nodes except node.
func (l *ledger) otherNodesOpen(node *nodeUsage) []wire.UpstreamUse {
	list := make([]wire.UpstreamUse, 0, len(l.totals.open))
	for id, sum := range l.totals.open {
		own := node.contribution.open[id]
		sum.Open, sum.Pending = sum.Open-own.Open, sum.Pending-own.Pending
		if sum.Open > 0 {
			list = append(list, sum)
		}
	}
	return list
}

// openTotals returns the open requests of all nodes by upstream. It returns false until this
// leader has received reports for reportLifetime.
func (l *ledger) openTotals(now time.Time, term uint64, plan *traffic.Plan) (map[string]wire.UpstreamUse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || l.firstReportAt.IsZero() || now.Sub(l.firstReportAt) < reportLifetime {
		return nil, false
	}
	l.updateTotals(now, plan)
	return l.totals.open, l.liveNodes > 0 // each update makes a new map
}

// applyReport updates the node's usage and the accounts' buckets. known is false for the
// first report of a process to this leader.
func (l *ledger) applyReport(now time.Time, plan *traffic.Plan, node *nodeUsage, known bool, report wire.UseTally) {
	l.applyAccountUse(now, plan, node, known, report.Use)
	node.open, node.versions, node.sequence, node.reportedAt = report.Open, report.Versions, report.Sequence, now
}

// settleWindow returns the counts of a window, which has ended at a time, over all nodes. It
// returns false until this leader has received reports for reportLifetime, so that every live
// node has reported, and until maxSettleDelay after the end while a node that counted requests
// in the window or shortly before has not reported since: it may be cut off and come back.
func (l *ledger) settleWindow(now time.Time, term, window uint64, end time.Time) (config.Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || now.Sub(l.firstReportAt) < reportLifetime {
		return config.Usage{}, false
	}
	if now.Sub(end) < maxSettleDelay && l.lacksReport(window, end) {
		return config.Usage{}, false
	}
	return config.Usage{Window: window, Counts: l.counts.total(window)}, true
}

// lacksReport reports whether a process that counted requests in a window, or shortly before, has
// not reported to this leader since its end, nor has a later process of its node.
func (l *ledger) lacksReport(window uint64, end time.Time) bool {
	reported := make(map[string]bool)
	for key, node := range l.nodes {
		if !node.reportedAt.Before(end) {
			reported[key.name] = true
		}
	}
	for _, key := range l.counts.processesOf(window) {
		if !reported[key.name] {
			return true
		}
	}
	return false
}

// versionUsage returns all nodes' outcomes of a service's versions, one entry per node,
// version and route.
func (l *ledger) versionUsage(service string) []wire.VersionUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []wire.VersionUse
	for _, node := range l.nodes {
		for _, v := range node.versions {
			if v.Service == service {
				list = append(list, v)
			}
		}
	}
	return list
}
