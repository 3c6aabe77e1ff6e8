// Package caller is the callers' HTTP API and the life of a request: admit,
// choose, send, follow, finish.
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 8 << 20

// Viewer gives the present view of the configuration; false once the node's
// session lease has run out.
type Viewer interface {
	View(now time.Time) (*config.View, bool)
}

// Upstreams lists the upstreams that take new requests for a service.
type Upstreams interface {
	Serving(service, version string) []upstream.Entry
}

// API serves the callers of one node.
type API struct {
	Viewer    Viewer
	Upstreams Upstreams
	Transport *upstream.Transport
	Bookings  Bookings
	Log       logrus.FieldLogger
	Now       func() time.Time
	// Unready is true once the node shuts down.
	Unready atomic.Bool

	next  atomic.Uint64
	hooks bookingHooks
}

// Handler returns the API's routes.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.ready)
	r.HandleFunc("/v1/models", a.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", a.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.completion).Methods(http.MethodPost)
	r.PathPrefix("/s/{service}/").HandlerFunc(a.plain)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return r
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
