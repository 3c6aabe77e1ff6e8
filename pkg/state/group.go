package state

import "github.com/cespare/xxhash/v2"

// Groups is the number of consensus groups. A single group currently holds all data;
// the key space always belongs to group 0.
const Groups = 1

// Group returns the consensus group, in [0, groups), that records the bookings of
// a client account with a service. It uses the jump consistent hash of Lamping and
// Veach (2014): adding a group moves keys only to the new group.
func Group(account, service string, groups int) int {
	key := xxhash.Sum64String(account + "\x00" + service)
	group, next := int64(-1), int64(0)
	for next < int64(groups) {
		group = next
		key = key*2862933555777941757 + 1
		next = int64(float64(group+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(group)
}
