package state

import (
	"cmp"
	"slices"

	"github.com/jaystage/jaystage/pkg/wire"
)

// maxEndedSessions limits how many ended sessions are kept to refuse a delayed start
// command of an old incarnation. A delayed start of an evicted session is accepted.
const maxEndedSessions = 4096

// nodeSession is the latest session of a node.
type nodeSession struct {
	node        string
	incarnation uint64
	live        bool
	floor       uint64                  // sequence numbers below it are refused
	outcomes    map[uint64]wire.Outcome // by sequence number
	// runningBookings is the set of bookings whose intent the session holds.
	runningBookings map[intentKey]bool
}

func newNodeSession(node string, incarnation uint64) *nodeSession {
	return &nodeSession{
		node: node, incarnation: incarnation, live: true,
		outcomes: make(map[uint64]wire.Outcome), runningBookings: make(map[intentKey]bool),
	}
}

// raiseFloor raises the floor and discards the outcomes of sequence numbers below it.
func (s *nodeSession) raiseFloor(floor uint64) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for seq := range s.outcomes {
		if seq < floor {
			delete(s.outcomes, seq)
		}
	}
}

// applySession starts or ends a session. Starting a session ends the node's previous one.
// A start is refused if the node's latest session has the same or a newer incarnation;
// repeating the start of the live session is allowed.
func (m *Machine) applySession(s wire.Session) wire.Outcome {
	previous := m.sessions[s.Node]
	if !s.Up {
		if previous == nil || !previous.live || previous.incarnation != s.Incarnation {
			return wire.Outcome{Fault: FaultSession}
		}
		m.endSession(previous)
		return m.writeNode(wire.Item{Key: PrefixNode + s.Node, Deleted: true})
	}
	if s.Node == "" || s.Incarnation == 0 {
		return wire.Outcome{Fault: FaultInvalid}
	}
	if previous != nil && previous.live && previous.incarnation == s.Incarnation {
		return wire.Outcome{Repeated: true, Changed: &wire.Changed{Version: m.Space.Version, Repeated: true}}
	}
	if previous != nil && previous.incarnation >= s.Incarnation {
		return wire.Outcome{Fault: FaultSession}
	}
	if previous != nil && previous.live {
		m.endSession(previous)
	}
	m.sessions[s.Node] = newNodeSession(s.Node, s.Incarnation)
	m.evictEndedSessions()
	return m.writeNode(wire.Item{Key: PrefixNode + s.Node, Value: s.Value})
}

// writeNode stores or deletes the key space entry of a node.
func (m *Machine) writeNode(item wire.Item) wire.Outcome {
	m.Space.commit([]wire.Item{item}, wire.Record{Time: m.latestTime})
	return wire.Outcome{Changed: &wire.Changed{Version: m.Space.Version}}
}

// endSession releases the order leases of a session and sets its running bookings to
// StateUnknown: their requests may have run and are never sent again.
func (m *Machine) endSession(s *nodeSession) {
	s.live = false
	for key := range s.runningBookings {
		if m.mutations.dropOrphans {
			m.deleteIntent(key)
			continue
		}
		m.intents[key].State = StateUnknown
	}
	s.runningBookings, s.outcomes = nil, nil
	for name, lease := range m.leases {
		if lease.Node == s.node && lease.Incarnation == s.incarnation {
			delete(m.leases, name)
		}
	}
}

// evictEndedSessions removes the ended sessions with the lowest incarnations if there are
// more than maxEndedSessions.
func (m *Machine) evictEndedSessions() {
	var ended []*nodeSession
	for _, s := range m.sessions {
		if !s.live {
			ended = append(ended, s)
		}
	}
	if len(ended) <= maxEndedSessions {
		return
	}
	slices.SortFunc(ended, func(a, b *nodeSession) int {
		return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.node, b.node))
	})
	for _, s := range ended[:len(ended)-maxEndedSessions] {
		delete(m.sessions, s.node)
	}
}

// Sessions returns the incarnation of each node with a live session.
func (m *Machine) Sessions() map[string]uint64 {
	live := make(map[string]uint64, len(m.sessions))
	for node, s := range m.sessions {
		if s.live {
			live[node] = s.incarnation
		}
	}
	return live
}

// SessionEnded reports whether the node has had a session and has none now.
func (m *Machine) SessionEnded(node string) bool {
	s := m.sessions[node]
	return s != nil && !s.live
}

// Session returns the incarnation of the node's live session.
func (m *Machine) Session(node string) (incarnation uint64, live bool) {
	if s := m.sessions[node]; s != nil && s.live {
		return s.incarnation, true
	}
	return 0, false
}
