package admission

import "time"

// Settings of the retry budget.
const (
	retryWindowSeconds = 10
	// retryRatio is the number of retries allowed for each recent success.
	retryRatio = 0.1
	// minRetries lets a class with little traffic retry at all.
	minRetries = 3
)

// RetryBudget limits the retries and hedges of one class to a tenth of its successes
// in the last 10 s, but always allows 3 in that time.
type RetryBudget struct {
	// Ring buffers with one count for each second of the window.
	successes, retries [retryWindowSeconds]int
	// second is the number of the current second, counted from start.
	second int64
	start  time.Time
}

// advance clears the counts of the seconds that have left the window and returns the
// index of the current second.
func (b *RetryBudget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	second := int64(now.Sub(b.start) / time.Second)
	for n := 0; b.second < second && n < retryWindowSeconds; n++ {
		b.second++
		b.successes[b.second%retryWindowSeconds], b.retries[b.second%retryWindowSeconds] = 0, 0
	}
	b.second = max(b.second, second)
	return int(b.second % retryWindowSeconds)
}

// RecordSuccess counts a successful response.
func (b *RetryBudget) RecordSuccess(now time.Time) { b.successes[b.advance(now)]++ }

// TakeRetry takes one retry or hedge from the budget. It returns false if the budget
// is used up.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	if !b.HasRetry(now) {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// HasRetry reports whether TakeRetry would return true.
func (b *RetryBudget) HasRetry(now time.Time) bool {
	b.advance(now)
	successes, retries := 0, 0
	for j := range retryWindowSeconds {
		successes += b.successes[j]
		retries += b.retries[j]
	}
	return retries < max(minRetries, int(retryRatio*float64(successes)))
}
