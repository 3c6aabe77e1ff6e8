package control

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// tallyLife is how long a node's open requests count after its last tally.
	reportLifetime = 1500 * time.Millisecond
	// sumsAge is how long totals over all nodes are used again. They rest on tallies
	// that are up to 300 ms old.
	totalsMaxAge = 50 * time.Millisecond
	// openNodes is the number of nodes up to which each tally is answered with the open
	// requests on all upstreams; twice as many hear of them every second time, and so
	// on, since their number grows with the nodes as well.
	openTotalsNodes = 100
	// rateHalf smooths the rate at which a node uses an account's limit.
	rateSmoothingTime = 500 * time.Millisecond
	// startLevel is the part of an account's burst that a new leader grants at most.
	// Nodes then tell what they knew of the level from the leader before.
	initialLevelShare = 0.5
)

// ledger is what the leader knows of the use of all entry nodes. Only tallies to a
// leader reach it; a new leader starts with an empty one.
type ledger struct {
	mu            sync.Mutex
	term          uint64
	firstReportAt time.Time // when the term's first tally came
	nodes         map[nodeKey]*nodeUsage
	// levels holds the bucket of each account over all nodes.
	buckets map[string]*traffic.Bucket
	// untold is what nodes used of each account between their last answer from the
	// leader before and their first tally to this one.
	unreported map[string]float64
	totals     usageTotals // of all nodes that told something lately
	liveNodes  int         // number of these nodes
	totalsAt   time.Time
}

type nodeKey struct {
	name    string
	process uint64
}

type nodeUsage struct {
	sequence     uint64
	reportedAt   time.Time
	used         map[string]float64
	usageRates   map[string]float64 // use a second
	requested    map[string]float64
	demandRates  map[string]float64 // asked a second
	open         []wire.UpstreamUse
	contribution usageTotals // what the totals hold of this node
	windows      map[uint64]map[string]uint64
	versions     []wire.VersionUse
}

func newLedger() *ledger { return &ledger{} }

func (l *ledger) reset(now time.Time, term uint64) {
	l.term, l.firstReportAt, l.totalsAt, l.totals = term, now, time.Time{}, newUsageTotals()
	l.nodes, l.buckets, l.unreported = make(map[nodeKey]*nodeUsage), make(map[string]*traffic.Bucket), make(map[string]float64)
}

func (c *Control) handleUsageReport(now time.Time, from string, report wire.UseTally) wire.UseTotals {
	term, leads := c.State.Leading()
	if !leads || report.Node != from {
		return wire.UseTotals{Elsewhere: true, Leader: c.State.Leader()}
	}
	view, _ := c.State.View(now)
	return c.ledger.handleReport(now, term, view.Plan, report)
}

// take records a tally and returns the totals for its node.
func (l *ledger) handleReport(now time.Time, term uint64, plan *traffic.Plan, report wire.UseTally) wire.UseTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.reset(now, term)
	}
	key := nodeKey{report.Node, report.Process}
	node, known := l.nodes[key]
	if !known {
		node = &nodeUsage{contribution: newUsageTotals(), used: make(map[string]float64), usageRates: make(map[string]float64), requested: make(map[string]float64), demandRates: make(map[string]float64), windows: make(map[uint64]map[string]uint64)}
		l.nodes[key] = node
	}
	if report.Sequence > node.sequence {
		l.applyReport(now, plan, node, known, report)
	}
	l.updateTotals(now)
	totals := wire.UseTotals{Time: uint64(now.UnixMilli())}
	if plan != nil {
		for i := range plan.Accounts {
			if a := &plan.Accounts[i]; a.Rate > 0 {
				bucket := l.bucket(now, a)
				totals.Levels = append(totals.Levels, wire.AccountLevel{
					Account: a.Name, Level: bucket.Level, Rate: max(0, l.totals.usageRates[a.Name]-node.contribution.usageRates[a.Name]), Asked: l.totals.demandRates[a.Name],
				})
			}
		}
	}
	if report.Sequence%uint64(1+l.liveNodes/openTotalsNodes) == 0 {
		totals.Open = l.otherNodesOpen(node)
	} else {
		totals.Partial = true
	}
	return totals
}

