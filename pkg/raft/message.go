package raft

// send sends a message at the end of the step without waiting for a write.
func (n *Node) send(m Message) {
	n.out.Messages = append(n.out.Messages, n.withSender(m))
}

// sendAfterSync sends a message once everything written up to the end of this step
// is synced.
func (n *Node) sendAfterSync(m Message) {
	n.deferred = append(n.deferred, deferredMessage{msg: n.withSender(m)})
}

func (n *Node) withSender(m Message) Message {
	m.Group, m.From, m.Incarnation, m.Halves = n.group, n.name, n.incarnation, true
	return m
}

// sender returns the sender of a message as a voter.
func sender(m Message) Member { return Member{Name: m.From, Incarnation: m.Incarnation} }

// senderAsVoter returns the voter whose vote or acknowledgement a message is.
func (n *Node) senderAsVoter(m Message) Member {
	voter := sender(m)
	if known, ok := n.member(m.From); ok && n.hooks.anyIncarnation {
		voter.Incarnation = known.Incarnation
	}
	return voter
}

// replyTo addresses m to the sender of to.
func (n *Node) replyTo(to Message, m Message) Message {
	m.To, m.Target = to.From, to.Incarnation
	return m
}

// receive dispatches a message. It drops messages of another group and messages for
// another incarnation of this member. A sender whose incarnation was replaced gets
// KindRegressed as reply.
func (n *Node) receive(m Message) {
	if m.To != n.name || m.From == n.name {
		return
	}
	switch m.Kind {
	case KindJoin:
		n.onJoin(m)
		return
	case KindJoinReply:
		n.onJoinReply(m)
		return
	case KindEmpty:
		n.onEmpty(m)
		return
	}
	if m.Group == "" || n.group != "" && m.Group != n.group {
		return
	}
	if n.isEmpty() && m.Target != 0 && m.Target != n.incarnation {
		n.answerEmpty(m)
	}
	if n.group == "" {
		return
	}
	delete(n.lost, sender(m))
	if n.senderReplaced(m) {
		n.send(n.replyTo(m, Message{Kind: KindRegressed, Term: n.term, Reject: true}))
		return
	}
	if m.Target != 0 && m.Target != n.incarnation && !n.hooks.anyIncarnation {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.onVoteRequest(m)
	case KindAppend, KindHeartbeat, KindSnapshot:
		n.onLeaderMessage(m)
	case KindTimeoutNow:
		n.onTimeoutNow(m)
	case KindRegressed:
		// An incarnation that was replaced or excluded can never become a member again. A
		// leader of an earlier release says so without proof, also to one whose add was undone;
		// that one asks to be added again.
		if m.Target == n.incarnation && (m.Reject || n.onceMember()) {
			n.regressed = true
			n.out.Fault = ErrRegressed
		}
	default:
		n.onReply(m)
	}
}

// senderReplaced reports whether this member is the leader and a committed membership
// lists a different incarnation under the sender's name, although the sender's was a member
// before. Without that proof the sender may be the newer one, whose add was undone.
func (n *Node) senderReplaced(m Message) bool {
	known, ok := n.member(m.From)
	return n.role == Leader && ok && known.Incarnation != m.Incarnation &&
		n.former[Member{Name: m.From, Incarnation: m.Incarnation}] &&
		!n.pendingChange() && n.committedInTerm() && !n.hooks.anyIncarnation
}

// onReply handles replies. It ignores a reply unless the sender's incarnation is one in the
// memberships in use: a process with a different data directory does not have the
// votes and entries that the member stored.
func (n *Node) onReply(m Message) {
	known, ok := n.member(m.From)
	isMember := ok && (known.Incarnation == m.Incarnation || n.hooks.anyIncarnation)
	if !isMember && !n.isDecider(sender(m)) {
		return
	}
	if n.answered != nil && (m.Kind == KindPreVoteReply || m.Kind == KindVoteReply) {
		n.answered[n.senderAsVoter(m)] = true
	}
	if m.Kind == KindPreVoteReply {
		n.onPreVoteReply(m)
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if m.Term < n.term {
		return
	}
	switch m.Kind {
	case KindVoteReply:
		n.onVoteReply(m)
	case KindAppendReply, KindHeartbeatReply, KindSnapshotReply:
		if n.role == Leader {
			n.onFollowerReply(m)
		}
	}
}
