package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/verdict"
	"github.com/jaystage/jaystage/pkg/wire"
)

// IdempotencyKeyHeader carries the idempotency key of a request that may run at most
// once.
const IdempotencyKeyHeader = "Idempotency-Key"

const (
	maxKeyBytes = 255
	// recordTimeout is how long an answer waits to be recorded. It is long enough for
	// an election; after it the client gets the answer and recording continues.
	recordTimeout = 3 * time.Second
	// lookupTimeout bounds a lookup of a booking's outcome in the replicated state or
	// at the service.
	lookupTimeout = 2 * time.Second
)

// Bookings records requests that may run at most once.
type Bookings interface {
	Begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error)
	// Lookup returns the state of a key without recording anything. An unused key has
	// the state abandoned.
	Lookup(ctx context.Context, b wire.Booking) (wire.Booked, error)
	Await(ctx context.Context, b wire.Booking) (wire.Booked, error)
	Settle(ctx context.Context, b wire.Booking, answer wire.Answer) (wire.Booked, error)
}

// sendFunc sends a request and returns its complete answer.
type sendFunc func(ctx context.Context, c *call) (wire.Answer, error)

// bookingMutations break single rules of bookings. Only tests set them, to check that
// the tests detect the fault.
type bookingMutations struct {
	sendFirst bool // record the intent after sending
	resend    bool // send a booking again that may have run
}

// book waits for admission, records the intent, sends the request once and records
// the answer. A duplicate gets the recorded answer. Once the intent is recorded, the
// request continues even if the client disconnects.
func (a *API) book(ctx context.Context, w http.ResponseWriter, c *call) error {
	b, err := newBooking(c)
	if err != nil {
		return err
	}
	send := a.fetch
	if a.mutations.sendFirst {
		answer, err := a.fetch(ctx, c)
		send = func(context.Context, *call) (wire.Answer, error) { return answer, err }
	}
	for {
		booked, err := a.admitBooking(ctx, c, b)
		if err != nil {
			return err
		}
		if booked.State == state.StateAbandoned {
			var attempt *replica.Attempt
			if attempt, booked, err = a.begin(ctx, b); err != nil {
				return beginError(ctx, err)
			}
			if booked.Fresh {
				b.Attempt = attempt.ID()
				return a.sendOnce(ctx, w, c, b, attempt, send)
			}
		}
		a.releaseAdmission(c) // a duplicate needs no slot
		c.changePhase(phaseWaiting, phaseDuplicate)
		if booked.State == state.StateRunning {
			if booked, err = a.Bookings.Await(ctx, b); err != nil {
				return &verdict.Error{
					Verdict: verdict.MayHaveRun, Code: verdict.CodeInProgress, Status: http.StatusConflict, RetryAfter: defaultRetryAfter,
					Detail: "a request with this idempotency key is still in progress", Cause: err,
				}
			}
		}
		if booked.State != state.StateAbandoned {
			return a.answerDuplicate(ctx, w, c, b, booked)
		}
	}
}

// admitBooking waits until the booking is admitted. It returns the state of the key:
// abandoned if the booking may start, another state for a duplicate. It looks up the
// key only if the booking has to wait or is refused, since Begin detects duplicates
// as well. A refusal has the verdict NotRun, so it is returned only after a lookup
// found the key unused.
func (a *API) admitBooking(ctx context.Context, c *call, b wire.Booking) (wire.Booked, error) {
	free := wire.Booked{State: state.StateAbandoned}
	refusal := a.enqueueBooking(c)
	if refusal == nil && len(c.admitted) == 0 && !c.keyOptional {
		// If this lookup fails, Begin detects the duplicate later.
		if booked, err := a.lookup(ctx, b); err == nil && booked.State != state.StateAbandoned {
			return booked, nil
		}
	}
	if refusal == nil {
		refusal = a.awaitAdmission(ctx, c)
	}
	if refusal == nil {
		return free, nil
	}
	booked, err := a.lookup(context.WithoutCancel(ctx), b)
	switch {
	case err != nil:
		return free, beginError(ctx, err)
	case booked.State == state.StateAbandoned:
		return free, refusal
	}
	return booked, nil
}

// enqueueBooking adds a booking to its queue unless the node stops and cannot finish it. A
// duplicate is answered all the same, since its answer needs no upstream.
func (a *API) enqueueBooking(c *call) error {
	if !a.drain.admits(a.Now(), c) {
		return shuttingDown(verdict.NotRun, nil)
	}
	return a.enqueue(c)
}

func (a *API) lookup(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	ctx, cancel := a.lookupContext(ctx)
	defer cancel()
	return a.Bookings.Lookup(ctx, b)
}

// lookupContext returns the context of a lookup.
func (a *API) lookupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := a.drain.beforeAnswersDue(ctx)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	return ctx, func() { cancel(); stop() }
}

