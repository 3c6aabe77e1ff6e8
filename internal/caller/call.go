package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"math/bits"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// call is one authorized request. Its goroutine needs no lock to change it while no attempt
// is open.
type call struct {
	// mu guards the transcript, responseStarted, passedOn, nextAttempt and the fields that
	// choosing an upstream and a failed attempt change, as long as an attempt is open.
	mu sync.Mutex

	id       string
	start    time.Time
	deadline time.Time
	account  config.Account
	service  config.Service
	class    config.Class
	// route is the route's label in outcome counts.
	route string
	// version is the service version that serves the call; empty for any.
	version string
	// method, path, header and body are those of the upstream request.
	method string
	path   string
	header http.Header
	body   []byte
	// session is the client's name for the session; empty for none.
	session string
	// atMostOnce is true when the request may run at most once.
	atMostOnce bool
	// keyOptional is true when the request needs no idempotency key.
	keyOptional bool
	// transcript records the answer of a completion; nil for a plain service.
	transcript *stream.Transcript
	// fingerprint identifies the client account, the service and the content.
	fingerprint routing.Fingerprint
	// parts are the parts of the prompt that other requests may share.
	parts []poison.Part
	// blocks are the hashes of the prompt's prefix blocks.
	blocks []uint64
	// isolated is true while the call, as a suspect of crashes, must run on an
	// upstream without other requests.
	isolated bool

	// queueID identifies the call in its admission queue; zero while it is
	// neither waiting nor running. admitted receives nil when the call may start,
	// or the refusal.
	queueID  uint64
	admitted chan *verdict.Error
	// readAt is when the request was read in full; clientWait is the time that writes to the
	// client took, in nanoseconds.
	readAt     time.Time
	clientWait atomic.Int64
	// phase is a callPhase.
	phase atomic.Int32
	// answered is true once the answer is complete.
	answered bool
	// responseStarted is true once the response to the client has started.
	responseStarted bool
	// passedOn is true once the response to the client is one attempt's, unchanged.
	passedOn bool
	attempts int
	// stalledAttempts counts the attempts since the last new token, refusedResumes those
	// that were refused while the answer had begun.
	stalledAttempts, refusedResumes int
	// reserved is the upstream that is reserved for the isolated run of the call.
	reserved string
	// lastErr is the error of the last failed attempt.
	lastErr *verdict.Error
	// mayHaveRun is true once an attempt failed with a verdict other than NotRun.
	mayHaveRun bool
	// status is the status code of an answer that is passed on unchanged.
	status int
	// avoided holds upstreams that are chosen only if there is no other.
	avoided map[string]bool
	// nextAttempt is the attempt with which a moved stream continues, or a standby that
	// replaces its first attempt.
	nextAttempt  *attempt
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// avoid makes choose prefer other upstreams.
func (c *call) avoid(id string) {
	if c.avoided == nil {
		c.avoided = make(map[string]bool)
	}
	c.avoided[id] = true
}

// idempotent reports whether the request may be sent again after an attempt that
// may have run.
func (c *call) idempotent() bool {
	if c.transcript != nil {
		return true
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return !c.atMostOnce
	}
	return false
}

// changePhase changes the phase if it is from.
func (c *call) changePhase(from, to callPhase) bool {
	return c.phase.CompareAndSwap(int32(from), int32(to))
}

// isRefused reports whether the shutdown ended the call while it waited.
func (c *call) isRefused() bool { return callPhase(c.phase.Load()) == phaseRefused }

// kind names the requests whose answers take a time like this one's.
func (c *call) kind() drain.Kind {
	if c.transcript == nil {
		return drain.Kind{Service: c.service.Name, Route: c.route}
	}
	return drain.Kind{Service: c.service.Name, Size: bits.Len(uint(max(0, c.transcript.Request.MaxTokens)))}
}

// took returns how long the call has waited since it was read, without the waits for its
// client.
func (c *call) took(now time.Time) time.Duration {
	return now.Sub(c.readAt) - time.Duration(c.clientWait.Load())
}

// maxTokens returns the maximum number of prompt and output tokens of the call; 1
// for a plain service.
func (c *call) maxTokens() float64 {
	if c.transcript == nil {
		return 1
	}
	return float64(c.transcript.Request.PromptTokens + c.transcript.Request.MaxTokens)
}

// Causes for the cancellation of a call or an attempt.
var (
	errDeadline   = errors.New("the deadline of the request's class has been exceeded")
	errShutdown   = errors.New("the node reached its shutdown limit")
	errNoProgress = errors.New("the upstream made no progress within the progress timeout of the class")
	errMoved      = errors.New("the answer continues on another upstream")
	errReplaced   = errors.New("another attempt began while the upstream made no progress")
	errOutrun     = errors.New("the silent attempt beside this one went on")
	errClientGone = errors.New("the client disconnected")
)

// startCall returns the context of a call and a function that ends the call. The
// context is canceled when the client disconnects, at the call's deadline, at the
// shutdown limit, and earlier during a shutdown if the call waits and is not expected to be
// complete before the limit.
func (a *API) startCall(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	unregister := a.drain.register(c, cancel)
	return ctx, func() { unregister(); stop(); cancel(nil); a.release(c) }
}

// release returns the resources that a call still holds when it ends.
func (a *API) release(c *call) {
	a.releaseAdmission(c)
	if c.isolated {
		a.Suspects.recordEnd(c.fingerprint, false)
		c.isolated = false
	}
	switch at := c.nextAttempt; {
	case at == nil:
	case at.standbyOf != nil:
		a.discardStandby(at.standbyOf)
	default:
		a.Slots.release(a.Now(), at, false)
	}
	c.nextAttempt = nil
}

// attempt is one attempt to run a call on one upstream.
type attempt struct {
	id      string
	call    *call
	target  upstream.Entry
	version string
	ticket  routing.Ticket
	start   time.Time
	// uncachedTokens is the estimated number of prompt tokens to compute.
	uncachedTokens int
	// tokenSeen is true once the first token, received at firstTokenAt, is
	// recorded.
	tokenSeen    bool
	firstTokenAt time.Time
	// deliveredBefore is the number of tokens that earlier attempts delivered.
	deliveredBefore int
	// delivered is the number of tokens that this attempt has delivered.
	delivered atomic.Int64
	// end is when the attempt completed or failed.
	end time.Time
	// responseStart is when the response headers arrived.
	responseStart time.Time
	// lastProgress is the Unix time in nanoseconds of the last progress.
	lastProgress atomic.Int64
	// moveRequested is set when the upstream's VM is reclaimed before the answer
	// can complete.
	moveRequested atomic.Bool
	// kv identifies the KV cache of kvTokens tokens that the attempt imports.
	kv       json.RawMessage
	kvTokens int
	// account counts what the attempt's answer holds in API.Budget; nil before it is sent.
	account *bounded.Account
	cancel  context.CancelCauseFunc
	ctx     context.Context
	// callCtx is the context of the call.
	callCtx context.Context

	// standby is the last attempt that was started because this one is silent; nil for none.
	// It and the fields below are guarded by call.mu.
	standby *standby
	// standbyOf is set while this attempt itself is a standby.
	standbyOf *standby
	standbys  int
	// nextStandby is when another standby may be started.
	nextStandby time.Time
	// ended is true once no further standby may be started.
	ended bool
	// moving is true once another upstream has a slot for the rest of the answer.
	moving bool
	// probedSilence is the last progress before the silence in which the upstream was
	// probed, upstreamHealth the result. Only the maintenance goroutine uses them.
	probedSilence  int64
	upstreamHealth health
}

// pause disables the progress timeout until recordProgress is called.
func (at *attempt) pause() { at.lastProgress.Store(math.MaxInt64) }

func (at *attempt) recordProgress(now time.Time) { at.lastProgress.Store(now.UnixNano()) }
