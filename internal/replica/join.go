package replica

import (
	"context"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// joinInterval is how often a voter outside the group requests its next join step.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one such request; it covers an election.
	joinTimeout = 2 * time.Second
	// replaceAfter is how long a voter must be unresponsive before a new voter may
	// replace it. It is longer than the restart of a process or the resume of a VM
	// usually takes, so that a voter that returns with its disk stays a member.
	replaceAfter = 2500 * time.Millisecond
	// goneHeartbeats is the number of heartbeats that a voter whose session has ended must not
	// have answered before it counts as gone.
	goneHeartbeats = 3
	// unheardAfter is how long a voter hears of no leader before it asks to be added
	// although its own log says that it is a voter. Elections take less.
	unheardAfter = time.Second
)

// Join makes this voter a full member of the group and keeps checking until ctx ends.
// It requests to be added under the incarnation of its data directory, and to be promoted
// once it holds everything that is committed. A member that was removed while it was down
// does not know it, because nobody sends it the log any more: it asks to be added once it has
// heard of no leader for unheardAfter, and the leader refuses if it is still a member.
func (r *Replica) Join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lastHeard := time.Now()
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
		own, ok := r.voter.ownMembership(ctx)
		if own.leaderKnown {
			lastHeard = now
		}
		if ok && own.stopped.Name != "" {
			r.removeStopped(ctx, own.stopped)
		}
		step, due := r.joinStep(own, now.Sub(lastHeard))
		if !ok || !due {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := r.ChangeVoters(joinCtx, step)
		cancel()
		if err != nil {
			event.With(r.config.Log, event.VoterJoining).WithField("verb", step.Verb).WithError(err).Debug("join step failed; retrying")
		}
	}
}

// joinStep returns the next step of this voter towards full membership, if one is due. No
// leader has been heard of for the time unheard.
func (r *Replica) joinStep(own membership, unheard time.Duration) (step wire.Voters, due bool) {
	step = wire.Voters{Verb: VerbAdd, Name: r.config.Entry.Name, Incarnation: own.incarnation}
	if own.learner && unheard < unheardAfter {
		step.Verb = VerbPromote
	}
	return step, !own.voter || unheard >= unheardAfter
}

// membership is a voter's role in the group according to its own log.
type membership struct {
	incarnation uint64
	// learner is true only by a committed change. The leader knows nothing of one that was
	// undone, so that such a voter asks to be added.
	learner, voter bool
	// leaderKnown is true while the voter hears of a leader, or leads.
	leaderKnown bool
	// stopped is a voter beyond the group's size whose process has ended its session; zero if
	// there is none.
	stopped raft.Member
}

func (v *voter) ownMembership(ctx context.Context) (membership, bool) {
	type known struct {
		membership
		ok bool
	}
	answer := make(chan known, 1)
	select {
	case v.inbox <- request{run: func() { own, ok := v.currentMembership(); answer <- known{own, ok} }}:
	case <-ctx.Done():
		return membership{}, false
	}
	select {
	case own := <-answer:
		return own.membership, own.ok
	case <-ctx.Done():
		return membership{}, false
	}
}

// currentMembership returns the membership after the last step. It returns false while the
// voter is out of service. Only the voter's loop may call it.
func (v *voter) currentMembership() (membership, bool) {
	own := membership{incarnation: v.incarnation, leaderKnown: v.status.Leader != ""}
	for _, m := range v.status.Members {
		if m.Name == v.r.config.Entry.Name && m.Incarnation == own.incarnation {
			own.learner, own.voter = m.Learner && v.settled(m), !m.Learner
		}
	}
	if v.inService && v.leaderState == nil && v.r.config.GroupSize > 0 && v.surplus() > 0 {
		own.stopped = v.stoppedVoter()
	}
	return own, v.inService
}

// settled reports whether an incarnation is a member, in any role, by a change that is known to
// be committed.
func (v *voter) settled(member raft.Member) bool {
	return slices.ContainsFunc(v.status.Settled, func(m raft.Member) bool {
		return m.Name == member.Name && m.Incarnation == member.Incarnation
	})
}

// stoppedVoter returns a voter whose process has ended its session, if any. Only the voter's
// loop may call it.
func (v *voter) stoppedVoter() raft.Member {
	i := slices.IndexFunc(v.status.Members, func(m raft.Member) bool {
		return !m.Learner && m.Name != v.r.config.Entry.Name && v.machine.SessionEnded(m.Name)
	})
	if i < 0 {
		return raft.Member{}
	}
	return v.status.Members[i]
}

