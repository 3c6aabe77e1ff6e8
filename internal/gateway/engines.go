package gateway

import (
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/traffic"
)

const (
	// minFirstEventTarget is the least time to the first event that a choice aims at, also when
	// the request has waited for long.
	minFirstEventTarget = 100 * time.Millisecond
)

// engineState is what the node knows of the engines of one service.
type engineState struct {
	placement.Engine
	longPart placement.PartSize
	// gap is the least target of the service's streams for the time between two events, by the
	// view for which it was looked up.
	gap  time.Duration
	view *config.View
}

// engine returns the state of a service's engines; nil for a service without any. The lock must
// be held.
func (s *upstreamSet) engine(service *traffic.Service, view *config.View) *engineState {
	if service.Engine == nil {
		return nil
	}
	e := s.engines[service.Name]
	if e == nil {
		e = &engineState{}
		s.engines[service.Name] = e
	}
	if e.view != view {
		e.view, e.gap = view, targetGap(view, service.Name)
	}
	return e
}

// engineOf returns what was learnt of the engines of a service; nil if nothing was. The lock must be
// held.
func (s *upstreamSet) engineOf(service *traffic.Service) *placement.Engine {
	if e := s.engines[service.Name]; e != nil {
		return &e.Engine
	}
	return nil
}

// targetGap returns the least target of a service's streams for the time between two events; zero
// if none has one.
func targetGap(view *config.View, service string) time.Duration {
	least := time.Duration(0)
	if view == nil || view.Plan == nil {
		return least
	}
	for i := range view.Plan.Routes {
		r := &view.Plan.Routes[i]
		if r.Kind != traffic.Stream || r.TargetGap <= 0 || least > 0 && r.TargetGap >= least {
			continue
		}
		for _, w := range r.Split {
			if w.Service == service {
				least = r.TargetGap
			}
		}
	}
	return least
}

// addEngineOptions adds what is known of the engines of the call's service. The lock must be held.
func (s *upstreamSet) addEngineOptions(now time.Time, c *call, view *config.View, candidates *candidateList, options *placement.Options) {
	e := s.engine(c.service, view)
	if e == nil {
		return
	}
	options.Engine, options.Targets.Gap = &e.Engine, e.gap
	if c.route.Kind == traffic.Stream {
		options.Targets.FirstEvent = max(minFirstEventTarget, c.route.TargetLatency-now.Sub(c.start))
	}
	if e.gap > 0 {
		options.LongPart = candidates.longPart
	}
}

// longPart returns the number of upstreams of a list that serve long prompts.
func (s *upstreamSet) longPart(now time.Time, view *config.View, service *traffic.Service, list []*placement.Upstream) int {
	e := s.engine(service, view)
	if e == nil || e.gap == 0 || len(list) == 0 {
		return 0
	}
	long, open := 0, 0
	for _, u := range list {
		long += u.LongOpen + u.OtherNodesLong
		open += u.Open + u.OtherNodesOpen
	}
	return e.longPart.Update(now, long, open, len(list), list[0].Slots)
}

// recordFirstEvent records that an attempt has begun to answer. The lock must be held.
func (s *upstreamSet) recordFirstEvent(now time.Time, c *call, a *attempt) {
	e := s.engines[c.service.Name]
	if e == nil {
		return
	}
	took := now.Sub(a.started)
	if c.route.Kind == traffic.Stream && a.answer.buffer != nil {
		slowness := 1.0
		if a.entry.ReportedSlowness > 0 && !a.entry.SlownessAt.Before(a.started) {
			slowness = a.entry.ReportedSlowness
		}
		e.RecordAnswer(now, a.placed, took, slowness)
	}
	if a.answer.buffer != nil && now.Sub(c.start) <= c.route.TargetLatency {
		a.inTime = true
		a.entry.Streams++
	}
}

// recordPause records the last interval between the events of a stream: one that is late is not
// made late again.
func (c *call) recordPause(a *attempt) {
	if !a.inTime || c.route.TargetGap <= 0 || c.pauses.longest <= c.route.TargetGap {
		return
	}
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	a.inTime = false
	a.entry.Streams--
	if e := set.engineOf(c.service); e != nil && c.pauses.where == pauseUpstream {
		e.RecordPaused(time.Now())
	}
}

// endOnEngine records the end of an attempt. The lock must be held.
func (s *upstreamSet) endOnEngine(now time.Time, c *call, a *attempt) {
	if a.placed.Long {
		a.entry.LongOpen--
	}
	if a.inTime {
		a.inTime = false
		a.entry.Streams--
	}
	if e := s.engines[c.service.Name]; e != nil {
		if mean, ok := c.pauses.mean(); ok {
			e.RecordIntervals(now, mean)
		}
	}
}
