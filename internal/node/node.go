// Package node assembles the components of a node and runs them.
package node

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/cell"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/listener"
	"github.com/jaystage/jaystage/internal/operator"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/internal/settings"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/routing"
)

const (
	announceInterval  = time.Second
	eventRingSize     = 1000 // events
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Node holds the components of one node: its listeners, its replica, its links to other
// nodes and the handlers of its requests.
type Node struct {
	Settings  settings.Settings
	Log       logrus.FieldLogger
	State     *replica.Replica
	Links     *peer.Links
	Registry  *upstream.Registry
	Callers   *caller.API
	Cell      *cell.Cell
	Rollouts  *rollouts.Controller
	tunnels   *tunnel.Server
	listeners []*endpoint // for clients, upstreams and operators, in this order
	peers     *endpoint   // nil when the node has no listener for other nodes
	// connections bounds those of all listeners.
	connections *listener.Group
	incarnation uint64 // start time of this process, in nanoseconds since 1970
}

// endpoint is a listener and its server.
type endpoint struct {
	*listener.Listener
	server *http.Server
	// endCalls cancels the contexts of the server's requests.
	endCalls context.CancelFunc
}

func (n *Node) newEndpoint(l net.Listener, s *http.Server) *endpoint {
	tracked := listener.New(l)
	s.MaxHeaderBytes = maxHeaderBytes
	if n.connections == nil {
		n.connections = listener.NewGroup(bounded.Divide(int64(n.Settings.Node.Memory)<<20, 0))
	}
	tracked.Group = n.connections
	ctx, cancel := context.WithCancel(context.Background())
	s.ConnState, s.ConnContext, s.BaseContext = tracked.ConnState, tracked.ConnContext, func(net.Listener) context.Context { return ctx }
	return &endpoint{tracked, s, cancel}
}

// New opens the node's listeners, its replica and its links to other nodes. The
// caller must call Run to serve them.
func New(s settings.Settings, log *logrus.Logger) (*Node, error) {
	events := event.NewRing(eventRingSize)
	log.AddHook(events)
	n := &Node{Settings: s, Log: log, Registry: upstream.NewRegistry(announceInterval), incarnation: uint64(time.Now().UnixNano())}
	if err := n.openState(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.initCell()
	announcements := &upstream.AnnounceAPI{HandleAnnounce: n.Cell.HandleAnnounce, Tokens: tokenHashes(s.Security.UpstreamTokens), Log: log, Now: time.Now}
	operators := &operator.Server{State: n.State, Upstreams: n.Registry, Rollouts: n.Rollouts, Events: events, Vars: map[string]expvar.Var{"jaystage": n.Callers.Metrics}, Tokens: tokenHashes(s.Security.OperatorTokens), Log: log, Now: time.Now}
	for i, handler := range []http.Handler{n.Callers.Handler(), n.closeWhenStopping(announcements.Handler()), n.closeWhenStopping(operators.Handler())} {
		n.listeners[i].server.Handler = handler
	}
	return n, nil
}

// initCell creates the components that serve requests and run rollouts, and connects
// them with the other nodes of the cell.
func (n *Node) initCell() {
	self := routing.Node{Name: n.Settings.Node.Name, Incarnation: n.incarnation}
	n.Cell = &cell.Cell{
		Self: self, Name: n.Settings.Node.Cell, Links: n.Links, State: n.State, Registry: n.Registry, Log: n.Log, Now: time.Now,
	}
	n.Callers = caller.New(self, n.Cell, n.Registry, n.Log)
	n.Callers.Budget = bounded.NewBudget(bounded.LimitFor(int64(n.Settings.Node.Memory) << 20))
	n.Callers.Bookings = n.State
	n.Callers.UseDetour(reach.Node{Name: self.Name, Domain: n.Settings.Node.Domain}, n.Links)
	n.tunnels = n.Callers.NewTunnelServer()
	n.Links.HandleStream(tunnel.Kind, n.tunnels.Serve)
	n.Callers.Slots.SendDemand, n.Callers.Slots.SendGrant, n.Callers.Slots.SendLimits = n.Cell.SendDemand, n.Cell.SendGrant, n.Cell.BroadcastLimits
	n.Callers.Suspects.Broadcast, n.Callers.Suspects.BroadcastClear = n.Cell.BroadcastSuspects, n.Cell.BroadcastClear
	n.Callers.Parts.Broadcast = n.Cell.BroadcastParts
	n.Cell.Slots, n.Cell.Suspects, n.Cell.Parts = n.Callers.Slots, n.Callers.Suspects, n.Callers.Parts
	n.Cell.Init()
	n.Rollouts = &rollouts.Controller{
		Node: self.Name, Tracker: rollouts.NewTracker(self.Name, n.incarnation), State: n.State, Links: n.Links,
		Upstreams: n.Registry, Log: n.Log, Now: time.Now,
	}
	n.Callers.Versions = n.Rollouts.Tracker
	n.Rollouts.RegisterHandlers()
}

func (n *Node) listen(key, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen on %s %q; choose a free address", key, address)
	}
	n.listeners = append(n.listeners, n.newEndpoint(l, &http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}))
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
	if n.peers != nil {
		_ = n.peers.Close()
	}
}

