package cell

import (
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Announce takes an announcement that an upstream sent to this node. It returns
// the address to which the next one should go, empty for the same one, and the time
// until then.
//
// A node tells the whole cell of an upstream that joined, changed or leaves, so
// that this does not depend on the owner. Mere heartbeats go to the owner, which
// passes the load on; without a link to the owner they go to the whole cell, where
// the upstream would otherwise expire before it has another owner.
func (c *Cell) Announce(now time.Time, a wire.Announce) (next string, interval time.Duration) {
	view, _ := c.State.View(now)
	owner := c.members(view).Owner(a.ID)
	news, interval := c.record(now, view, a, heartbeatInterval)
	switch {
	case news, owner != c.Self.Name && !c.Links.Connected(owner):
		c.spread(a, interval, "")
	case owner == c.Self.Name:
		c.spreadLoad(a)
	case owner != "":
		c.forward(owner, a, interval)
	}
	if owner != "" && owner != c.Self.Name {
		next = view.Nodes[owner].Announce
	}
	return next, interval
}

// record applies an announcement on this node. news is true when more than the
// load changed.
func (c *Cell) record(now time.Time, view *config.View, a wire.Announce, interval time.Duration) (news bool, next time.Duration) {
	old, known := c.Registry.Get(a.ID)
	change := c.Registry.ApplyEvery(now, a, interval)
	if change == upstream.Outdated {
		return false, interval
	}
	c.log(change, a)
	entry, _ := c.Registry.Get(a.ID)
	next = max(interval, c.Slots.HandleAnnounce(now, entry, firstLimit(view, a)))
	if next != interval {
		c.Registry.SetInterval(a.ID, next)
	}
	return !known || differs(old.Announce, a), next
}

// differs tells whether two announcements differ in more than the load.
func differs(a, b wire.Announce) bool {
	a.Load, a.Sequence = b.Load, b.Sequence
	return !reflect.DeepEqual(a, b)
}

// firstLimit is the number of concurrent requests that a newly started upstream
// gets: the lowest of the services that it serves.
func firstLimit(view *config.View, a wire.Announce) int {
	start := 0
	for _, s := range a.Serving {
		if n := view.Services[s.Service].Start; n > 0 && (start == 0 || n < start) {
			start = n
		}
	}
	return start
}

func (c *Cell) log(change upstream.Change, a wire.Announce) {
	fields := logrus.Fields{"upstream": a.ID, "incarnation": a.Incarnation, "domain": a.Domain, "address": a.Address}
	switch change {
	case upstream.Joined:
		event.With(c.Log, event.UpstreamJoined).WithFields(fields).Info("upstream announced itself")
	case upstream.Left:
		event.With(c.Log, event.UpstreamLeaving).WithFields(fields).Info("upstream is leaving")
	}
}

// spread sends a full announcement to all other nodes but one.
func (c *Cell) spread(a wire.Announce, interval time.Duration, except string) {
	c.mu.Lock()
	c.beats[a.ID] = 0
	c.mu.Unlock()
	for _, to := range c.others() {
		if to != except {
			c.forward(to, a, interval)
		}
	}
}

func (c *Cell) forward(to string, a wire.Announce, interval time.Duration) {
	body, err := wire.Marshal(a)
	if err != nil {
		return // every announcement was decoded from JSON and can be encoded
	}
	c.add(to, func(u *wire.Update) {
		u.Announces = append(u.Announces, wire.Announcement{Body: body, Interval: uint64(interval.Milliseconds())})
	})
}

// spreadLoad passes a heartbeat on; now and then as a full announcement.
func (c *Cell) spreadLoad(a wire.Announce) {
	c.mu.Lock()
	c.beats[a.ID]++
	full := c.beats[a.ID] >= refreshHeartbeats
	c.mu.Unlock()
	if full {
		e, _ := c.Registry.Get(a.ID)
		c.spread(a, e.Interval, "")
		return
	}
	p := wire.Pulse{
		Upstream: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Running: a.Load.Running, Waiting: a.Load.Waiting, Tokens: a.Load.Tokens, Capacity: a.Load.Capacity,
	}
	for _, to := range c.others() {
		c.add(to, func(u *wire.Update) { u.Pulses = append(u.Pulses, p) })
	}
}

// takeAnnouncement applies an announcement that another node passed on.
func (c *Cell) takeAnnouncement(now time.Time, from string, in wire.Announcement) error {
	var a wire.Announce
	if err := wire.Unmarshal(in.Body, &a); err != nil {
		return err
	}
	view, _ := c.State.View(now)
	old, known := c.Registry.Get(a.ID)
	if known && (a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence) {
		return nil
	}
	news, interval := c.record(now, view, a, time.Duration(in.Interval)*time.Millisecond)
	if c.members(view).Owner(a.ID) != c.Self.Name {
		return nil
	}
	// A node spreads news itself; the owner repeats them for nodes that the sender
	// could not reach.
	if news {
		c.spread(a, interval, from)
	} else {
		c.spreadLoad(a)
	}
	return nil
}

// takePulse applies a heartbeat to a known announcement.
func (c *Cell) takePulse(now time.Time, p wire.Pulse) {
	e, ok := c.Registry.Get(p.Upstream)
	if !ok || e.Incarnation != p.Incarnation {
		return
	}
	a := e.Announce
	a.Sequence = p.Sequence
	a.Load = wire.Load{Running: p.Running, Waiting: p.Waiting, Tokens: p.Tokens, Capacity: p.Capacity}
	view, _ := c.State.View(now)
	c.record(now, view, a, e.Interval)
}

// introduce sends the announcements of the upstreams that this node owns to all
// nodes of the cell, some of which are new.
func (c *Cell) introduce(now time.Time) {
	view, _ := c.State.View(now)
	members := c.members(view)
	for _, e := range c.Registry.List() {
		if members.Owner(e.ID) == c.Self.Name {
			c.spread(e.Announce, e.Interval, "")
		}
	}
}
