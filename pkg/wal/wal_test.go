package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	_ "github.com/jaystage/jaystage/internal/testseed" // fixed seed
	"github.com/jaystage/jaystage/pkg/wire"
	"pgregory.net/rapid"
)

func open(t *testing.T, dir string, o Options) *Log {
	t.Helper()
	o.Name = "a"
	l, err := Open(dir, o)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l
}

func recovered(t *testing.T, l *Log) Recovered {
	t.Helper()
	r, err := l.Recover()
	if err != nil {
		t.Fatalf("recover: %v", err)
	}
	return r
}

func save(t *testing.T, l *Log, term uint64, entries ...wire.RaftEntry) {
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

// model is what a folder has to hold.
type model struct{ Recovered }

func (m model) save(s wire.RaftState, entries []wire.RaftEntry) model {
	m.State = s
	if len(entries) > 0 {
		keep := entries[0].Index - m.Snapshot.Index - 1
		m.Entries = append(append([]wire.RaftEntry(nil), m.Entries[:keep]...), entries...)
	}
	return m
}

func (m model) snapshot(s wire.RaftSnapshot) model {
	var rest []wire.RaftEntry
	if i := s.Index - m.Snapshot.Index; i <= uint64(len(m.Entries)) && m.Entries[i-1].Term == s.Term {
		rest = m.Entries[i:]
	}
	m.Snapshot, m.Entries = s, rest
	return m
}

func (m model) equal(r Recovered) bool {
	return m.State == r.State && reflect.DeepEqual(m.Snapshot, r.Snapshot) &&
		len(m.Entries) == len(r.Entries) && (len(r.Entries) == 0 || reflect.DeepEqual(m.Entries, r.Entries))
}

// op is one call; it changes the folder and the model in the same way.
type op struct {
	kind    int // 0 to 3: Save, 4: SaveSnapshot
	at      uint64
	count   int
	crashIn int
}

// survive plays calls and crashes, and returns how the folder differs from what was
// acknowledged; the call that a crash interrupted may have taken effect or not.
func survive(m *memFS, ops []op) string {
	l, now, term := (*Log)(nil), model{}, uint64(1)
	for _, o := range ops {
		before, after := now, now
		m.crashIn = o.crashIn
		err := func() (err error) {
			if l == nil {
				if l, err = Open("d", Options{Name: "a", FS: m, SegmentBytes: 2000}); err != nil {
					return err
				}
				r, err := l.Recover()
				if err != nil {
					return err
				}
				if !now.equal(r) {
					return fmt.Errorf("recovered %+v, want %+v", r, now)
				}
			}
			after, err = o.apply(l, now, &term)
			return err
		}()
		if err == nil {
			now = after
			continue
		}
		if !errors.Is(err, errCrash) {
			return err.Error()
		}
		m.crash()
		if l, err = Open("d", Options{Name: "a", FS: m, SegmentBytes: 2000}); err != nil {
			return err.Error()
		}
		r, err := l.Recover()
		switch {
		case err != nil:
			return err.Error()
		case before.equal(r):
		case after.equal(r):
			now = after
		default:
			return fmt.Sprintf("recovered %+v, want %+v or %+v", r, before, after)
		}
	}
	return ""
}

func (o op) apply(l *Log, now model, term *uint64) (model, error) {
	last := now.Snapshot.Index + uint64(len(now.Entries))
	if o.kind == 4 {
		s := wire.RaftSnapshot{Index: now.Snapshot.Index + 1 + o.at%12, Term: *term, Data: make([]byte, 900)}
		if i := s.Index - now.Snapshot.Index; i <= uint64(len(now.Entries)) && o.at%3 > 0 {
			s.Term = now.Entries[i-1].Term
		}
		return now.snapshot(s), l.SaveSnapshot(s)
	}
	from := last + 1
	if o.kind == 3 && len(now.Entries) > 0 { // overwrite a part of the log
		from = now.Snapshot.Index + 1 + o.at%uint64(len(now.Entries))
	}
	*term++
	var entries []wire.RaftEntry
	for i := range uint64(o.count) {
		entries = append(entries, entry(from+i, *term))
	}
	state := wire.RaftState{Term: *term, Vote: "b", Candidate: 3}
	return now.save(state, entries), l.Save(state, entries)
}

func operations() *rapid.Generator[[]op] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		o := op{
			kind:  rapid.IntRange(0, 4).Draw(t, "kind"),
			at:    rapid.Uint64Range(0, 40).Draw(t, "at"),
			count: rapid.IntRange(0, 30).Draw(t, "count"),
		}
		if rapid.IntRange(0, 2).Draw(t, "crash") == 0 {
			o.crashIn = rapid.IntRange(1, 30).Draw(t, "after")
		}
		return o
	}), 1, 40)
}

