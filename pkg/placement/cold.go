package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minNodeColdRate is the least rate at which a node uses a cold upstream, in requests
	// a second; fewer nodes use it instead of each sending less.
	minNodeColdRate = 2.0
	// coldRateUtilization is the part of a cold upstream's rate that is used, since requests of
	// several nodes may arrive together.
	coldRateUtilization = 0.9
)

// coldPacer spaces this node's requests to a cold upstream.
type coldPacer struct{ nextSend time.Time }

// NodeColdRate is this node's part of a cold upstream's rate, in requests a second. The
// parts of all nodes add up to at most the rate: a few nodes, drawn by a hash that
// all agree on, share it evenly.
func NodeColdRate(upstream, self string, nodes []string, rate float64) float64 {
	sharing := max(1, min(len(nodes), int(rate*coldRateUtilization/minNodeColdRate)))
	ownHash := xxhash.Sum64String(upstream + "\x00" + self)
	rank := 0
	for _, n := range nodes {
		if n != self && xxhash.Sum64String(upstream+"\x00"+n) < ownHash {
			rank++
		}
	}
	if rank >= sharing || !slices.Contains(nodes, self) {
		return 0
	}
	return rate * coldRateUtilization / float64(sharing)
}

// allowsColdRequest tells whether this node may send the cold upstream a request now.
func (u *Upstream) allowsColdRequest(now time.Time, rate float64) bool {
	return rate > 0 && !now.Before(u.cold.nextSend)
}

// recordColdRequest spaces the next request.
func (u *Upstream) recordColdRequest(now time.Time, rate float64) {
	if rate > 0 {
		u.cold.nextSend = now.Add(time.Duration(math.Ceil(float64(time.Second) / rate)))
	}
}
