package traffic

import "time"

// Bucket is a token bucket that enforces an account's limit on one node or, at the
// leader, across all nodes. The zero value is filled at its first use.
type Bucket struct {
	// Level is the remaining amount. It never exceeds the burst. It is negative after a
	// cost above the level was deducted or if the nodes together exceeded the limit.
	Level float64
	// UpdatedAt is the time of the last refill; zero before the first use.
	UpdatedAt time.Time
}

// Refill adds what has accrued since the last refill, up to the burst.
func (b *Bucket) Refill(now time.Time, rate, burst float64) {
	if b.UpdatedAt.IsZero() {
		b.Level, b.UpdatedAt = burst, now
		return
	}
	if elapsed := now.Sub(b.UpdatedAt); elapsed > 0 {
		b.Level += rate * elapsed.Seconds()
		b.UpdatedAt = now
	}
	b.Level = min(b.Level, burst)
}

// Take refills the bucket and, if its level exceeds RequiredLevel, deducts the cost. It
// reports whether it did. A cost above the level makes the level negative, so that a
// request larger than the burst can be served at all.
func (b *Bucket) Take(now time.Time, rate, burst, cost float64) bool {
	b.Refill(now, rate, burst)
	if b.Level <= RequiredLevel(burst, cost) {
		return false
	}
	b.Level -= cost
	return true
}

// Wait returns how long after the last refill the bucket will hold enough for a request
// of the cost if nothing else is deducted.
func (b *Bucket) Wait(rate, burst, cost float64) time.Duration {
	missing := RequiredLevel(burst, cost) - b.Level
	if missing < 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 + missing) / rate * float64(time.Second))
}

// maxRequiredShare bounds RequiredLevel, as a fraction of the burst, so that a request larger
// than the burst can be served at all. The burst is used up to what such a request costs beyond
// this part, and the account pays for it before anything else of it is served.
const maxRequiredShare = 0.8

// RequiredLevel returns the level that a bucket must exceed to serve a request of the
// cost. It is the cost itself, whatever its size: which requests of an account over its
// limit are served is decided before (admission.Shares).
func RequiredLevel(burst, cost float64) float64 {
	if burst <= 0 {
		return 0
	}
	return min(maxRequiredShare*burst, cost)
}
