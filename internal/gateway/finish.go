package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/problem"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// serve tries upstreams until the call is answered or cannot be answered any more.
func (c *call) serve() {
	ctx := c.r.Context()
	for {
		ch, e := c.choose()
		if e != nil {
			c.giveUp(e)
			return
		}
		c.sent++
		c.upstream, c.version, c.held, c.expected = ch.up.ID, ch.up.Version, ch.held, ch.delay
		a, f := c.send(ctx, ch)
		if f == nil {
			f = c.follow(a)
		}
		c.close(ctx, a, f)
		if f == nil {
			c.finish("answered", nil)
			return
		}
		if !c.repeatable(ctx, f) {
			c.fail(ctx, f)
			return
		}
		c.prompt.Tried = append(c.prompt.Tried, ch.up.ID)
	}
}

// close ends an attempt and records what it says of the upstream.
func (c *call) close(ctx context.Context, a *attempt, f *failure) {
	now := time.Now()
	clean := f == nil && a.resp != nil && !a.resp.Close && c.bodyWritten(a)
	if a.conn != nil {
		watched := a.stop == nil || a.stop()
		if clean && watched {
			a.conn.keep = keepAlive(a.resp)
			c.g.pool.put(a.up.Address, a.conn)
		} else {
			_ = a.conn.Close()
		}
	}
	fl := c.g.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	u := a.unit
	u.RecordEnd()
	if a.charged {
		u.RecordResponseStart(a.tokens)
	}
	fl.free()
	c.judge(ctx, now, a, f)
	if f != nil {
		c.logAttempt(now, a, f)
	}
}

// bodyWritten waits for a body that is still being written; false when it failed.
func (c *call) bodyWritten(a *attempt) bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	case <-time.After(time.Until(c.limit)):
		return false
	}
}

// judge updates the failure record of the upstream. The fleet's lock must be held.
func (c *call) judge(ctx context.Context, now time.Time, a *attempt, f *failure) {
	u := a.unit
	switch {
	case f == nil && a.resp.StatusCode >= http.StatusInternalServerError:
		u.RecordFailure(now)
		u.answered = now
		c.g.ledger.outcome(c, a, false, now.Sub(a.started))
	case f == nil:
		u.RecordSuccess(now)
		u.answered = now
		c.g.ledger.outcome(c, a, true, c.answerTime(a, now))
	case ctx.Err() != nil || f.cause == "client" || f.cause == "lease" || f.cause == "deadline":
		// Says nothing of the upstream.
	case f.elsewhere:
		u.Leaving = true // another start has its address
	case f.full:
		u.ApplyReport(now, u.Slots, u.Slots) // full until a newer report
	case f.cause == "connect":
		u.RecordUnreachable(now)
		c.g.pool.forget(a.up.Address)
	case f.cause == "silent" && a.conn != nil:
		// The connection may have fallen silent while new ones work.
		c.g.pool.forget(a.up.Address)
		u.RecordFailure(now)
		c.g.ledger.outcome(c, a, false, now.Sub(a.started))
	default:
		if f.cause == "read" || f.cause == "cut" {
			c.g.pool.forget(a.up.Address)
		}
		u.RecordFailure(now)
		c.g.ledger.outcome(c, a, false, now.Sub(a.started))
	}
}

// noteBegan records that the upstream began to run the call.
func (c *call) noteBegan(a *attempt) {
	if !a.charged {
		return
	}
	a.charged = false
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	}
	c.g.ledger.began(now, c.accountName())
	f := c.g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	a.unit.RecordResponseStart(a.tokens)
	a.unit.answered = now
}

// repeatable tells whether the call may be sent to another upstream.
func (c *call) repeatable(ctx context.Context, f *failure) bool {
	if f.verdict != verdict.NotRun {
		c.ran = &f.verdict
	}
	now := time.Now()
	switch {
	case ctx.Err() != nil || f.cause == "client" || f.cause == "lease" || f.cause == "deadline":
		return false
	case f.cause == "connect":
		// Nothing was sent, so it does not count as an attempt.
		c.sent--
	}
	if c.sent >= c.route.MaxAttempts || c.left(now) < leastLeft {
		return false
	}
	if f.verdict != verdict.NotRun && !c.route.Repeatable() {
		return false
	}
	if c.began && c.lastEvent == "" {
		return false
	}
	return f.cause == "connect" || c.again(now)
}

// giveUp ends a call that gets no place on an upstream.
func (c *call) giveUp(e *verdict.Error) {
	if c.began {
		c.breakOff(e)
		return
	}
	if v := c.mayHaveRun(); v != verdict.NotRun {
		e = &verdict.Error{Verdict: v, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway, Detail: "the upstream failed and no other one has a free place"}
	}
	c.refuse(e)
}

// fail ends a call whose last attempt failed.
func (c *call) fail(ctx context.Context, f *failure) {
	e := &verdict.Error{Verdict: c.mayHaveRun(), Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway, Detail: "the upstream failed: " + f.cause, Cause: f.err}
	switch {
	case c.began || ctx.Err() != nil:
		c.breakOff(e)
		return
	case e.Verdict == verdict.NotRun:
		e.Code, e.Status, e.RetryAfter = verdict.CodeOverloaded, http.StatusServiceUnavailable, c.comeBack()
		e.Detail = "no upstream could take the request"
	case time.Now().After(c.limit.Add(-leastLeft)):
		e.Code, e.Status, e.Detail = verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the upstream gave no answer in time"
	}
	c.refuse(e)
}

// refuse sends the refusal of a call.
func (c *call) refuse(e *verdict.Error) {
	problem.Write(c.w, e, problem.Fraction)
	c.finish("refused", e)
}

// breakOff ends an answer that the client has a part of. Its connection is closed
// without the end of the answer, so that the part does not look complete.
func (c *call) breakOff(e *verdict.Error) {
	c.finish("broken-off", e)
	panic(http.ErrAbortHandler)
}
