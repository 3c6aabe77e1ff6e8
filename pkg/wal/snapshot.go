package wal

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// SaveSnapshot writes a snapshot to a temporary file, syncs the file and renames it. It
// then deletes the previous snapshot and the segments that are no longer needed.
func (l *Log) SaveSnapshot(s wire.RaftSnapshot) error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if s.Index <= l.snapshot.Index {
		return fmt.Errorf("%w: snapshot at index %d is not newer than the snapshot at index %d", ErrOutOfOrder, s.Index, l.snapshot.Index)
	}
	data, err := appendFrame(fileHeader(), s)
	if err != nil {
		return err
	}
	if err := l.recordFailure(l.writeSnapshot(snapshotName(s.Index), data)); err != nil {
		return err
	}
	old := l.snapshot
	l.snapshot = snapshotPosition{Index: s.Index, Term: s.Term}
	if err := l.recordFailure(l.startSegment(l.discardCovered(l.snapshot))); err != nil {
		return err
	}
	return l.recordFailure(l.deleteObsolete(old))
}

func (l *Log) writeSnapshot(name string, data []byte) error {
	temporary := l.path(name + temporarySuffix)
	if err := l.fs.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("write snapshot: %w", err)
	}
	file, err := l.fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	return l.syncAndRename(file, temporary, l.path(name))
}

// deleteObsolete deletes the previous snapshot and the oldest segments whose entries the
// newest snapshot covers.
func (l *Log) deleteObsolete(old snapshotPosition) error {
	if old.Index > 0 {
		if err := l.fs.Remove(l.path(snapshotName(old.Index))); err != nil {
			return fmt.Errorf("delete old snapshot: %w", err)
		}
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshot.Index {
		if err := l.fs.Remove(l.path(segmentName(l.segments[0].number))); err != nil {
			return fmt.Errorf("delete old segment: %w", err)
		}
		l.segments = l.segments[1:]
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return fmt.Errorf("sync %s: %w", l.dir, err)
	}
	return nil
}

// readSnapshot reads a snapshot. Snapshots are synced before they are renamed, so a crash
// cannot damage them and any damage is an error.
func (l *Log) readSnapshot(index uint64) (wire.RaftSnapshot, error) {
	var s wire.RaftSnapshot
	name := l.path(snapshotName(index))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return s, fmt.Errorf("read snapshot: %w", err)
	}
	if ok, err := checkFileHeader(name, data); err != nil || !ok {
		return s, errors.Join(err, &CorruptError{File: name, Reason: "no valid file header"})
	}
	payload, end, state := readFrame(data, fileHeaderBytes)
	if state != frameValid || end != len(data) {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: "checksum or length mismatch"}
	}
	if err := cbor.Unmarshal(payload, &s); err != nil {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: err.Error()}
	}
	if s.Index != index {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: "index in the file differs from the file name"}
	}
	return s, nil
}
