package gateway

import (
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// holdShare is the part of a route's objective for which a call waits for a place
	// before it is refused.
	capacityWaitShare = 0.15
	// holdLeast lets a short objective wait for at least one place to become free.
	minCapacityWait = 15 * time.Millisecond
	// leastLeft is the time that an upstream needs at least to answer anything.
	minRemaining = 5 * time.Millisecond
	// holdPoll is how often a waiting call looks again without being woken, since
	// bans and cold times end by themselves.
	capacityPollInterval = 20 * time.Millisecond
)

// choice is an upstream that a call was given a place on.
type choice struct {
	entry         *upstreamEntry
	upstream      placement.Upstream // a copy from the time of the choice
	expectedDelay time.Duration
	// held is the part of the shared prompt that it should hold, and tokens what it
	// has to read.
	cachedShare    float64
	uncachedTokens int
}

// choose gives the call a place on an upstream, and waits briefly when there is none.
func (c *call) choose() (choice, *verdict.Error) {
	maxWait := max(minCapacityWait, time.Duration(capacityWaitShare*float64(c.route.TargetLatency)))
	until := time.Now().Add(maxWait)
	for {
		now := time.Now()
		view, ok := c.g.State.View(now)
		if !ok {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeLeaseExpired, minStateRetryAfter, "the node has lost touch with the replicated state")
		}
		if c.remaining(now) < minRemaining {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeDeadline, 0, "no time is left to run the request")
		}
		chosen, freed, found := c.g.upstreams.choose(now, c, view)
		if found {
			return chosen, nil
		}
		if !now.Before(until) {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, c.retryAfter(), "no upstream has a free place")
		}
		timer := time.NewTimer(min(capacityPollInterval, until.Sub(now)+time.Millisecond))
		select {
		case <-freed:
		case <-timer.C:
		case <-c.r.Context().Done():
			timer.Stop()
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeCallerGone, 0, "the client has left")
		}
		timer.Stop()
	}
}

// comeBack returns when a refused client may come back. Returns are spread, so that
// clients that were refused together do not come together.
func (c *call) retryAfter() time.Duration {
	base := max(c.route.TargetLatency/2, 200*time.Millisecond)
	return base + time.Duration(unitHash(c.id, "return")*float64(base))
}

func (s *upstreamSet) choose(now time.Time, c *call, view *config.View) (choice, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(now, c, view)
	c.candidates, c.exclusions = len(candidates.upstreams), nil
	if len(candidates.upstreams) == 0 {
		return choice{}, s.capacityFreed, false
	}
	options := s.options(c, view, candidates)
	chosen, ok := placement.Choose(now, c.prompt, options, candidates.upstreams)
	if !ok {
		c.exclusions = placement.Exclusions(now, c.prompt, options, candidates.upstreams)
		return choice{}, s.capacityFreed, false
	}
	chosen.RecordSend(now, options)
	entry := s.byID[chosen.Upstream.ID]
	if c.attempts == 0 {
		s.retryBudget(c.service.Name, len(options.Nodes)).RecordFirstAttempt(now)
	}
	return choice{entry: entry, upstream: entry.Upstream, expectedDelay: chosen.Delay, cachedShare: chosen.CachedShare, uncachedTokens: chosen.UncachedTokens}, nil, true
}

// again spends a further attempt from the budget that all nodes share.
func (c *call) takeRetry(now time.Time) bool {
	view, _ := c.g.State.View(now)
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.retryBudget(c.service.Name, len(set.entryNodes(view))).TakeRetry(now)
}
