package raft

import "time"

// maxPendingReads is the maximum number of read requests that wait for a quorum.
const maxPendingReads = 4096

// becomeLeader makes this member the leader of the current term.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.name
	n.answered, n.unheard = nil, nil
	n.leaderSince = n.elapsed()
	n.leaseRevoked, n.transferTarget = false, ""
	n.termStartIndex = n.log.last() + 1
	n.progress = map[string]*progress{}
	n.updateProgress()
	n.inheritSilences()
	n.uncommittedBytes = 0
	for _, e := range n.log.slice(n.commit+1, 1<<62) {
		n.uncommittedBytes += entrySize(e)
	}
	n.appendEntry(Entry{Kind: EntryEmpty})
	n.sendHeartbeats()
}

// appendEntry appends an entry to the leader's log in the current term and returns its
// index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append([]Entry{e})
	n.uncommittedBytes += entrySize(e)
	n.markUnwritten(e.Index)
	return e.Index
}

// markUnwritten records that the entries from index on must be written.
func (n *Node) markUnwritten(index uint64) {
	if n.firstUnwritten == 0 || index < n.firstUnwritten {
		n.firstUnwritten = index
	}
}

// checkWritable returns an error if this member currently accepts no new entries.
func (n *Node) checkWritable() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transferTarget != "":
		return ErrTransferInProgress
	case n.uncommittedBytes >= n.cfg.MaxUncommittedBytes:
		return ErrOverloaded
	}
	return nil
}

func (n *Node) propose(p Proposal) {
	if err := n.checkWritable(); err != nil {
		n.out.Results = append(n.out.Results, Result{ID: p.ID, Err: err})
		return
	}
	index := n.appendEntry(Entry{Kind: EntryCommand, Data: p.Data})
	n.out.Results = append(n.out.Results, Result{ID: p.ID, Index: index, Term: n.term})
}

// committedInTerm reports whether this leader has committed an entry of its own term.
// Only then is its commit index known to include all entries committed by earlier
// leaders.
func (n *Node) committedInTerm() bool { return n.role == Leader && n.commit >= n.termStartIndex }

// quorumContact returns the latest time, on the leader's clock, such that a quorum has
// replied to messages sent at or after it. It returns zero if no quorum has replied yet.
func (n *Node) quorumContact() time.Duration {
	return agreed(n, func(m Member) (a agreement[time.Duration]) {
		if m == n.self() {
			a.value = n.elapsed()
		} else if p := n.progressOf(m); p != nil {
			a.value = p.lastContact
		}
		a.sent = a.value
		return a
	})
}

// hasLease reports whether this member is a leader with a valid lease, so that it may serve
// a read without another heartbeat round.
func (n *Node) hasLease() bool {
	contact := n.quorumContact()
	return n.committedInTerm() && (!n.leaseRevoked || n.hooks.keepLeaseOnTransfer) && contact > 0 && n.elapsed()-contact < n.leaseDuration()
}

