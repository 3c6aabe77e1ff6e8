package raft

import (
	"slices"
	"sort"
)

// membership is the list of members in effect from an index on.
type membership struct {
	index   uint64
	members []Member // sorted by name
	voters  []Member // those of members that are no learners
	halves  bool     // half of an even number of voters may decide, see quorums
}

func newMembership(index uint64, members []Member, halves bool) membership {
	voters := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Learner })
	return membership{index: index, members: members, voters: voters, halves: halves}
}

// entryLog contains the newest snapshot, the entries after baseIndex, and the memberships in
// effect at the snapshot and later. Invariant: baseIndex <= snapshot.Index <= last().
type entryLog struct {
	snapshot    Snapshot
	baseIndex   uint64 // index before the first entry in entries
	baseTerm    uint64
	entries     []Entry
	stable      uint64       // entries up to here are synced
	memberships []membership // in ascending order of index; the last one is in effect
}

func newLog(snapshot Snapshot, entries []Entry) *entryLog {
	l := &entryLog{}
	l.reset(snapshot)
	l.append(entries)
	l.stable = l.last()
	return l
}

// reset replaces the log, including all entries, by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.snapshot, l.baseIndex, l.baseTerm = s, s.Index, s.Term
	l.entries = nil
	l.stable = s.Index
	l.memberships = []membership{newMembership(s.Index, s.Members, s.Halves)}
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not have it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryMembership {
			l.memberships = append(l.memberships, newMembership(e.Index, e.Members, e.Halves))
		}
	}
}

// truncate removes the entries from an index on. Slices of entries that were returned
// before stay valid, because later appends do not reuse their memory.
func (l *entryLog) truncate(from uint64) {
	n := from - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, from-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// slice returns entries from an index on, up to limit bytes but at least one entry. It
// returns nil if the log does not have the first one. Callers that need all entries pass
// a limit of 1<<62.
func (l *entryLog) slice(from uint64, limit int) []Entry {
	if from <= l.baseIndex || from > l.last() {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1:]
	size := 0
	for i := range entries {
		size += entrySize(entries[i])
		if i > 0 && size > limit {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// entrySize returns an upper bound of the encoded size of an entry in bytes.
func entrySize(e Entry) int {
	size := 64 + len(e.Data)
	for _, m := range e.Members {
		size += 48 + len(m.Name)
	}
	return size
}

// compact sets the snapshot, which is at an applied index, and removes the entries up to
// it except for the last keep ones.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	base := uint64(0)
	if s.Index > keep {
		base = s.Index - keep
	}
	if base > l.baseIndex {
		term, _ := l.term(base)
		l.entries = append([]Entry(nil), l.entries[base-l.baseIndex:]...)
		l.baseIndex, l.baseTerm = base, term
	}
	l.memberships = l.memberships[l.membershipAt(s.Index):]
}

// membershipAt returns the position in memberships of the one in effect at a log index.
func (l *entryLog) membershipAt(index uint64) int {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	return max(0, i-1)
}

// findConflict returns the index and term of the last entry up to index whose term is at
// most term, or the base if there is none. It is the last position at which a log that has
// an entry with the given index and term may match this log.
func (l *entryLog) findConflict(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// isUpToDate reports whether a log whose last entry has the given index and term is at
// least as up-to-date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.last())
}
