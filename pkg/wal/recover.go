package wal

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Recovered is the content of a directory. Entries follow the snapshot without a gap.
type Recovered struct {
	State    wire.RaftState
	Snapshot wire.RaftSnapshot // zero if there is none
	Entries  []wire.RaftEntry
}

// replayer reconstructs the log from records.
type replayer struct {
	newestSnapshotIndex uint64 // index of the newest snapshot
	base                uint64 // index before the first entry
	entries             []wire.RaftEntry
	snapshot            snapshotPosition
	state               wire.RaftState
}

// Recover reads the directory, truncates a frame torn by a crash, and opens the log for
// writing. It must be called once, before the first write.
func (l *Log) Recover() (Recovered, error) {
	if l.failure != nil {
		return Recovered{}, l.failure
	}
	if l.recovered {
		return Recovered{}, fmt.Errorf("%w: Recover was already called", ErrOutOfOrder)
	}
	snapshot, numbers, err := l.scanDirectory()
	if err != nil {
		return Recovered{}, err
	}
	r := &replayer{newestSnapshotIndex: snapshot.Index}
	l.segments = l.segments[:0]
	for i, number := range numbers {
		seg, err := l.readSegment(number, i == len(numbers)-1, r)
		if err != nil {
			return Recovered{}, err
		}
		if seg != nil {
			l.segments = append(l.segments, *seg)
		}
	}
	if r.snapshot.Index > snapshot.Index {
		return Recovered{}, &CorruptError{
			File: l.path(snapshotName(r.snapshot.Index)), Reason: "snapshot is missing, but the log refers to it",
		}
	}
	l.snapshot, l.state = snapshotPosition{Index: snapshot.Index, Term: snapshot.Term}, r.state
	// The process may have crashed after writing the snapshot and before writing the
	// segment that refers to it. In that case all entries after the previous snapshot are
	// still stored, so they show whether the log conflicts with the snapshot.
	reset := r.snapshot.Index < snapshot.Index && !r.containsLastEntry(l.snapshot)
	r.discardThrough(snapshotPosition{Index: snapshot.Index, Reset: reset})
	l.base, l.terms = r.base, nil
	for _, e := range r.entries {
		l.terms = append(l.terms, e.Term)
	}
	// The new segment records the position of the snapshot. It also avoids appending to a
	// truncated file.
	if err := l.recordFailure(l.startSegment(reset)); err != nil {
		return Recovered{}, err
	}
	l.recovered = true
	return Recovered{State: r.state, Snapshot: snapshot, Entries: r.entries}, nil
}

// scanDirectory removes temporary files and superseded snapshots that a crash left
// behind. It returns the newest snapshot and the numbers of the segments.
func (l *Log) scanDirectory() (wire.RaftSnapshot, []uint64, error) {
	var snapshot wire.RaftSnapshot
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return snapshot, nil, fmt.Errorf("close segment: %w", err)
		}
		l.file = nil
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return snapshot, nil, fmt.Errorf("read data directory: %w", err)
	}
	var snapshots, segments []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return snapshot, nil, fmt.Errorf("remove temporary file: %w", err)
			}
		}
		if n, ok := parseNumber(name, snapshotPrefix); ok {
			snapshots = append(snapshots, n)
		}
		if n, ok := parseNumber(name, segmentPrefix); ok {
			segments = append(segments, n)
		}
	}
	if len(segments) == 0 {
		return snapshot, nil, &CorruptError{File: l.path(segmentName(1)), Reason: "directory contains no segment"}
	}
	for i := 1; i < len(segments); i++ {
		if segments[i] != segments[i-1]+1 {
			return snapshot, nil, &CorruptError{File: l.path(segmentName(segments[i-1] + 1)), Reason: "segment is missing"}
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

// readSegment replays one segment. If a crash left the last segment without its first
// record, readSegment removes the segment and returns nil.
func (l *Log) readSegment(number uint64, isNewest bool, r *replayer) (*segment, error) {
	name := l.path(segmentName(number))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read segment: %w", err)
	}
	hasHeader, err := checkFileHeader(name, data)
	if err != nil {
		return nil, err
	}
	if !hasHeader && !isNewest {
		return nil, &CorruptError{File: name, Reason: "no valid file header"}
	}
	s := &segment{number: number}
	offset := fileHeaderBytes
	for hasHeader && offset < len(data) {
		payload, end, state := readFrame(data, offset)
		if state != frameValid {
			if !isNewest || !tornByCrash(data, offset, end, state) {
				return nil, &CorruptError{File: name, Offset: int64(offset), Reason: "checksum mismatch"}
			}
			break
		}
		if err := r.addRecord(payload, s); err != nil {
			return nil, &CorruptError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset = end
	}
	switch {
	case !isNewest:
		return s, nil
	case !hasHeader || offset < len(data) || offset == fileHeaderBytes:
		return l.repairTail(name, s, hasHeader, offset)
	}
	// A killed process may have written the last records without syncing them. The caller
	// relies on the recovered records, so they must be durable.
	if err := l.fs.SyncFile(name); err != nil {
		return nil, fmt.Errorf("sync segment: %w", err)
	}
	return s, nil
}

// repairTail removes the torn end of the newest segment, or the whole segment if its first
// record is torn.
func (l *Log) repairTail(name string, s *segment, hasHeader bool, offset int) (*segment, error) {
	if !hasHeader || offset == fileHeaderBytes {
		if len(l.segments) == 0 {
			// The first segment was synced before the identity was written.
			return nil, &CorruptError{File: name, Reason: "the only segment has no valid first record"}
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

// addRecord replays one record of a segment.
func (r *replayer) addRecord(payload []byte, s *segment) error {
	var rec record
	if err := cbor.Unmarshal(payload, &rec); err != nil {
		return err
	}
	if rec.Snapshot != nil {
		r.snapshot = *rec.Snapshot
		r.discardThrough(*rec.Snapshot)
	}
	if rec.State != nil {
		r.state = *rec.State
	}
	for _, e := range rec.Entries {
		s.lastIndex = max(s.lastIndex, e.Index)
		if err := r.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// containsLastEntry reports whether the log contains the last entry that a snapshot covers.
func (r *replayer) containsLastEntry(position snapshotPosition) bool {
	return position.Index > r.base && position.Index <= r.base+uint64(len(r.entries)) &&
		r.entries[position.Index-r.base-1].Term == position.Term
}

// discardThrough discards the entries up to a snapshot, or all entries if the log conflicted
// with the snapshot.
func (r *replayer) discardThrough(position snapshotPosition) {
	last := r.base + uint64(len(r.entries))
	switch {
	case position.Reset || position.Index > last:
		r.entries, r.base = nil, position.Index
	case position.Index > r.base:
		r.entries, r.base = r.entries[position.Index-r.base:], position.Index
	}
}

// addEntry replays one log entry.
func (r *replayer) addEntry(e wire.RaftEntry) error {
	last := r.base + uint64(len(r.entries))
	switch {
	case e.Index <= r.base:
		// Covered by a snapshot.
	case e.Index <= last+1:
		r.entries = append(r.entries[:e.Index-r.base-1], e)
	case e.Index <= r.newestSnapshotIndex+1:
		// The entries before e were in deleted segments.
		r.entries, r.base = []wire.RaftEntry{e}, e.Index-1
	default:
		return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, last)
	}
	return nil
}
