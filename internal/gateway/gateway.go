// Package gateway serves clients by the routes of the traffic plan. It forwards each
// request and its response unchanged, retries where that is safe, and reports to the
// client whether a failed request may have run. The files follow the path of a request:
// admit.go, choose.go, send.go, forward.go, finish.go.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/detour"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/startup"
)

// Headers names the headers that clients, the gateway and upstreams exchange about a
// request. An empty name disables the header.
type Headers struct {
	// Attempt holds the request ID, which identifies one attempt of a client. Upstreams
	// echo it, and the gateway's own retries keep it.
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
	// by commas. A fourth number is how long work takes on the upstream's machine at this
	// moment, in percent of the usual time.
	Load string
	// Limit is the number of requests per second that the upstream takes from all nodes
	// together, a decimal number. A response without it ends the limit.
	Limit string
	// Leaving is set if the upstream is about to leave.
	Leaving string
	// Brittle is the number of requests that the upstream can turn away in a second without
	// falling over. A response without it means that the upstream is not brittle.
	Brittle string
	// Tokens holds the number of prompt tokens and the maximum number of output tokens,
	// separated by a comma.
	Tokens string
	// Model names the model that the prompt is for.
	Model string
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

// Viewer is the node's access to the configuration.
type Viewer interface {
	// View returns the current view; false once the node's session lease has expired.
	View(now time.Time) (*config.View, bool)
}

// Settings holds the settings that are the same on all nodes of a deployment.
type Settings struct {
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all nodes for one
	// service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Heartbeat is the interval at which upstreams send their status.
	Heartbeat time.Duration
	// UsageWindow is the length of a usage window; zero when usage is not counted.
	UsageWindow time.Duration
	// LocalIP is the source address of connections to upstreams; nil lets the kernel choose.
	LocalIP net.IP
	// MemoryBytes is the memory of the VM, from which the limit of what all open answers hold
	// together follows; zero if it is not known.
	MemoryBytes int64
}

// Gateway serves the clients of one node. Create it with New and set the exported
// fields before the first request.
type Gateway struct {
	// Self is the node's name and Domain its failure domain.
	Self, Domain string
	Headers      Headers
	Settings     Settings
	State        Viewer
	Log          logrus.FieldLogger
	Metrics      *Metrics
	// Budget limits what all open answers of the process hold.
	Budget *bounded.Budget
	// bodies limits what the bodies of all open requests take.
	bodies *bounded.Budget
	// Detour opens connections to upstreams, through other nodes if it knows any.
	Detour    *detour.Detour
	upstreams *upstreamSet
	pool      *pool
	ledger    *ledger
	parts     *partRecords
	// heard is when a byte last arrived over a direct connection, Unix time in nanoseconds.
	heard atomic.Int64
	open  openCalls
	// startup holds the requests that wait for a lease and a plan.
	startup startupQueue
	// unready is set once the node starts to shut down.
	unready atomic.Bool
	// started is when the process started.
	started time.Time
	// writeGrace is clientWriteGrace, or less in tests.
	writeGrace time.Duration
}

// clientWriteGrace is how long after its deadline a call may still write to its client, so
// that a late answer is delivered. A client that does not read is dropped then.
const clientWriteGrace = 5 * time.Second

// New returns the gateway of a node.
func New(self, domain string, headers Headers, settings Settings, state Viewer, log logrus.FieldLogger) *Gateway {
	g := &Gateway{
		Self: self, Domain: domain, Headers: headers, Settings: settings, State: state, Log: log, Metrics: NewMetrics(),
		pool: newPool(settings.LocalIP), ledger: newLedger(settings.UsageWindow), parts: newPartRecords(), started: time.Now(), writeGrace: clientWriteGrace,
	}
	g.Budget = bounded.NewBudget(bounded.LimitFor(settings.MemoryBytes))
	shares := bounded.Divide(settings.MemoryBytes, 0)
	g.bodies = bounded.NewBudget(shares.Bodies)
	// Each open call has one connection to an upstream, or two for a time.
	g.pool.window = func() int { return shares.WindowFor(g.Open()) }
	g.Metrics.Budget, g.Metrics.maxLatencies = g.Budget, max(1, bounded.Divide(settings.MemoryBytes, 0).Latencies/latencyBytes)
	g.open.durations = drain.NewDurations()
	g.upstreams, g.Detour = newUpstreamSet(g), detour.New()
	g.Detour.Self, g.Detour.Nodes = reach.Node{Name: self, Domain: domain}, g.entryNodesOf
	g.Detour.Log, g.Detour.Metrics, g.Detour.PathChanged = log, g.Metrics, g.upstreams.forgetUnreachable
	return g
}

// Ready reports whether the node can serve: it has a valid lease and a plan, knows at
// least one upstream and is not shutting down.
func (g *Gateway) Ready(now time.Time) bool {
	view, ok := g.State.View(now)
	return ok && view.Plan != nil && !g.unready.Load() && g.upstreams.hasUpstreams()
}

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: &clientWriter{ResponseWriter: w}, r: r, start: time.Now(), id: r.Header.Get(g.Headers.Attempt)}
	c.ctx, c.cancel = context.WithCancelCause(r.Context())
	defer c.cancel(nil)
	g.open.add(c)
	defer g.open.remove(c)
	defer func() { c.bodyAccount.Close() }()
	defer c.recoverPanic()
	defer c.dropStandbys()
	// This replaces the deadline of the previous request on the connection.
	c.limitWrites(c.start.Add(startup.ServeTime))
	if g.unready.Load() || len(r.TransferEncoding) > 0 {
		// Close the connection on shutdown and after a chunked body. The HTTP parser
		// accepts Content-Length together with chunked encoding, so the bytes after a
		// chunked body must never be read as another request (request smuggling).
		w.Header().Set("Connection", "close")
	}
	if e := c.admit(); e != nil {
		c.refuse(e)
		return
	}
	c.serve()
}

// limitWrites bounds the writes to a client that does not read its response, which is due
// at a deadline.
func (c *call) limitWrites(deadline time.Time) {
	// Only a test's ResponseWriter does not support write deadlines.
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(c.g.writeGrace))
}
