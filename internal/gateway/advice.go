package gateway

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/placement"
)

const (
	// maxHold bounds the time for which an upstream may ask to be left alone, so that a
	// malformed value does not take it out of service.
	maxHold = time.Minute
)

// applyAdvice applies what the upstream asks for in its response: that it leaves, wants no
// requests for a time, or is brittle.
func (c *call) applyAdvice(a *attempt) {
	now, header := time.Now(), a.resp.Header
	brittle, err := strconv.Atoi(header.Get(c.g.Headers.Brittle))
	if err != nil || c.g.Headers.Brittle == "" {
		brittle = 0
	}
	var hold time.Duration
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		hold = parseRetryAfter(header.Get("Retry-After"))
	}
	leaving := c.g.Headers.Leaving != "" && header.Get(c.g.Headers.Leaving) == "1"
	set := c.g.upstreams
	set.mu.Lock()
	changed := a.entry.BrittleLimit != max(0, brittle) || leaving && !a.entry.Leaving
	a.entry.BrittleLimit = max(0, brittle)
	if brittle > 0 && a.resp.Header.Get(c.g.Headers.NotRun) != "" {
		hold = max(hold, placement.BrittleHold(brittle, len(set.nodeNames)))
	}
	a.entry.Leaving = a.entry.Leaving || leaving
	a.entry.Hold(now.Add(hold))
	set.mu.Unlock()
	if changed {
		event.With(c.g.Log, event.UpstreamAdvice).WithFields(map[string]any{
			"upstream": a.upstream.ID, "request": c.id, "leaving": leaving, "brittle": max(0, brittle),
		}).Info("upstream leaves or changed what it can bear")
	}
	if t, ok := a.conn.Conn.(*tunnel.Conn); ok && (leaving || hold > 0) {
		// The other node sends to the upstream too; without the notice it learns by itself.
		_ = t.Advise(leaving, hold)
	}
}

// parseRetryAfter parses a time in seconds; zero if it is none.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxHold.Seconds()) * float64(time.Second))
}

// isBrittle reports whether a candidate that is not leaving is brittle. The lock must be held.
func isBrittle(candidates []*placement.Upstream) bool {
	return slices.ContainsFunc(candidates, func(u *placement.Upstream) bool { return u.BrittleLimit > 0 && !u.Leaving })
}

// advise applies what another node has heard from an upstream over a connection of this node.
func (s *upstreamSet) advise(address string, leaving bool, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.byAddress[address]; entry != nil {
		entry.Leaving = entry.Leaving || leaving
		entry.Hold(time.Now().Add(min(hold, maxHold)))
	}
}

// heldUntil returns when the first of the candidates may get requests again, if all of them
// want none at present. The lock must be held.
func heldUntil(now time.Time, candidates []*placement.Upstream) (until time.Time, held bool) {
	for _, u := range candidates {
		switch {
		case u.Leaving:
		case !now.Before(u.HoldUntil):
			return time.Time{}, false
		case !held || u.HoldUntil.Before(until):
			until, held = u.HoldUntil, true
		}
	}
	return until, held
}
