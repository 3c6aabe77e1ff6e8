package raft

import (
	"slices"
	"time"
)

// MemberStatus is the leader's view of another member.
type MemberStatus struct {
	Member     Member
	MatchIndex uint64        // index up to which the member has synced the leader's log
	Alive      bool          // it replied within the lease duration
	CaughtUp   bool          // it is alive and has all committed entries; a learner may be promoted
	Regressed  bool          // it lacks entries that it acknowledged
	Silent     time.Duration // since its last reply to this leader or an earlier one
}

// Status describes a member as of its last step.
type Status struct {
	Role           Role
	Group          string
	Term           uint64
	Leader         string // empty if unknown
	CommitIndex    uint64
	AppliedIndex   uint64
	LastIndex      uint64
	SnapshotIndex  uint64 // index of the newest snapshot
	Members        []Member
	Settled        []Member // newest membership that is known to be committed
	ChangePending  bool     // the membership in effect is not yet committed
	HasLease       bool     // the leader may serve reads without another heartbeat round
	Recovering     bool     // restarted and not yet allowed to vote or campaign
	TransferTarget string   // voter to which leadership is being transferred
	Lost           []Member // voters that are proven lost
	Unheard        []Member // voters that did not answer the last campaign of this member; only without a leader
	Progress       []MemberStatus
}

// Status returns the status as of the last step.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Group: n.group, Term: n.term, Leader: n.leader,
		CommitIndex: n.commit, AppliedIndex: n.applied, LastIndex: n.log.last(),
		SnapshotIndex: n.log.snapshot.Index, Members: n.members(), Settled: n.settledMembers(), ChangePending: n.pendingChange(),
		Recovering: n.recovering, TransferTarget: n.transferTarget,
	}
	if n.leader == "" {
		s.Unheard = n.unheard
	}
	for m := range n.lost {
		s.Lost = append(s.Lost, m)
	}
	slices.SortFunc(s.Lost, compareMembers)
	if n.role != Leader {
		return s
	}
	s.HasLease = n.hasLease()
	for _, m := range n.members() {
		if p := n.progress[m.Name]; p != nil {
			s.Progress = append(s.Progress, MemberStatus{
				Member: m, MatchIndex: p.match, Alive: n.alive(p), CaughtUp: n.caughtUp(p), Regressed: p.regressed, Silent: n.silentFor(p),
			})
		}
	}
	return s
}
