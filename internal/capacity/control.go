package capacity

import (
	"fmt"
	"math"
)

// leader is the voter that leads the one consensus group of today's design.
func (m *model) leader() Role {
	return Role{Name: "Leader of the consensus group, a VM set aside for control", Rows: []Row{
		m.sessions(), m.pings(m.Nodes - 1 + m.Voters), m.commits(), m.pushes(), m.votes(m.Voters - 1), m.bookingLeader(), m.judging(),
	}}
}

// follower is a voter that does not lead.
func (m *model) follower() Role {
	return Role{Name: "Voter that does not lead, a VM set aside for control", Rows: []Row{
		m.pings(m.Voters - 1), m.votes(1), m.stored(),
	}}
}

func (m *model) sessions() Row {
	rate := m.Nodes / renewInterval
	r := Row{
		Mechanism: "session renewals (internal/replica)", Sum: fmt.Sprintf("%.0f nodes / 0.5 s", m.Nodes),
		Core: rate * m.core("renew.cpu"), Slopes: []string{"renew.cpu", "renew.in", "renew.out"},
	}
	return r.answers(rate, m.per("renew.out"), m.per("renew.in"))
}

// commits is the replication of changes to the other voters.
func (m *model) commits() Row {
	rate, peers := m.changes(), m.Voters-1
	r := Row{
		Mechanism: "changes in the log (pkg/raft, pkg/state)",
		Sum:       fmt.Sprintf("(%.0f + 2 × %.0f node restarts) / 86,400 s × %.0f voters", m.Changes, m.nodeRestarts(), peers),
		State:     m.keySpace()*m.per("entry.memory") + min(secondsPerDay*rate, 16384)*m.per("change.memory"),
		Core:      rate * (m.core("change.cpu") + m.at("raft.cpu", m.Voters)/1e9),
		Slopes:    []string{"append.bytes", "reply.bytes", "change.cpu", "change.memory", "entry.memory", "raft.cpu"},
	}
	return m.send(r, rate*peers, m.per("reply.bytes"), rate*peers, m.at("append.bytes", 1))
}

func (m *model) pushes() Row {
	rate := m.changes() * m.Nodes
	r := Row{
		Mechanism: "changes pushed, and the renewals that follow (internal/replica)",
		Sum:       fmt.Sprintf("%.3f changes/s × %.0f nodes", m.changes(), m.Nodes),
		Core:      rate * (m.at("push.cpu", 1)/1e9 + m.core("renew.cpu")), Slopes: []string{"push.bytes", "push.cpu", "renew.cpu"},
	}
	return m.send(r, 0, 0, rate, m.at("push.bytes", 1)).answers(rate, m.per("renew.out"), m.per("renew.in"))
}

// votes is the cost of the group's own heartbeats with a number of other voters.
func (m *model) votes(peers float64) Row {
	rate := peers / voteInterval
	r := Row{Mechanism: "heartbeats of the group (pkg/raft)", Sum: fmt.Sprintf("%.0f voters / 0.0625 s", peers), Slopes: []string{"reply.bytes"}}
	return m.send(r, rate, m.per("reply.bytes"), rate, m.per("reply.bytes"))
}

// bookingBytes is half of a booking's commands, the mean of begin and finish.
func (m *model) bookingBytes() float64 { return m.per("booking.log")/2 + envelope("propose") }

// bookingState is the memory of the records that are kept for 24 h.
func (m *model) bookingState() float64 {
	return m.bookings() * secondsPerDay * m.per("booking.memory")
}

func (m *model) bookingLeader() Row {
	rate, peers := m.bookings(), m.Voters-1
	r := Row{
		Mechanism: "bookings: begin and finish (internal/replica, pkg/state)",
		Sum:       fmt.Sprintf("%.0f requests/s × %.2f × 2 commands; %.0f other voters, 16 commands a message; kept 24 h", m.Requests, m.Bookings, peers),
		State:     m.bookingState(),
		Core:      rate * (m.core("booking.cpu") + 2*m.at("raft.cpu", m.Voters)/1e9 + 2*m.core("frame.cpu")),
		Slopes:    []string{"booking.cpu", "booking.log", "booking.memory", "raft.cpu", "reply.bytes", "frame.cpu"},
	}
	r = r.answers(2*rate, m.bookingBytes(), m.per("reply.bytes"))
	messages := 2 * rate * peers / batch
	return m.send(r, messages, m.per("reply.bytes"), messages, batch*m.bookingBytes())
}

// judging takes the rollout reports of all nodes.
func (m *model) judging() Row {
	rate, keys := m.Nodes/stepInterval, m.Rollouts*m.Keys
	r := Row{
		Mechanism: "rollout reports taken (internal/rollouts)", Sum: fmt.Sprintf("%.0f nodes / 0.5 s while %.0f rollouts run", m.Nodes, m.Rollouts),
		Core:   (m.at("take.cpu", m.Nodes)/stepInterval*m.Rollouts)/1e9 + rate*m.core("frame.cpu"),
		Slopes: []string{"report.bytes", "take.cpu", "frame.cpu"},
	}
	return r.answers(rate, m.at("report.bytes", keys), m.permits())
}

