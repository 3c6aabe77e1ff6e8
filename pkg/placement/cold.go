package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldNodeRate is the least rate at which a node uses a cold upstream, in requests
	// a second; fewer nodes use it instead of each sending less.
	coldNodeRate = 2.0
	// coldMargin is the part of a cold upstream's rate that is used, since requests of
	// several nodes may arrive together.
	coldMargin = 0.9
)

// coldShare spaces this node's requests to a cold upstream.
type coldShare struct{ next time.Time }

// ColdRate is this node's part of a cold upstream's rate, in requests a second. The
// parts of all nodes add up to at most the rate: a few nodes, drawn by a hash that
// all agree on, share it evenly.
func ColdRate(upstream, self string, nodes []string, rate float64) float64 {
	users := max(1, min(len(nodes), int(rate*coldMargin/coldNodeRate)))
	own := xxhash.Sum64String(upstream + "\x00" + self)
	before := 0
	for _, n := range nodes {
		if n != self && xxhash.Sum64String(upstream+"\x00"+n) < own {
			before++
		}
	}
	if before >= users || !slices.Contains(nodes, self) {
		return 0
	}
	return rate * coldMargin / float64(users)
}

// coldAllows tells whether this node may send the cold upstream a request now.
func (u *Upstream) coldAllows(now time.Time, rate float64) bool {
	return rate > 0 && !now.Before(u.cold.next)
}

// coldSent spaces the next request.
func (u *Upstream) coldSent(now time.Time, rate float64) {
	if rate > 0 {
		u.cold.next = now.Add(time.Duration(math.Ceil(float64(time.Second) / rate)))
	}
}
