package raft

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// Names of the checked properties.
const (
	electionSafety      = "election safety"
	logMatching         = "log matching"
	leaderCompleteness  = "leader completeness"
	readFreshness       = "leader reads are never stale"
	stateMachineSafety  = "state machine safety"
	safePromotion       = "promotion only after catching up"
	livenessAfterFaults = "progress after faults end"
)

// checker checks the properties during a simulation and records the first violation.
type checker struct {
	watchedProperty  string // the only property to check; empty for all
	property         string
	violation        string
	commitIndex      uint64              // highest index applied by any server
	committedEntries map[uint64]Entry    // by index
	stateHashes      map[uint64]uint64   // state machine hash, by applied index
	leaders          map[uint64]Member   // by term
	written          map[position]string // content of entries in any log, including the term of the previous entry
	outcomes         map[uint64]error    // reported outcomes of proposals, by ID
	members          []Member            // last committed membership
	membersIndex     uint64              // index of the entry with members
}

func newChecker() *checker {
	return &checker{
		committedEntries: map[uint64]Entry{}, stateHashes: map[uint64]uint64{},
		leaders: map[uint64]Member{}, outcomes: map[uint64]error{}, written: map[position]string{},
	}
}

func (c *checker) fail(property, format string, args ...any) {
	if c.violation == "" && (c.watchedProperty == "" || c.watchedProperty == property) {
		c.property, c.violation = property, fmt.Sprintf(format, args...)
	}
}

// checkLeader checks that each term has at most one leader and that a new leader's log
// contains all committed entries of earlier terms.
func (c *checker) checkLeader(srv *server) {
	n := srv.node
	if n.role != Leader {
		return
	}
	self := Member{Name: n.name, Incarnation: n.incarnation}
	old, ok := c.leaders[n.term]
	if ok && old == self {
		return
	}
	if ok {
		c.fail(electionSafety, "term %d has leaders %v and %v", n.term, old, self)
	}
	c.leaders[n.term] = self
	for i := n.log.baseIndex + 1; i <= c.commitIndex; i++ {
		if term, ok := n.log.term(i); (!ok || term != c.committedEntries[i].Term) && n.term > c.committedEntries[i].Term {
			c.fail(leaderCompleteness, "leader %s of term %d lacks committed entry %d", n.name, n.term, i)
			return
		}
	}
}

// entriesWritten checks that entries with the same index and term are identical, and
// follow an entry of the same term, in all logs.
func (c *checker) entriesWritten(entries []Entry, n *Node) {
	for _, e := range entries {
		prior, _ := n.log.term(e.Index - 1)
		content := fmt.Sprint(prior, e.Kind, e.Data, e.Members)
		at := position{e.Index, e.Term}
		if old, ok := c.written[at]; ok && old != content {
			c.fail(logMatching, "entry %v is %s and %s", at, old, content)
		}
		c.written[at] = content
	}
}

// entryCommitted checks that no other entry was committed at the same index, and that the
// entry's proposal was not reported as overwritten.
func (c *checker) entryCommitted(srv *server, e Entry) {
	if old, ok := c.committedEntries[e.Index]; ok && (old.Term != e.Term || !slices.Equal(old.Data, e.Data)) {
		c.fail(stateMachineSafety, "%s applies term %d at index %d, another applied term %d", srv.name, e.Term, e.Index, old.Term)
	}
	if e.Kind == EntryCommand && c.outcomes[binary.LittleEndian.Uint64(e.Data)] == ErrOverwritten {
		c.fail(stateMachineSafety, "proposal at index %d is committed although it was reported as overwritten", e.Index)
	}
	c.committedEntries[e.Index] = e
	c.commitIndex = max(c.commitIndex, e.Index)
	if e.Kind == EntryMembership && e.Index > c.membersIndex {
		c.members, c.membersIndex = e.Members, e.Index
	}
}

// checkOutcome checks that a proposal that was reported as committed is the entry
// committed at its index.
func (c *checker) checkOutcome(o Outcome) {
	c.outcomes[o.ID] = o.Err
	if e := c.committedEntries[o.Entry.Index]; o.Err == nil && e.Kind == EntryCommand && binary.LittleEndian.Uint64(e.Data) != o.ID {
		c.fail(stateMachineSafety, "proposal %d is reported as committed at index %d, which contains another proposal", o.ID, e.Index)
	}
}

// entryApplied checks that all state machines have the same state at the same index.
func (c *checker) entryApplied(srv *server) {
	if old, ok := c.stateHashes[srv.appliedIndex]; ok && old != srv.stateHash {
		c.fail(stateMachineSafety, "state of %s differs after index %d", srv.name, srv.appliedIndex)
	}
	c.stateHashes[srv.appliedIndex] = srv.stateHash
}

// checkRead checks that a read sees all entries that were committed before its request.
func (c *checker) checkRead(index, minIndex uint64) {
	if index < minIndex {
		c.fail(readFreshness, "read at index %d although %d was committed before", index, minIndex)
	}
}

// checkPromotion checks that a learner has synced all entries that the leader has
// committed if the leader accepts its promotion.
func (c *checker) checkPromotion(leader, learner *server, change Change, propose func()) {
	commit, last := leader.node.commit, leader.node.log.last()
	propose()
	accepted := leader.node.log.last() > last && change.Kind == ChangePromote
	if accepted && learner.disk.incarnation == change.Member.Incarnation && learner.disk.lastIndex() < commit {
		c.fail(safePromotion, "%s is promoted with %d of %d committed entries", learner.name, learner.disk.lastIndex(), commit)
	}
}

// lastIndex returns the index of the last synced entry.
func (d *disk) lastIndex() uint64 { return d.snapshot.Index + uint64(len(d.entries)) }

// canLoseDisk reports whether another disk may be lost without exceeding the supported
// faults: every server is a voter under its current incarnation and has all entries that
// were committed when a disk was last lost.
func (s *sim) canLoseDisk() bool {
	return !slices.ContainsFunc(s.names, func(name string) bool {
		d := &s.servers[name].disk
		return !s.servers[name].gone && (d.lastIndex() < s.commitAtDiskLoss || !slices.Contains(s.checker.members, Member{Name: name, Incarnation: d.incarnation}))
	})
}

// converged reports whether the group has recovered: there is one leader, every server is
// a voter, and all have applied nearly all committed entries.
func (s *sim) converged() bool {
	leaders := s.leaders()
	if len(leaders) != 1 || !s.canLoseDisk() || leaders[0].node.pendingChange() {
		return false
	}
	return !slices.ContainsFunc(s.names, func(name string) bool {
		srv := s.servers[name]
		return !srv.gone && (srv.node == nil || srv.appliedIndex+20 < s.checker.commitIndex) // followers lag by the entries in flight
	})
}
