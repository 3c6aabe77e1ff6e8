package capacity

import "fmt"

// data is the data path of an entry node, which has no part in the control budget.
func (m *model) data() Role {
	requests, tokens := m.Requests/m.Nodes, m.Tokens/m.Nodes
	bookings := m.bookings() / m.Nodes
	booking := Row{
		Mechanism: "bookings: begin and finish (internal/replica)", Sum: fmt.Sprintf("%.1f requests/s × %.2f × 2 commands", requests, m.Bookings),
		Core: 2 * bookings * m.core("frame.cpu"), Slopes: []string{"booking.log", "reply.bytes", "frame.cpu"},
	}
	return Role{Name: "Data path of an entry node, outside the control budget", Rows: []Row{
		{
			Mechanism: "requests admitted, sent and ended (internal/caller)", Sum: fmt.Sprintf("%.1f requests/s, each choosing among %.1f upstreams", requests, m.perCell()),
			Core: requests * m.at("request.cpu", m.perCell()) / 1e9, Slopes: []string{"request.cpu"},
		},
		{
			Mechanism: "tokens relayed (internal/caller, pkg/stream)", Sum: fmt.Sprintf("%.0f tokens/s", tokens),
			Core: tokens * m.core("token.cpu"), Slopes: []string{"token.cpu"},
		},
		{
			Mechanism: "open streams (internal/caller)", Sum: fmt.Sprintf("%.0f streams", m.Streams),
			State: m.Streams * m.per("stream.memory"), Slopes: []string{"stream.memory"},
		},
		booking.asks(2*bookings, m.per("reply.bytes"), m.bookingBytes()),
	}}
}

// Hour is one thing that happens in a bad hour.
type Hour struct {
	Event string `json:"event"`
	What  string `json:"what"`
	Sum   string `json:"sum"`
	// Bytes are sent by one VM; Core is processor time in seconds there.
	Bytes float64 `json:"bytes"`
	Core  float64 `json:"core"`
	// Link is the time that the bytes take on 1 Gbit/s, in seconds.
	Link   float64  `json:"link"`
	Slopes []string `json:"slopes"`
}

// hours lists what the worst hours cost.
func (m *model) hours() []Hour {
	domain, region := m.Nodes/m.Domains, m.Nodes/m.Regions
	left := m.Nodes - domain
	restarts := m.nodeRestarts()
	list := []Hour{
		m.pushed("failure domain lost", "leader: sessions ended and pushed", domain, left),
		m.introduced("failure domain lost", 1),
		m.moved("failure domain lost", m.Domains),
		m.moved("region cut off", m.Regions),
		m.full("region back after minutes", region),
		m.pushed("region back after minutes", "leader: sessions ended and started again", 2*region, m.Nodes),
		m.pushed("restarts of one hour", "leader: sessions ended and started", 2*restarts/24, m.Nodes),
		m.introduced("restarts of one hour", 2*restarts/24*m.Cell/m.Nodes),
		m.full("all nodes restarted at once", m.Nodes),
		m.pushed("all nodes restarted at once", "leader: sessions started, each pushed to all", m.Nodes, m.Nodes),
		m.reread("all nodes restarted at once"),
		m.introduced("all nodes restarted at once", m.Cell-1),
	}
	for i, h := range list {
		list[i].Link = h.Bytes / linkRate
	}
	return list
}

// pushed is the cost of a number of session changes that the leader pushes one by one.
func (m *model) pushed(event, what string, changes, nodes float64) Hour {
	pushes := changes * nodes
	return Hour{
		Event: event, What: what, Sum: fmt.Sprintf("%.1f changes × %.0f nodes, a push and a renewal each", changes, nodes),
		Bytes:  pushes * (m.at("push.bytes", 1) + m.per("renew.in") + 2*(TLSBytes+PacketBytes)),
		Core:   pushes * (m.at("push.cpu", 1) + m.per("frame.cpu")/2 + m.per("renew.cpu")) / 1e9,
		Slopes: []string{"push.bytes", "push.cpu", "renew.cpu", "renew.in"},
	}
}

// full is the cost of sending the whole key space to a number of nodes.
func (m *model) full(event string, nodes float64) Hour {
	bytes := m.at("entry.bytes", m.keySpace())
	return Hour{
		Event: event, What: "leader: whole key space sent", Sum: fmt.Sprintf("%.0f entries, %.0f B, to %.0f nodes", m.keySpace(), bytes, nodes),
		Bytes: nodes * bytes, Core: nodes * m.keySpace() * m.core("push.cpu"), Slopes: []string{"entry.bytes", "push.cpu"},
	}
}

// moved is the data path of a node that carries its part of the load of one of n
// equal parts of the system, which were lost.
func (m *model) moved(event string, n float64) Hour {
	if n < 2 {
		return Hour{Event: event, What: "the only one: no node is left", Sum: "1 of 1"}
	}
	core := m.data().Total().Core
	return Hour{
		Event: event, What: "node that is left: data path, each second", Sum: fmt.Sprintf("%s cores × %.0f / %.0f", number(core), n, n-1),
		Core: core * n / (n - 1), Slopes: []string{"request.cpu", "token.cpu"},
	}
}

// reread is a node's cost of taking each session start by itself.
func (m *model) reread(event string) Hour {
	return Hour{
		Event: event, What: "node: key space read anew for each start", Sum: fmt.Sprintf("%.0f starts × %.0f entries", m.Nodes, m.keySpace()),
		Core: m.Nodes * m.at("entry.cpu", m.keySpace()) / 1e9, Slopes: []string{"entry.cpu"},
	}
}

// introduced is the cost at an owner of announcing its upstreams to its cell again,
// which it does at each change of the cell's nodes.
func (m *model) introduced(event string, changes float64) Hour {
	sent := changes * m.perNode() * (m.Cell - 1)
	return Hour{
		Event: event, What: "owner: announcements repeated to the cell", Sum: fmt.Sprintf("%.1f changes of the cell × %.1f upstreams × %.0f nodes", changes, m.perNode(), m.Cell-1),
		Bytes: sent * (m.per("announce.bytes") + TLSBytes + PacketBytes), Core: sent * m.core("frame.cpu") / 2, Slopes: []string{"announce.bytes", "frame.cpu"},
	}
}
