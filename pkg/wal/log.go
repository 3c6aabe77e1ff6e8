package wal

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	identityName    = "identity"
	lockName        = "lock"
	segmentPrefix   = "segment-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"

	// DefaultSegmentBytes is the size from which on Save starts a new segment.
	DefaultSegmentBytes = 16 << 20
)

// Errors for which a directory or a call is refused.
var (
	ErrLocked      = errors.New("wal: data directory is in use")
	ErrForeign     = errors.New("wal: data directory belongs to another voter or group")
	ErrCopied      = errors.New("wal: data directory was copied or restored, so its votes and log may be outdated")
	ErrNewerFormat = errors.New("wal: data directory was written by a newer program")
	ErrClosed      = errors.New("wal: log is closed")
	ErrOutOfOrder  = errors.New("wal: call out of order")
	ErrDurability  = errors.New("wal: a write failed and the log is permanently closed; restart the process")
)

// CorruptError reports damaged data and its location. The operator must empty the
// directory so that the voter rejoins as a learner.
type CorruptError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s; "+
		"empty the data directory so that the voter rejoins as a learner", e.File, e.Offset, e.Reason)
}

// Options configures a log. A zero SegmentBytes or FS selects the default; Name is
// required.
type Options struct {
	Name         string // name of the voter in the settings
	SegmentBytes int64
	FS           FS
	Random       io.Reader // source of the incarnation; nil selects crypto/rand
}

// Log is the open directory of one voter. It is not safe for concurrent use.
type Log struct {
	dir      string
	opts     Options
	fs       FS
	lock     io.Closer
	identity Identity
	failure  error // set once, by a write error or Close; later writes return it

	file        File // newest segment, open for writing
	segmentSize int64
	segments    []segment // ascending; the last one is open for writing after Recover
	recovered   bool
	snapshot    snapshotPosition // position of the newest snapshot; Reset is never set here
	state       wire.RaftState
	base        uint64   // index before the first valid entry
	terms       []uint64 // terms of the valid entries
}

// segment is one segment file.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index of its entries
}

// Open locks a directory and checks that it belongs to the voter. It initializes an empty
// directory for a new incarnation. It returns ErrLocked, ErrForeign, ErrCopied,
// ErrNewerFormat or a *CorruptError for a directory that it refuses.
func Open(dir string, opts Options) (*Log, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.Random == nil {
		opts.Random = rand.Reader
	}
	l := &Log{dir: dir, opts: opts, fs: opts.FS}
	if opts.Name == "" {
		return nil, fmt.Errorf("%w: voter name is empty", ErrForeign)
	}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, err
	}
	l.lock = lock
	exists, err := l.readIdentity()
	if err == nil && !exists {
		err = l.createIdentity()
	}
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// Identity returns the identity of the voter that the directory belongs to.
func (l *Log) Identity() Identity { return l.identity }

// Close releases the directory. Later writes return ErrClosed.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
		l.lock = nil
	}
	if l.failure == nil {
		l.failure = ErrClosed
	}
	return err
}

// Save appends the state and the entries and returns after they are synced. The entries
// replace all stored entries from the index of the first one on. After a failed write
// the log stays closed: the content of the disk is unknown after a failed sync, and a
// second sync may succeed although the kernel has dropped the data.
func (l *Log) Save(state wire.RaftState, entries []wire.RaftEntry) error {
	if err := l.checkWritable(); err != nil {
		return err
	}
	if err := l.checkContinuity(entries); err != nil {
		return err
	}
	if l.segmentSize >= l.opts.SegmentBytes {
		if err := l.recordFailure(l.startSegment(false)); err != nil {
			return err
		}
	}
	data, err := appendFrame(nil, record{State: &state, Entries: entries})
	if err != nil {
		return err
	}
	if err := l.recordFailure(l.appendAndSync(data)); err != nil {
		return err
	}
	l.state = state
	current := &l.segments[len(l.segments)-1]
	for i, e := range entries {
		if i == 0 {
			l.terms = l.terms[:e.Index-l.base-1]
		}
		l.terms = append(l.terms, e.Term)
		current.lastIndex = max(current.lastIndex, e.Index)
	}
	return nil
}

// checkContinuity checks that the entries have consecutive indexes and append to the log
// or replace a part of it.
func (l *Log) checkContinuity(entries []wire.RaftEntry) error {
	for i, e := range entries {
		last := l.base + uint64(len(l.terms))
		if e.Index != entries[0].Index+uint64(i) || e.Index <= l.base || entries[0].Index > last+1 {
			return fmt.Errorf("%w: entry %d cannot be added to a log with base %d and last entry %d", ErrOutOfOrder, e.Index, l.base, last)
		}
	}
	return nil
}

// discardCovered discards the entries that a snapshot covers. If the log conflicts with the
// snapshot, no entry is valid any more: it discards all entries and returns true.
func (l *Log) discardCovered(position snapshotPosition) bool {
	last := l.base + uint64(len(l.terms))
	matches := position.Index == l.base || (position.Index <= last && l.terms[position.Index-l.base-1] == position.Term)
	if !matches {
		l.base, l.terms = position.Index, nil
		return true
	}
	l.terms, l.base = l.terms[position.Index-l.base:], position.Index
	return false
}

// checkWritable returns an error if the log cannot be written.
func (l *Log) checkWritable() error {
	if l.failure != nil {
		return l.failure
	}
	if !l.recovered {
		return fmt.Errorf("%w: Recover must be called before the first write", ErrOutOfOrder)
	}
	return nil
}

// recordFailure closes the log permanently if err is not nil.
func (l *Log) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	l.failure = fmt.Errorf("%w: %w", ErrDurability, err)
	return l.failure
}

// appendAndSync appends data to the newest segment and syncs it.
func (l *Log) appendAndSync(data []byte) error {
	name := l.path(segmentName(l.segments[len(l.segments)-1].number))
	if _, err := l.file.Write(data); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	l.segmentSize += int64(len(data))
	return nil
}

// startSegment creates a new segment. Its first record repeats the position of the newest
// snapshot and the state, so that older segments can be deleted. If reset is true, the
// record also states that no earlier entry is valid.
func (l *Log) startSegment(reset bool) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	snapshot, state := l.snapshot, l.state
	snapshot.Reset = reset
	data, err := appendFrame(fileHeader(), record{Snapshot: &snapshot, State: &state})
	if err != nil {
		return err
	}
	file, err := l.fs.Create(l.path(segmentName(number)))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Join(fmt.Errorf("close segment: %w", err), file.Close())
		}
	}
	l.file, l.segmentSize = file, 0
	l.segments = append(l.segments, segment{number: number})
	if err := l.appendAndSync(data); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return fmt.Errorf("sync %s: %w", l.dir, err)
	}
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// parseNumber parses the hexadecimal number after the prefix of a file name.
func parseNumber(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	var n uint64
	_, err := fmt.Sscanf(digits, "%016x", &n)
	return n, err == nil
}