// sums are totals over all nodes, or what one node has in them.
type usageTotals struct {
	usageRates  map[string]float64 // use a second, by account
	demandRates map[string]float64 // asked a second, by account
	open        map[string]wire.UpstreamUse
}

func newUsageTotals() usageTotals {
	return usageTotals{usageRates: make(map[string]float64), demandRates: make(map[string]float64), open: make(map[string]wire.UpstreamUse)}
}

// sumUp brings the totals up to date, unless that was done a moment ago: each of some
// hundred nodes asks for them several times a second.
func (l *ledger) updateTotals(now time.Time) {
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
}

// othersOpen lists the open requests of all nodes but one.
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

func (l *ledger) applyReport(now time.Time, plan *traffic.Plan, node *nodeUsage, known bool, report wire.UseTally) {
	elapsed := now.Sub(node.reportedAt).Seconds()
	for _, use := range report.Use {
		delta := use.Cost - node.used[use.Account]
		if !known {
			delta = 0 // used before this node led, or counted by another leader
		}
		node.used[use.Account] = use.Cost
		if known && elapsed > 0 {
			oldWeight := 1 / (1 + elapsed/rateSmoothingTime.Seconds())
			node.usageRates[use.Account] = oldWeight*node.usageRates[use.Account] + (1-oldWeight)*delta/elapsed
			node.demandRates[use.Account] = oldWeight*node.demandRates[use.Account] + (1-oldWeight)*(use.Asked-node.requested[use.Account])/elapsed
		}
		node.requested[use.Account] = use.Asked
		account, ok := findAccount(plan, use.Account)
		if !ok || account.Rate <= 0 {
			continue
		}
		bucket := l.bucket(now, account)
		bucket.Level -= delta
		if !known && use.Known {
			// What the leader before granted is not forgotten, nor what each node used
			// since: the others' estimates are without it.
			granted := min(bucket.Level+l.unreported[use.Account], use.Level+use.Untold)
			l.unreported[use.Account] += use.Untold
			bucket.Level = granted - l.unreported[use.Account]
		}
	}
	for _, w := range report.Windows {
		counts := node.windows[w.Window]
		if counts == nil {
			counts = make(map[string]uint64)
			node.windows[w.Window] = counts
		}
		counts[w.Account] = max(counts[w.Account], w.Count)
	}
	node.open, node.versions, node.sequence, node.reportedAt = report.Open, report.Versions, report.Sequence, now
}

func findAccount(plan *traffic.Plan, account string) (*traffic.Account, bool) {
	if plan == nil {
		return nil, false
	}
	return plan.AccountByName(account)
}

// level returns an account's bucket, brought up to date.
func (l *ledger) bucket(now time.Time, a *traffic.Account) *traffic.Bucket {
	bucket := l.buckets[a.Name]
	if bucket == nil {
		bucket = &traffic.Bucket{Level: initialLevelShare * a.Burst, UpdatedAt: now}
		l.buckets[a.Name] = bucket
	}
	bucket.Refill(now, a.Rate, a.Burst)
	return bucket
}

// settle returns the count of a window over all nodes, once this leader has heard
// from the nodes for long enough.
func (l *ledger) settleWindow(now time.Time, term, window uint64) (config.Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || now.Sub(l.firstReportAt) < reportLifetime {
		return config.Usage{}, false
	}
	usage := config.Usage{Window: window, Counts: make(map[string]uint64)}
	for _, node := range l.nodes {
		for account, count := range node.windows[window] {
			usage.Counts[account] += count
		}
		for old := range node.windows {
			if old+2*retainedWindows < window {
				delete(node.windows, old)
			}
		}
	}
	return usage, true
}

// versions returns the outcomes of a service's versions over all nodes.
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
