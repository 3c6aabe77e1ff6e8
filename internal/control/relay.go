package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/gateway"
	"github.com/jaystage/jaystage/internal/periodic"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/wire"
)

// relayInterval is how often new statuses are sent to the other nodes. It adds to the age
// of a status.
const relayInterval = 150 * time.Millisecond

// sessionCheckInterval is how often a voter checks for new sessions, whose nodes need all
// statuses before they can serve.
const sessionCheckInterval = 30 * time.Millisecond

// maxInitialStatusAge is the age up to which a status is sent to a new session. Upstreams
// report about every second.
const maxInitialStatusAge = 5 * time.Second

// refreshHeartbeats is the number of heartbeats after which entry nodes get the status of an
// unchanged upstream. They consider an upstream silent after six heartbeats without a
// status. With hundreds of nodes, relaying every heartbeat would saturate their links.
const refreshHeartbeats = 3

// postDrainTime is how long after the end of a drain all statuses of a failure domain are
// relayed to entry nodes: they show which upstreams turned cold during the drain.
const postDrainTime = 4 * time.Second

// fullSyncVoters is the number of voters that send all statuses to a node with a new
// session. The others send what upstreams reported to them within recentTime, which may not
// have been relayed to the first ones yet. Full lists from all voters would fill the link of
// a small VM for a tenth of a second, and hundreds of nodes may start together.
const (
	fullSyncVoters = 2
	recentTime     = time.Second
)

// relay collects the statuses to send to the other nodes.
type relay struct {
	mu      sync.Mutex
	pending map[string]pendingStatus
	// recent holds when upstreams last reported to this voter, within about recentTime.
	recent map[string]time.Time
	// drainEnds records when the drain of each failure domain last ended.
	drainEnds config.DrainEnds
	// synced holds, by node, the session to which all statuses were sent. Only
	// sendStatuses uses it.
	synced map[string]uint64
}

type pendingStatus struct {
	wire.Status
	// forEntryNodes is true if entry nodes need the status; voters get every status.
	forEntryNodes bool
}

// add queues a status; old is the previous one of the same upstream.
func (r *relay) add(now time.Time, old wire.Status, s wire.Status, change roster.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[string]pendingStatus)
	}
	if r.recent == nil {
		r.recent = make(map[string]time.Time)
	}
	r.recent[s.ID] = now
	drainEnd, ended := r.drainEnds.At(s.Domain)
	forEntryNodes := change != roster.Refreshed || entryNodesNeed(old, s) || ended && now.Sub(drainEnd) < postDrainTime
	r.pending[s.ID] = pendingStatus{s, forEntryNodes || r.pending[s.ID].forEntryNodes}
}

// entryNodesNeed reports whether entry nodes need a status that follows old, a status of
// the same incarnation.
func entryNodesNeed(old, s wire.Status) bool {
	if s.Cold > 0 || old.Cold > 0 || s.Sequence/refreshHeartbeats != old.Sequence/refreshHeartbeats {
		return true
	}
	old.Sequence = s.Sequence
	return old != s
}

// take removes and returns the queued statuses, and the subset that entry nodes need.
func (r *relay) take() (all, forEntryNodes []wire.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.pending {
		all = append(all, s.Status)
		if s.forEntryNodes {
			forEntryNodes = append(forEntryNodes, s.Status)
		}
	}
	r.pending = nil
	return all, forEntryNodes
}

// recentReporters returns the upstreams that reported to this voter within recentTime.
func (r *relay) recentReporters(now time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	reporters := make(map[string]bool)
	for id, at := range r.recent {
		if now.Sub(at) > recentTime {
			delete(r.recent, id)
			continue
		}
		reporters[id] = true
	}
	return reporters
}

// sendsFullSync reports whether a voter sends all statuses to a new node: whether it is among
// the first fullSyncVoters of the known voters in an order by hash (rendezvous hashing). A
// voter that knows only some of the others ranks no lower, so the first ones always do.
func sendsFullSync(self, node string, voters []string) bool {
	rank, own := 0, syncOrder(self, node)
	for _, v := range voters {
		if v != self && syncOrder(v, node) < own {
			rank++
		}
	}
	return rank < fullSyncVoters
}

func syncOrder(voter, node string) uint64 { return xxhash.Sum64String(node + "\x00" + voter) }

// trackDrains records the failure domains whose drain has ended.
func (r *relay) trackDrains(now time.Time, view *config.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainEnds.Update(now, view)
}

// HandleStatus handles a status that an upstream reported. It returns once the status may
// be acknowledged. That an upstream is leaving or gone is first recorded on a majority of
// the voters, so that every node with a lease receives it.
func (c *Control) HandleStatus(ctx context.Context, now time.Time, s wire.Status) error {
	old, _ := c.roster.Get(s.ID)
	change := c.roster.Apply(now, s)
	if change == roster.Rejected {
		return fmt.Errorf("%w: no upstream in use can have sent the status", ErrInvalid)
	}
	if change != roster.Outdated {
		c.relay.add(now, old.Status, s, change)
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
			return nil // a newer incarnation has the id, so this one is known to be gone
		}
		born = max(born, int64(e.Born))
	}
	view, valid := c.State.View(now)
	if !valid {
		// After a restart the view is empty. Each upstream that is leaving would be recorded
		// once more, while all nodes wait for their sessions.
		var err error
		if view, err = c.State.Current(ctx); err != nil {
			return err
		}
	}
	// Statuses of several starts may come to several voters at once; the latest start counts.
	return c.execute(ctx, view, c.Self, func(view *config.View) (wire.Item, bool, error) {
		if d, ok := view.DrainedUpstreams[s.ID]; ok && d.StartMillis >= born {
			return wire.Item{}, false, nil
		}
		item, err := encodeItem(config.PrefixDrainUpstream+s.ID, config.Drain{Author: "upstream", Since: now.UnixMilli(), StartMillis: born})
		return item, true, err
	})
}

