package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// silenceLimit is how long a request may wait without a byte from any upstream before the
	// node's own path is suspected. Sound upstreams of a busy node are rarely all silent for
	// so long, and a wrong suspicion costs only a detour.
	silenceLimit = 400 * time.Millisecond
	// probeTick is how often the node looks whether a probe of a lost path is due, and
	// probeTimeout bounds the answer to one.
	probeTick    = 250 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Relay opens connections to upstreams through other nodes; see tunnel.Open.
type Relay interface {
	Open(ctx context.Context, node, address, requestID string) (*tunnel.Conn, error)
}

// paths is the node's record of its own paths to upstreams.
type paths struct {
	g *Gateway
	// heard is when a byte last arrived over a direct connection, Unix time in nanoseconds.
	heard atomic.Int64

	mu    sync.Mutex
	reach *reach.Paths
}

func newPaths(g *Gateway) *paths { return &paths{g: g, reach: reach.New()} }

// relayed reports whether a connection to the address goes through another node.
func (p *paths) relayed(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.g.Relay != nil && p.reach.Relayed(now, address)
}

// suspected reports whether the node may have lost its path to upstreams.
func (p *paths) suspected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.Suspected(now)
}

// blameless reports whether a failure of an attempt says nothing of its upstream: the node's
// own path, or the node in between, may be at fault.
func (p *paths) blameless(now time.Time, a *attempt) bool {
	if a.conn != nil && a.conn.via != "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.g.Relay != nil && p.reach.Blameless(now, a.upstream.Address)
}

// recordFailure records that the node itself failed to reach an upstream, and reports whether
// other nodes should be asked for it.
func (p *paths) recordFailure(now time.Time, address string, kind reach.Failure) (ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.RecordFailure(now, address, kind)
	return p.g.Relay != nil && p.reach.ShouldAsk(now, address)
}

// recordAnswer records that bytes arrived over a direct connection.
func (p *paths) recordAnswer(now time.Time, c *conn, address string) {
	p.heard.Store(now.UnixNano())
	p.mu.Lock()
	since, _ := p.reach.Lost()
	regained := p.reach.RecordAnswer(c.opened, address)
	p.mu.Unlock()
	if regained {
		p.g.Metrics.count("path regained")
		event.With(p.g.Log, event.PathRegained).WithField("address", address).WithField("lost_ms", millis(now.Sub(since))).Info("path to upstreams is back")
	}
}

// lostFor returns how long the path to all upstreams has been lost; zero if it is not.
func (p *paths) lostFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since, lost := p.reach.Lost(); lost {
		return now.Sub(since)
	}
	return 0
}

// connect returns a connection to an upstream: a kept one, a new direct one, or one through
// another node if the own path to it is lost.
func (g *Gateway) connect(ctx context.Context, address, requestID string) (*conn, error) {
	relayed := g.paths.relayed(time.Now(), address)
	// A late response on a kept connection can be told from the own one only by its ID.
	if requestID != "" {
		if kept := g.pool.getIdle(address, relayed); kept != nil {
			return kept, nil
		}
	}
	if relayed {
		if c, err := g.openRelayed(ctx, address, requestID); err == nil {
			return c, nil
		}
	}
	c, err := g.pool.dial(ctx, address)
	if err == nil || ctx.Err() != nil {
		return c, err
	}
	if g.paths.recordFailure(time.Now(), address, reach.NoConnection) && !relayed {
		if c, relayErr := g.openRelayed(ctx, address, requestID); relayErr == nil {
			return c, nil
		}
	}
	return nil, err
}

var errNoNode = errors.New("no other node can be asked")

// openRelayed opens a connection to an upstream through another node.
func (g *Gateway) openRelayed(ctx context.Context, address, requestID string) (*conn, error) {
	now := time.Now()
	view, ok := g.State.View(now)
	if !ok {
		return nil, errNoNode
	}
	var nodes []reach.Node
	for _, n := range view.SortedNodes() {
		if !n.Voter {
			nodes = append(nodes, reach.Node{Name: n.Name, Domain: n.Domain})
		}
	}
	g.paths.mu.Lock()
	order := g.paths.reach.Order(now, reach.Node{Name: g.Self, Domain: g.Domain}, nodes, address)
	g.paths.mu.Unlock()
	err := errNoNode
	for _, node := range order {
		var opened *tunnel.Conn
		opened, err = g.Relay.Open(ctx, node, address, requestID)
		if err == nil {
			g.recordRelayed(now, address, node)
			return newConn(opened, node), nil
		}
		if ctx.Err() != nil || g.recordUnrelayed(address, node, err) {
			break
		}
	}
	return nil, err
}

