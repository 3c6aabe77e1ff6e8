package member

import (
	"slices"
	"time"
)

func (d *Detector) handleMessage(now time.Time, out []Action, m Message) []Action {
	if m.To != d.config.Self {
		return out
	}
	for _, u := range m.Updates {
		out = d.applyUpdate(now, out, u)
	}
	switch m.Kind {
	case Ping:
		// An Ack carries this node's incarnation, which refutes a suspicion.
		return d.send(out, Message{Kind: Ack, To: m.From, Target: d.config.Self, Sequence: m.Sequence, Incarnation: d.incarnation})
	case PingRequest:
		return d.relayPing(now, out, m)
	case Ack:
		return d.handleAck(now, out, m)
	case Nack:
		if p := d.probe; p != nil && p.indirectSent && p.sequence == m.Sequence {
			p.helperReplies++
			d.unansweredProbes = 0
		}
	}
	return out
}

func (d *Detector) relayPing(now time.Time, out []Action, m Message) []Action {
	if len(d.relays) >= maxRelays || m.Target == d.config.Self {
		return out
	}
	d.sequence++
	d.relays = append(d.relays, relay{requester: m.From, target: m.Target, requestSequence: m.Sequence, sequence: d.sequence, sent: now})
	return d.send(out, Message{Kind: Ping, To: m.Target, Target: m.Target, Sequence: d.sequence})
}

// expireRelays sends a Nack for each relayed ping that its target did not answer in time.
func (d *Detector) expireRelays(now time.Time, out []Action) []Action {
	kept := d.relays[:0]
	for _, r := range d.relays {
		if now.Sub(r.sent) < d.config.ProbeTimeout {
			kept = append(kept, r)
			continue
		}
		out = d.send(out, Message{Kind: Nack, To: r.requester, Target: r.target, Sequence: r.requestSequence})
	}
	d.relays = kept
	return out
}

func (d *Detector) handleAck(now time.Time, out []Action, m Message) []Action {
	if i := slices.IndexFunc(d.relays, func(r relay) bool { return r.sequence == m.Sequence && r.target == m.From }); i >= 0 {
		r := d.relays[i]
		d.relays = slices.Delete(d.relays, i, i+1)
		return d.send(out, Message{Kind: Ack, To: r.requester, Target: r.target, Sequence: r.requestSequence, Incarnation: m.Incarnation})
	}
	p := d.probe
	if p == nil || p.sequence != m.Sequence || p.target != m.Target {
		return out
	}
	member := d.members[p.target]
	if member == nil || m.Incarnation.Less(member.incarnation) {
		return out
	}
	d.unansweredProbes = 0
	if m.From != m.Target {
		p.reachedByHelper = true
		p.helperReplies++
		return out
	}
	d.probe = nil
	state := Alive
	if now.Sub(p.sent) > d.config.ProbeTimeout {
		state = Slow
	}
	if out = d.setState(now, out, p.target, state, m.Incarnation); d.isolated {
		out = d.checkIsolation(out)
	}
	return out
}

// applyUpdate applies an update received from another node. Only a newer incarnation
// clears a suspicion, and only an equal or newer one raises it.
func (d *Detector) applyUpdate(now time.Time, out []Action, u Update) []Action {
	if u.Node == d.config.Self {
		if u.State >= Suspect && !u.Incarnation.Less(d.incarnation) && u.Incarnation.Start == d.incarnation.Start {
			d.incarnation.Refutations = u.Incarnation.Refutations + 1
			d.queueUpdate(Update{Node: d.config.Self, State: Alive, Incarnation: d.incarnation})
		}
		return out
	}
	m := d.members[u.Node]
	if m == nil || u.Incarnation.Less(m.incarnation) {
		return out
	}
	newer := m.incarnation.Less(u.Incarnation)
	switch {
	case newer && u.State == Alive && m.state >= Suspect:
		return d.setState(now, out, u.Node, Alive, u.Incarnation)
	case u.State >= Suspect && (newer || u.State > m.state):
		// A node reported dead becomes only suspect here and is probed further, since the
		// report may come from a partitioned node.
		if m.state < Suspect {
			return d.setState(now, out, u.Node, Suspect, u.Incarnation)
		}
	}
	if newer {
		m.incarnation = u.Incarnation
	}
	return out
}

// queueUpdate queues an update for dissemination and drops older ones about the same
// node.
func (d *Detector) queueUpdate(u Update) {
	d.updates = slices.DeleteFunc(d.updates, func(r queuedUpdate) bool { return r.update.Node == u.Node })
	d.updates = append(d.updates, queuedUpdate{u, maxTransmits})
}

// send appends a message to the actions. The message carries the queued updates that
// were sent the fewest times.
func (d *Detector) send(out []Action, m Message) []Action {
	m.From = d.config.Self
	slices.SortStableFunc(d.updates, func(a, b queuedUpdate) int { return b.remaining - a.remaining })
	for i := range min(maxUpdatesPerMessage, len(d.updates)) {
		m.Updates = append(m.Updates, d.updates[i].update)
		d.updates[i].remaining--
	}
	d.updates = slices.DeleteFunc(d.updates, func(r queuedUpdate) bool { return r.remaining == 0 })
	return append(out, Action{Send: &m})
}
