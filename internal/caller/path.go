package caller

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/detour"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/reach"
)

// UseDetour makes the API reach upstreams through other nodes where this node has lost its
// own path. Call it before the first request.
func (a *API) UseDetour(self reach.Node, streams tunnel.Streams) {
	d := detour.New()
	d.Streams, d.Log, d.Metrics, d.PathChanged = streams, a.Log, a.Metrics, a.Transport.CloseIdle
	d.Self = self
	d.Nodes = func(now time.Time) (nodes []reach.Node) {
		view, ok := a.Viewer.View(now)
		if !ok {
			return nil
		}
		for _, n := range view.SortedNodes() {
			nodes = append(nodes, reach.Node{Name: n.Name, Domain: n.Domain})
		}
		return nodes
	}
	a.Transport.Detour = d
}

// NewTunnelServer returns the server of other nodes that have lost their path. UseDetour must
// have been called.
func (a *API) NewTunnelServer() *tunnel.Server {
	d := a.Transport.Detour
	s := tunnel.NewServer()
	s.Known, s.Suspected, s.Lost, s.Log = a.knowsAddress, d.Suspected, d.Lost, a.Log
	s.Advised = func(string, bool, time.Duration) {} // this API reads no such headers
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := a.Transport.Dial(ctx, "tcp", address)
		if err != nil {
			d.RecordFailure(a.Now(), address, reach.NoConnection)
		}
		return c, err
	}
	return s
}

func (a *API) knowsAddress(address string) bool {
	return slices.ContainsFunc(a.Upstreams.List(), func(e upstream.Entry) bool { return e.Address == address })
}

// RunProbes probes paths to upstreams that the node has lost until ctx ends. UseDetour must
// have been called. The returned channel closes at the end.
func (a *API) RunProbes(ctx context.Context) <-chan struct{} {
	return a.Transport.Detour.RunProbes(ctx, a.Transport.ProbePath)
}

// blameless reports whether a failure says nothing of the upstream, because the node's own
// path may be at fault.
func (a *API) blameless(now time.Time, address string) bool {
	return a.Transport.Detour != nil && a.Transport.Detour.Blameless(now, address)
}
