package replica

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// endRetryInterval is the interval between proposals to end the same session.
const endRetryInterval = 500 * time.Millisecond

// nodePushInterval is the minimum time between two pushes to the voters that contain only
// changes of nodes. The times each are the parts of the minimum time between two pushes to
// the other nodes that each of these adds, for changes of nodes and for any others: all
// nodes may start sessions within a tenth of a second, and each push goes to all of them.
// With 300 nodes, 60 ms and 30 ms pass between two pushes.
const (
	nodePushInterval   = 20 * time.Millisecond
	nodePushTimeEach   = 200 * time.Microsecond
	urgentPushTimeEach = 100 * time.Microsecond
)

// leaderState is what a leader knows about the sessions. It is not replicated: a new
// leader waits for the longest lease that an earlier leader can have granted. Only the
// voter's loop uses it.
type leaderState struct {
	v         *voter
	term      uint64
	firstScan bool // the sessions have not been scanned yet
	lastScan  time.Time
	// stopping holds the voters that have asked this leader to leave, until a new session of
	// theirs starts.
	stopping map[string]bool
	// successor is the voter to which leadership was last transferred; empty if none.
	successor string
	// startingSessions holds the incarnation of each node's session whose start is
	// proposed but not yet applied.
	startingSessions map[string]uint64
	// sessions holds the state of each node's live session.
	sessions map[string]*sessionState
	waiters  []waiter
	// voterPush and nodePush are the changes to push to the voters and to other nodes.
	voterPush, nodePush pendingPush
}

// pendingPush describes what has changed since the last push.
type pendingPush struct {
	pending  bool
	from     uint64 // version before the first change
	urgent   bool   // something other than the list of nodes has changed
	lastPush time.Time
}

// sessionState is what the leader knows about one session.
type sessionState struct {
	incarnation uint64
	lastReply   time.Time // when the leader last answered a renewal
	version     uint64    // in force on the node
	// noRenewal is set when the session must not be renewed any more, because its end
	// has been proposed or a later session of the node waits for its lease to expire.
	noRenewal     bool
	endProposedAt time.Time // when its end was last proposed
}

// waiter is a request that is answered once its answer is final or its deadline passes.
type waiter struct {
	deadline time.Time
	// poll returns the current answer and reports whether it is final.
	poll   func() (any, bool)
	answer chan any
}

func newLeaderState(v *voter) *leaderState {
	return &leaderState{
		v: v, term: v.status.Term, firstScan: true, sessions: make(map[string]*sessionState),
		stopping: make(map[string]bool), startingSessions: make(map[string]uint64),
	}
}

// session returns the state of a live session. A session that is new to this leader
// may have been renewed by an earlier leader until just now.
func (l *leaderState) session(name string, incarnation uint64) *sessionState {
	s := l.sessions[name]
	if s == nil || s.incarnation != incarnation {
		s = &sessionState{incarnation: incarnation, lastReply: l.v.r.now()}
		if l.firstScan && l.v.r.config.hooks.noWait {
			s.lastReply = s.lastReply.Add(-l.v.r.config.sessionTTL())
		}
		l.sessions[name] = s
	}
	return s
}

// tick runs after each step of the Raft core. It pushes the changes since oldVersion
// and, at most once in half a tick interval, removes an excess member, ends the sessions
// whose lease has expired, has expired records removed and answers waiting requests.
func (l *leaderState) tick(now time.Time, oldVersion uint64) {
	v := l.v
	if v.machine.Space.Version > oldVersion {
		l.recordChanges(oldVersion)
	}
	if from, due := l.voterPush.due(now, nodePushInterval, 0); due {
		l.pushChanges(from, true)
	}
	nodes := time.Duration(len(l.sessions))
	if from, due := l.nodePush.due(now, max(nodePushInterval, nodes*nodePushTimeEach), nodes*urgentPushTimeEach); due {
		l.pushChanges(from, false)
	}
	if now.Sub(l.lastScan) < tickInterval/2 {
		return
	}
	l.lastScan = now
	l.removeExcessMember()
	live := v.machine.Sessions()
	for _, name := range sortedKeys(live) {
		s := l.session(name, live[name])
		if now.Sub(s.lastReply) < v.r.config.sessionTTL() || now.Sub(s.endProposedAt) < endRetryInterval {
			continue
		}
		s.noRenewal, s.endProposedAt = true, now
		event.With(v.r.config.Log, event.SessionEnded).WithField("node", name).Info("lease of the node expired; ending its session")
		l.propose(wire.Command{Session: &wire.Session{Node: name, Incarnation: s.incarnation}})
	}
	for name := range l.sessions {
		if _, ok := live[name]; !ok {
			delete(l.sessions, name)
		}
	}
	if now.After(v.nextExpiry) {
		if !v.nextExpiry.IsZero() {
			l.propose(wire.Command{Expire: true})
		}
		v.nextExpiry = now.Add(expireInterval)
	}
	l.firstScan = false
	l.answerWaiters(now)
}

