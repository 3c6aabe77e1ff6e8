package caller

import (
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/pace"
)

// limitsInterval is how often a node sends the limits in the last answers to it to the other
// nodes of the cell.
const limitsInterval = 300 * time.Millisecond

// limitKey identifies an incarnation of an upstream in pace.Limits.
func limitKey(e upstream.Entry) string { return e.ID + "@" + strconv.FormatUint(e.Incarnation, 10) }

// allowedByLimits lists the upstreams whose own limits allow a request now. s.mu must be
// held.
func (s *Slots) allowedByLimits(now time.Time, list []upstream.Entry) []upstream.Entry {
	if s.limits.Empty() {
		return list
	}
	var allowed []upstream.Entry
	for _, e := range list {
		if s.limits.Allows(now, limitKey(e), s.nodeNames) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// recordLimit records the limit that an upstream named in an answer; zero for none.
func (s *Slots) recordLimit(now time.Time, e upstream.Entry, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Hear(pace.Limit{Upstream: limitKey(e), Rate: rate, At: now}) {
		s.limitsSentAt = time.Time{} // the others must learn of the change at once
		s.sendLimits(now)
	}
}

// MergeLimits applies the limits that upstreams named to another node.
func (s *Slots) MergeLimits(limits []pace.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range limits {
		s.limits.Merge(l)
	}
}

// sendLimits sends the limits in the last answers to this node to the other nodes, at most
// every limitsInterval, so that a node that missed them learns them. s.mu must be held.
func (s *Slots) sendLimits(now time.Time) {
	if s.SendLimits == nil || s.limits.Empty() || now.Sub(s.limitsSentAt) < limitsInterval {
		return
	}
	s.limitsSentAt = now
	if own := s.limits.Own(now); len(own) > 0 {
		s.SendLimits(own)
	}
}
