package raft

// MemberStatus is what the leader knows about one other member.
type MemberStatus struct {
	Member     Member
	MatchIndex uint64 // the member holds the log up to here, synced
	Alive      bool   // it answered within the lease
	CaughtUp   bool   // it holds everything committed; a learner may be promoted
	Regressed  bool   // its folder is older than its acknowledgements
}

// Status describes a member at its last step.
type Status struct {
	Role           Role
	Group          string
	Term           uint64
	Leader         string // empty when unknown
	CommitIndex    uint64
	AppliedIndex   uint64
	LastIndex      uint64
	SnapshotIndex  uint64 // index of the newest snapshot
	Members        []Member
	ChangePending  bool   // the newest membership is not yet committed
	HasLease       bool   // the leader may answer reads at once
	Recovering     bool   // a restarted member that does not vote yet
	TransferTarget string // voter that is to take over
	Progress       []MemberStatus
}

// Status returns the state at the last step.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Group: n.group, Term: n.term, Leader: n.leader,
		CommitIndex: n.commit, AppliedIndex: n.applied, LastIndex: n.log.last(),
		SnapshotIndex: n.log.snapshot.Index, Members: n.members(), ChangePending: n.pendingChange(),
		Recovering: n.recovering, TransferTarget: n.transferTarget,
	}
	if n.role != Leader {
		return s
	}
	s.HasLease = n.hasLease()
	for _, m := range n.members() {
		if p := n.progress[m.Name]; p != nil {
			s.Progress = append(s.Progress, MemberStatus{
				Member: m, MatchIndex: p.match, Alive: n.alive(p), CaughtUp: n.caughtUp(p), Regressed: p.regressed,
			})
		}
	}
	return s
}
