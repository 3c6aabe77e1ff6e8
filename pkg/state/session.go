package state

import (
	"cmp"
	"slices"

	"github.com/jaystage/jaystage/pkg/wire"
)

// maxEnded bounds the ended sessions whose numbers are remembered. A delayed start
// of a session that ended before them is not recognised.
const maxEnded = 4096

// client is what the machine knows of the latest session of a node.
type client struct {
	node        string
	incarnation uint64
	live        bool
	floor       uint64
	outcomes    map[uint64]wire.Outcome
	// running holds the bookings whose intent the session holds.
	running map[intentKey]bool
}

func newClient(node string, incarnation uint64) *client {
	return &client{
		node: node, incarnation: incarnation, live: true,
		outcomes: make(map[uint64]wire.Outcome), running: make(map[intentKey]bool),
	}
}

// raise forgets the outcomes below the floor.
func (c *client) raise(floor uint64) {
	if floor <= c.floor {
		return
	}
	c.floor = floor
	for seq := range c.outcomes {
		if seq < floor {
			delete(c.outcomes, seq)
		}
	}
}

// session starts or ends a session. A start ends the node's earlier session.
// Sessions that are not newer than the latest one of the node are refused.
func (m *Machine) session(s wire.Session) wire.Outcome {
	old := m.clients[s.Node]
	if !s.Up {
		if old == nil || !old.live || old.incarnation != s.Incarnation {
			return wire.Outcome{Fault: FaultSession}
		}
		m.endSession(old)
		return m.writeNode(wire.Item{Key: PrefixNode + s.Node, Deleted: true})
	}
	if s.Node == "" || s.Incarnation == 0 {
		return wire.Outcome{Fault: FaultInvalid}
	}
	if old != nil && old.live && old.incarnation == s.Incarnation {
		return wire.Outcome{Repeated: true, Changed: &wire.Changed{Version: m.Space.Version, Repeated: true}}
	}
	if old != nil && old.incarnation >= s.Incarnation {
		return wire.Outcome{Fault: FaultSession}
	}
	if old != nil && old.live {
		m.endSession(old)
	}
	m.clients[s.Node] = newClient(s.Node, s.Incarnation)
	m.forgetEnded()
	return m.writeNode(wire.Item{Key: PrefixNode + s.Node, Value: s.Value})
}

func (m *Machine) writeNode(item wire.Item) wire.Outcome {
	m.Space.write([]wire.Item{item}, wire.Record{Time: m.now})
	return wire.Outcome{Changed: &wire.Changed{Version: m.Space.Version}}
}

// endSession releases what a session holds. A booking whose intent it holds may
// have run and is never sent again.
func (m *Machine) endSession(c *client) {
	c.live = false
	for key := range c.running {
		if m.hooks.noOrphan {
			m.drop(key)
			continue
		}
		m.intents[key].State = StateUnknown
	}
	c.running, c.outcomes = nil, nil
	for name, lease := range m.leases {
		if lease.Node == c.node && lease.Incarnation == c.incarnation {
			delete(m.leases, name)
		}
	}
}

func (m *Machine) forgetEnded() {
	var ended []*client
	for _, c := range m.clients {
		if !c.live {
			ended = append(ended, c)
		}
	}
	if len(ended) <= maxEnded {
		return
	}
	slices.SortFunc(ended, func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.node, b.node))
	})
	for _, c := range ended[:len(ended)-maxEnded] {
		delete(m.clients, c.node)
	}
}

// Sessions returns the incarnation of each node with a live session.
func (m *Machine) Sessions() map[string]uint64 {
	live := make(map[string]uint64, len(m.clients))
	for name, c := range m.clients {
		if c.live {
			live[name] = c.incarnation
		}
	}
	return live
}

// Session returns the incarnation of the node's live session.
func (m *Machine) Session(node string) (incarnation uint64, live bool) {
	if c := m.clients[node]; c != nil && c.live {
		return c.incarnation, true
	}
	return 0, false
}
