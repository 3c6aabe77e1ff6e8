package raft

import "sort"

// conf is the membership from an index on.
type membership struct {
	index   uint64
	members []Member
}

// entryLog holds the entries after base, the newest snapshot and the memberships
// that they contain. Invariant: base <= snapshot.Index <= last().
type entryLog struct {
	snapshot    Snapshot
	baseIndex   uint64 // index before the first entry held
	baseTerm    uint64
	entries     []Entry
	stable      uint64       // entries up to here are synced
	memberships []membership // ascending; the last one is in effect
}

func newLog(snapshot Snapshot, entries []Entry) *entryLog {
	l := &entryLog{}
	l.reset(snapshot)
	l.append(entries)
	l.stable = l.last()
	return l
}

// reset drops all entries in favour of the snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.snapshot, l.baseIndex, l.baseTerm = s, s.Index, s.Term
	l.entries = nil
	l.stable = s.Index
	l.memberships = []membership{{index: s.Index, members: s.Members}}
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the log does not hold it.
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
			l.memberships = append(l.memberships, membership{index: e.Index, members: e.Members})
		}
	}
}

// truncate drops the entries from the index on. Earlier slices of entries stay
// valid, because later appends do not reuse their memory.
func (l *entryLog) truncate(from uint64) {
	n := from - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, from-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// slice returns entries from the index on, at least one and otherwise at most
// limit bytes of data.
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

// entrySize bounds the encoded size of an entry in bytes.
func entrySize(e Entry) int {
	size := 64 + len(e.Data)
	for _, m := range e.Members {
		size += 48 + len(m.Name)
	}
	return size
}

// compact records a snapshot at an applied index and drops entries before it,
// except for the newest keep entries.
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

// confAt returns the position of the membership in effect at an index.
func (l *entryLog) membershipAt(index uint64) int {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	return max(0, i-1)
}

// conflict returns the largest index up to the given one whose term is at most
// the given term. It tells where two logs may still agree.
func (l *entryLog) findConflict(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.baseIndex, l.baseTerm
}

// newer reports whether a log that ends in the given entry is at least as up to
// date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || (term == lastTerm && index >= l.last())
}
