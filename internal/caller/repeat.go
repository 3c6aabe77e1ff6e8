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
	// maxStuck is the number of attempts in a row without a new token after which a
	// call fails.
	maxStuck = 8
	// firstBackoff doubles with each attempt without a new token.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// retryPoll is how often a call looks whether its class may retry again.
	retryPoll = 20 * time.Millisecond
)

// step is what follows a failed attempt.
type step int

const (
	// stop ends the call with the failure's verdict.
	stop step = iota
	// retry sends the request again at the expense of the class's retry budget.
	retry
	// resume sends it again without: nothing was sent, tokens have been delivered
	// that the caller would lose, or the move was announced.
	resume
)

// outcome is what decides about a repetition.
type outcome struct {
	kind    failureKind
	verdict verdict.Verdict
	// idempotent is true when the request may run twice.
	idempotent bool
	// partial is true when the caller has a part that cannot be continued.
	partial  bool
	progress bool
	stuck    int
	// left is the time until the deadline.
	left time.Duration
}

// decide returns what follows a failed attempt. A request that may not run twice
// is never sent again unless its verdict is NotRun.
func decide(o outcome) step {
	switch {
	case o.kind >= kindCallerGone || o.left <= 0 || o.stuck >= maxStuck || o.partial:
		return stop
	case o.verdict != verdict.NotRun && !o.idempotent:
		return stop
	case o.kind == kindMoved || o.kind == kindRefused || o.progress:
		return resume
	}
	return retry
}

// repeat returns nil once the call may be sent again, or the error that ends it.
func (a *API) repeat(ctx context.Context, c *call, f *failure) error {
	if !f.progress && f.kind != kindMoved {
		c.stuck++
	}
	o := outcome{
		kind: f.kind, verdict: f.err.Verdict, idempotent: c.idempotent(), progress: f.progress,
		partial: c.started && (c.transcript == nil || !c.transcript.Continuable()),
		stuck:   c.stuck, left: c.deadline.Sub(a.Now()),
	}
	next := decide(o)
	if next == stop {
		return f.err
	}
	for next == retry && !a.budgets.spend(a.Now(), c) {
		if !wait(ctx, retryPoll) {
			return a.contextError(ctx, c)
		}
	}
	if c.stuck > 0 && f.kind != kindMoved {
		pause := time.Duration(float64(firstBackoff) * math.Pow(2, float64(c.stuck-1)))
		if !wait(ctx, min(pause, maxBackoff)) {
			return a.contextError(ctx, c)
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

// budgets holds the retry budget of each service's classes.
type budgets struct {
	mu      sync.Mutex
	classes map[[2]string]*admission.RetryBudget
}

func (b *budgets) of(c *call) *admission.RetryBudget {
	if b.classes == nil {
		b.classes = make(map[[2]string]*admission.RetryBudget)
	}
	key := [2]string{c.service.Name, c.class.Name}
	if b.classes[key] == nil {
		b.classes[key] = &admission.RetryBudget{}
	}
	return b.classes[key]
}

func (b *budgets) success(now time.Time, c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(c).RecordSuccess(now)
}

// spend takes one retry from the budget of the call's class.
func (b *budgets) spend(now time.Time, c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(c).TakeRetry(now)
}
