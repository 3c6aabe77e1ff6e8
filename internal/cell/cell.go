// Package cell carries what the nodes of a cell tell each other: announcements and
// heartbeats of upstreams, slot demands and grants, and crash suspects. Messages to
// one node are collected while a frame to it is being sent, so that a busy node
// sends few, larger frames.
package cell

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

// kindUpdate is the kind of the messages within a cell.
const kindUpdate = "cell"

const (
	// viewInterval bounds how late a node notices a new node of the cell.
	viewInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two announcements while the owner's byte
	// budget allows it.
	heartbeatInterval = time.Second
	// refreshHeartbeats is the number of heartbeats after which an owner sends a full
	// announcement in place of the load alone, which repairs a lost one.
	refreshHeartbeats = 10
)

// Links carries messages to other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Send(to, kind string, message any) error
	// Connected tells whether there is a link to the node.
	Connected(name string) bool
}

// State is the node's view of the key space and its session lease.
type State interface {
	View(now time.Time) (*config.View, bool)
	// Lease returns the end of the session lease; the zero time without one.
	Lease() time.Time
}

// Slots is the node's use of the upstreams' limits.
type Slots interface {
	// HandleAnnounce returns the time until the upstream's next announcement.
	HandleAnnounce(now time.Time, e upstream.Entry, start int) time.Duration
	HandleDemand(now time.Time, d routing.Demand)
	ApplyGrant(now time.Time, g routing.Grant)
}

// Suspects is the node's table of requests that crashed upstreams.
type Suspects interface {
	Merge(now time.Time, s routing.Suspect)
	Clear(f routing.Fingerprint)
}

// Cell is one node's part in its cell.
type Cell struct {
	// Self is the node's name and process, as the view lists it.
	Self     routing.Node
	Name     string
	Links    Links
	State    State
	Registry *upstream.Registry
	Slots    Slots
	Suspects Suspects
	Log      logrus.FieldLogger
	Now      func() time.Time

	mu      sync.Mutex
	pending map[string]*wire.Update
	// beats counts an upstream's heartbeats since its last full announcement.
	beats map[string]int
	view  routing.View
	wake  chan struct{}
}

// Open prepares the cell; it sets the handler of the links, which must not run yet.
func (c *Cell) Open() {
	c.pending, c.beats, c.wake = make(map[string]*wire.Update), make(map[string]int), make(chan struct{}, 1)
	c.Links.Handle(kindUpdate, c.receive)
}

// Run serves the cell until ctx ends. The channel closes after that.
func (c *Cell) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(viewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.tick(c.Now())
			case <-c.wake:
			}
			c.flush()
		}
	}()
	return done
}

func (c *Cell) tick(now time.Time) {
	view, _ := c.State.View(now)
	members := c.members(view)
	c.mu.Lock()
	changed := members.Version > c.view.Version && !reflect.DeepEqual(members.Nodes, c.view.Nodes)
	if members.Version > c.view.Version {
		c.view = members
	}
	c.mu.Unlock()
	if changed {
		c.introduce(now)
	}
}

// View returns the node's view of the key space; false without a session lease.
func (c *Cell) View(now time.Time) (*config.View, bool) { return c.State.View(now) }

// Lease returns the members of the cell and the end of the session lease.
func (c *Cell) Lease(now time.Time) (view routing.View, until time.Time) {
	until = c.State.Lease()
	v, _ := c.State.View(now)
	return c.members(v), until
}

// members returns the nodes of this node's cell in the view, in the order of their
// names.
func (c *Cell) members(view *config.View) routing.View {
	members := routing.View{Version: view.Version}
	for _, n := range view.SortedNodes() {
		if n.Cell == c.Name {
			members.Nodes = append(members.Nodes, routing.Node{Name: n.Name, Incarnation: n.Process})
		}
	}
	return members
}

// others lists the other nodes of the cell.
func (c *Cell) others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, n := range c.view.Nodes {
		if n.Name != c.Self.Name {
			names = append(names, n.Name)
		}
	}
	return names
}

// add changes the update that is collected for a node.
func (c *Cell) add(to string, change func(u *wire.Update)) {
	c.mu.Lock()
	u := c.pending[to]
	if u == nil {
		u = &wire.Update{}
		c.pending[to] = u
	}
	change(u)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// flush sends what was collected. What cannot be sent is dropped: demands, grants
// and heartbeats are repeated by their protocols, and a node that comes back gets
// all announcements anew.
func (c *Cell) flush() {
	c.mu.Lock()
	pending := c.pending
	c.pending = make(map[string]*wire.Update, len(pending))
	c.mu.Unlock()
	for to, u := range pending {
		if err := c.Links.Send(to, kindUpdate, u); err != nil && !errors.Is(err, peer.ErrUnreachable) {
			event.With(c.Log, event.UpdateDropped).WithField("peer", to).WithError(err).Warn("update to a node of the cell was dropped")
		}
	}
}

// receive handles an update of another node.
func (c *Cell) receive(_ context.Context, from string, body []byte) (any, error) {
	var u wire.Update
	if err := wire.Unmarshal(body, &u); err != nil {
		return nil, err
	}
	now := c.Now()
	for _, a := range u.Announces {
		if err := c.takeAnnouncement(now, from, a); err != nil {
			return nil, err
		}
	}
	for _, p := range u.Pulses {
		c.takePulse(now, p)
	}
	for _, d := range u.Demands {
		c.Slots.HandleDemand(now, demandFromWire(d))
	}
	for _, g := range u.Grants {
		c.Slots.ApplyGrant(now, grantFromWire(g))
	}
	for _, s := range u.Suspects {
		c.Suspects.Merge(now, suspectFromWire(s))
	}
	for _, f := range u.Clears {
		c.Suspects.Clear(routing.Fingerprint(f))
	}
	return nil, nil
}

// SendDemand sends a report to an owner.
func (c *Cell) SendDemand(owner string, d routing.Demand) {
	c.add(owner, func(u *wire.Update) { u.Demands = append(u.Demands, demandToWire(d)) })
}

// SendGrant sends a grant to a node.
func (c *Cell) SendGrant(node string, g routing.Grant) {
	c.add(node, func(u *wire.Update) { u.Grants = append(u.Grants, grantToWire(g)) })
}

// Spread tells the other nodes of suspects.
func (c *Cell) Spread(list []routing.Suspect) {
	for _, to := range c.others() {
		c.add(to, func(u *wire.Update) {
			for _, s := range list {
				u.Suspects = append(u.Suspects, suspectToWire(s))
			}
		})
	}
}

// SpreadClear tells the other nodes that a request proved harmless.
func (c *Cell) SpreadClear(f routing.Fingerprint) {
	for _, to := range c.others() {
		c.add(to, func(u *wire.Update) { u.Clears = append(u.Clears, uint64(f)) })
	}
}
