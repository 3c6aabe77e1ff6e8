package raft

// onLeaderMessage handles messages from a leader. The leader need not be in this
// member's membership, which may be older than the leader's.
func (n *Node) onLeaderMessage(m Message) {
	if m.Term < n.term {
		n.send(n.replyTo(m, Message{Kind: KindAppendReply, Term: n.term, Reject: true}))
		return
	}
	if m.Term == n.term && n.role == Leader {
		return
	}
	if m.Term > n.term || n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.leaderContact = m.From, n.now
	// A voter that was proven lost may be a member again in what the leader sends.
	clear(n.lost)
	n.resetElection()
	switch m.Kind {
	case KindAppend:
		n.onAppend(m)
	case KindHeartbeat:
		n.onHeartbeat(m)
	case KindSnapshot:
		n.onSnapshot(m)
	}
	if n.recovering && n.commit >= m.Commit && n.log.stable >= m.Commit {
		n.recovering = false
	}
}

func (n *Node) onAppend(m Message) {
	if m.Index < n.commit {
		// All entries committed here are also in the leader's log.
		n.ack(m, n.commit)
		return
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.Prior {
		hint, prior := n.log.findConflict(m.Index, m.Prior)
		n.send(n.replyTo(m, Message{
			Kind: KindAppendReply, Term: n.term, Reject: true,
			Index: m.Index, Hint: hint, Prior: prior, Sent: m.Sent,
		}))
		return
	}
	if !validEntries(m) {
		return
	}
	for i, e := range m.Entries {
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
		}
		n.log.append(m.Entries[i:])
		n.markUnwritten(e.Index)
		break
	}
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	n.ack(m, last)
}

// validEntries reports whether the entries of an append have consecutive indexes after
// m.Index and terms that neither decrease nor exceed the leader's.
func validEntries(m Message) bool {
	prior := m.Prior
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < prior || e.Term > m.Term {
			return false
		}
		prior = e.Term
	}
	return true
}

// ack acknowledges, once it is synced, that the log matches the leader's up to index.
func (n *Node) ack(m Message, index uint64) {
	n.sendAfterSync(n.replyTo(m, Message{Kind: KindAppendReply, Term: n.term, Index: index, Sent: m.Sent}))
}

// onHeartbeat replies without waiting for a write, because the reply acknowledges no entries
// as synced. The leader's lease relies on the reply, but a member that restarts does not
// vote until such a lease has expired.
func (n *Node) onHeartbeat(m Message) {
	if term, ok := n.log.term(m.Index); ok && term == m.Prior {
		n.commit = max(n.commit, min(m.Index, m.Commit))
	}
	n.recordSilences(m.Silent)
	n.send(n.replyTo(m, Message{
		Kind: KindHeartbeatReply, Term: n.term, Index: n.log.last(), Sent: m.Sent,
	}))
}

// onSnapshot collects the parts of a snapshot and installs it after the last one.
func (n *Node) onSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= n.commit {
		n.ack(m, n.commit)
		return
	}
	partial := n.partialSnapshot
	if partial == nil || partial.Index != s.Index || partial.Term != s.Term || n.partialFrom != m.From || n.partialTerm != m.Term {
		partial = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Halves: s.Halves}
		n.partialSnapshot, n.partialFrom, n.partialTerm = partial, m.From, m.Term
	}
	received := uint64(len(partial.Data))
	if m.Offset == received {
		partial.Data = append(partial.Data, s.Data...)
		received = uint64(len(partial.Data))
		if m.Done {
			n.partialSnapshot = nil
			n.installSnapshot(*partial)
			n.ack(m, partial.Index)
			return
		}
	}
	n.send(n.replyTo(m, Message{
		Kind: KindSnapshotReply, Term: n.term, Index: partial.Index, Hint: received, Sent: m.Sent,
	}))
}

// installSnapshot replaces the log by a snapshot. If the log already contains the entry
// at the snapshot's index and term, only the commit index is raised.
func (n *Node) installSnapshot(s Snapshot) {
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		n.commit = max(n.commit, s.Index)
		return
	}
	n.log.reset(s)
	n.commit, n.applied = s.Index, s.Index
	n.unwrittenSnapshot, n.firstUnwritten = &s, 0
	n.out.Restore = &s
}

// compact stores a snapshot that the runner took at an applied index and compacts the
// log. It ignores a snapshot that is not newer than the current one.
func (n *Node) compact(c Compaction) {
	if c.Index > n.applied || c.Index <= n.log.snapshot.Index {
		return
	}
	term, _ := n.log.term(c.Index)
	in := n.log.memberships[n.log.membershipAt(c.Index)]
	s := Snapshot{Index: c.Index, Term: term, Data: c.Data, Members: in.members, Halves: in.halves}
	n.log.compact(s, n.cfg.TrailingEntries)
	n.unwrittenSnapshot = &s
}
