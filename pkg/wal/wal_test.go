package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

func mustOpen(t testing.TB, dir string, o Options) *Log {
	t.Helper()
	o.Name = "a"
	l, err := Open(dir, o)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l
}

func mustRecover(t testing.TB, l *Log) Recovered {
	t.Helper()
	r, err := l.Recover()
	if err != nil {
		t.Fatalf("recover: %v", err)
	}
	return r
}

func mustSave(t testing.TB, l *Log, term uint64, entries ...wire.RaftEntry) {
	t.Helper()
	if err := l.Save(wire.RaftState{Term: term}, entries); err != nil {
		t.Fatalf("save: %v", err)
	}
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

func entry(index, term uint64) wire.RaftEntry {
	return wire.RaftEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d in term %d", index, term)}
}

// closedLogWithTwoSaves returns a file system with a closed log that contains two saves,
// the name of their segment and the offset of the second save.
func closedLogWithTwoSaves(t *testing.T) (m *memFS, name string, offset int64) {
	t.Helper()
	m = newMemFS(1)
	l := mustOpen(t, "d", Options{FS: m})
	mustRecover(t, l)
	mustSave(t, l, 1, entry(1, 1))
	offset = l.segmentSize
	mustSave(t, l, 2, entry(2, 2))
	l.Close()
	return m, filepath.Join("d", segmentName(2)), offset
}

func TestRecoverRejectsFlippedBit(t *testing.T) {
	m, name, _ := closedLogWithTwoSaves(t)
	data := m.names[name].data
	for at := range int64(len(data)) {
		data[at] ^= 0x40
		l := mustOpen(t, "d", Options{FS: m})
		_, err := l.Recover()
		var damage *CorruptError
		newer := errors.Is(err, ErrNewerFormat) && at >= int64(len(magic)) && at < int64(fileHeaderBytes)
		if !newer && (!errors.As(err, &damage) || damage.File != name || damage.Offset > at) {
			t.Fatalf("flipped bit at %d: got error %v, want a CorruptError in %s at or before this offset", at, err, name)
		}
		l.Close()
		data[at] ^= 0x40
	}
}

func TestRecoverTruncatesTornTail(t *testing.T) {
	m, name, offset := closedLogWithTwoSaves(t)
	f := m.names[name]
	data := f.data
	for size := offset; size < int64(len(data)); size++ {
		f.data = append([]byte(nil), data[:size]...)
		l := mustOpen(t, "d", Options{FS: m})
		if r := mustRecover(t, l); len(r.Entries) != 1 || r.State.Term != 1 || int64(len(f.data)) != offset {
			t.Fatalf("truncated at %d: got %+v in %d bytes, want only the first save in %d bytes", size, r, len(f.data), offset)
		}
		l.Close()
		delete(m.names, filepath.Join("d", segmentName(3)))
	}
}

func TestFailedSyncClosesLogPermanently(t *testing.T) {
	m := newMemFS(1)
	l := mustOpen(t, "d", Options{FS: m})
	mustRecover(t, l)
	m.failSync = true
	wantErr(t, l.Save(wire.RaftState{Term: 1}, nil), errDisk)
	m.failSync = false
	wantErr(t, l.Save(wire.RaftState{Term: 1}, nil), ErrDurability)
	wantErr(t, l.SaveSnapshot(wire.RaftSnapshot{Index: 1}), ErrDurability)
	wantErr(t, l.SetGroup("g"), ErrDurability)
}

func TestSnapshotDeletesObsoleteSegments(t *testing.T) {
	m := newMemFS(1)
	l := mustOpen(t, "d", Options{FS: m, SegmentBytes: 1000})
	mustRecover(t, l)
	for i := uint64(1); i <= 100; i++ {
		mustSave(t, l, 1, entry(i, 1))
	}
	for _, f := range m.names {
		if len(f.data) > 1000+200 {
			t.Errorf("segment of %d bytes, want at most one save beyond 1000 bytes", len(f.data))
		}
	}
	for _, index := range []uint64{50, 98} {
		if err := l.SaveSnapshot(wire.RaftSnapshot{Index: index, Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if names, _ := m.ReadDir("d"); len(names) > 5 {
		t.Errorf("directory contains %v, want identity, one snapshot and the newest segments", names)
	}
	l.Close()
	if r := mustRecover(t, mustOpen(t, "d", Options{FS: m})); r.Snapshot.Index != 98 || len(r.Entries) != 2 {
		t.Errorf("got %+v, want a snapshot at 98 and two entries", r)
	}
}

func TestOpenRejectsUnsuitableDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l := mustOpen(t, dir, Options{})
	incarnation := l.Identity().Incarnation
	_, err := Open(dir, Options{Name: "a"})
	wantErr(t, err, ErrLocked)
	wantErr(t, l.Save(wire.RaftState{}, nil), ErrOutOfOrder)
	mustRecover(t, l)
	mustSave(t, l, 3, entry(1, 3))
	if err := l.SetGroup("g"); err != nil {
		t.Fatal(err)
	}
	wantErr(t, l.SetGroup("h"), ErrForeign)
	l.Close()

	_, err = Open(dir, Options{Name: "b"})
	wantErr(t, err, ErrForeign)
	l = mustOpen(t, dir, Options{})
	if got := l.Identity(); got != (Identity{Name: "a", Group: "g", Incarnation: incarnation}) {
		t.Errorf("got identity %+v", got)
	}
	if r := mustRecover(t, l); r.State.Term != 3 || len(r.Entries) != 1 {
		t.Errorf("got %+v, want the saved state", r)
	}
	l.Close()
	checkChangedDirectoryRejected(t, dir)
}

// checkChangedDirectoryRejected checks that Open refuses a copied directory, a
// directory in a newer format, and a directory without its identity file.
func checkChangedDirectoryRejected(t *testing.T, dir string) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	copied, identity := filepath.Join(t.TempDir(), "copy"), filepath.Join(dir, identityName)
	must(os.CopyFS(copied, os.DirFS(dir)))
	_, err := Open(copied, Options{Name: "a"})
	wantErr(t, err, ErrCopied)

	data, err := os.ReadFile(identity)
	must(err)
	must(os.WriteFile(identity, []byte(strings.Replace(string(data), `"format":1`, `"format":2`, 1)), 0o600))
	_, err = Open(dir, Options{Name: "a"})
	wantErr(t, err, ErrNewerFormat)
	must(os.Remove(identity))
	var damage *CorruptError
	if _, err = Open(dir, Options{Name: "a"}); !errors.As(err, &damage) {
		t.Errorf("got error %v for records without an identity file, want a CorruptError", err)
	}
}
