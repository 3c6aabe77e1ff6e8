package raft

import "slices"

// join announces a node that hears from no leader to the voters in the settings, or
// forms the group.
func (n *Node) join() {
	if n.now.Before(n.joinAt) {
		return
	}
	n.joinAt = n.now.Add(n.cfg.Heartbeat)
	if n.group == "" && n.mayForm() {
		n.form()
		return
	}
	for _, p := range n.cfg.Peers {
		if p != n.name {
			n.send(Message{Kind: KindJoin, To: p})
		}
	}
}

// mayForm reports whether this node has to form the group: it has the lowest name
// and every voter in the settings reported lately that it has no group.
func (n *Node) mayForm() bool {
	if !n.cfg.Found || n.cfg.NewGroup == "" || len(n.cfg.Peers) == 0 || slices.Min(n.cfg.Peers) != n.name {
		return false
	}
	for _, p := range n.cfg.Peers {
		j, ok := n.joins[p]
		if p != n.name && (!ok || n.now.Sub(j.at) > 10*n.cfg.Heartbeat) {
			return false
		}
	}
	return true
}

// form writes the first membership, which fixes the incarnation of every voter.
func (n *Node) form() {
	var members []Member
	for _, p := range n.cfg.Peers {
		m := Member{Name: p, Incarnation: n.joins[p].incarnation}
		if p == n.name {
			m.Incarnation = n.incarnation
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	n.group, n.out.Group = n.cfg.NewGroup, n.cfg.NewGroup
	n.term, n.dirty = 1, true
	n.log.append([]Entry{{Index: 1, Term: 1, Kind: EntryMembership, Members: members}})
	n.mark(1)
	n.heard = n.now
	n.resetElection()
}

// onJoin notes a node without a group, welcomes a member that has not yet learned
// of its group, stops an incarnation that was replaced, or reports a node that wants
// to become a member.
func (n *Node) onJoin(m Message) {
	if n.group == "" {
		delete(n.joins, m.From)
		if m.Group == "" && slices.Contains(n.cfg.Peers, m.From) {
			n.joins[m.From] = join{incarnation: m.Incarnation, at: n.now}
		}
		return
	}
	if m.Group != "" && m.Group != n.group {
		return
	}
	known, ok := n.member(m.From)
	switch {
	case ok && known.Incarnation == m.Incarnation:
		if m.Group == "" {
			n.send(n.reply(m, Message{Kind: KindWelcome}))
		}
	case m.Group != "" && n.replaced(m):
		n.send(n.reply(m, Message{Kind: KindRegressed, Term: n.term}))
	case n.role == Leader:
		n.out.Joining = append(n.out.Joining, Member{Name: m.From, Incarnation: m.Incarnation})
	}
}

// onWelcome makes a node without a group a member of the sender's group. The
// sender's membership lists this incarnation.
func (n *Node) onWelcome(m Message) {
	if n.group != "" || m.Group == "" || m.Target != n.incarnation {
		return
	}
	n.group, n.out.Group = m.Group, m.Group
	n.heard = n.now
	n.dirty = true
	n.resetElection()
}