// stored is what a voter that does not lead receives, applies and writes.
func (m *model) stored() Row {
	commands, messages := 2*m.bookings(), 2*m.bookings()/batch
	rate := m.changes()
	r := Row{
		Mechanism: "log entries received, written and applied (pkg/raft, pkg/wal, pkg/state)",
		Sum:       fmt.Sprintf("%.3f changes/s + %.0f booking commands/s, 16 a message", rate, commands),
		State:     m.bookingState() + m.keySpace()*m.per("entry.memory") + min(secondsPerDay*rate, 16384)*m.per("change.memory"),
		Core:      rate*m.core("change.cpu") + m.bookings()*m.core("booking.cpu") + (rate+commands)*m.per("raft.cpu")/1e9,
		Slopes:    []string{"append.bytes", "booking.cpu", "booking.log", "booking.memory", "change.cpu", "raft.cpu", "reply.bytes"},
	}
	r = m.send(r, rate, m.at("append.bytes", 1), rate, m.per("reply.bytes"))
	return m.send(r, messages, batch*m.bookingBytes(), messages, m.per("reply.bytes"))
}

// controller is the node that plans the fleet.
func (m *model) controller() Role {
	vms := m.Nodes + m.Upstreams
	return Role{Name: "Fleet controller, one at a time (no node runs it yet)", Rows: []Row{{
		Mechanism: "plan and list of VMs (pkg/fleet, internal/cloud)", Sum: fmt.Sprintf("%.0f VMs / 10 s", vms),
		State: vms * m.per("vm.bytes"), Messages: 2 / planInterval, In: m.at("vm.bytes", vms) / planInterval,
		Core: m.at("plan.cpu", vms) / planInterval / 1e9, Slopes: []string{"plan.cpu", "vm.bytes"},
	}}}
}

// operators is the operators' API of one node that serves all of them.
func (m *model) operators() Role {
	rate := m.Changes / secondsPerDay
	list := m.Screens / screenInterval
	// 400 bytes hold the HTTP headers of a request or an answer.
	const header = 400
	return Role{Name: "Operators' API, one node that takes all of it", Rows: []Row{
		{
			Mechanism: "changes submitted (internal/operator)", Sum: fmt.Sprintf("%.0f changes / 86,400 s", m.Changes), Messages: 4 * rate,
			In: rate * (m.per("change.log") + header + PacketBytes), Out: rate * (m.per("change.log") + header + PacketBytes),
			Core: rate * (m.core("heartbeat.cpu") + m.core("renew.cpu")), Slopes: []string{"change.log", "heartbeat.cpu", "renew.cpu"},
		},
		{
			Mechanism: "upstreams listed (internal/operator)", Sum: fmt.Sprintf("%.0f screens / 10 s × %.1f upstreams of the cell", m.Screens, m.perCell()), Messages: 2 * list,
			In: list * (header + PacketBytes), Out: list * (m.at("list.bytes", m.perCell()) + header),
			Core: list * m.at("list.cpu", m.perCell()) / 1e9, Slopes: []string{"list.bytes", "list.cpu"},
		},
	}}
}

// Control is what the VMs that are set aside for control have to carry.
type Control struct {
	// Core is the leader's and the followers' together.
	Core float64 `json:"core"`
	// Memory is that of all voters together, Disk what one voter writes a day.
	Memory float64 `json:"memory"`
	Disk   float64 `json:"disk"`
	// Groups keeps each leader's loop under half a core.
	Groups float64 `json:"groups"`
	// VMs is the number of VMs of four cores, used to one half.
	VMs float64 `json:"vms"`
	// MemoryPerVM is Memory over the VMs allowed.
	MemoryPerVM float64 `json:"memory_per_vm"`
	Allowed     float64 `json:"allowed"`
	// Saves of a voter's log a second, and the share of time that they take.
	Saves    float64 `json:"saves"`
	SaveTime float64 `json:"save_time"`
}

func (m *model) control() Control {
	leader, follower := m.leader().Total(), m.follower().Total()
	c := Control{
		Core:    leader.Core + (m.Voters-1)*follower.Core + m.controller().Total().Core,
		Memory:  leader.State + (m.Voters-1)*follower.State,
		Disk:    secondsPerDay * (m.changes()*m.per("change.log") + m.bookings()*m.per("booking.log")),
		Groups:  max(1, math.Ceil(leader.Core/loopUse)),
		Allowed: maxControlVMs,
	}
	c.VMs = max(m.Voters, math.Ceil(c.Core/(vmCores*vmUse)))
	c.MemoryPerVM = c.Memory / c.Allowed
	c.Saves = 2*m.bookings()/batch + m.changes()
	c.SaveTime = c.Saves * m.at("save.time", batch) / 1e9
	return c
}
