package bounded

import (
	"container/heap"
	"errors"
	"sync"
	"sync/atomic"
)

const (
	// Allowance is the cost that each answer may have free of the budget. Sound answers stay
	// below it until they have read a body of several KiB.
	Allowance = 16 << 10
	// HeadFactor is the memory that a byte of a message head takes: each line of a parsed
	// head is a map entry with a slice and two strings.
	HeadFactor = 8
	// plainHeadBytes is the number of bytes up to which a head that is read costs no more than
	// a body. The first read may hold bytes that follow the head.
	plainHeadBytes = 4 << 10
	// BodyFactor is the memory that a byte in a buffer takes: buffers are up to one half
	// empty after they have grown.
	BodyFactor = 2
	// memoryShare is the part of a VM's memory that is the limit of its budget. Answers that
	// were given up may take as much again until they are closed and collected.
	memoryShare = 1.0 / 16
	// defaultLimit applies when the VM's memory is not known.
	defaultLimit = 32 << 20
)

// ErrOverBudget is returned by a read of an answer that was given up because all open answers
// together hold too much, and this one the most.
var ErrOverBudget = errors.New("open answers hold more than the memory budget")

// LimitFor returns the limit of the budget of a VM with this memory in bytes; zero if unknown.
func LimitFor(memory int64) int {
	if memory <= 0 {
		return defaultLimit
	}
	return int(memoryShare * float64(memory))
}

// Budget limits what all open answers of a process hold together. When they hold more, those
// that hold most are given up. It is safe for concurrent use; a nil Budget has no limit.
type Budget struct {
	limit int
	// pressed is whether excess and leaving exceed half the limit; readable without the lock.
	pressed atomic.Bool

	mu sync.Mutex
	// excess is the sum of the accounts' costs beyond their allowances, without those that
	// were given up. It never exceeds limit when Add returns.
	excess int
	// leaving is the same of accounts that were given up and are not closed yet. The sum of
	// both never exceeds twice the limit by more than one Add of each of these accounts.
	leaving int
	// largest holds the accounts with a cost beyond the allowance.
	largest accountHeap
}

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes; zero for none.
func (b *Budget) Limit() int {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns what the open answers hold beyond their allowances, with those that were given
// up and are not closed yet.
func (b *Budget) Held() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.excess + b.leaving
}

// Pressed reports whether more than half of the budget is used, so that answers should be
// passed on instead of held.
func (b *Budget) Pressed() bool { return b != nil && b.pressed.Load() }

// Open returns the account of a new answer. giveUp is called at most once, by another
// goroutine than the account's user, when the answer is given up; it closes the connection,
// so that a read that waits ends.
func (b *Budget) Open(giveUp func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, giveUp: giveUp, index: -1}
}

// Account counts what one open answer holds. One goroutine uses it at a time. The methods of
// a nil Account do nothing.
type Account struct {
	budget *Budget
	giveUp func()
	cost   int
	lost   atomic.Bool

	// The budget's lock guards the following fields.
	excess int  // part of cost that counts in the budget
	sound  bool // is given up only after all accounts that are not
	index  int  // position in the budget's heap; -1 if it is not there
}

// Add counts n more bytes. It returns ErrOverBudget once the answer was given up.
func (a *Account) Add(n int) error {
	if a == nil {
		return nil
	}
	a.cost += n
	if a.cost > Allowance && !a.lost.Load() {
		for _, v := range a.budget.set(a, a.cost-Allowance) {
			if v != a {
				v.giveUp()
			}
		}
	}
	if a.lost.Load() {
		return ErrOverBudget
	}
	return nil
}

// Keep sets the cost to at most n, after all but what n counts was passed on or dropped.
func (a *Account) Keep(n int) {
	if a == nil || n >= a.cost {
		return
	}
	beyond := a.cost > Allowance
	a.cost = n
	if beyond {
		a.budget.set(a, max(0, n-Allowance))
	}
}

// MarkSound records that the answer has shown to be one, and that its holder passes it on
// when the budget is pressed. It is given up only after all that are not marked.
func (a *Account) MarkSound() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.sound = true
	if a.index >= 0 {
		heap.Fix(&a.budget.largest, a.index)
	}
}

// Cost returns the bytes that the answer holds.
func (a *Account) Cost() int {
	if a == nil {
		return 0
	}
	return a.cost
}

// GivenUp reports whether the answer was given up.
func (a *Account) GivenUp() bool { return a != nil && a.lost.Load() }

// Set sets the cost to n, for a holder that knows what it holds.
func (a *Account) Set(n int) error {
	if a == nil {
		return nil
	}
	if n > a.cost {
		return a.Add(n - a.cost)
	}
	a.Keep(n)
	return a.Add(0)
}

// Close ends the account. It reports whether the answer was not given up: otherwise its
// connection is closed, or about to be, and must not be used again.
func (a *Account) Close() bool {
	a.Keep(0)
	return !a.GivenUp()
}

// set changes the excess of an account and returns the accounts that are given up for it.
func (b *Budget) set(a *Account, excess int) (victims []*Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer func() { b.pressed.Store(b.excess+b.leaving > b.limit/2) }()
	if a.lost.Load() {
		b.leaving += excess - a.excess
		a.excess = excess
		return nil
	}
	b.excess += excess - a.excess
	a.excess = excess
	switch {
	case a.index < 0 && excess > 0:
		heap.Push(&b.largest, a)
	case a.index >= 0 && excess == 0:
		heap.Remove(&b.largest, a.index)
	case a.index >= 0:
		heap.Fix(&b.largest, a.index)
	}
	for b.excess > b.limit {
		victims = append(victims, b.drop(b.largest[0]))
	}
	// Accounts that were given up free their memory only when their users notice. This one
	// ends its read at once.
	if !a.lost.Load() && a.excess > 0 && b.excess+b.leaving > 2*b.limit {
		victims = append(victims, b.drop(a))
	}
	return victims
}

// drop gives an account up.
func (b *Budget) drop(a *Account) *Account {
	heap.Remove(&b.largest, a.index)
	a.lost.Store(true)
	b.excess, b.leaving = b.excess-a.excess, b.leaving+a.excess
	return a
}

// accountHeap is a heap with the account that is given up next first: the one of the largest
// excess among those not marked as sound, if there are any.
type accountHeap []*Account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].sound != h[j].sound {
		return h[j].sound
	}
	return h[i].excess > h[j].excess
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*Account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h, a.index = old[:len(old)-1], -1
	return a
}
