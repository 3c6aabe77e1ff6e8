package state

import (
	"strings"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Faults of commands that were refused and have changed nothing.
const (
	// FaultSession means that the session of the command has ended or never began.
	FaultSession = "session-ended"
	// FaultStale means that the node no longer waits for the command's outcome.
	FaultStale = "stale-command"
	// FaultBacklog means that too many outcomes of the session are remembered.
	FaultBacklog = "too-many-open-commands"
	// FaultReserved means that the change writes entries of node sessions.
	FaultReserved = "reserved-key"
	// FaultInvalid means that the command lacks a part that it needs.
	FaultInvalid = "invalid-command"
	// FaultAbandoned means that the command was abandoned before it was applied.
	FaultAbandoned = "abandoned"
)

// PrefixNode is the prefix of the entries of nodes with a session.
const PrefixNode = "node/"

// maxOutcomes bounds the remembered outcomes of one session.
const maxOutcomes = 4096

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	// Space is the versioned key space. Holders must not change it.
	Space *Space

	// now is the highest time of any command, Unix milliseconds. It never falls, so
	// that a leader with a slower clock revives nothing that has expired.
	now        uint64
	token      uint64
	clients    map[string]*client
	intents    map[intentKey]*wire.Intent
	tombstones map[tombKey]uint64
	use        map[string]*usage
	leases     map[string]wire.Lease
	hooks      hooks
}

// hooks turn single rules off. Only tests of the proofs set them.
type hooks struct {
	noDedup    bool // forget the outcomes of session commands
	noFence    bool // accept commands of ended sessions
	reuseToken bool // do not raise the token for a new holder
	noOrphan   bool // forget the bookings of an ended session
	noTomb     bool // forget expired bookings
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		Space: NewSpace(), clients: make(map[string]*client), intents: make(map[intentKey]*wire.Intent),
		tombstones: make(map[tombKey]uint64), use: make(map[string]*usage), leases: make(map[string]wire.Lease),
	}
}

// Apply runs one committed command and returns its outcome.
func (m *Machine) Apply(c wire.Command) wire.Outcome {
	m.now = max(m.now, c.Time)
	switch {
	case c.Session != nil:
		return m.session(*c.Session)
	case c.Change != nil:
		return m.change(*c.Change)
	case c.Expire:
		m.expire()
		return wire.Outcome{}
	case c.Booking != nil && c.Booking.Verb != VerbBegin:
		return m.laterStep(c)
	case c.Booking != nil || c.Order != nil:
		return m.numbered(c)
	}
	return wire.Outcome{Fault: FaultInvalid}
}

func (m *Machine) change(c wire.Change) wire.Outcome {
	for _, item := range c.Items {
		if item.Key == "" || strings.HasPrefix(item.Key, PrefixNode) {
			return wire.Outcome{Fault: FaultReserved}
		}
	}
	for _, p := range c.Prefix {
		if strings.HasPrefix(p, PrefixNode) || strings.HasPrefix(PrefixNode, p) {
			return wire.Outcome{Fault: FaultReserved}
		}
	}
	c.Time = m.now
	changed := m.Space.Apply(c)
	return wire.Outcome{Changed: &changed, Repeated: changed.Repeated}
}

// numbered runs a command of a session at most once.
func (m *Machine) numbered(c wire.Command) wire.Outcome {
	cl := m.clients[c.Node]
	if c.Seq == 0 || cl == nil || !cl.live || cl.incarnation != c.Incarnation {
		if m.hooks.noFence {
			return m.run(c)
		}
		return wire.Outcome{Fault: FaultSession}
	}
	if first, ok := cl.outcomes[c.Seq]; ok && !m.hooks.noDedup {
		return m.again(c, first)
	}
	if c.Seq < cl.floor && !m.hooks.noDedup {
		return wire.Outcome{Fault: FaultStale}
	}
	cl.raise(c.Floor)
	if len(cl.outcomes) >= maxOutcomes {
		return wire.Outcome{Fault: FaultBacklog}
	}
	outcome := m.run(c)
	kept := outcome
	if kept.Booked != nil && kept.Booked.Answer != nil {
		stripped := *kept.Booked
		stripped.Answer = nil
		kept.Booked = &stripped
	}
	cl.outcomes[c.Seq] = kept
	return outcome
}

func (m *Machine) run(c wire.Command) wire.Outcome {
	if c.Order != nil {
		ordered := m.order(c.Node, c.Incarnation, *c.Order)
		return wire.Outcome{Ordered: &ordered}
	}
	b := *c.Booking
	b.Node, b.Incarnation = c.Node, c.Incarnation
	if b.Attempt == "" || b.Key == "" {
		return wire.Outcome{Fault: FaultInvalid}
	}
	booked := m.begin(b)
	return wire.Outcome{Booked: &booked}
}

// again returns the first outcome of a repeated command. Recorded answers are not
// kept with the outcomes but read again from the booking.
func (m *Machine) again(c wire.Command, first wire.Outcome) wire.Outcome {
	first.Repeated = true
	if first.Booked == nil || first.Booked.State != StateDone {
		return first
	}
	booked := *first.Booked
	if in := m.intents[keyOf(*c.Booking)]; in != nil {
		booked.Answer = in.Answer
	}
	first.Booked = &booked
	return first
}
