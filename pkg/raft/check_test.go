package raft

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// Names of the properties.
const (
	electionSafety      = "election safety"
	logMatching         = "log matching"
	leaderCompleteness  = "committed entries kept"
	readFreshness       = "leader reads never stale"
	stateMachineSafety  = "state machine safety"
	safePromotion       = "promotion after catching up"
	livenessAfterFaults = "progress after faults"
)

// checker observes a simulation and keeps the first violation.
type checker struct {
	watchedProperty  string // the property to watch; empty for all
	property         string
	violation        string
	commitIndex      uint64           // highest index committed anywhere
	committedEntries map[uint64]Entry // committed, by index
	stateHashes      map[uint64]uint64
	leaders          map[uint64]Member
	written          map[position]string // entries written anywhere, with the term before them
	outcomes         map[uint64]error    // what was reported of proposals, by id
	members          []Member            // newest committed membership
	membersIndex     uint64
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

// leader checks that a term has one leader and that it holds everything committed.
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

// written checks that an entry is the same, and follows the same entry, in all logs.
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

// committed checks that no other entry was ever committed at the index.
func (c *checker) entryCommitted(srv *server, e Entry) {
	if old, ok := c.committedEntries[e.Index]; ok && (old.Term != e.Term || !slices.Equal(old.Data, e.Data)) {
		c.fail(stateMachineSafety, "%s applies term %d at index %d, another applied term %d", srv.name, e.Term, e.Index, old.Term)
	}
	if e.Kind == EntryCommand && c.outcomes[binary.LittleEndian.Uint64(e.Data)] == ErrOverwritten {
		c.fail(stateMachineSafety, "proposal at index %d is committed although it was reported lost", e.Index)
	}
	c.committedEntries[e.Index] = e
	c.commitIndex = max(c.commitIndex, e.Index)
	if e.Kind == EntryMembership && e.Index > c.membersIndex {
		c.members, c.membersIndex = e.Members, e.Index
	}
}

// outcome checks that a proposal which is reported done is the one at its place.
func (c *checker) checkOutcome(o Outcome) {
	c.outcomes[o.ID] = o.Err
	if e := c.committedEntries[o.Entry.Index]; o.Err == nil && e.Kind == EntryCommand && binary.LittleEndian.Uint64(e.Data) != o.ID {
		c.fail(stateMachineSafety, "proposal %d is reported done at index %d, which holds another", o.ID, e.Index)
	}
}

// applied checks that all state machines pass through the same states.
func (c *checker) entryApplied(srv *server) {
	if old, ok := c.stateHashes[srv.appliedIndex]; ok && old != srv.stateHash {
		c.fail(stateMachineSafety, "%s differs after index %d", srv.name, srv.appliedIndex)
	}
	c.stateHashes[srv.appliedIndex] = srv.stateHash
}

// read checks that a read sees everything committed before it was asked for.
func (c *checker) checkRead(index, minIndex uint64) {
	if index < minIndex {
		c.fail(readFreshness, "read at index %d although %d was committed before", index, minIndex)
	}
}

// promotion checks that a learner whose promotion the leader accepts holds, synced,
// everything that the leader has committed.
func (c *checker) checkPromotion(leader, learner *server, change Change, propose func()) {
	commit, last := leader.node.commit, leader.node.log.last()
	propose()
	accepted := leader.node.log.last() > last && change.Kind == ChangePromote
	if accepted && learner.disk.incarnation == change.Member.Incarnation && learner.disk.lastIndex() < commit {
		c.fail(safePromotion, "%s is promoted with %d of %d committed entries", learner.name, learner.disk.lastIndex(), commit)
	}
}

// last is the index of the last synced entry.
func (d *disk) lastIndex() uint64 { return d.snapshot.Index + uint64(len(d.entries)) }

// whole reports whether every server is a voter under its present incarnation and
// holds what was committed when a disk was last lost; only then may another be lost.
func (s *sim) canLoseDisk() bool {
	return !slices.ContainsFunc(s.names, func(name string) bool {
		d := &s.servers[name].disk
		return d.lastIndex() < s.commitAtDiskLoss || !slices.Contains(s.checker.members, Member{Name: name, Incarnation: d.incarnation})
	})
}

// converged reports whether all servers applied the same entries under one leader.
func (s *sim) converged() bool {
	leaders := s.leaders()
	if len(leaders) != 1 || !s.canLoseDisk() || leaders[0].node.pendingChange() {
		return false
	}
	return !slices.ContainsFunc(s.names, func(name string) bool {
		srv := s.servers[name]
		return srv.node == nil || srv.appliedIndex+20 < s.checker.commitIndex // followers lag by what is in flight
	})
}
