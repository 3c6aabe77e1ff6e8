package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Identity identifies the voter whose log and votes a directory holds.
type Identity struct {
	Name        string // name of the voter in the settings
	Group       string // empty until the voter joins a group
	Incarnation uint64 // random, generated when the directory is initialized
}

// identityFile is the content of the identity file.
type identityFile struct {
	Format      uint64 `json:"format"`
	Name        string `json:"name"`
	Group       string `json:"group"`
	Incarnation uint64 `json:"incarnation"`
	Stamp       string `json:"stamp"` // file id of the identity file
	Checksum    uint32 `json:"checksum"`
}

func (f identityFile) computeChecksum() uint32 {
	text := fmt.Sprintf("%d\n%s\n%s\n%d\n%s", f.Format, f.Name, f.Group, f.Incarnation, f.Stamp)
	return crc32.Checksum([]byte(text), castagnoliTable)
}

// readIdentity reads and checks the identity file. It returns false if the directory has
// no identity and no records.
func (l *Log) readIdentity() (bool, error) {
	path := l.path(identityName)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, l.checkNoRecords()
	}
	if err != nil {
		return false, fmt.Errorf("read identity: %w", err)
	}
	var f identityFile
	if err := json.Unmarshal(data, &f); err != nil {
		return false, &CorruptError{File: path, Reason: err.Error()}
	}
	if err := checkFormat(path, f.Format); err != nil {
		return false, err
	}
	if f.computeChecksum() != f.Checksum {
		return false, &CorruptError{File: path, Reason: "checksum mismatch"}
	}
	if f.Name != l.opts.Name {
		return false, fmt.Errorf("%w: %s belongs to voter %q, not to %q; configure the data directory of %q",
			ErrForeign, l.dir, f.Name, l.opts.Name, l.opts.Name)
	}
	fileID, err := l.fs.FileID(path)
	if err != nil {
		return false, fmt.Errorf("read identity: %w", err)
	}
	if fileID != f.Stamp {
		return false, fmt.Errorf("%w: %s; empty the directory so that the voter rejoins as a learner",
			ErrCopied, l.dir)
	}
	l.identity = Identity{Name: f.Name, Group: f.Group, Incarnation: f.Incarnation}
	return true, nil
}

// checkNoRecords returns an error if a directory without an identity file holds records
// of a voter. The first segment is allowed: a crash during the first start may leave
// it.
func (l *Log) checkNoRecords() error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return fmt.Errorf("read data directory: %w", err)
	}
	for _, name := range names {
		isRecordFile := strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if isRecordFile && name != segmentName(1) {
			return &CorruptError{File: l.path(identityName), Reason: "file is missing, but the directory contains " + name}
		}
	}
	return nil
}

// createIdentity initializes an empty directory for a new incarnation. It writes the
// identity last, so that a directory with an identity always has a segment.
func (l *Log) createIdentity() error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return fmt.Errorf("read data directory: %w", err)
	}
	if slices.Contains(names, segmentName(1)) {
		if err := l.fs.Remove(l.path(segmentName(1))); err != nil {
			return fmt.Errorf("remove unused segment: %w", err)
		}
	}
	if err := l.startSegment(false); err != nil {
		return err
	}
	var b [8]byte
	if _, err := io.ReadFull(l.opts.Random, b[:]); err != nil {
		return fmt.Errorf("generate incarnation: %w", err)
	}
	// In messages, zero means that the incarnation is unknown.
	l.identity = Identity{Name: l.opts.Name, Incarnation: max(1, binary.LittleEndian.Uint64(b[:]))}
	return l.writeIdentity()
}

// SetGroup stores the group of the voter, which cannot be changed later. It returns
// after the change is synced.
func (l *Log) SetGroup(group string) error {
	if l.failure != nil {
		return l.failure
	}
	if l.identity.Group == group {
		return nil
	}
	if l.identity.Group != "" {
		return fmt.Errorf("%w: %s belongs to group %s, not to %s", ErrForeign, l.dir, l.identity.Group, group)
	}
	l.identity.Group = group
	return l.recordFailure(l.writeIdentity())
}

func (l *Log) writeIdentity() error {
	temporary := l.path(identityName + temporarySuffix)
	if err := l.fs.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("write identity: %w", err)
	}
	file, err := l.fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	defer file.Close()
	// Renaming the temporary file keeps its file id.
	fileID, err := l.fs.FileID(temporary)
	if err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	f := identityFile{
		Format: Format, Name: l.identity.Name, Group: l.identity.Group,
		Incarnation: l.identity.Incarnation, Stamp: fileID,
	}
	f.Checksum = f.computeChecksum()
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	if _, err := file.Write(append(data, '\n')); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return l.syncAndRename(file, temporary, filepath.Join(l.dir, identityName))
}

// syncAndRename syncs a temporary file, renames it and syncs the directory.
func (l *Log) syncAndRename(file File, temporary, name string) error {
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", temporary, err)
	}
	if err := l.fs.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return fmt.Errorf("sync %s: %w", l.dir, err)
	}
	return nil
}
