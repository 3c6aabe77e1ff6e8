package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits on the size of messages and on memory.
const (
	maxUpdatesPerMessage = 6
	maxRelays            = 64
	// maxTransmits is how many times a node sends an update.
	maxTransmits = 8
)

// Detector determines the states of other nodes by probing one of them in each period.
// The number of messages that it sends in a period does not depend on the number of
// nodes.
type Detector struct {
	config      Config
	rng         *rand.Rand
	incarnation Incarnation
	members     map[string]*memberState
	names       []string // names of members, sorted
	probeOrder  []string // remaining targets of this round
	sequence    uint64
	probe       *probe
	nextProbe   time.Time
	relays      []relay
	updates     []queuedUpdate
	// unansweredProbes counts consecutive probes to which neither the target nor any
	// helper replied. They indicate that this node itself is partitioned.
	unansweredProbes int
	suspects         int
	isolated         bool
}

type memberState struct {
	state       State
	incarnation Incarnation
	since       time.Time // when the node joined or its state last changed
}

type probe struct {
	target          string
	sequence        uint64
	sent            time.Time
	indirectSent    bool // PingRequests were sent to helpers
	helperReplies   int  // helpers that replied
	reachedByHelper bool // a helper received a reply from the target
}

// relay is a ping sent on behalf of another node, the requester.
type relay struct {
	requester       string
	target          string
	requestSequence uint64
	sequence        uint64
	sent            time.Time
}

type queuedUpdate struct {
	update    Update
	remaining int
}

// New returns a detector without members. It draws probe targets and helpers from rng.
func New(config Config, rng *rand.Rand) *Detector {
	return &Detector{
		config: config, rng: rng, incarnation: Incarnation{Start: config.Start}, members: make(map[string]*memberState),
	}
}

// State returns the state of a node, and whether the node is a member.
func (d *Detector) State(node string) (State, bool) {
	m, ok := d.members[node]
	if !ok {
		return Alive, false
	}
	return m.state, true
}

// Isolated reports whether this node appears to be partitioned from most nodes.
func (d *Detector) Isolated() bool { return d.isolated }

// Step handles an event and returns the resulting actions. It has to be called with each
// event, and with a zero Event about every 50 ms.
func (d *Detector) Step(now time.Time, e Event) []Action {
	var out []Action
	if e.ReplaceMembers {
		d.replaceMembers(now, e.Members)
	}
	if e.Message != nil {
		out = d.handleMessage(now, out, *e.Message)
	}
	out = d.expireRelays(now, out)
	out = d.advanceProbe(now, out)
	return d.confirmDead(now, out)
}

func (d *Detector) replaceMembers(now time.Time, members []string) {
	for _, name := range members {
		if name != d.config.Self && d.members[name] == nil {
			d.members[name] = &memberState{since: now}
		}
	}
	for name := range d.members {
		if !slices.Contains(members, name) {
			if d.members[name].state == Suspect {
				d.suspects--
			}
			delete(d.members, name)
		}
	}
	d.names = slices.Sorted(maps.Keys(d.members))
}

// advanceProbe sends PingRequests when the current probe times out. When the period is
// over, it ends the probe and starts the next one.
func (d *Detector) advanceProbe(now time.Time, out []Action) []Action {
	if p := d.probe; p != nil {
		if !p.indirectSent && now.Sub(p.sent) >= d.config.ProbeTimeout {
			p.indirectSent = true
			for _, h := range d.pickHelpers(p.target) {
				out = d.send(out, Message{Kind: PingRequest, To: h, Target: p.target, Sequence: p.sequence})
			}
		}
		if now.Sub(p.sent) >= d.config.ProbePeriod {
			d.probe = nil
			out = d.handleProbeTimeout(now, out, p)
		}
	}
	if d.probe != nil || now.Before(d.nextProbe) || len(d.members) == 0 {
		return out
	}
	d.nextProbe = now.Add(d.config.ProbePeriod)
	d.sequence++
	d.probe = &probe{target: d.nextTarget(), sequence: d.sequence, sent: now}
	return d.send(out, Message{Kind: Ping, To: d.probe.target, Target: d.probe.target, Sequence: d.sequence})
}

// nextTarget returns the next node to probe. Each round probes every member once, in
// random order.
func (d *Detector) nextTarget() string {
	for {
		if len(d.probeOrder) == 0 {
			d.probeOrder = slices.Clone(d.names)
			d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
		}
		t := d.probeOrder[0]
		d.probeOrder = d.probeOrder[1:]
		if d.members[t] != nil {
			return t
		}
	}
}

// pickHelpers picks random nodes to probe the target indirectly, among those that are
// alive or slow.
func (d *Detector) pickHelpers(target string) []string {
	var candidates []string
	for _, name := range d.names {
		if name != target && d.members[name].state <= Slow {
			candidates = append(candidates, name)
		}
	}
	d.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), d.config.Helpers)]
}

// handleProbeTimeout handles a probe that got no direct reply within its period.
func (d *Detector) handleProbeTimeout(now time.Time, out []Action, p *probe) []Action {
	m := d.members[p.target]
	if m == nil {
		return out
	}
	switch {
	case p.reachedByHelper:
		return d.setState(now, out, p.target, Partitioned, m.incarnation)
	case p.helperReplies == 0 && len(d.members) > 1:
		// Without any reply, this node may be the one that is partitioned.
		d.unansweredProbes++
		return d.checkIsolation(out)
	case m.state < Suspect:
		return d.setState(now, out, p.target, Suspect, m.incarnation)
	}
	return out
}

// checkIsolation updates whether this node is isolated and reports a change. It is isolated
// when consecutive probes get no reply at all or when most nodes are suspect or dead.
func (d *Detector) checkIsolation(out []Action) []Action {
	suspected := 0
	for _, m := range d.members {
		if m.state >= Suspect {
			suspected++
		}
	}
	isolated := d.unansweredProbes >= 2 || 2*suspected > len(d.members)
	if isolated != d.isolated {
		d.isolated = isolated
		out = append(out, Action{Change: &Change{Node: d.config.Self, Isolated: isolated, Rejoined: !isolated}})
	}
	return out
}

// confirmDead declares suspect nodes dead that did not refute the suspicion in time.
func (d *Detector) confirmDead(now time.Time, out []Action) []Action {
	if d.isolated || d.suspects == 0 {
		return out
	}
	for _, name := range d.names {
		m := d.members[name]
		if m.state == Suspect && now.Sub(m.since) >= d.config.SuspicionTimeout {
			out = d.setState(now, out, name, Dead, m.incarnation)
		}
	}
	return out
}

// setState changes the state of a node and disseminates it if other nodes need to know.
func (d *Detector) setState(now time.Time, out []Action, node string, newState State, incarnation Incarnation) []Action {
	m := d.members[node]
	oldState := m.state
	m.incarnation = incarnation
	if oldState == newState {
		return out
	}
	if oldState == Suspect {
		d.suspects--
	}
	if newState == Suspect {
		d.suspects++
	}
	m.state, m.since = newState, now
	out = append(out, Action{Change: &Change{Node: node, Old: oldState, New: newState}})
	if newState >= Suspect || oldState >= Suspect {
		// Slow and Partitioned describe only this node's connection to a live node, so other
		// nodes receive Alive.
		reported := newState
		if newState < Suspect {
			reported = Alive
		}
		d.queueUpdate(Update{Node: node, State: reported, Incarnation: incarnation})
	}
	return d.checkIsolation(out)
}
