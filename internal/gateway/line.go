package gateway

import (
	"time"

	"github.com/jaystage/jaystage/pkg/admission"
	"github.com/jaystage/jaystage/pkg/traffic"
)

// serviceLine is the queue for places on the upstreams of one service. The lock of the upstreams
// guards it.
type serviceLine struct {
	admission.Line
	// wake holds the channel of each waiting call, which gets a value when its turn comes.
	wake map[*admission.Waiter]chan struct{}
	// roundAt is when the last round began.
	roundAt time.Time
}

// lineWaiter is a call's place in the line of its service.
type lineWaiter struct {
	admission.Waiter
	turn   chan struct{}
	joined bool
}

// line returns the line of a service. The lock must be held.
func (s *upstreamSet) line(service string) *serviceLine {
	l := s.lines[service]
	if l == nil {
		l = &serviceLine{wake: make(map[*admission.Waiter]chan struct{})}
		s.lines[service] = l
	}
	return l
}

// newWaiter returns the call's place in the line, which it has not joined.
func (c *call) newWaiter(now time.Time) *lineWaiter {
	left := c.useful(now) - c.expectedService(now)
	bound := admission.WaitBound(c.route.TargetLatency, c.urgentTarget(), left)
	if c.headersSent {
		bound = max(bound, resumeWait)
	}
	return &lineWaiter{
		Waiter: admission.Waiter{Priority: c.linePriority(), Since: now, Until: now.Add(bound), Due: now.Add(left)},
		turn:   make(chan struct{}, 1),
	}
}

// linePriority ranks the call in the line: an account's priority takes precedence over that of the
// route, which decides between calls with the same one.
func (c *call) linePriority() int {
	return c.priority()*(lowestPriority+1) + min(c.route.Priority, lowestPriority)
}

// expectedService returns the time from a place to the response, as far as it is known: the first
// event of a stream is not measured apart from its end.
func (c *call) expectedService(now time.Time) time.Duration {
	if c.route.Kind == traffic.Stream {
		return 0
	}
	c.g.open.mu.Lock()
	defer c.g.open.mu.Unlock()
	return c.g.open.durations.Estimate(now, c.kind()).Mean
}

// urgentTarget returns the shortest target of recent more urgent requests of the call's service;
// zero if there were none.
func (c *call) urgentTarget() time.Duration {
	s := c.g.upstreams
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Duration(0)
	if r := s.rooms[c.service.Name]; r != nil {
		for priority, seen := range r.seen {
			if priority < c.route.Priority && seen.target > 0 && (shortest == 0 || seen.target < shortest) {
				shortest = seen.target
			}
		}
	}
	return shortest
}

// mayTry reports whether it is the call's turn to take a place. The lock must be held.
func (l *serviceLine) mayTry(now time.Time, w *lineWaiter) bool {
	if !w.joined {
		return l.MayTry(now, &w.Waiter)
	}
	next := l.Next(now)
	return next == &w.Waiter
}

// found records that a call got a place, and wakes the next one: there may be more places.
func (l *serviceLine) found(now time.Time, w *lineWaiter) {
	if w.joined {
		l.Started(now, &w.Waiter)
		l.remove(w)
	}
	l.wakeNext(now)
}

// noPlace records that a call found no place, and wakes the next one, which may have another
// choice of upstreams.
func (l *serviceLine) noPlace(now time.Time, w *lineWaiter) {
	if !w.joined {
		l.join(w)
	}
	l.NoPlace(&w.Waiter)
	l.wakeNext(now)
}

// join adds a call to the line. It may try in this round if its turn comes.
func (l *serviceLine) join(w *lineWaiter) {
	w.joined = true
	l.Join(&w.Waiter)
	l.wake[&w.Waiter] = w.turn
}

func (l *serviceLine) remove(w *lineWaiter) {
	l.Leave(&w.Waiter)
	delete(l.wake, &w.Waiter)
	w.joined = false
}

// openRound lets all waiting calls try again, in order.
func (l *serviceLine) openRound(now time.Time) {
	l.roundAt = now
	l.OpenRound()
	l.wakeNext(now)
}

func (l *serviceLine) wakeNext(now time.Time) {
	if next := l.Next(now); next != nil {
		select {
		case l.wake[next] <- struct{}{}:
		default:
		}
	}
}

// leaveLine removes the call from the line of its service. If its turn had come, the next one has
// it.
func (c *call) leaveLine(w *lineWaiter) {
	s := c.g.upstreams
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.joined {
		l := s.line(c.service.Name)
		l.remove(w)
		l.wakeNext(time.Now())
	}
}

// placeExpected returns when a place is expected for a call that comes after those that wait now.
func (s *upstreamSet) placeExpected(now time.Time, service string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line(service).Expected(now)
}

// pollLine starts a round if none has begun for a while: the end of an upstream's ban or cold
// period sends no notice.
func (s *upstreamSet) pollLine(now time.Time, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.line(service); now.Sub(l.roundAt) >= capacityPollInterval {
		l.openRound(now)
	}
}