// begun is the result of Bookings.Begin.
type begun struct {
	attempt *replica.Attempt
	booked  wire.Booked
	err     error
}

// begin records the intent to send a booking. Without the state in reach that takes longer
// than the shutdown, so when the answers are due the intent counts as open. It is abandoned
// if it is recorded later.
func (a *API) begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error) {
	done := make(chan begun)
	go func() {
		var r begun
		r.attempt, r.booked, r.err = a.Bookings.Begin(ctx, b)
		select {
		case done <- r:
		case <-a.drain.answersDue.Done():
			if r.err == nil && r.booked.Fresh {
				_ = r.attempt.Abandon(ctx)
			}
		}
	}()
	select {
	case r := <-done:
		return r.attempt, r.booked, r.err
	case <-a.drain.answersDue.Done():
		return nil, wire.Booked{}, fmt.Errorf("%w: %w", replica.ErrIntentOpen, errShutdown)
	}
}

// newBooking returns the booking of a call. Its hash binds the key to the method, path
// and body of the request.
func newBooking(c *call) (wire.Booking, error) {
	key := c.header.Get(IdempotencyKeyHeader)
	switch {
	case key == "" && c.keyOptional:
		key = "keyless-" + rand.Text()
	case key == "":
		return wire.Booking{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeKeyRequired, Status: http.StatusBadRequest,
			Detail: "this route runs a request at most once and needs the header " + IdempotencyKeyHeader,
		}
	case len(key) > maxKeyBytes:
		return wire.Booking{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest,
			Detail: "the header " + IdempotencyKeyHeader + " is longer than " + strconv.Itoa(maxKeyBytes) + " bytes",
		}
	}
	h := sha256.New()
	_, _ = io.WriteString(h, c.method+"\x00"+c.path+"\x00")
	_, _ = h.Write(c.body)
	return wire.Booking{Account: c.account.Name, Service: c.service.Name, Key: key, Hash: hex.EncodeToString(h.Sum(nil))}, nil
}

// beginError returns the error for a booking whose intent could not be recorded; the
// request was not sent. If the intent may be recorded nevertheless, the verdict is
// MayHaveRun, since a retry may find the key in use.
func beginError(ctx context.Context, err error) error {
	e := &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeStateUnavailable, Status: http.StatusServiceUnavailable,
		RetryAfter: defaultRetryAfter, Detail: "the replicated state cannot be reached", Cause: err,
	}
	if errors.Is(context.Cause(ctx), errShutdown) {
		e = shuttingDown(verdict.NotRun, err)
	}
	if errors.Is(err, replica.ErrIntentOpen) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// sendOnce sends a request whose intent this node has recorded, and records the
// outcome. It always ends the attempt.
func (a *API) sendOnce(ctx context.Context, w http.ResponseWriter, c *call, b wire.Booking, attempt *replica.Attempt, send sendFunc) error {
	ctx, endCall := a.startCall(context.WithoutCancel(ctx), c)
	defer endCall()
	answer, err := send(ctx, c)
	a.releaseAdmission(c) // recording the answer needs no slot
	switch {
	case err == nil:
		return a.recordAnswer(ctx, w, answer, attempt)
	case verdict.Of(err) == verdict.NotRun:
		if abandonErr := a.drain.commit(func() error { return attempt.Abandon(ctx) }); abandonErr != nil {
			e := *verdict.From(err)
			e.Verdict, e.Cause = verdict.MayHaveRun, errors.Join(err, abandonErr)
			return &e
		}
		return err
	}
	// If this fails, the intent stays in the state running until the node's session
	// ends, and no node sends the request again.
	_ = a.drain.commit(func() error { return attempt.Orphan(ctx) })
	lookupCtx, cancelLookup := a.lookupContext(context.WithoutCancel(ctx))
	defer cancelLookup()
	if booked, ok := a.settle(lookupCtx, c, b); ok {
		return writeAnswer(w, booked.Answer)
	}
	e := *verdict.From(err)
	e.Code, e.Status = verdict.CodeOutcomeUnknown, http.StatusBadGateway
	return &e
}

func (a *API) recordAnswer(ctx context.Context, w http.ResponseWriter, answer wire.Answer, attempt *replica.Attempt) error {
	wait := time.NewTimer(recordTimeout)
	defer wait.Stop()
	select {
	case <-attempt.Finish(ctx, answer):
	case <-wait.C:
	case <-a.drain.answersDue.Done():
	}
	return writeAnswer(w, &answer)
}

// fetch sends the request over a new connection and reads the complete answer. send
// checks the lease just before sending, since the process may have been paused while
// the intent was recorded.
func (a *API) fetch(ctx context.Context, c *call) (wire.Answer, error) {
	at, err := a.choose(ctx, c)
	if err != nil {
		return wire.Answer{}, err
	}
	answer, err := a.roundTrip(ctx, c, at)
	if failed := a.finish(ctx, c, at, err); failed != nil {
		return wire.Answer{}, failed.err
	}
	return answer, nil
}

