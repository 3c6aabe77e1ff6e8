package capacity

import (
	"fmt"
	"math"
)

// leader returns the costs of the voter that leads the consensus group. The current
// design has a single group.
func (m *model) leader() Role {
	return Role{Name: "Leader of the consensus group, a VM set aside for control", Rows: []Row{
		m.renewalsServed(), m.linkPings(m.Nodes - 1 + m.Voters), m.logReplication(), m.changesPushed(), m.groupHeartbeats(m.Voters - 1), m.bookingsReplicated(), m.rolloutReportsReceived(),
	}}
}

// follower returns the costs of a voter that does not lead.
func (m *model) follower() Role {
	return Role{Name: "Voter that does not lead, a VM set aside for control", Rows: []Row{
		m.linkPings(m.Voters - 1), m.groupHeartbeats(1), m.logEntriesReceived(),
	}}
}

// renewalsServed is the cost at the leader of the session renewals of all nodes. The
// slopes renew.out and renew.in are the bytes that the renewing node sends and receives.
func (m *model) renewalsServed() Row {
	rate := m.Nodes / renewInterval
	r := Row{
		Mechanism: "session renewals (internal/replica)", Arithmetic: fmt.Sprintf("%.0f nodes / 0.5 s", m.Nodes),
		Core: rate * m.coresPerStep("renew.cpu"), Slopes: []string{"renew.cpu", "renew.in", "renew.out"},
	}
	return r.addServedRequests(rate, m.costPerStep("renew.out"), m.costPerStep("renew.in"))
}

// logReplication is the cost of replicating changes to the other voters. A voter keeps
// the results of at most 16,384 changes (maxResults of pkg/state).
func (m *model) logReplication() Row {
	rate, peers := m.changes(), m.Voters-1
	r := Row{
		Mechanism:  "changes in the log (pkg/raft, pkg/state)",
		Arithmetic: fmt.Sprintf("(%.0f + 2 × %.0f node restarts) / 86,400 s × %.0f voters", m.Changes, m.nodeRestarts(), peers),
		State:      m.keySpace()*m.costPerStep("entry.memory") + min(secondsPerDay*rate, 16384)*m.costPerStep("change.memory"),
		Core:       rate * (m.coresPerStep("change.cpu") + m.costAt("raft.cpu", m.Voters)/1e9),
		Slopes:     []string{"append.bytes", "reply.bytes", "change.cpu", "change.memory", "entry.memory", "raft.cpu"},
	}
	return m.addOneWayMessages(r, rate*peers, m.costPerStep("reply.bytes"), rate*peers, m.costAt("append.bytes", 1))
}

// changesPushed is the cost at the leader of pushing changes to all nodes. Each push
// causes a session renewal.
func (m *model) changesPushed() Row {
	rate := m.changes() * m.Nodes
	r := Row{
		Mechanism:  "changes pushed, and the renewals that follow (internal/replica)",
		Arithmetic: fmt.Sprintf("%.3f changes/s × %.0f nodes", m.changes(), m.Nodes),
		Core:       rate * (m.costAt("push.cpu", 1)/1e9 + m.coresPerStep("renew.cpu")), Slopes: []string{"push.bytes", "push.cpu", "renew.cpu"},
	}
	return m.addOneWayMessages(r, 0, 0, rate, m.costAt("push.bytes", 1)).addServedRequests(rate, m.costPerStep("renew.out"), m.costPerStep("renew.in"))
}

// groupHeartbeats is the cost of exchanging Raft heartbeats with the given number of
// other voters.
func (m *model) groupHeartbeats(peers float64) Row {
	rate := peers / groupHeartbeatInterval
	r := Row{Mechanism: "heartbeats of the group (pkg/raft)", Arithmetic: fmt.Sprintf("%.0f voters / 0.0625 s", peers), Slopes: []string{"reply.bytes"}}
	return m.addOneWayMessages(r, rate, m.costPerStep("reply.bytes"), rate, m.costPerStep("reply.bytes"))
}

