package admission

import "time"

// Settings of the retry budget.
const (
	retryWindowSeconds = 10
	// retryRatio is the part of the recent successes that may be sent again.
	retryRatio = 0.1
	// minRetries lets a class with little traffic retry at all.
	minRetries = 3
)

// RetryBudget bounds the retries and hedges of one class to a tenth of its successes
// of the last 10 s, and allows at least 3 in that time.
type RetryBudget struct {
	successes, retries [retryWindowSeconds]int
	// second is the number of the current second since first.
	second int64
	start  time.Time
}

// advance clears the seconds that have passed out of the window.
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

// RecordSuccess counts an answer.
func (b *RetryBudget) RecordSuccess(now time.Time) { b.successes[b.advance(now)]++ }

// TakeRetry uses the budget for one retry or hedge, if it is not used up.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	i := b.advance(now)
	successes, retries := 0, 0
	for j := range retryWindowSeconds {
		successes += b.successes[j]
		retries += b.retries[j]
	}
	if retries >= max(minRetries, int(retryRatio*float64(successes))) {
		return false
	}
	b.retries[i]++
	return true
}
