package replica

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// endRepeat is how often the end of a session is proposed again.
const endRepeat = 500 * time.Millisecond

// nodePause is the least time between two pushes that tell of nodes only. All nodes of a
// deployment may start sessions within a tenth of a second, and each push goes to all
// of them and causes a renewal.
const nodePause = 20 * time.Millisecond

// leadership is what a leader knows of the sessions. It is not replicated: a new
// leader waits for the longest lease that an earlier one can have granted. Only the
// voter's loop uses it.
type leadership struct {
	v     *voter
	term  uint64
	first bool // no scan of the sessions was made yet
	scan  time.Time
	// trimmed is when a voter beyond the group's size was last removed.
	trimmed time.Time
	// starting holds the sessions whose start is proposed but not yet applied.
	starting map[string]uint64
	// seen holds what each live session did last.
	seen map[string]*seen
	// alive holds when each voter last answered this leader.
	alive   map[string]time.Time
	awaited []awaited
	push    pendingPush
}

// pendingPush is what has changed since the last push.
type pendingPush struct {
	pending bool
	from    uint64    // version of the last push
	urgent  bool      // something else than the list of nodes has changed
	at      time.Time // of the last push
}

type seen struct {
	incarnation uint64
	replied     time.Time // when the leader last answered a renewal
	version     uint64    // in force on the node
	// refused is set when the session must not be renewed any more, because its end
	// has been proposed or waits for its lease to run out.
	refused bool
	endedAt time.Time // when its end was last proposed
}

type awaited struct {
	until time.Time
	// ready returns the answer and whether it is final.
	ready  func() (any, bool)
	answer chan any
}

func newLeadership(v *voter) *leadership {
	return &leadership{v: v, term: v.status.Term, first: true, seen: make(map[string]*seen), alive: make(map[string]time.Time), starting: make(map[string]uint64)}
}

// session returns what is known of a live session. One that is seen for the first
// time may have been renewed by an earlier leader up to now.
func (l *leadership) session(name string, incarnation uint64) *seen {
	s := l.seen[name]
	if s == nil || s.incarnation != incarnation {
		s = &seen{incarnation: incarnation, replied: boottime.Now()}
		if l.first && l.v.r.config.hooks.noWait {
			s.replied = s.replied.Add(-l.v.r.config.sessionTTL())
		}
		l.seen[name] = s
	}
	return s
}

// tick ends the sessions whose lease has run out, pushes changes and answers those
// who wait for a version.
func (l *leadership) tick(now time.Time, before uint64) {
	v := l.v
	if v.machine.Space.Version > before {
		l.note(before)
	}
	if from, due := l.push.due(now); due {
		l.tell(from)
	}
	if now.Sub(l.scan) < tickInterval/2 {
		return
	}
	l.scan = now
	v.noteAlive(now)
	l.trim(now)
	live := v.machine.Sessions()
	for _, name := range sortedKeys(live) {
		s := l.session(name, live[name])
		if now.Sub(s.replied) < v.r.config.sessionTTL() || now.Sub(s.endedAt) < endRepeat {
			continue
		}
		s.refused, s.endedAt = true, now
		event.With(v.r.config.Log, event.SessionEnded).WithField("node", name).Info("lease of the node has run out, its session ends")
		l.propose(wire.Command{Session: &wire.Session{Node: name, Incarnation: s.incarnation}})
	}
	for name := range l.seen {
		if _, ok := live[name]; !ok {
			delete(l.seen, name)
		}
	}
	if now.After(v.expireAt) {
		if !v.expireAt.IsZero() {
			l.propose(wire.Command{Expire: true})
		}
		v.expireAt = now.Add(expireInterval)
	}
	l.first = false
	l.answerAwaited(now)
}

// propose queues a command of the leader itself; nobody waits for its outcome.
func (l *leadership) propose(c wire.Command) {
	select {
	case l.v.inbox <- request{command: &c, answer: make(chan result, 1)}:
	default: // proposed again later
	}
}

// renew answers a renewal. It runs after a read has confirmed that this member
// still leads.
func (l *leadership) renew(r wire.Renew) wire.Grant {
	m := l.v.machine
	incarnation, live := m.Session(r.Node)
	if !live || incarnation != r.Incarnation {
		return wire.Grant{Ended: true}
	}
	s := l.session(r.Node, incarnation)
	if s.refused || l.starting[r.Node] > r.Incarnation {
		return wire.Grant{Ended: true}
	}
	s.replied = boottime.Now()
	s.version = max(s.version, r.Version)
	if r.Version == m.Space.Version {
		return wire.Grant{}
	}
	delta := m.Space.Delta(r.Version)
	return wire.Grant{Delta: &delta}
}

// note records that the state has changed since a version.
func (l *leadership) note(before uint64) {
	urgent := false
	for _, item := range l.v.machine.Space.Delta(before).Items {
		urgent = urgent || !strings.HasPrefix(item.Key, config.PrefixNode)
	}
	l.push.note(before, urgent)
}

