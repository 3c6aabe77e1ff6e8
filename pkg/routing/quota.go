package routing

import (
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// AccountPrefix is prepended to an account's name in the IDs of account limits, to
// distinguish them from upstreams in a Holder and an Owner.
const AccountPrefix = "account/"

// SetQuota divides a fixed limit, such as an account's concurrency limit, among the
// nodes in the same way as an upstream's slots. The owner of the id must call it
// every second, and at once when the limit changes; a limit that is not refreshed
// expires. maxDuration is the longest duration of a request. After that time the
// requests of a removed node have ended; there is no load report that shows it.
func (o *Owner) SetQuota(now time.Time, id string, limit int, maxDuration time.Duration) []Grant {
	a := wire.Announce{ID: id, Incarnation: 1, Limit: uint64(max(1, limit)), Ready: limit > 0}
	if u, ok := o.upstreams[id]; ok {
		a.Sequence = u.announcement.Sequence + 1
		u.maxDuration = maxDuration
		if u.limiter.limit < limit {
			u.limiter.startLimit = limit
			u.limiter.ceiling = limit
			u.limiter.setLimit(limit)
		}
	}
	_, grants := o.HandleHeartbeat(now, a, limit)
	o.upstreams[id].maxDuration = maxDuration
	return grants
}

// updateUncoveredWithoutLoad replaces updateUncovered for a limit without load
// reports.
func (u *ownedUpstream) updateUncoveredWithoutLoad(now time.Time, lag time.Duration) {
	switch age := now.Sub(u.uncoveredAddedAt); {
	case !u.uncoveredKnown && age >= lag:
		u.uncovered, u.uncoveredKnown = 0, true
	case age >= u.maxDuration:
		u.uncovered = 0
	}
}
