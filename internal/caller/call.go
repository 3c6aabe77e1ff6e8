package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// call is one admitted request.
type call struct {
	id       string
	start    time.Time
	deadline time.Time
	account  config.Account
	service  config.Service
	class    config.Class
	// route names the route in outcome counts.
	route string
	// version serves the call; empty for any.
	version string
	// method, path and header are those towards the upstream.
	method string
	path   string
	header http.Header
	body   []byte
	// session is the caller's name of the session; empty for none.
	session string
	// once is true when the request may run at most once.
	once bool
	// keyless is true when the request needs no idempotency key.
	keyless bool
	// transcript follows a completion; nil for a plain service.
	transcript *stream.Transcript
	// fingerprint names client account and content.
	fingerprint routing.Fingerprint
	// blocks are the hashes of the prompt's prefix.
	blocks []uint64
	// trial is true while the call runs alone as a suspect of crashes.
	trial bool

	// place is the call's number in its queue, or zero; turn tells when it starts.
	place uint64
	turn  chan *verdict.Error
	// answered is true once the caller has the whole answer.
	answered bool
	// started is true once the caller has a part of the answer.
	started  bool
	attempts int
	// stuck counts the attempts since the last new token.
	stuck int
	// reserved is the upstream that is kept free for the call to run alone.
	reserved string
	// failed is the last failure.
	failed *verdict.Error
	// mayHaveRun is true once an attempt ended without the verdict NotRun.
	mayHaveRun bool
	// status is that of an answer which is passed on unchanged.
	status int
	// tried holds the upstreams that failed the call.
	tried map[string]bool
	// next is the attempt to which the stream moves.
	next  *attempt
	first time.Time
	last  time.Time
}

// avoid makes other upstreams go first.
func (c *call) avoid(id string) {
	if c.tried == nil {
		c.tried = make(map[string]bool)
	}
	c.tried[id] = true
}

// idempotent tells whether the request may be repeated after a possible run.
func (c *call) idempotent() bool {
	if c.transcript != nil {
		return true
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return !c.once
	}
	return false
}

// estimate is the number of tokens that the call may take at most, 1 for a plain
// service.
func (c *call) estimate() float64 {
	if c.transcript == nil {
		return 1
	}
	return float64(c.transcript.Request.PromptTokens + c.transcript.Request.MaxTokens)
}

// Causes that end a call or an attempt from outside.
var (
	errDeadline = errors.New("the deadline of the request's class has passed")
	errShutdown = errors.New("the node has reached the limit of its shutdown")
	errSilent   = errors.New("the upstream has been silent for longer than the class allows")
	errMoved    = errors.New("the answer moves to another upstream")
	errGone     = errors.New("the caller has left")
)

// begin returns the context in which a call runs: it ends when the caller leaves,
// at the call's deadline and at the limit of a shutdown.
func (a *API) begin(ctx context.Context, c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	forget := a.drain.register(cancel)
	return ctx, func() { forget(); stop(); cancel(nil); a.release(c) }
}

// release returns what a call still holds at its end.
func (a *API) release(c *call) {
	a.dequeue(c)
	if c.trial {
		a.Suspects.done(c.fingerprint, false)
		c.trial = false
	}
	if c.next != nil {
		a.Slots.put(a.Now(), c.next, false)
		c.next = nil
	}
}

// attempt is one try of a call on one upstream.
type attempt struct {
	id      string
	call    *call
	target  upstream.Entry
	version string
	ticket  routing.Ticket
	begun   time.Time
	// uncached is the estimated number of prompt tokens to compute.
	uncached int
	// tokenSeen is true after the first token, which came at firstToken.
	tokenSeen  bool
	firstToken time.Time
	// before is the number of tokens that earlier attempts delivered.
	before int
	// delivered is the number of tokens of this attempt.
	delivered atomic.Int64
	// ended is when the attempt failed.
	ended time.Time
	// response is when the headers arrived.
	response time.Time
	// progress is Unix time in nanoseconds of the last sign of progress.
	progress atomic.Int64
	// move is set when the upstream's VM goes before the answer can end.
	move atomic.Bool
	// kv names the KV cache that the attempt imports, of kvTokens tokens.
	kv       json.RawMessage
	kvTokens int
	cancel   context.CancelCauseFunc
	ctx      context.Context
}

// pause stops the progress timeout until advance is called.
func (at *attempt) pause() { at.progress.Store(math.MaxInt64) }

func (at *attempt) advance(now time.Time) { at.progress.Store(now.UnixNano()) }
