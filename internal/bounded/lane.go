package bounded

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTurn is how long a turn may last before the next one begins beside it: its holder may
	// wait for something else than the processor.
	maxTurn = 20 * time.Millisecond
	// maxRest bounds the pause after a turn, which lasts as long as the turn.
	maxRest = 5 * time.Millisecond
)

// Lane lets one connection at a time do work that is large for the bytes that cause it, such as
// parsing chunks of one byte, and for at most half of the time. Otherwise a crowd of such
// connections would take the processor from all others. Those that have had the fewest turns go
// first. It is safe for concurrent use; a nil Lane has no limit.
type Lane struct {
	mu sync.Mutex
	// holder has the turn since a time; nil between turns.
	holder *Turn
	since  time.Time
	// rest is when the next turn may begin.
	rest    time.Time
	waiting turnHeap
	timer   *time.Timer
	// turns counts all turns, entries the waits.
	turns, entries uint64
	// first is how many of those that wait have had no turn yet.
	first int
}

// Turn is a connection's use of a lane. One goroutine uses it at a time. The methods of a nil
// Turn do nothing.
type Turn struct {
	lane  *Lane
	ready chan struct{} // receives a value when a wait ends
	// used is true from the first Begin to Reset. End costs nothing for connections that never
	// take turns.
	used atomic.Bool

	// The lane's lock guards the following fields.
	taken uint64 // turns since Reset
	order uint64 // of the wait, so that equal ones take turns
	index int    // position among those that wait; -1 if it is not there
	over  bool   // the connection was closed
}

// NewLane returns a free lane.
func NewLane() *Lane {
	l := new(Lane)
	l.timer = time.AfterFunc(time.Hour, func() { l.advance(time.Now()) })
	l.timer.Stop()
	return l
}

// Open returns a connection's use of the lane.
func (l *Lane) Open() *Turn {
	if l == nil {
		return nil
	}
	return &Turn{lane: l, ready: make(chan struct{}, 1), index: -1}
}

// Turns returns the number of turns so far.
func (l *Lane) Turns() uint64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns
}

// First returns how many connections wait for their first turn.
func (l *Lane) First() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Begin waits for a turn. It returns false if Close was called meanwhile.
func (t *Turn) Begin() bool {
	if t == nil {
		return true
	}
	t.used.Store(true)
	if !t.lane.enter(time.Now(), t) {
		<-t.ready
	}
	t.lane.mu.Lock()
	defer t.lane.mu.Unlock()
	return !t.over
}

// Close ends the turn or the wait for it, as the connection is closed by another goroutine.
func (t *Turn) Close() {
	if t == nil {
		return
	}
	t.End()
	t.lane.mu.Lock()
	defer t.lane.mu.Unlock()
	t.over = true
	if t.index >= 0 {
		heap.Remove(&t.lane.waiting, t.index)
		if t.taken == 0 {
			t.lane.first--
		}
		t.ready <- struct{}{}
	}
}

// End ends the turn, if it has not ended.
func (t *Turn) End() {
	if t != nil && t.used.Load() {
		t.lane.leave(time.Now(), t)
	}
}

// Reset forgets the turns taken, at the end of a request. No turn may be under way.
func (t *Turn) Reset() {
	if t == nil || !t.used.Swap(false) {
		return
	}
	t.lane.mu.Lock()
	defer t.lane.mu.Unlock()
	t.taken = 0
}

// enter gives the turn at once if the lane is free, or queues for it.
func (l *Lane) enter(now time.Time, t *Turn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.over {
		return true
	}
	if l.holder == nil && len(l.waiting) == 0 { // a single one needs no rest
		l.give(now, t)
		return true
	}
	l.entries++
	t.order = l.entries
	if t.taken == 0 {
		l.first++
	}
	heap.Push(&l.waiting, t)
	l.arm(now)
	return false
}

func (l *Lane) leave(now time.Time, t *Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != t {
		return
	}
	l.holder, l.rest = nil, now.Add(min(maxRest, now.Sub(l.since)))
	l.arm(now)
}

// advance gives the turn to the next one that waits if it is time to.
func (l *Lane) advance(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != nil && now.Sub(l.since) >= maxTurn {
		l.holder, l.rest = nil, now
	}
	if l.holder == nil && !now.Before(l.rest) && len(l.waiting) > 0 {
		t := heap.Pop(&l.waiting).(*Turn)
		if t.taken == 0 {
			l.first--
		}
		l.give(now, t)
		t.ready <- struct{}{}
	}
	l.arm(now)
}

func (l *Lane) give(now time.Time, t *Turn) {
	l.holder, l.since = t, now
	l.turns++
	t.taken++
}

// arm sets the timer to when advance has something to do.
func (l *Lane) arm(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	next := l.rest
	if l.holder != nil {
		next = l.since.Add(maxTurn)
	}
	l.timer.Reset(max(0, next.Sub(now)))
}

// turnHeap is a heap with the fewest turns first.
type turnHeap []*Turn

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	if h[i].taken != h[j].taken {
		return h[i].taken < h[j].taken
	}
	return h[i].order < h[j].order
}

func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) {
	t := x.(*Turn)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h, t.index = old[:len(old)-1], -1
	return t
}
