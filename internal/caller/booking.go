package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/verdict"
	"github.com/jaystage/jaystage/pkg/wire"
)

// KeyHeader names a request that may run at most once.
const KeyHeader = "Idempotency-Key"

const (
	maxKeyBytes = 255
	// recordWait is how long an answer is held back until it is recorded. It covers
	// an election; after it the caller gets the answer, and recording goes on.
	recordWait = 3 * time.Second
	// statusTimeout bounds the look-up of what became of a booking, in the record or
	// at the service.
	statusTimeout = 2 * time.Second
)

// Bookings records requests that may run at most once.
type Bookings interface {
	Begin(ctx context.Context, b wire.Booking) (*replica.Attempt, wire.Booked, error)
	// Lookup tells the state of a key without recording anything; a key that is free
	// is abandoned.
	Lookup(ctx context.Context, b wire.Booking) (wire.Booked, error)
	Await(ctx context.Context, b wire.Booking) (wire.Booked, error)
	Settle(ctx context.Context, b wire.Booking, answer wire.Answer) (wire.Booked, error)
}

// sender sends a request and returns its whole answer.
type sender func(ctx context.Context, c *call) (wire.Answer, error)

// bookingHooks turn single rules off. Only tests of the proofs set them.
type bookingHooks struct {
	sendFirst bool // record the intent after sending
	resend    bool // send a booking again that may have run
}

// book waits for admission, records the intent, sends the request once and records
// the answer. A duplicate gets the recorded answer. Once the intent is recorded, the work does
// not end with the caller's connection.
func (a *API) book(ctx context.Context, w http.ResponseWriter, c *call) error {
	b, err := newBooking(c)
	if err != nil {
		return err
	}
	send := a.fetch
	if a.hooks.sendFirst {
		answer, err := a.fetch(ctx, c)
		send = func(context.Context, *call) (wire.Answer, error) { return answer, err }
	}
	for {
		booked, err := a.admitOnce(ctx, c, b)
		if err != nil {
			return err
		}
		if booked.State == state.StateAbandoned {
			var attempt *replica.Attempt
			if attempt, booked, err = a.Bookings.Begin(ctx, b); err != nil {
				return beginFailed(err)
			}
			if booked.Fresh {
				b.Attempt = attempt.ID()
				return a.sendOnce(ctx, w, c, b, attempt, send)
			}
		}
		a.releaseAdmission(c) // a duplicate needs no slot
		if booked.State == state.StateRunning {
			if booked, err = a.Bookings.Await(ctx, b); err != nil {
				return &verdict.Error{
					Verdict: verdict.MayHaveRun, Code: verdict.CodeInProgress, Status: http.StatusConflict, RetryAfter: defaultRetryAfter,
					Detail: "a request with this idempotency key is still in progress", Cause: err,
				}
			}
		}
		if booked.State != state.StateAbandoned {
			return a.duplicate(ctx, w, c, b, booked)
		}
	}
}

// admitOnce waits for the turn of a booking. It returns the state of the key:
// abandoned when the booking may begin, another one for a duplicate. The record is
// read only when the booking has to wait or is refused, since Begin tells duplicates
// apart as well. A refusal says that the request was not run, so it needs a look-up
// that found the key free.
func (a *API) admitOnce(ctx context.Context, c *call, b wire.Booking) (wire.Booked, error) {
	free := wire.Booked{State: state.StateAbandoned}
	refusal := a.enqueue(c)
	if refusal == nil && len(c.admitted) == 0 && !c.keyless {
		// If this look-up fails, Begin finds the duplicate later.
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
		return free, beginFailed(err)
	case booked.State == state.StateAbandoned:
		return free, refusal
	}
	return booked, nil
}

func (a *API) lookup(ctx context.Context, b wire.Booking) (wire.Booked, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return a.Bookings.Lookup(ctx, b)
}

// newBooking names the booking of a call and binds its key to the request.
func newBooking(c *call) (wire.Booking, error) {
	key := c.header.Get(KeyHeader)
	switch {
	case key == "" && c.keyless:
		key = "keyless-" + rand.Text()
	case key == "":
		return wire.Booking{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeKeyRequired, Status: http.StatusBadRequest,
			Detail: "this route runs a request at most once and needs the header " + KeyHeader,
		}
	case len(key) > maxKeyBytes:
		return wire.Booking{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Status: http.StatusBadRequest,
			Detail: "the header " + KeyHeader + " is longer than " + strconv.Itoa(maxKeyBytes) + " bytes",
		}
	}
	h := sha256.New()
	_, _ = io.WriteString(h, c.method+"\x00"+c.path+"\x00")
	_, _ = h.Write(c.body)
	return wire.Booking{Account: c.account.Name, Service: c.service.Name, Key: key, Hash: hex.EncodeToString(h.Sum(nil))}, nil
}

