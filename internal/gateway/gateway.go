// Package gateway serves clients by the routes of the traffic plan. It forwards each
// request and its response unchanged, retries where that is safe, and reports to the
// client whether a failed request may have run. The files follow the path of a request:
// admit.go, choose.go, send.go, follow.go, finish.go.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
)

// Headers names the headers that clients, the gateway and upstreams exchange about a
// request. An empty name disables the header.
type Headers struct {
	// Attempt identifies one attempt of a client; upstreams echo it.
	Attempt string
	// Deadline is the time that the sender waits for the response, in milliseconds.
	Deadline string
	// Expect names the only upstream that may run the request.
	Expect string
	// Account names the client account.
	Account string
	// Signature proves that a response comes from the upstream.
	Signature string
	// NotRun is set if the upstream did not run the request.
	NotRun string
	// Load holds the numbers of running requests, waiting requests and slots, separated
	// by commas.
	Load string
	// Tokens holds the number of prompt tokens and the maximum number of output tokens,
	// separated by a comma.
	Tokens string
	// Parts lists the parts of the prompt as ID:TOKENS, separated by commas.
	Parts string
	// Priority is the request's priority at the upstream; 0 is the highest.
	Priority string
	// Resume is the ID of the last event that the client received.
	Resume string
	// Reserved lists further headers that only the system may set. They are removed from
	// client requests.
	Reserved []string
}

// Viewer returns the current view of the configuration; false once the node's session
// lease has expired.
type Viewer interface {
	View(now time.Time) (*config.View, bool)
}

// Bounds are the settings that all nodes of a deployment share.
type Bounds struct {
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all nodes for one
	// service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Heartbeat is the interval at which upstreams send their status.
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
	// Unready is set once the node starts to shut down.
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

// Ready reports whether the node can serve: it has a valid lease and a plan, knows at
// least one upstream and is not shutting down.
func (g *Gateway) Ready(now time.Time) bool {
	view, ok := g.State.View(now)
	return ok && view.Plan != nil && !g.Unready.Load() && g.upstreams.hasUpstreams()
}

// Open returns the number of requests that are being served.
func (g *Gateway) Open() int64 { return g.open.Load() }

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	c := &call{g: g, w: w, r: r, start: time.Now()}
	if g.Unready.Load() || len(r.TransferEncoding) > 0 {
		// Close the connection on shutdown and after a chunked body. The parser accepts
		// Content-Length together with chunked encoding, so the bytes behind such a body
		// must never be taken as a further request (request smuggling).
		w.Header().Set("Connection", "close")
	}
	if e := c.admit(); e != nil {
		c.refuse(e)
		return
	}
	c.serve()
}
