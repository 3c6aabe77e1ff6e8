package raft

// MemberStatus is what the leader knows about one other member.
type MemberStatus struct {
	Member    Member
	Match     uint64 // the member holds the log up to here, synced
	Alive     bool   // it answered within the lease
	Ready     bool   // it holds everything committed; a learner may be promoted
	Regressed bool   // its folder is older than its acknowledgements
}

// Status describes a member at its last step.
type Status struct {
	Role     Role
	Group    string
	Term     uint64
	Leader   string // empty when unknown
	Commit   uint64
	Applied  uint64
	Last     uint64
	Snapshot uint64 // index of the newest snapshot
	Members  []Member
	Pending  bool   // the newest membership is not yet committed
	Leased   bool   // the leader may answer reads at once
	Unproven bool   // a restarted member that does not vote yet
	Transfer string // voter that is to take over
	Progress []MemberStatus
}

// Status returns the state at the last step.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, Group: n.group, Term: n.term, Leader: n.leader,
		Commit: n.commit, Applied: n.applied, Last: n.log.last(),
		Snapshot: n.log.snapshot.Index, Members: n.members(), Pending: n.pendingChange(),
		Unproven: n.unproven, Transfer: n.transfer,
	}
	if n.role != Leader {
		return s
	}
	s.Leased = n.leased()
	for _, m := range n.members() {
		if p := n.progress[m.Name]; p != nil {
			s.Progress = append(s.Progress, MemberStatus{
				Member: m, Match: p.match, Alive: n.alive(p), Ready: n.caughtUp(p), Regressed: p.regressed,
			})
		}
	}
	return s
}
