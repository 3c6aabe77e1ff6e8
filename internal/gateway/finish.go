package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/crash"
	"github.com/jaystage/jaystage/internal/problem"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// serve sends the call to upstreams until one responds or no retry is allowed.
func (c *call) serve() {
	for {
		chosen, e := c.choose()
		if e != nil {
			c.failChoice(e)
			return
		}
		f := c.serveWith(c.newAttempt(chosen))
		if f == nil {
			c.g.open.recordEnd(time.Now(), c, true)
			c.finish("answered", nil)
			return
		}
		if !c.canRetry(f) {
			c.g.open.recordEnd(time.Now(), c, false)
			c.fail(c.ctx, f)
			return
		}
		if !c.headersSent {
			c.phase.store(phaseChoosing)
		}
	}
}

// serveWith serves the call with an attempt, and with the standbys that take its place. It
// returns the failure of the last one.
func (c *call) serveWith(a *attempt) *failure {
	for {
		c.setCurrent(a)
		var f *failure
		if !a.answer.begun {
			f = c.obtain(c.ctx, a, func(now, due time.Time) (time.Time, error) { return c.checkSilence(now, due, a) })
		}
		if f == nil {
			f = c.forwardResponse(a)
		}
		c.diagnose(c.ctx, a, f)
		if f != nil {
			c.recordVerdict(f)
			c.addTried(a)
		}
		next := c.awaitStandby(f)
		c.endAttempt(c.ctx, a, f)
		if f == nil {
			c.recordAnswer(a.resp)
			return nil
		}
		if next == nil {
			return f
		}
		a = next
	}
}

// setCurrent makes an attempt the one whose answer is forwarded.
func (c *call) setCurrent(a *attempt) {
	c.current = a
	c.upstreamID, c.cachedShare, c.expectedDelay = a.upstream.ID, a.cachedShare, a.expectedDelay
	c.chosen, c.chosenAt = a.choice, a.started
	if !c.headersSent {
		c.phase.store(phaseSent)
	}
	if a.conn != nil {
		// The answer has begun, so that only its silence is left to watch.
		a.conn.watch.onSilence = func(now, due time.Time) (time.Time, error) { return c.checkSilence(now, due, a) }
	}
}

// diagnose records what a failed attempt tells of its upstream's process and of the path to it.
func (c *call) diagnose(ctx context.Context, a *attempt, f *failure) {
	a.markMalformed(f)
	switch {
	case c.detectCrash(ctx, a, f):
		f.suspected = c.g.parts.recordCrash(time.Now(), a, c)
		return
	case f != nil && f.cause == "read" && a.conn.via == "" && !a.conn.reused && a.resp == nil && ctx.Err() == nil:
		// A new connection was reset, but the upstream's process has not ended.
		c.suspectPath(a)
	}
	// The upstream's process has not ended and had the whole request, so that it has run it or
	// is running it; only its answer is lost.
	if f != nil && f.cause == "read" && f.verdict == verdict.MayHaveRun && a.promptPending && a.resp == nil && ctx.Err() == nil {
		f.answerLost = true
	}
}

// recordVerdict records whether a failed attempt may have run, and uncounts one that was not
// sent.
func (c *call) recordVerdict(f *failure) {
	if f.verdict != verdict.NotRun {
		c.possiblyRan = &f.verdict
	}
	if f.cause == "connect" {
		c.attempts--
	}
	c.suspected = c.suspected || f.suspected
	if f.answerLost {
		c.answerLostAt = time.Now()
	}
}

// countLostAnswer counts the call as started if no upstream began to answer it and one ran it
// whose answer was lost. Otherwise an account's usage would lack what its requests took.
func (c *call) countLostAnswer() {
	if !c.firstByteAt.IsZero() || c.answerLostAt.IsZero() {
		return
	}
	c.g.ledger.countStart(c.answerLostAt, c.accountName())
	c.g.Metrics.count("answer lost")
}

// addTried keeps the call from choosing the upstream of an attempt again.
func (c *call) addTried(a *attempt) {
	if !slices.Contains(c.prompt.Tried, a.upstream.ID) {
		c.prompt.Tried = append(c.prompt.Tried, a.upstream.ID)
	}
}