// beginFailed tells the caller that the request was not sent. While the intent may
// stay recorded, its key may be found taken, so the answer does not promise that
// the key can be used again.
func beginFailed(err error) error {
	e := &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeStateUnavailable, Status: http.StatusServiceUnavailable,
		RetryAfter: defaultRetryAfter, Detail: "the replicated state cannot be reached", Cause: err,
	}
	if errors.Is(err, replica.ErrIntentOpen) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// sendOnce sends a request whose intent this node holds and records what became of
// it. It ends the attempt in every case.
func (a *API) sendOnce(ctx context.Context, w http.ResponseWriter, c *call, b wire.Booking, attempt *replica.Attempt, send sender) error {
	ctx, end := a.startCall(context.WithoutCancel(ctx), c)
	defer end()
	answer, err := send(ctx, c)
	a.releaseAdmission(c) // recording the answer needs no slot
	switch {
	case err == nil:
		return a.recordAnswer(ctx, w, answer, attempt)
	case verdict.Of(err) == verdict.NotRun:
		if failure := attempt.Abandon(ctx); failure != nil {
			e := *verdict.From(err)
			e.Verdict, e.Cause = verdict.MayHaveRun, errors.Join(err, failure)
			return &e
		}
		return err
	}
	// If this fails, the intent stays running until the node's session ends, and
	// nobody sends the request again.
	_ = attempt.Orphan(ctx)
	look, cancelLook := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
	defer cancelLook()
	if booked, ok := a.settle(look, c, b); ok {
		return writeAnswer(w, booked.Answer)
	}
	e := *verdict.From(err)
	e.Code, e.Status = verdict.CodeOutcomeUnknown, http.StatusBadGateway
	return &e
}

func (a *API) recordAnswer(ctx context.Context, w http.ResponseWriter, answer wire.Answer, attempt *replica.Attempt) error {
	wait := time.NewTimer(recordWait)
	defer wait.Stop()
	select {
	case <-attempt.Finish(ctx, answer):
	case <-wait.C:
	}
	return writeAnswer(w, &answer)
}

// fetch sends the request over a connection of its own and reads the whole answer.
// The lease is checked just before sending: the process may have been paused while
// the intent was recorded.
func (a *API) fetch(ctx context.Context, c *call) (wire.Answer, error) {
	at, err := a.choose(ctx, c)
	if err != nil {
		return wire.Answer{}, err
	}
	answer, err := a.exchange(ctx, c, at)
	if failed := a.finish(ctx, c, at, err); failed != nil {
		return wire.Answer{}, failed.err
	}
	return answer, nil
}

func (a *API) exchange(ctx context.Context, c *call, at *attempt) (wire.Answer, error) {
	resp, err := a.send(ctx, c, at)
	if err != nil {
		return wire.Answer{}, err
	}
	defer resp.Body.Close()
	c.firstTokenAt, c.status = a.Now(), resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, state.MaxAnswerBytes+1))
	if err != nil {
		return wire.Answer{}, &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway, Detail: "the upstream's answer ended early", Cause: err}
	}
	return newAnswer(resp, body), nil
}

// newAnswer returns what is recorded of an answer. A body that is too large is left
// out, and all callers learn that the request ran.
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
	_, _ = w.Write(answer.Body) // a caller that is gone asks again with its key
	return nil
}

// duplicate answers a request whose key was used before.
func (a *API) duplicate(ctx context.Context, w http.ResponseWriter, c *call, b wire.Booking, booked wire.Booked) error {
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
	if a.hooks.resend {
		if answer, err := a.fetch(ctx, c); err == nil {
			return writeAnswer(w, &answer)
		}
	}
	b.Attempt = booked.Attempt
	look, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if settled, ok := a.settle(look, c, b); ok {
		return writeAnswer(w, settled.Answer)
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeOutcomeUnknown, Status: http.StatusConflict, Detail: "a request with this idempotency key may have run; it is not sent again"}
}

// settle asks the service what became of a booking that may have run, and records
// the answer. Only a positive answer settles it: a service that does not know the
// key yet may still receive the request.
func (a *API) settle(ctx context.Context, c *call, b wire.Booking) (wire.Booked, bool) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, state.MaxAnswerBytes+1))
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
