// Package replica runs the replicated state on a node and gives the rest of the
// node its view of it. Voters hold the log and the state machine; every node has a
// session with the group's leader, which brings it the changes of the key space
// and the lease under which it admits requests.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/wal"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Times of a session. The leader waits longer than a lease lasts, by the bound of
// 5% on the rate difference of two clocks.
const (
	renewInterval = 500 * time.Millisecond
	leaseTTL      = 2 * time.Second // default of Config.Lease
	// driftShare is the part of a lease that covers the rate difference.
	driftShare = 20
)

// Kinds of messages between nodes.
const (
	kindRaft    = "raft"
	kindPropose = "propose"
	kindRenew   = "renew"
	kindPush    = "lease"
	kindAwait   = "await"
	kindLookup  = "lookup"
	kindVoters  = "voters"
	kindBooking = "booking"
	kindHistory = "history"
	kindCurrent = "current"
)

// Errors of the replicated state.
var (
	// ErrUnavailable means that no leader answered in time. A command that fails
	// with it may still be applied.
	ErrUnavailable = errors.New("the replicated state cannot be reached")
	// ErrIntentOpen means that an intent may be recorded that this node could not
	// abandon. The request was not sent and will not be, but its key stays taken.
	ErrIntentOpen = errors.New("the intent of the booking could not be abandoned")
	// ErrNoSession means that the node has no session at present.
	ErrNoSession = errors.New("this node has no session with the replicated state")
)

// Links carries messages to other nodes.
type Links interface {
	Handle(kind string, h peer.Handler)
	Send(to, kind string, message any) error
	Call(ctx context.Context, to, kind string, message, reply any) error
	CloseIfSilent(name string)
}

// Config describes the replica of one node.
type Config struct {
	// Entry is the node's entry in the key space while it has a session.
	Entry config.Node
	// Voter is true when the node holds the log in the folder Data.
	Voter bool
	Data  string
	// Voters lists the first group of voters; Seeds lists all nodes in the settings.
	Voters []string
	Seeds  []string
	Links  Links
	Log    logrus.FieldLogger
	// Election is the shortest election timeout; zero selects the default.
	Election time.Duration
	// Lease is how long a session lease lasts after its renewal was sent; zero selects
	// the default. All nodes of a group must use the same value.
	Lease time.Duration
	// Sole is true when the platform never runs two processes of a node at a time. The
	// session of a restarted process then starts without waiting for the lease of the
	// process before it.
	Sole bool
	// JoinOnly is true when a voter with an empty folder must not form a group but
	// joins the one that the seeds belong to.
	JoinOnly bool
	// Size is the number of voters that the group needs. A silent voter beyond it is
	// removed; zero keeps every voter until an operator removes it.
	Size int
	// Unstamped is true when the file system of Data keeps no stable inode numbers.
	Unstamped bool
	hooks     hooks
}

// sessionTTL is how long the leader waits before it treats a session as ended.
func (c Config) sessionTTL() time.Duration { return c.Lease + c.Lease/driftShare }

// hooks turn single rules off or stop at a point. Only tests and measurements set
// them.
type hooks struct {
	leaseReceipt bool                       // measure a lease from the receipt of the answer
	newID        bool                       // send a command again under a new number
	noWait       bool                       // end sessions of a new leader at once
	syncEach     bool                       // sync each command by itself
	ignoreExpiry bool                       // admit after the lease has run out
	fs           wal.FS                     // file system of the voter's folder
	sent         *atomic.Int64              // counts messages to other nodes
	cut          func(to, kind string) bool // loses messages
	reply        func(kind string) error    // delays or loses the reply to a request
}

// Replica is a node's part in the replicated state.
type Replica struct {
	config  Config
	voter   *voter // nil unless the node is a voter
	leader  atomic.Pointer[string]
	leading atomic.Uint64 // term that this node leads; zero when it does not
	view    *viewer
	session *session
	later   background
}

