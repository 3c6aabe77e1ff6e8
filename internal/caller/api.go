// Package caller is the callers' HTTP API and the life of a request: admit,
// choose, send, follow, finish.
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 8 << 20

// servicePrefix begins the paths of plain services.
const servicePrefix = "/s/"

// Viewer gives the present view of the configuration; false once the node's
// session lease has run out.
type Viewer interface {
	View(now time.Time) (*config.View, bool)
}

// Upstreams lists the upstreams that announced themselves.
type Upstreams interface {
	// Serving lists those that take new requests for a service in a version.
	Serving(service, version string) []upstream.Entry
	Get(id string) (upstream.Entry, bool)
	List() []upstream.Entry
}

// API serves the callers of one node. New returns one; the exported fields are
// set before the first request.
type API struct {
	Viewer    Viewer
	Upstreams Upstreams
	Transport *upstream.Transport
	Bookings  Bookings
	// Versions divides calls between the versions of a rollout.
	Versions Versions
	Log      logrus.FieldLogger
	Now      func() time.Time
	Metrics  *Metrics
	Suspects *Suspects
	Slots    *Slots
	// Unready is true once the node shuts down: the balancer is told so, and
	// answers close their connection.
	Unready atomic.Bool
	// WriteTimeout is how long a caller may leave its connection unread before its
	// request ends.
	WriteTimeout time.Duration

	next    atomic.Uint64
	queues  queues
	budgets budgets
	flights openAttempts
	shares  shares
	drain   drainState
	hooks   bookingHooks
}

// New returns the API of the named node with a transport of its own.
func New(self routing.Node, viewer Viewer, upstreams Upstreams, log logrus.FieldLogger) *API {
	now := time.Now()
	a := &API{
		Viewer: viewer, Upstreams: upstreams, Transport: upstream.NewTransport(), Log: log, Now: time.Now,
		WriteTimeout: writeTimeout, Metrics: NewMetrics(), Suspects: NewSuspects(), Slots: NewSlots(now, self, slotPolicy()),
	}
	a.refreshSlots(now)
	return a
}

// Handler returns the API's routes.
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

// completion serves the OpenAI-compatible API.
func (a *API) completion(w http.ResponseWriter, r *http.Request) {
	a.serve(w, r, a.admitCompletion)
}

// plain serves plain services.
func (a *API) plain(w http.ResponseWriter, r *http.Request) { a.serve(w, r, a.admitPlain) }

// serve runs one request from its admission to its last byte.
func (a *API) serve(w http.ResponseWriter, r *http.Request, admit func(http.ResponseWriter, *http.Request, time.Time) (*call, error)) {
	end, err := a.drain.admit()
	if err != nil {
		a.writeFailure(w, r, nil, err)
		return
	}
	defer end()
	c, err := admit(w, r, a.Now())
	if err == nil {
		err = a.run(r.Context(), w, c)
	}
	if err != nil {
		a.writeFailure(w, r, c, err)
	}
}

// run takes an admitted call through its attempts until it is answered.
func (a *API) run(ctx context.Context, w http.ResponseWriter, c *call) error {
	ctx, end := a.begin(ctx, c)
	defer end()
	if c.once && a.Bookings != nil {
		return a.book(ctx, w, c)
	}
	if err := a.enqueue(ctx, c); err != nil {
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
		if err := a.repeat(ctx, c, failed); err != nil {
			return err
		}
	}
}
