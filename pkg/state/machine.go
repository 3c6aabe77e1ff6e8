package state

import (
	"strings"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Faults of refused commands, which are not executed.
const (
	// FaultSession means that the command's session has ended or was never started.
	FaultSession = "session-ended"
	// FaultStale means that the node no longer waits for the command's outcome.
	FaultStale = "stale-command"
	// FaultBacklog means that the session has reached its limit of stored outcomes.
	FaultBacklog = "too-many-open-commands"
	// FaultReserved means that the change would write entries of node sessions.
	FaultReserved = "reserved-key"
	// FaultInvalid means that a required part of the command is missing or invalid.
	FaultInvalid = "invalid-command"
	// FaultAbandoned means that the booking was abandoned before its begin step was applied.
	FaultAbandoned = "abandoned"
)

// PrefixNode is the key prefix of the entries of nodes with a session.
const PrefixNode = "node/"

// maxOutcomesPerSession limits the outcomes stored for the deduplication of one
// session's commands.
const maxOutcomesPerSession = 4096

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	// Space is the versioned key space. Callers must not modify it.
	Space *Space

	// latestTime is the highest time of any command in Unix milliseconds. It never
	// decreases, so a leader with a slower clock cannot revive expired records.
	latestTime uint64
	lastToken  uint64                     // fencing token issued last
	sessions   map[string]*nodeSession    // latest session of each node
	intents    map[intentKey]*wire.Intent // records of bookings
	tombstones map[tombstoneKey]uint64    // expiry times in Unix milliseconds
	usage      map[string]*usage          // by client account
	leases     map[string]wire.Lease      // order leases by name
	mutations  mutations
}

// mutations disables individual rules. Only tests set it, to check that a test fails
// when a rule is missing.
type mutations struct {
	noDeduplication  bool // do not deduplicate commands of a session
	noSessionFencing bool // accept commands of ended sessions
	reuseToken       bool // issue the previous fencing token to a new holder
	dropOrphans      bool // delete the running bookings of an ended session
	noTombstones     bool // leave no tombstones of expired bookings
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		Space: NewSpace(), sessions: make(map[string]*nodeSession), intents: make(map[intentKey]*wire.Intent),
		tombstones: make(map[tombstoneKey]uint64), usage: make(map[string]*usage), leases: make(map[string]wire.Lease),
	}
}

// Apply runs one committed command and returns its outcome.
func (m *Machine) Apply(c wire.Command) wire.Outcome {
	m.latestTime = max(m.latestTime, c.Time)
	switch {
	case c.Session != nil:
		return m.applySession(*c.Session)
	case c.Change != nil:
		return m.applyChange(*c.Change)
	case c.Expire:
		m.expireAll()
		return wire.Outcome{}
	case c.Booking != nil && c.Booking.Verb != VerbBegin:
		return m.updateBooking(c)
	case c.Booking != nil || c.Order != nil:
		return m.applyAtMostOnce(c)
	}
	return wire.Outcome{Fault: FaultInvalid}
}

func (m *Machine) applyChange(c wire.Change) wire.Outcome {
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
	c.Time = m.latestTime
	changed := m.Space.Apply(c)
	return wire.Outcome{Changed: &changed, Repeated: changed.Repeated}
}

// applyAtMostOnce runs a command of a session unless its sequence number was applied
// before; in that case it returns the first outcome.
func (m *Machine) applyAtMostOnce(c wire.Command) wire.Outcome {
	session := m.sessions[c.Node]
	if c.Seq == 0 || session == nil || !session.live || session.incarnation != c.Incarnation {
		if m.mutations.noSessionFencing {
			return m.applyFirst(c)
		}
		return wire.Outcome{Fault: FaultSession}
	}
	if first, ok := session.outcomes[c.Seq]; ok && !m.mutations.noDeduplication {
		return m.repeatedOutcome(c, first)
	}
	if c.Seq < session.floor && !m.mutations.noDeduplication {
		return wire.Outcome{Fault: FaultStale}
	}
	session.raiseFloor(c.Floor)
	if len(session.outcomes) >= maxOutcomesPerSession {
		return wire.Outcome{Fault: FaultBacklog}
	}
	outcome := m.applyFirst(c)
	stored := outcome
	if stored.Booked != nil && stored.Booked.Answer != nil {
		stripped := *stored.Booked
		stripped.Answer = nil
		stored.Booked = &stripped
	}
	session.outcomes[c.Seq] = stored
	return outcome
}

// applyFirst runs the begin step of a booking or a step of an order lease without
// deduplication.
func (m *Machine) applyFirst(c wire.Command) wire.Outcome {
	if c.Order != nil {
		ordered := m.applyOrder(c.Node, c.Incarnation, *c.Order)
		return wire.Outcome{Ordered: &ordered}
	}
	b := *c.Booking
	b.Node, b.Incarnation = c.Node, c.Incarnation
	if b.Attempt == "" || b.Key == "" {
		return wire.Outcome{Fault: FaultInvalid}
	}
	booked := m.beginBooking(b)
	return wire.Outcome{Booked: &booked}
}

// repeatedOutcome returns the outcome of the first application of a repeated command.
// Outcomes are stored without the recorded answer, so the answer is read from the
// booking.
func (m *Machine) repeatedOutcome(c wire.Command, first wire.Outcome) wire.Outcome {
	first.Repeated = true
	if first.Booked == nil || first.Booked.State != StateDone {
		return first
	}
	booked := *first.Booked
	if intent := m.intents[intentKeyOf(*c.Booking)]; intent != nil {
		booked.Answer = intent.Answer
	}
	first.Booked = &booked
	return first
}
