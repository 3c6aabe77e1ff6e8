package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds on messages and memory.
const (
	maxUpdatesPerMessage = 6
	maxRelays            = 64
	// spread is how many times a node passes on one piece of news.
	maxTransmits = 8
)

// Detector tells the states of other nodes by probing one of them each period.
// The messages that it sends in a period do not depend on the number of nodes.
type Detector struct {
	config      Config
	rng         *rand.Rand
	incarnation Incarnation
	members     map[string]*peer
	names       []string // of members, sorted
	probeOrder  []string // probe order of this round
	sequence    uint64
	probe       *probe
	nextProbe   time.Time
	relays      []relay
	updates     []queuedUpdate
	// silent counts probes in a row for which neither the target nor any helper
	// answered: this node itself is cut off.
	unansweredProbes int
	suspects         int
	isolated         bool
}

type peer struct {
	state       State
	incarnation Incarnation
	since       time.Time
}

type probe struct {
	target          string
	sequence        uint64
	sent            time.Time
	indirectSent    bool // helpers were asked
	helperReplies   int  // helpers that answered
	reachedByHelper bool // a helper reached the target
}

// relay is a ping sent for another node.
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

// New returns a detector of no other nodes. It takes random numbers from rng.
func New(config Config, rng *rand.Rand) *Detector {
	return &Detector{
		config: config, rng: rng, incarnation: Incarnation{Start: config.Start}, members: make(map[string]*peer),
	}
}

// State returns the state of a node; false when it is not a member.
func (d *Detector) State(node string) (State, bool) {
	p, ok := d.members[node]
	if !ok {
		return Alive, false
	}
	return p.state, true
}

// Isolated tells whether this node found itself cut off from most nodes.
func (d *Detector) Isolated() bool { return d.isolated }

// Step takes an event and returns what to do. It is called with each event, and
// with a zero Event every 50 ms or so.
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
	for _, m := range members {
		if m != d.config.Self && d.members[m] == nil {
			d.members[m] = &peer{since: now}
		}
	}
	for m := range d.members {
		if !slices.Contains(members, m) {
			if d.members[m].state == Suspect {
				d.suspects--
			}
			delete(d.members, m)
		}
	}
	d.names = slices.Sorted(maps.Keys(d.members))
}

// advance drives the probe of this period.
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

// target returns the next node of a random order in which each node comes once.
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

// helpers picks nodes to probe the target, those that are not known to be silent.
func (d *Detector) pickHelpers(target string) []string {
	var candidates []string
	for _, m := range d.names {
		if m != target && d.members[m].state <= Slow {
			candidates = append(candidates, m)
		}
	}
	d.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), d.config.Helpers)]
}

// unanswered ends a probe without a direct answer.
func (d *Detector) handleProbeTimeout(now time.Time, out []Action, p *probe) []Action {
	m := d.members[p.target]
	if m == nil {
		return out
	}
	switch {
	case p.reachedByHelper:
		return d.setState(now, out, p.target, Partitioned, m.incarnation)
	case p.helperReplies == 0 && len(d.members) > 1:
		// Nobody answered: this node may be the one that is cut off.
		d.unansweredProbes++
		return d.checkIsolation(out)
	case m.state < Suspect:
		return d.setState(now, out, p.target, Suspect, m.incarnation)
	}
	return out
}

// connected tells whether this node is cut off: probes stay without any answer, or
// most nodes look silent.
func (d *Detector) checkIsolation(out []Action) []Action {
	suspected := 0
	for _, p := range d.members {
		if p.state >= Suspect {
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

// confirm declares suspects dead that did not refute the suspicion in time.
func (d *Detector) confirmDead(now time.Time, out []Action) []Action {
	if d.isolated || d.suspects == 0 {
		return out
	}
	for _, name := range d.names {
		p := d.members[name]
		if p.state == Suspect && now.Sub(p.since) >= d.config.SuspicionTimeout {
			out = d.setState(now, out, name, Dead, p.incarnation)
		}
	}
	return out
}

// set changes a state and spreads it where other nodes need it.
func (d *Detector) setState(now time.Time, out []Action, node string, newState State, incarnation Incarnation) []Action {
	p := d.members[node]
	oldState := p.state
	p.incarnation = incarnation
	if oldState == newState {
		return out
	}
	if oldState == Suspect {
		d.suspects--
	}
	if newState == Suspect {
		d.suspects++
	}
	p.state, p.since = newState, now
	out = append(out, Action{Change: &Change{Node: node, Old: oldState, New: newState}})
	if newState >= Suspect || oldState >= Suspect {
		// Slow and Partitioned are this node's own view of a node that is alive.
		reported := newState
		if newState < Suspect {
			reported = Alive
		}
		d.queueUpdate(Update{Node: node, State: reported, Incarnation: incarnation})
	}
	return d.checkIsolation(out)
}
