package routing

import (
	"slices"
	"testing"
	"time"
)

// takeSlot takes a slot according to the scenario's mode: from a limit split evenly
// among the nodes, from the limiter of the node that owns the upstream, or from the
// node's Holder.
func (sim *simulation) takeSlot(n *simNode) (Ticket, bool) {
	switch sim.Mode {
	case "split":
		l := sim.partLimiter(n, len(n.view.Nodes), slices.IndexFunc(n.view.Nodes, func(o Node) bool { return o.Name == n.name }))
		return Ticket{Generation: l.generation, tookLastSlot: n.running+1 == l.limit}, n.running < l.limit
	case "forward":
		c := sim.forwarderOf(n)
		if c == nil {
			return Ticket{}, false
		}
		l := sim.partLimiter(c, 1, 0)
		running := sim.forwardedRequests(c)
		return Ticket{Generation: l.generation, tookLastSlot: running+1 == l.limit}, running < l.limit
	default:
		return n.holder.Take(sim.localTime(n), "u", 0)
	}
}

// partLimiter returns the node's limiter for its share if the limit is split into
// the given number of parts. rank is the node's position in its view.
func (sim *simulation) partLimiter(n *simNode, parts, rank int) *limiter {
	part := func(total int) int {
		p := total / max(1, parts)
		if rank >= 0 && rank < total%max(1, parts) {
			p++
		}
		return p
	}
	l := sim.limits[n.name]
	if l == nil {
		// A node whose share is less than one may still run one request at a time;
		// otherwise most nodes could never use a small upstream.
		fresh := newLimiter(part(sim.Start), max(1, part(sim.Limit)), 1)
		l = &fresh
		sim.limits[n.name] = l
	}
	l.setCeiling(max(1, part(sim.Limit)))
	return l
}

func (sim *simulation) forwarderOf(n *simNode) *simNode {
	if sim.Mode != "forward" {
		return n
	}
	return sim.node(n.view.Owner("u"))
}

func (sim *simulation) forwardedRequests(forwarder *simNode) int {
	n := 0
	for _, r := range sim.open {
		if r.forwarder == forwarder {
			n++
		}
	}
	return n
}

func (sim *simulation) recordFirstToken(r *simRequest, late bool) {
	if sim.Mode != "split" && sim.Mode != "forward" {
		r.node.holder.RecordFirstToken(&r.ticket, late)
		return
	}
	if l := sim.limits[r.forwarder.name]; l != nil {
		e := Evidence{Generation: r.ticket.Generation}
		switch {
		case late:
			e.Slow = 1
		case r.ticket.tookLastSlot:
			e.Good = 1
		}
		l.update(e, e.Good)
	}
}

func (sim *simulation) returnSlot(r *simRequest, failed bool) {
	if sim.Mode != "split" && sim.Mode != "forward" {
		r.node.holder.Return(r.ticket, failed)
		return
	}
	if l := sim.limits[r.forwarder.name]; l != nil && failed {
		l.update(Evidence{Generation: r.ticket.Generation, Cold: true}, 0)
	}
}

// comparison is one row of docs/decisions/0001-upstream-concurrency-limit.md.
type comparison struct {
	peakLoad    float64 // highest ratio of open requests to the upstream's capacity
	timeToFull  time.Duration
	utilization float64 // share of the limit in use between 10 s and 20 s
	outage      time.Duration
	interrupted int
	messages    float64 // between nodes, per second and node
}

func compareModes(s scenario, ownerFault string) comparison {
	if ownerFault != "" {
		v := View{}
		for i := range s.Nodes {
			v.Nodes = append(v.Nodes, Node{"n" + string(rune('0'+i)), 1})
		}
		owner := int(v.Owner("u")[1] - '0')
		s.Faults = append(s.Faults, fault{At: 20 * time.Second, Kind: ownerFault, Node: owner})
	}
	sim := newSimulation(s)
	res := comparison{}
	dippedAt, recoveredAt := time.Duration(0), time.Duration(0)
	for sim.now < s.Duration {
		_ = sim.step() // overload is measured here, not an error
		open := float64(len(sim.open) + len(sim.orphans))
		if sim.currentCapacity > 0 {
			res.peakLoad = max(res.peakLoad, open/float64(sim.currentCapacity))
		}
		if res.timeToFull == 0 && open >= 0.9*float64(s.Limit) {
			res.timeToFull = sim.now
		}
		if sim.now > 20*time.Second+300*time.Millisecond {
			if dippedAt == 0 && open < 0.7*float64(s.Limit) {
				dippedAt = sim.now
			}
			if dippedAt > 0 && recoveredAt == 0 && open >= 0.9*float64(s.Limit) {
				recoveredAt = sim.now
			}
		}
	}
	sum := 0
	for _, u := range sim.openPerStep[1000:2000] {
		sum += u
	}
	res.utilization = float64(sum) / 1000 / float64(s.Limit)
	if dippedAt > 0 {
		if recoveredAt == 0 {
			recoveredAt = s.Duration
		}
		res.outage = recoveredAt - 20*time.Second
	}
	res.interrupted = sim.interrupted
	res.messages = float64(sim.messages) / s.Duration.Seconds() / float64(s.Nodes)
	return res
}

// TestCompareLimitEnforcement logs the table of the decision record. It guards
// against changes that let grants load an upstream above its capacity.
func TestCompareLimitEnforcement(t *testing.T) {
	cases := []struct {
		name  string
		s     scenario
		fault string
	}{
		{"warm, limit 16, 8 nodes", scenario{Nodes: 8, Start: 16, Limit: 16, Capacity: 16, MeanRequestDuration: 2 * time.Second}, ""},
		{"warm, limit 2, 8 nodes", scenario{Nodes: 8, Start: 2, Limit: 2, Capacity: 2, MeanRequestDuration: 2 * time.Second}, ""},
		{"cold, start 2, limit 16, 6 nodes", scenario{Nodes: 6, Start: 2, Limit: 16, Capacity: 16, MeanRequestDuration: time.Second, AdaptiveLimit: true, Faults: []fault{{At: simStep, Until: 5 * time.Second, Kind: "cold"}}}, ""},
		{"warm, limit 16, 8 nodes, owner restarts at 20 s", scenario{Nodes: 8, Start: 16, Limit: 16, Capacity: 16, MeanRequestDuration: 2 * time.Second}, "restart"},
		{"warm, limit 16, 8 nodes, owner dies at 20 s", scenario{Nodes: 8, Start: 16, Limit: 16, Capacity: 16, MeanRequestDuration: 2 * time.Second}, "kill"},
	}
	for _, c := range cases {
		for _, mode := range []string{"split", "grants", "forward"} {
			s := c.s
			s.Seed, s.Load, s.Mode, s.Duration = 1, 3, mode, 40*time.Second
			r := compareModes(s, c.fault)
			t.Logf("| %s | %s | %.2f | %.1f s | %.2f | %.1f s | %d | %.1f |", c.name, mode, r.peakLoad, r.timeToFull.Seconds(), r.utilization, r.outage.Seconds(), r.interrupted, r.messages)
			maxRatio := 1.0
			if s.AdaptiveLimit {
				maxRatio = 1.5 // the first increase from 2 to 3, at which answers are slow but do not fail
			}
			if mode == "grants" && r.peakLoad > maxRatio {
				t.Errorf("%s: ratio of load to capacity: got %.2f, want at most %.2f", c.name, r.peakLoad, maxRatio)
			}
		}
	}
}
