package wal

import (
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

// TestRecoveredEntriesSurvivePowerLoss guards against the loss of recovered entries in a
// power loss. A killed process leaves records that were written but not synced. The next
// process reads and acknowledges them and never writes them again, so recovery has to sync
// them.
func TestRecoveredEntriesSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(50) {
		m := newMemFS(seed)
		l, _, err := reopen(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Save(wire.RaftState{Term: 1}, []wire.RaftEntry{{Index: 1, Term: 1, Data: []byte("a")}}); err != nil {
			t.Fatal(err)
		}
		m.failSync = true // the process is killed between the write and its sync
		if err := l.Save(wire.RaftState{Term: 1}, []wire.RaftEntry{{Index: 2, Term: 1, Data: []byte("b")}}); err == nil {
			t.Fatal("Save succeeded, want a sync error")
		}
		m.failSync = false
		_, reported, err := reopen(m)
		if err != nil {
			t.Fatal(err)
		}
		m.crash()
		_, kept, err := reopen(m)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got, want := len(kept.Entries), len(reported.Entries); got != want {
			t.Fatalf("seed %d: got %d entries after the power loss, want the %d that recovery reported", seed, got, want)
		}
	}
}