// TestCrash guards against acknowledged writes that a crash loses, and against
// folders that cannot be opened after a crash.
func TestCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if got := survive(newMemFS(seed), operations().Draw(t, "operations")); got != "" {
			t.Fatal(got)
		}
	})
}

// TestCrashMutations guards against a crash test that passes whatever the code does.
func TestCrashMutations(t *testing.T) {
	for name, mutate := range map[string]func(*memFS){
		"file not synced":   func(m *memFS) { m.loseSync = true },
		"folder not synced": func(m *memFS) { m.loseDir = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 50 {
				m := newMemFS(uint64(seed))
				mutate(m)
				if got := survive(m, operations().Example(seed)); got != "" {
					t.Logf("seed %d: %.200s", seed, got)
					return
				}
			}
			t.Error("no acknowledged write was lost")
		})
	}
}

// segmentData returns the newest segment that holds entries and its content.
func segmentData(m *memFS) (string, *inode) {
	name := filepath.Join("d", segmentName(2)) // segment 1 ends at the first Recover
	return name, m.names[name]
}

func TestDamageInTheMiddleIsRefused(t *testing.T) {
	m := newMemFS(1)
	l := open(t, "d", Options{FS: m})
	recovered(t, l)
	save(t, l, 1, entry(1, 1))
	offset := l.size
	save(t, l, 1, entry(2, 1))
	save(t, l, 1, entry(3, 1))
	l.Close()
	name, f := segmentData(m)
	for at := offset; at < int64(len(f.data)); at++ {
		f.data[at] ^= 0x40
		l := open(t, "d", Options{FS: m})
		_, err := l.Recover()
		var damage *CorruptError
		if !errors.As(err, &damage) || damage.File != name || damage.Offset < offset || damage.Offset > at {
			t.Fatalf("flipped bit at %d: got error %v, want damage in %s at or before it", at, err, name)
		}
		l.Close()
		f.data[at] ^= 0x40
	}
}

func TestTornTailIsTruncated(t *testing.T) {
	m := newMemFS(1)
	l := open(t, "d", Options{FS: m})
	recovered(t, l)
	save(t, l, 1, entry(1, 1))
	whole := l.size
	save(t, l, 2, entry(2, 2))
	l.Close()
	_, f := segmentData(m)
	data := f.data
	for size := whole; size < int64(len(data)); size++ {
		f.data = append([]byte(nil), data[:size]...)
		l := open(t, "d", Options{FS: m})
		if r := recovered(t, l); len(r.Entries) != 1 || r.State.Term != 1 {
			t.Fatalf("cut at %d: got %+v, want the first save", size, r)
		}
		l.Close()
		if int64(len(f.data)) != whole {
			t.Fatalf("cut at %d: segment has %d bytes, want %d", size, len(f.data), whole)
		}
		delete(m.names, filepath.Join("d", segmentName(3)))
	}
}

func TestFailedSyncClosesTheLogForGood(t *testing.T) {
	m := newMemFS(1)
	l := open(t, "d", Options{FS: m})
	recovered(t, l)
	m.failSync = true
	wantErr(t, l.Save(wire.RaftState{Term: 1}, nil), errDisk)
	m.failSync = false
	wantErr(t, l.Save(wire.RaftState{Term: 1}, nil), ErrDurability)
	wantErr(t, l.SaveSnapshot(wire.RaftSnapshot{Index: 1}), ErrDurability)
	wantErr(t, l.SetGroup("g"), ErrDurability)
}

