package traffic

import "time"

// windowSlices is the number of slices that the sliding window is divided into.
const windowSlices = 10

// RetryBudget bounds the retries that a node may send to one service, relative to the
// requests for that service in a sliding window. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the allowed number of retries per request.
	Ratio float64
	// Slack is the number of additional retries allowed in a window, regardless of the
	// number of requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	// Ring buffers with one count for each full slice of the window and one for the
	// current slice.
	firstAttempts [windowSlices + 1]float64
	retries       [windowSlices + 1]float64
	currentSlice  int64
	started       bool
}

// advance clears the slices that have left the window and returns the index of the
// current slice.
func (b *RetryBudget) advance(now time.Time) int {
	slice := now.UnixNano() / int64(b.Window/windowSlices)
	if !b.started {
		b.currentSlice, b.started = slice, true
	}
	for b.currentSlice < slice {
		b.currentSlice++
		i := b.currentSlice % (windowSlices + 1)
		b.firstAttempts[i], b.retries[i] = 0, 0
		if slice-b.currentSlice > windowSlices+1 {
			b.currentSlice = slice - windowSlices - 1
		}
	}
	return int(b.currentSlice % (windowSlices + 1))
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) { b.firstAttempts[b.advance(now)]++ }

// TakeRetry reports whether the budget allows a retry, and counts it if so.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	i := b.advance(now)
	firstAttempts, retries := 0.0, 0.0
	for j := range b.firstAttempts {
		firstAttempts, retries = firstAttempts+b.firstAttempts[j], retries+b.retries[j]
	}
	if retries+1 > b.Ratio*firstAttempts+b.Slack {
		return false
	}
	b.retries[i]++
	return true
}

// ReturnRetry takes back a retry that TakeRetry has counted shortly before, because it is not
// sent.
func (b *RetryBudget) ReturnRetry(now time.Time) {
	i := b.advance(now)
	b.retries[i] = max(0, b.retries[i]-1)
}
