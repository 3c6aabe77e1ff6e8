// Package cell exchanges messages among the nodes of a cell: announcements and heartbeats
// of upstreams, slot demands and grants, and crash suspects. Messages to a node are batched
// while a frame to it is being sent, so that a busy node sends fewer and larger frames.
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
	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

// kindUpdate is the kind of the messages within a cell.
const kindUpdate = "cell"

// kindLimits is the kind of the messages about the limits that upstreams name.
const kindLimits = "limits"

// kindParts is the kind of the messages about parts of prompts. They are rare, so they are
// not batched.
const kindParts = "parts"

const (
	// viewCheckInterval is how often a node checks whether the members of the cell changed.
	// It bounds the delay until the node notices a new member.
	viewCheckInterval = 100 * time.Millisecond
	// heartbeatInterval is the shortest time between two announcements of an upstream. The
	// owner's byte budget may lengthen it.
	heartbeatInterval = time.Second
	// refreshHeartbeats is the number of heartbeats after which an owner sends a full
	// announcement instead of only the load, in case an announcement was lost.
	refreshHeartbeats = 10
)

// Links sends messages to other nodes and registers handlers for theirs.
type Links interface {
	Handle(kind string, h peer.Handler)
	Send(to, kind string, message any) error
	// Connected reports whether there is a link to the node.
	Connected(name string) bool
}

// State is the node's view of the key space and its session lease.
type State interface {
	View(now time.Time) (*config.View, bool)
	// Lease returns the end of the session lease; the zero time without one.
	Lease() time.Time
}

// Slots is the node's part in sharing the upstreams' concurrency limits within the cell.
type Slots interface {
	// HandleAnnounce returns the time until the upstream's next announcement, or zero if
	// the announcement is not new. initialLimit is the concurrency limit of a newly started
	// upstream; zero if none is set.
	HandleAnnounce(now time.Time, e upstream.Entry, initialLimit int) time.Duration
	HandleDemand(now time.Time, d routing.Demand)
	ApplyGrant(now time.Time, g routing.Grant)
	MergeLimits(limits []pace.Limit)
}

// Suspects is the node's table of requests that are suspected of crashing upstreams.
type Suspects interface {
	Merge(now time.Time, s routing.Suspect)
	Clear(f routing.Fingerprint)
}

// Parts is the node's table of parts of prompts that are suspected of crashing upstreams.
type Parts interface {
	// Merge applies the records of another node and returns what that node must know.
	Merge(now time.Time, crashes []poison.Record, answers []poison.Answer) []poison.Answer
}

// Cell connects one node to the other nodes of its cell.
type Cell struct {
	// Self holds the node's name and incarnation, as listed in the view.
	Self     routing.Node
	Name     string
	Links    Links
	State    State
	Registry *upstream.Registry
	Slots    Slots
	Suspects Suspects
	Parts    Parts
	Log      logrus.FieldLogger
	Now      func() time.Time

	mu      sync.Mutex
	pending map[string]*wire.Update // by receiving node
	// heartbeats counts, by upstream, the heartbeats since the last full announcement.
	heartbeats map[string]int
	membership routing.View
	wake       chan struct{}
}

// Init prepares the cell and registers its message handler. Call it before the links
// start.
func (c *Cell) Init() {
	c.pending, c.heartbeats, c.wake = make(map[string]*wire.Update), make(map[string]int), make(chan struct{}, 1)
	c.Links.Handle(kindUpdate, c.receive)
	c.Links.Handle(kindParts, c.receiveParts)
	c.Links.Handle(kindLimits, c.receiveLimits)
}

// Run sends the pending updates and watches the membership of the cell until ctx ends. It
// returns a channel that closes after that.
func (c *Cell) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(viewCheckInterval)
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

