package routing

import (
	"slices"
	"time"
)

// naive applies the faults of design that the properties must detect.
func (w *world) naive(n *simNode) {
	for _, r := range n.owner.records {
		switch w.Variant {
		case "grants at once after a takeover":
			r.gained, n.owner.joined = time.Time{}, time.Time{}
			r.ghost, r.exact = 0, true
		case "keeps slots while they are used":
			for _, p := range r.peers {
				p.since = w.local(n)
			}
		case "ignores evidence of a cold upstream":
			if r.announce.Ready {
				r.limiter.set(w.Limit)
			}
		case "forgets grants that were not acknowledged":
			for _, p := range r.peers {
				p.out = nil
			}
		}
	}
}

func (w *world) grants(from *simNode, gs []Grant) {
	for _, g := range gs {
		if w.Variant == "limit for each node" && g.Slots > 0 {
			g.Slots = w.Limit
		}
		to := w.node(g.To)
		if to == nil || from.cutP && to != from {
			continue
		}
		start := to.start
		w.send(func() {
			if !to.alive || to.start != start {
				return
			}
			if w.Variant == "applies grants in any order" {
				last := &to.holder.entry(g.Upstream).grant
				last.Number, last.Epoch = 0, 0
			}
			to.holder.Apply(g)
			if s := to.holder.slots[g.Upstream]; w.Variant == "measures a grant from its receipt" && s.grant.Number == g.Number {
				s.until = w.local(to).Add(g.TTL)
			}
			if s := to.holder.slots[g.Upstream]; w.Variant == "grants do not expire" && s.grant.Slots > 0 {
				s.until = w.local(to).Add(time.Hour)
			}
		})
	}
}

func (w *world) demands(n *simNode) {
	for _, d := range n.holder.Demands(w.local(n)) {
		to := w.node(n.view.Owner(d.Upstream))
		if to == nil || n.cutP && to != n {
			continue
		}
		w.send(func() {
			if !to.alive {
				return
			}
			w.naive(to)
			w.grants(to, to.owner.Demand(w.local(to), d))
		})
	}
}

func (w *world) inject() {
	for _, f := range w.Faults {
		n := w.nodes[f.Node%len(w.nodes)]
		if f.Until == w.now {
			switch f.Kind {
			case "cutLeader":
				n.cutL = false
			case "cutPeers":
				n.cutP = false
			case "cold":
				w.bears = w.Bears
			}
		}
		if f.At != w.now {
			continue
		}
		switch f.Kind {
		case "kill", "restart":
			w.kill(n)
			if f.Kind == "restart" {
				w.boot(n)
			}
		case "cutLeader":
			n.cutL = true
		case "cutPeers":
			n.cutP = true
		case "cold":
			w.bears = w.Start
			if f.At > simStep {
				w.turned = w.now
			}
		case "leave":
			w.up.Leaving, w.quiet = true, w.now
			w.announce()
		case "drain":
			w.quiet = w.now
			for _, n := range w.nodes {
				w.grants(n, n.owner.Drain(w.local(n), []string{"u"}))
			}
		case "reborn":
			w.reborn()
		}
	}
}

func (w *world) reborn() {
	w.turned = w.now
	w.up.Incarnation++
	w.up.Sequence = 0
	for _, r := range w.open {
		if r.node.alive {
			r.node.holder.Return(r.ticket, true)
			r.node.running--
		}
	}
	w.open, w.ghosts = nil, nil
}

// kill ends a process; the upstream notices its closed connections after 200 ms.
func (w *world) kill(n *simNode) {
	delete(w.limits, n.name)
	n.alive, n.cutL, n.cutP = false, false, false
	w.open = slices.DeleteFunc(w.open, func(r *simRequest) bool {
		if r.carrier == n && r.node != n {
			w.cut++
			r.node.running--
		}
		if r.node == n || r.carrier == n {
			w.ghosts = append(w.ghosts, w.now+200*time.Millisecond)
		}
		return r.node == n || r.carrier == n
	})
}
