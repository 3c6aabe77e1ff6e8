package placement

import (
	"math"
	"time"
)

// Settings of the failure record.
const (
	// failureHalfLife is the half-life of recorded results: an upstream that failed is
	// tried again after a few half-lives.
	failureHalfLife = 3 * time.Second
	// minBan and maxBan are the limits of the time for which an unreachable upstream gets
	// no requests. A restart takes a few seconds.
	minBan = 300 * time.Millisecond
	maxBan = 4 * time.Second
)

// Health is the record of the results of a node's requests to one upstream. The zero
// value is an empty record.
type Health struct {
	successes, failures float64 // exponentially decaying counts
	updated             time.Time
	bannedUntil         time.Time
	banDuration         time.Duration
}

func (h *Health) decay(now time.Time) {
	if passed := now.Sub(h.updated); !h.updated.IsZero() && passed > 0 {
		f := math.Exp2(-passed.Seconds() / failureHalfLife.Seconds())
		h.successes, h.failures = h.successes*f, h.failures*f
	}
	h.updated = now
}

// RecordSuccess records a response that arrived in time.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.health.decay(now)
	u.health.successes++
	u.health.banDuration, u.health.bannedUntil = 0, time.Time{}
}

// RecordFailure records a failure that the upstream caused.
func (u *Upstream) RecordFailure(now time.Time) {
	u.health.decay(now)
	u.health.failures++
}

// RecordUnreachable records that the upstream accepted no connection or stopped
// responding. It gets no requests for a time that doubles with each consecutive
// failure.
func (u *Upstream) RecordUnreachable(now time.Time) {
	u.RecordFailure(now)
	if now.Before(u.health.bannedUntil) {
		return // concurrent failures count once
	}
	u.health.banDuration = min(max(minBan, 2*u.health.banDuration), maxBan)
	u.health.bannedUntil = now.Add(u.health.banDuration)
}

// ForgetUnreachable takes RecordUnreachable back: the node's own path was at fault.
func (u *Upstream) ForgetUnreachable() { u.health.banDuration, u.health.bannedUntil = 0, time.Time{} }

// Banned reports whether the upstream gets no requests because it was unreachable.
func (u *Upstream) Banned(now time.Time) bool { return now.Before(u.health.bannedUntil) }

// FailureRate estimates the fraction of requests that fail. It adds one successful
// request as a prior, so that a single failure does not divert all traffic.
func (u *Upstream) FailureRate(now time.Time) float64 {
	h := u.health
	h.decay(now)
	return h.failures / (h.successes + h.failures + 1)
}