// propose queues a command of the leader itself and does not wait for its outcome.
func (l *leaderState) propose(c wire.Command) {
	select {
	case l.v.inbox <- request{command: &c, answer: make(chan result, 1)}:
	default: // retried later
	}
}

// renew answers a renewal. It runs after a linearizable read has confirmed that this
// member still leads.
func (l *leaderState) renew(r wire.Renew) wire.Grant {
	m := l.v.machine
	incarnation, live := m.Session(r.Node)
	if !live || incarnation != r.Incarnation {
		return wire.Grant{Ended: true}
	}
	s := l.session(r.Node, incarnation)
	if s.noRenewal || l.startingSessions[r.Node] > r.Incarnation {
		return wire.Grant{Ended: true}
	}
	s.lastReply = l.v.r.now()
	s.version = max(s.version, r.Version)
	if r.Version == m.Space.Version {
		return wire.Grant{}
	}
	delta := m.Space.Delta(r.Version)
	return wire.Grant{Delta: &delta}
}

// recordChanges adds the changes of the key space since oldVersion to the pending push.
func (l *leaderState) recordChanges(oldVersion uint64) {
	urgent := isUrgent(l.v.machine.Space.Delta(oldVersion))
	l.voterPush.record(oldVersion, urgent)
	l.nodePush.record(oldVersion, urgent)
}

// isUrgent reports whether changes contain more than changes of nodes. Those are not waited
// for by anyone, and come in hundreds when all nodes start.
func isUrgent(d wire.Delta) bool {
	return slices.ContainsFunc(d.Items, func(i wire.Item) bool { return !strings.HasPrefix(i.Key, config.PrefixNode) })
}

// record adds the changes since oldVersion.
func (p *pendingPush) record(oldVersion uint64, urgent bool) {
	if !p.pending {
		p.pending, p.from = true, oldVersion
	}
	p.urgent = p.urgent || urgent
}

// due reports whether changes have to be pushed now, and since which version. Changes of
// nodes alone are pushed once per nodeInterval, others once per urgentInterval.
func (p *pendingPush) due(now time.Time, nodeInterval, urgentInterval time.Duration) (from uint64, due bool) {
	interval := nodeInterval
	if p.urgent {
		interval = urgentInterval
	}
	if !p.pending || now.Sub(p.lastPush) < interval {
		return 0, false
	}
	from = p.from
	*p = pendingPush{lastPush: now}
	return from, true
}

// pushChanges sends the changes since a version to all voters, or to all other nodes, that
// have a session.
func (l *leaderState) pushChanges(from uint64, toVoters bool) {
	v := l.v
	delta := v.machine.Space.Delta(from)
	encoded, err := wire.Marshal(delta)
	if err != nil {
		event.With(v.r.config.Log, event.ViewFailed).WithError(err).Error("cannot encode changes; nodes receive them with their renewals")
		return
	}
	for name := range v.machine.Sessions() {
		isVoter := slices.ContainsFunc(v.status.Members, func(m raft.Member) bool { return m.Name == name })
		if isVoter != toVoters {
			continue
		}
		if name == v.r.config.Entry.Name {
			v.r.applyPush(delta)
			continue
		}
		if v.r.dropped(name, kindPush) {
			continue
		}
		if n := v.r.config.hooks.sentMessages; n != nil {
			n.Add(1)
		}
		// A node that misses a push receives the changes with its next renewal.
		_ = v.r.config.Links.Send(name, kindPush, wire.Encoded(encoded))
	}
}

