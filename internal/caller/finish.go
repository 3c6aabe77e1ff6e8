package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// failureKind is the reason why an attempt ended before its answer was complete.
type failureKind int

const (
	// kindBroken means that the connection closed after the request was sent.
	kindBroken failureKind = iota
	// kindRefused means that no part of the request was sent or that the upstream
	// rejected it without running it.
	kindRefused
	// kindUpstreamError means that the upstream reported an error or sent an invalid
	// answer.
	kindUpstreamError
	// kindSilent means that there was no progress within the progress timeout and that
	// another attempt began in the meantime.
	kindSilent
	// kindMismatched means that the answer belongs to another request.
	kindMismatched
	// kindMoved means that the stream continues on another upstream because its VM is
	// reclaimed.
	kindMoved
	// kindClientGone, kindDeadline and kindShutdown end the call: the client
	// disconnected, the deadline passed, or the node reached its shutdown limit.
	kindClientGone
	kindDeadline
	kindShutdown
	// kindInvalid means that the request cannot be sent at all.
	kindInvalid
)

var errUpstreamStatus = errors.New("the upstream answered with an error status")

// failure describes an attempt that did not complete the answer.
type failure struct {
	kind    failureKind
	err     *verdict.Error
	attempt *attempt
	// progress is true if the attempt delivered tokens.
	progress bool
}

// finish returns the attempt's slot and records its outcome. It returns nil if the
// call is answered; otherwise it diagnoses the upstream and returns the failure.
func (a *API) finish(ctx context.Context, c *call, at *attempt, err error) *failure {
	a.settleStandby(c, at, err == nil)
	now := a.Now()
	if err == nil {
		at.end = now
		a.openAttempts.remove(at)
		at.account.Close()
		at.cancel(nil)
		a.Slots.release(now, at, false)
		a.retryBudgets.recordSuccess(now, c)
		a.Suspects.recordEnd(c.fingerprint, true)
		a.Parts.recordAnswer(now, c.parts)
		c.isolated, c.answered = false, true
		a.recordInterTokenLatency(at, now)
		a.Metrics.recordAnswer(c, at, now)
		a.reportAttempt(now, at, nil)
		return nil
	}
	return a.fail(ctx, c, at, err)
}

// fail returns the slot of a failed attempt, records the failure and diagnoses the upstream.
func (a *API) fail(ctx context.Context, c *call, at *attempt, err error) *failure {
	now := a.Now()
	at.end = now
	a.openAttempts.remove(at)
	at.account.Close()
	c.mu.Lock()
	f := a.classify(ctx, c, at, err)
	if at.cancel != nil {
		at.cancel(nil)
	}
	c.lastErr = f.err
	if f.err.Verdict != verdict.NotRun {
		c.mayHaveRun = true
	}
	c.avoid(at.target.ID)
	c.mu.Unlock()
	a.Metrics.recordFailure(c, at, f.kind)
	a.reportAttempt(now, at, f)
	upstreamFailed := a.diagnose(ctx, c, f)
	a.Slots.release(a.Now(), at, upstreamFailed)
	return f
}

// recordInterTokenLatency records the mean time between the tokens of an attempt.
func (a *API) recordInterTokenLatency(at *attempt, now time.Time) {
	if n := at.delivered.Load(); n > 1 && !at.responseStart.IsZero() {
		a.Slots.recordInterTokenLatency(at.target.ID, now.Sub(at.responseStart)/time.Duration(n))
	}
}

// classify returns the failure with the kind and verdict of an attempt's error.
func (a *API) classify(ctx context.Context, c *call, at *attempt, err error) *failure {
	f := &failure{err: a.asVerdict(err), attempt: at}
	if c.transcript != nil {
		f.progress = c.transcript.Delivered() > at.deliveredBefore
	}
	var cause error
	if at.ctx != nil {
		cause = context.Cause(at.ctx)
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, errClientGone):
		f.kind, f.err = a.contextFailure(ctx, c, f.err.Verdict)
	case errors.Is(err, errMoved) || errors.Is(cause, errMoved):
		f.kind = kindMoved
	case errors.Is(cause, errNoProgress) || errors.Is(cause, errReplaced):
		f.kind = kindSilent
	case errors.Is(err, stream.ErrMismatchedAnswer) || errors.Is(err, upstream.ErrMismatchedAnswer):
		f.kind = kindMismatched
	case errors.Is(err, errUpstreamStatus) && f.err.Verdict == verdict.NotRun:
		f.kind = kindRefused
	case errors.Is(err, errUpstreamStatus), errors.Is(err, stream.ErrUpstream), errors.Is(err, stream.ErrMalformed), errors.Is(err, stream.ErrEventTooLong),
		errors.Is(err, bounded.ErrOverBudget), errors.Is(cause, bounded.ErrOverBudget):
		f.kind = kindUpstreamError
	case at.cancel == nil || f.err.Code == verdict.CodeBadRequest:
		f.kind = kindInvalid
	case f.err.Verdict == verdict.NotRun:
		f.kind = kindRefused
	}
	return f
}

