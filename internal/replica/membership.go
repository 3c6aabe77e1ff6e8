package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Verbs of membership changes.
const (
	VerbAdd     = "add"
	VerbPromote = "promote"
	VerbRemove  = "remove"
	// VerbLeave removes a member that is about to stop, if the group can do without it.
	VerbLeave = "leave"
	// verbDemote makes a voter a learner; only the leader decides it.
	verbDemote = "demote"
)

var changeKinds = map[string]raft.ChangeKind{VerbAdd: raft.ChangeAdd, VerbPromote: raft.ChangePromote, VerbRemove: raft.ChangeRemove, VerbLeave: raft.ChangeRemove}

// ChangeVoters changes the membership of the Raft group by one step: add a learner,
// promote it once it holds everything committed, or remove a member.
func (r *Replica) ChangeVoters(ctx context.Context, v wire.Voters) error {
	if _, ok := changeKinds[v.Verb]; !ok {
		return fmt.Errorf("verb %q is unknown; use %s, %s or %s", v.Verb, VerbAdd, VerbPromote, VerbRemove)
	}
	got, _, err := callLeader(ctx, r, kindVoters, func() any { return v },
		func(p wire.Proposed) (bool, string) { return p.Elsewhere, p.Leader })
	if err != nil {
		return err
	}
	if got.Outcome != nil && got.Outcome.Fault != "" {
		return refusal(got.Outcome.Fault)
	}
	return nil
}

func (r *Replica) onVoters(ctx context.Context, _ string, body []byte) (any, error) {
	var request wire.Voters
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if r.voter == nil {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	err := r.voter.changeVoters(ctx, request)
	if isRedirect(err) {
		return wire.Proposed{Elsewhere: true, Leader: r.Leader()}, nil
	}
	outcome := wire.Outcome{}
	if err != nil {
		outcome.Fault = err.Error()
	}
	return wire.Proposed{Outcome: &outcome}, nil
}

func (v *voter) changeVoters(ctx context.Context, w wire.Voters) error {
	incarnation := w.Incarnation
	if incarnation == 0 {
		err := v.linearizableRead(func(*leaderState) { incarnation = v.incarnationOf(w) })
		if err != nil {
			return err
		}
	}
	if incarnation == 0 {
		return fmt.Errorf("voter %s has not asked to join and is no member; start it with its settings first", w.Name)
	}
	if w.Verb == VerbLeave {
		return v.removeLeaving(ctx, raft.Member{Name: w.Name, Incarnation: incarnation})
	}
	if w.Verb == VerbAdd && w.Incarnation != 0 {
		if err := v.removeUnresponsiveVoter(ctx, w.Name); err != nil {
			return err
		}
	}
	_, err := v.propose(ctx, request{
		change: &raft.Change{Kind: changeKinds[w.Verb], Member: raft.Member{Name: w.Name, Incarnation: incarnation}},
		answer: make(chan result, 1),
	})
	if err == nil {
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", w.Name).WithField("verb", w.Verb).Info("membership of the group changed")
	}
	return err
}

// incarnationOf returns the incarnation that a change refers to: that of the voter
// that requests to join, or that of the existing member. Zero means that there is none.
func (v *voter) incarnationOf(w wire.Voters) uint64 {
	if w.Verb == VerbAdd {
		return v.joinRequests[w.Name]
	}
	for _, m := range v.status.Members {
		if m.Name == w.Name {
			return m.Incarnation
		}
	}
	return 0
}

// transferLeadership transfers leadership to another voter before this one stops.
func (v *voter) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for ctx.Err() == nil {
		done := make(chan bool, 1)
		select {
		case v.inbox <- request{run: func() { done <- v.startTransfer() }}:
		case <-ctx.Done():
			return
		}
		select {
		case finished := <-done:
			if finished {
				return
			}
		case <-ctx.Done():
		}
		select {
		case <-ctx.Done():
		case <-time.After(transferPollInterval):
		}
	}
}

// startTransfer starts a leadership transfer. It returns true when there is nothing
// left to do: this voter does not lead, or no other voter is caught up.
func (v *voter) startTransfer() bool {
	if v.status.Role != raft.Leader || v.leaderState == nil {
		return true
	}
	if v.status.TransferTarget != "" {
		return false
	}
	v.transferTarget = v.leaderState.chooseSuccessor(v.r.random())
	return v.transferTarget == ""
}

// chooseSuccessor returns the voter to which leadership is transferred; empty if no other voter
// is caught up. The choice is random among the voters that are not known to stop: several may
// stop at once, and leadership must not go around among them. It is kept as long as it can be,
// because another candidate would split the votes of one whose disk is slow.
func (l *leaderState) chooseSuccessor(random uint64) string {
	var eligible, stopping []string
	for _, p := range l.v.status.Progress {
		switch {
		case p.Member.Learner || !p.CaughtUp:
		case l.stopping[p.Member.Name]:
			stopping = append(stopping, p.Member.Name)
		default:
			eligible = append(eligible, p.Member.Name)
		}
	}
	if len(eligible) == 0 {
		eligible = stopping
	}
	switch {
	case len(eligible) == 0:
		l.successor = ""
	case !slices.Contains(eligible, l.successor):
		l.successor = eligible[random%uint64(len(eligible))]
	}
	return l.successor
}
