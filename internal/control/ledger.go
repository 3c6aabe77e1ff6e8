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
	tallyLife = 1500 * time.Millisecond
	// sumsAge is how long totals over all nodes are used again. They rest on tallies
	// that are up to 300 ms old.
	sumsAge = 50 * time.Millisecond
	// openNodes is the number of nodes up to which each tally is answered with the open
	// requests on all upstreams; twice as many hear of them every second time, and so
	// on, since their number grows with the nodes as well.
	openNodes = 100
	// rateHalf smooths the rate at which a node uses an account's limit.
	rateHalf = 500 * time.Millisecond
	// startLevel is the part of an account's burst that a new leader grants at most.
	// Nodes then tell what they knew of the level from the leader before.
	startLevel = 0.5
)

// ledger is what the leader knows of the use of all entry nodes. Only tallies to a
// leader reach it; a new leader starts with an empty one.
type ledger struct {
	mu    sync.Mutex
	term  uint64
	since time.Time // when the term's first tally came
	nodes map[nodeKey]*nodeUse
	// levels holds the bucket of each account over all nodes.
	levels map[string]*traffic.Bucket
	// untold is what nodes used of each account between their last answer from the
	// leader before and their first tally to this one.
	untold map[string]float64
	sums   sums // of all nodes that told something lately
	live   int  // number of these nodes
	summed time.Time
}

type nodeKey struct {
	name    string
	process uint64
}

type nodeUse struct {
	sequence uint64
	at       time.Time
	used     map[string]float64
	rates    map[string]float64 // use a second
	asked    map[string]float64
	demands  map[string]float64 // asked a second
	open     []wire.UpstreamUse
	counted  sums // what the totals hold of this node
	windows  map[uint64]map[string]uint64
	versions []wire.VersionUse
}

func newLedger() *ledger { return &ledger{} }

func (l *ledger) reset(now time.Time, term uint64) {
	l.term, l.since, l.summed, l.sums = term, now, time.Time{}, newSums()
	l.nodes, l.levels, l.untold = make(map[nodeKey]*nodeUse), make(map[string]*traffic.Bucket), make(map[string]float64)
}

func (c *Control) onTally(now time.Time, from string, t wire.UseTally) wire.UseTotals {
	term, leads := c.State.Leading()
	if !leads || t.Node != from {
		return wire.UseTotals{Elsewhere: true, Leader: c.State.Leader()}
	}
	view, _ := c.State.View(now)
	return c.ledger.take(now, term, view.Plan, t)
}

// take records a tally and returns the totals for its node.
func (l *ledger) take(now time.Time, term uint64, plan *traffic.Plan, t wire.UseTally) wire.UseTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.reset(now, term)
	}
	key := nodeKey{t.Node, t.Process}
	n, known := l.nodes[key]
	if !known {
		n = &nodeUse{counted: newSums(), used: make(map[string]float64), rates: make(map[string]float64), asked: make(map[string]float64), demands: make(map[string]float64), windows: make(map[uint64]map[string]uint64)}
		l.nodes[key] = n
	}
	if t.Sequence > n.sequence {
		l.record(now, plan, n, known, t)
	}
	l.sumUp(now)
	totals := wire.UseTotals{Time: uint64(now.UnixMilli())}
	if plan != nil {
		for i := range plan.Accounts {
			if a := &plan.Accounts[i]; a.Rate > 0 {
				level := l.level(now, a)
				totals.Levels = append(totals.Levels, wire.AccountLevel{
					Account: a.Name, Level: level.Level, Rate: max(0, l.sums.rates[a.Name]-n.counted.rates[a.Name]), Asked: l.sums.demands[a.Name],
				})
			}
		}
	}
	if t.Sequence%uint64(1+l.live/openNodes) == 0 {
		totals.Open = l.othersOpen(n)
	} else {
		totals.Partial = true
	}
	return totals
}

// sums are totals over all nodes, or what one node has in them.
type sums struct {
	rates   map[string]float64 // use a second, by account
	demands map[string]float64 // asked a second, by account
	open    map[string]wire.UpstreamUse
}

func newSums() sums {
	return sums{rates: make(map[string]float64), demands: make(map[string]float64), open: make(map[string]wire.UpstreamUse)}
}

