package caller

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/upstream"
)

const (
	// defaultStart is the number of requests that an upstream without a known limit
	// gets at once.
	defaultStart = 16
	// shunTime is how long an upstream that failed gets no new request.
	shunTime = 2 * time.Second
	// domainWindow is how long a failure counts against a failure domain.
	domainWindow = 10 * time.Second
)

// slots holds this node's open requests per upstream.
type slots struct {
	mu     sync.Mutex
	use    map[string]*use
	failed map[string]map[string]time.Time // failure domain, upstream, last failure
	wake   chan struct{}
	turn   uint64
}

type use struct {
	running int
	// reserved is the call that waits to run alone or does so.
	reserved *call
	alone    bool
	// shunned is the time until which the upstream gets nothing new, unless it
	// starts again under another incarnation.
	shunned     time.Time
	incarnation uint64
}

// changed returns a channel that closes when a slot becomes free.
func (s *slots) changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

func (s *slots) notify() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

func (s *slots) of(id string) *use {
	if s.use == nil {
		s.use = make(map[string]*use)
	}
	u, ok := s.use[id]
	if !ok {
		u = &use{}
		s.use[id] = u
	}
	return u
}

// take uses a slot of the best upstream: one outside suspect failure domains, the
// lowest use of its limit, the lowest price.
func (s *slots) take(now time.Time, c *call, list []upstream.Entry) (upstream.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.trial {
		return s.takeAlone(now, c, list)
	}
	s.turn++
	best, bestScore := -1, 0.0
	for i := range list {
		e := &list[(uint64(i)+s.turn)%uint64(len(list))]
		u := s.of(e.ID)
		limit := limitOf(e, c.service.Start)
		if u.reserved != nil || u.running >= limit || u.isShunned(now, e) {
			continue
		}
		score := float64(u.running+1)/float64(limit) + 0.1*e.Price
		if s.suspect(now, e.Domain) {
			score += 10
		}
		if best < 0 || score < bestScore {
			best, bestScore = int((uint64(i)+s.turn)%uint64(len(list))), score
		}
	}
	if best < 0 {
		return upstream.Entry{}, false
	}
	s.of(list[best].ID).running++
	return list[best], true
}

// takeAlone uses an upstream on which nothing else runs. It reserves the least
// used one until that is so; at most half of the upstreams are reserved at once.
func (s *slots) takeAlone(now time.Time, c *call, list []upstream.Entry) (upstream.Entry, bool) {
	reserved, best := 0, -1
	for i := range list {
		u := s.of(list[i].ID)
		if u.reserved == c {
			if u.running > 0 {
				return upstream.Entry{}, false
			}
			u.running, u.alone = 1, true
			return list[i], true
		}
		switch {
		case u.reserved != nil:
			reserved++
		case u.isShunned(now, &list[i]):
		case best < 0 || u.running < s.of(list[best].ID).running:
			best = i
		}
	}
	if best < 0 || reserved >= max(1, len(list)/2) {
		return upstream.Entry{}, false
	}
	u := s.of(list[best].ID)
	u.reserved = c
	if u.running > 0 {
		return upstream.Entry{}, false
	}
	u.running, u.alone = 1, true
	return list[best], true
}

// giveUp ends the reservation of a call that does not run.
func (s *slots) giveUp(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.use {
		if u.reserved == c && !u.alone {
			u.reserved = nil
			s.notify()
		}
	}
}

// put returns the slot of an attempt.
func (s *slots) put(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.of(at.target.ID)
	u.running--
	if at.alone {
		u.reserved, u.alone = nil, false
	}
	s.notify()
}

// shun keeps new requests away from an upstream that failed.
func (s *slots) shun(now time.Time, e upstream.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.of(e.ID)
	u.shunned, u.incarnation = now.Add(shunTime), e.Incarnation
	if s.failed == nil {
		s.failed = make(map[string]map[string]time.Time)
	}
	if s.failed[e.Domain] == nil {
		s.failed[e.Domain] = make(map[string]time.Time)
	}
	s.failed[e.Domain][e.ID] = now
}

// suspect tells whether several upstreams of a failure domain failed lately.
func (s *slots) suspect(now time.Time, domain string) bool {
	n := 0
	for id, at := range s.failed[domain] {
		if now.Sub(at) > domainWindow {
			delete(s.failed[domain], id)
			continue
		}
		n++
	}
	return n > 1
}

func (u *use) isShunned(now time.Time, e *upstream.Entry) bool {
	return now.Before(u.shunned) && e.Incarnation <= u.incarnation
}

func limitOf(e *upstream.Entry, start int) int {
	switch {
	case e.Limit > 0:
		return int(e.Limit)
	case start > 0:
		return start
	}
	return defaultStart
}
