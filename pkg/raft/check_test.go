package raft

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// Names of the properties.
const (
	electionSafety = "election safety"
	logMatching    = "log matching"
	keptEntries    = "committed entries kept"
	leaseReads     = "leader reads never stale"
	machineSafety  = "state machine safety"
	safePromotion  = "promotion after catching up"
	progressMade   = "progress after faults"
)

// checker observes a simulation and keeps the first violation.
type checker struct {
	only      string // the property to watch; empty for all
	property  string
	violation string
	highest   uint64           // highest index committed anywhere
	entries   map[uint64]Entry // committed, by index
	chains    map[uint64]uint64
	leaders   map[uint64]Member
	seen      map[position]string // entries written anywhere, with the term before them
	outcomes  map[uint64]error    // what was reported of proposals, by id
	members   []Member            // newest committed membership
	memberAt  uint64
}

func newChecker() *checker {
	return &checker{
		entries: map[uint64]Entry{}, chains: map[uint64]uint64{},
		leaders: map[uint64]Member{}, outcomes: map[uint64]error{}, seen: map[position]string{},
	}
}

func (c *checker) fail(property, format string, args ...any) {
	if c.violation == "" && (c.only == "" || c.only == property) {
		c.property, c.violation = property, fmt.Sprintf(format, args...)
	}
}

// leader checks that a term has one leader and that it holds everything committed.
func (c *checker) leader(srv *server) {
	n := srv.node
	if n.role != Leader {
		return
	}
	me := Member{Name: n.name, Incarnation: n.incarnation}
	old, ok := c.leaders[n.term]
	if ok && old == me {
		return
	}
	if ok {
		c.fail(electionSafety, "term %d has leaders %v and %v", n.term, old, me)
	}
	c.leaders[n.term] = me
	for i := n.log.base + 1; i <= c.highest; i++ {
		if term, ok := n.log.term(i); (!ok || term != c.entries[i].Term) && n.term > c.entries[i].Term {
			c.fail(keptEntries, "leader %s of term %d lacks committed entry %d", n.name, n.term, i)
			return
		}
	}
}

// written checks that an entry is the same, and follows the same entry, in all logs.
func (c *checker) written(entries []Entry, n *Node) {
	for _, e := range entries {
		prior, _ := n.log.term(e.Index - 1)
		content := fmt.Sprint(prior, e.Kind, e.Data, e.Members)
		at := position{e.Index, e.Term}
		if old, ok := c.seen[at]; ok && old != content {
			c.fail(logMatching, "entry %v is %s and %s", at, old, content)
		}
		c.seen[at] = content
	}
}

// committed checks that no other entry was ever committed at the index.
func (c *checker) committed(srv *server, e Entry) {
	if old, ok := c.entries[e.Index]; ok && (old.Term != e.Term || !slices.Equal(old.Data, e.Data)) {
		c.fail(machineSafety, "%s applies term %d at index %d, another applied term %d", srv.name, e.Term, e.Index, old.Term)
	}
	if e.Kind == EntryCommand && c.outcomes[binary.LittleEndian.Uint64(e.Data)] == ErrLost {
		c.fail(machineSafety, "proposal at index %d is committed although it was reported lost", e.Index)
	}
	c.entries[e.Index] = e
	c.highest = max(c.highest, e.Index)
	if e.Kind == EntryMembership && e.Index > c.memberAt {
		c.members, c.memberAt = e.Members, e.Index
	}
}

// outcome checks that a proposal which is reported done is the one at its place.
func (c *checker) outcome(o Outcome) {
	c.outcomes[o.ID] = o.Err
	if e := c.entries[o.Entry.Index]; o.Err == nil && e.Kind == EntryCommand && binary.LittleEndian.Uint64(e.Data) != o.ID {
		c.fail(machineSafety, "proposal %d is reported done at index %d, which holds another", o.ID, e.Index)
	}
}

// applied checks that all state machines pass through the same states.
func (c *checker) applied(srv *server) {
	if old, ok := c.chains[srv.index]; ok && old != srv.chain {
		c.fail(machineSafety, "%s differs after index %d", srv.name, srv.index)
	}
	c.chains[srv.index] = srv.chain
}

// read checks that a read sees everything committed before it was asked for.
func (c *checker) read(index, floor uint64) {
	if index < floor {
		c.fail(leaseReads, "read at index %d although %d was committed before", index, floor)
	}
}

// promotion checks that a learner whose promotion the leader accepts holds, synced,
// everything that the leader has committed.
func (c *checker) promotion(leader, learner *server, change Change, propose func()) {
	commit, last := leader.node.commit, leader.node.log.last()
	propose()
	accepted := leader.node.log.last() > last && change.Kind == ChangePromote
	if accepted && learner.disk.incarnation == change.Member.Incarnation && learner.disk.last() < commit {
		c.fail(safePromotion, "%s is promoted with %d of %d committed entries", learner.name, learner.disk.last(), commit)
	}
}

// last is the index of the last synced entry.
func (d *disk) last() uint64 { return d.snapshot.Index + uint64(len(d.entries)) }

// whole reports whether every server is a voter under its present incarnation and
// holds what was committed when a disk was last lost; only then may another be lost.
func (s *sim) whole() bool {
	return !slices.ContainsFunc(s.names, func(name string) bool {
		d := &s.servers[name].disk
		return d.last() < s.floor || !slices.Contains(s.check.members, Member{Name: name, Incarnation: d.incarnation})
	})
}

// converged reports whether all servers applied the same entries under one leader.
func (s *sim) converged() bool {
	leaders := s.leaders()
	if len(leaders) != 1 || !s.whole() || leaders[0].node.pendingChange() {
		return false
	}
	return !slices.ContainsFunc(s.names, func(name string) bool {
		srv := s.servers[name]
		return srv.node == nil || srv.index+20 < s.check.highest // followers lag by what is in flight
	})
}
