package gateway

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// resumeWait is how long a stream that has begun waits for a free place, and for the lease,
	// before it is broken off: after a pause of the process, the lease is renewed first. Clients
	// give a stream up after a gap of two seconds or more.
	resumeWait = 1500 * time.Millisecond
	// maxPlaceRetryAfter bounds the Retry-After of a call that found no place. The pace of the
	// line says nothing of later times.
	maxPlaceRetryAfter = 5 * time.Second
	// minRemaining is the least time in which an upstream can respond at all.
	minRemaining = 5 * time.Millisecond
	// capacityPollInterval is how often a waiting call checks for capacity even without
	// a notification: the end of an upstream's ban or cold period sends none.
	capacityPollInterval = 20 * time.Millisecond
)

// choice is the upstream chosen for an attempt.
type choice struct {
	entry         *upstreamEntry
	upstream      placement.Upstream // copy taken at the time of the choice
	expectedDelay time.Duration
	// cachedShare is the estimated share of the shared prompt in the upstream's cache,
	// and uncachedTokens the number of prompt tokens that it has to process.
	cachedShare    float64
	uncachedTokens int
	placed         placement.Choice
}

// choose picks an upstream for the call. It waits briefly in the line of its service if none
// has a free place.
func (c *call) choose() (choice, *verdict.Error) {
	waiter := c.newWaiter(time.Now())
	defer c.leaveLine(waiter)
	defer func() { c.waited += time.Since(waiter.Since) }()
	until := waiter.Until
	for {
		now := time.Now()
		view, ok := c.g.State.View(now)
		if !ok && c.headersSent && now.Before(until) && c.ctx.Err() == nil {
			time.Sleep(startupPollInterval)
			continue
		}
		if !ok {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeLeaseExpired, minStateRetryAfter, "the node has lost touch with the replicated state")
		}
		if e := c.checkParts(view, now); e != nil {
			return choice{}, e
		}
		if !c.headersSent && !c.g.open.admits(now, c) {
			return choice{}, c.stopRefusal()
		}
		if c.remaining(now) < minRemaining {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeDeadline, 0, "no time is left to run the request")
		}
		chosen, found, hopeless := c.g.upstreams.choose(now, c, view, waiter)
		if found {
			return chosen, nil
		}
		if hopeless && !c.headersSent {
			return choice{}, c.noPlace("more requests wait for a place than can start in time")
		}
		if after, held := c.heldFor(now); held && now.Add(after).After(until) {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, after+c.retryAfter()/2, "all upstreams want no requests for a while")
		}
		if !now.Before(until) {
			return choice{}, c.noPlace("no upstream has a free place")
		}
		timer := time.NewTimer(min(capacityPollInterval, until.Sub(now)+time.Millisecond))
		select {
		case <-waiter.turn:
		case <-timer.C:
			c.g.upstreams.pollLine(time.Now(), c.service.Name)
		case <-c.ctx.Done():
			timer.Stop()
			if c.ended() {
				return choice{}, c.stopRefusal()
			}
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeCallerGone, 0, "the client has left")
		}
		timer.Stop()
	}
}

// noPlace refuses the call for want of a place.
func (c *call) noPlace(detail string) *verdict.Error {
	c.g.Metrics.countRefusal("place", c.route.Priority)
	after := c.retryAfter()
	if expected, ok := c.g.upstreams.placeExpected(time.Now(), c.service.Name); ok {
		// Those that are refused together return over as long as the line takes.
		after = min(expected+time.Duration(unitHash(c.id, "return")*float64(expected)), maxPlaceRetryAfter)
	}
	return refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, after, detail)
}

// heldFor returns how long all upstreams at the last choice want no requests.
func (c *call) heldFor(now time.Time) (time.Duration, bool) {
	return c.heldUntil.Sub(now), !c.heldUntil.IsZero()
}

// retryAfter returns the Retry-After of a refused call. The delay depends on the request
// ID, so that clients that were refused together do not retry together.
func (c *call) retryAfter() time.Duration {
	base := max(c.route.TargetLatency/2, 200*time.Millisecond)
	return base + time.Duration(unitHash(c.id, "return")*float64(base))
}

// choose picks an upstream and counts the call as open there. If it is another call's turn or no
// upstream can take the call, it returns false, and the call waits in the line; hopeless is true
// if its turn would come too late.
func (s *upstreamSet) choose(now time.Time, c *call, view *config.View, w *lineWaiter) (chosen choice, found, hopeless bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.line(c.service.Name)
	if line.mayTry(now, w) {
		chosen, found = s.take(now, c, view)
		if found {
			line.found(now, w)
			return chosen, true, false
		}
		if w.joined || !line.Hopeless(now, &w.Waiter) {
			line.noPlace(now, w)
			return choice{}, false, false
		}
		return choice{}, false, true
	}
	if w.joined {
		return choice{}, false, false
	}
	if line.Hopeless(now, &w.Waiter) {
		return choice{}, false, true
	}
	line.join(w)
	return choice{}, false, false
}

// chooseNow is choose for a call that does not wait.
func (s *upstreamSet) chooseNow(now time.Time, c *call, view *config.View, w *lineWaiter) (choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.line(c.service.Name).mayTry(now, w) {
		return choice{}, false
	}
	return s.take(now, c, view)
}

// take picks an upstream and counts the call as open there; false if none can take it. The lock
// must be held.
func (s *upstreamSet) take(now time.Time, c *call, view *config.View) (choice, bool) {
	candidates := s.candidates(now, c, view)
	c.candidates, c.exclusions, c.heldUntil = len(candidates.upstreams), nil, time.Time{}
	if len(candidates.upstreams) == 0 {
		return choice{}, false
	}
	options := s.options(now, c, view, candidates)
	chosen, ok := placement.Choose(now, c.prompt, options, candidates.upstreams)
	if !ok {
		c.exclusions = placement.Exclusions(now, c.prompt, options, candidates.upstreams)
		c.heldUntil, _ = heldUntil(now, candidates.upstreams)
		return choice{}, false
	}
	chosen.RecordSend(now, options)
	s.limits.RecordSend(now, limitKey(chosen.Upstream))
	entry := s.byID[chosen.Upstream.ID]
	if c.attempts == 0 {
		s.retryBudget(now, c.service.Name, len(options.Nodes)).RecordFirstAttempt(now)
	}
	return choice{
		entry: entry, upstream: entry.Upstream,
		expectedDelay: chosen.Delay, cachedShare: chosen.CachedShare, uncachedTokens: chosen.UncachedTokens,
		placed: chosen,
	}, true
}

// returnRetry returns a retry that was taken and is not used.
func (c *call) returnRetry(now time.Time) {
	view, _ := c.g.State.View(now)
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	set.retryBudget(now, c.service.Name, len(set.entryNodes(view))).ReturnRetry(now)
}

// takeRetry reports whether the retry budget, which all nodes share, allows another
// attempt, and takes the attempt from it.
func (c *call) takeRetry(now time.Time) bool {
	view, _ := c.g.State.View(now)
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.retryBudget(now, c.service.Name, len(set.entryNodes(view))).TakeRetry(now)
}
