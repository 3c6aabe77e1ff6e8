// Package replica runs the replicated state on a node and gives the rest of the
// node a view of it. Voters hold the log and the state machine. Every node has a
// session with the group's leader, through which it receives the changes of the key
// space and the lease under which it admits requests.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
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

// Timing of a session. The leader waits 5% longer than a lease lasts, which is the
// bound on the rate difference between two clocks.
const (
	renewInterval   = 500 * time.Millisecond
	defaultLeaseTTL = 2 * time.Second // default of Config.LeaseTTL
	// clockDriftDivisor is the length of a lease divided by the leader's extra wait.
	clockDriftDivisor = 20
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
	// ErrIntentOpen means that the intent of a booking may be recorded and that this
	// node could not abandon it. The request was not sent and will not be, but its key
	// stays reserved.
	ErrIntentOpen = errors.New("the intent of the booking could not be abandoned")
	// ErrNoSession means that the node currently has no session.
	ErrNoSession = errors.New("this node has no session with the replicated state")
)

// Links sends messages to other nodes and dispatches received ones to handlers.
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
	// Voter is true when the node stores the log, in the directory DataDir.
	Voter   bool
	DataDir string
	// InitialVoters lists the voters that bootstrap the group; Seeds lists all nodes in
	// the settings.
	InitialVoters []string
	Seeds         []string
	Links         Links
	Log           logrus.FieldLogger
	// CloseTimeout is how long the end of the session waits for the leader; zero selects the
	// default.
	CloseTimeout time.Duration
	// ElectionTimeout is the shortest election timeout; zero selects the default.
	ElectionTimeout time.Duration
	// LeaseTTL is how long a session lease lasts after its renewal was sent; zero
	// selects the default. All nodes of a group must use the same value.
	LeaseTTL time.Duration
	// SingleProcess is true when the platform never runs two processes of a node at a
	// time. The session of a restarted process then starts without waiting for the
	// lease of the previous process.
	SingleProcess bool
	// JoinOnly is true when a voter with an empty directory must join the group of the
	// seeds and never bootstrap one.
	JoinOnly bool
	// GroupSize is the number of voters that the group needs. A voter beyond it is removed
	// when it stops or does not answer, and a learner when it does not answer; zero keeps
	// every member until an operator removes it.
	GroupSize int
	// NoFileIDs is true when the file system of DataDir has no stable inode numbers.
	NoFileIDs bool
	hooks     hooks
}

// sessionTTL is how long after its last reply to a renewal the leader ends a session.
func (c Config) sessionTTL() time.Duration { return c.LeaseTTL + c.LeaseTTL/clockDriftDivisor }

// hooks disable single rules or intercept messages. Only tests and benchmarks set
// them.
type hooks struct {
	leaseReceipt bool                       // count a lease from the receipt of the reply
	newID        bool                       // retry a change under a new id
	noWait       bool                       // a new leader does not wait for the leases of earlier ones
	syncEach     bool                       // sync each write separately
	ignoreExpiry bool                       // admit after the lease has expired
	fs           wal.FS                     // file system of the voter's directory
	now          func() time.Time           // replaces the boot-time clock
	seed         func() uint64              // replaces random numbers
	random       io.Reader                  // replaces the source of the voter's incarnation
	snapshotEach int                        // entries after which a snapshot is taken; zero selects the default
	segmentBytes int64                      // size of the log's segments; zero selects the default
	sentMessages *atomic.Int64              // counts messages to other nodes
	drop         func(to, kind string) bool // reports whether to drop a message
	onReply      func(kind string) error    // delays the reply to a request or replaces it with an error
}

// Replica is a node's part in the replicated state.
type Replica struct {
	config Config
	voter  *voter // nil unless the node is a voter
	leader atomic.Pointer[string]
	// leaderSince is when leader last changed; nil before the first time.
	leaderSince atomic.Pointer[time.Time]
	leading     atomic.Uint64 // term in which this node leads; zero when it does not lead
	view        *viewer
	session     *session
	background  background
}

