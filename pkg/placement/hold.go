package placement

import "time"

const (
	// minBrittleHold and maxBrittleHold bound the time for which a node leaves a brittle
	// upstream alone after it turned a request away.
	minBrittleHold = 250 * time.Millisecond
	maxBrittleHold = 3 * time.Second
)

// Hold keeps requests from the upstream until a time, unless it is held for longer already.
func (u *Upstream) Hold(until time.Time) {
	if until.After(u.HoldUntil) {
		u.HoldUntil = until
	}
}

// BrittleHold returns for how long a node leaves an upstream alone that can turn away limit
// requests in a second and has turned one away. Nodes that all send as soon as they may have
// limit requests turned away in a second, within the bounds.
func BrittleHold(limit, nodes int) time.Duration {
	return min(max(time.Duration(nodes)*time.Second/time.Duration(max(1, limit)), minBrittleHold), maxBrittleHold)
}

// nodeSlots caches a node's share of the slots of a brittle upstream, which ranks all nodes.
type nodeSlots struct {
	nodes *string // see nodeShare
	count int
	slots int
	share int
}

// ownSlots returns this node's share of the upstream's slots. The shares of all nodes add up
// to its slots, so that a brittle upstream has to turn nobody away.
func (u *Upstream) ownSlots(o Options) int {
	if len(o.Nodes) == 0 {
		return u.Slots
	}
	s := &u.own
	if s.nodes != &o.Nodes[0] || s.count != len(o.Nodes) || s.slots != u.Slots {
		*s = nodeSlots{&o.Nodes[0], len(o.Nodes), u.Slots, u.Slots / len(o.Nodes)}
		if rank := nodeRank(u.ID, o.Self, o.Nodes); rank >= 0 && rank < u.Slots%len(o.Nodes) {
			s.share++
		}
	}
	return s.share
}
