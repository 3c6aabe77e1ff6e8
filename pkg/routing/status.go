package routing

import (
	"maps"
	"slices"
	"time"
)

// OwnedStatus is the state of one upstream that a node owns, for operators.
type OwnedStatus struct {
	Upstream string
	// Limit is the estimated limit. Usable is the number of slots that may be
	// granted now. It is zero while the upstream is not ready, leaving, drained,
	// without heartbeats or not settled after a takeover, and while the owner's
	// session lease has lapsed.
	Limit  int
	Usable int
	// Running is the number of open requests that nodes report, and Uncovered the
	// number that the upstream runs in addition to these.
	Running   int
	Uncovered int
	// Settled is false after a takeover until the owner knows enough to grant.
	Settled bool
	// LastHeartbeat is when the last heartbeat arrived.
	LastHeartbeat time.Time
	// Nodes lists the nodes that use the upstream, sorted by name.
	Nodes []NodeStatus
}

// NodeStatus is one node's use of an upstream.
type NodeStatus struct {
	Node           string
	Slots          int
	Running        int
	RequestedSlots int
}

// Status returns the state of the upstreams that the node owns, sorted by ID.
func (o *Owner) Status(now time.Time) []OwnedStatus {
	var out []OwnedStatus
	for _, id := range slices.Sorted(maps.Keys(o.upstreams)) {
		u := o.upstreams[id]
		if !u.owned {
			continue
		}
		s := OwnedStatus{
			Upstream: id, Limit: u.limiter.limit, Usable: o.grantableLimit(now, u), Running: u.running(),
			Uncovered: u.uncovered, Settled: u.settled(now, o), LastHeartbeat: u.lastHeartbeat,
		}
		for _, name := range slices.Sorted(maps.Keys(u.peers)) {
			if p := u.peers[name]; p.maxOpenRequests() > 0 || p.requestedSlots > 0 {
				s.Nodes = append(s.Nodes, NodeStatus{Node: name, Slots: p.grantedSlots, Running: p.running, RequestedSlots: p.requestedSlots})
			}
		}
		out = append(out, s)
	}
	return out
}
