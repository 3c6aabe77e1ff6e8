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

// HandleAnnounce handles an announcement that an upstream sent to this node. It returns
// the address to send the next one to, or "" to keep the current one, and the time until
// then.
//
// When an upstream joins, changes or leaves, the node broadcasts the announcement to the
// whole cell itself, so that it does not depend on the owner. Plain heartbeats go to the
// owner, which broadcasts the load. Without a link to the owner they are broadcast too:
// otherwise the upstream would expire on the other nodes before it has another owner.
func (c *Cell) HandleAnnounce(now time.Time, a wire.Announce) (next string, interval time.Duration) {
	view, _ := c.State.View(now)
	owner := c.members(view).Owner(a.ID)
	changed, interval := c.record(now, view, a, heartbeatInterval)
	switch {
	case changed, owner != c.Self.Name && !c.Links.Connected(owner):
		c.broadcast(a, interval, "")
	case owner == c.Self.Name:
		c.broadcastHeartbeat(a)
	case owner != "":
		c.forward(owner, a, interval)
	}
	if owner != "" && owner != c.Self.Name {
		next = view.Nodes[owner].AnnounceAddress
	}
	return next, interval
}

// record applies an announcement to the registry and the slots of this node. changed
// reports whether more than the load changed; next is the time until the upstream's next
// announcement.
func (c *Cell) record(now time.Time, view *config.View, a wire.Announce, interval time.Duration) (changed bool, next time.Duration) {
	old, known := c.Registry.Get(a.ID)
	change := c.Registry.ApplyEvery(now, a, interval)
	if change == upstream.Outdated {
		return false, interval
	}
	c.logChange(change, a)
	entry, _ := c.Registry.Get(a.ID)
	next = max(interval, c.Slots.HandleAnnounce(now, entry, initialLimit(view, a)))
	if next != interval {
		c.Registry.SetInterval(a.ID, next)
	}
	return !known || differsBeyondLoad(old.Announce, a), next
}

// differsBeyondLoad reports whether two announcements differ in more than the load and the
// sequence number.
func differsBeyondLoad(a, b wire.Announce) bool {
	a.Load, a.Sequence = b.Load, b.Sequence
	return !reflect.DeepEqual(a, b)
}

// initialLimit returns the number of concurrent requests that a newly started upstream may
// get: the lowest initial limit among the services that it serves; zero if none sets one.
func initialLimit(view *config.View, a wire.Announce) int {
	limit := 0
	for _, s := range a.Serving {
		if n := view.Services[s.Service].InitialConcurrency; n > 0 && (limit == 0 || n < limit) {
			limit = n
		}
	}
	return limit
}

func (c *Cell) logChange(change upstream.Change, a wire.Announce) {
	fields := logrus.Fields{"upstream": a.ID, "incarnation": a.Incarnation, "domain": a.Domain, "address": a.Address}
	switch change {
	case upstream.Joined:
		event.With(c.Log, event.UpstreamJoined).WithFields(fields).Info("upstream joined")
	case upstream.Left:
		event.With(c.Log, event.UpstreamLeaving).WithFields(fields).Info("upstream is leaving")
	}
}

// broadcast sends a full announcement to all other nodes of the cell except one.
func (c *Cell) broadcast(a wire.Announce, interval time.Duration, except string) {
	c.mu.Lock()
	c.heartbeats[a.ID] = 0
	c.mu.Unlock()
	for _, to := range c.otherMembers() {
		if to != except {
			c.forward(to, a, interval)
		}
	}
}

// forward queues a full announcement for one node.
func (c *Cell) forward(to string, a wire.Announce, interval time.Duration) {
	body, err := wire.Marshal(a)
	if err != nil {
		return // every announcement was decoded from JSON and can be encoded
	}
	c.enqueue(to, func(update *wire.Update) {
		update.Announces = append(update.Announces, wire.Announcement{Body: body, Interval: uint64(interval.Milliseconds())})
	})
}

// broadcastHeartbeat sends a heartbeat to all other nodes of the cell: usually only the
// load, but every refreshHeartbeats-th time the full announcement.
func (c *Cell) broadcastHeartbeat(a wire.Announce) {
	c.mu.Lock()
	c.heartbeats[a.ID]++
	full := c.heartbeats[a.ID] >= refreshHeartbeats
	c.mu.Unlock()
	if full {
		entry, _ := c.Registry.Get(a.ID)
		c.broadcast(a, entry.Interval, "")
		return
	}
	heartbeat := wire.Pulse{
		Upstream: a.ID, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Running: a.Load.Running, Waiting: a.Load.Waiting, Tokens: a.Load.Tokens, Capacity: a.Load.Capacity,
	}
	for _, to := range c.otherMembers() {
		c.enqueue(to, func(update *wire.Update) { update.Pulses = append(update.Pulses, heartbeat) })
	}
}

// applyAnnouncement applies an announcement that another node forwarded.
func (c *Cell) applyAnnouncement(now time.Time, from string, in wire.Announcement) error {
	var a wire.Announce
	if err := wire.Unmarshal(in.Body, &a); err != nil {
		return err
	}
	view, _ := c.State.View(now)
	old, known := c.Registry.Get(a.ID)
	if known && (a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence) {
		return nil
	}
	changed, interval := c.record(now, view, a, time.Duration(in.Interval)*time.Millisecond)
	if c.members(view).Owner(a.ID) != c.Self.Name {
		return nil
	}
	// The sender has broadcast a change itself; the owner repeats it for nodes that the
	// sender could not reach.
	if changed {
		c.broadcast(a, interval, from)
	} else {
		c.broadcastHeartbeat(a)
	}
	return nil
}

// applyHeartbeat updates a known upstream with the load of a heartbeat that another node
// sent.
func (c *Cell) applyHeartbeat(now time.Time, heartbeat wire.Pulse) {
	entry, ok := c.Registry.Get(heartbeat.Upstream)
	if !ok || entry.Incarnation != heartbeat.Incarnation {
		return
	}
	a := entry.Announce
	a.Sequence = heartbeat.Sequence
	a.Load = wire.Load{Running: heartbeat.Running, Waiting: heartbeat.Waiting, Tokens: heartbeat.Tokens, Capacity: heartbeat.Capacity}
	view, _ := c.State.View(now)
	c.record(now, view, a, entry.Interval)
}

// sendOwnedAnnouncements sends the announcements of the upstreams that this node owns to
// all other nodes of the cell. It is called when the members of the cell change, because
// new members don't have them.
func (c *Cell) sendOwnedAnnouncements(now time.Time) {
	view, _ := c.State.View(now)
	members := c.members(view)
	for _, e := range c.Registry.List() {
		if members.Owner(e.ID) == c.Self.Name {
			c.broadcast(e.Announce, e.Interval, "")
		}
	}
}