// RegisterHandlers registers the message handlers. Call it before the links start.
func (c *Control) RegisterHandlers() {
	c.Links.Handle(kindCounts, c.receiveCounts)
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
		return wire.Statuses{List: c.currentStatuses(time.Now())}, nil
	})
	c.Links.Handle(gateway.KindTally, func(_ context.Context, from string, body []byte) (any, error) {
		var report wire.UseTally
		if err := wire.Unmarshal(body, &report); err != nil {
			return nil, err
		}
		return c.handleUsageReport(time.Now(), from, report), nil
	})
	c.Links.Handle(gateway.KindOpen, func(_ context.Context, from string, body []byte) (any, error) {
		var report wire.OpenReport
		if err := wire.Unmarshal(body, &report); err != nil {
			return nil, err
		}
		return c.handleOpenReport(time.Now(), from, report), nil
	})
}

// Run relays statuses and, while this voter leads, reports usage, orders upstreams and
// advances moves until ctx ends. It returns a channel that closes after that.
func (c *Control) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	c.countCopier.load()
	lastRelay := time.Now()
	relayDone := periodic.Run(ctx, c.Log, sessionCheckInterval, func(_ context.Context, now time.Time) {
		var all, forEntryNodes []wire.Status
		if now.Sub(lastRelay) >= relayInterval {
			lastRelay = now
			all, forEntryNodes = c.relay.take()
		}
		c.sendStatuses(now, all, forEntryNodes)
	})
	usageDone := periodic.Run(ctx, c.Log, usageReporterInterval, c.usageReporter.run)
	countsDone := periodic.Run(ctx, c.Log, countCopyInterval, c.countCopier.run)
	scalingDone := periodic.Run(ctx, c.Log, scalingInterval, c.scaler.run)
	movesDone := periodic.Run(ctx, c.Log, moveInterval, c.mover.run)
	partsDone := periodic.Run(ctx, c.Log, partInterval, c.parts.run)
	planDone := periodic.Run(ctx, c.Log, planInterval, c.planConverter.run)
	go func() {
		defer close(done)
		<-relayDone
		<-usageDone
		<-countsDone
		<-movesDone
		<-scalingDone
		<-partsDone
		<-planDone
	}()
	return done
}

// sendStatuses sends new statuses to the other nodes: all of them to voters, and
// forEntryNodes to entry nodes. A node with a new session gets the current status of every
// upstream instead, or of those that reported to this voter recently if other voters send
// all.
func (c *Control) sendStatuses(now time.Time, all, forEntryNodes []wire.Status) {
	view, _ := c.State.View(now)
	c.relay.trackDrains(now, view)
	var current, recent []wire.Status
	var voters []string
	newNodes := false
	for name, node := range view.Nodes {
		if node.Voter {
			voters = append(voters, name)
		}
		newNodes = newNodes || name != c.Self && c.relay.synced[name] != node.Incarnation
	}
	if newNodes {
		current = c.currentStatuses(now)
		reporters := c.relay.recentReporters(now)
		for _, s := range current {
			if reporters[s.ID] {
				recent = append(recent, s)
			}
		}
	}
	voterMessage, entryMessage := c.encodeStatuses(all), c.encodeStatuses(forEntryNodes)
	newNodeMessage, recentMessage := c.encodeStatuses(current), c.encodeStatuses(recent)
	for name, node := range view.Nodes {
		message := entryMessage
		switch {
		case name == c.Self:
			continue
		case c.relay.synced[name] != node.Incarnation && (node.Voter || sendsFullSync(c.Self, name, voters)):
			message = newNodeMessage
		case c.relay.synced[name] != node.Incarnation:
			message = recentMessage
			if message == nil {
				c.relay.synced[name] = node.Incarnation
			}
		case node.Voter:
			message = voterMessage
		}
		if message == nil {
			continue
		}
		// A lost message is not sent again: the upstreams' next statuses replace it.
		if err := c.Links.Send(name, gateway.KindStatuses, message); err == nil {
			c.relay.synced[name] = node.Incarnation
		}
	}
	for name := range c.relay.synced {
		if _, live := view.Nodes[name]; !live {
			delete(c.relay.synced, name)
		}
	}
}

// encodeStatuses encodes a message once for many nodes; nil for an empty list.
func (c *Control) encodeStatuses(list []wire.Status) wire.Encoded {
	if len(list) == 0 {
		return nil
	}
	data, err := wire.Marshal(wire.Statuses{List: list})
	if err != nil {
		c.Log.WithError(err).Error("could not encode statuses")
		return nil
	}
	return data
}

// currentStatuses returns the newest status of each upstream, with the remaining cold time.
func (c *Control) currentStatuses(now time.Time) []wire.Status {
	var list []wire.Status
	for _, entry := range c.roster.List() {
		if now.Sub(entry.LastSeen) > maxInitialStatusAge && !entry.Leaving {
			continue
		}
		s := entry.Status
		s.Cold -= min(s.Cold, uint64(max(0, now.Sub(entry.LastSeen).Milliseconds())))
		list = append(list, s)
	}
	return list
}
