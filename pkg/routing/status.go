package routing

import (
	"maps"
	"slices"
	"time"
)

// OwnedStatus describes one upstream that a node owns, for operators.
type OwnedStatus struct {
	Upstream string
	// Limit is the learned limit; Usable is what may be granted now, zero while the
	// upstream is leaving, drained, expired or not settled after a takeover.
	Limit  int
	Usable int
	// Running is the number of open requests that nodes report and Uncovered the
	// number that the upstream runs beyond these.
	Running   int
	Uncovered int
	// Settled is false after a takeover until the owner knows enough to grant.
	Settled bool
	// Heard is when the last heartbeat came.
	Heard time.Time
	// Nodes describes the nodes that use the upstream, in the order of their names.
	Nodes []NodeStatus
}

// NodeStatus describes one node's use of an upstream.
type NodeStatus struct {
	Node    string
	Slots   int
	Running int
	Want    int
}

// Status describes the upstreams that the node owns, in the order of their names.
func (o *Owner) Status(now time.Time) []OwnedStatus {
	var out []OwnedStatus
	for _, id := range slices.Sorted(maps.Keys(o.records)) {
		r := o.records[id]
		if !r.owned {
			continue
		}
		s := OwnedStatus{
			Upstream: id, Limit: r.limiter.limit, Usable: o.limit(now, r), Running: r.running(),
			Uncovered: r.ghost, Settled: r.settled(now, o), Heard: r.seen,
		}
		for _, name := range slices.Sorted(maps.Keys(r.peers)) {
			if p := r.peers[name]; p.charge() > 0 || p.want > 0 {
				s.Nodes = append(s.Nodes, NodeStatus{Node: name, Slots: p.last, Running: p.running, Want: p.want})
			}
		}
		out = append(out, s)
	}
	return out
}
