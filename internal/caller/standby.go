package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// standbyState tells which of two attempts answers a call; guarded by call.mu.
type standbyState int

const (
	// standbyPending means that neither the first attempt nor the standby has gone on.
	standbyPending standbyState = iota
	// standbyBegun means that the standby has begun to answer and the first was ended.
	standbyBegun
	// standbyPromoted means that the first attempt failed, so the call waits for the standby.
	standbyPromoted
	// standbyDropped means that the first attempt went on, which ended the standby.
	standbyDropped
	// standbyFailed means that the standby failed while the first attempt was still open.
	standbyFailed
)

// standby is an attempt beside a silent one. The first of the two that goes on answers the
// call; the other one is ended.
type standby struct {
	attempt *attempt
	state   standbyState
	// whole is true if the standby begins with its whole answer.
	whole bool
	// stop ends the attempt and its diagnosis.
	stop context.CancelFunc
	// done is closed when the standby has begun or ended. resp and err are set before it.
	done chan struct{}
	resp *http.Response
	err  error
}

// running reports whether the standby has neither begun nor ended.
func (s *standby) running() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// handleSilence starts a standby beside a silent attempt. A silent standby is ended, so that
// another one can be tried.
func (a *API) handleSilence(now time.Time, at *attempt) {
	c := at.call
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s := at.standbyOf; {
	case s == nil || s.state == standbyPromoted:
		a.startStandby(now, at)
	case s.state == standbyPending:
		at.cancel(errNoProgress)
	}
}

// startStandby sends the call to another upstream beside a silent attempt if a retry is left
// and a slot is free. It needs no retry if the answer moves from a failed upstream to one
// that has not failed. c.mu must be held.
func (a *API) startStandby(now time.Time, first *attempt) {
	c := first.call
	if first.ended || first.moving || first.standby.running() || now.Before(first.nextStandby) || !a.allowsStandby(now, c) {
		return
	}
	if s := first.standby; s != nil && s.state == standbyBegun || !first.mayResume() && !a.retryBudgets.hasRetry(now, c) {
		return
	}
	at := a.chooseStandby(c, first)
	if at == nil {
		return
	}
	resumes := first.mayResume() && !a.Slots.isEjected(now, at.target)
	if !resumes && !a.retryBudgets.takeRetry(now, c) {
		a.Slots.release(now, at, false)
		return
	}
	body := c.body
	if t := c.transcript; t != nil {
		var err error
		if body, err = t.NextBody(stream.Options{Priority: c.class.Priority}); err != nil {
			a.Slots.release(now, at, false)
			return
		}
		at.deliveredBefore = t.Delivered()
	}
	ctx, stop := context.WithCancel(first.callCtx)
	at.begin(ctx, c, now)
	at.callCtx = first.callCtx
	if c.transcript != nil {
		a.Metrics.recordRecomputation(c, at)
	}
	s := &standby{attempt: at, stop: stop, done: make(chan struct{}), whole: c.beginsWhole()}
	first.standby, at.standbyOf = s, s
	first.nextStandby = now.Add(backoff(first.standbys))
	first.standbys++
	event.With(a.Log, event.StandbyStarted).WithField("request", at.id).WithField("from", first.target.ID).WithField("to", at.target.ID).
		Info("second attempt started beside a silent one")
	go a.runStandby(ctx, first, s, body)
}

// mayResume reports whether a standby needs no retry, like the resumption of an answer that
// broke off: the attempt has delivered tokens, and its upstream fails its health check.
func (at *attempt) mayResume() bool {
	return at.upstreamHealth == healthFailed && at.delivered.Load() > 0
}

// chooseStandby takes a slot for a standby. The silent upstream itself gets it only if it
// answers on new connections, so that the connection may be at fault, and no other is free of
// failures. c.mu must be held.
func (a *API) chooseStandby(c *call, first *attempt) *attempt {
	except := first.target.ID
	if first.upstreamHealth == healthPassed {
		c.avoid(except)
		except = ""
	}
	at, _ := a.tryChoose(c, except)
	return at
}

// allowsStandby reports whether the call may run on two upstreams at once and an answer from
// the second one could be used. c.mu must be held.
func (a *API) allowsStandby(now time.Time, c *call) bool {
	switch {
	case !c.idempotent() || c.atMostOnce || c.passedOn || c.nextAttempt != nil || !now.Before(c.deadline):
		return false
	case c.transcript != nil && !c.transcript.Continuable():
		return false
	case !c.responseStarted && !a.drain.admitsAgain(now, c):
		return false
	}
	return !c.isolated && !a.Parts.isBlocked(c.parts) && a.Suspects.allows(now, c.fingerprint)
}