// bookingCommandBytes is the mean size of the messages that carry the two commands of a
// booking, begin and finish.
func (m *model) bookingCommandBytes() float64 {
	return m.costPerStep("booking.log")/2 + envelopeBytes("propose")
}

// bookingStateBytes is the memory of the booking records, which are kept for 24 h.
func (m *model) bookingStateBytes() float64 {
	return m.bookings() * secondsPerDay * m.costPerStep("booking.memory")
}

// bookingsReplicated is the cost at the leader of booking commands and their replication.
func (m *model) bookingsReplicated() Row {
	rate, peers := m.bookings(), m.Voters-1
	r := Row{
		Mechanism:  "bookings: begin and finish (internal/replica, pkg/state)",
		Arithmetic: fmt.Sprintf("%.0f requests/s × %.2f × 2 commands; %.0f other voters, 16 commands a message; kept 24 h", m.Requests, m.Bookings, peers),
		State:      m.bookingStateBytes(),
		Core:       rate * (m.coresPerStep("booking.cpu") + 2*m.costAt("raft.cpu", m.Voters)/1e9 + 2*m.coresPerStep("frame.cpu")),
		Slopes:     []string{"booking.cpu", "booking.log", "booking.memory", "raft.cpu", "reply.bytes", "frame.cpu"},
	}
	r = r.addServedRequests(2*rate, m.bookingCommandBytes(), m.costPerStep("reply.bytes"))
	messages := 2 * rate * peers / commandsPerMessage
	return m.addOneWayMessages(r, messages, m.costPerStep("reply.bytes"), messages, commandsPerMessage*m.bookingCommandBytes())
}

// rolloutReportsReceived is the cost at the leader of the rollout reports of all nodes.
func (m *model) rolloutReportsReceived() Row {
	rate, keys := m.Nodes/rolloutReportInterval, m.Rollouts*m.Keys
	r := Row{
		Mechanism: "rollout reports taken (internal/rollouts)", Arithmetic: fmt.Sprintf("%.0f nodes / 0.5 s while %.0f rollouts run", m.Nodes, m.Rollouts),
		Core:   (m.costAt("take.cpu", m.Nodes)/rolloutReportInterval*m.Rollouts)/1e9 + rate*m.coresPerStep("frame.cpu"),
		Slopes: []string{"report.bytes", "take.cpu", "frame.cpu"},
	}
	return r.addServedRequests(rate, m.costAt("report.bytes", keys), m.permitReplyBytes())
}

// logEntriesReceived is the cost of the log entries that a voter that does not lead
// receives, writes and applies. It keeps as many results of changes as the leader; see
// logReplication.
func (m *model) logEntriesReceived() Row {
	commands, messages := 2*m.bookings(), 2*m.bookings()/commandsPerMessage
	rate := m.changes()
	r := Row{
		Mechanism:  "log entries received, written and applied (pkg/raft, pkg/wal, pkg/state)",
		Arithmetic: fmt.Sprintf("%.3f changes/s + %.0f booking commands/s, 16 a message", rate, commands),
		State:      m.bookingStateBytes() + m.keySpace()*m.costPerStep("entry.memory") + min(secondsPerDay*rate, 16384)*m.costPerStep("change.memory"),
		Core:       rate*m.coresPerStep("change.cpu") + m.bookings()*m.coresPerStep("booking.cpu") + (rate+commands)*m.costPerStep("raft.cpu")/1e9,
		Slopes:     []string{"append.bytes", "booking.cpu", "booking.log", "booking.memory", "change.cpu", "raft.cpu", "reply.bytes"},
	}
	r = m.addOneWayMessages(r, rate, m.costAt("append.bytes", 1), rate, m.costPerStep("reply.bytes"))
	return m.addOneWayMessages(r, messages, commandsPerMessage*m.bookingCommandBytes(), messages, m.costPerStep("reply.bytes"))
}

