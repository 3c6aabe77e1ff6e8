package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// crashProbeTimeout bounds the connect that distinguishes a crashed upstream from a lost
// connection. It exceeds a round trip to another region.
const crashProbeTimeout = 100 * time.Millisecond

// crashProbe is one such connect to an upstream. The attempts that fail together share it.
type crashProbe struct {
	done    chan struct{} // closed once refused is set
	refused bool
}

// brokenOff reports whether the upstream closed the connection before its response was
// complete.
func (f *failure) brokenOff() bool { return f.cause == "read" || f.cause == "cut" }

// framed reports whether the response has a length or chunks, so that its end shows whether
// it is whole.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// endOf returns the failure of a response without length or chunks that ended because its
// upstream crashed; nil if it is whole.
func (c *call) endOf(a *attempt) *failure {
	if framed(a.resp) || !c.g.hasCrashed(a) {
		return nil
	}
	return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: io.ErrUnexpectedEOF}
}

// hasCrashed reports whether the upstream of an attempt, whose connection has ended, refuses
// connections now without having announced that it leaves.
func (g *Gateway) hasCrashed(a *attempt) bool {
	set := g.upstreams
	set.mu.Lock()
	leaving, probe := a.entry.Leaving, a.entry.probe
	first := probe == nil && !leaving
	if first {
		probe = &crashProbe{done: make(chan struct{})}
		a.entry.probe = probe
	}
	set.mu.Unlock()
	if leaving {
		return false
	}
	if first {
		probe.refused = g.refusesConnections(a)
		if !probe.refused {
			set.mu.Lock()
			a.entry.probe = nil
			set.mu.Unlock()
		}
		close(probe.done)
	}
	<-probe.done
	return probe.refused
}

// detectCrash reports whether the upstream's process ended during the attempt: it broke off
// the response and has crashed.
func (c *call) detectCrash(ctx context.Context, a *attempt, f *failure) bool {
	if f == nil || !f.brokenOff() || ctx.Err() != nil || !c.g.hasCrashed(a) {
		return false
	}
	event.With(c.g.Log, event.UpstreamCrashed).WithFields(map[string]any{
		"upstream": a.upstream.ID, "incarnation": a.upstream.StartMillis, "request": c.id, "route": c.route.Name,
		"parts": c.partIDs(), "took_ms": millis(time.Since(a.started)),
	}).Warn("upstream crashed with the request in flight")
	c.g.Metrics.count("upstream crashed")
	return true
}

// refusesConnections reports whether no process listens at the address of an attempt, as
// seen on the path that the attempt took. A connection that is accepted is kept for the next
// request.
func (g *Gateway) refusesConnections(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	address := a.upstream.Address
	if a.conn.via != "" {
		return errors.Is(g.openRelayed(ctx, address), tunnel.ErrUnreached)
	}
	opened, err := g.pool.dial(ctx, address)
	if err == nil {
		g.pool.put(address, opened)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	g.Detour.RecordFailure(time.Now(), address, reach.NoConnection)
	return g.openRelayed(ctx, address) != nil
}

// partIDs lists the parts of the call's prompt.
func (c *call) partIDs() string {
	ids := make([]string, 0, len(c.prompt.Parts))
	for _, p := range c.prompt.Parts {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}