// recoverPanic ends a call that panicked, so that its place at the upstream is freed and the
// client gets a true verdict. net/http ends the connection of a call that is aborted.
func (c *call) recoverPanic() {
	p := recover()
	switch {
	case p == nil:
		return
	case p == http.ErrAbortHandler:
		panic(p)
	}
	crash.Record(c.g.Log.WithField("request", c.id), "request", p)
	v := verdict.MayHaveRun
	if c.attempts > 0 && c.possiblyRan == nil {
		c.possiblyRan = &v // also if the panic came after the attempt had ended
	}
	if c.current != nil {
		c.endAttempt(c.ctx, c.current, &failure{verdict: v, cause: "panic"})
	}
	e := &verdict.Error{Verdict: c.overallVerdict(), Code: verdict.CodeInternal, Status: http.StatusBadGateway, Detail: "the node failed to serve the request"}
	if c.headersSent {
		c.abort(e)
	}
	if e.Verdict == verdict.NotRun {
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, minStateRetryAfter
	}
	c.refuse(e)
}

// endAttempt returns the attempt's connection to the pool or closes it, and records the
// end and the outcome of the attempt at the upstream.
func (c *call) endAttempt(ctx context.Context, a *attempt, f *failure) {
	if c.current == a {
		c.current = nil
	}
	now := time.Now()
	reusable := f == nil && a.resp != nil && !a.resp.Close && c.awaitBodyWritten(a)
	if a.conn != nil {
		c.via = a.conn.via
		notCanceled := a.stopCancelWatch == nil || a.stopCancelWatch()
		if notGivenUp := a.closeAccount(); reusable && notCanceled && notGivenUp {
			a.conn.reused, a.conn.idleTimeout = true, keepAliveTimeout(a.resp)
			c.g.pool.put(a.upstream.Address, a.conn)
		} else {
			_ = a.conn.Close()
		}
	}
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	entry := a.entry
	entry.RecordEnd()
	set.endOnEngine(now, c, a)
	if a.promptPending {
		entry.RecordResponseStart(a.uncachedTokens)
	}
	set.notifyCapacity()
	c.recordOutcome(ctx, now, a, f)
	if f != nil {
		c.logFailedAttempt(now, a, f)
	}
}

// awaitBodyWritten waits briefly for a concurrent write of the body and reports whether it
// succeeded. The end of a stream reaches the client only afterwards.
func (c *call) awaitBodyWritten(a *attempt) bool {
	if a.bodyWritten == nil {
		return true
	}
	select {
	case err := <-a.bodyWritten:
		return err == nil
	case <-time.After(min(maxBodyWait, time.Until(c.deadline))):
		return false
	case <-c.ctx.Done():
		return false
	}
}

// recordOutcome updates the health of the upstream and counts the outcome for its
// version. The lock of the upstreams must be held.
func (c *call) recordOutcome(ctx context.Context, now time.Time, a *attempt, f *failure) {
	entry := a.entry
	switch {
	case f == nil && a.resp.StatusCode >= http.StatusInternalServerError:
		entry.RecordFailure(now)
		entry.lastResponse = now
		c.g.ledger.countOutcome(c, a, false, now.Sub(a.started))
	case f == nil:
		entry.RecordSuccess(now)
		entry.distrustedUntil.Store(0)
		entry.lastResponse = now
		c.g.ledger.countOutcome(c, a, true, c.responseTime(a, now))
	case ctx.Err() != nil || f.isOwn():
		// Not caused by the upstream.
	case f.malformed:
		c.recordMalformed(now, a, f)
		c.g.pool.closeIdle(a.upstream.Address)
		c.g.ledger.countOutcome(c, a, false, now.Sub(a.started))
	case f.cause != "connect" && f.status == 0 && c.g.blameless(now, a):
		// The path to the upstream may be at fault.
		c.g.pool.closeIdle(a.upstream.Address)
	case f.otherUpstream:
		entry.Leaving = true // another upstream process has its address
	case f.overloaded:
		entry.ApplyReport(now, entry.Slots, entry.Slots) // counts as full until a newer report
	case f.cause == "connect":
		entry.RecordUnreachable(now)
		c.g.pool.closeIdle(a.upstream.Address)
	case f.isSilence() && a.conn != nil:
		// The idle connections may be dead although new ones would work.
		c.g.pool.closeIdle(a.upstream.Address)
		if !a.silent {
			entry.RecordFailure(now)
		}
		c.g.ledger.countOutcome(c, a, false, now.Sub(a.started))
	default:
		if f.cause == "read" || f.cause == "cut" {
			c.g.pool.closeIdle(a.upstream.Address)
		}
		entry.RecordFailure(now)
		c.g.ledger.countOutcome(c, a, false, now.Sub(a.started))
	}
}

