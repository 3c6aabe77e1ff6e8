package gateway

import (
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/wire"
)

// limitKey identifies an incarnation of an upstream in pace.Limits.
func limitKey(u *placement.Upstream) string {
	return u.ID + "@" + strconv.FormatInt(u.StartMillis, 10)
}

// applyLimitHeader applies the limit that the upstream names in its response.
func (c *call) applyLimitHeader(a *attempt) {
	rate := pace.ParseRate(a.resp.Header.Get(c.g.Headers.Limit))
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.limits.Hear(pace.Limit{Upstream: limitKey(&a.upstream), Rate: rate, At: time.Now()}) {
		event.With(c.g.Log, event.UpstreamLimited).WithField("upstream", a.upstream.ID).WithField("rate", rate).Info("upstream limits its requests")
	}
}

// fillLimits adds the limits in the last answers to this node to a usage report.
func (s *upstreamSet) fillLimits(now time.Time, report *wire.UseTally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Limits = record.Limits(now, s.limits.Own(now))
}

// applyLimits applies the limits in the last answers to all nodes.
func (s *upstreamSet) applyLimits(now time.Time, limits []wire.UpstreamLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range limits {
		s.limits.Merge(record.FromLimit(now, l))
	}
}
