package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// choosePollInterval limits the delay until a waiting call notices a new
	// upstream.
	choosePollInterval = 50 * time.Millisecond
	// reclaimMargin is the time before the reclaim of its VM from which an
	// upstream gets no new requests.
	reclaimMargin = 5 * time.Second
)

// choose waits for a slot of an upstream that serves the call. A call that has
// not run waits until its class's target for the first token, or for half of the
// completion target if the class is deferrable or has no such target. Any other
// call waits until its deadline.
func (a *API) choose(ctx context.Context, c *call) (*attempt, error) {
	if at := c.nextAttempt; at != nil {
		c.nextAttempt = nil
		return at, nil
	}
	if err := a.checkSuspect(ctx, c); err != nil {
		return nil, err
	}
	defer a.Slots.cancelReservation(c)
	for {
		changed := a.Slots.changed()
		at, found := a.tryChoose(c, "")
		if at != nil {
			return at, nil
		}
		if !c.mayHaveRun {
			if err := a.checkWait(c, found); err != nil {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, a.contextError(ctx, c)
		case <-changed:
		case <-time.After(choosePollInterval):
		}
	}
}

// checkWait returns an error when a call that has not run must not wait any
// longer. found is the result of tryChoose.
func (a *API) checkWait(c *call, found bool) error {
	if !found && c.attempts == 0 {
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeNoUpstream, Status: http.StatusServiceUnavailable,
			RetryAfter: defaultRetryAfter, Detail: "no upstream serves " + c.service.Name + " version " + strconv.Quote(c.version),
		}
	}
	limit := c.class.FirstTokenTarget.Std()
	if c.class.Deferrable || limit <= 0 {
		limit = c.class.CompletionTarget.Std() / 2
	}
	if a.Now().Sub(c.start) < limit {
		return nil
	}
	if c.lastErr != nil {
		return c.lastErr
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Status: http.StatusServiceUnavailable,
		RetryAfter: defaultRetryAfter, Detail: "all upstreams of " + c.service.Name + " are busy",
	}
}

// tryChoose takes a slot if one is free on an upstream other than except. found is false
// when no such upstream serves the call at all.
func (a *API) tryChoose(c *call, except string) (at *attempt, found bool) {
	now := a.Now()
	view, _ := a.Viewer.View(now)
	if view == nil {
		return nil, true
	}
	c.version = a.shares.version(view, c, a.Versions)
	list := slices.DeleteFunc(a.candidates(view, c, now), func(e upstream.Entry) bool { return e.ID == except })
	if len(list) == 0 {
		return nil, false
	}
	// Avoided upstreams are used only when there is no other.
	for _, avoided := range []bool{false, true} {
		var group []upstream.Entry
		for _, e := range list {
			if c.avoided[e.ID] == avoided {
				group = append(group, e)
			}
		}
		if len(group) == 0 {
			continue
		}
		t, ok := a.Slots.take(now, view, c, group)
		if !ok {
			return nil, true
		}
		return &attempt{call: c, target: t.target, ticket: t.ticket, uncachedTokens: t.uncachedTokens, version: c.version, start: now}, true
	}
	return nil, true
}

// candidates lists the upstreams that may get the call now.
func (a *API) candidates(view *config.View, c *call, now time.Time) []upstream.Entry {
	list := a.Upstreams.Serving(c.service.Name, c.version)
	usable := list[:0]
	for _, e := range list {
		if a.usable(view, e, now) {
			usable = append(usable, e)
		}
	}
	return usable
}

// usable reports whether an upstream gets new requests: it is ready and neither
// drained, leaving nor about to be reclaimed.
func (a *API) usable(view *config.View, e upstream.Entry, now time.Time) bool {
	_, domainDrained := view.DrainedDomains[e.Domain]
	_, upstreamDrained := view.DrainedUpstreams[e.ID]
	left, notice := e.TimeToReclaim(now)
	return !domainDrained && !upstreamDrained && e.Ready && !e.Leaving && (!notice || left > reclaimMargin)
}
