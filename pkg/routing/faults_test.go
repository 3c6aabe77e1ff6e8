package routing

import (
	"slices"
	"time"
)

// applyVariant changes the owner's state as a faulty design would. The properties
// must detect each variant.
func (sim *simulation) applyVariant(n *simNode) {
	for _, u := range n.owner.upstreams {
		switch sim.Variant {
		case "grants immediately after a takeover":
			u.ownedSince, n.owner.joinedAt = time.Time{}, time.Time{}
			u.uncovered, u.uncoveredKnown = 0, true
		case "keeps slots while they are used":
			for _, p := range u.peers {
				p.slotsChangedAt = sim.localTime(n)
			}
		case "ignores evidence of a cold upstream":
			if u.announcement.Ready {
				u.limiter.setLimit(sim.Limit)
			}
		case "drops unacknowledged grants":
			for _, p := range u.peers {
				p.outstanding = nil
			}
		}
	}
}

func (sim *simulation) sendGrants(from *simNode, gs []Grant) {
	for _, g := range gs {
		if sim.Variant == "full limit for each node" && g.Slots > 0 {
			g.Slots = sim.Limit
		}
		to := sim.node(g.To)
		if to == nil || from.peersPartitioned && to != from {
			continue
		}
		incarnation := to.incarnation
		sim.send(func() {
			if !to.alive || to.incarnation != incarnation {
				return
			}
			if sim.Variant == "applies grants in any order" {
				last := &to.holder.getOrCreate(g.Upstream).grant
				last.Number, last.Epoch = 0, 0
			}
			to.holder.Apply(g)
			if u := to.holder.upstreams[g.Upstream]; sim.Variant == "measures a grant from its receipt" && u.grant.Number == g.Number {
				u.grantExpires = sim.localTime(to).Add(g.TTL)
			}
			if u := to.holder.upstreams[g.Upstream]; sim.Variant == "grants do not expire" && u.grant.Slots > 0 {
				u.grantExpires = sim.localTime(to).Add(time.Hour)
			}
		})
	}
}

func (sim *simulation) sendDemands(n *simNode) {
	for _, d := range n.holder.Demands(sim.localTime(n)) {
		to := sim.node(n.view.Owner(d.Upstream))
		if to == nil || n.peersPartitioned && to != n {
			continue
		}
		sim.send(func() {
			if !to.alive {
				return
			}
			sim.applyVariant(to)
			sim.sendGrants(to, to.owner.HandleDemand(sim.localTime(to), d))
		})
	}
}

func (sim *simulation) injectFaults() {
	for _, f := range sim.Faults {
		n := sim.nodes[f.Node%len(sim.nodes)]
		if f.Until == sim.now {
			switch f.Kind {
			case "cutLeader":
				n.leaderPartitioned = false
			case "cutPeers":
				n.peersPartitioned = false
			case "cold":
				sim.currentCapacity = sim.Capacity
			}
		}
		if f.At != sim.now {
			continue
		}
		switch f.Kind {
		case "kill", "restart":
			sim.kill(n)
			if f.Kind == "restart" {
				sim.boot(n)
			}
		case "cutLeader":
			n.leaderPartitioned = true
		case "cutPeers":
			n.peersPartitioned = true
		case "cold":
			sim.currentCapacity = sim.Start
			if f.At > simStep {
				sim.turnedColdAt = sim.now
			}
		case "leave":
			sim.announcement.Leaving, sim.drainedAt = true, sim.now
			sim.sendHeartbeat()
		case "drain":
			sim.drainedAt = sim.now
			for _, n := range sim.nodes {
				sim.sendGrants(n, n.owner.SetDrained(sim.localTime(n), []string{"u"}))
			}
		case "reborn":
			sim.restartUpstream()
		}
	}
}

func (sim *simulation) restartUpstream() {
	sim.turnedColdAt = sim.now
	sim.announcement.Incarnation++
	sim.announcement.Sequence = 0
	for _, r := range sim.open {
		if r.node.alive {
			r.node.holder.Return(r.ticket, true)
			r.node.running--
		}
	}
	sim.open, sim.orphans = nil, nil
}

// kill ends a process. The upstream notices the closed connections after 200 ms;
// until then the requests keep running as orphans.
func (sim *simulation) kill(n *simNode) {
	delete(sim.limits, n.name)
	n.alive, n.leaderPartitioned, n.peersPartitioned = false, false, false
	sim.open = slices.DeleteFunc(sim.open, func(r *simRequest) bool {
		if r.forwarder == n && r.node != n {
			sim.interrupted++
			r.node.running--
		}
		if r.node == n || r.forwarder == n {
			sim.orphans = append(sim.orphans, sim.now+200*time.Millisecond)
		}
		return r.node == n || r.forwarder == n
	})
}
