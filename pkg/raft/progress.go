package raft

import (
	"slices"
	"time"
)

type replicationMode uint8

const (
	probing      replicationMode = iota // one append at a time, to find the last matching entry
	replicating                         // several appends in flight
	snapshotting                        // sending the snapshot in parts
)

// progress is the leader's replication state for another member.
type progress struct {
	member          Member
	match           uint64 // match index: the member has synced the leader's log up to it
	next            uint64 // next index: first entry of the next append
	mode            replicationMode
	inflight        []uint64      // last index of each unacknowledged append
	lastContact     time.Duration // elapsed() at which the latest message with a reply was sent
	matchAdvancedAt time.Duration // elapsed() at which match last increased
	lastActivity    time.Time     // time of the last append, snapshot part or reply
	snapshot        *Snapshot     // being sent; nil if none
	snapshotOffset  uint64        // number of snapshot bytes that the member has
	awaitingReply   bool          // no reply yet to a probe or a snapshot part
	regressed       bool          // the member lacks entries that it acknowledged
	heardAt         time.Time     // time of the last reply to this or an earlier leader
	halves          bool          // the release of the member may take part in halves
}

// followers returns the members to which the leader replicates, sorted by name: those of the
// membership in effect, and while it is not committed the voters of the one before, which may
// have to agree to it.
func (n *Node) followers() []Member {
	quorums := n.quorums()
	if len(quorums) == 1 {
		return n.members()
	}
	list := slices.Clone(n.members())
	for _, m := range quorums[1].voters {
		if _, ok := findMember(list, m.Name); !ok {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareMembers)
	return list
}

// progressOf returns the progress of a voter; nil if there is none, or if it does not count
// because the voter lacks what it acknowledged.
func (n *Node) progressOf(m Member) *progress {
	p := n.progress[m.Name]
	if p == nil || p.regressed || p.member.Incarnation != m.Incarnation {
		return nil
	}
	return p
}

// updateProgress adds and removes progress records to match the followers.
func (n *Node) updateProgress() {
	next := make(map[string]*progress, len(n.members()))
	for _, m := range n.followers() {
		if m.Name == n.name {
			continue
		}
		p := n.progress[m.Name]
		if p == nil || p.member.Incarnation != m.Incarnation {
			p = &progress{next: n.log.last() + 1, heardAt: n.now}
		}
		p.member = m
		next[m.Name] = p
	}
	n.progress = next
}

// retransmit allows the next probe or snapshot part, or returns to probing, if no reply
// has arrived for four heartbeat intervals.
func (n *Node) retransmit(p *progress) {
	if n.now.Sub(p.lastActivity) < 4*n.cfg.HeartbeatInterval {
		return
	}
	p.awaitingReply = false
	if p.mode == replicating && len(p.inflight) > 0 {
		n.startProbing(p, p.match+1)
	}
}

func (n *Node) startProbing(p *progress, next uint64) {
	p.mode, p.next, p.inflight, p.awaitingReply, p.snapshot = probing, max(next, p.match+1), nil, false, nil
}

// replicate sends missing entries or snapshot parts to a member, within the limits on
// messages in flight.
func (n *Node) replicate(p *progress) {
	for {
		if p.mode == snapshotting || p.next <= n.log.baseIndex {
			n.sendSnapshotPart(p)
			return
		}
		missing := p.next <= n.log.last()
		switch p.mode {
		case probing:
			if p.awaitingReply || (!missing && p.match == n.log.last()) {
				return
			}
		case replicating:
			if !missing || len(p.inflight) >= n.cfg.MaxInflightAppends {
				return
			}
		}
		n.sendAppend(p)
	}
}

func (n *Node) sendAppend(p *progress) {
	prior, _ := n.log.term(p.next - 1)
	m := Message{
		Kind: KindAppend, To: p.member.Name, Target: p.member.Incarnation, Term: n.term,
		Index: p.next - 1, Prior: prior, Commit: n.commit, Sent: uint64(n.elapsed()),
		Entries: n.log.slice(p.next, n.cfg.MaxMessageBytes),
	}
	n.send(m)
	p.lastActivity = n.now
	if p.mode == probing {
		p.awaitingReply = true
		return
	}
	p.next += uint64(len(m.Entries))
	p.inflight = append(p.inflight, p.next-1)
}

// sendSnapshotPart sends the next part of the snapshot unless a part is unacknowledged.
func (n *Node) sendSnapshotPart(p *progress) {
	if p.snapshot == nil {
		s := n.log.snapshot
		p.mode, p.snapshot, p.snapshotOffset, p.inflight, p.awaitingReply = snapshotting, &s, 0, nil, false
	}
	if p.awaitingReply {
		return
	}
	s := p.snapshot
	end := min(p.snapshotOffset+uint64(n.cfg.MaxMessageBytes), uint64(len(s.Data)))
	part := Snapshot{Index: s.Index, Term: s.Term, Members: s.Members, Halves: s.Halves, Data: s.Data[p.snapshotOffset:end]}
	n.send(Message{
		Kind: KindSnapshot, To: p.member.Name, Target: p.member.Incarnation, Term: n.term,
		Commit: n.commit, Sent: uint64(n.elapsed()), Snapshot: &part, Offset: p.snapshotOffset,
		Done: end == uint64(len(s.Data)),
	})
	p.awaitingReply, p.lastActivity = true, n.now
}

// onFollowerReply handles a reply of a follower or learner in the leader's term.
func (n *Node) onFollowerReply(m Message) {
	p := n.progress[m.From]
	sent := time.Duration(m.Sent)
	if p == nil || p.regressed || sent > n.elapsed() || (p.member.Incarnation != m.Incarnation && !n.hooks.anyIncarnation) {
		return
	}
	if n.hasRegressed(p, m, sent) {
		p.regressed = true
		n.out.Regressed = append(n.out.Regressed, p.member)
		return
	}
	if n.hooks.leaseFromReceipt {
		sent = n.elapsed()
	}
	p.lastContact, p.heardAt, p.halves = max(p.lastContact, sent), n.now, m.Halves
	switch m.Kind {
	case KindAppendReply:
		n.onAppendReply(p, m)
	case KindSnapshotReply:
		if p.mode == snapshotting && p.snapshot.Index == m.Index && m.Hint <= uint64(len(p.snapshot.Data)) {
			p.snapshotOffset, p.awaitingReply, p.lastActivity = m.Hint, false, n.now
		}
	}
}

// hasRegressed reports whether a reply shows that the member lacks entries which it had
// acknowledged as synced before the request was sent.
func (n *Node) hasRegressed(p *progress, m Message, sent time.Duration) bool {
	if sent <= p.matchAdvancedAt {
		return false
	}
	switch {
	case m.Kind == KindHeartbeatReply:
		return m.Index < p.match
	case m.Kind == KindAppendReply && m.Reject:
		return m.Hint < p.match
	}
	return false
}

func (n *Node) onAppendReply(p *progress, m Message) {
	if m.Reject {
		// Ignore a rejection of a message sent before the current probe.
		if m.Index < p.match || (p.mode == probing && m.Index != p.next-1) || p.mode == snapshotting {
			return
		}
		index, _ := n.log.findConflict(m.Hint, m.Prior)
		if n.log.baseIndex > 0 && index == n.log.baseIndex && (m.Hint < index || m.Prior < n.log.baseTerm) {
			index-- // the logs differ at the base: a snapshot is required
		}
		n.startProbing(p, index+1)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	p.lastActivity = n.now
	if m.Index > p.match {
		p.match, p.matchAdvancedAt = m.Index, n.elapsed()
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= m.Index {
		p.inflight = p.inflight[1:]
	}
	if p.mode == probing || (p.mode == snapshotting && p.match >= p.snapshot.Index) {
		p.mode, p.snapshot, p.awaitingReply, p.inflight = replicating, nil, false, nil
		p.next = p.match + 1
	}
}