// tick sends the announcements of the owned upstreams if the members of the cell changed.
func (c *Cell) tick(now time.Time) {
	view, _ := c.State.View(now)
	members := c.members(view)
	c.mu.Lock()
	changed := members.Version > c.membership.Version && !reflect.DeepEqual(members.Nodes, c.membership.Nodes)
	if members.Version > c.membership.Version {
		c.membership = members
	}
	c.mu.Unlock()
	if changed {
		c.sendOwnedAnnouncements(now)
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

// members returns the nodes of this node's cell in the view, sorted by name.
func (c *Cell) members(view *config.View) routing.View {
	members := routing.View{Version: view.Version}
	for _, n := range view.SortedNodes() {
		if n.Cell == c.Name {
			members.Nodes = append(members.Nodes, routing.Node{Name: n.Name, Incarnation: n.ProcessIncarnation})
		}
	}
	return members
}

// otherMembers returns the names of the other nodes of the cell.
func (c *Cell) otherMembers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, n := range c.membership.Nodes {
		if n.Name != c.Self.Name {
			names = append(names, n.Name)
		}
	}
	return names
}

// enqueue applies change to the pending update for a node and wakes Run to send it.
func (c *Cell) enqueue(to string, change func(update *wire.Update)) {
	c.mu.Lock()
	update := c.pending[to]
	if update == nil {
		update = &wire.Update{}
		c.pending[to] = update
	}
	change(update)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// flush sends the pending updates and drops those that cannot be sent: demands, grants and
// heartbeats are repeated by their protocols, and a node that rejoins gets all
// announcements again.
func (c *Cell) flush() {
	c.mu.Lock()
	pending := c.pending
	c.pending = make(map[string]*wire.Update, len(pending))
	c.mu.Unlock()
	for to, update := range pending {
		if err := c.Links.Send(to, kindUpdate, update); err != nil && !errors.Is(err, peer.ErrUnreachable) {
			event.With(c.Log, event.UpdateDropped).WithField("peer", to).WithError(err).Warn("could not send an update to a node of the cell; update dropped")
		}
	}
}

// receive handles an update from another node.
func (c *Cell) receive(_ context.Context, from string, body []byte) (any, error) {
	var update wire.Update
	if err := wire.Unmarshal(body, &update); err != nil {
		return nil, err
	}
	now := c.Now()
	for _, a := range update.Announces {
		if err := c.applyAnnouncement(now, from, a); err != nil {
			return nil, err
		}
	}
	for _, heartbeat := range update.Pulses {
		c.applyHeartbeat(now, heartbeat)
	}
	for _, d := range update.Demands {
		c.Slots.HandleDemand(now, demandFromWire(d))
	}
	for _, g := range update.Grants {
		c.Slots.ApplyGrant(now, grantFromWire(g))
	}
	for _, s := range update.Suspects {
		c.Suspects.Merge(now, suspectFromWire(s))
	}
	for _, f := range update.Clears {
		c.Suspects.Clear(routing.Fingerprint(f))
	}
	return nil, nil
}

// SendDemand sends a slot demand to the owner of the upstream.
func (c *Cell) SendDemand(owner string, d routing.Demand) {
	c.enqueue(owner, func(update *wire.Update) { update.Demands = append(update.Demands, demandToWire(d)) })
}

// SendGrant sends a slot grant to a node.
func (c *Cell) SendGrant(node string, g routing.Grant) {
	c.enqueue(node, func(update *wire.Update) { update.Grants = append(update.Grants, grantToWire(g)) })
}

// BroadcastSuspects sends suspects to the other nodes of the cell.
func (c *Cell) BroadcastSuspects(list []routing.Suspect) {
	for _, to := range c.otherMembers() {
		c.enqueue(to, func(update *wire.Update) {
			for _, s := range list {
				update.Suspects = append(update.Suspects, suspectToWire(s))
			}
		})
	}
}

// BroadcastClear notifies the other nodes of the cell that a suspect is cleared: its
// request proved harmless.
func (c *Cell) BroadcastClear(f routing.Fingerprint) {
	for _, to := range c.otherMembers() {
		c.enqueue(to, func(update *wire.Update) { update.Clears = append(update.Clears, uint64(f)) })
	}
}

// BroadcastParts sends records of parts of prompts to the other nodes of the cell.
func (c *Cell) BroadcastParts(crashes []poison.Record) {
	for _, to := range c.otherMembers() {
		c.sendParts(to, crashes, nil)
	}
}

func (c *Cell) sendParts(to string, crashes []poison.Record, answers []poison.Answer) {
	now := c.Now()
	var message wire.PartRecords
	for _, r := range crashes {
		message.Crashes = append(message.Crashes, record.Crash(now, r, ""))
	}
	for _, a := range answers {
		message.Answers = append(message.Answers, record.Answer(now, a))
	}
	// Records are sent again while they matter, so a lost message only delays them.
	if err := c.Links.Send(to, kindParts, message); err != nil && !errors.Is(err, peer.ErrUnreachable) {
		event.With(c.Log, event.UpdateDropped).WithField("peer", to).WithError(err).Warn("could not send records of prompts to a node of the cell; records dropped")
	}
}

// receiveParts handles the records of another node.
func (c *Cell) receiveParts(_ context.Context, from string, body []byte) (any, error) {
	var message wire.PartRecords
	if err := wire.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	now := c.Now()
	var crashes []poison.Record
	for _, r := range message.Crashes {
		crashes = append(crashes, record.FromCrash(now, r))
	}
	var answers []poison.Answer
	for _, a := range message.Answers {
		answers = append(answers, record.FromAnswer(now, a))
	}
	if missing := c.Parts.Merge(now, crashes, answers); len(missing) > 0 {
		c.sendParts(from, nil, missing)
	}
	return nil, nil
}

// BroadcastLimits sends the limits that upstreams named to this node to the other nodes.
func (c *Cell) BroadcastLimits(limits []pace.Limit) {
	message := wire.UpstreamLimits{List: record.Limits(c.Now(), limits)}
	for _, to := range c.otherMembers() {
		// Limits are sent again while they are named.
		if err := c.Links.Send(to, kindLimits, message); err != nil && !errors.Is(err, peer.ErrUnreachable) {
			event.With(c.Log, event.UpdateDropped).WithField("peer", to).WithError(err).Warn("could not send the limits of upstreams to a node of the cell; limits dropped")
		}
	}
}

func (c *Cell) receiveLimits(_ context.Context, _ string, body []byte) (any, error) {
	var message wire.UpstreamLimits
	if err := wire.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	now := c.Now()
	var limits []pace.Limit
	for _, l := range message.List {
		limits = append(limits, record.FromLimit(now, l))
	}
	c.Slots.MergeLimits(limits)
	return nil, nil
}
