package placement

import (
	"math"
	"time"
)

// Weights and times of the failure record.
const (
	// failureHalfLife is the half-life of outcomes: an upstream that failed is tried again
	// after a few of them.
	failureHalfLife = 3 * time.Second
	// minBan and maxBan bound how long an upstream that cannot be reached gets
	// nothing. A restart takes a few seconds.
	minBan = 300 * time.Millisecond
	maxBan = 4 * time.Second
)

// Health is the record of a node's requests to one upstream. The zero value is that
// of an upstream without any.
type Health struct {
	successes, failures float64 // decayed counts
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

// RecordSuccess notes an answer in time.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.health.decay(now)
	u.health.successes++
	u.health.banDuration, u.health.bannedUntil = 0, time.Time{}
}

// RecordFailure notes a failure of the upstream's own making.
func (u *Upstream) RecordFailure(now time.Time) {
	u.health.decay(now)
	u.health.failures++
}

// RecordUnreachable notes that the upstream took no connection or fell silent. It gets
// nothing for a time that doubles with each failure in a row.
func (u *Upstream) RecordUnreachable(now time.Time) {
	u.RecordFailure(now)
	if now.Before(u.health.bannedUntil) {
		return // requests that failed together count once
	}
	u.health.banDuration = min(max(minBan, 2*u.health.banDuration), maxBan)
	u.health.bannedUntil = now.Add(u.health.banDuration)
}

// Banned tells whether the upstream gets nothing at present.
func (u *Upstream) Banned(now time.Time) bool { return now.Before(u.health.bannedUntil) }

// failureRate estimates the share of requests that fail, with a prior of one good
// outcome so that a single failure does not empty an upstream.
func (u *Upstream) failureRate(now time.Time) float64 {
	h := u.health
	h.decay(now)
	return h.failures / (h.successes + h.failures + 1)
}
