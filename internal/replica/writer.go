package replica

import (
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wal"
)

// job is one write of the Raft core, with the group name if that is to be stored too.
type job struct {
	group string // group name to store before the write; empty for none
	write *raft.Write
}

// writeResult reports the latest write that is synced.
type writeResult struct {
	number uint64
	err    error
}

// writer stores writes in its own goroutine. Writes that arrive during a sync
// are stored together by the next one, so that many commands share one sync.
type writer struct {
	log      *wal.Log
	syncEach bool
	batches  chan []job
	done     chan writeResult
	pending  []job
	busy     bool
}

func newWriter(log *wal.Log, syncEach bool) *writer {
	return &writer{log: log, syncEach: syncEach, batches: make(chan []job, 1), done: make(chan writeResult, 1)}
}

// add queues a write. Only the voter's loop calls add and batchDone.
func (w *writer) add(j job) {
	if j.group == "" && j.write == nil {
		return
	}
	w.pending = append(w.pending, j)
	w.dispatch()
}

// batchDone dispatches the next batch after one was stored.
func (w *writer) batchDone() {
	w.busy = false
	w.dispatch()
}

func (w *writer) dispatch() {
	if w.busy || len(w.pending) == 0 {
		return
	}
	n := len(w.pending)
	if w.syncEach {
		n = 1
	}
	w.batches <- w.pending[:n:n]
	w.pending, w.busy = w.pending[n:], true
}

func (w *writer) run() {
	for batch := range w.batches {
		w.done <- w.store(batch)
	}
}

func (w *writer) store(batch []job) writeResult {
	var last writeResult
	var merged *raft.Write
	flush := func() error {
		if merged == nil {
			return nil
		}
		m := merged
		merged = nil
		return w.log.Save(m.State, m.Entries)
	}
	for _, j := range batch {
		if j.group != "" {
			if err := flush(); err != nil {
				return writeResult{err: err}
			}
			if err := w.log.SetGroup(j.group); err != nil {
				return writeResult{err: err}
			}
		}
		if j.write == nil {
			continue
		}
		last.number = j.write.Number
		if j.write.Snapshot != nil {
			if err := flush(); err != nil {
				return writeResult{err: err}
			}
			if err := w.log.SaveSnapshot(*j.write.Snapshot); err != nil {
				return writeResult{err: err}
			}
		}
		merged = mergeWrites(merged, *j.write)
	}
	last.err = flush()
	return last
}

// mergeWrites merges two writes into one. It drops the earlier write's entries from the
// first index of the later write's entries on.
func mergeWrites(earlier *raft.Write, later raft.Write) *raft.Write {
	if earlier == nil {
		return &later
	}
	if len(later.Entries) == 0 {
		later.Entries = earlier.Entries
		return &later
	}
	if len(earlier.Entries) == 0 {
		return &later
	}
	laterFirst, earlierFirst := later.Entries[0].Index, earlier.Entries[0].Index
	if laterFirst <= earlierFirst {
		return &later
	}
	kept := earlier.Entries[:min(uint64(len(earlier.Entries)), laterFirst-earlierFirst)]
	later.Entries = append(kept[:len(kept):len(kept)], later.Entries...)
	return &later
}
