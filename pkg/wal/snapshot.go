package wal

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"github.com/jaystage/jaystage/pkg/wire"
)

// SaveSnapshot stores a snapshot beside the older one, syncs it and gives it its
// name. It then deletes the segments and snapshots that are no longer needed.
func (l *Log) SaveSnapshot(s wire.RaftSnapshot) error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if s.Index <= l.snapshot.Index {
		return fmt.Errorf("%w: snapshot at index %d after one at %d", ErrOutOfOrder, s.Index, l.snapshot.Index)
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

// deleteObsolete deletes the snapshot before the newest one and the oldest segments whose
// entries the newest one includes.
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

// readSnapshot reads a snapshot. It was synced before it got its name, so damage is
// never the result of a crash.
func (l *Log) readSnapshot(index uint64) (wire.RaftSnapshot, error) {
	var s wire.RaftSnapshot
	name := l.path(snapshotName(index))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return s, fmt.Errorf("read snapshot: %w", err)
	}
	if ok, err := checkFileHeader(name, data); err != nil || !ok {
		return s, errors.Join(err, &CorruptError{File: name, Reason: "no valid head"})
	}
	payload, end, state := readFrame(data, fileHeaderBytes)
	if state != frameValid || end != len(data) {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: "bad checksum or length"}
	}
	if err := cbor.Unmarshal(payload, &s); err != nil {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: err.Error()}
	}
	if s.Index != index {
		return s, &CorruptError{File: name, Offset: int64(fileHeaderBytes), Reason: "holds another index"}
	}
	return s, nil
}
