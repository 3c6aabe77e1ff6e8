package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/crash"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// standbyPollInterval is how often a call with a silent upstream looks for a place and a
	// retry, if there is none at first.
	standbyPollInterval = 250 * time.Millisecond
	// A silence that is noticed lateWake or more after it was due shows that the process was
	// paused. What the upstream has sent meanwhile is read within lateReadTimeout.
	lateWake        = 100 * time.Millisecond
	lateReadTimeout = 250 * time.Millisecond
)

// errSuperseded ends the reads of an attempt whose standby has begun to answer.
var errSuperseded = errors.New("another upstream has begun to answer")

// standby is an attempt at another upstream, beside the current one, which is silent. The
// current attempt is given up only once the standby's answer has begun, since a silent upstream
// may go on.
type standby struct {
	*attempt
	cancel context.CancelFunc
	// failure is nil if the answer has begun. It is set before the standby is sent to reports.
	failure *failure
	// done is closed at the end of the standby's goroutine.
	done chan struct{}
}

// isSilence reports whether the attempt failed because its upstream sent nothing.
func (f *failure) isSilence() bool { return f.cause == "silent" || f.cause == "superseded" }

// watchSilence sets when the silence of an attempt's upstream is checked next.
func (c *call) watchSilence(a *attempt) *failure {
	if a.conn.watch.onSilence == nil {
		return nil
	}
	if a.resp == nil && a.conn.via == "" {
		a.pathCheck = time.Now().Add(silenceLimit)
	}
	if err := a.conn.watchUntil(c.nextCheck(a)); err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
	}
	return nil
}

// nextCheck returns when the silence of the current attempt is checked next; zero for never.
func (c *call) nextCheck(a *attempt) time.Time {
	due := c.standbyDue(a)
	if !a.pathCheck.IsZero() && (due.IsZero() || a.pathCheck.Before(due)) {
		return a.pathCheck
	}
	return due
}

// standbyDue returns when the next standby is due: the latest attempt, or the current one since
// its last event, has been silent for too long. Bytes that complete no event do not count. It is
// zero if the call may have no further attempt.
func (c *call) standbyDue(a *attempt) time.Time {
	switch n := len(c.standbys); {
	case !c.route.Repeatable() || c.attempts >= c.route.MaxAttempts:
		return time.Time{}
	case n > 0:
		return c.responseDeadline(c.standbys[n-1].attempt)
	case !a.answer.lastEvent.IsZero():
		return a.answer.lastEvent.Add(max(streamStallTimeout, stallGapFactor*c.route.TargetGap))
	}
	return c.responseDeadline(a)
}

// checkSilence decides what to do while the current attempt waits for its upstream. due is when
// the check was due; zero if a standby has ended.
func (c *call) checkSilence(now, due time.Time, a *attempt) (next time.Time, err error) {
	if c.begunStandby() != nil {
		return time.Time{}, errSuperseded
	}
	if !due.IsZero() && now.Sub(due) >= lateWake && now.Before(c.deadline) {
		return now.Add(lateReadTimeout), nil
	}
	c.checkPath(now, a)
	if next := c.nextCheck(a); next.IsZero() || now.Before(next) {
		return next, nil
	}
	return c.startStandby(now, a), nil
}

// begunStandby returns a standby whose answer has begun; nil if there is none. awaitStandby takes
// it. It ends those that have failed.
func (c *call) begunStandby() *standby {
	for len(c.standbys) > 0 {
		select {
		case s := <-c.reports:
			if s.failure == nil {
				c.reports <- s
				return s
			}
			c.endStandby(s, s.failure)
		default:
			return nil
		}
	}
	return nil
}

// hasWholeStandby reports whether a standby has a whole body. It goes before a long one of the
// current attempt, of which only the start is there and which may never end.
func (c *call) hasWholeStandby() bool {
	s := c.begunStandby()
	return s != nil && s.answer.whole
}