// nodesBehind lists the nodes on which a version is not yet in force.
func (l *leaderState) nodesBehind(version uint64) []string {
	var names []string
	live := l.v.machine.Sessions()
	for _, name := range sortedKeys(live) {
		if s := l.sessions[name]; s == nil || s.incarnation != live[name] || s.version < version {
			names = append(names, name)
		}
	}
	return names
}

// awaitInForce answers once a version is in force on all nodes.
func (l *leaderState) awaitInForce(version uint64, answer chan any) {
	l.waiters = append(l.waiters, waiter{l.v.r.now().Add(awaitTimeout), func() (any, bool) {
		missing := l.nodesBehind(version)
		force := len(missing) == 0 && l.v.machine.Space.Version >= version
		return wire.Awaited{Force: force, Missing: missing}, force
	}, answer})
}

// awaitBooking answers once a booking is no longer running.
func (l *leaderState) awaitBooking(b wire.Booking, answer chan any) {
	l.waiters = append(l.waiters, waiter{l.v.r.now().Add(awaitTimeout), func() (any, bool) {
		booked := wire.Booked{State: state.StateAbandoned}
		if in, ok := l.v.machine.Booking(b.Account, b.Service, b.Key); ok {
			booked = wire.Booked{State: in.State, Attempt: in.Attempt, Node: in.Node, Incarnation: in.Incarnation, Answer: in.Answer}
		}
		return wire.Proposed{Outcome: &wire.Outcome{Booked: &booked}}, booked.State != state.StateRunning
	}, answer})
}

// answerWaiters answers the requests whose answer is final and those that have waited
// until their deadline; the requesting node then retries.
func (l *leaderState) answerWaiters(now time.Time) {
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		reply, final := w.poll()
		if !final && now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		w.answer <- reply
	}
	l.waiters = kept
}

// cancelWaiters ends all waiting requests when this member stops leading.
func (l *leaderState) cancelWaiters() {
	for _, w := range l.waiters {
		w.answer <- nil
	}
}

// checkSessionStart rejects the start of a session until the lease of the node's
// earlier session has expired, because another process may still use that lease. With
// Config.SingleProcess it does not wait. It accepts all other commands.
func (v *voter) checkSessionStart(c *wire.Command) error {
	if c.Session == nil || !c.Session.Up {
		return nil
	}
	if v.leaderState == nil {
		return errNotLeader
	}
	name, next := c.Session.Node, c.Session.Incarnation
	incarnation, live := v.machine.Session(name)
	switch {
	case live && incarnation < next && !v.r.config.SingleProcess:
		v.leaderState.session(name, incarnation).noRenewal = true
		return errEarlierSession
	case v.leaderState.startingSessions[name] != 0 && !v.r.config.SingleProcess && v.leaderState.startingSessions[name] != next:
		return errEarlierSession
	}
	v.leaderState.startingSessions[name] = next
	return nil
}

// linearizableRead runs fn in the voter's loop once this member is confirmed as the
// leader and has applied everything that was committed before the call.
func (v *voter) linearizableRead(fn func(*leaderState)) error {
	answer := make(chan error, 1)
	read := func(err error) {
		if err == nil && v.leaderState == nil {
			err = errNotLeader
		}
		if err == nil {
			fn(v.leaderState)
		}
		answer <- err
	}
	select {
	case v.inbox <- request{read: read}:
	case <-time.After(callTimeout):
		return errors.New("the leader is busy")
	}
	select {
	case err := <-answer:
		return err
	case <-time.After(callTimeout):
		return fmt.Errorf("no quorum answers: %w", errNotLeader)
	}
}

// Faults that the leader reports itself, without the state machine.
const (
	// faultEarlierSession means that an earlier session of the node has not ended yet.
	faultEarlierSession = "earlier-session"
	// faultTooLarge means that the encoded command exceeds maxCommandBytes.
	faultTooLarge = "command-too-large"
)
