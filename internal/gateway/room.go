package gateway

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/admission"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// roomTTL is how long an estimate of a service's room is reused. The loads behind it are up
	// to 300 ms old.
	roomTTL = 50 * time.Millisecond
	// pressureGap is the time without refusals after which an overload of a service is over.
	pressureGap = time.Second
	// seenTime is for how long the priority of a request counts among those of its service.
	seenTime = 10 * time.Second
	// meanWorkWeight is the weight of a request in the mean work of its kind.
	meanWorkWeight = 0.02
)

// serviceRoom is the room of one service as the node sees it.
type serviceRoom struct {
	room admission.Room
	at   time.Time
	// seen holds the recent requests by priority, and priorities lists those.
	seen       map[int]*seenPriority
	priorities []int
	// meanWork is the mean number of prompt tokens by route.
	meanWork map[string]float64
	// pressedSince is since when requests have been refused for room, and pressedAt when the
	// last one was.
	pressedSince, pressedAt time.Time
}

// seenPriority is when a request of a priority last came, and its target for the first event.
type seenPriority struct {
	at     time.Time
	target time.Duration
}

// roomRefusal tells why a request was refused for the room of its service.
type roomRefusal struct {
	pressure, threshold, share, draw float64
	room                             admission.Room
}

// checkRoom refuses the call if the room that its service has left is kept for more urgent ones.
func (c *call) checkRoom(now time.Time) *verdict.Error {
	refused, after := c.g.upstreams.shed(now, c)
	if refused == nil {
		return nil
	}
	c.roomRefusal = refused
	c.g.Metrics.countRefusal("room", c.route.Priority)
	return refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, after, "the room that is left is kept for more urgent requests")
}

// shed decides whether a call is refused for the room of its service, and when it may return.
// Only engines read prompts beside the requests that they run; other upstreams queue what is
// beyond their slots, and the line of the service keeps the order.
func (s *upstreamSet) shed(now time.Time, c *call) (*roomRefusal, time.Duration) {
	hold := c.meanDuration(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.room(now, c, c.view)
	r.room.Hold = hold
	if c.service.Engine == nil || len(r.priorities) < 2 {
		return nil, 0
	}
	work := 1.0
	if c.prompt.PromptTokens > 0 {
		mean, tokens := r.meanWork[c.route.Name], float64(c.prompt.PromptTokens)
		if mean > 0 {
			work = tokens / mean
		} else {
			mean = tokens
		}
		r.meanWork[c.route.Name] = mean + meanWorkWeight*(tokens-mean)
	}
	pressure := r.room.Pressure()
	share := admission.ShedShare(pressure, c.route.Priority, r.priorities, work)
	draw := c.draw(now)
	if draw.Position < share {
		return nil, 0
	}
	if now.Sub(r.pressedAt) > pressureGap {
		r.pressedSince = now
	}
	r.pressedAt = now
	refused := &roomRefusal{pressure, admission.ShedThreshold(c.route.Priority, r.priorities), share, draw.Position, r.room}
	return refused, draw.RetryAfter(share, c.useful(now), now.Sub(r.pressedSince))
}

// draw returns the call's position among the requests of its kind.
func (c *call) draw(now time.Time) admission.Draw {
	return admission.NewDraw(now, uint64(c.parts[len(c.parts)-1]), c.route.TargetLatency)
}

// meanDuration returns how long answers to calls of the service and kind have taken lately.
func (c *call) meanDuration(now time.Time) time.Duration {
	c.g.open.mu.Lock()
	defer c.g.open.mu.Unlock()
	kind := c.kind()
	kind.Route = ""
	return c.g.open.durations.Estimate(now, kind).Mean
}

// useful returns the time that is left in which a response is in time.
func (c *call) useful(now time.Time) time.Duration { return c.route.TargetLatency - now.Sub(c.start) }

// room returns the room of the call's service. The lock must be held.
func (s *upstreamSet) room(now time.Time, c *call, view *config.View) *serviceRoom {
	r := s.rooms[c.service.Name]
	if r == nil {
		r = &serviceRoom{meanWork: make(map[string]float64), seen: make(map[int]*seenPriority)}
		s.rooms[c.service.Name] = r
	}
	r.see(now, c.route)
	if now.Sub(r.at) < roomTTL {
		return r
	}
	r.at, r.room = now, admission.Room{}
	r.readSeen(now)
	var wait time.Duration
	engine := s.engineOf(c.service)
	count := 0
	for _, u := range s.candidates(now, c, view).upstreams {
		if u.Leaving {
			continue
		}
		count++
		r.room.Slots += u.Slots
		r.room.Load += u.Load(now)
		wait += u.PromptWait(now, engine)
	}
	if count > 0 {
		r.room.PromptWait = wait / time.Duration(count)
	}
	return r
}

// see notes a request for the service. Routes of the plan that nobody uses have no say in who is
// more urgent.
func (r *serviceRoom) see(now time.Time, route *traffic.Route) {
	seen := r.seen[route.Priority]
	if seen == nil {
		seen = &seenPriority{}
		r.seen[route.Priority] = seen
	}
	seen.at = now
	if route.HasPrompt {
		seen.target = route.TargetLatency
	}
}

// readSeen lists the priorities of recent requests, and the first target of the most urgent ones.
func (r *serviceRoom) readSeen(now time.Time) {
	r.priorities = r.priorities[:0]
	for priority, seen := range r.seen {
		if now.Sub(seen.at) > seenTime {
			delete(r.seen, priority)
			continue
		}
		r.priorities = append(r.priorities, priority)
	}
	r.priorities = admission.Priorities(r.priorities)
	if len(r.priorities) > 0 {
		r.room.FirstTarget = r.seen[r.priorities[0]].target
	}
}
