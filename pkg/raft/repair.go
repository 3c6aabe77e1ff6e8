package raft

import "slices"

// NextChange returns the next change that brings the membership back to the voters in the
// settings, one at a time: a learner that holds everything committed is promoted, and
// a node that asked to join (Output.JoinRequests) is added as a learner. Under the name of
// a present member it is added only if that member does not answer, so that a second
// process with the same name by mistake does not push the first one out. The runner
// calls it on the leader after each step and passes the change to the next one.
func (n *Node) NextChange(joinRequests []Member, voters []string) (Change, bool) {
	if n.checkWritable() != nil || !n.committedInTerm() || n.pendingChange() {
		return Change{}, false
	}
	for _, m := range n.members() {
		if m.Learner && slices.Contains(voters, m.Name) && n.promotable(m.Name) {
			return Change{Kind: ChangePromote, Member: m}, true
		}
	}
	// A new leader has to wait for the answers of the present members first.
	if n.elapsed()-n.leaderSince < n.cfg.ElectionTimeout {
		return Change{}, false
	}
	for _, m := range joinRequests {
		known, ok := n.member(m.Name)
		switch p := n.progress[m.Name]; {
		case !slices.Contains(voters, m.Name) || m.Name == n.name:
		case ok && (known.Incarnation == m.Incarnation || (p != nil && n.alive(p))):
		default:
			return Change{Kind: ChangeAdd, Member: m}, true
		}
	}
	return Change{}, false
}

// promotable reports whether a learner may become a voter: it is alive and holds,
// synced, everything committed.
func (n *Node) promotable(name string) bool {
	return n.hooks.promoteEarly || n.caughtUp(n.progress[name])
}
