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
	// malformedBanCount is the number of malformed answers without a sound one between them
	// after which an upstream counts as unreachable: a sound one may break once.
	malformedBanCount = 2
	// malformedMemory is how long a malformed answer counts.
	malformedMemory = 30 * time.Second
	// distrustTime is how long an upstream is distrusted after a malformed answer. Further
	// ones meanwhile do not extend it: they may have been sound but for the lower limits.
	distrustTime = 5 * time.Second
)

// Health is the record of the results of a node's requests to one upstream. The zero
// value is an empty record.
type Health struct {
	successes, failures float64 // exponentially decaying counts
	updated             time.Time
	bannedUntil         time.Time
	banDuration         time.Duration
	// malformed is the number of malformed answers since the last sound one, and malformedAt
	// when the last of them was given up.
	malformed       int
	malformedAt     time.Time
	distrustedUntil time.Time
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
	u.health.malformed, u.health.distrustedUntil = 0, time.Time{}
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

// RecordMalformed records an answer that was given up because its bytes were no answer. The
// second one without a sound one between them counts as if the upstream were unreachable.
func (u *Upstream) RecordMalformed(now time.Time) {
	if now.Sub(u.health.malformedAt) > malformedMemory {
		u.health.malformed = 0
	}
	u.health.malformed++
	u.health.malformedAt = now
	if !u.Distrusted(now) {
		u.health.distrustedUntil = now.Add(distrustTime)
	}
	if u.health.malformed < malformedBanCount {
		u.RecordFailure(now)
		return
	}
	u.RecordUnreachable(now)
}

// onTrial reports whether the upstream was banned for malformed answers and none was sound
// since. It gets one request at a time then.
func (u *Upstream) onTrial(now time.Time) bool {
	return u.health.malformed >= malformedBanCount && now.Sub(u.health.malformedAt) <= malformedMemory
}

// Distrusted reports whether an answer of the upstream was malformed lately and none was sound
// since, so that its other ones should be held to lower limits.
func (u *Upstream) Distrusted(now time.Time) bool { return now.Before(u.health.distrustedUntil) }

// DistrustedUntil returns when the upstream is trusted again; zero if it is.
func (u *Upstream) DistrustedUntil() time.Time { return u.health.distrustedUntil }

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