// startStandby starts a standby if a place and a retry are free. It returns when the silence is
// checked next.
func (c *call) startStandby(now time.Time, a *attempt) (next time.Time) {
	since := a.started
	if !a.answer.lastEvent.IsZero() {
		since = a.answer.lastEvent
	}
	c.longestSilence = max(c.longestSilence, now.Sub(since))
	c.addTried(a)
	chosen, obstacle := c.chooseStandby(now)
	if !a.silent {
		a.silent = true
		c.recordSilence(now, a, chosen.upstream.ID, obstacle)
	}
	if obstacle != "" {
		return now.Add(standbyPollInterval)
	}
	if c.reports == nil {
		c.reports = make(chan *standby, c.route.MaxAttempts)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &standby{attempt: c.newAttempt(chosen), cancel: cancel, done: make(chan struct{})}
	s.replaceable = true // by the current attempt, which may still answer
	c.standbys = append(c.standbys, s)
	c.addTried(s.attempt)
	go c.runStandby(ctx, s, a.conn)
	return c.nextCheck(a)
}

// runStandby waits until the answer of a standby has begun, and wakes the read of the current
// attempt.
func (c *call) runStandby(ctx context.Context, s *standby, current *conn) {
	defer close(s.done)
	defer current.wake()
	defer func() {
		if p := recover(); p != nil {
			crash.Record(c.g.Log.WithField("request", c.id), "standby", p)
			s.failure = &failure{verdict: verdict.MayHaveRun, cause: "panic"}
		}
		c.reports <- s
	}()
	s.failure = c.obtain(ctx, s.attempt, nil)
	c.diagnose(ctx, s.attempt, s.failure)
}

// chooseStandby picks an upstream for a standby, without waiting for a free place, and takes a
// retry from the budget. The obstacle is why there is none; empty if one was chosen.
func (c *call) chooseStandby(now time.Time) (chosen choice, obstacle string) {
	view, ok := c.g.State.View(now)
	switch {
	case !ok:
		return choice{}, "lease"
	case !c.mayContinue(now):
		return choice{}, "cannot continue"
	case c.checkParts(view, now) != nil:
		return choice{}, "crashes"
	case !c.headersSent && !c.g.open.admits(now, c):
		return choice{}, "stop"
	case !c.takeRetry(now):
		return choice{}, "budget"
	}
	chosen, found := c.g.upstreams.chooseNow(now, c, view, c.newWaiter(now))
	if !found {
		c.returnRetry(now)
		return choice{}, "place"
	}
	return chosen, ""
}

// recordSilence records that the upstream of an attempt has been silent for too long, although
// the attempt goes on: other requests had better go elsewhere.
func (c *call) recordSilence(now time.Time, a *attempt, standbyID, obstacle string) {
	c.g.pool.closeIdle(a.upstream.Address)
	set := c.g.upstreams
	set.mu.Lock()
	if !c.g.blameless(now, a) {
		a.entry.RecordFailure(now)
	}
	set.mu.Unlock()
	c.g.Metrics.count("upstream silent")
	event.With(c.g.Log, event.UpstreamSilent).WithFields(map[string]any{
		"request": c.id, "upstream": a.upstream.ID, "address": a.upstream.Address, "attempt": c.attempts, "silent_ms": millis(c.longestSilence),
		"begun": c.headersSent, "standby": standbyID, "obstacle": obstacle, "candidates": c.candidates, "bars": c.exclusions,
	}).Info("upstream is silent; its answer is still awaited")
}

// awaitStandby returns the standby that takes the place of the current attempt, which has ended
// with f; nil if there is none. It waits until one has begun to answer or all have failed, and
// starts further ones as they are due.
func (c *call) awaitStandby(f *failure) *attempt {
	if f == nil || f.isOwn() {
		c.dropStandbys()
		return nil
	}
	if c.current.conn != nil {
		_ = c.current.conn.Close() // its upstream may work on
	}
	next := c.standbyDue(c.current)
	for len(c.standbys) > 0 {
		wait := max(time.Until(c.deadline), 0) + deadlineGrace
		if !next.IsZero() {
			wait = min(wait, time.Until(next))
		}
		timer := time.NewTimer(wait)
		select {
		case s := <-c.reports:
			if s.failure == nil {
				timer.Stop()
				c.removeStandby(s)
				c.dropStandbys()
				return s.attempt
			}
			c.endStandby(s, s.failure)
			next = c.standbyDue(c.current)
		case now := <-timer.C:
			if !next.IsZero() {
				next = c.startStandby(now, c.current)
			}
		}
		timer.Stop()
	}
	return nil
}

// dropStandbys ends the standbys, since the current attempt answers or the call ends. Their
// upstreams may be chosen again.
func (c *call) dropStandbys() { c.dropStandbysUnless(false) }

// dropStandbysUnless is like dropStandbys, but with whole set it leaves a standby whose whole body
// arrives meanwhile for awaitStandby, and reports whether there is one.
func (c *call) dropStandbysUnless(whole bool) (left bool) {
	for len(c.standbys) > 0 {
		for _, s := range c.standbys {
			s.cancel()
		}
		s := <-c.reports
		if whole && s.failure == nil && s.answer.whole {
			c.reports <- s
			return true
		}
		v := verdict.Ran
		if s.failure != nil {
			v = s.failure.verdict
		}
		c.endStandby(s, &failure{verdict: v, cause: "unneeded"})
		c.prompt.Tried = slices.DeleteFunc(c.prompt.Tried, func(id string) bool { return id == s.upstream.ID })
	}
	return false
}

// endStandby records the end of a standby that does not take the place of the current attempt.
func (c *call) endStandby(s *standby, f *failure) {
	c.removeStandby(s)
	if s.failure != nil && s.failure.cause == "connect" {
		c.returnRetry(time.Now())
	}
	c.endAttempt(c.ctx, s.attempt, f)
	s.cancel()
	c.recordVerdict(f)
}

// removeStandby takes a standby that has ended off the list and waits for its goroutine.
func (c *call) removeStandby(s *standby) {
	<-s.done
	c.standbys = slices.DeleteFunc(c.standbys, func(other *standby) bool { return other == s })
}
