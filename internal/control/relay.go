package control

import (
	"context"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/gateway"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/wire"
)

// relayInterval is how often new statuses go to the other nodes; it adds to the age
// of a status.
const relayInterval = 150 * time.Millisecond

// greetInterval is how often a voter looks for new sessions, which need all statuses
// before their nodes can serve.
const greetInterval = 30 * time.Millisecond

// knownAge is the age up to which a status is sent to a node that starts: upstreams
// report every second or so.
const knownAge = 5 * time.Second

// relay holds the statuses that wait to be sent to the other nodes.
type relay struct {
	mu      sync.Mutex
	pending map[string]wire.Status
	// told holds the sessions that have had all statuses. Only spread uses it.
	told map[string]uint64
}

func (r *relay) add(s wire.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[string]wire.Status)
	}
	r.pending[s.ID] = s
}

func (r *relay) take() []wire.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]wire.Status, 0, len(r.pending))
	for _, s := range r.pending {
		list = append(list, s)
	}
	r.pending = nil
	return list
}

// Announce takes a status of an upstream. It returns once the status may be
// acknowledged: a leaving is recorded on a majority of the voters first, which brings
// it to every node that holds a lease.
func (c *Control) Announce(ctx context.Context, now time.Time, s wire.Status) error {
	change := c.roster.Apply(now, s)
	if change != roster.Outdated {
		c.relay.add(s)
	}
	if change == roster.Joined || change == roster.Left {
		event.With(c.Log, event.UpstreamChanged).WithFields(map[string]any{
			"upstream": s.ID, "service": s.Service, "domain": s.Domain, "address": s.Address, "born": s.Born,
			"sequence": s.Sequence, "leaving": s.Leaving, "gone": s.Gone, "cold_ms": s.Cold, "spot": s.Spot,
		}).Info("upstream changed")
	}
	if !s.Leaving && !s.Gone {
		return nil
	}
	born := int64(s.Born)
	if e, ok := c.roster.Get(s.ID); ok {
		if int64(e.Born) > born && born > 0 {
			return nil // a later start has the id; the earlier one is known to be gone
		}
		born = max(born, int64(e.Born))
	}
	view, _ := c.State.View(now)
	if d, ok := view.DrainedUpstreams[s.ID]; ok && d.Born >= born {
		return nil
	}
	return c.write(ctx, config.PrefixDrainUpstream+s.ID, config.Drain{Author: "upstream", Since: now.UnixMilli(), Born: born})
}

// Open sets the handlers; it is called before the links run.
func (c *Control) Open() {
	c.Links.Handle(gateway.KindStatuses, func(_ context.Context, _ string, body []byte) (any, error) {
		var m wire.Statuses
		if err := wire.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		for _, s := range m.List {
			c.roster.Apply(time.Now(), s)
		}
		return nil, nil
	})
	c.Links.Handle(gateway.KindRoster, func(context.Context, string, []byte) (any, error) {
		return wire.Statuses{List: c.known(time.Now())}, nil
	})
	c.Links.Handle(gateway.KindTally, func(_ context.Context, from string, body []byte) (any, error) {
		var t wire.UseTally
		if err := wire.Unmarshal(body, &t); err != nil {
			return nil, err
		}
		return c.onTally(time.Now(), from, t), nil
	})
}

// Run relays statuses and carries out the duties until ctx ends.
func (c *Control) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	spread := time.Now()
	relayed := periodic.Run(ctx, greetInterval, func(_ context.Context, now time.Time) {
		var list []wire.Status
		if now.Sub(spread) >= relayInterval {
			spread, list = now, c.relay.take()
		}
		c.spread(now, list)
	})
	duties := periodic.Run(ctx, dutyInterval, c.duty.run)
	fleets := periodic.Run(ctx, fleetInterval, c.fleet.run)
	moves := periodic.Run(ctx, moveInterval, c.mover.run)
	go func() {
		defer close(done)
		<-relayed
		<-duties
		<-moves
		<-fleets
	}()
	return done
}

// spread sends new statuses to all nodes with a session, and all statuses to those
// whose session is new.
func (c *Control) spread(now time.Time, list []wire.Status) {
	view, _ := c.State.View(now)
	for name, node := range view.Nodes {
		send := list
		if c.relay.told[name] != node.Incarnation {
			send = c.known(now)
		}
		if name == c.Self || len(send) == 0 {
			continue
		}
		// A lost message is repaired by the upstreams' next statuses.
		err := c.Links.Send(name, gateway.KindStatuses, wire.Statuses{List: send})
		if err == nil {
			c.relay.told[name] = node.Incarnation
		}
	}
	for name := range c.relay.told {
		if _, live := view.Nodes[name]; !live {
			delete(c.relay.told, name)
		}
	}
}

// known lists the newest status of each upstream, with the cold time that is left.
func (c *Control) known(now time.Time) []wire.Status {
	var list []wire.Status
	for _, e := range c.roster.List() {
		if now.Sub(e.Seen) > knownAge && !e.Leaving {
			continue
		}
		s := e.Status
		s.Cold -= min(s.Cold, uint64(max(0, now.Sub(e.Seen).Milliseconds())))
		list = append(list, s)
	}
	return list
}
