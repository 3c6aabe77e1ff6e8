package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minNodeColdRate is the lowest rate at which a node uses a cold upstream, in requests
	// per second. If the rate is too low for all nodes, fewer nodes use the upstream.
	minNodeColdRate = 2.0
	// coldRateUtilization is the fraction of a cold upstream's rate that is used, because
	// requests of several nodes may arrive together.
	coldRateUtilization = 0.9
)

// coldPacer spaces this node's requests to a cold upstream.
type coldPacer struct {
	nextSend time.Time
	share    nodeShare
}

// nodeShare is a result of NodeColdRate with its inputs. Hundreds of nodes are ranked for
// each upstream, which takes too long to repeat for each request.
type nodeShare struct {
	// nodes points to the first name of the list and keeps the list alive, so that no
	// other list has the same address.
	nodes      *string
	count      int
	coldRate   float64
	ownRate    float64
	calculated bool
}

// nodeColdRate returns NodeColdRate for this node. Options.Nodes must not be modified
// after it was passed.
func (u *Upstream) nodeColdRate(o Options) float64 {
	if len(o.Nodes) == 0 {
		return 0
	}
	s := &u.cold.share
	if !s.calculated || s.nodes != &o.Nodes[0] || s.count != len(o.Nodes) || s.coldRate != o.ColdRate {
		*s = nodeShare{&o.Nodes[0], len(o.Nodes), o.ColdRate, NodeColdRate(u.ID, o.Self, o.Nodes, o.ColdRate), true}
	}
	return s.ownRate
}

// NodeColdRate returns this node's share of a cold upstream's rate, in requests per
// second. The shares of all nodes add up to at most the rate: it is divided evenly
// among a few nodes, which are chosen by a hash that is the same on all nodes. The
// share of the other nodes is zero.
func NodeColdRate(upstream, self string, nodes []string, rate float64) float64 {
	sharing := max(1, min(len(nodes), int(rate*coldRateUtilization/minNodeColdRate)))
	if rank := nodeRank(upstream, self, nodes); rank < 0 || rank >= sharing {
		return 0
	}
	return rate * coldRateUtilization / float64(sharing)
}

// nodeRank returns this node's place in the order of nodes by a hash, which differs between
// upstreams and is the same on all nodes; -1 if the list does not have the node.
func nodeRank(upstream, self string, nodes []string) int {
	if !slices.Contains(nodes, self) {
		return -1
	}
	key := append([]byte(upstream), 0)
	ownHash := xxhash.Sum64(append(key, self...))
	rank := 0
	for _, n := range nodes {
		if n != self && xxhash.Sum64(append(key, n...)) < ownHash {
			rank++
		}
	}
	return rank
}

// allowsColdRequest reports whether this node may send a request to the cold upstream
// now.
func (u *Upstream) allowsColdRequest(now time.Time, rate float64) bool {
	return rate > 0 && !now.Before(u.cold.nextSend)
}

// recordColdRequest sets when the next request may follow at this rate.
func (u *Upstream) recordColdRequest(now time.Time, rate float64) {
	if rate > 0 {
		u.cold.nextSend = now.Add(time.Duration(math.Ceil(float64(time.Second) / rate)))
	}
}
