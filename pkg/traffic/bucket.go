package traffic

import "time"

// Bucket is a token bucket that holds an account's limit on one node or, at the
// leader, over all nodes. The zero value is full at its first use.
type Bucket struct {
	// Level is what may still be spent; it never exceeds the burst and falls below
	// zero when more was spent elsewhere than the limit allows.
	Level float64
	// At is when Level was last brought up to date.
	At time.Time
}

// Refill brings the bucket up to date.
func (b *Bucket) Refill(now time.Time, rate, burst float64) {
	if b.At.IsZero() {
		b.Level, b.At = burst, now
		return
	}
	if passed := now.Sub(b.At); passed > 0 {
		b.Level += rate * passed.Seconds()
		b.At = now
	}
	b.Level = min(b.Level, burst)
}

// Take spends the cost if the bucket holds anything. A cost above the level leaves
// the bucket in debt, so that a large request is not starved by small ones.
func (b *Bucket) Take(now time.Time, rate, burst, cost float64) bool {
	b.Refill(now, rate, burst)
	if b.Level <= 0 {
		return false
	}
	b.Level -= cost
	return true
}

// Wait returns when the bucket will hold something again.
func (b *Bucket) Wait(rate float64) time.Duration {
	if b.Level > 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.Level) / rate * float64(time.Second))
}
