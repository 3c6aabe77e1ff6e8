package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// choosePoll bounds how late a waiting call notices a new upstream.
	choosePoll = 50 * time.Millisecond
	// reclaimMargin is the shortest time before a reclaim in which an upstream still
	// gets new requests.
	reclaimMargin = 5 * time.Second
)

// choose waits for a slot of an upstream that serves the call. A call that has not
// run waits as long as its class lets the first token take, another one until the
// deadline.
func (a *API) choose(ctx context.Context, c *call) (*attempt, error) {
	if at := c.next; at != nil {
		c.next = nil
		return at, nil
	}
	if err := a.suspected(ctx, c); err != nil {
		return nil, err
	}
	defer a.Slots.giveUp(c)
	for {
		changed := a.Slots.changed()
		at, found := a.tryChoose(c)
		if at != nil {
			return at, nil
		}
		if !c.mayHaveRun {
			if err := a.cannotWait(c, found); err != nil {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			return nil, a.contextError(ctx, c)
		case <-changed:
		case <-time.After(choosePoll):
		}
	}
}

// cannotWait refuses a call that has not run when waiting does not help.
func (a *API) cannotWait(c *call, found bool) error {
	if !found && c.attempts == 0 {
		return &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeNoUpstream, Status: http.StatusServiceUnavailable,
			RetryAfter: leaseRetryAfter, Detail: "no upstream serves " + c.service.Name + " version " + strconv.Quote(c.version),
		}
	}
	limit := c.class.First.Std()
	if c.class.Delay || limit <= 0 {
		limit = c.class.Complete.Std() / 2
	}
	if a.Now().Sub(c.start) < limit {
		return nil
	}
	if c.failed != nil {
		return c.failed
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Status: http.StatusServiceUnavailable,
		RetryAfter: leaseRetryAfter, Detail: "all upstreams of " + c.service.Name + " are busy",
	}
}

// tryChoose takes a slot if one is free. found is false when no upstream serves
// the call at all.
func (a *API) tryChoose(c *call) (at *attempt, found bool) {
	now := a.Now()
	view, _ := a.Viewer.View(now)
	if view == nil {
		return nil, true
	}
	c.version = a.shares.version(view, c, a.Versions)
	list := a.candidates(view, c, now)
	if len(list) == 0 {
		return nil, false
	}
	// Upstreams that already failed the call are used only when there is no other.
	for _, tried := range []bool{false, true} {
		var part []upstream.Entry
		for _, e := range list {
			if c.tried[e.ID] == tried {
				part = append(part, e)
			}
		}
		if len(part) == 0 {
			continue
		}
		t, ok := a.Slots.take(now, view, c, part)
		if !ok {
			return nil, true
		}
		return &attempt{call: c, target: t.target, ticket: t.ticket, uncached: t.uncached, version: c.version, begun: now}, true
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

// usable tells whether an upstream gets new work: it is ready and neither drained,
// leaving nor about to be reclaimed.
func (a *API) usable(view *config.View, e upstream.Entry, now time.Time) bool {
	_, domain := view.DrainedDomains[e.Domain]
	_, drained := view.DrainedUpstreams[e.ID]
	left, notice := e.Left(now)
	return !domain && !drained && e.Ready && !e.Leaving && (!notice || left > reclaimMargin)
}
