package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds on messages and memory.
const (
	maxUpdates = 6
	maxRelays  = 64
	// spread is how many times a node passes on one piece of news.
	spread = 8
)

// Detector tells the states of other nodes by probing one of them each period.
// The messages that it sends in a period do not depend on the number of nodes.
type Detector struct {
	config      Config
	rng         *rand.Rand
	incarnation Incarnation
	members     map[string]*peer
	names       []string // of members, sorted
	order       []string // probe order of this round
	sequence    uint64
	probe       *probe
	next        time.Time
	relays      []relay
	news        []rumor
	// silent counts probes in a row for which neither the target nor any helper
	// answered: this node itself is cut off.
	silent   int
	suspects int
	isolated bool
}

type peer struct {
	state       State
	incarnation Incarnation
	since       time.Time
}

type probe struct {
	target   string
	sequence uint64
	sent     time.Time
	asked    bool // helpers were asked
	helpers  int  // helpers that answered
	indirect bool // a helper reached the target
}

// relay is a ping sent for another node.
type relay struct {
	from     string
	target   string
	original uint64
	sequence uint64
	sent     time.Time
}

type rumor struct {
	update Update
	left   int
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
	if e.Replace {
		d.replace(now, e.Members)
	}
	if e.Message != nil {
		out = d.receive(now, out, *e.Message)
	}
	out = d.expireRelays(now, out)
	out = d.advance(now, out)
	return d.confirm(now, out)
}

func (d *Detector) replace(now time.Time, members []string) {
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
func (d *Detector) advance(now time.Time, out []Action) []Action {
	if p := d.probe; p != nil {
		if !p.asked && now.Sub(p.sent) >= d.config.Timeout {
			p.asked = true
			for _, h := range d.helpers(p.target) {
				out = d.send(out, Message{Kind: Request, To: h, Target: p.target, Sequence: p.sequence})
			}
		}
		if now.Sub(p.sent) >= d.config.Period {
			d.probe = nil
			out = d.unanswered(now, out, p)
		}
	}
	if d.probe != nil || now.Before(d.next) || len(d.members) == 0 {
		return out
	}
	d.next = now.Add(d.config.Period)
	d.sequence++
	d.probe = &probe{target: d.target(), sequence: d.sequence, sent: now}
	return d.send(out, Message{Kind: Ping, To: d.probe.target, Target: d.probe.target, Sequence: d.sequence})
}

// target returns the next node of a random order in which each node comes once.
func (d *Detector) target() string {
	for {
		if len(d.order) == 0 {
			d.order = slices.Clone(d.names)
			d.rng.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
		}
		t := d.order[0]
		d.order = d.order[1:]
		if d.members[t] != nil {
			return t
		}
	}
}

// helpers picks nodes to probe the target, those that are not known to be silent.
func (d *Detector) helpers(target string) []string {
	var all []string
	for _, m := range d.names {
		if m != target && d.members[m].state <= Slow {
			all = append(all, m)
		}
	}
	d.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), d.config.Helpers)]
}

// unanswered ends a probe without a direct answer.
func (d *Detector) unanswered(now time.Time, out []Action, p *probe) []Action {
	m := d.members[p.target]
	if m == nil {
		return out
	}
	switch {
	case p.indirect:
		return d.set(now, out, p.target, Partitioned, m.incarnation)
	case p.helpers == 0 && len(d.members) > 1:
		// Nobody answered: this node may be the one that is cut off.
		d.silent++
		return d.connected(out)
	case m.state < Suspect:
		return d.set(now, out, p.target, Suspect, m.incarnation)
	}
	return out
}

// connected tells whether this node is cut off: probes stay without any answer, or
// most nodes look silent.
func (d *Detector) connected(out []Action) []Action {
	down := 0
	for _, p := range d.members {
		if p.state >= Suspect {
			down++
		}
	}
	isolated := d.silent >= 2 || 2*down > len(d.members)
	if isolated != d.isolated {
		d.isolated = isolated
		out = append(out, Action{Change: &Change{Node: d.config.Self, Isolated: isolated, Joined: !isolated}})
	}
	return out
}

// confirm declares suspects dead that did not refute the suspicion in time.
func (d *Detector) confirm(now time.Time, out []Action) []Action {
	if d.isolated || d.suspects == 0 {
		return out
	}
	for _, name := range d.names {
		p := d.members[name]
		if p.state == Suspect && now.Sub(p.since) >= d.config.Confirm {
			out = d.set(now, out, name, Dead, p.incarnation)
		}
	}
	return out
}

// set changes a state and spreads it where other nodes need it.
func (d *Detector) set(now time.Time, out []Action, node string, s State, i Incarnation) []Action {
	p := d.members[node]
	old := p.state
	p.incarnation = i
	if old == s {
		return out
	}
	if old == Suspect {
		d.suspects--
	}
	if s == Suspect {
		d.suspects++
	}
	p.state, p.since = s, now
	out = append(out, Action{Change: &Change{Node: node, Old: old, New: s}})
	if s >= Suspect || old >= Suspect {
		// Slow and Partitioned are this node's own view of a node that is alive.
		told := s
		if s < Suspect {
			told = Alive
		}
		d.tell(Update{Node: node, State: told, Incarnation: i})
	}
	return d.connected(out)
}
