package capacity

import "fmt"

// dataPath returns the costs of the data path of an entry node, which do not count against
// the control budget.
func (m *model) dataPath() Role {
	requests, tokens := m.Requests/m.Nodes, m.Tokens/m.Nodes
	bookings := m.bookings() / m.Nodes
	bookingRow := Row{
		Mechanism: "bookings: begin and finish (internal/replica)", Arithmetic: fmt.Sprintf("%.1f requests/s × %.2f × 2 commands", requests, m.Bookings),
		Core: 2 * bookings * m.coresPerStep("frame.cpu"), Slopes: []string{"booking.log", "reply.bytes", "frame.cpu"},
	}
	return Role{Name: "Data path of an entry node, outside the control budget", Rows: []Row{
		{
			Mechanism: "requests admitted, sent and ended (internal/caller)", Arithmetic: fmt.Sprintf("%.1f requests/s, each choosing among %.1f upstreams", requests, m.perCell()),
			Core: requests * m.costAt("request.cpu", m.perCell()) / 1e9, Slopes: []string{"request.cpu"},
		},
		{
			Mechanism: "tokens relayed (internal/caller, pkg/stream)", Arithmetic: fmt.Sprintf("%.0f tokens/s", tokens),
			Core: tokens * m.coresPerStep("token.cpu"), Slopes: []string{"token.cpu"},
		},
		{
			Mechanism: "open streams (internal/caller)", Arithmetic: fmt.Sprintf("%.0f streams", m.Streams),
			State: m.Streams * m.costPerStep("stream.memory"), Slopes: []string{"stream.memory"},
		},
		bookingRow.addSentRequests(2*bookings, m.costPerStep("reply.bytes"), m.bookingCommandBytes()),
	}}
}

// EventCost is one of the costs that an event, such as the loss of a failure domain,
// causes in a VM. The costs of an event are listed separately.
type EventCost struct {
	Event      string `json:"event"`
	Work       string `json:"what"`
	Arithmetic string `json:"sum"`
	// Bytes is the number of bytes that the VM sends, and ProcessorTime the time in seconds
	// for which it uses one core.
	Bytes         float64 `json:"bytes"`
	ProcessorTime float64 `json:"core"`
	// LinkTime is the time in seconds to send Bytes at 1 Gbit/s.
	LinkTime float64  `json:"link"`
	Slopes   []string `json:"slopes"`
}

// eventCosts lists the costs of the events of the worst hours.
func (m *model) eventCosts() []EventCost {
	domainNodes, regionNodes := m.Nodes/m.Domains, m.Nodes/m.Regions
	remainingNodes := m.Nodes - domainNodes
	restartsPerDay := m.nodeRestarts()
	costs := []EventCost{
		m.sessionChangesPushed("failure domain lost", "leader: sessions ended and pushed", domainNodes, remainingNodes),
		m.announcementsRepeated("failure domain lost", 1),
		m.failoverLoad("failure domain lost", m.Domains),
		m.failoverLoad("region cut off", m.Regions),
		m.fullKeySpaceSent("region back after minutes", regionNodes),
		m.sessionChangesPushed("region back after minutes", "leader: sessions ended and started again", 2*regionNodes, m.Nodes),
		m.sessionChangesPushed("restarts of one hour", "leader: sessions ended and started", 2*restartsPerDay/24, m.Nodes),
		m.announcementsRepeated("restarts of one hour", 2*restartsPerDay/24*m.Cell/m.Nodes),
		m.fullKeySpaceSent("all nodes restarted at once", m.Nodes),
		m.sessionChangesPushed("all nodes restarted at once", "leader: sessions started, each pushed to all", m.Nodes, m.Nodes),
		m.keySpaceReread("all nodes restarted at once"),
		m.announcementsRepeated("all nodes restarted at once", m.Cell-1),
	}
	for i, c := range costs {
		costs[i].LinkTime = c.Bytes / linkBytesPerSecond
	}
	return costs
}

// sessionChangesPushed is the cost at the leader of pushing session changes one by one to
// a number of nodes.
func (m *model) sessionChangesPushed(event, what string, changes, nodes float64) EventCost {
	pushes := changes * nodes
	return EventCost{
		Event: event, Work: what, Arithmetic: fmt.Sprintf("%.1f changes × %.0f nodes, a push and a renewal each", changes, nodes),
		Bytes:         pushes * (m.costAt("push.bytes", 1) + m.costPerStep("renew.in") + 2*(TLSBytes+PacketBytes)),
		ProcessorTime: pushes * (m.costAt("push.cpu", 1) + m.costPerStep("frame.cpu")/2 + m.costPerStep("renew.cpu")) / 1e9,
		Slopes:        []string{"push.bytes", "push.cpu", "renew.cpu", "renew.in"},
	}
}

// fullKeySpaceSent is the cost at the leader of sending the whole key space to a number
// of nodes.
func (m *model) fullKeySpaceSent(event string, nodes float64) EventCost {
	bytes := m.costAt("entry.bytes", m.keySpace())
	return EventCost{
		Event: event, Work: "leader: whole key space sent", Arithmetic: fmt.Sprintf("%.0f entries, %.0f B, to %.0f nodes", m.keySpace(), bytes, nodes),
		Bytes: nodes * bytes, ProcessorTime: nodes * m.keySpace() * m.coresPerStep("push.cpu"), Slopes: []string{"entry.bytes", "push.cpu"},
	}
}

// failoverLoad is the load per second on the data path of a remaining node after one of
// several equal parts of the system, such as its failure domains, is lost.
func (m *model) failoverLoad(event string, parts float64) EventCost {
	if parts < 2 {
		return EventCost{Event: event, Work: "the only one: no node is left", Arithmetic: "1 of 1"}
	}
	dataPathCores := m.dataPath().Total().Core
	return EventCost{
		Event: event, Work: "node that is left: data path, each second", Arithmetic: fmt.Sprintf("%s cores × %.0f / %.0f", formatNumber(dataPathCores), parts, parts-1),
		ProcessorTime: dataPathCores * parts / (parts - 1), Slopes: []string{"request.cpu", "token.cpu"},
	}
}

// keySpaceReread is the cost at a node of reading the key space again for each session
// start, when every start is pushed separately.
func (m *model) keySpaceReread(event string) EventCost {
	return EventCost{
		Event: event, Work: "node: key space read anew for each start", Arithmetic: fmt.Sprintf("%.0f starts × %.0f entries", m.Nodes, m.keySpace()),
		ProcessorTime: m.Nodes * m.costAt("entry.cpu", m.keySpace()) / 1e9, Slopes: []string{"entry.cpu"},
	}
}

// announcementsRepeated is the cost at an owner of announcing its upstreams to its cell
// again, which it does at each change of the cell's nodes.
func (m *model) announcementsRepeated(event string, changes float64) EventCost {
	sent := changes * m.perNode() * (m.Cell - 1)
	return EventCost{
		Event: event, Work: "owner: announcements repeated to the cell", Arithmetic: fmt.Sprintf("%.1f changes of the cell × %.1f upstreams × %.0f nodes", changes, m.perNode(), m.Cell-1),
		Bytes: sent * (m.costPerStep("announce.bytes") + TLSBytes + PacketBytes), ProcessorTime: sent * m.coresPerStep("frame.cpu") / 2, Slopes: []string{"announce.bytes", "frame.cpu"},
	}
}
