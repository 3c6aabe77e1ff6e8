package replica

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	sessionRetryDelay   = 100 * time.Millisecond
	defaultCloseTimeout = time.Second
	// wakeDelay bounds how often pushed changes cause a renewal, and wakeTimeEach is the part
	// of that time that each node of the fleet adds, because all renew at about that time.
	wakeDelay    = 10 * time.Millisecond
	wakeTimeEach = 200 * time.Microsecond
)

// wakeTime returns how long a node waits before a renewal that pushed changes cause. Nodes
// wait for different times, so that they do not renew together; random is in [0, 1).
func wakeTime(nodes int, random float64) time.Duration {
	spread := time.Duration(float64(nodes) * float64(wakeTimeEach) * random)
	return max(wakeDelay, spread)
}

// session is the node's session with the leader. Each session has a new, higher
// incarnation; commands are numbered within it.
type session struct {
	r    *Replica
	wake chan struct{}

	mu              sync.Mutex
	incarnation     uint64 // zero without a session
	lastIncarnation uint64 // highest incarnation used so far
	clockOffset     time.Duration
	lastSeq         uint64
	pending         map[uint64]bool // sequence numbers without a known outcome
}

func newSession(r *Replica) *session {
	return &session{r: r, wake: make(chan struct{}, 1), pending: make(map[uint64]bool)}
}

// wakeUp triggers a renewal before the next one is due.
func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run maintains a session until ctx ends, then ends it.
func (s *session) run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		if s.current() == 0 {
			err = s.start(ctx)
		} else {
			err = s.renew(ctx)
		}
		pause := renewInterval
		if err != nil {
			pause = sessionRetryDelay
			s.r.logLeaseChange()
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
			time.Sleep(wakeTime(len(s.r.view.lease.Load().view.Nodes), rand.Float64()))
		case <-time.After(pause):
		}
	}
	s.end(context.WithoutCancel(ctx))
	return nil
}

func (s *session) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// nextIncarnation returns a new incarnation. It is taken from the wall clock, so that
// it increases across restarts. After a refusal it runs ahead of the clock by an
// offset, because the clock was set back.
func (s *session) nextIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastIncarnation = max(s.lastIncarnation+1, uint64(time.Now().Add(s.clockOffset).UnixNano()))
	return s.lastIncarnation
}

func (s *session) start(ctx context.Context) error {
	incarnation := s.nextIncarnation()
	entry := s.r.config.Entry
	entry.Incarnation = incarnation
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, s.r.config.sessionTTL())
	defer cancel()
	started := wire.Session{Node: entry.Name, Incarnation: incarnation, Up: true, Version: s.r.view.version(), Value: value}
	got, sent, err := callLeader(startCtx, s.r, kindPropose, func() any { return wire.Command{Session: &started} },
		func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
	if err != nil {
		return err
	}
	o := got.Outcome
	if o == nil {
		return errNoOutcome
	}
	if o.Fault == state.FaultSession {
		s.mu.Lock()
		s.clockOffset = max(time.Second, 2*s.clockOffset)
		s.mu.Unlock()
	}
	if o.Fault != "" {
		return errors.New(o.Fault)
	}
	s.mu.Lock()
	s.incarnation, s.lastSeq, s.pending = incarnation, 0, make(map[uint64]bool)
	s.mu.Unlock()
	event.With(s.r.config.Log, event.SessionStarted).WithField("incarnation", incarnation).Info("session started")
	if got.Grant == nil {
		return s.renew(ctx) // a leader of an earlier release
	}
	return s.apply(*got.Grant, sent, incarnation)
}

// renew extends the lease.
func (s *session) renew(ctx context.Context) error {
	incarnation, version := s.current(), s.r.view.version()
	renewCtx, cancel := context.WithTimeout(ctx, s.r.config.LeaseTTL)
	defer cancel()
	request := wire.Renew{Node: s.r.config.Entry.Name, Incarnation: incarnation, Version: version}
	grant, sent, err := callLeader(renewCtx, s.r, kindRenew, func() any { return request },
		func(g wire.Grant) (bool, string) { return g.Elsewhere, g.Leader })
	if err != nil {
		return err
	}
	return s.apply(grant, sent, incarnation)
}

// apply applies the leader's reply to a request that was sent at a time. The lease counts
// from just before that and the leader counts from its reply, so the lease expires on the
// node first.
func (s *session) apply(grant wire.Grant, sent boottime.Moment, incarnation uint64) error {
	if grant.Ended {
		s.r.view.invalidate()
		s.mu.Lock()
		s.incarnation = 0
		s.mu.Unlock()
		event.With(s.r.config.Log, event.SessionEnded).WithField("incarnation", incarnation).Warn("session was ended by the leader")
		s.wakeUp()
		return errors.New("the session has ended")
	}
	if s.r.config.hooks.leaseReceipt {
		sent = boottime.ReadClocks()
	}
	if err := s.r.view.extend(sent, grant.Delta); err != nil {
		event.With(s.r.config.Log, event.ViewFailed).WithError(err).Error("cannot apply configuration changes; lease not extended")
		return err
	}
	s.r.logLeaseChange()
	if grant.Delta != nil && isUrgent(*grant.Delta) {
		s.wakeUp() // report to the leader that the changes are in force here
	}
	return nil
}

// end ends the session at the leader, so that no one has to wait for its lease to
// expire.
func (s *session) end(ctx context.Context) {
	s.r.view.invalidate()
	incarnation := s.current()
	if incarnation == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.r.config.CloseTimeout)
	defer cancel()
	_, err := s.r.submit(ctx, wire.Command{Session: &wire.Session{Node: s.r.config.Entry.Name, Incarnation: incarnation}})
	if err != nil {
		event.With(s.r.config.Log, event.SessionEnded).WithError(err).Warn("cannot end the session; the leader ends it when its lease expires")
	}
}

// assignSeq assigns a command the next sequence number of the session. The caller
// must call release once the outcome is known or the command is given up.
func (s *session) assignSeq(c *wire.Command) (release func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == 0 {
		return nil, ErrNoSession
	}
	s.lastSeq++
	seq, incarnation := s.lastSeq, s.incarnation
	s.pending[seq] = true
	floor := seq
	for open := range s.pending {
		floor = min(floor, open)
	}
	c.Node, c.Incarnation, c.Seq, c.Floor = s.r.config.Entry.Name, incarnation, seq, floor
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incarnation == incarnation {
			delete(s.pending, seq)
		}
	}, nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys(set map[string]uint64) []string {
	return slices.Sorted(maps.Keys(set))
}