// CallersAddress returns the address of the listener for clients.
func (n *Node) CallersAddress() string { return n.listeners[0].Addr().String() }

// UpstreamsAddress returns the address of the listener for upstream announcements.
func (n *Node) UpstreamsAddress() string { return n.listeners[1].Addr().String() }

// OperatorsAddress returns the address of the listener for operators.
func (n *Node) OperatorsAddress() string { return n.listeners[2].Addr().String() }

// Run serves until ctx ends or a component fails, then shuts down gracefully: the
// readiness check fails, the node continues to serve for shutdown.unready so that the
// load balancer notices, and then waits up to shutdown.limit for open requests. All that
// time it starts only requests that it expects to finish. After a failure it doesn't wait
// for the load balancer.
func (n *Node) Run(ctx context.Context) error {
	serveErrs := make(chan error, len(n.listeners)+1)
	stopState, stateDone := n.runState(ctx, serveErrs)
	for _, l := range n.listeners {
		go func() { serveErrs <- l.server.Serve(l.Listener) }()
	}
	cellCtx, stopCell := context.WithCancel(context.WithoutCancel(ctx))
	cellDone, rolloutsDone := n.Cell.Run(cellCtx), n.Rollouts.Run(cellCtx)
	maintenanceCtx, stopMaintenance := context.WithCancel(context.WithoutCancel(ctx))
	expiryDone := n.expireUpstreams(maintenanceCtx)
	maintenanceDone, probesDone := n.Callers.StartMaintenance(maintenanceCtx), n.Callers.RunProbes(maintenanceCtx)
	event.With(n.Log, event.NodeStarted).WithField("callers", n.CallersAddress()).WithField("node", n.Settings.Node.Name).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	event.With(n.Log, event.NodeStopping).Info("node is shutting down")
	unready := n.Settings.Shutdown.UnreadyDelay.Std()
	if err != nil {
		unready = 0
	}
	err = errors.Join(err, n.drain(unready))
	stopMaintenance()
	<-maintenanceDone
	<-probesDone
	<-expiryDone
	stopCell()
	<-cellDone
	<-rolloutsDone
	err = errors.Join(err, stopState(), <-stateDone)
	event.With(n.Log, event.NodeStopped).Info("node stopped")
	return err
}

// expireUpstreams removes upstreams that missed their heartbeats, until ctx ends. The
// returned channel is closed after the last check.
func (n *Node) expireUpstreams(ctx context.Context) <-chan struct{} {
	return periodic.Run(ctx, n.Log, announceInterval, func(_ context.Context, now time.Time) {
		for _, e := range n.Registry.Expire(now) {
			if e.Leaving {
				continue // it announced that it was leaving, so its heartbeats were expected to end
			}
			event.With(n.Log, event.UpstreamExpired).WithField("upstream", e.ID).Warn("upstream missed its heartbeats")
		}
	})
}

func tokenHashes(list []settings.Token) bearer.Tokens {
	hashes := make(bearer.Tokens, len(list))
	for _, token := range list {
		hashes[token.Name] = token.Hash
	}
	return hashes
}
