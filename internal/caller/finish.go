package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// kind is why an attempt ended before its answer.
type kind int

const (
	// broken is a connection that ended after the request was sent.
	broken kind = iota
	// refused is a request of which nothing was sent, or that the upstream declined.
	refused
	// failing is an error that the upstream reported.
	failing
	// silent is an upstream or connection without progress.
	silent
	// crossed is an answer of another request.
	crossed
	// moved is a stream that goes on elsewhere because its VM is reclaimed.
	moved
	// gone, late and shut end the call: the caller left, its deadline passed, the
	// node's shutdown reached its limit.
	gone
	late
	shut
	// invalid is a request that cannot be sent at all.
	invalid
)

var errRejected = errors.New("the upstream declined the request")

// failure is the end of an attempt that did not answer the call.
type failure struct {
	kind    kind
	err     *verdict.Error
	attempt *attempt
	// progress is true when the attempt delivered tokens.
	progress bool
}

// finish returns the attempt's slot, records its outcome and, when it failed, finds
// out what that says of the upstream. It returns nil when the call is answered.
func (a *API) finish(ctx context.Context, c *call, at *attempt, err error) *failure {
	now := a.Now()
	at.end = now
	a.openAttempts.remove(at)
	if err == nil {
		at.cancel(nil)
		a.Slots.release(now, at, false)
		a.retryBudgets.recordSuccess(now, c)
		a.Suspects.recordEnd(c.fingerprint, true)
		c.isolated, c.answered = false, true
		a.paced(at, now)
		a.Metrics.answered(c, at, now)
		a.reportAttempt(now, at, nil)
		return nil
	}
	f := a.classify(ctx, c, at, err)
	if at.cancel != nil {
		at.cancel(nil)
	}
	c.lastErr = f.err
	if f.err.Verdict != verdict.NotRun {
		c.mayHaveRun = true
	}
	c.avoid(at.target.ID)
	a.Metrics.failed(c, at, f.kind)
	a.reportAttempt(now, at, f)
	cold := a.diagnose(ctx, c, f)
	a.Slots.release(a.Now(), at, cold)
	return f
}

// paced records the time between the tokens of an attempt.
func (a *API) paced(at *attempt, now time.Time) {
	if n := at.delivered.Load(); n > 1 && !at.responseStart.IsZero() {
		a.Slots.recordInterTokenLatency(at.target.ID, now.Sub(at.responseStart)/time.Duration(n))
	}
}

// classify turns the error of an attempt into a failure with its verdict.
func (a *API) classify(ctx context.Context, c *call, at *attempt, err error) *failure {
	f := &failure{err: a.verdictOf(err), attempt: at}
	if c.transcript != nil {
		f.progress = c.transcript.Delivered() > at.deliveredBefore
	}
	var cause error
	if at.ctx != nil {
		cause = context.Cause(at.ctx)
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, errClientGone):
		f.kind, f.err = a.end(ctx, c, f.err.Verdict)
	case errors.Is(err, errMoved) || errors.Is(cause, errMoved):
		f.kind = moved
	case errors.Is(cause, errNoProgress):
		f.kind = silent
	case errors.Is(err, stream.ErrMismatchedAnswer) || errors.Is(err, upstream.ErrCrossed):
		f.kind = crossed
	case errors.Is(err, errRejected) && f.err.Verdict == verdict.NotRun:
		f.kind = refused
	case errors.Is(err, errRejected), errors.Is(err, stream.ErrUpstream), errors.Is(err, stream.ErrMalformed), errors.Is(err, stream.ErrEventTooLong):
		f.kind = failing
	case at.cancel == nil || f.err.Code == verdict.CodeBadRequest:
		f.kind = invalid
	case f.err.Verdict == verdict.NotRun:
		f.kind = refused
	}
	return f
}

