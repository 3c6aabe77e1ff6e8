package raft

import "slices"

// joinOrBootstrap forms the group if this node is allowed to do so, and otherwise sends
// join requests to the other configured voters. It does so at most once per heartbeat
// interval.
func (n *Node) joinOrBootstrap() {
	if n.now.Before(n.nextJoinAt) {
		return
	}
	n.nextJoinAt = n.now.Add(n.cfg.HeartbeatInterval)
	if n.group == "" && n.canBootstrap() {
		n.bootstrap()
		return
	}
	for _, p := range n.cfg.Peers {
		if p != n.name {
			n.send(Message{Kind: KindJoin, To: p})
		}
	}
}

// canBootstrap reports whether this node must form the group: bootstrap is enabled, the
// node has the lowest name, and every other configured voter has reported within the
// last ten heartbeat intervals that it has no group.
func (n *Node) canBootstrap() bool {
	if !n.cfg.Bootstrap || n.cfg.NewGroup == "" || len(n.cfg.Peers) == 0 || slices.Min(n.cfg.Peers) != n.name {
		return false
	}
	for _, p := range n.cfg.Peers {
		request, ok := n.peersWithoutGroup[p]
		if p != n.name && (!ok || n.now.Sub(request.at) > 10*n.cfg.HeartbeatInterval) {
			return false
		}
	}
	return true
}

// bootstrap forms the group: it appends the first membership, which contains the
// incarnation of every voter, as entry 1.
func (n *Node) bootstrap() {
	var members []Member
	for _, p := range n.cfg.Peers {
		m := Member{Name: p, Incarnation: n.peersWithoutGroup[p].incarnation}
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
	n.term, n.hardStateChanged = 1, true
	n.log.append([]Entry{{Index: 1, Term: 1, Kind: EntryMembership, Members: members}})
	n.markUnwritten(1)
	n.leaderContact = n.now
	n.resetElection()
}

// onJoin handles a join request. A node without a group records whether the sender has
// none either. A node with a group sends its ID to a sender that is a member, by a change
// that is committed, but does not know its group yet. The leader sends KindRegressed to an incarnation that was replaced,
// and reports other senders that are not members in Output.JoinRequests.
func (n *Node) onJoin(m Message) {
	if n.group == "" {
		delete(n.peersWithoutGroup, m.From)
		if m.Group == "" && slices.Contains(n.cfg.Peers, m.From) {
			n.peersWithoutGroup[m.From] = joinRequest{incarnation: m.Incarnation, at: n.now}
		}
		return
	}
	if m.Group != "" && m.Group != n.group {
		return
	}
	known, ok := n.member(m.From)
	switch {
	case ok && known.Incarnation == m.Incarnation:
		if m.Group == "" && n.isSettled(m.From, m.Incarnation) {
			n.send(n.replyTo(m, Message{Kind: KindJoinReply}))
		}
	case m.Group != "" && n.senderReplaced(m):
		n.send(n.replyTo(m, Message{Kind: KindRegressed, Term: n.term, Reject: true}))
	case n.role == Leader:
		n.out.JoinRequests = append(n.out.JoinRequests, Member{Name: m.From, Incarnation: m.Incarnation})
	}
}

// onJoinReply stores the sender's group as the group of a node that has none. The sender
// replies only if the group's membership contains this incarnation.
func (n *Node) onJoinReply(m Message) {
	if n.group != "" || m.Group == "" || m.Target != n.incarnation {
		return
	}
	n.group, n.out.Group = m.Group, m.Group
	n.leaderContact = n.now
	n.hardStateChanged = true
	n.resetElection()
}
