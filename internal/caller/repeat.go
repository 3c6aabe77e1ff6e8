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
	// maxStalledAttempts is the number of attempts in a row without a new token after which a
	// call fails.
	maxStalledAttempts = 8
	// initialBackoff doubles with each attempt without a new token.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// budgetPollInterval is how often a call looks whether its class may retry again.
	budgetPollInterval = 20 * time.Millisecond
)

// action is what follows a failed attempt.
type action int

const (
	// stop ends the call with the failure's verdict.
	stop action = iota
	// retry sends the request again at the expense of the class's retry budget.
	retry
	// resume sends it again without: nothing was sent, tokens have been delivered
	// that the caller would lose, or the move was announced.
	resume
)

// retryInput is what decides about a repetition.
type retryInput struct {
	kind    kind
	verdict verdict.Verdict
	// idempotent is true when the request may run twice.
	idempotent bool
	// partial is true when the caller has a part that cannot be continued.
	partial         bool
	madeProgress    bool
	stalledAttempts int
	// timeLeft is the time until the deadline.
	timeLeft time.Duration
}

// decideRetry returns what follows a failed attempt. A request that may not run twice
// is never sent again unless its verdict is NotRun.
func decideRetry(o retryInput) action {
	switch {
	case o.kind >= gone || o.timeLeft <= 0 || o.stalledAttempts >= maxStalledAttempts || o.partial:
		return stop
	case o.verdict != verdict.NotRun && !o.idempotent:
		return stop
	case o.kind == moved || o.kind == refused || o.madeProgress:
		return resume
	}
	return retry
}

// awaitRetry returns nil once the call may be sent again, or the error that ends it.
func (a *API) awaitRetry(ctx context.Context, c *call, f *failure) error {
	if !f.progress && f.kind != moved {
		c.stalledAttempts++
	}
	o := retryInput{
		kind: f.kind, verdict: f.err.Verdict, idempotent: c.idempotent(), madeProgress: f.progress,
		partial:         c.responseStarted && (c.transcript == nil || !c.transcript.Continuable()),
		stalledAttempts: c.stalledAttempts, timeLeft: c.deadline.Sub(a.Now()),
	}
	next := decideRetry(o)
	if next == stop {
		return f.err
	}
	for next == retry && !a.retryBudgets.takeRetry(a.Now(), c) {
		if !wait(ctx, budgetPollInterval) {
			return a.ended(ctx, c)
		}
	}
	if c.stalledAttempts > 0 && f.kind != moved {
		delay := time.Duration(float64(initialBackoff) * math.Pow(2, float64(c.stalledAttempts-1)))
		if !wait(ctx, min(delay, maxBackoff)) {
			return a.ended(ctx, c)
		}
	}
	if c.transcript != nil && c.transcript.Delivered() > 0 {
		event.With(a.Log, event.RequestContinued).WithField("request", c.id).WithField("tokens", c.transcript.Delivered()).
			WithField("from", f.attempt.target.ID).WithField("kind", f.kind.String()).Info("answer continues on another upstream")
	}
	return nil
}

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

// retryBudgets holds the retry budget of each service's classes.
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

// takeRetry takes one retry from the budget of the call's class.
func (b *retryBudgets) takeRetry(now time.Time, c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(c).TakeRetry(now)
}
