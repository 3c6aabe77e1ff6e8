package capacity

import (
	"fmt"

	"github.com/jaystage/jaystage/pkg/wire"
)

// entryNode returns the costs of the control part of an entry node.
func (m *model) entryNode() Role {
	return Role{Name: "Entry node, control part", Rows: []Row{m.renewalsSent(), m.linkPings(m.Cell), m.changesReceived(), m.memberPings(), m.rolloutReportsSent()}}
}

// renewalsSent is the cost of renewing the node's own session.
func (m *model) renewalsSent() Row {
	rate := 1 / renewInterval
	r := Row{
		Mechanism: "session renewal (internal/replica)", Arithmetic: "1 node / 0.5 s",
		Core: rate * m.coresPerStep("renew.cpu"), Slopes: []string{"renew.cpu", "renew.in", "renew.out"},
	}
	return r.addSentRequests(rate, m.costPerStep("renew.in"), m.costPerStep("renew.out"))
}

// linkPings is the cost of the keep-alive pings on a number of links.
func (m *model) linkPings(links float64) Row {
	rate := links / m.linkPingInterval
	r := Row{Mechanism: "link pings (internal/peer)", Arithmetic: fmt.Sprintf("%.0f links / %.1f s", links, m.linkPingInterval)}
	return m.addOneWayMessages(r, rate, PingBytes, rate, PingBytes)
}

// changesReceived is the cost of keeping the local copy of the key space. A pushed change
// causes a session renewal.
func (m *model) changesReceived() Row {
	rate := m.changes()
	r := Row{
		Mechanism:  "changes pushed by the leader (internal/replica)",
		Arithmetic: fmt.Sprintf("(%.0f + 2 × %.0f node restarts) / 86,400 s; %.0f entries read anew each time", m.Changes, m.nodeRestarts(), m.keySpace()),
		State:      m.keySpace() * m.costPerStep("entry.memory"),
		Core:       rate * (m.costAt("entry.cpu", m.keySpace())/1e9 + m.coresPerStep("renew.cpu")),
		Slopes:     []string{"entry.cpu", "entry.memory", "push.bytes", "renew.cpu"},
	}
	return m.addOneWayMessages(r, rate, m.costAt("push.bytes", 1), 0, 0).addSentRequests(rate, m.costPerStep("renew.in"), m.costPerStep("renew.out"))
}

// memberPings is the cost of the membership probes. The slope member.cpu is the time of
// all eight nodes of the benchmark in pkg/member.
func (m *model) memberPings() Row {
	rate := m.costPerStep("member.messages")
	bytes := m.costPerStep("member.bytes")/max(rate, 1) + envelopeBytes("ping")
	r := Row{
		Mechanism: "member pings (pkg/member; no node runs it yet)", Arithmetic: "1 ping and 1 answer / 1 s in each direction",
		Core: m.coresPerStep("member.cpu") / 8, Slopes: []string{"member.cpu", "member.bytes"},
	}
	return m.addOneWayMessages(r, rate, bytes, rate, bytes)
}

// rolloutReportsSent is the cost of a node's rollout reports while rollouts run.
func (m *model) rolloutReportsSent() Row {
	rate, keys := 1/m.rolloutReportInterval, m.Rollouts*m.Keys
	r := Row{
		Mechanism: "rollout reports (internal/rollouts)", Arithmetic: fmt.Sprintf("1 report of %.0f keys / %.1f s while %.0f rollouts run", keys, m.rolloutReportInterval, m.Rollouts),
		Core: rate * (keys*m.coresPerStep("report.cpu") + m.coresPerStep("frame.cpu")), Slopes: []string{"report.cpu", "report.bytes", "frame.cpu"},
	}
	return r.addSentRequests(rate, m.permitReplyBytes(), m.costAt("report.bytes", keys))
}

// permitReplyBytes is the size of the reply to a rollout report.
func (m *model) permitReplyBytes() float64 {
	var t wire.Tallied
	for range int(m.Rollouts) {
		t.Permits = append(t.Permits, wire.Permit{Rollout: "0123456789abcdef", Term: 12, Limit: wire.Amount{Requests: 1234.5, Tokens: 123456.7}})
	}
	return float64(FrameSize("tally", true, t))
}

// owner returns the costs of the part of an entry node that owns upstreams and uses
// those of the other owners of its cell.
func (m *model) owner() Role {
	return Role{Name: "Owner of upstreams, on every entry node", Rows: []Row{
		m.heartbeatsReceived(), m.heartbeatsForwarded(), m.forwardedHeartbeatsReceived(), m.grantsSent(), m.demandsSent(), m.slotTables(),
	}}
}

// heartbeatsReceived is the cost at the owner of the heartbeats of its upstreams.
func (m *model) heartbeatsReceived() Row {
	rate := m.perNode() / m.heartbeatInterval
	r := Row{
		Mechanism: "heartbeats over HTTP (internal/upstream)", Arithmetic: fmt.Sprintf("%.1f upstreams / %.2f s", m.perNode(), m.heartbeatInterval),
		Messages: 2 * rate, Core: rate * m.coresPerStep("heartbeat.cpu"), Slopes: []string{"heartbeat.cpu", "heartbeat.in", "heartbeat.out"},
	}
	r.In, r.Out = rate*(m.costPerStep("heartbeat.in")+2*PacketBytes), rate*(m.costPerStep("heartbeat.out")+PacketBytes)
	return r
}

