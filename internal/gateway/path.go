package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/http1"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/reach"
)

const (
	// silenceLimit is how long a request may wait without a byte from any upstream before the
	// node's own path is suspected. Sound upstreams of a busy node are rarely all silent for
	// so long, and a wrong suspicion costs only a detour.
	silenceLimit = 400 * time.Millisecond
	// probeTimeout bounds the answer to a probe of a lost path.
	probeTimeout = 500 * time.Millisecond
)

// entryNodesOf lists the entry nodes that may relay connections.
func (g *Gateway) entryNodesOf(now time.Time) []reach.Node {
	view, ok := g.State.View(now)
	if !ok {
		return nil
	}
	return RelayNodes(view)
}

// RelayNodes lists the nodes of a view that serve clients.
func RelayNodes(view *config.View) (nodes []reach.Node) {
	for _, n := range view.SortedNodes() {
		if !n.Voter {
			nodes = append(nodes, reach.Node{Name: n.Name, Domain: n.Domain})
		}
	}
	return nodes
}

// blameless reports whether a failure of an attempt says nothing of its upstream: the node's
// own path, or the node in between, may be at fault.
func (g *Gateway) blameless(now time.Time, a *attempt) bool {
	return a.conn != nil && a.conn.via != "" || g.Detour.Blameless(now, a.upstream.Address)
}

// recordBytes records that bytes of a response arrived over a direct connection.
func (g *Gateway) recordBytes(now time.Time, c *conn, address string) {
	if c.via == "" {
		g.heard.Store(now.UnixNano())
		g.Detour.RecordAnswer(now, c.opened, address)
	}
}

// connect returns a connection to an upstream: a kept one, a new direct one, or one through
// another node if the own path to it is lost.
func (g *Gateway) connect(ctx context.Context, address, requestID string) (*conn, error) {
	// A late response on a kept connection can be told from the own one only by its ID.
	if requestID != "" {
		if kept := g.pool.getIdle(address, g.Detour.Relayed(time.Now(), address)); kept != nil && kept.announce(requestID) == nil {
			return kept, nil
		}
	}
	raw, via, err := g.Detour.Connect(ctx, address, requestID, func(ctx context.Context, address string) (net.Conn, error) { return g.pool.dial(ctx, address) })
	if err != nil {
		return nil, err
	}
	if direct, ok := raw.(*conn); ok {
		return direct, nil
	}
	relayed := newConn(raw, via)
	return relayed, relayed.announce(requestID)
}

// announce tells the node in between, if there is one, which request comes next. After an
// error, before which nothing of the request was sent, the connection is closed.
func (c *conn) announce(requestID string) error {
	t, ok := c.Conn.(*tunnel.Conn)
	if !ok {
		return nil
	}
	err := t.Announce(requestID)
	if err != nil {
		_ = c.Close()
	}
	return err
}

// openRelayed opens a connection to an upstream through another node and keeps it.
func (g *Gateway) openRelayed(ctx context.Context, address string) error {
	raw, via, err := g.Detour.Open(ctx, address, "")
	if err == nil {
		g.pool.put(address, newConn(raw, via))
	}
	return err
}

// forgetUnreachable lifts the bans of upstreams that the node could not connect to.
func (s *upstreamSet) forgetUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.byID {
		entry.ForgetUnreachable()
	}
	s.notifyCapacity()
}

// knowsAddress reports whether an upstream has an address.
func (s *upstreamSet) knowsAddress(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address] != nil
}

// checkPath suspects the node's own path if an attempt has waited for silenceLimit and no
// upstream has sent anything to the node since.
func (c *call) checkPath(now time.Time, a *attempt) {
	if a.pathCheck.IsZero() || now.Before(a.pathCheck) {
		return
	}
	a.pathCheck = time.Time{}
	if c.g.heard.Load() < a.started.UnixNano() {
		c.suspectPath(a)
	}
}

// suspectPath records that an upstream is silent. Kept connections to it may be dead as well.
func (c *call) suspectPath(a *attempt) {
	now := time.Now()
	c.g.Detour.RecordFailure(now, a.upstream.Address, reach.NoAnswer)
	if c.g.Detour.Suspected(now) {
		c.g.pool.closeIdle(a.upstream.Address)
	}
}

// probe checks the health of an upstream over a new direct connection. Any response shows
// that the path is back.
func (g *Gateway) probe(ctx context.Context, address string) error {
	c, err := g.pool.dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+g.upstreams.healthPath(address), nil)
	if err != nil {
		return err
	}
	r.Close = true
	if err := r.Write(c.Conn); err != nil {
		return err
	}
	if _, err := c.readHead(http.MethodGet); err != nil && !errors.Is(err, http1.ErrMalformed) {
		return err
	}
	g.recordBytes(time.Now(), c, address)
	return nil
}

// healthPath returns the path for health checks of the upstream at an address.
func (s *upstreamSet) healthPath(address string) string {
	view, _ := s.g.State.View(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.byAddress[address]; entry != nil && view != nil && view.Plan != nil {
		if service, ok := view.Plan.Service(entry.Service); ok && service.HealthPath != "" {
			return service.HealthPath
		}
	}
	return "/"
}

// NewTunnelServer returns the server of other nodes that have lost their path.
func (g *Gateway) NewTunnelServer() *tunnel.Server {
	s := tunnel.NewServer()
	s.Known, s.Suspected, s.Lost = g.upstreams.knowsAddress, g.Detour.Suspected, g.Detour.Lost
	s.Advised, s.Log = g.upstreams.advise, g.Log
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := g.pool.dial(ctx, address)
		if err != nil {
			g.Detour.RecordFailure(time.Now(), address, reach.NoConnection)
			return nil, err
		}
		return c.Conn, nil
	}
	return s
}
