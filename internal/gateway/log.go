package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// finish writes the line of a call that has its outcome, and counts it.
func (c *call) finish(outcome string, e *verdict.Error) {
	now := time.Now()
	fields := logrus.Fields{
		"request": c.id, "outcome": outcome, "took_ms": millis(now.Sub(c.start)), "sent": c.sent,
		"account": c.accountName(), "upstream": c.upstream, "cost": c.cost,
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
		fields["route"], fields["left_ms"] = route, millis(c.left(now))
	}
	if c.view != nil {
		fields["version"] = c.view.Version
		if c.view.Plan != nil {
			fields["plan"] = c.view.Plan.Version
		}
	}
	if !c.first.IsZero() {
		fields["first_ms"] = millis(c.first.Sub(c.start))
		c.g.Metrics.record(c.accountName(), route, "first", c.first.Sub(c.start))
	}
	if s := c.limited; s != nil {
		fields["limit_rate"], fields["limit_burst"], fields["limit_left"] = c.account.Rate, c.account.Burst, s.level
		fields["limit_others"], fields["limit_demand"], fields["limit_known"] = s.others, s.demand, s.known
		if s.known {
			fields["limit_age_ms"] = millis(s.age)
		}
	}
	if c.upstream != "" {
		fields["expected_ms"], fields["held"] = millis(c.expected), c.held
	}
	if c.lastEvent != "" {
		fields["event"] = c.lastEvent
	}
	if e != nil && e.Verdict == verdict.NotRun && c.service != nil {
		fields["candidates"], fields["bars"] = c.candidates, c.bars
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
	c.g.Metrics.record(c.accountName(), route, "complete", now.Sub(c.start))
	event.With(c.g.Log, event.RequestEnded).WithFields(fields).Info("request ended")
}

// logAttempt writes the line of an attempt that did not answer its call. The fleet's
// lock must be held.
func (c *call) logAttempt(now time.Time, a *attempt, f *failure) {
	fields := logrus.Fields{
		"request": c.id, "upstream": a.up.ID, "address": a.up.Address, "domain": a.up.Domain, "attempt": c.sent,
		"cause": f.cause, "verdict": f.verdict.String(), "took_ms": millis(now.Sub(a.started)), "reused": a.conn != nil && a.conn.reused,
		"load": a.up.Load(a.started), "open": a.up.Open, "others": a.up.OtherNodesOpen, "reported": a.up.ReportedLoad,
		"report_age_ms": millis(a.started.Sub(a.up.ReportedAt)), "seen_age_ms": millis(now.Sub(a.unit.seen)), "expected_ms": millis(a.delay),
	}
	if f.err != nil {
		fields["error"] = f.err.Error()
	}
	if f.status != 0 {
		fields["status"] = f.status
	}
	c.g.Metrics.count("attempt " + f.cause)
	event.With(c.g.Log, event.UpstreamFailed).WithFields(fields).Info("attempt failed")
}

// answerTime is the time to the answer, or to the first event of a stream.
func (c *call) answerTime(a *attempt, now time.Time) time.Duration {
	if !c.first.IsZero() && c.first.After(a.started) {
		return c.first.Sub(a.started)
	}
	return now.Sub(a.started)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
