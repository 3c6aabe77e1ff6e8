package reach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAsked is the number of other nodes that are asked for one connection.
	maxAsked = 3
	// maxAskedInDomain leaves one of them to another failure domain, because a whole domain
	// may have lost its path.
	maxAskedInDomain = 2
	// nodeRest is how long a node that could not help is not asked again.
	nodeRest = 2 * time.Second
)

// Node is another entry node.
type Node struct{ Name, Domain string }

// RecordHelpless records that a node could not help: it cannot be reached, has lost its path
// too, is full or shuts down.
func (p *Paths) RecordHelpless(now time.Time, node string) { p.nodes[node] = now.Add(nodeRest) }

// Order lists the nodes to ask for a connection to an upstream: first those in the same
// failure domain, because traffic between domains costs money. Different upstreams and
// different nodes that ask get different orders, which spreads the load.
func (p *Paths) Order(now time.Time, self Node, nodes []Node, address string) []string {
	var own, other []Node
	for _, n := range nodes {
		switch {
		case n.Name == self.Name || now.Before(p.nodes[n.Name]):
		case n.Domain == self.Domain:
			own = append(own, n)
		default:
			other = append(other, n)
		}
	}
	rank := func(n Node) uint64 { return xxhash.Sum64String(self.Name + "\x00" + n.Name + "\x00" + address) }
	var names []string
	for _, group := range []struct {
		nodes []Node
		most  int
	}{{own, maxAskedInDomain}, {other, maxAsked}} {
		slices.SortFunc(group.nodes, func(a, b Node) int { return cmp.Compare(rank(a), rank(b)) })
		for _, n := range group.nodes[:min(group.most, len(group.nodes), maxAsked-len(names))] {
			names = append(names, n.Name)
		}
	}
	return names
}
