package control

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// openSweepInterval is how often nodes that no longer report are looked for.
	openSweepInterval = 250 * time.Millisecond
	// openEntriesPerSecond bounds the upstreams in all replies to reports of open requests in a
	// second. Beyond it, a node gets them in some replies only.
	openEntriesPerSecond = 1_000_000
)

// openUses adds up the open requests of all entry nodes with engine services on the leader. A new
// leader starts with none; nodes report theirs many times a second.
type openUses struct {
	mu      sync.Mutex
	term    uint64
	nodes   map[nodeKey]*openNode
	sums    map[string]record.Use // by upstream
	engines map[string][]float64  // sums over answers by service
	sweptAt time.Time
}

// openNode is the last report of one process.
type openNode struct {
	sequence   uint64
	reportedAt time.Time
	fullAt     time.Time // when it last got the open requests
	uses       map[string]record.Use
	engines    map[string][]float64
}

// handleOpenReport handles a node's report of its open requests. A voter that does not lead says
// so.
func (c *Control) handleOpenReport(now time.Time, from string, report wire.OpenReport) wire.OpenTotals {
	term, leads := c.State.Leading()
	if !leads || report.Node != from {
		return wire.OpenTotals{Elsewhere: true}
	}
	return c.openUses.exchange(now, term, report)
}

// exchange applies a node's report and returns the sums of all other nodes.
func (o *openUses) exchange(now time.Time, term uint64, report wire.OpenReport) wire.OpenTotals {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != term || o.nodes == nil {
		o.term, o.nodes, o.sums, o.engines = term, make(map[nodeKey]*openNode), make(map[string]record.Use), make(map[string][]float64)
	}
	o.sweep(now)
	key := nodeKey{report.Node, report.Process}
	node := o.nodes[key]
	if node == nil {
		node = &openNode{engines: make(map[string][]float64)}
		o.nodes[key] = node
	}
	if report.Sequence > node.sequence {
		o.apply(now, node, report)
	}
	if now.Sub(node.fullAt) < time.Duration(len(o.sums)*len(o.nodes))*time.Second/openEntriesPerSecond {
		return wire.OpenTotals{Partial: true}
	}
	node.fullAt = now
	return o.others(now, node, len(report.Engines) > 0)
}

// apply replaces a node's report in the sums. A report without engines keeps those of the last.
func (o *openUses) apply(now time.Time, node *openNode, report wire.OpenReport) {
	o.addUses(node.uses, -1)
	node.sequence, node.reportedAt, node.uses = report.Sequence, now, record.ToUses(now, report.Ids, report.Uses)
	o.addUses(node.uses, 1)
	if len(report.Engines) == 0 {
		return
	}
	o.addEngines(node.engines, -1)
	node.engines = make(map[string][]float64)
	for _, e := range report.Engines {
		if !slices.ContainsFunc(e.Sums, func(v float64) bool { return !(v >= 0 && v <= math.MaxFloat32) }) {
			node.engines[e.Service] = e.Sums
		}
	}
	o.addEngines(node.engines, 1)
}

func (o *openUses) addUses(uses map[string]record.Use, sign int) {
	for id, use := range uses {
		sum := o.sums[id].Add(use, sign)
		if sum.Open <= 0 {
			delete(o.sums, id)
			continue
		}
		o.sums[id] = sum
	}
}

func (o *openUses) addEngines(engines map[string][]float64, sign float64) {
	for service, sums := range engines {
		total := o.engines[service]
		for len(total) < len(sums) {
			total = append(total, 0)
		}
		for i, v := range sums {
			total[i] += sign * v
		}
		o.engines[service] = total
	}
}

// costs returns what the nodes have learnt of the engines of a service.
func (o *openUses) costs(service string) placement.Costs {
	o.mu.Lock()
	defer o.mu.Unlock()
	var learnt placement.Engine
	learnt.SetOthers(o.engines[service])
	return learnt.Costs()
}

// sweep takes nodes that no longer report out of the sums.
func (o *openUses) sweep(now time.Time) {
	if now.Sub(o.sweptAt) < openSweepInterval {
		return
	}
	o.sweptAt = now
	for key, node := range o.nodes {
		if now.Sub(node.reportedAt) >= reportLifetime {
			o.addUses(node.uses, -1)
			o.addEngines(node.engines, -1)
			delete(o.nodes, key)
		}
	}
}

// others returns the sums of all nodes except one.
func (o *openUses) others(now time.Time, node *openNode, engines bool) wire.OpenTotals {
	rest := make(map[string]record.Use, len(o.sums))
	for id, sum := range o.sums {
		if sum = sum.Add(node.uses[id], -1); sum.Open > 0 {
			rest[id] = sum
		}
	}
	var totals wire.OpenTotals
	totals.Ids, totals.Uses = record.FromUses(now, rest)
	if !engines {
		return totals
	}
	for service, sums := range o.engines {
		own := node.engines[service]
		list := slices.Clone(sums)
		for i := range min(len(own), len(list)) {
			list[i] = max(0, list[i]-own[i]) // below zero by rounding only
		}
		totals.Engines = append(totals.Engines, wire.EngineUse{Service: service, Sums: list})
	}
	slices.SortFunc(totals.Engines, func(a, b wire.EngineUse) int { return strings.Compare(a.Service, b.Service) })
	return totals
}
