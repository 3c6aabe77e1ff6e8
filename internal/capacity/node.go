package capacity

import (
	"fmt"

	"github.com/jaystage/jaystage/pkg/wire"
)

// entry is the control part of an entry node.
func (m *model) entry() Role {
	return Role{Name: "Entry node, control part", Rows: []Row{m.renewals(), m.pings(m.Cell), m.follow(), m.probes(), m.reports()}}
}

func (m *model) renewals() Row {
	rate := 1 / renewInterval
	r := Row{
		Mechanism: "session renewal (internal/replica)", Sum: "1 node / 0.5 s",
		Core: rate * m.core("renew.cpu"), Slopes: []string{"renew.cpu", "renew.in", "renew.out"},
	}
	return r.asks(rate, m.per("renew.in"), m.per("renew.out"))
}

// pings is the cost of keeping a number of links up.
func (m *model) pings(links float64) Row {
	rate := links / m.ping
	r := Row{Mechanism: "link pings (internal/peer)", Sum: fmt.Sprintf("%.0f links / %.1f s", links, m.ping)}
	return m.send(r, rate, PingBytes, rate, PingBytes)
}

// follow is the copy of the key space; a pushed change causes a renewal.
func (m *model) follow() Row {
	rate := m.changes()
	r := Row{
		Mechanism: "changes pushed by the leader (internal/replica)",
		Sum:       fmt.Sprintf("(%.0f + 2 × %.0f node restarts) / 86,400 s; %.0f entries read anew each time", m.Changes, m.nodeRestarts(), m.keySpace()),
		State:     m.keySpace() * m.per("entry.memory"),
		Core:      rate * (m.at("entry.cpu", m.keySpace())/1e9 + m.core("renew.cpu")),
		Slopes:    []string{"entry.cpu", "entry.memory", "push.bytes", "renew.cpu"},
	}
	return m.send(r, rate, m.at("push.bytes", 1), 0, 0).asks(rate, m.per("renew.in"), m.per("renew.out"))
}

func (m *model) probes() Row {
	rate := m.per("member.messages")
	bytes := m.per("member.bytes")/max(rate, 1) + envelope("ping")
	r := Row{
		Mechanism: "member pings (pkg/member; no node runs it yet)", Sum: "1 ping and 1 answer / 1 s in each direction",
		Core: m.core("member.cpu") / 8, Slopes: []string{"member.cpu", "member.bytes"},
	}
	return m.send(r, rate, bytes, rate, bytes)
}

// reports is the cost of a node's rollout reports while rollouts run.
func (m *model) reports() Row {
	rate, keys := 1/m.report, m.Rollouts*m.Keys
	r := Row{
		Mechanism: "rollout reports (internal/rollouts)", Sum: fmt.Sprintf("1 report of %.0f keys / %.1f s while %.0f rollouts run", keys, m.report, m.Rollouts),
		Core: rate * (keys*m.core("report.cpu") + m.core("frame.cpu")), Slopes: []string{"report.cpu", "report.bytes", "frame.cpu"},
	}
	return r.asks(rate, m.permits(), m.at("report.bytes", keys))
}

// permits is the size of the reply to a rollout report.
func (m *model) permits() float64 {
	var t wire.Tallied
	for range int(m.Rollouts) {
		t.Permits = append(t.Permits, wire.Permit{Rollout: "0123456789abcdef", Term: 12, Limit: wire.Amount{Requests: 1234.5, Tokens: 123456.7}})
	}
	return float64(Frame("tally", true, t))
}

// owner is the part of an entry node that owns upstreams and uses those of the other
// owners of its cell.
func (m *model) owner() Role {
	return Role{Name: "Owner of upstreams, on every entry node", Rows: []Row{
		m.heartbeats(), m.spread(), m.heard(), m.grants(), m.demands(), m.tables(),
	}}
}

func (m *model) heartbeats() Row {
	rate := m.perNode() / m.beat
	r := Row{
		Mechanism: "heartbeats over HTTP (internal/upstream)", Sum: fmt.Sprintf("%.1f upstreams / %.2f s", m.perNode(), m.beat),
		Messages: 2 * rate, Core: rate * m.core("heartbeat.cpu"), Slopes: []string{"heartbeat.cpu", "heartbeat.in", "heartbeat.out"},
	}
	r.In, r.Out = rate*(m.per("heartbeat.in")+2*PacketBytes), rate*(m.per("heartbeat.out")+PacketBytes)
	return r
}