// sumUp brings the totals up to date, unless that was done a moment ago: each of some
// hundred nodes asks for them several times a second.
func (l *ledger) sumUp(now time.Time) {
	if now.Sub(l.summed) < sumsAge {
		return
	}
	l.summed, l.sums, l.live = now, newSums(), 0
	for _, n := range l.nodes {
		n.counted = newSums()
		if now.Sub(n.at) >= tallyLife {
			continue
		}
		l.live++
		for _, part := range []sums{n.counted, l.sums} {
			for account, rate := range n.rates {
				part.rates[account] += rate
			}
			for account, demand := range n.demands {
				part.demands[account] += demand
			}
			for _, o := range n.open {
				sum := part.open[o.Upstream]
				sum.Upstream, sum.Open, sum.Pending = o.Upstream, sum.Open+o.Open, sum.Pending+o.Pending
				part.open[o.Upstream] = sum
			}
		}
	}
}

// othersOpen lists the open requests of all nodes but one.
func (l *ledger) othersOpen(n *nodeUse) []wire.UpstreamUse {
	list := make([]wire.UpstreamUse, 0, len(l.sums.open))
	for id, sum := range l.sums.open {
		own := n.counted.open[id]
		sum.Open, sum.Pending = sum.Open-own.Open, sum.Pending-own.Pending
		if sum.Open > 0 {
			list = append(list, sum)
		}
	}
	return list
}

func (l *ledger) record(now time.Time, plan *traffic.Plan, n *nodeUse, known bool, t wire.UseTally) {
	passed := now.Sub(n.at).Seconds()
	for _, u := range t.Use {
		delta := u.Cost - n.used[u.Account]
		if !known {
			delta = 0 // used before this node led, or counted by another leader
		}
		n.used[u.Account] = u.Cost
		if known && passed > 0 {
			keep := 1 / (1 + passed/rateHalf.Seconds())
			n.rates[u.Account] = keep*n.rates[u.Account] + (1-keep)*delta/passed
			n.demands[u.Account] = keep*n.demands[u.Account] + (1-keep)*(u.Asked-n.asked[u.Account])/passed
		}
		n.asked[u.Account] = u.Asked
		a, ok := named(plan, u.Account)
		if !ok || a.Rate <= 0 {
			continue
		}
		b := l.level(now, a)
		b.Level -= delta
		if !known && u.Known {
			// What the leader before granted is not forgotten, nor what each node used
			// since: the others' estimates are without it.
			granted := min(b.Level+l.untold[u.Account], u.Level+u.Untold)
			l.untold[u.Account] += u.Untold
			b.Level = granted - l.untold[u.Account]
		}
	}
	for _, w := range t.Windows {
		counts := n.windows[w.Window]
		if counts == nil {
			counts = make(map[string]uint64)
			n.windows[w.Window] = counts
		}
		counts[w.Account] = max(counts[w.Account], w.Count)
	}
	n.open, n.versions, n.sequence, n.at = t.Open, t.Versions, t.Sequence, now
}

func named(plan *traffic.Plan, account string) (*traffic.Account, bool) {
	if plan == nil {
		return nil, false
	}
	return plan.AccountByName(account)
}

// level returns an account's bucket, brought up to date.
func (l *ledger) level(now time.Time, a *traffic.Account) *traffic.Bucket {
	b := l.levels[a.Name]
	if b == nil {
		b = &traffic.Bucket{Level: startLevel * a.Burst, UpdatedAt: now}
		l.levels[a.Name] = b
	}
	b.Refill(now, a.Rate, a.Burst)
	return b
}

// settle returns the count of a window over all nodes, once this leader has heard
// from the nodes for long enough.
func (l *ledger) settle(now time.Time, term, window uint64) (config.Usage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term || now.Sub(l.since) < tallyLife {
		return config.Usage{}, false
	}
	u := config.Usage{Window: window, Counts: make(map[string]uint64)}
	for _, n := range l.nodes {
		for account, count := range n.windows[window] {
			u.Counts[account] += count
		}
		for old := range n.windows {
			if old+2*windowsKept < window {
				delete(n.windows, old)
			}
		}
	}
	return u, true
}

// versions returns the outcomes of a service's versions over all nodes.
func (l *ledger) versions(service string) []wire.VersionUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []wire.VersionUse
	for _, n := range l.nodes {
		for _, v := range n.versions {
			if v.Service == service {
				list = append(list, v)
			}
		}
	}
	return list
}
