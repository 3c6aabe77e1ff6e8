package admission

import (
	"slices"
	"time"
)

// fairStart is the number of starts from a Line of which one goes to the request that has used
// most of its time, whatever its priority: no priority gets less than a quarter of the places
// while it waits.
const fairStart = 4

// Waiter is a request that waits for a place on an upstream.
type Waiter struct {
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Since is when it began to wait, Until when it is refused, and Due when the place must be
	// free so that the response is in time.
	Since, Until, Due time.Time

	// tried is the round after the one in which it last found no place.
	tried uint64
}

// used returns the part of its wait that the request has used at a time.
func (w *Waiter) used(now time.Time) float64 {
	return float64(now.Sub(w.Since)) / float64(max(1, w.Until.Sub(w.Since)))
}

// Line is the queue of a node's requests for places on the upstreams of one service. Only the
// request whose turn it is may take a place. The zero value is empty.
type Line struct {
	waiters []*Waiter
	// round counts how often places may have become free.
	round  uint64
	starts uint64
	freed  Meter // starts from the line
	// busySince is since when requests have waited without a break.
	busySince time.Time
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiters) }

// Join adds a request, which may try in this round. It must leave the line again.
func (l *Line) Join(w *Waiter) {
	if len(l.waiters) == 0 {
		l.busySince = w.Since
	}
	l.waiters = append(l.waiters, w)
}

// Leave removes a request from the line.
func (l *Line) Leave(w *Waiter) {
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
}

// OpenRound starts a round after a place may have become free: each waiting request may try
// once more, in order.
func (l *Line) OpenRound() { l.round++ }

// NoPlace records that a waiting request found no place in this round.
func (l *Line) NoPlace(w *Waiter) { w.tried = l.round + 1 }

// Started records that a waiting request got a place, and removes it from the line.
func (l *Line) Started(now time.Time, w *Waiter) {
	l.Leave(w)
	l.starts++
	l.freed.Add(now, 1)
}

// Next returns the request whose turn it is; nil if all have tried in this round.
func (l *Line) Next(now time.Time) *Waiter {
	var next *Waiter
	fair := l.starts%fairStart == fairStart-1
	for _, w := range l.waiters {
		if w.tried <= l.round && (next == nil || l.before(now, w, next, fair)) {
			next = w
		}
	}
	return next
}

// MayTry reports whether a request that is not in the line may take a place: none that goes
// before it is about to.
func (l *Line) MayTry(now time.Time, w *Waiter) bool {
	next := l.Next(now)
	return next == nil || l.before(now, w, next, false)
}

// before reports whether a request goes before another one.
func (l *Line) before(now time.Time, a, b *Waiter, fair bool) bool {
	if fair {
		return a.used(now) > b.used(now)
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.Since.Before(b.Since)
}

// Hopeless reports whether a request that is not in the line would be refused before its turn
// comes, by the pace at which requests have started from the line.
func (l *Line) Hopeless(now time.Time, w *Waiter) bool {
	ahead := 0
	for _, other := range l.waiters {
		if !l.before(now, w, other, false) {
			ahead++
		}
	}
	pace, ok := l.pace(now)
	return ok && ahead > 0 && float64(ahead)/pace > w.Until.Sub(now).Seconds()
}

// pace returns the number of requests that start from the line in a second. It is known only
// while requests wait all the time: otherwise few start because few wait.
func (l *Line) pace(now time.Time) (float64, bool) {
	pace := l.freed.Rate(now)
	return pace, pace > 0 && len(l.waiters) > 0 && now.Sub(l.busySince) >= 2*meterTime
}

// Expected returns how long it takes until all that wait now have started, by the pace at which
// requests have started from the line; false if none has lately.
func (l *Line) Expected(now time.Time) (time.Duration, bool) {
	pace, ok := l.pace(now)
	if !ok {
		return 0, false
	}
	return time.Duration(float64(len(l.waiters)+1) / pace * float64(time.Second)), true
}

// WaitBound returns how long a request may wait for a place. target is that of its route, and
// urgent the shortest target of the more urgent routes of its service, zero if there are none: a
// less urgent request does not wait for longer. left is the time in which a place can still make
// the response be in time.
func WaitBound(target, urgent, left time.Duration) time.Duration {
	if urgent > 0 {
		target = min(target, urgent)
	}
	bound := time.Duration(waitShare * float64(target))
	return max(minWait, min(bound, left))
}

const (
	// waitShare is the share of a target latency that a request may wait for a place. A client
	// that is refused after an eighth of its target can still be served elsewhere in time.
	waitShare = 0.125
	// minWait lets requests with a short target wait for one place to become free.
	minWait = 15 * time.Millisecond
)
