package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// maxAnswerBytes bounds an answer that is buffered in full.
const maxAnswerBytes = 16 << 20

// send sends the request to the attempt's upstream and returns the response once its
// headers have arrived.
func (a *API) send(ctx context.Context, c *call, at *attempt) (*http.Response, error) {
	if at.standbyOf != nil {
		return a.adopt(c, at)
	}
	now := a.Now()
	if err := a.startSend(ctx, c, now); err != nil {
		return nil, err
	}
	if _, ok := a.Viewer.View(now); !ok && c.attempts == 0 {
		return nil, leaseExpired()
	}
	at.begin(ctx, c, now)
	body := c.body
	if t := c.transcript; t != nil {
		at.deliveredBefore = t.Delivered()
		var err error
		if body, err = t.StartAttempt(at.id, stream.Options{Priority: c.class.Priority, KV: at.kv}); err != nil {
			return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest, Detail: err.Error(), Cause: err}
		}
		a.Metrics.recordRecomputation(c, at)
	}
	return a.transmit(c, at, body)
}

// begin gives an attempt that is about to be sent its id and context.
func (at *attempt) begin(ctx context.Context, c *call, now time.Time) {
	c.attempts++
	at.id = c.id + "." + strconv.Itoa(c.attempts)
	at.callCtx = ctx
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	at.start = now
	at.recordProgress(now)
}

// transmit sends the request and returns the response once its headers have arrived.
func (a *API) transmit(c *call, at *attempt, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(at.ctx, c.method, "http://"+at.target.Address+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest, Detail: "the request's path cannot be sent", Cause: err}
	}
	req.Header = c.header.Clone()
	req.Header.Set(RequestIDHeader, at.id)
	a.openAttempts.add(at)
	at.account = a.Budget.Open(func() { at.cancel(bounded.ErrOverBudget) })
	resp, err := a.Transport.Do(req, c.atMostOnce)
	if err != nil {
		return nil, err
	}
	at.responseStart = a.Now()
	at.recordProgress(at.responseStart)
	a.Slots.recordLimit(at.responseStart, at.target, pace.ParseRate(resp.Header.Get(LimitHeader)))
	return resp, a.checkStatus(c, resp)
}

// startSend returns an error if the call must not be sent any more. A free slot is taken
// even if the call has ended, or waited until it does not fit into the shutdown.
func (a *API) startSend(ctx context.Context, c *call, now time.Time) error {
	if ctx.Err() != nil {
		return a.contextError(ctx, c)
	}
	if callPhase(c.phase.Load()) != phaseStarted && !a.drain.admits(now, c) {
		return shuttingDown(verdict.NotRun, nil)
	}
	if !c.changePhase(phaseWaiting, phaseStarted) && !c.changePhase(phaseDuplicate, phaseStarted) && c.isRefused() {
		return shuttingDown(verdict.NotRun, errShutdown)
	}
	return nil
}

// checkStatus returns an error if the upstream answered a model request with status
// 429 or 5xx. Only 429 and 503 mean that the request did not run.
func (a *API) checkStatus(c *call, resp *http.Response) error {
	if c.transcript == nil || resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		return nil
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
	v := verdict.MayHaveRun
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		v = verdict.NotRun
	}
	return &verdict.Error{
		Verdict: v, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream answered " + resp.Status, Cause: errUpstreamStatus,
	}
}

func leaseExpired() error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeLeaseExpired, Status: http.StatusServiceUnavailable,
		RetryAfter: defaultRetryAfter, Detail: "this node has lost contact with the replicated state",
	}
}