// removeStopped asks the leader to remove a voter beyond the group's size that has stopped. A
// leader of this release removes it without being asked. One of an earlier release does not
// know VerbLeave and would count the voter until it has been silent for replaceAfter.
func (r *Replica) removeStopped(ctx context.Context, member raft.Member) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	removal := wire.Voters{Verb: VerbLeave, Name: member.Name, Incarnation: member.Incarnation}
	err := r.ChangeVoters(ctx, removal)
	if isRefusal(err, raft.ErrUnknownMember.Error()) {
		removal.Verb = VerbRemove
		err = r.ChangeVoters(ctx, removal)
	}
	if err != nil {
		event.With(r.config.Log, event.VoterChanged).WithField("voter", member.Name).WithField("verb", removal.Verb).WithError(err).Debug("stopped voter not removed; retrying")
	}
}

// unresponsiveVoter returns a voter that has not answered for replaceAfter, if any.
// Only the voter's loop may call it.
func (v *voter) unresponsiveVoter() (raft.Member, bool) {
	i := slices.IndexFunc(v.status.Progress, func(p raft.MemberStatus) bool {
		return !p.Member.Learner && p.Silent >= replaceAfter
	})
	if i < 0 {
		return raft.Member{}, false
	}
	return v.status.Progress[i].Member, true
}

// removeUnresponsiveVoter removes an unresponsive voter before the named new voter is
// added, so that the quorum of the group does not exceed the voters that answer.
func (v *voter) removeUnresponsiveVoter(ctx context.Context, name string) error {
	var unresponsive raft.Member
	var found bool
	err := v.linearizableRead(func(*leaderState) {
		known := slices.ContainsFunc(v.status.Members, func(m raft.Member) bool { return m.Name == name })
		if !known {
			unresponsive, found = v.unresponsiveVoter()
		}
	})
	if err != nil || !found {
		return err
	}
	_, err = v.propose(ctx, request{
		change: &raft.Change{Kind: raft.ChangeRemove, Member: unresponsive}, answer: make(chan result, 1),
	})
	if err == nil {
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", unresponsive.Name).
			WithField("verb", VerbRemove).WithField("for", name).Warn("unresponsive voter removed to add a new one")
	}
	return err
}

// removeExcessMember requests the change that takes out a member which the group does not need,
// if there is one. Only the voter's loop may call it.
func (l *leaderState) removeExcessMember() {
	v := l.v
	if v.r.config.GroupSize == 0 || v.status.ChangePending || v.status.TransferTarget != "" {
		return
	}
	change, verb, silent := l.excessMember()
	if change == nil {
		return
	}
	select {
	case v.inbox <- request{change: change, answer: make(chan result, 1)}:
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", change.Member.Name).WithField("verb", verb).
			WithField("silent", silent.String()).Warn("the group does not need a member that does not answer")
	default: // retried later
	}
}

// excessMember returns the change that takes out the member of which the leader has heard least
// recently, if the group does not need it: a learner that does not answer, or a voter beyond the
// group's size that is gone. There is a surplus while a lost voter and its successor are both
// members. Only the voter's loop may call it.
func (l *leaderState) excessMember() (change *raft.Change, verb string, silent time.Duration) {
	v := l.v
	surplus := v.surplus() > 0
	for _, p := range v.status.Progress {
		kind, kindVerb, after := raft.ChangeRemove, VerbRemove, replaceAfter
		switch {
		case p.Member.Learner:
		case !surplus:
			continue
		case v.machine.SessionEnded(p.Member.Name):
			// A process that stops ends its session last, also one of an earlier release,
			// which does not ask to leave.
			after = goneHeartbeats * v.r.config.ElectionTimeout / heartbeatsPerElection
		default:
			// A lost VM says nothing, and until it is out its quorum bears one loss less. So it
			// counts as gone as soon as a leader would; if it only paused, it is promoted again.
			kind, kindVerb, after = raft.ChangeDemote, verbDemote, v.r.config.ElectionTimeout
		}
		if p.Silent >= after && p.Silent > silent {
			change = &raft.Change{Kind: kind, Member: p.Member, MinVoters: v.r.config.GroupSize}
			verb, silent = kindVerb, p.Silent
		}
	}
	return change, verb, silent
}

// recordSession records that the session of a node has started or ended.
func (l *leaderState) recordSession(s wire.Session) {
	if s.Up {
		delete(l.startingSessions, s.Node)
		delete(l.stopping, s.Node)
	}
}