func (m *model) spread() Row {
	rate := m.perNode() / m.beat * (m.Cell - 1)
	r := Row{Mechanism: "heartbeats passed on (internal/cell)", Sum: fmt.Sprintf("%.1f upstreams × %.0f nodes / %.2f s", m.perNode(), m.Cell-1, m.beat), Slopes: []string{"pulse.bytes"}}
	return m.send(r, 0, 0, rate, m.per("pulse.bytes"))
}

func (m *model) heard() Row {
	others := m.perCell() - m.perNode()
	rate := others / m.beat
	r := Row{
		Mechanism: "heartbeats from other owners (internal/cell)", Sum: fmt.Sprintf("%.1f upstreams / %.2f s", others, m.beat),
		Core: rate * m.core("pulse.cpu"), Slopes: []string{"pulse.bytes", "pulse.cpu"},
	}
	return m.send(r, rate, m.per("pulse.bytes"), 0, 0)
}

// grants and demands count one report in a frame; reports that fall due within 5 ms
// share one.
func (m *model) grants() Row {
	rate := m.perNode() * (m.Cell - 1) / reportEvery
	r := Row{
		Mechanism: "slot demands taken, grants sent (pkg/routing)", Sum: fmt.Sprintf("%.1f upstreams × %.0f nodes / 0.475 s", m.perNode(), m.Cell-1),
		Core: rate * (m.core("demand.cpu") + m.core("decide.cpu")), Slopes: []string{"decide.cpu", "demand.bytes", "demand.cpu", "grant.bytes"},
	}
	return m.send(r, rate, m.at("demand.bytes", 1), rate, m.at("grant.bytes", 1))
}

func (m *model) demands() Row {
	others := m.perCell() - m.perNode()
	rate := others / reportEvery
	r := Row{
		Mechanism: "slot demands sent, grants taken (pkg/routing)", Sum: fmt.Sprintf("%.1f upstreams / 0.475 s", others),
		Core: rate * m.core("grant.cpu"), Slopes: []string{"demand.bytes", "grant.bytes", "grant.cpu"},
	}
	return m.send(r, rate, m.at("grant.bytes", 1), rate, m.at("demand.bytes", 1))
}

func (m *model) tables() Row {
	n := m.perCell()
	return Row{
		Mechanism: "tables and ticks of the slots (internal/caller)", Sum: fmt.Sprintf("%.1f upstreams with a full prefix index; 200 ticks / 1 s", n),
		State: n * m.per("prefix.memory"), Core: tickRate * m.at("tick.cpu", n) / 1e9,
		Slopes: []string{"prefix.memory", "upstream.memory", "tick.cpu"},
	}
}

// Intervals in seconds of the measures that would bring a node nearer to its budget.
const (
	longBeat   = 30
	longPing   = 1.2
	longReport = 5
	slotReport = 2
	// slotBytes holds one upstream in a report without names of fields and upstreams.
	slotBytes = 16
)

// reduced is a node with measures that are not built: load in the headers of answers
// and rare heartbeats, rare pings and rollout reports, one slot report and one grant a
// pair of nodes with all upstreams in it. Probes travel in the pings.
func (m *model) reduced() Role {
	n := *m
	n.beat, n.ping, n.report = longBeat, longPing, longReport
	rate := (n.Cell - 1) / slotReport
	size := slotBytes*n.perNode() + envelope("cell")
	slots := Row{
		Mechanism: "slot reports and grants, one frame a pair of nodes", Sum: fmt.Sprintf("2 × %.0f nodes / %d s × %.1f upstreams × %d B", n.Cell-1, slotReport, n.perNode(), slotBytes),
		Core: rate * n.perNode() * (n.core("demand.cpu") + n.core("decide.cpu") + n.core("grant.cpu")), Slopes: []string{"decide.cpu", "demand.cpu", "grant.cpu"},
	}
	return Role{Name: "Entry node and owner with measures that are not built", Budget: &NodeBudget, Rows: []Row{
		n.renewals(), n.pings(n.Cell), n.follow(), n.reports(), n.heartbeats(), n.spread(), n.heard(), n.send(slots, 2*rate, size, 2*rate, size), n.tables(),
	}}
}