func (a *API) roundTrip(ctx context.Context, c *call, at *attempt) (wire.Answer, error) {
	resp, err := a.send(ctx, c, at)
	if err != nil {
		return wire.Answer{}, err
	}
	defer resp.Body.Close()
	c.firstTokenAt, c.status = a.Now(), resp.StatusCode
	body, err := bounded.ReadAll(io.LimitReader(resp.Body, state.MaxAnswerBytes+1), at.account)
	if err != nil {
		return wire.Answer{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway, Detail: "the upstream's answer ended early", Cause: err}
	}
	return newAnswer(resp, body), nil
}

// newAnswer returns the answer to record for a response. A body over the limit is left
// out; all requests with its key then get an error with the verdict Ran.
func newAnswer(resp *http.Response, body []byte) wire.Answer {
	answer := wire.Answer{Status: uint16(resp.StatusCode)}
	if len(body) > state.MaxAnswerBytes {
		answer.Large = true
		return answer
	}
	answer.Body = body
	for name, values := range hop.EndToEnd(resp.Header) {
		for _, value := range values {
			answer.Header = append(answer.Header, wire.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(answer.Header, func(x, y wire.Header) int { return strings.Compare(x.Name, y.Name) })
	return answer
}

func writeAnswer(w http.ResponseWriter, answer *wire.Answer) error {
	if answer.Large {
		return &verdict.Error{
			Verdict: verdict.Ran, Code: verdict.CodeAnswerTooLarge, Status: http.StatusBadGateway,
			Detail: "the request ran with status " + strconv.Itoa(int(answer.Status)) + "; its answer is larger than " + strconv.Itoa(state.MaxAnswerBytes) + " bytes",
		}
	}
	for _, h := range answer.Header {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(int(answer.Status))
	_, _ = w.Write(answer.Body) // a disconnected client can retry with its key
	return nil
}

// answerDuplicate answers a request whose idempotency key was used before.
func (a *API) answerDuplicate(ctx context.Context, w http.ResponseWriter, c *call, b wire.Booking, booked wire.Booked) error {
	switch booked.State {
	case state.StateDone:
		return writeAnswer(w, booked.Answer)
	case state.StateMismatch:
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeKeyReused, Status: http.StatusUnprocessableEntity, Detail: "the idempotency key was used for another request"}
	case state.StateFull:
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeTooManyKeys, Status: http.StatusTooManyRequests, Detail: "the client account has too many idempotency keys in use"}
	case state.StateExpired:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeKeyExpired, Status: http.StatusConflict, Detail: "the idempotency key was used before and its answer is not kept any more"}
	}
	if a.mutations.resend {
		if answer, err := a.fetch(ctx, c); err == nil {
			return writeAnswer(w, &answer)
		}
	}
	b.Attempt = booked.Attempt
	lookupCtx, cancel := a.lookupContext(ctx)
	defer cancel()
	if settled, ok := a.settle(lookupCtx, c, b); ok {
		return writeAnswer(w, settled.Answer)
	}
	if errors.Is(context.Cause(ctx), errShutdown) {
		return shuttingDown(verdict.MayHaveRun, nil) // another node can still find the outcome
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeOutcomeUnknown, Status: http.StatusConflict, Detail: "a request with this idempotency key may have run; it is not sent again"}
}

// settle queries the service for the outcome of a booking that may have run, and
// records the answer. Only status 200 settles the booking: a service that does not
// know the key yet may still receive the request.
func (a *API) settle(ctx context.Context, c *call, b wire.Booking) (wire.Booked, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := a.Now()
	view, _ := a.Viewer.View(now)
	list := a.candidates(view, c, now)
	if len(list) == 0 || c.service.StatusPath == "" {
		return wire.Booked{}, false
	}
	path := strings.ReplaceAll(c.service.StatusPath, "{key}", url.PathEscape(b.Key))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+list[0].Address+path, http.NoBody)
	if err != nil {
		return wire.Booked{}, false
	}
	resp, err := a.Transport.Do(req, false)
	if err != nil {
		return wire.Booked{}, false
	}
	defer resp.Body.Close()
	account := a.Budget.Open(cancel)
	defer account.Close()
	body, err := bounded.ReadAll(io.LimitReader(resp.Body, state.MaxAnswerBytes+1), account)
	if err != nil || resp.StatusCode != http.StatusOK {
		return wire.Booked{}, false
	}
	booked, err := a.Bookings.Settle(ctx, b, newAnswer(resp, body))
	if err != nil || booked.State != state.StateDone {
		event.With(a.Log, event.BookingUnsettled).WithField("service", c.service.Name).Warn("booking ran but its answer could not be recorded")
		return wire.Booked{}, false
	}
	return booked, true
}
