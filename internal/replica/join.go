package replica

import (
	"context"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// joinInterval is how often a voter outside the group asks for its next step.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one such request; it covers an election.
	joinTimeout = 2 * time.Second
	// replaceAfter is how long a voter must be silent before a newcomer takes its
	// place. It is longer than a restart or a resume usually takes, so that a voter
	// that comes back with its disk keeps its place.
	replaceAfter = 2500 * time.Millisecond
)

// Join makes this voter a full member of the group, for as long as ctx lasts: it
// asks to be added under its folder's incarnation and to be promoted once it holds
// everything that is committed. A member needs no call.
func (r *Replica) Join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own, ok := r.voter.ownMembership(ctx)
		if !ok || own.voter {
			continue
		}
		step := wire.Voters{Verb: VerbAdd, Name: r.config.Entry.Name, Incarnation: own.incarnation}
		if own.learner {
			step.Verb = VerbPromote
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := r.Voters(joinCtx, step)
		cancel()
		if err != nil {
			event.With(r.config.Log, event.VoterJoining).WithField("verb", step.Verb).WithError(err).Debug("join step not done yet")
		}
	}
}

// membership is a voter's place in the group as its own log has it.
type membership struct {
	incarnation    uint64
	learner, voter bool
}

func (v *voter) ownMembership(ctx context.Context) (membership, bool) {
	answer := make(chan membership, 1)
	run := func() {
		s := membership{incarnation: v.log.Identity().Incarnation}
		for _, m := range v.status.Members {
			if m.Name == v.r.config.Entry.Name && m.Incarnation == s.incarnation {
				s.learner, s.voter = m.Learner, !m.Learner
			}
		}
		answer <- s
	}
	select {
	case v.inbox <- request{run: run}:
	case <-ctx.Done():
		return membership{}, false
	}
	select {
	case s := <-answer:
		return s, true
	case <-ctx.Done():
		return membership{}, false
	}
}

// recordContact records which voters answer the leader. A voter that was never heard
// counts from the first call.
func (v *voter) recordContact(now time.Time) {
	for _, m := range v.status.Members {
		if _, seen := v.leaderState.lastContact[m.Name]; !seen || m.Name == v.r.config.Entry.Name {
			v.leaderState.lastContact[m.Name] = now
		}
	}
	for _, p := range v.status.Progress {
		if p.Alive {
			v.leaderState.lastContact[p.Member.Name] = now
		}
	}
}

// unresponsiveVoter returns a voter whose place a newcomer takes. Only the voter's loop
// may call it.
func (v *voter) unresponsiveVoter(now time.Time) (raft.Member, bool) {
	i := slices.IndexFunc(v.status.Members, func(m raft.Member) bool {
		return !m.Learner && now.Sub(v.leaderState.lastContact[m.Name]) >= replaceAfter
	})
	if i < 0 {
		return raft.Member{}, false
	}
	return v.status.Members[i], true
}

// removeUnresponsiveVoter removes a silent voter before a newcomer is added, so that the quorum of
// the group does not grow beyond the voters that answer.
func (v *voter) removeUnresponsiveVoter(ctx context.Context, name string) error {
	var unresponsive raft.Member
	var found bool
	err := v.linearizableRead(func(*leaderState) {
		known := slices.ContainsFunc(v.status.Members, func(m raft.Member) bool { return m.Name == name })
		if !known {
			unresponsive, found = v.unresponsiveVoter(boottime.Now())
		}
	})
	if err != nil || !found {
		return err
	}
	_, err = v.propose(ctx, request{
		change: &raft.Change{Kind: raft.ChangeRemove, Member: unresponsive}, answer: make(chan result, 1),
	})
	if err == nil {
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", unresponsive.Name).WithField("verb", VerbRemove).WithField("for", name).Warn("silent voter makes room for a new one")
	}
	return err
}

// removeExcessVoter removes a silent voter beyond the group's size: one that was replaced before it
// had been silent for long enough to make room. Only the voter's loop may call it.
func (l *leaderState) removeExcessVoter(now time.Time) {
	v, voters := l.v, 0
	for _, m := range v.status.Members {
		if !m.Learner {
			voters++
		}
	}
	if size := v.r.config.GroupSize; size == 0 || voters <= size || v.status.ChangePending || now.Sub(l.lastRemoval) < joinTimeout {
		return
	}
	unresponsive, found := v.unresponsiveVoter(now)
	if !found {
		return
	}
	l.lastRemoval = now
	event.With(v.r.config.Log, event.VoterChanged).WithField("voter", unresponsive.Name).WithField("verb", VerbRemove).Warn("silent voter beyond the size of the group is removed")
	select {
	case v.inbox <- request{change: &raft.Change{Kind: raft.ChangeRemove, Member: unresponsive}, answer: make(chan result, 1)}:
	default: // tried again
	}
}