// tickLeader processes the leader's timers. The leader steps down if no quorum has replied
// within the lease duration, if its disk hangs, or once a membership without its vote is
// committed.
func (n *Node) tickLeader() {
	if n.elapsed()-max(n.quorumContact(), n.leaderSince) >= n.leaseDuration() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.diskStalled() || (!n.isVoter() && !n.pendingChange()) {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transferTarget != "" && !n.now.Before(n.transferDeadline) {
		n.transferTarget = ""
	}
	if !n.now.Before(n.nextHeartbeatAt) {
		n.sendHeartbeats()
	}
	for _, m := range n.followers() {
		if p := n.progress[m.Name]; p != nil {
			n.retransmit(p)
		}
	}
}

// sendHeartbeats sends a heartbeat to every other member. The heartbeat includes a
// committed log position, if possible one that the member is known to have. A member whose
// log contains it advances its commit index to it. sendHeartbeats also notifies regressed
// members and requests the transfer target to start an election.
func (n *Node) sendHeartbeats() {
	n.nextHeartbeatAt = n.now.Add(n.cfg.HeartbeatInterval)
	silent := n.silences()
	for _, m := range n.followers() {
		p := n.progress[m.Name]
		if p == nil {
			continue
		}
		index := max(min(p.match, n.commit), n.log.baseIndex)
		prior, _ := n.log.term(index)
		n.send(Message{
			Kind: KindHeartbeat, To: m.Name, Target: m.Incarnation, Term: n.term,
			Index: index, Prior: prior, Commit: n.commit, Sent: uint64(n.elapsed()), Silent: silent,
		})
		if m.Learner && p.lastContact == 0 && n.isSettled(m.Name, m.Incarnation) {
			// It may not know its group yet, and the voters that it could ask may be gone.
			n.send(Message{Kind: KindJoinReply, To: m.Name, Target: m.Incarnation, Term: n.term})
		}
		if p.regressed {
			n.send(Message{Kind: KindRegressed, To: m.Name, Target: m.Incarnation, Term: n.term, Reject: true})
		}
		if n.transferTarget == m.Name && n.leaseRevoked {
			n.send(Message{Kind: KindTimeoutNow, To: m.Name, Target: m.Incarnation, Term: n.term})
		}
	}
}

// advanceLeader commits, replicates and answers reads as far as the current state allows.
// It runs in every step of a leader, after the input was handled.
func (n *Node) advanceLeader() {
	n.advanceCommit()
	n.advanceMembership()
	for _, m := range n.followers() {
		if p := n.progress[m.Name]; p != nil && !p.regressed {
			n.replicate(p)
		}
	}
	if p := n.progress[n.transferTarget]; p != nil && p.match == n.log.last() && !n.leaseRevoked {
		// From now on another leader may be elected before the lease expires.
		n.leaseRevoked = true
		n.sendHeartbeats()
	}
	n.answerReads()
}

// advanceCommit commits the entries that a quorum has synced. Entries of earlier terms
// are committed only together with an entry of the current term.
func (n *Node) advanceCommit() {
	index := agreed(n, func(m Member) (a agreement[uint64]) {
		if m == n.self() {
			a = agreement[uint64]{n.log.stable, n.elapsed()}
		} else if p := n.progressOf(m); p != nil {
			a = agreement[uint64]{p.match, p.lastContact}
		}
		return a
	})
	if term, ok := n.log.term(index); ok && index > n.commit && term == n.term {
		for _, e := range n.log.slice(n.commit+1, 1<<62)[:index-n.commit] {
			n.uncommittedBytes -= entrySize(e)
		}
		n.commit = index
	}
}

// startTransfer starts the transfer of leadership to a voter. The voter is requested to
// start an election once it has replicated the whole log. The transfer is canceled after
// an election timeout.
func (n *Node) startTransfer(name string) {
	m, ok := n.member(name)
	if n.role != Leader || !ok || m.Learner || name == n.name {
		return
	}
	n.transferTarget = name
	n.transferDeadline = n.now.Add(n.cfg.ElectionTimeout)
}

// readIndex answers a read request immediately if the leader has a lease, and otherwise
// after a heartbeat round that starts now.
func (n *Node) readIndex(id uint64) {
	switch {
	case n.role != Leader:
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Err: ErrNotLeader})
	case n.hasLease():
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Index: n.commit})
	case len(n.pendingReads) >= maxPendingReads:
		n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Err: ErrOverloaded})
	default:
		if len(n.pendingReads) == 0 || n.pendingReads[len(n.pendingReads)-1].requestedAt < n.elapsed() {
			n.sendHeartbeats()
		}
		n.pendingReads = append(n.pendingReads, pendingRead{id: id, requestedAt: n.elapsed()})
	}
}

func (n *Node) answerReads() {
	if !n.committedInTerm() {
		return
	}
	contact, leased := n.quorumContact(), n.hasLease()
	for len(n.pendingReads) > 0 && (leased || n.pendingReads[0].requestedAt <= contact) {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: n.pendingReads[0].id, Index: n.commit})
		n.pendingReads = n.pendingReads[1:]
	}
}

// failReads rejects the pending reads of a leader that steps down.
func (n *Node) failReads() {
	for _, r := range n.pendingReads {
		n.out.Reads = append(n.out.Reads, ReadResult{ID: r.id, Err: ErrNotLeader})
	}
	n.pendingReads = nil
}
