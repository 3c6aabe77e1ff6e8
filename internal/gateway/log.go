package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// finish logs the outcome of a call and records its metrics.
func (c *call) finish(outcome string, e *verdict.Error) {
	now := time.Now()
	c.countLostAnswer()
	fields := logrus.Fields{
		"request": c.id, "outcome": outcome, "took_ms": millis(now.Sub(c.start)), "sent": c.attempts,
		"account": c.accountName(), "upstream": c.upstreamID, "cost": c.cost,
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
		fields["route"], fields["left_ms"] = route, millis(c.remaining(now))
	}
	if c.view != nil {
		fields["version"] = c.view.Version
		if c.view.Plan != nil {
			fields["plan"] = c.view.Plan.Version
		}
	}
	if !c.firstByteAt.IsZero() {
		fields["first_ms"] = millis(c.firstByteAt.Sub(c.start))
		c.g.Metrics.record(c.accountName(), route, "first", c.firstByteAt.Sub(c.start))
	}
	if s := c.limitRefusal; s != nil {
		fields["limit_rate"], fields["limit_burst"], fields["limit_left"] = c.account.Rate, c.account.Burst, s.level
		fields["limit_supply"], fields["limit_share"], fields["limit_draw"], fields["limit_required"] = s.supply, s.share, s.draw, s.required
		fields["limit_others"], fields["limit_demand"], fields["limit_known"] = s.otherNodesRate, s.demand, s.totalsFresh
		if s.totalsFresh {
			fields["limit_age_ms"] = millis(s.totalsAge)
		}
	}
	if c.waited >= time.Millisecond {
		fields["place_wait_ms"] = millis(c.waited)
		c.g.Metrics.record("", route, "place wait", c.waited)
	}
	if c.service != nil {
		fields["priority"], fields["account_priority"] = c.route.Priority, c.priority()
	}
	if r := c.roomRefusal; r != nil {
		fields["pressure"], fields["threshold"], fields["share"], fields["draw"] = r.pressure, r.threshold, r.share, r.draw
		fields["room_slots"], fields["room_load"], fields["prompt_wait_ms"] = r.room.Slots, r.room.Load, millis(r.room.PromptWait)
		fields["hold_ms"] = millis(r.room.Hold)
	}
	if c.upstreamID != "" {
		fields["expected_ms"], fields["held"] = millis(c.expectedDelay), c.cachedShare
	}
	if c.via != "" {
		fields["via"] = c.via
	}
	if lost := c.g.Detour.LostFor(now); lost > 0 {
		fields["path_lost_ms"] = millis(lost)
	}
	if since, stopping := c.g.open.sinceStop(now); stopping {
		fields["stopping_ms"] = millis(since)
		c.addConnFields(fields, now)
		if !c.bodyRead.IsZero() {
			fields["body_ms"] = millis(c.bodyRead.Sub(c.start))
		}
	}
	if c.stateWait > 0 {
		fields["state_wait_ms"] = millis(c.stateWait)
	}
	if c.longestSilence > 0 {
		fields["silent_ms"] = millis(c.longestSilence)
	}
	c.addStreamFields(fields)
	if c.lastEventID != "" {
		fields["last_event"] = c.lastEventID
	}
	if e != nil && (e.Verdict == verdict.NotRun || c.headersSent) && c.service != nil {
		fields["candidates"], fields["bars"] = c.candidates, c.exclusions
	}
	if c.status != 0 {
		fields["status"] = c.status
	}
	if e != nil {
		fields["code"], fields["verdict"], fields["status"], fields["detail"] = e.Code, e.Verdict.String(), e.Status, e.Detail
		if e.RetryAfter > 0 {
			fields["retry_after_ms"] = millis(e.RetryAfter)
		}
		if e.Cause != nil {
			fields["error"] = e.Cause.Error()
		}
		outcome += " " + string(e.Code)
	}
	c.g.Metrics.count(outcome)
	c.recordStreamMetrics()
	c.g.Metrics.record(c.accountName(), route, "complete", now.Sub(c.start))
	event.With(c.g.Log, event.RequestEnded).WithFields(fields).Info("request ended")
}

// logFailedAttempt logs and counts a failed attempt. The lock of the upstreams must be
// held.
func (c *call) logFailedAttempt(now time.Time, a *attempt, failed *failure) {
	fields := logrus.Fields{
		"request": c.id, "upstream": a.upstream.ID, "address": a.upstream.Address, "domain": a.upstream.Domain, "attempt": a.number,
		"cause": failed.cause, "verdict": failed.verdict.String(), "took_ms": millis(now.Sub(a.started)), "reused": a.conn != nil && a.conn.reused,
		"load": a.upstream.Load(a.started), "open": a.upstream.Open, "others": a.upstream.OtherNodesOpen, "reported": a.upstream.ReportedLoad,
		"report_age_ms": millis(a.started.Sub(a.upstream.ReportedAt)), "seen_age_ms": millis(now.Sub(a.entry.lastStatus)), "expected_ms": millis(a.expectedDelay),
	}
	if a.conn != nil && a.conn.via != "" {
		fields["via"], fields["via_leaving"] = a.conn.via, a.conn.leaving()
	}
	if !a.answer.lastEvent.IsZero() {
		fields["gap_ms"] = millis(now.Sub(a.answer.lastEvent))
	}
	if lost := c.g.Detour.LostFor(now); lost > 0 {
		fields["path_lost_ms"] = millis(lost)
	}
	if failed.err != nil {
		fields["error"] = failed.err.Error()
	}
	if failed.status != 0 {
		fields["status"] = failed.status
	}
	c.g.Metrics.count("attempt " + failed.cause)
	event.With(c.g.Log, event.UpstreamFailed).WithFields(fields).Info("attempt failed")
}

// responseTime returns the time from the start of an attempt to its response, or to the
// first event of a stream.
func (c *call) responseTime(a *attempt, now time.Time) time.Duration {
	if !c.firstByteAt.IsZero() && c.firstByteAt.After(a.started) {
		return c.firstByteAt.Sub(a.started)
	}
	return now.Sub(a.started)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
