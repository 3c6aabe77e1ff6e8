package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node identifies one process of the cell.
type Node struct {
	Name string
	// Incarnation increases with each start of the process.
	Incarnation uint64
}

// View is the cell's membership at one version of the replicated key space.
type View struct {
	// Version never decreases and is the same on all nodes for the same membership.
	Version uint64
	Nodes   []Node
}

// HasNode reports whether a node of that name is a member.
func (v View) HasNode(name string) bool {
	return slices.ContainsFunc(v.Nodes, func(n Node) bool { return n.Name == name })
}

// Owner returns the name of the node that owns the upstream by rendezvous hashing,
// or an empty string for an empty view. When a node leaves, only the upstreams that
// it owned change owner.
func (v View) Owner(upstream string) string {
	var owner string
	var best uint64
	for _, n := range v.Nodes {
		score := xxhash.Sum64String(n.Name + "\x00" + upstream)
		if owner == "" || score > best || score == best && n.Name < owner {
			owner, best = n.Name, score
		}
	}
	return owner
}

// HasProcess reports whether this process, in this incarnation, is a member.
func (v View) HasProcess(n Node) bool { return slices.Contains(v.Nodes, n) }

// ownerProcess returns the process that owns the upstream.
func (v View) ownerProcess(upstream string) Node {
	name := v.Owner(upstream)
	for _, n := range v.Nodes {
		if n.Name == name {
			return n
		}
	}
	return Node{}
}
