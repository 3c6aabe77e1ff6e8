// Package detour opens connections to upstreams, through another node where this node has
// lost its own path. pkg/reach decides; internal/tunnel carries the bytes.
package detour

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/reach"
)

// probeTick is how often a node looks whether a probe of a lost path is due.
const probeTick = 250 * time.Millisecond

// errNoNode is the cause of a failure when no other node can be asked.
var errNoNode = errors.New("no other node can be asked")

// Metrics counts what happens to paths.
type Metrics interface {
	// CountPath counts an occurrence by name.
	CountPath(name string)
	// RecordHop records how long a connection through another node took to open.
	RecordHop(took time.Duration)
}

// Detour opens the connections of one node. Create it with New and set the exported fields
// before the first connection.
type Detour struct {
	Self reach.Node
	// Nodes lists the nodes that serve clients, with this one; empty while they are unknown.
	Nodes func(now time.Time) []reach.Node
	// Streams reaches the other nodes; nil if there are none.
	Streams tunnel.Streams
	Log     logrus.FieldLogger
	Metrics Metrics
	// PathChanged is called when the path to all upstreams was lost, and when it is back; nil
	// for nothing to do.
	PathChanged func()

	mu    sync.Mutex
	paths *reach.Paths
}

// New returns a detour of which no path has failed.
func New() *Detour { return &Detour{paths: reach.New()} }

// Relayed reports whether a connection to the address goes through another node.
func (d *Detour) Relayed(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Streams != nil && d.paths.Relayed(now, address)
}

// Suspected reports whether the node may have lost its path to upstreams.
func (d *Detour) Suspected(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Suspected(now)
}

// Blameless reports whether a failure over a direct connection says nothing of its upstream,
// because the node's own path may be at fault.
func (d *Detour) Blameless(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Streams != nil && d.paths.Blameless(now, address)
}

// LostFor returns how long the path to all upstreams has been lost; zero if it is not.
func (d *Detour) LostFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since, lost := d.paths.Lost(); lost {
		return now.Sub(since)
	}
	return 0
}

// Lost reports whether the path to all upstreams is lost.
func (d *Detour) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.paths.Lost()
	return lost
}

// RecordFailure records that the node itself failed to reach an upstream.
func (d *Detour) RecordFailure(now time.Time, address string, kind reach.Failure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.RecordFailure(now, address, kind)
}

// RecordAnswer records that bytes arrived over a direct connection that was opened at a time.
func (d *Detour) RecordAnswer(now, opened time.Time, address string) {
	d.mu.Lock()
	since, _ := d.paths.Lost()
	regained := d.paths.RecordAnswer(opened, address)
	d.mu.Unlock()
	if regained {
		d.notifyChange()
		d.Metrics.CountPath("path regained")
		event.With(d.Log, event.PathRegained).WithFields(logrus.Fields{"address": address, "lost_ms": now.Sub(since).Milliseconds()}).Info("path to upstreams is back")
	}
}

// Connect opens a connection to an upstream for the request with an ID, by dial or through
// another node, whose name it returns then.
func (d *Detour) Connect(ctx context.Context, address, requestID string, dial func(ctx context.Context, address string) (net.Conn, error)) (c net.Conn, node string, err error) {
	relayed := d.Relayed(time.Now(), address)
	if relayed {
		if c, node, err := d.Open(ctx, address, requestID); err == nil {
			return c, node, nil
		}
	}
	c, err = dial(ctx, address)
	if err == nil || ctx.Err() != nil {
		return c, "", err
	}
	d.RecordFailure(time.Now(), address, reach.NoConnection)
	if !relayed && d.shouldAsk(time.Now(), address) {
		if c, node, relayErr := d.Open(ctx, address, requestID); relayErr == nil {
			return c, node, nil
		}
	}
	return nil, "", err
}

func (d *Detour) shouldAsk(now time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Streams != nil && d.paths.ShouldAsk(now, address)
}

// Open opens a connection to an upstream through another node and returns its name. The error
// wraps tunnel.ErrUnreached if the other node does not reach the upstream either.
func (d *Detour) Open(ctx context.Context, address, requestID string) (net.Conn, string, error) {
	if d.Streams == nil {
		return nil, "", errNoNode
	}
	now := time.Now()
	nodes := d.Nodes(now)
	d.mu.Lock()
	order := d.paths.Order(now, d.Self, nodes, address)
	d.mu.Unlock()
	err := errNoNode
	for _, node := range order {
		var opened *tunnel.Conn
		opened, err = tunnel.Open(ctx, d.Streams, node, address, requestID)
		if err == nil {
			d.recordRelayed(now, address, node)
			return opened, node, nil
		}
		if ctx.Err() != nil || d.recordUnrelayed(address, node, err) {
			break
		}
	}
	return nil, "", err
}

// recordRelayed records that another node reached an upstream.
func (d *Detour) recordRelayed(asked time.Time, address, node string) {
	now := time.Now()
	d.mu.Lock()
	lost := d.paths.RecordRelayed(now, address)
	d.mu.Unlock()
	d.Metrics.CountPath("connection relayed")
	d.Metrics.RecordHop(now.Sub(asked))
	if !lost {
		return
	}
	d.Metrics.CountPath("path lost")
	event.With(d.Log, event.PathLost).WithFields(logrus.Fields{"address": address, "via": node}).Warn("path to upstreams is lost; requests go through other nodes")
	d.notifyChange()
}

func (d *Detour) notifyChange() {
	if d.PathChanged != nil {
		d.PathChanged()
	}
}

// recordUnrelayed records why another node did not open a connection. It reports whether
// further nodes are not worth asking.
func (d *Detour) recordUnrelayed(address, node string, err error) (final bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case errors.Is(err, tunnel.ErrUnreached):
		d.paths.RecordUnreached(now, address)
		return true
	case errors.Is(err, tunnel.ErrHelpless):
		d.paths.RecordHelpless(now, node)
	}
	return false
}

// RunProbes probes lost paths until ctx ends. probe returns nil, and calls RecordAnswer, if
// an upstream answers over a new direct connection. The returned channel closes at the end.
func (d *Detour) RunProbes(ctx context.Context, probe func(ctx context.Context, address string) error) <-chan struct{} {
	return periodic.Run(ctx, d.Log, probeTick, func(ctx context.Context, now time.Time) {
		d.mu.Lock()
		address, due := d.paths.Probe(now)
		d.mu.Unlock()
		if !due {
			return
		}
		if err := probe(ctx, address); err != nil {
			d.RecordFailure(time.Now(), address, reach.NoConnection)
		}
	})
}
