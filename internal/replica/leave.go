package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// leaveRetryDelay is the time between two requests of a stopping voter to leave.
	leaveRetryDelay = 20 * time.Millisecond
	// leaveUnansweredTimeout is how long a stopping voter waits for a leader although its own
	// log shows no voter beyond the size of the group. Elections take less.
	leaveUnansweredTimeout = time.Second
)

// Faults with which the leader refuses a request to leave.
const (
	// faultNoSurplus means that the group has no voter beyond its size. The voter stays a
	// member: it may come back, and a stop of all voters must not shrink the group.
	faultNoSurplus = "no-surplus"
	// faultLearnerJoining means that the group has no voter beyond its size yet, but that a
	// learner is about to become one.
	faultLearnerJoining = "learner-joining"
)

// refusal is the fault with which the leader refused a membership change.
type refusal string

func (f refusal) Error() string { return string(f) }

// Leave takes this voter out of the group before its process ends, if the group has more
// voters than its size. A process is not told whether it will return: if it does not, the
// quorum must not count it from the moment it ends, and if it does, it joins again. Without
// a surplus the membership stays as it is. Leave first transfers leadership, so that another
// voter answers.
//
// It returns nil once the removal is committed or if none is needed, and an error if no
// leader has answered before ctx ended.
func (r *Replica) Leave(ctx context.Context) error {
	if r.voter == nil || r.config.GroupSize == 0 {
		return nil
	}
	started := r.now()
	for {
		r.voter.transferLeadership(ctx)
		err := r.requestLeave(ctx)
		if err == nil {
			event.With(r.config.Log, event.VoterChanged).WithField("voter", r.config.Entry.Name).WithField("verb", VerbLeave).Info("left the group before the stop")
		}
		if mayStop(err, r.now().Sub(started), r.voter.seesSurplus(ctx)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(leaveRetryDelay):
		}
	}
}

// mayStop reports whether a voter may stop after a request to leave that ended with err, the
// time waited after its first one. According to the voter's own log, the group has a surplus
// of voters or not.
func mayStop(err error, waited time.Duration, surplus bool) bool {
	switch {
	case err == nil, isRefusal(err, faultNoSurplus):
		return true
	case isRefusal(err, raft.ErrUnknownMember.Error()): // also from a leader of a release without VerbLeave
		return true
	}
	// Without an answer and without a surplus, the other voters have probably stopped too.
	return errors.Is(err, ErrUnavailable) && waited >= leaveUnansweredTimeout && !surplus
}

// isRefusal reports whether the leader refused a membership change with this fault.
func isRefusal(err error, fault string) bool {
	var refused refusal
	return errors.As(err, &refused) && string(refused) == fault
}

// requestLeave sends one request to leave to the leader.
func (r *Replica) requestLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveUnansweredTimeout)
	defer cancel()
	own, _ := r.voter.ownMembership(ctx)
	if own.incarnation == 0 {
		return fmt.Errorf("%w: the data directory has not been opened", ErrUnavailable)
	}
	return r.ChangeVoters(ctx, wire.Voters{Verb: VerbLeave, Name: r.config.Entry.Name, Incarnation: own.incarnation})
}

// seesSurplus reports whether the group has more voters than its size according to this
// voter's own log.
func (v *voter) seesSurplus(ctx context.Context) bool {
	answer := make(chan bool, 1)
	select {
	case v.inbox <- request{run: func() { answer <- v.surplus() > 0 }}:
	case <-ctx.Done():
		return false
	}
	select {
	case seen := <-answer:
		return seen
	case <-ctx.Done():
		return false
	}
}

// surplus returns by how much the voters of the group exceed its size. Only the voter's loop
// may call it.
func (v *voter) surplus() int {
	voters := 0
	for _, m := range v.status.Members {
		if !m.Learner {
			voters++
		}
	}
	return voters - v.r.config.GroupSize
}

// removeLeaving removes a member that is about to stop, if the group can do without it.
func (v *voter) removeLeaving(ctx context.Context, member raft.Member) error {
	var change *raft.Change
	var refused error
	if err := v.linearizableRead(func(l *leaderState) { change, refused = l.considerLeave(member) }); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	_, err := v.propose(ctx, request{change: change, answer: make(chan result, 1)})
	if err == nil {
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", member.Name).WithField("verb", VerbLeave).Info("voter removed before it stops")
	}
	return err
}

// considerLeave returns the change that removes a member which is about to stop, or why it
// stays. Only the voter's loop may call it.
func (l *leaderState) considerLeave(member raft.Member) (*raft.Change, error) {
	v := l.v
	l.stopping[member.Name] = true
	surplus := v.surplus() > 0
	change := &raft.Change{Kind: raft.ChangeRemove, Member: member, MinVoters: v.r.config.GroupSize}
	i := slices.IndexFunc(v.status.Members, func(m raft.Member) bool { return m.Name == member.Name && m.Incarnation == member.Incarnation })
	switch {
	case v.status.ChangePending:
		return nil, raft.ErrChangePending // it may not last, so nothing is concluded from it
	case i < 0:
		return nil, raft.ErrUnknownMember
	case v.status.Members[i].Learner:
		return change, nil
	case !surplus && l.learnerJoining():
		return nil, refusal(faultLearnerJoining)
	case !surplus:
		return nil, refusal(faultNoSurplus)
	case member.Name == v.r.config.Entry.Name:
		return nil, errNotLeader // the next leader removes this one
	}
	return change, nil
}

// learnerJoining reports whether a learner is about to become a voter.
func (l *leaderState) learnerJoining() bool {
	return slices.ContainsFunc(l.v.status.Progress, func(p raft.MemberStatus) bool {
		return p.Member.Learner && p.Alive && !l.stopping[p.Member.Name]
	})
}