// fleetController returns the costs of the node that plans the fleet.
func (m *model) fleetController() Role {
	vms := m.Nodes + m.Upstreams
	return Role{Name: "Fleet controller, one at a time (no node runs it yet)", Rows: []Row{{
		Mechanism: "plan and list of VMs (pkg/fleet, internal/cloud)", Arithmetic: fmt.Sprintf("%.0f VMs / 10 s", vms),
		State: vms * m.costPerStep("vm.bytes"), Messages: 2 / fleetPlanInterval, In: m.costAt("vm.bytes", vms) / fleetPlanInterval,
		Core: m.costAt("plan.cpu", vms) / fleetPlanInterval / 1e9, Slopes: []string{"plan.cpu", "vm.bytes"},
	}}}
}

// operatorsAPI returns the costs of the operators' API when one node serves all operators.
func (m *model) operatorsAPI() Role {
	rate := m.Changes / secondsPerDay
	listRate := m.Screens / screenRefreshInterval
	// headerBytes is the size of the HTTP headers of a request or a response.
	const headerBytes = 400
	return Role{Name: "Operators' API, one node that takes all of it", Rows: []Row{
		{
			Mechanism: "changes submitted (internal/operator)", Arithmetic: fmt.Sprintf("%.0f changes / 86,400 s", m.Changes), Messages: 4 * rate,
			In: rate * (m.costPerStep("change.log") + headerBytes + PacketBytes), Out: rate * (m.costPerStep("change.log") + headerBytes + PacketBytes),
			Core: rate * (m.coresPerStep("heartbeat.cpu") + m.coresPerStep("renew.cpu")), Slopes: []string{"change.log", "heartbeat.cpu", "renew.cpu"},
		},
		{
			Mechanism: "upstreams listed (internal/operator)", Arithmetic: fmt.Sprintf("%.0f screens / 10 s × %.1f upstreams of the cell", m.Screens, m.perCell()), Messages: 2 * listRate,
			In: listRate * (headerBytes + PacketBytes), Out: listRate * (m.costAt("list.bytes", m.perCell()) + headerBytes),
			Core: listRate * m.costAt("list.cpu", m.perCell()) / 1e9, Slopes: []string{"list.bytes", "list.cpu"},
		},
	}}
}

// Control is the total load of the VMs that are reserved for control, and the number of
// VMs that it requires.
type Control struct {
	// Core is the number of cores that all voters and the fleet controller use.
	Core float64 `json:"core"`
	// Memory is the memory of all voters, and DiskPerDay what one voter writes per day,
	// both in bytes.
	Memory     float64 `json:"memory"`
	DiskPerDay float64 `json:"disk"`
	// ConsensusGroups is the number of groups over which the load must be split to keep
	// the loop of each leader under half a core.
	ConsensusGroups float64 `json:"groups"`
	// VMs is the number of VMs required, at four cores each and 50% utilization; at least
	// one per voter.
	VMs float64 `json:"vms"`
	// MemoryPerVM is Memory divided by AllowedVMs.
	MemoryPerVM float64 `json:"memory_per_vm"`
	AllowedVMs  float64 `json:"allowed"`
	// LogSaves is the number of log saves of a voter per second, and LogSaveTime the
	// fraction of time that they take.
	LogSaves    float64 `json:"saves"`
	LogSaveTime float64 `json:"save_time"`
}

func (m *model) controlVMs() Control {
	leader, follower := m.leader().Total(), m.follower().Total()
	c := Control{
		Core:            leader.Core + (m.Voters-1)*follower.Core + m.fleetController().Total().Core,
		Memory:          leader.State + (m.Voters-1)*follower.State,
		DiskPerDay:      secondsPerDay * (m.changes()*m.costPerStep("change.log") + m.bookings()*m.costPerStep("booking.log")),
		ConsensusGroups: max(1, math.Ceil(leader.Core/maxLoopUtilization)),
		AllowedVMs:      maxControlVMs,
	}
	c.VMs = max(m.Voters, math.Ceil(c.Core/(vmCores*maxVMUtilization)))
	c.MemoryPerVM = c.Memory / c.AllowedVMs
	c.LogSaves = 2*m.bookings()/commandsPerMessage + m.changes()
	c.LogSaveTime = c.LogSaves * m.costAt("save.time", commandsPerMessage) / 1e9
	return c
}
