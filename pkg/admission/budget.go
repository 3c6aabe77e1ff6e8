package admission

import "time"

// Settings of the retry budget.
const (
	budgetSeconds = 10
	// budgetShare is the part of the recent successes that may be sent again.
	budgetShare = 0.1
	// budgetLeast lets a class with little traffic retry at all.
	budgetLeast = 3
)

// Budget bounds the retries and hedges of one class to a tenth of its successes
// of the last 10 s, and allows at least 3 in that time.
type Budget struct {
	success, spent [budgetSeconds]int
	// second is the number of the current second since first.
	second int64
	first  time.Time
}

// advance clears the seconds that have passed out of the window.
func (b *Budget) advance(now time.Time) int {
	if b.first.IsZero() {
		b.first = now
	}
	second := int64(now.Sub(b.first) / time.Second)
	for n := 0; b.second < second && n < budgetSeconds; n++ {
		b.second++
		b.success[b.second%budgetSeconds], b.spent[b.second%budgetSeconds] = 0, 0
	}
	b.second = max(b.second, second)
	return int(b.second % budgetSeconds)
}

// Success counts an answer.
func (b *Budget) Success(now time.Time) { b.success[b.advance(now)]++ }

// Spend uses the budget for one retry or hedge, if it is not used up.
func (b *Budget) Spend(now time.Time) bool {
	i := b.advance(now)
	success, spent := 0, 0
	for j := range budgetSeconds {
		success += b.success[j]
		spent += b.spent[j]
	}
	if spent >= max(budgetLeast, int(budgetShare*float64(success))) {
		return false
	}
	b.spent[i]++
	return true
}
