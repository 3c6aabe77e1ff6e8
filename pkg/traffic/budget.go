package traffic

import "time"

// slices is the number of parts that a budget's window is divided into.
const budgetSlices = 10

// Budget bounds how many attempts beyond the first a node may send to one service,
// relative to the requests for it in a sliding window. It is not safe for concurrent
// use.
type Budget struct {
	// Ratio is the part of the requests that may be sent again.
	Ratio float64
	// Slack is the number of further attempts in a window that any number of requests
	// allows.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	first  [budgetSlices + 1]float64
	again  [budgetSlices + 1]float64
	slice  int64
	filled bool
}

func (b *Budget) advance(now time.Time) int {
	slice := now.UnixNano() / int64(b.Window/budgetSlices)
	if !b.filled {
		b.slice, b.filled = slice, true
	}
	for b.slice < slice {
		b.slice++
		i := b.slice % (budgetSlices + 1)
		b.first[i], b.again[i] = 0, 0
		if slice-b.slice > budgetSlices+1 {
			b.slice = slice - budgetSlices - 1
		}
	}
	return int(b.slice % (budgetSlices + 1))
}

// First notes a request.
func (b *Budget) First(now time.Time) { b.first[b.advance(now)]++ }

// Again spends one further attempt; false when the window allows none.
func (b *Budget) Again(now time.Time) bool {
	i := b.advance(now)
	first, again := 0.0, 0.0
	for j := range b.first {
		first, again = first+b.first[j], again+b.again[j]
	}
	if again+1 > b.Ratio*first+b.Slack {
		return false
	}
	b.again[i]++
	return true
}