func TestSegmentsAreDeletedAfterASnapshot(t *testing.T) {
	m := newMemFS(1)
	l := open(t, "d", Options{FS: m, SegmentBytes: 1000})
	recovered(t, l)
	for i := uint64(1); i <= 100; i++ {
		save(t, l, 1, entry(i, 1))
	}
	for _, f := range m.names {
		if len(f.data) > 1000+200 {
			t.Errorf("segment of %d bytes, want at most one save above 1000", len(f.data))
		}
	}
	for _, index := range []uint64{50, 98} {
		if err := l.SaveSnapshot(wire.RaftSnapshot{Index: index, Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if names, _ := m.ReadDir("d"); len(names) > 5 {
		t.Errorf("folder holds %v, want identity, one snapshot and the newest segments", names)
	}
	l.Close()
	if r := recovered(t, open(t, "d", Options{FS: m})); r.Snapshot.Index != 98 || len(r.Entries) != 2 {
		t.Errorf("got %+v, want a snapshot at 98 and two entries", r)
	}
}

func TestFolderRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l := open(t, dir, Options{})
	incarnation := l.Identity().Incarnation
	_, err := Open(dir, Options{Name: "a"})
	wantErr(t, err, ErrLocked)
	wantErr(t, l.Save(wire.RaftState{}, nil), ErrOrder)
	recovered(t, l)
	save(t, l, 3, entry(1, 3))
	if err := l.SetGroup("g"); err != nil {
		t.Fatal(err)
	}
	wantErr(t, l.SetGroup("h"), ErrForeign)
	l.Close()

	_, err = Open(dir, Options{Name: "b"})
	wantErr(t, err, ErrForeign)
	l = open(t, dir, Options{})
	if got := l.Identity(); got != (Identity{Name: "a", Group: "g", Incarnation: incarnation}) {
		t.Errorf("got identity %+v", got)
	}
	if r := recovered(t, l); r.State.Term != 3 || len(r.Entries) != 1 {
		t.Errorf("got %+v, want the saved state", r)
	}
	l.Close()

	copied := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	_, err = Open(copied, Options{Name: "a"})
	wantErr(t, err, ErrCopied)

	identity := filepath.Join(dir, identityName)
	data, err := os.ReadFile(identity)
	if err != nil {
		t.Fatal(err)
	}
	newer := strings.Replace(string(data), `"format":1`, `"format":2`, 1)
	if err := os.WriteFile(identity, []byte(newer), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Open(dir, Options{Name: "a"})
	wantErr(t, err, ErrNewer)
	if err := os.Remove(identity); err != nil {
		t.Fatal(err)
	}
	var damage *CorruptError
	if _, err = Open(dir, Options{Name: "a"}); !errors.As(err, &damage) {
		t.Errorf("got error %v for records without identity, want damage", err)
	}
}

// changes writes 12,000 entries of 200 bytes, one a save, without waiting for a disk.
func changes(tb testing.TB, m *memFS) *Log {
	tb.Helper()
	l, err := Open("d", Options{Name: "a", FS: m})
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := l.Recover(); err != nil {
		tb.Fatal(err)
	}
	for i := uint64(1); i <= 12000; i++ {
		e := wire.RaftEntry{Index: i, Term: 5, Data: make([]byte, 200)}
		if err := l.Save(wire.RaftState{Term: 5, Vote: "gulberg-1", Candidate: 1 << 60, Commit: i - 1}, []wire.RaftEntry{e}); err != nil {
			tb.Fatal(err)
		}
	}
	return l
}

// BenchmarkRecover measures a restart after 12,000 changes without a snapshot.
func BenchmarkRecover(b *testing.B) {
	m := newMemFS(1)
	l := changes(b, m)
	size := 0
	for _, f := range m.names {
		size += len(f.data)
	}
	b.ReportMetric(float64(size)/12000, "bytes/entry")
	for b.Loop() {
		l.Close()
		var err error
		if l, err = Open("d", Options{Name: "a", FS: m}); err != nil {
			b.Fatal(err)
		}
		if r, err := l.Recover(); err != nil || len(r.Entries) != 12000 {
			b.Fatalf("got %d entries, error %v", len(r.Entries), err)
		}
	}
	b.ReportMetric(float64(size)/12000, "bytes/entry")
}

// BenchmarkSave measures synced saves of one and of 16 entries of 200 bytes in a
// folder of the machine.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 16} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			l, err := Open(b.TempDir(), Options{Name: "a"})
			if err != nil {
				b.Fatal(err)
			}
			if _, err := l.Recover(); err != nil {
				b.Fatal(err)
			}
			next := uint64(1)
			var bytes, entries int64
			for b.Loop() {
				list := make([]wire.RaftEntry, batch)
				for i := range list {
					list[i] = wire.RaftEntry{Index: next, Term: 5, Data: make([]byte, 200)}
					next++
				}
				before := l.size
				if err := l.Save(wire.RaftState{Term: 5, Vote: "gulberg-1", Candidate: 1 << 60}, list); err != nil {
					b.Fatal(err)
				}
				if l.size > before {
					bytes, entries = bytes+l.size-before, entries+int64(batch)
				}
			}
			b.ReportMetric(float64(bytes)/float64(entries), "bytes/entry")
		})
	}
}
