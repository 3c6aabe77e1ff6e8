package wal

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	_ "github.com/jaystage/jaystage/internal/testseed" // fixed seed
	"github.com/jaystage/jaystage/pkg/wire"
	"pgregory.net/rapid"
)

// model is the expected content of a directory.
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

// op is one call. It applies the same change to the directory and to the model.
type op struct {
	kind           int    // 0 to 3: Save, 4: SaveSnapshot
	at             uint64 // selects the index of a snapshot or of the first overwritten entry
	count, crashIn int    // entries per Save; file system operations before a crash, 0 for none
}

func reopen(m *memFS) (l *Log, r Recovered, err error) {
	if l, err = Open("d", Options{Name: "a", FS: m, SegmentBytes: 2000}); err == nil {
		r, err = l.Recover()
	}
	return l, r, err
}

// runWithCrashes executes calls with crashes, also during recovery, and describes how
// the directory differs from the acknowledged writes. It returns an empty string if
// there is no difference. A call that was interrupted by a crash may or may not have
// taken effect.
func runWithCrashes(m *memFS, ops []op) string {
	l, acknowledged, term, err := (*Log)(nil), model{}, uint64(1), errCrash
	attempted, identity := acknowledged, Identity{}
	for _, o := range ops {
		if err != nil {
			m.crash()
			m.crashIn = o.crashIn
			r := Recovered{}
			l, r, err = reopen(m)
			switch {
			case errors.Is(err, errCrash):
				continue
			case err != nil:
				return err.Error()
			case identity.Name != "" && l.Identity() != identity:
				return fmt.Sprintf("identity %+v, want %+v", l.Identity(), identity)
			case attempted.equal(r):
				acknowledged = attempted
			case !acknowledged.equal(r):
				return fmt.Sprintf("recovered %+v, want %+v or %+v", r, acknowledged, attempted)
			}
			identity = l.Identity()
		} else {
			m.crashIn = o.crashIn
		}
		if attempted, err = o.apply(l, acknowledged, &term); err == nil {
			acknowledged = attempted
		} else if !errors.Is(err, errCrash) {
			return err.Error()
		}
	}
	return ""
}

func (o op) apply(l *Log, current model, term *uint64) (model, error) {
	last := current.Snapshot.Index + uint64(len(current.Entries))
	if o.kind == 4 {
		s := wire.RaftSnapshot{Index: current.Snapshot.Index + 1 + o.at%12, Term: *term, Data: make([]byte, 900)}
		if i := s.Index - current.Snapshot.Index; i <= uint64(len(current.Entries)) && o.at%3 > 0 {
			s.Term = current.Entries[i-1].Term
		}
		return current.snapshot(s), l.SaveSnapshot(s)
	}
	from := last + 1
	if o.kind == 3 && len(current.Entries) > 0 { // overwrite a part of the log
		from = current.Snapshot.Index + 1 + o.at%uint64(len(current.Entries))
	}
	*term++
	var entries []wire.RaftEntry
	for i := range uint64(o.count) {
		entries = append(entries, entry(from+i, *term))
	}
	state := wire.RaftState{Term: *term, Vote: "b", Candidate: 3}
	return current.save(state, entries), l.Save(state, entries)
}

func opGenerator() *rapid.Generator[[]op] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		crashIn := rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "crash") * rapid.IntRange(1, 30).Draw(t, "after")
		return op{rapid.IntRange(0, 4).Draw(t, "kind"), rapid.Uint64Range(0, 40).Draw(t, "at"), rapid.IntRange(0, 30).Draw(t, "count"), crashIn}
	}), 1, 40)
}

// TestAcknowledgedWritesSurviveCrashes guards against acknowledged writes that are lost in
// a crash, and against directories that cannot be opened after a crash.
func TestAcknowledgedWritesSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if got := runWithCrashes(newMemFS(seed), opGenerator().Draw(t, "operations")); got != "" {
			t.Fatal(got)
		}
	})
}

// TestCrashTestDetectsMissingSync guards against a crash test that passes although the code
// loses acknowledged writes: without syncs, runWithCrashes must report a lost write.
func TestCrashTestDetectsMissingSync(t *testing.T) {
	for name, mutate := range map[string]func(*memFS){
		"file not synced":      func(m *memFS) { m.ignoreSync = true },
		"directory not synced": func(m *memFS) { m.ignoreSyncDir = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 50 {
				m := newMemFS(uint64(seed))
				mutate(m)
				if got := runWithCrashes(m, opGenerator().Example(seed)); got != "" {
					t.Logf("seed %d: %.200s", seed, got)
					return
				}
			}
			t.Error("no acknowledged write was lost")
		})
	}
}