// note records changes since a version.
func (p *pendingPush) note(before uint64, urgent bool) {
	if !p.pending {
		p.pending, p.from = true, before
	}
	p.urgent = p.urgent || urgent
}

// due returns the version since which changes have to be pushed now, if any.
func (p *pendingPush) due(now time.Time) (from uint64, due bool) {
	if !p.pending || !p.urgent && now.Sub(p.at) < nodePause {
		return 0, false
	}
	from = p.from
	*p = pendingPush{at: now}
	return from, true
}

// tell sends the changes since a version to all nodes with a session.
func (l *leadership) tell(from uint64) {
	v := l.v
	delta := v.machine.Space.Delta(from)
	encoded, err := wire.Marshal(delta)
	if err != nil {
		event.With(v.r.config.Log, event.ViewFailed).WithError(err).Error("changes cannot be encoded, nodes get them with their renewals")
		return
	}
	for name := range v.machine.Sessions() {
		if name == v.r.config.Entry.Name {
			v.r.pushed(delta)
			continue
		}
		if v.r.lost(name, kindPush) {
			continue
		}
		if n := v.r.config.hooks.sent; n != nil {
			n.Add(1)
		}
		// A node that misses a push gets the changes with its next renewal.
		_ = v.r.config.Links.Send(name, kindPush, wire.Encoded(encoded))
	}
}

// missing lists the nodes on which a version is not yet in force.
func (l *leadership) missing(version uint64) []string {
	var names []string
	live := l.v.machine.Sessions()
	for _, name := range sortedKeys(live) {
		if s := l.seen[name]; s == nil || s.incarnation != live[name] || s.version < version {
			names = append(names, name)
		}
	}
	return names
}

// awaitForce answers once a version is in force everywhere.
func (l *leadership) awaitForce(version uint64, answer chan any) {
	l.awaited = append(l.awaited, awaited{boottime.Now().Add(awaitLimit), func() (any, bool) {
		missing := l.missing(version)
		force := len(missing) == 0 && l.v.machine.Space.Version >= version
		return wire.Awaited{Force: force, Missing: missing}, force
	}, answer})
}

// awaitBooking answers once a booking is not running any more.
func (l *leadership) awaitBooking(b wire.Booking, answer chan any) {
	l.awaited = append(l.awaited, awaited{boottime.Now().Add(awaitLimit), func() (any, bool) {
		booked := wire.Booked{State: state.StateAbandoned}
		if in, ok := l.v.machine.Booking(b.Account, b.Service, b.Key); ok {
			booked = wire.Booked{State: in.State, Attempt: in.Attempt, Node: in.Node, Incarnation: in.Incarnation, Answer: in.Answer}
		}
		return wire.Proposed{Outcome: &wire.Outcome{Booked: &booked}}, booked.State != state.StateRunning
	}, answer})
}

// answerAwaited answers what is ready or has waited long enough; the asking node
// then asks again.
func (l *leadership) answerAwaited(now time.Time) {
	kept := l.awaited[:0]
	for _, a := range l.awaited {
		reply, ready := a.ready()
		if !ready && now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		a.answer <- reply
	}
	l.awaited = kept
}

// end answers those who wait when this member stops leading.
func (l *leadership) end() {
	for _, a := range l.awaited {
		a.answer <- nil
	}
}

// mayPropose holds back commands that the leader has to delay: the start of a
// session waits until the lease of the node's earlier session has run out, because
// another process may still use it.
func (v *voter) mayPropose(c *wire.Command) error {
	if c.Session == nil || !c.Session.Up {
		return nil
	}
	if v.lead == nil {
		return errElsewhere
	}
	name, next := c.Session.Node, c.Session.Incarnation
	incarnation, live := v.machine.Session(name)
	switch {
	case live && incarnation < next && !v.r.config.Sole:
		v.lead.session(name, incarnation).refused = true
		return errEarlier
	case v.lead.starting[name] != 0 && !v.r.config.Sole && v.lead.starting[name] != next:
		return errEarlier
	}
	v.lead.starting[name] = next
	return nil
}

// readable runs fn in the loop once this member is known to lead and has applied
// everything that was committed before.
func (v *voter) readable(fn func(*leadership)) error {
	answer := make(chan error, 1)
	read := func(err error) {
		if err == nil && v.lead == nil {
			err = errElsewhere
		}
		if err == nil {
			fn(v.lead)
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
		return fmt.Errorf("no quorum answers: %w", errElsewhere)
	}
}

// Faults that a leader gives without the state machine.
const (
	// faultEarlier means that the session has to wait for an earlier one of its node.
	faultEarlier = "earlier-session"
	// faultTooLarge means that the command is larger than the log takes.
	faultTooLarge = "command-too-large"
)