// Open creates the replica; a voter recovers its state from its data directory. The
// caller must call Run next.
func Open(c Config) (*Replica, error) {
	c.Entry.Voter = c.Voter
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.LeaseTTL == 0 {
		c.LeaseTTL = defaultLeaseTTL
	}
	if c.CloseTimeout == 0 {
		c.CloseTimeout = defaultCloseTimeout
	}
	r := &Replica{config: c, view: newViewer(c.hooks, c.LeaseTTL), background: background{stop: make(chan struct{})}}
	r.session = newSession(r)
	none := ""
	r.leader.Store(&none)
	if c.Voter {
		v, err := openVoter(r)
		if err != nil {
			return nil, fmt.Errorf("data directory of voter %s: %w", c.Entry.Name, err)
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

// Run runs the replica until ctx ends. It then ends the node's session, transfers
// leadership and closes the log. An error means that the voter cannot continue.
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
	go func() { watchEnd <- r.view.detectPauses(sessionCtx, r.config.Log, r.session.wakeUp) }()
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-voterEnd:
		event.With(r.config.Log, event.VoterFailed).WithError(failed).Error("voter failed and cannot continue")
		voterEnd <- nil // for the last receive below
	}
	r.background.wait(r.config.CloseTimeout)
	stopSession()
	<-sessionEnd
	<-watchEnd
	if r.voter == nil {
		return failed
	}
	if failed == nil {
		r.voter.transferLeadership(voterCtx)
	}
	stopVoter()
	return errors.Join(failed, <-voterEnd)
}

// View returns the view in force on this node and reports whether the node's session
// lease is valid. Without a valid lease the node must not admit any request.
//
// The lease is checked against the given monotonic time and the boot-time clock.
func (r *Replica) View(now time.Time) (*config.View, bool) {
	return r.view.get(boottime.Moment{Monotonic: now, Boot: boottime.Since()})
}

// now reads the boot-time clock.
func (r *Replica) now() time.Time {
	if r.config.hooks.now != nil {
		return r.config.hooks.now()
	}
	return boottime.Now()
}

// Lease returns when the node's session lease expires, on the monotonic clock, or the
// zero time when the node has no lease.
func (r *Replica) Lease() time.Time {
	sent := r.view.lease.Load().sent.Monotonic
	if sent.IsZero() {
		return time.Time{}
	}
	return sent.Add(r.config.LeaseTTL)
}

// Change applies one change to the key space. A change that is retried under the same
// id returns the result of the first attempt.
func (r *Replica) Change(ctx context.Context, c wire.Change) (wire.Changed, error) {
	for _, item := range c.Items {
		if item.Deleted {
			continue
		}
		// No node could apply an item that cannot be decoded.
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
		got, _, err := callLeader(ctx, r, kindAwait, func() any { return wire.Await{Version: version} },
			func(a wire.Awaited) (bool, string) { return a.Elsewhere, a.Leader })
		if err != nil {
			return err
		}
		if got.Force {
			return nil
		}
	}
}

// Leading reports whether this node leads the group, and in which term. A partitioned
// leader may not know yet that it has been replaced; what it proposes then is not
// committed.
func (r *Replica) Leading() (term uint64, ok bool) {
	term = r.leading.Load()
	return term, term > 0
}

// ErrNotLeading is returned when this node does not lead the group in the given term.
var ErrNotLeading = errors.New("this node does not lead the group in this term")

// ConfirmLeading returns nil if this node led the group in a term at some moment after
// the call began: a quorum of the voters has confirmed it since.
func (r *Replica) ConfirmLeading(term uint64) error {
	if r.voter == nil {
		return ErrNotLeading
	}
	var current uint64
	if err := r.voter.linearizableRead(func(l *leaderState) { current = l.term }); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeading, err)
	}
	if current != term {
		return ErrNotLeading
	}
	return nil
}

// Leader returns the name of the current leader as far as this node knows.
func (r *Replica) Leader() string { return *r.leader.Load() }

// LeaderSince returns since when this node has known the current leader, or since when it has
// had to renew its lease there because its process was paused, whichever is later; the zero time
// if it knows no leader.
func (r *Replica) LeaderSince() time.Time {
	since := r.leaderSince.Load()
	if since == nil || r.Leader() == "" {
		return time.Time{}
	}
	if paused := r.view.invalidated.Load(); paused != nil && paused.After(*since) {
		return *paused
	}
	return *since
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}
