// Package gateway serves clients by the routes of the traffic plan: it passes each
// request and its answer through unchanged and answers for the outcome. The life of
// a request reads from top to bottom: admit.go, choose.go, send.go, follow.go,
// finish.go.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
)

// Headers names the headers by which clients, the gateway and upstreams speak of a
// request. An empty name turns the header off.
type Headers struct {
	// Attempt identifies one attempt of a client; upstreams echo it.
	Attempt string
	// Deadline is the number of milliseconds for which the sender waits.
	Deadline string
	// Expect names the only upstream that may run the request.
	Expect string
	// Account names the client account.
	Account string
	// Signature proves that an answer is the upstream's.
	Signature string
	// NotRun says that the upstream did not run the request.
	NotRun string
	// Load holds running requests, waiting requests and slots, with commas.
	Load string
	// Tokens holds the prompt tokens and the most output tokens, with a comma.
	Tokens string
	// Parts lists the parts of the prompt as ID:TOKENS, with commas.
	Parts string
	// Priority ranks the request at the upstream, 0 first.
	Priority string
	// Resume is the id of the last event that the client has.
	Resume string
	// Reserved lists further headers that only the system may set. They are taken off
	// what clients send.
	Reserved []string
}

// Viewer gives the present view of the configuration; false once the node's session
// lease has run out.
type Viewer interface {
	View(now time.Time) (*config.View, bool)
}

// Bounds are the limits that all nodes of a deployment keep together.
type Bounds struct {
	// RetryRatio, RetrySlack and RetryWindow bound the attempts beyond the first of
	// all nodes to one service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Heartbeat is the interval at which upstreams report.
	Heartbeat time.Duration
	// Window is the length of a usage window; zero when usage is not counted.
	Window time.Duration
}

// Gateway serves the clients of one node. New returns one; exported fields are set
// before the first request.
type Gateway struct {
	// Self is the node's name and Domain its failure domain.
	Self, Domain string
	Headers      Headers
	Bounds       Bounds
	State        Viewer
	Log          logrus.FieldLogger
	Metrics      *Metrics
	// Unready is true once the node shuts down.
	Unready atomic.Bool

	upstreams *upstreamSet
	pool      *pool
	ledger    *ledger
	open      atomic.Int64
	// started is when the process started.
	started time.Time
}

// New returns the gateway of a node.
func New(self, domain string, headers Headers, bounds Bounds, state Viewer, log logrus.FieldLogger) *Gateway {
	g := &Gateway{
		Self: self, Domain: domain, Headers: headers, Bounds: bounds, State: state, Log: log, Metrics: NewMetrics(),
		pool: newPool(), ledger: newLedger(bounds.Window), started: time.Now(),
	}
	g.upstreams = newUpstreamSet(g)
	return g
}

// Ready tells whether the node can serve: it has a plan in force under a valid lease,
// knows upstreams and is not shutting down.
func (g *Gateway) Ready(now time.Time) bool {
	view, ok := g.State.View(now)
	return ok && view.Plan != nil && !g.Unready.Load() && g.upstreams.hasUpstreams()
}

// Open returns the number of requests that have no final answer yet.
func (g *Gateway) Open() int64 { return g.open.Load() }

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	c := &call{g: g, w: w, r: r, start: time.Now()}
	if g.Unready.Load() || len(r.TransferEncoding) > 0 {
		// The parser accepts a length beside chunks, so the bytes behind a chunked body
		// are never taken as a further request.
		w.Header().Set("Connection", "close")
	}
	if e := c.admit(); e != nil {
		c.refuse(e)
		return
	}
	c.serve()
}