// heartbeatsForwarded is the cost at the owner of forwarding heartbeats to its cell.
func (m *model) heartbeatsForwarded() Row {
	rate := m.perNode() / m.heartbeatInterval * (m.Cell - 1)
	r := Row{Mechanism: "heartbeats passed on (internal/cell)", Arithmetic: fmt.Sprintf("%.1f upstreams × %.0f nodes / %.2f s", m.perNode(), m.Cell-1, m.heartbeatInterval), Slopes: []string{"pulse.bytes"}}
	return m.addOneWayMessages(r, 0, 0, rate, m.costPerStep("pulse.bytes"))
}

// forwardedHeartbeatsReceived is the cost of the heartbeats that other owners forward.
func (m *model) forwardedHeartbeatsReceived() Row {
	otherUpstreams := m.perCell() - m.perNode()
	rate := otherUpstreams / m.heartbeatInterval
	r := Row{
		Mechanism: "heartbeats from other owners (internal/cell)", Arithmetic: fmt.Sprintf("%.1f upstreams / %.2f s", otherUpstreams, m.heartbeatInterval),
		Core: rate * m.coresPerStep("pulse.cpu"), Slopes: []string{"pulse.bytes", "pulse.cpu"},
	}
	return m.addOneWayMessages(r, rate, m.costPerStep("pulse.bytes"), 0, 0)
}

// grantsSent is the cost at the owner of receiving slot demands and sending grants. Like
// demandsSent, it assumes one report per frame, although reports that fall due within
// 5 ms share a frame.
func (m *model) grantsSent() Row {
	rate := m.perNode() * (m.Cell - 1) / slotReportInterval
	r := Row{
		Mechanism: "slot demands taken, grants sent (pkg/routing)", Arithmetic: fmt.Sprintf("%.1f upstreams × %.0f nodes / 0.475 s", m.perNode(), m.Cell-1),
		Core: rate * (m.coresPerStep("demand.cpu") + m.coresPerStep("decide.cpu")), Slopes: []string{"decide.cpu", "demand.bytes", "demand.cpu", "grant.bytes"},
	}
	return m.addOneWayMessages(r, rate, m.costAt("demand.bytes", 1), rate, m.costAt("grant.bytes", 1))
}

// demandsSent is the cost of sending slot demands to other owners and receiving grants.
func (m *model) demandsSent() Row {
	otherUpstreams := m.perCell() - m.perNode()
	rate := otherUpstreams / slotReportInterval
	r := Row{
		Mechanism: "slot demands sent, grants taken (pkg/routing)", Arithmetic: fmt.Sprintf("%.1f upstreams / 0.475 s", otherUpstreams),
		Core: rate * m.coresPerStep("grant.cpu"), Slopes: []string{"demand.bytes", "grant.bytes", "grant.cpu"},
	}
	return m.addOneWayMessages(r, rate, m.costAt("grant.bytes", 1), rate, m.costAt("demand.bytes", 1))
}

// slotTables is the cost of the tables that a node keeps for each upstream of its cell,
// and of the slot ticks.
func (m *model) slotTables() Row {
	n := m.perCell()
	return Row{
		Mechanism: "tables and ticks of the slots (internal/caller)", Arithmetic: fmt.Sprintf("%.1f upstreams with a full prefix index; 200 ticks / 1 s", n),
		State: n * m.costPerStep("prefix.memory"), Core: slotTicksPerSecond * m.costAt("tick.cpu", n) / 1e9,
		Slopes: []string{"prefix.memory", "upstream.memory", "tick.cpu"},
	}
}

// Intervals in seconds of optimizations that are not implemented and would bring a node
// closer to its budget; see optimizedNode.
const (
	optimizedHeartbeatInterval     = 30
	optimizedLinkPingInterval      = 1.2
	optimizedRolloutReportInterval = 5
	combinedSlotReportInterval     = 2
	// slotEntryBytes is the size of one upstream in a report without the names of fields
	// and upstreams.
	slotEntryBytes = 16
)

// optimizedNode returns the costs of a node with optimizations that are not implemented:
// upstreams report their load in response headers and send fewer heartbeats, link pings
// and rollout reports are less frequent, and each pair of nodes exchanges one slot report
// and one grant that cover all upstreams. Link pings carry the membership probes.
func (m *model) optimizedNode() Role {
	n := *m
	n.heartbeatInterval, n.linkPingInterval, n.rolloutReportInterval = optimizedHeartbeatInterval, optimizedLinkPingInterval, optimizedRolloutReportInterval
	rate := (n.Cell - 1) / combinedSlotReportInterval
	size := slotEntryBytes*n.perNode() + envelopeBytes("cell")
	slots := Row{
		Mechanism: "slot reports and grants, one frame a pair of nodes", Arithmetic: fmt.Sprintf("2 × %.0f nodes / %d s × %.1f upstreams × %d B", n.Cell-1, combinedSlotReportInterval, n.perNode(), slotEntryBytes),
		Core: rate * n.perNode() * (n.coresPerStep("demand.cpu") + n.coresPerStep("decide.cpu") + n.coresPerStep("grant.cpu")), Slopes: []string{"decide.cpu", "demand.cpu", "grant.cpu"},
	}
	return Role{Name: "Entry node and owner with measures that are not built", Budget: &NodeBudget, Rows: []Row{
		n.renewalsSent(), n.linkPings(n.Cell), n.changesReceived(), n.rolloutReportsSent(), n.heartbeatsReceived(), n.heartbeatsForwarded(), n.forwardedHeartbeatsReceived(), n.addOneWayMessages(slots, 2*rate, size, 2*rate, size), n.slotTables(),
	}}
}
