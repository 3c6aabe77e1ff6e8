package placement

import (
	"math"
	"time"
)

// Weights and times of the failure record.
const (
	// failureHalf is the half-life of outcomes: an upstream that failed is tried again
	// after a few of them.
	failureHalf = 3 * time.Second
	// firstBan and longestBan bound how long an upstream that cannot be reached gets
	// nothing. A restart takes a few seconds.
	firstBan   = 300 * time.Millisecond
	longestBan = 4 * time.Second
)

// Health is the record of a node's requests to one upstream. The zero value is that
// of an upstream without any.
type Health struct {
	good, bad float64 // decayed counts
	at        time.Time
	banned    time.Time
	ban       time.Duration
}

func (h *Health) decay(now time.Time) {
	if passed := now.Sub(h.at); !h.at.IsZero() && passed > 0 {
		f := math.Exp2(-passed.Seconds() / failureHalf.Seconds())
		h.good, h.bad = h.good*f, h.bad*f
	}
	h.at = now
}

// Succeeded notes an answer in time.
func (u *Upstream) Succeeded(now time.Time) {
	u.health.decay(now)
	u.health.good++
	u.health.ban, u.health.banned = 0, time.Time{}
}

// Failed notes a failure of the upstream's own making.
func (u *Upstream) Failed(now time.Time) {
	u.health.decay(now)
	u.health.bad++
}

// Unreachable notes that the upstream took no connection or fell silent. It gets
// nothing for a time that doubles with each failure in a row.
func (u *Upstream) Unreachable(now time.Time) {
	u.Failed(now)
	if now.Before(u.health.banned) {
		return // requests that failed together count once
	}
	u.health.ban = min(max(firstBan, 2*u.health.ban), longestBan)
	u.health.banned = now.Add(u.health.ban)
}

// Banned tells whether the upstream gets nothing at present.
func (u *Upstream) Banned(now time.Time) bool { return now.Before(u.health.banned) }

// failureRate estimates the share of requests that fail, with a prior of one good
// outcome so that a single failure does not empty an upstream.
func (u *Upstream) failureRate(now time.Time) float64 {
	h := u.health
	h.decay(now)
	return h.bad / (h.good + h.bad + 1)
}
