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
	holdShare = 0.15
	// holdLeast lets a short objective wait for at least one place to become free.
	holdLeast = 15 * time.Millisecond
	// leastLeft is the time that an upstream needs at least to answer anything.
	leastLeft = 5 * time.Millisecond
	// holdPoll is how often a waiting call looks again without being woken, since
	// bans and cold times end by themselves.
	holdPoll = 20 * time.Millisecond
)

// choice is an upstream that a call was given a place on.
type choice struct {
	unit  *unit
	up    placement.Upstream // a copy from the time of the choice
	delay time.Duration
	// held is the part of the shared prompt that it should hold, and tokens what it
	// has to read.
	held   float64
	tokens int
}

// choose gives the call a place on an upstream, and waits briefly when there is none.
func (c *call) choose() (choice, *verdict.Error) {
	hold := max(holdLeast, time.Duration(holdShare*float64(c.route.TargetLatency)))
	until := time.Now().Add(hold)
	for {
		now := time.Now()
		view, ok := c.g.State.View(now)
		if !ok {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeLeaseExpired, stateRetry, "the node has lost touch with the replicated state")
		}
		if c.left(now) < leastLeft {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeDeadline, 0, "no time is left to run the request")
		}
		got, freed, found := c.g.fleet.choose(now, c, view)
		if found {
			return got, nil
		}
		if !now.Before(until) {
			return choice{}, refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, c.comeBack(), "no upstream has a free place")
		}
		timer := time.NewTimer(min(holdPoll, until.Sub(now)+time.Millisecond))
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
func (c *call) comeBack() time.Duration {
	base := max(c.route.TargetLatency/2, 200*time.Millisecond)
	return base + time.Duration(draw(c.id, "return")*float64(base))
}

func (f *fleet) choose(now time.Time, c *call, view *config.View) (choice, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	among := f.candidates(now, c, view)
	c.candidates, c.bars = len(among.list), nil
	if len(among.list) == 0 {
		return choice{}, f.freed, false
	}
	limits := f.limits(c, view, among)
	best, ok := placement.Choose(now, c.prompt, limits, among.list)
	if !ok {
		c.bars = placement.Exclusions(now, c.prompt, limits, among.list)
		return choice{}, f.freed, false
	}
	best.RecordSend(now, limits)
	u := f.ups[best.Upstream.ID]
	if c.sent == 0 {
		f.budget(c.service.Name, len(limits.Nodes)).RecordFirstAttempt(now)
	}
	return choice{unit: u, up: u.Upstream, delay: best.Delay, held: best.CachedShare, tokens: best.UncachedTokens}, nil, true
}

// again spends a further attempt from the budget that all nodes share.
func (c *call) again(now time.Time) bool {
	view, _ := c.g.State.View(now)
	f := c.g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(c.service.Name, len(f.nodes(view))).TakeRetry(now)
}
