package routing

import (
	"cmp"
	"slices"
	"time"
)

// slotQuantum is how long a node keeps its slots while other nodes that request
// slots of the upstream have none. It bounds their wait if there are fewer slots than
// nodes.
const slotQuantum = 300 * time.Millisecond

// divideSlots divides total slots by max-min fairness among the peers that request
// slots. Slots left over are spread over the same peers as a reserve, at most two
// each.
func divideSlots(now time.Time, total int, peers map[string]*peer) map[string]int {
	names := make([]string, 0, len(peers))
	for name, p := range peers {
		if p.requestedSlots > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(peers[a].slotPriority(now).Compare(peers[b].slotPriority(now)), cmp.Compare(a, b))
	})
	out := make(map[string]int, len(names))
	for left := total; left > 0; {
		given := 0
		for _, name := range names {
			if given < left && out[name] < peers[name].requestedSlots {
				out[name]++
				given++
			}
		}
		if given == 0 {
			break
		}
		left -= given
		total = left // slots left over
	}
	for i := 0; i < total && len(names) > 0 && i < 2*len(names); i++ {
		out[names[i%len(names)]]++
	}
	return out
}

// slotPriority returns a sort key for the order in which nodes get scarce slots:
// nodes within their quantum first, then those that have waited longest, then those
// whose quantum is over.
func (p *peer) slotPriority(now time.Time) time.Time {
	switch {
	case !p.hasSlots:
		return p.slotsChangedAt
	case now.Sub(p.slotsChangedAt) < slotQuantum:
		return time.Time{}
	default:
		return now
	}
}

// recordSlots records whether the peer has slots, and since when, for slotPriority.
func (p *peer) recordSlots(now time.Time, slots int) {
	hasSlots := slots > 0
	if hasSlots != p.hasSlots {
		p.hasSlots, p.slotsChangedAt = hasSlots, now
	}
}
