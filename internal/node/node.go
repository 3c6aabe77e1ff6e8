// Package node puts one node together and runs it.
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
	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/cell"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/operator"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/internal/rollouts"
	"github.com/jaystage/jaystage/internal/settings"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
)

const (
	announceInterval  = time.Second
	keptEvents        = 1000
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// closeTimeout bounds how long connections without a request may take to close.
	closeTimeout = 5 * time.Second
)

// Node is one running node.
type Node struct {
	Settings  settings.Settings
	Log       logrus.FieldLogger
	State     *replica.Replica
	Links     *peer.Links
	Registry  *upstream.Registry
	Callers   *caller.API
	Cell      *cell.Cell
	Rollouts  *rollouts.Controller
	listeners []listener // callers, upstreams, operators
	peers     *listener  // nil when the node has no listener for other nodes
	process   uint64     // start number of this process
}

type listener struct {
	net.Listener
	server *http.Server
}

// New opens the node's listeners and its part in the replicated state. Run must be
// called to serve them.
func New(s settings.Settings, log *logrus.Logger) (*Node, error) {
	events := event.NewRing(keptEvents)
	log.AddHook(events)
	n := &Node{Settings: s, Log: log, Registry: upstream.NewRegistry(announceInterval), process: uint64(time.Now().UnixNano())}
	if err := n.openState(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.openCell()
	announcements := &upstream.AnnounceAPI{HandleAnnounce: n.Cell.HandleAnnounce, Tokens: tokens(s.Security.Upstreams), Log: log, Now: time.Now}
	operators := &operator.Server{State: n.State, Upstreams: n.Registry, Rollouts: n.Rollouts, Events: events, Vars: map[string]expvar.Var{"jaystage": n.Callers.Metrics}, Tokens: tokens(s.Security.Operators), Log: log, Now: time.Now}
	for i, handler := range []http.Handler{n.Callers.Handler(), announcements.Handler(), operators.Handler()} {
		n.listeners[i].server.Handler = handler
	}
	return n, nil
}

// openCell joins the request path to the other nodes of the cell.
func (n *Node) openCell() {
	self := routing.Node{Name: n.Settings.Node.Name, Incarnation: n.process}
	n.Cell = &cell.Cell{
		Self: self, Name: n.Settings.Node.Cell, Links: n.Links, State: n.State, Registry: n.Registry, Log: n.Log, Now: time.Now,
	}
	n.Callers = caller.New(self, n.Cell, n.Registry, n.Log)
	n.Callers.Bookings = n.State
	n.Callers.Slots.SendDemand, n.Callers.Slots.SendGrant = n.Cell.SendDemand, n.Cell.SendGrant
	n.Callers.Suspects.Broadcast, n.Callers.Suspects.BroadcastClear = n.Cell.BroadcastSuspects, n.Cell.BroadcastClear
	n.Cell.Slots, n.Cell.Suspects = n.Callers.Slots, n.Callers.Suspects
	n.Cell.Init()
	n.Rollouts = &rollouts.Controller{
		Node: self.Name, Tracker: rollouts.NewTracker(self.Name, n.process), State: n.State, Links: n.Links,
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
	n.listeners = append(n.listeners, listener{l, &http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}})
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

// CallersAddress returns the address of the callers' listener.
func (n *Node) CallersAddress() string { return n.listeners[0].Addr().String() }

// UpstreamsAddress returns the address of the listener for announcements.
func (n *Node) UpstreamsAddress() string { return n.listeners[1].Addr().String() }

// OperatorsAddress returns the address of the operators' listener.
func (n *Node) OperatorsAddress() string { return n.listeners[2].Addr().String() }

// Run serves until ctx ends, then shuts down gracefully: the node tells the
// balancer that it is not ready, still serves for the unready time and waits for
// open requests up to the limit.
func (n *Node) Run(ctx context.Context) error {
	ended := make(chan error, len(n.listeners)+1)
	stopState, stateEnded := n.runState(ctx, ended)
	for _, l := range n.listeners {
		go func() { ended <- l.server.Serve(l.Listener) }()
	}
	expired := n.expire(ctx)
	cellCtx, stopCell := context.WithCancel(context.WithoutCancel(ctx))
	cellEnded, rolloutsEnded := n.Cell.Run(cellCtx), n.Rollouts.Run(cellCtx)
	watch, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	watched := n.Callers.StartMaintenance(watch)
	event.With(n.Log, event.NodeStarted).WithField("callers", n.CallersAddress()).WithField("node", n.Settings.Node.Name).Info("node started")
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-ended:
	}
	event.With(n.Log, event.NodeStopping).Info("node stops taking requests")
	n.Callers.Unready.Store(true)
	if failed == nil {
		time.Sleep(n.Settings.Shutdown.Unready.Std())
	}
	failed = errors.Join(failed, n.drain(ctx))
	stopWatch()
	<-watched
	<-expired
	stopCell()
	<-cellEnded
	<-rolloutsEnded
	failed = errors.Join(failed, stopState(), <-stateEnded)
	event.With(n.Log, event.NodeStopped).Info("node stopped")
	return failed
}

// drain waits for open requests up to the limit, ends the rest with their verdicts
// and closes the listeners. The listeners stay open until then, so that a request
// that the balancer still sends is refused as not run.
func (n *Node) drain(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	limit, cancel := context.WithTimeout(ctx, n.Settings.Shutdown.Limit.Std())
	defer cancel()
	var failed error
	if cut := n.Callers.Drain(limit); cut > 0 {
		failed = eris.Errorf("%d open requests were ended at the shutdown limit; raise shutdown.limit", cut)
	}
	closing, stop := context.WithTimeout(ctx, closeTimeout)
	defer stop()
	for _, l := range n.listeners {
		if err := l.server.Shutdown(closing); err != nil {
			failed = errors.Join(failed, eris.Wrap(err, "close listener"), l.server.Close())
		}
	}
	return failed
}

// expire removes upstreams that missed their heartbeats, until ctx ends.
func (n *Node) expire(ctx context.Context) <-chan struct{} {
	return periodic.Run(ctx, announceInterval, func(_ context.Context, now time.Time) {
		for _, e := range n.Registry.Expire(now) {
			if e.Leaving {
				continue // it said so, and stopped
			}
			event.With(n.Log, event.UpstreamExpired).WithField("upstream", e.ID).Warn("upstream missed its heartbeats")
		}
	})
}

func tokens(list []settings.Token) bearer.Tokens {
	t := make(bearer.Tokens, len(list))
	for _, token := range list {
		t[token.Name] = token.Token
	}
	return t
}
