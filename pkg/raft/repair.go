package raft

import "slices"

// NextChange returns the next change, if any, that is needed for all configured voters to
// become voters of the group. A learner that has synced all committed entries is
// promoted, and a node that requested to join (Output.JoinRequests) is added as a
// learner. A node with the name of a current member is added only if that member does not
// reply, so that a second process started by mistake under the same name does not replace
// the first one. The runner calls NextChange on the leader after each step and passes the
// change to the next step.
func (n *Node) NextChange(joinRequests []Member, voters []string) (Change, bool) {
	if n.checkWritable() != nil || !n.committedInTerm() || n.pendingChange() {
		return Change{}, false
	}
	for _, m := range n.members() {
		if m.Learner && slices.Contains(voters, m.Name) && n.promotable(m.Name) {
			return Change{Kind: ChangePromote, Member: m}, true
		}
	}
	// A new leader must first allow time for replies of the current members.
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

// promotable reports whether a learner may become a voter: it is alive and has synced all
// committed entries, and its release knows halves if the group allows them.
func (n *Node) promotable(name string) bool {
	p := n.progress[name]
	halves := n.log.memberships[len(n.log.memberships)-1].halves
	return n.hooks.promoteEarly || n.caughtUp(p) && (p.halves || !halves)
}
