// Package caller serves the HTTP API of an entry node. Each request is authorized,
// parsed, admitted and sent to a chosen upstream, whose answer is relayed to the
// client. Failed attempts are retried.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// servicePrefix is the path prefix of plain services.
const servicePrefix = "/s/"

// Viewer provides the current view of the configuration. View returns false once
// the node's session lease has expired.
type Viewer interface {
	View(now time.Time) (*config.View, bool)
}

// Upstreams lists the upstreams that have announced themselves.
type Upstreams interface {
	// Serving lists the upstreams that accept new requests for a service in a
	// version.
	Serving(service, version string) []upstream.Entry
	Get(id string) (upstream.Entry, bool)
	List() []upstream.Entry
}

// API serves the clients of one node. Create it with New; the exported fields
// must be set before the first request.
type API struct {
	Viewer    Viewer
	Upstreams Upstreams
	Transport *upstream.Transport
	Bookings  Bookings
	// Versions divides calls between the two versions of a rollout.
	Versions Versions
	Log      logrus.FieldLogger
	Now      func() time.Time
	Metrics  *Metrics
	Suspects *Suspects
	Parts    *Parts
	Slots    *Slots
	// Unready is true once the node shuts down: the readiness check fails, and
	// responses close their connection.
	Unready atomic.Bool
	// Budget limits what all open answers of upstreams hold; its default is that of a VM whose
	// memory is not known.
	Budget *bounded.Budget
	// WriteTimeout is how long a client may leave its connection unread before
	// its request is canceled.
	WriteTimeout time.Duration

	nextCallID   atomic.Uint64
	queues       queues
	retryBudgets retryBudgets
	openAttempts openAttempts
	shares       shares
	drain        drainState
	mutations    bookingMutations
}

// New returns the API of the given node with its own upstream transport.
func New(self routing.Node, viewer Viewer, upstreams Upstreams, log logrus.FieldLogger) *API {
	now := time.Now()
	a := &API{
		Viewer: viewer, Upstreams: upstreams, Transport: upstream.NewTransport(), Log: log, Now: time.Now,
		WriteTimeout: writeTimeout, Budget: bounded.NewBudget(bounded.LimitFor(0)), Metrics: NewMetrics(), Suspects: NewSuspects(), Parts: NewParts(), Slots: NewSlots(now, self, slotPolicy()),
	}
	a.drain.init()
	a.refreshSlots(now)
	return a
}

// Handler returns the HTTP handler with all routes.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.ready)
	r.HandleFunc("/v1/models", a.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", a.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.completion).Methods(http.MethodPost)
	r.PathPrefix(servicePrefix + "{service}/").HandlerFunc(a.plain)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return a.closeWhenUnready(r)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if _, ok := a.Viewer.View(a.Now()); !ok || a.Unready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, &verdict.Error{
		Verdict: verdict.NotRun, Code: verdict.CodeUnknownService, Status: http.StatusNotFound,
		Detail: "no route for " + r.Method + " " + r.URL.Path,
	})
}

// completion handles requests of the OpenAI-compatible API.
func (a *API) completion(w http.ResponseWriter, r *http.Request) {
	a.serve(w, r, a.parseCompletion)
}

// plain handles requests to plain services.
func (a *API) plain(w http.ResponseWriter, r *http.Request) { a.serve(w, r, a.parsePlain) }

// serve handles one request from parsing to the last byte of the response.
func (a *API) serve(w http.ResponseWriter, r *http.Request, parse func(http.ResponseWriter, *http.Request, time.Time) (*call, error)) {
	endRequest, err := a.drain.startRequest(a.Now())
	if err != nil {
		a.writeFailure(w, r, nil, err)
		return
	}
	defer endRequest()
	c, err := parse(w, r, a.Now())
	if err == nil {
		c.readAt = a.Now()
		err = a.run(r.Context(), w, c)
		a.drain.recordEnd(a.Now(), c)
	}
	if err != nil {
		a.writeFailure(w, r, c, err)
	}
}

// run admits a call and makes attempts until one is answered or the call fails.
func (a *API) run(ctx context.Context, w http.ResponseWriter, c *call) error {
	booking := c.atMostOnce && a.Bookings != nil
	if !booking && !a.drain.admits(a.Now(), c) {
		return shuttingDown(verdict.NotRun, nil)
	}
	ctx, endCall := a.startCall(ctx, c)
	defer endCall()
	if booking {
		return a.book(ctx, w, c)
	}
	if err := a.admit(ctx, c); err != nil {
		return err
	}
	for {
		at, err := a.choose(ctx, c)
		if err != nil {
			return err
		}
		resp, err := a.send(ctx, c, at)
		if err == nil {
			err = a.relay(w, c, at, resp)
		}
		failed := a.finish(ctx, c, at, err)
		if failed == nil {
			return nil
		}
		if err := a.awaitRetry(ctx, c, failed); err != nil {
			return err
		}
	}
}
