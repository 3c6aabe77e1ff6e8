package raft

import (
	"slices"
	"time"
)

// maxReads bounds the read requests that wait for a quorum.
const maxReads = 4096

// becomeLeader starts leading the term that was won.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.name
	n.led = n.clock()
	n.leaseless, n.transfer = false, ""
	n.termStart = n.log.last() + 1
	n.progress = map[string]*progress{}
	n.syncProgress()
	n.backlog = 0
	for _, e := range n.log.slice(n.commit+1, 1<<62) {
		n.backlog += entrySize(e)
	}
	n.appendOwn(Entry{Kind: EntryEmpty})
	n.heartbeat()
}

// appendOwn appends an entry of the own term and returns its index.
func (n *Node) appendOwn(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.append([]Entry{e})
	n.backlog += entrySize(e)
	n.mark(e.Index)
	return e.Index
}

// mark notes that entries from the index on are to be written.
func (n *Node) mark(index uint64) {
	if n.unsaved == 0 || index < n.unsaved {
		n.unsaved = index
	}
}

// writable reports why the leader takes no entries at present.
func (n *Node) writable() error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transfer != "":
		return ErrTransfer
	case n.backlog >= n.cfg.MaxBacklog:
		return ErrBacklog
	}
	return nil
}

func (n *Node) propose(p Proposal) {
	if err := n.writable(); err != nil {
		n.out.Results = append(n.out.Results, Result{ID: p.ID, Err: err})
		return
	}
	index := n.appendOwn(Entry{Kind: EntryCommand, Data: p.Data})
	n.out.Results = append(n.out.Results, Result{ID: p.ID, Index: index, Term: n.term})
}

// termCommitted reports whether an entry of the leader's own term is committed.
// Only then does its commit index include everything committed before.
func (n *Node) termCommitted() bool { return n.role == Leader && n.commit >= n.termStart }

// heardQuorum returns the own time at which the leader sent the newest messages
// that a quorum has answered; zero if it has no such answers yet.
func (n *Node) heardQuorum() time.Duration {
	times := make([]time.Duration, 0, len(n.members()))
	for _, m := range n.members() {
		switch p := n.progress[m.Name]; {
		case m.Learner:
		case m.Name == n.name && m.Incarnation == n.incarnation:
			times = append(times, n.clock())
		case p == nil || p.regressed:
			times = append(times, 0)
		default:
			times = append(times, p.acked)
		}
	}
	slices.Sort(times)
	if len(times) < n.quorum() {
		return 0
	}
	return times[len(times)-n.quorum()]
}

// leased reports whether a read may be answered without asking the quorum again.
func (n *Node) leased() bool {
	heard := n.heardQuorum()
	return n.termCommitted() && (!n.leaseless || n.hooks.keepLease) && heard > 0 && n.clock()-heard < n.lease()
}

func (n *Node) tickLeader() {
	if n.clock()-max(n.heardQuorum(), n.led) >= n.lease() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.stalled() || (!n.isVoter() && !n.pendingChange()) {
		n.becomeFollower(n.term, "")
		return
	}
	if n.transfer != "" && !n.now.Before(n.transferEnd) {
		n.transfer = ""
	}
	if !n.now.Before(n.heartbeatAt) {
		n.heartbeat()
	}
	for _, m := range n.members() {
		if p := n.progress[m.Name]; p != nil {
			n.retransmit(p)
		}
	}
}

// heartbeat asks every member for an answer. It carries a position up to which the
// member is known to hold the log, so that the member can raise its commit index.
func (n *Node) heartbeat() {
	n.heartbeatAt = n.now.Add(n.cfg.Heartbeat)
	for _, m := range n.members() {
		p := n.progress[m.Name]
		if p == nil {
			continue
		}
		index := max(min(p.match, n.commit), n.log.base)
		prior, _ := n.log.term(index)
		n.send(Message{
			Kind: KindHeartbeat, To: m.Name, Target: m.Incarnation, Term: n.term,
			Index: index, Prior: prior, Commit: n.commit, Sent: uint64(n.clock()),
		})
		if p.regressed {
			n.send(Message{Kind: KindRegressed, To: m.Name, Target: m.Incarnation, Term: n.term})
		}
		if n.transfer == m.Name && n.leaseless {
			n.send(Message{Kind: KindTakeOver, To: m.Name, Target: m.Incarnation, Term: n.term})
		}
	}
}

// lead does what a leader's new state allows.
func (n *Node) lead() {
	n.advanceCommit()
	for _, m := range n.members() {
		if p := n.progress[m.Name]; p != nil && !p.regressed {
			n.feed(p)
		}
	}
	if p := n.progress[n.transfer]; p != nil && p.match == n.log.last() && !n.leaseless {
		// From here on another leader may be elected before the lease ends.
		n.leaseless = true
		n.heartbeat()
	}
	n.answerReads()
}

// advanceCommit commits what a quorum holds synced. Entries of earlier terms are
// committed only together with one of the own term.
func (n *Node) advanceCommit() {
	held := make([]uint64, 0, len(n.members()))
	for _, m := range n.members() {
		switch p := n.progress[m.Name]; {
		case m.Learner:
		case m.Name == n.name && m.Incarnation == n.incarnation:
			held = append(held, n.log.stable)
		case p == nil || p.regressed:
			held = append(held, 0)
		default:
			held = append(held, p.match)
		}
	}
	slices.Sort(held)
	if len(held) < n.quorum() {
		return
	}
	index := held[len(held)-n.quorum()]
	if term, ok := n.log.term(index); ok && index > n.commit && term == n.term {
		for _, e := range n.log.slice(n.commit+1, 1<<62)[:index-n.commit] {
			n.backlog -= entrySize(e)
		}
		n.commit = index
	}
}

// startTransfer hands leadership to a voter once it holds the whole log.
func (n *Node) startTransfer(name string) {
	m, ok := n.member(name)
	if n.role != Leader || !ok || m.Learner || name == n.name {
		return
	}
	n.transfer = name
	n.transferEnd = n.now.Add(n.cfg.Election)
}

// read answers a read request at once under the lease, or after a round of
// heartbeats that starts now.
func (n *Node) read(id uint64) {
	switch {
	case n.role != Leader:
		n.out.Reads = append(n.out.Reads, Read{ID: id, Err: ErrNotLeader})
	case n.leased():
		n.out.Reads = append(n.out.Reads, Read{ID: id, Index: n.commit})
	case len(n.reads) >= maxReads:
		n.out.Reads = append(n.out.Reads, Read{ID: id, Err: ErrBacklog})
	default:
		if len(n.reads) == 0 || n.reads[len(n.reads)-1].at < n.clock() {
			n.heartbeat()
		}
		n.reads = append(n.reads, pendingRead{id: id, at: n.clock()})
	}
}

func (n *Node) answerReads() {
	if !n.termCommitted() {
		return
	}
	heard, leased := n.heardQuorum(), n.leased()
	for len(n.reads) > 0 && (leased || n.reads[0].at <= heard) {
		n.out.Reads = append(n.out.Reads, Read{ID: n.reads[0].id, Index: n.commit})
		n.reads = n.reads[1:]
	}
}

// dropReads refuses the waiting reads of a leader that steps down.
func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.out.Reads = append(n.out.Reads, Read{ID: r.id, Err: ErrNotLeader})
	}
	n.reads = nil
}