// recordStart records that the upstream started to run the call. Later calls for the
// same attempt have no effect.
func (c *call) recordStart(a *attempt) {
	if !a.promptPending {
		return
	}
	a.promptPending = false
	now := time.Now()
	if c.firstByteAt.IsZero() {
		c.firstByteAt = now
	}
	c.g.ledger.countStart(now, c.accountName())
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	a.entry.RecordResponseStart(a.uncachedTokens)
	a.entry.lastResponse = now
	set.recordFirstEvent(now, c, a)
}

// canRetry reports whether the call may be sent to another upstream after a failed attempt.
func (c *call) canRetry(f *failure) bool {
	now := time.Now()
	if f.isOwn() || c.attempts >= c.route.MaxAttempts || f.verdict != verdict.NotRun && !c.route.Repeatable() || !c.mayContinue(now) {
		return false
	}
	return f.cause == "connect" || c.takeRetry(now)
}

// mayContinue reports whether what the client has got, and the time that is left, allow another
// attempt.
func (c *call) mayContinue(now time.Time) bool {
	return c.ctx.Err() == nil && c.remaining(now) >= minRemaining && (!c.headersSent || c.lastEventID != "") && !c.suspected
}

// failChoice ends a call for which no upstream could be chosen.
func (c *call) failChoice(e *verdict.Error) {
	if c.headersSent {
		broken := *e
		broken.Verdict = verdict.Ran // whatever ended the resume, an upstream has run the request
		c.abort(&broken)
		return
	}
	if v := c.overallVerdict(); v != verdict.NotRun {
		e = &verdict.Error{
			Verdict: v, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
			Detail: "the upstream failed and no other one has a free place",
		}
	}
	c.refuse(e)
}

// fail ends a call whose last attempt failed.
func (c *call) fail(ctx context.Context, f *failure) {
	e := &verdict.Error{
		Verdict: c.overallVerdict(), Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream failed: " + f.cause, Cause: f.err,
	}
	switch {
	case c.headersSent || ctx.Err() != nil && !c.ended():
		c.abort(e)
		return
	case (c.ended() || f.cause == "stop") && e.Verdict == verdict.NotRun:
		e = c.stopRefusal()
	case c.ended() || f.cause == "stop":
		e.Code, e.Detail = verdict.CodeShuttingDown, "the node stops before the upstream answered"
	case e.Verdict == verdict.NotRun:
		e.Code, e.Status, e.RetryAfter = verdict.CodeOverloaded, http.StatusServiceUnavailable, c.retryAfter()
		e.Detail = "no upstream could take the request"
	case time.Now().After(c.deadline.Add(-minRemaining)):
		e.Code, e.Status, e.Detail = verdict.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the upstream gave no answer in time"
	}
	c.refuse(e)
}

// refuse sends an error response.
func (c *call) refuse(e *verdict.Error) {
	problem.Write(c.w, e, problem.FractionalSeconds)
	c.finish("refused", e)
}

// abort ends a call whose response is partly sent or whose client has left. It closes the
// client's connection without ending the response, so that a partial response does not
// look complete.
func (c *call) abort(e *verdict.Error) {
	c.finish("broken-off", e)
	if !c.r.ProtoAtLeast(1, 1) {
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}