// asVerdict returns err as a verdict.Error. An error without a verdict occurred after
// the response had started, so the upstream ran the request, except when the answer
// belongs to another request.
func (a *API) asVerdict(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	v := verdict.Ran
	if errors.Is(err, stream.ErrMismatchedAnswer) {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{
		Verdict: v, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream's answer ended early", Cause: err,
	}
}

// contextFailure returns the failure kind and the error for a call whose context
// ended.
func (a *API) contextFailure(ctx context.Context, c *call, v verdict.Verdict) (failureKind, *verdict.Error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errDeadline):
		return kindDeadline, &verdict.Error{
			Verdict: v, Code: verdict.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout,
			Detail: "the answer was not complete within " + c.class.CompletionTarget.Std().String(), Cause: cause,
		}
	case errors.Is(cause, errShutdown):
		return kindShutdown, shuttingDown(v, cause)
	}
	// 499 is the status that servers commonly log for a client that closed the
	// connection.
	return kindClientGone, &verdict.Error{Verdict: v, Code: verdict.CodeCallerGone, Status: 499, Detail: "the caller has left", Cause: cause}
}

// contextError returns the error for a call whose context ended between attempts.
func (a *API) contextError(ctx context.Context, c *call) error {
	_, err := a.contextFailure(ctx, c, verdict.NotRun)
	return err
}

// diagnose distinguishes a crashed or stalled upstream from a failed connection. It
// reports whether the upstream failed.
func (a *API) diagnose(ctx context.Context, c *call, f *failure) (upstreamFailed bool) {
	at := f.attempt
	log := event.With(a.Log, event.AttemptFailed).WithField("upstream", at.target.ID).WithField("request", at.id).WithField("verdict", f.err.Verdict.String())
	switch f.kind {
	case kindRefused:
		if a.blameless(a.Now(), at.target.Address) {
			break
		}
		upstreamFailed = true
		a.Slots.eject(a.Now(), at.target)
	case kindUpstreamError:
		upstreamFailed = true
	case kindSilent:
		upstreamFailed = a.Slots.isEjected(a.Now(), at.target) // by the probe of its silence
	case kindBroken:
		crash, down := a.detectCrash(ctx, at)
		if down {
			a.Slots.eject(a.Now(), at.target)
		}
		if crash {
			a.recordSuspect(c, at)
		}
		upstreamFailed = down || crash
	}
	log.WithField("kind", f.kind.String()).WithField("cause", f.err.Error()).Info("attempt failed")
	return upstreamFailed
}

// writeFailure reports to the client why the call has no answer or an incomplete one.
// The verdict NotRun becomes MayHaveRun if an earlier attempt or request may have run.
func (a *API) writeFailure(w http.ResponseWriter, r *http.Request, c *call, err error) {
	e := verdict.From(err)
	if e.Verdict == verdict.NotRun && (c != nil && c.mayHaveRun || keyStateUnknown(r, e)) {
		changed := *e
		changed.Verdict = verdict.MayHaveRun
		e = &changed
	}
	entry := event.With(a.Log, event.RequestRefused)
	if c != nil {
		a.Metrics.recordRefusal(c, e)
		entry = entry.WithField("request", c.id)
	}
	entry.WithField("code", e.Code).WithField("verdict", e.Verdict.String()).Debug(e.Detail)
	if c == nil || !c.responseStarted {
		writeProblem(w, e)
		return
	}
	streamed := c.transcript != nil && c.transcript.Request.Stream
	if streamed && e.Code != verdict.CodeCallerGone {
		writeStreamError(w, e)
	}
	if !streamed && !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	// Closing the connection shows the client that the response is truncated.
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of a client of HTTP/1.0. Its response has no chunks, so
// that a regular end would make a part of it look complete.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has ended already
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close()
}

// keyStateUnknown reports whether the node refused the request without knowing the
// state of its idempotency key. If a client retried a booking after a lost answer and
// a node without access to the state answered that it was not run, the client would
// book again under another key.
func keyStateUnknown(r *http.Request, e *verdict.Error) bool {
	if r.Header.Get(IdempotencyKeyHeader) == "" || !strings.HasPrefix(r.URL.Path, servicePrefix) {
		return false
	}
	switch e.Code {
	case verdict.CodeLeaseExpired, verdict.CodeShuttingDown, verdict.CodeStateUnavailable:
		return true
	}
	return false
}

// String returns the name used in logs and metrics.
func (k failureKind) String() string {
	return [...]string{"broken", "refused", "failing", "silent", "crossed", "moved", "gone", "late", "shutdown", "invalid"}[k]
}