// Open prepares the replica; a voter recovers its folder. Run must follow.
func Open(c Config) (*Replica, error) {
	c.Entry.Voter = c.Voter
	if c.Election == 0 {
		c.Election = defaultElection
	}
	if c.Lease == 0 {
		c.Lease = leaseTTL
	}
	r := &Replica{config: c, view: newViewer(c.hooks, c.Lease), later: background{ended: make(chan struct{})}}
	r.session = newSession(r)
	none := ""
	r.leader.Store(&none)
	if c.Voter {
		v, err := openVoter(r)
		if err != nil {
			return nil, fmt.Errorf("data folder of voter %s: %w", c.Entry.Name, err)
		}
		r.voter = v
		c.Links.Handle(kindRaft, v.onMessage)
	}
	c.Links.Handle(kindPush, r.onPush)
	for kind, handler := range r.handlers() {
		c.Links.Handle(kind, handler)
	}
	return r, nil
}

// Run serves the replica until ctx ends; then it ends the node's session, hands
// leadership over and closes the log. An error means that the voter cannot go on.
func (r *Replica) Run(ctx context.Context) error {
	voterCtx, stopVoter := context.WithCancel(context.WithoutCancel(ctx))
	defer stopVoter()
	sessionCtx, stopSession := context.WithCancel(ctx)
	defer stopSession()
	sessionEnd, watchEnd := make(chan error, 1), make(chan error, 1)
	voterEnd := make(chan error, 1)
	if r.voter != nil {
		go func() { voterEnd <- r.voter.run(voterCtx) }()
	}
	go func() { sessionEnd <- r.session.run(sessionCtx) }()
	go func() { watchEnd <- r.view.watch(sessionCtx, r.config.Log, r.session.wakeUp) }()
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-voterEnd:
		event.With(r.config.Log, event.VoterFailed).WithError(failed).Error("voter cannot go on")
		voterEnd <- nil
	}
	r.later.wait(closeTimeout)
	stopSession()
	<-sessionEnd
	<-watchEnd
	if r.voter == nil {
		return failed
	}
	if failed == nil {
		r.voter.handOver(voterCtx)
	}
	stopVoter()
	return errors.Join(failed, <-voterEnd)
}

// View returns the view that is in force on this node, and whether the node's
// session lease is valid: without it the node must admit nothing.
//
// The check of the lease needs the boot-time clock beside the given steady time.
func (r *Replica) View(now time.Time) (*config.View, bool) {
	return r.view.get(boottime.Moment{Steady: now, Boot: boottime.Since()})
}

// Lease returns the end of the node's session lease on the monotonic clock, or the
// zero time when the node has none.
func (r *Replica) Lease() time.Time {
	sent := r.view.lease.Load().sent.Steady
	if sent.IsZero() {
		return time.Time{}
	}
	return sent.Add(r.config.Lease)
}

// Change runs one change of the key space. A change that is sent again under its
// id returns its first result.
func (r *Replica) Change(ctx context.Context, c wire.Change) (wire.Changed, error) {
	for _, item := range c.Items {
		if item.Deleted {
			continue
		}
		if _, err := config.NewView(0, map[string]wire.Item{item.Key: item}); err != nil {
			return wire.Changed{}, err
		}
	}
	if c.ID == "" {
		c.ID = newID()
	}
	o, err := r.submit(ctx, wire.Command{Change: &c})
	if err != nil {
		return wire.Changed{}, err
	}
	if o.Fault != "" {
		return wire.Changed{}, fmt.Errorf("the change was refused: %s", o.Fault)
	}
	event.With(r.config.Log, event.ConfigApplied).WithField("version", o.Changed.Version).WithField("id", c.ID).Info("change recorded")
	return *o.Changed, nil
}

// WaitInForce returns once every node with a session has the version in force.
func (r *Replica) WaitInForce(ctx context.Context, version uint64) error {
	for {
		got, _, err := ask(ctx, r, kindAwait, func() any { return wire.Await{Version: version} }, func(a wire.Awaited) (bool, string) { return a.Elsewhere, a.Leader })
		if err != nil {
			return err
		}
		if got.Force {
			return nil
		}
	}
}

// Leading tells whether this node leads the group, and in which term. A leader that
// was cut off may not know yet that it leads no more; what it proposes then is not
// committed.
func (r *Replica) Leading() (term uint64, ok bool) {
	term = r.leading.Load()
	return term, term > 0
}

// Leader returns the name of the present leader as far as this node knows.
func (r *Replica) Leader() string { return *r.leader.Load() }

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}