// recordRelayed records that another node reached an upstream.
func (g *Gateway) recordRelayed(asked time.Time, address, node string) {
	now := time.Now()
	g.paths.mu.Lock()
	lost := g.paths.reach.RecordRelayed(now, address)
	g.paths.mu.Unlock()
	g.Metrics.count("connection relayed")
	g.Metrics.record("", "", "hop", now.Sub(asked))
	if !lost {
		return
	}
	g.Metrics.count("path lost")
	event.With(g.Log, event.PathLost).WithFields(logrus.Fields{"address": address, "via": node}).Warn("path to upstreams is lost; requests go through other nodes")
	g.upstreams.forgetUnreachable()
}

// recordUnrelayed records why another node did not open a connection. It reports whether
// further nodes are not worth asking.
func (g *Gateway) recordUnrelayed(address, node string, err error) (final bool) {
	now := time.Now()
	g.paths.mu.Lock()
	defer g.paths.mu.Unlock()
	if errors.Is(err, tunnel.ErrUnreached) {
		g.paths.reach.RecordUnreached(now, address)
		return true
	}
	g.paths.reach.RecordHelpless(now, node)
	return false
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

// reachedByOthers reports whether another node connects to an upstream that refuses this one.
func (g *Gateway) reachedByOthers(ctx context.Context, address string) bool {
	if g.Relay == nil {
		return false
	}
	g.paths.recordFailure(time.Now(), address, reach.NoConnection)
	c, err := g.openRelayed(ctx, address, "")
	if err == nil {
		g.pool.put(address, c)
	}
	return err == nil
}

// watchSilence waits up to silenceLimit for the first byte of a response. If by then no
// upstream has sent anything to the node since the request, the path is suspected.
func (c *call) watchSilence(a *attempt) *failure {
	if a.conn.via != "" || a.conn.reader.Buffered() > 0 {
		return nil
	}
	end := c.deadline.Add(deadlineGrace)
	if d := c.responseDeadline(a); !d.IsZero() && d.Before(end) {
		end = d
	}
	limit := time.Now().Add(silenceLimit)
	if !limit.Before(end) {
		return nil
	}
	if err := a.conn.SetReadDeadline(limit); err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
	}
	_, err := a.conn.reader.Peek(1)
	if err == nil {
		c.g.paths.recordAnswer(time.Now(), a.conn, a.upstream.Address)
	}
	if readCause(err) == "silent" && c.g.paths.heard.Load() < a.started.UnixNano() {
		c.suspectPath(a)
	}
	if err := a.conn.SetReadDeadline(c.deadline.Add(deadlineGrace)); err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
	}
	return nil
}

// suspectPath records that an upstream is silent. Kept connections to it may be dead as well.
func (c *call) suspectPath(a *attempt) {
	now := time.Now()
	c.g.paths.recordFailure(now, a.upstream.Address, reach.NoAnswer)
	if c.g.paths.suspected(now) {
		c.g.pool.closeIdle(a.upstream.Address)
	}
}

// serveProbes probes lost paths until ctx ends. It returns a channel that closes after that.
func (g *Gateway) serveProbes(ctx context.Context) <-chan struct{} {
	return periodic.Run(ctx, g.Log, probeTick, func(ctx context.Context, now time.Time) {
		g.paths.mu.Lock()
		address, due := g.paths.reach.Probe(now)
		g.paths.mu.Unlock()
		if !due {
			return
		}
		if err := g.probe(ctx, address); err != nil {
			g.paths.recordFailure(time.Now(), address, reach.NoConnection)
		}
	})
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
	if _, err := c.readHead(http.MethodGet); err != nil {
		return err
	}
	g.paths.recordAnswer(time.Now(), c, address)
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
	s.Known, s.Suspected, s.Log = g.upstreams.knowsAddress, g.paths.suspected, g.Log
	s.Advised = g.upstreams.advise
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := g.pool.dial(ctx, address)
		if err != nil {
			g.paths.recordFailure(time.Now(), address, reach.NoConnection)
			return nil, err
		}
		return c.Conn, nil
	}
	return s
}
