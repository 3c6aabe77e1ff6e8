package wal

import (
	"errors"
	"fmt"
	"syscall"
	"testing"

	"pgregory.net/rapid"
)

// fullOp is a call before which the disk is set to refuse some operations.
type fullOp struct {
	op
	// fullIn operations of the file system succeed, then fullFor fail with ENOSPC. A process
	// that is killed, with a loss of power, is in op.crashIn.
	fullIn, fullFor int
}

// runOnFullDisk executes calls on a disk that is full at times. After a failed call it
// reopens the directory until that succeeds, as a voter does. It describes how the
// directory differs from the acknowledged writes, or returns an empty string.
func runOnFullDisk(m *memFS, ops []fullOp) string {
	l, r, err := reopen(m)
	if err != nil {
		return err.Error()
	}
	acknowledged, identity, term := model{}, l.Identity(), uint64(1)
	for _, o := range ops {
		m.fullIn, m.fullFor, m.crashIn = o.fullIn, o.fullFor, o.crashIn
		attempted, err := o.apply(l, acknowledged, &term)
		if err == nil {
			acknowledged = attempted
			continue
		}
		for err != nil {
			switch {
			case errors.Is(err, errCrash):
				m.crash()
			case !errors.Is(err, syscall.ENOSPC):
				return err.Error()
			case l != nil:
				if err := l.Close(); err != nil {
					return err.Error()
				}
			}
			l, r, err = reopen(m)
		}
		m.fullIn, m.fullFor, m.crashIn = 0, 0, 0
		switch {
		case l.Identity() != identity:
			return fmt.Sprintf("identity %+v, want %+v", l.Identity(), identity)
		case attempted.equal(r):
			acknowledged = attempted
		case !acknowledged.equal(r):
			return fmt.Sprintf("recovered %+v, want %+v or %+v", r, acknowledged, attempted)
		}
	}
	return ""
}

// Guards against acknowledged writes that are lost when the disk is full, and against a
// directory that cannot be opened again once it has room: the disk refuses any operation
// of a save, a snapshot, a new segment or a recovery, and the process may lose power too.
func TestAcknowledgedWritesSurviveFullDisk(t *testing.T) {
	ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fullOp {
		full := rapid.SampledFrom([]int{0, 1, 1}).Draw(t, "full") * rapid.IntRange(1, 12).Draw(t, "refused")
		crashIn := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "crash") * rapid.IntRange(1, 30).Draw(t, "after")
		return fullOp{
			op:     op{rapid.IntRange(0, 4).Draw(t, "kind"), rapid.Uint64Range(0, 40).Draw(t, "at"), rapid.IntRange(0, 30).Draw(t, "count"), crashIn},
			fullIn: rapid.IntRange(0, 12).Draw(t, "until full"), fullFor: full,
		}
	}), 1, 40)
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if got := runOnFullDisk(newMemFS(seed), ops.Draw(t, "operations")); got != "" {
			t.Fatal(got)
		}
	})
}
