package routing

import (
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// AccountPrefix is put before an account's name where a Holder and an Owner divide
// the account's concurrency limit, to tell it from an upstream.
const AccountPrefix = "account/"

// Quota divides a fixed limit, such as an account's concurrency limit, among the
// nodes in the same way as an upstream's slots. The owner of the id calls it every
// second, and at once when the limit changes; a limit that is no longer confirmed
// expires. longest is the longest duration of a request: there is no load report
// that tells when the requests of a node that was dropped have ended.
func (o *Owner) Quota(now time.Time, id string, limit int, longest time.Duration) []Grant {
	a := wire.Announce{ID: id, Incarnation: 1, Limit: uint64(max(1, limit)), Ready: limit > 0}
	if r, ok := o.records[id]; ok {
		a.Sequence = r.announce.Sequence + 1
		r.longest = longest
		if r.limiter.limit < limit {
			r.limiter.start = limit
			r.limiter.ceiling = limit
			r.limiter.set(limit)
		}
	}
	_, grants := o.Heartbeat(now, a, limit)
	o.records[id].longest = longest
	return grants
}

// settleFixed does the work of settleGhost for a limit without load reports.
func (r *record) settleFixed(now time.Time, lag time.Duration) {
	switch age := now.Sub(r.ghostAt); {
	case !r.exact && age >= lag:
		r.ghost, r.exact = 0, true
	case age >= r.longest:
		r.ghost = 0
	}
}
