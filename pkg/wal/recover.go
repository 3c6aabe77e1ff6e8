package wal

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Recovered is what a folder holds. Entries follow the snapshot without a gap.
type Recovered struct {
	State    wire.RaftState
	Snapshot wire.RaftSnapshot // zero if there is none
	Entries  []wire.RaftEntry
}

// replay rebuilds the log from records.
type replay struct {
	limit   uint64 // index of the newest snapshot
	base    uint64 // index before the first entry
	entries []wire.RaftEntry
	mark    position
	state   wire.RaftState
}

// Recover reads the folder, truncates a frame that a crash left torn, and opens the
// log for writing. It is called once, before the first write.
func (l *Log) Recover() (Recovered, error) {
	if l.failure != nil {
		return Recovered{}, l.failure
	}
	if l.recovered {
		return Recovered{}, fmt.Errorf("%w: Recover was called before", ErrOrder)
	}
	snapshot, numbers, err := l.scan()
	if err != nil {
		return Recovered{}, err
	}
	r := &replay{limit: snapshot.Index}
	l.segments = l.segments[:0]
	for i, number := range numbers {
		last, err := l.readSegment(number, i == len(numbers)-1, r)
		if err != nil {
			return Recovered{}, err
		}
		if last != nil {
			l.segments = append(l.segments, *last)
		}
	}
	if r.mark.Index > snapshot.Index {
		return Recovered{}, &CorruptError{
			File: l.path(snapshotName(r.mark.Index)), Reason: "missing, but the log refers to it",
		}
	}
	l.mark, l.state = position{Index: snapshot.Index, Term: snapshot.Term}, r.state
	// A crash may have come between the snapshot and the segment that refers to it.
	// No entry after the snapshot before it was deleted then.
	reset := r.mark.Index < snapshot.Index && !r.agrees(l.mark)
	r.setMark(position{Index: snapshot.Index, Reset: reset})
	l.base, l.terms = r.base, nil
	for _, e := range r.entries {
		l.terms = append(l.terms, e.Term)
	}
	// A new segment records the mark, and keeps appends away from a truncated file.
	if err := l.fail(l.cut(reset)); err != nil {
		return Recovered{}, err
	}
	l.recovered = true
	return Recovered{State: r.state, Snapshot: snapshot, Entries: r.entries}, nil
}

// scan removes what a crash left behind and returns the newest snapshot and the
// numbers of the segments.
func (l *Log) scan() (wire.RaftSnapshot, []uint64, error) {
	var snapshot wire.RaftSnapshot
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return snapshot, nil, fmt.Errorf("close segment: %w", err)
		}
		l.file = nil
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return snapshot, nil, fmt.Errorf("read data folder: %w", err)
	}
	var snapshots, segments []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return snapshot, nil, fmt.Errorf("remove unfinished file: %w", err)
			}
		}
		if n, ok := number(name, snapshotPrefix); ok {
			snapshots = append(snapshots, n)
		}
		if n, ok := number(name, segmentPrefix); ok {
			segments = append(segments, n)
		}
	}
	if len(segments) == 0 {
		return snapshot, nil, &CorruptError{File: l.path(segmentName(1)), Reason: "no segment in the folder"}
	}
	for i := 1; i < len(segments); i++ {
		if segments[i] != segments[i-1]+1 {
			return snapshot, nil, &CorruptError{File: l.path(segmentName(segments[i-1] + 1)), Reason: "missing"}
		}
	}
	if len(snapshots) == 0 {
		return snapshot, segments, nil
	}
	newest := snapshots[len(snapshots)-1]
	if snapshot, err = l.readSnapshot(newest); err != nil {
		return snapshot, nil, err
	}
	for _, index := range snapshots[:len(snapshots)-1] {
		if err := l.fs.Remove(l.path(snapshotName(index))); err != nil {
			return snapshot, nil, fmt.Errorf("delete old snapshot: %w", err)
		}
	}
	return snapshot, segments, nil
}

// readSegment replays one segment. It returns nil for a last segment that a crash
// left without its first record, which it removes.
func (l *Log) readSegment(number uint64, newest bool, r *replay) (*segment, error) {
	name := l.path(segmentName(number))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read segment: %w", err)
	}
	whole, err := checkHead(name, data)
	if err != nil {
		return nil, err
	}
	if !whole && !newest {
		return nil, &CorruptError{File: name, Reason: "no valid head"}
	}
	s := &segment{number: number}
	offset := headBytes
	for whole && offset < len(data) {
		payload, end, state := nextFrame(data, offset)
		if state != frameWhole {
			if !newest || !tornAt(data, offset, end, state) {
				return nil, &CorruptError{File: name, Offset: int64(offset), Reason: "bad checksum"}
			}
			break
		}
		if err := r.add(payload, s); err != nil {
			return nil, &CorruptError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset = end
	}
	switch {
	case !newest:
		return s, nil
	case !whole || offset < len(data) || offset == headBytes:
		return l.repair(name, s, whole, offset)
	}
	// A killed process may have written the last records without a sync. Whoever reads
	// them relies on them.
	if err := l.fs.SyncFile(name); err != nil {
		return nil, fmt.Errorf("sync segment: %w", err)
	}
	return s, nil
}

// repair removes what a crash left torn at the end of the newest segment.
func (l *Log) repair(name string, s *segment, whole bool, offset int) (*segment, error) {
	if !whole || offset == headBytes {
		if len(l.segments) == 0 {
			// The first segment was synced before the identity was written.
			return nil, &CorruptError{File: name, Reason: "the only segment is not whole"}
		}
		if err := l.fs.Remove(name); err != nil {
			return nil, fmt.Errorf("remove torn segment: %w", err)
		}
		return nil, nil
	}
	if err := l.fs.Truncate(name, int64(offset)); err != nil {
		return nil, fmt.Errorf("truncate torn segment: %w", err)
	}
	return s, nil
}

// add replays one record.
func (r *replay) add(payload []byte, s *segment) error {
	var rec record
	if err := cbor.Unmarshal(payload, &rec); err != nil {
		return err
	}
	if rec.Mark != nil {
		r.mark = *rec.Mark
		r.setMark(*rec.Mark)
	}
	if rec.State != nil {
		r.state = *rec.State
	}
	for _, e := range rec.Entries {
		s.last = max(s.last, e.Index)
		if err := r.entry(e); err != nil {
			return err
		}
	}
	return nil
}

// agrees reports whether the log holds the last entry of a snapshot.
func (r *replay) agrees(m position) bool {
	return m.Index > r.base && m.Index <= r.base+uint64(len(r.entries)) &&
		r.entries[m.Index-r.base-1].Term == m.Term
}

// setMark drops the entries up to a snapshot, or all if the log disagreed with it.
func (r *replay) setMark(m position) {
	last := r.base + uint64(len(r.entries))
	switch {
	case m.Reset || m.Index > last:
		r.entries, r.base = nil, m.Index
	case m.Index > r.base:
		r.entries, r.base = r.entries[m.Index-r.base:], m.Index
	}
}

// entry replays one entry.
func (r *replay) entry(e wire.RaftEntry) error {
	last := r.base + uint64(len(r.entries))
	switch {
	case e.Index <= r.base:
		// Covered by a snapshot.
	case e.Index <= last+1:
		r.entries = append(r.entries[:e.Index-r.base-1], e)
	case e.Index <= r.limit+1:
		// The entries before it were in deleted segments.
		r.entries, r.base = []wire.RaftEntry{e}, e.Index-1
	default:
		return fmt.Errorf("entry %d follows entry %d", e.Index, last)
	}
	return nil
}
