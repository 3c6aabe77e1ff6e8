package record

import (
	"slices"
	"time"
)

// Use is the use of one upstream by the open requests of some nodes.
type Use struct {
	// Open is the number of open requests, Pending that of the prompt tokens of those without a
	// first event yet, Streams that of the streams that have begun and are not late yet, and
	// Long that of the requests with a long prompt.
	Open, Pending, Streams, Long int
	// Slowness is how long work took on its machine by the last report, as a multiple of the
	// usual time; zero if none is known.
	Slowness   float64
	SlownessAt time.Time
}

// useNumbers is the number of integers that describe a use in a message.
const useNumbers = 6

// maxUse bounds each integer of a use in a message, so that no sum overflows.
const maxUse = 1 << 40

// Add returns the use with another one added, or taken off if sign is negative. The newer report
// of slowness stays.
func (u Use) Add(other Use, sign int) Use {
	u.Open, u.Pending = u.Open+sign*other.Open, u.Pending+sign*other.Pending
	u.Streams, u.Long = u.Streams+sign*other.Streams, u.Long+sign*other.Long
	if sign > 0 && other.Slowness > 0 && other.SlownessAt.After(u.SlownessAt) {
		u.Slowness, u.SlownessAt = other.Slowness, other.SlownessAt
	}
	return u
}

// FromUses returns uses by upstream as they are sent now.
func FromUses(now time.Time, uses map[string]Use) (ids []string, numbers []uint64) {
	for id := range uses {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		u := uses[id]
		for _, n := range [...]int{u.Open, u.Pending, u.Streams, u.Long} {
			numbers = append(numbers, uint64(max(0, n)))
		}
		numbers = append(numbers, uint64(u.Slowness*100), uint64(max(0, now.Sub(u.SlownessAt).Milliseconds())))
		if u.Slowness <= 0 {
			numbers[len(numbers)-1] = 0
		}
	}
	return ids, numbers
}

// ToUses returns the uses of a message that arrives now. Upstreams without all their numbers are
// left out.
func ToUses(now time.Time, ids []string, numbers []uint64) map[string]Use {
	uses := make(map[string]Use, len(ids))
	for i, id := range ids {
		if len(numbers) < (i+1)*useNumbers {
			break
		}
		var n [useNumbers]int
		for j, v := range numbers[i*useNumbers : (i+1)*useNumbers] {
			n[j] = int(min(v, maxUse))
		}
		u := Use{Open: n[0], Pending: n[1], Streams: n[2], Long: n[3]}
		if n[4] > 0 {
			u.Slowness, u.SlownessAt = float64(n[4])/100, before(now, uint64(n[5])*1000)
		}
		uses[id] = u
	}
	return uses
}