// verdictOf returns the error with its verdict. An error without one came after
// the response had begun, so the upstream ran the request.
func (a *API) verdictOf(err error) *verdict.Error {
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

// end returns why the call's context ended, as a failure.
func (a *API) end(ctx context.Context, c *call, v verdict.Verdict) (kind, *verdict.Error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errDeadline):
		return late, &verdict.Error{
			Verdict: v, Code: verdict.CodeDeadlineExceeded, Status: http.StatusGatewayTimeout,
			Detail: "the answer was not complete within " + c.class.CompletionTarget.Std().String(), Cause: cause,
		}
	case errors.Is(cause, errShutdown):
		return shut, &verdict.Error{
			Verdict: v, Code: verdict.CodeShuttingDown, Status: http.StatusServiceUnavailable,
			RetryAfter: time.Second, Detail: "the node shuts down", Cause: cause,
		}
	}
	// 499 is the status that servers commonly log for a caller that left.
	return gone, &verdict.Error{Verdict: v, Code: verdict.CodeCallerGone, Status: 499, Detail: "the caller has left", Cause: cause}
}

// ended returns the error of a call whose context ended between two attempts.
func (a *API) ended(ctx context.Context, c *call) error {
	_, err := a.end(ctx, c, verdict.NotRun)
	return err
}

// diagnose finds out what a failure says of the upstream: whether it crashed or
// stalls, or only the connection failed. It returns true when the upstream failed.
func (a *API) diagnose(ctx context.Context, c *call, f *failure) (cold bool) {
	at := f.attempt
	log := event.With(a.Log, event.AttemptFailed).WithField("upstream", at.target.ID).WithField("request", at.id).WithField("verdict", f.err.Verdict.String())
	switch f.kind {
	case refused:
		cold = true
		a.Slots.eject(a.Now(), at.target)
	case failing:
		cold = true
	case silent:
		if err := a.Transport.Probe(ctx, at.target.Address); err != nil && ctx.Err() == nil {
			cold = true
			a.Slots.eject(a.Now(), at.target)
			event.With(a.Log, event.UpstreamStalled).WithField("upstream", at.target.ID).WithField("domain", at.target.Domain).Warn("upstream is silent and fails its health check")
			break
		}
		// Other connections of the same age may have failed with this one.
		a.Transport.CloseIdle()
		event.With(a.Log, event.ConnectionSilent).WithField("upstream", at.target.ID).Warn("connection is silent while the upstream is healthy")
	case broken:
		crash, down := a.detectCrash(ctx, at)
		if down {
			a.Slots.eject(a.Now(), at.target)
		}
		if crash {
			a.recordSuspect(c, at)
		}
		cold = down || crash
	}
	log.WithField("kind", f.kind.String()).WithField("cause", f.err.Error()).Info("attempt failed")
	return cold
}

// refuse tells the caller why the call has no answer, or no whole answer.
func (a *API) refuse(w http.ResponseWriter, r *http.Request, c *call, err error) {
	e := verdict.From(err)
	if e.Verdict == verdict.NotRun && (c != nil && c.mayHaveRun || keyUnknown(r, e)) {
		raised := *e
		raised.Verdict = verdict.MayHaveRun
		e = &raised
	}
	entry := event.With(a.Log, event.RequestRefused)
	if c != nil {
		a.Metrics.refused(c, e)
		entry = entry.WithField("request", c.id)
	}
	entry.WithField("code", e.Code).WithField("verdict", e.Verdict.String()).Debug(e.Detail)
	if c == nil || !c.responseStarted {
		writeProblem(w, e)
		return
	}
	if c.transcript != nil && c.transcript.Request.Stream && e.Code != verdict.CodeCallerGone {
		writeStreamError(w, e)
	}
	// The caller recognizes the missing rest by the connection that is cut.
	panic(http.ErrAbortHandler)
}

// keyUnknown tells whether a refusal leaves open what became of the request's
// idempotency key: a caller that sends a booking again after a lost answer, and
// hears from a node without contact that it was not run, would book it again under
// another key.
func keyUnknown(r *http.Request, e *verdict.Error) bool {
	if r.Header.Get(KeyHeader) == "" || !strings.HasPrefix(r.URL.Path, servicePrefix) {
		return false
	}
	switch e.Code {
	case verdict.CodeLeaseExpired, verdict.CodeShuttingDown, verdict.CodeStateUnavailable:
		return true
	}
	return false
}

// String returns the form used in logs and metrics.
func (k kind) String() string {
	return [...]string{"broken", "refused", "failing", "silent", "crossed", "moved", "gone", "late", "shutdown", "invalid"}[k]
}