// beginsWhole reports whether a further attempt is better than the present one only when its
// answer is complete. c.mu must be held.
func (c *call) beginsWhole() bool {
	t := c.transcript
	return t != nil && (t.Request.Unstreamed() || t.Restarts() && t.Delivered() > 0)
}

// runStandby sends a standby and waits until it begins. It closes s.done at its end.
func (a *API) runStandby(ctx context.Context, first *attempt, s *standby, body []byte) {
	defer close(s.done)
	c, at := first.call, s.attempt
	s.resp, s.err = a.fetchStandby(c, s, body)
	c.mu.Lock()
	switch {
	case s.state != standbyPending:
	case s.err == nil:
		s.state = standbyBegun
		first.cancel(errReplaced)
	default:
		s.state = standbyFailed
	}
	state := s.state
	c.mu.Unlock()
	switch state {
	case standbyFailed:
		a.fail(ctx, c, at, s.err)
		s.stop()
	case standbyDropped:
		a.endStandby(s)
	}
}

// endStandby ends a standby that is not used.
func (a *API) endStandby(s *standby) {
	s.attempt.cancel(errOutrun)
	s.stop()
	if s.resp != nil {
		_ = s.resp.Body.Close()
	}
	a.openAttempts.remove(s.attempt)
	s.attempt.account.Close()
	a.Slots.release(a.Now(), s.attempt, false)
}

// discardStandby ends a standby whose call has ended before it could be adopted.
func (a *API) discardStandby(s *standby) {
	s.attempt.cancel(errOutrun)
	<-s.done
	a.endStandby(s)
}

// settleStandby decides, at the end of an attempt, what becomes of the standby beside it. It
// returns when the standby has ended, or has become the next attempt.
func (a *API) settleStandby(c *call, at *attempt, answered bool) {
	c.mu.Lock()
	at.ended = true
	s := at.standby
	if s == nil {
		c.mu.Unlock()
		return
	}
	switch {
	case s.state == standbyBegun && !answered:
		c.nextAttempt = s.attempt
	case s.state == standbyPending && !answered:
		s.state, c.nextAttempt = standbyPromoted, s.attempt
	case s.state == standbyPending:
		s.state = standbyDropped
	}
	state := s.state
	if answered && state != standbyBegun {
		s.stop()
	}
	c.mu.Unlock()
	switch {
	case state == standbyDropped || state == standbyFailed:
		<-s.done
	case state == standbyBegun && answered:
		a.discardStandby(s)
	}
}

// adopt waits until a standby has begun and makes it the current attempt of its call.
func (a *API) adopt(c *call, at *attempt) (*http.Response, error) {
	s := at.standbyOf
	<-s.done
	c.mu.Lock()
	defer c.mu.Unlock()
	at.standbyOf = nil
	if s.err != nil {
		return nil, s.err
	}
	if c.transcript != nil {
		c.transcript.Adopt(at.id)
	}
	return s.resp, nil
}

// isReplaced reports whether the standby beside an attempt has begun. call.mu must be held.
func (at *attempt) isReplaced() bool {
	return at.standby != nil && at.standby.state == standbyBegun
}

// goOn records that an attempt goes on, which ends its standby. call.mu must be held.
func (at *attempt) goOn() {
	if s := at.standby; s != nil && s.state == standbyPending {
		s.state = standbyDropped
		s.attempt.cancel(errOutrun)
	}
}

// passOn records that the attempt's response is passed on unchanged. It returns false if a
// standby has begun already.
func (at *attempt) passOn() bool {
	c := at.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.isReplaced() {
		return false
	}
	at.goOn()
	c.responseStarted, c.passedOn = true, true
	return true
}

// rewrite returns the unstreamed answer to the client for that of the upstream.
func (at *attempt) rewrite(body []byte) ([]byte, error) {
	c := at.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.isReplaced() {
		return nil, errReplaced
	}
	out, err := c.transcript.RewriteUnstreamed(body)
	if err == nil {
		at.goOn()
	}
	return out, err
}

// standbyStatusError returns the error for a standby that answered with a status that would
// not be better than the silence of the first attempt.
func standbyStatusError(resp *http.Response) error {
	return &verdict.Error{
		Verdict: verdict.Ran, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream answered " + resp.Status, Cause: errUpstreamStatus,
	}
}
