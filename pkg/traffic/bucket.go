package traffic

import "time"

// Bucket is a token bucket that holds an account's limit on one node or, at the
// leader, over all nodes. The zero value is full at its first use.
type Bucket struct {
	// Level is what may still be spent; it never exceeds the burst and falls below
	// zero when more was spent elsewhere than the limit allows.
	Level float64
	// UpdatedAt is when Level was last brought up to date.
	UpdatedAt time.Time
}

// Refill brings the bucket up to date.
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

// Take spends the cost if the bucket then still holds the reserve for smaller requests.
// A cost above the level leaves the bucket in debt, so that a request larger than the
// burst can be served at all.
func (b *Bucket) Take(now time.Time, rate, burst, cost float64) bool {
	b.Refill(now, rate, burst)
	if b.Level <= RequiredLevel(burst, cost) {
		return false
	}
	b.Level -= cost
	return true
}

// Wait returns when the bucket will hold enough for a request of the cost, if nothing
// else is spent.
func (b *Bucket) Wait(rate, burst, cost float64) time.Duration {
	missing := RequiredLevel(burst, cost) - b.Level
	if missing < 0 || rate <= 0 {
		return 0
	}
	return time.Duration((1 + missing) / rate * float64(time.Second))
}

const (
	// reservedShare is the part of the burst that a request as large as largeShare of
	// the burst leaves behind; smaller requests leave proportionally less. While an
	// account is over its limit, its small requests are served before its large ones.
	reservedShare     = 0.15
	largeRequestShare = 0.1
	// maxRequiredShare bounds the level that a request needs, as a part of the burst, so that
	// one larger than the burst can be served at all.
	maxRequiredShare = 0.8
)

// RequiredLevel returns the level below which a request of the cost is refused.
func RequiredLevel(burst, cost float64) float64 {
	if burst <= 0 {
		return 0
	}
	return min(maxRequiredShare*burst, cost+reservedShare*burst*min(1, cost/(largeRequestShare*burst)))
}
