package caller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/admission"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxStalledAttempts is the number of consecutive attempts without a new
	// token after which a call fails. Refusals to continue an answer do not count.
	maxStalledAttempts = 8
	// initialBackoff is the delay after the first attempt without a new token. It
	// doubles with each further one.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// budgetPollInterval is how often a call checks whether the retry budget of
	// its class allows a retry.
	budgetPollInterval = 20 * time.Millisecond
)

// action is what to do after a failed attempt.
type action int

const (
	// stop fails the call with the error of the attempt.
	stop action = iota
	// retry sends the request again and takes a retry from the budget of the
	// class.
	retry
	// resume sends the request again without taking a retry. It applies if the
	// request was refused without running, if the client would lose tokens that
	// the attempt delivered, or if the stream moves because of a reclaim.
	resume
)

// retryInput is the input of decideRetry.
type retryInput struct {
	kind    failureKind
	verdict verdict.Verdict
	// idempotent is true when the request may run more than once.
	idempotent bool
	// partial is true when the client has received a partial answer that cannot
	// be continued.
	partial         bool
	madeProgress    bool
	stalledAttempts int
	// timeLeft is the time until the deadline.
	timeLeft time.Duration
}

// decideRetry returns what to do after a failed attempt. A request that is not
// idempotent is sent again only if its verdict is NotRun.
func decideRetry(in retryInput) action {
	switch {
	case in.kind >= kindClientGone || in.timeLeft <= 0 || in.stalledAttempts >= maxStalledAttempts || in.partial:
		return stop
	case in.verdict != verdict.NotRun && !in.idempotent:
		return stop
	case in.kind == kindMoved || in.kind == kindRefused || in.madeProgress:
		return resume
	}
	return retry
}

// awaitRetry waits until the call may be sent again and returns nil, or returns
// the error that ends the call.
func (a *API) awaitRetry(ctx context.Context, c *call, f *failure) error {
	if c.nextAttempt != nil && c.nextAttempt.standbyOf != nil {
		if f.kind >= kindClientGone {
			return f.err
		}
		a.logContinued(c, f)
		return nil
	}
	switch {
	case f.progress || f.kind == kindMoved:
	case f.kind == kindRefused && c.hasBegun():
		// No upstream ran the request, and nobody else can complete the answer.
		c.refusedResumes++
	default:
		c.stalledAttempts++
	}
	in := retryInput{
		kind: f.kind, verdict: f.err.Verdict, idempotent: c.idempotent(), madeProgress: f.progress,
		partial:         c.responseStarted && (c.transcript == nil || !c.transcript.Continuable()),
		stalledAttempts: c.stalledAttempts, timeLeft: c.deadline.Sub(a.Now()),
	}
	next := decideRetry(in)
	if next == stop {
		return f.err
	}
	if !a.mayRetry(c) {
		return shuttingDown(f.err.Verdict, f.err)
	}
	for next == retry && !a.retryBudgets.takeRetry(a.Now(), c) {
		if !wait(ctx, budgetPollInterval) {
			return a.contextError(ctx, c)
		}
	}
	if n := c.stalledAttempts + c.refusedResumes; n > 0 && f.kind != kindMoved && !wait(ctx, backoff(n-1)) {
		return a.contextError(ctx, c)
	}
	a.logContinued(c, f)
	return nil
}

func (a *API) logContinued(c *call, f *failure) {
	if c.transcript == nil || c.transcript.Delivered() == 0 {
		return
	}
	event.With(a.Log, event.RequestContinued).WithField("request", c.id).WithField("tokens", c.transcript.Delivered()).
		WithField("from", f.attempt.target.ID).WithField("kind", f.kind.String()).Info("answer continues on another upstream")
}

// backoff returns the delay after n+1 attempts without a new token.
func backoff(n int) time.Duration {
	return time.Duration(min(float64(initialBackoff)*math.Pow(2, float64(n)), float64(maxBackoff)))
}

// hasBegun reports whether the call has a part of its answer.
func (c *call) hasBegun() bool {
	return c.responseStarted || c.transcript != nil && c.transcript.Delivered() > 0
}

// mayRetry reports whether the shutdown, if any, leaves time to send a call again. A response
// that has started is always continued, since the client cannot get the rest elsewhere.
func (a *API) mayRetry(c *call) bool {
	switch {
	case c.responseStarted:
		return true
	case c.mayHaveRun:
		return a.drain.admitsAgain(a.Now(), c)
	}
	c.changePhase(phaseStarted, phaseWaiting)
	return a.drain.admits(a.Now(), c)
}

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// retryBudgets holds a retry budget for each class of each service.
type retryBudgets struct {
	mu      sync.Mutex
	classes map[[2]string]*admission.RetryBudget
}

func (b *retryBudgets) get(c *call) *admission.RetryBudget {
	if b.classes == nil {
		b.classes = make(map[[2]string]*admission.RetryBudget)
	}
	key := [2]string{c.service.Name, c.class.Name}
	if b.classes[key] == nil {
		b.classes[key] = &admission.RetryBudget{}
	}
	return b.classes[key]
}

func (b *retryBudgets) recordSuccess(now time.Time, c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(c).RecordSuccess(now)
}

// hasRetry reports whether the budget of the call's class allows a retry.
func (b *retryBudgets) hasRetry(now time.Time, c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(c).HasRetry(now)
}

// takeRetry takes a retry from the budget of the call's class. It returns false
// when the budget is exhausted.
func (b *retryBudgets) takeRetry(now time.Time, c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(c).TakeRetry(now)
}
