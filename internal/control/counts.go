package control

import (
	"context"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

// kindCounts is the kind of the messages with which the leader copies the counts of usage
// windows to the other voters.
const kindCounts = "counts"

const (
	// countCopyInterval is how often the leader copies changed counts to the other voters, and
	// voters store them.
	countCopyInterval = 500 * time.Millisecond
	// countCopies is how many copies contain a changed count, in case one is lost.
	countCopies = 2
	// fullCopyInterval is how often a copy contains all counts, for voters that have started.
	fullCopyInterval = 5 * time.Second
	// keptWindows is the number of windows whose counts a voter keeps. Entry nodes report five.
	keptWindows = retainedWindows
	// storedWindows is the number of the newest windows that full copies contain and voters
	// store. Earlier ones are settled, unless there was no leader for longer than 10 s.
	storedWindows = 3
)

// CountStore keeps a voter's copy of the counts of usage windows across the loss of all
// processes.
type CountStore interface {
	Save(data []byte) error
	// Load returns what was saved last; nil if nothing was.
	Load() ([]byte, error)
}

// windowCounts holds what each process of an entry node has counted in each usage window, by
// account. Counts only grow, so that copies merge in any order by the larger number. Unlike the
// rest of the ledger they outlast a change of the leader: a process that has ended cannot report
// to the next one. It is safe for concurrent use.
type windowCounts struct {
	mu        sync.Mutex
	processes map[nodeKey]map[countKey]uint64
	current   uint64 // window by this voter's clock
	// unsent holds the counts that other voters may lack, and in how many further copies they
	// are sent.
	unsent  map[nodeKey]map[countKey]int
	unsaved bool
}

type countKey struct {
	window  uint64
	account string
}

func newWindowCounts() *windowCounts {
	return &windowCounts{processes: make(map[nodeKey]map[countKey]uint64), unsent: make(map[nodeKey]map[countKey]int)}
}

// merge takes over the counts of a process.
func (w *windowCounts) merge(process nodeKey, list []wire.WindowCount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range list {
		key := countKey{c.Window, c.Account}
		if c.Window+keptWindows < w.current || c.Count <= w.processes[process][key] {
			continue
		}
		if w.processes[process] == nil {
			w.processes[process] = make(map[countKey]uint64)
		}
		if w.unsent[process] == nil {
			w.unsent[process] = make(map[countKey]int)
		}
		w.processes[process][key], w.unsent[process][key], w.unsaved = c.Count, countCopies, true
	}
}

// advance drops the windows that are long over by this voter's clock. The windows that nodes
// report do not tell the time: a node whose clock is far ahead must not end those of the others.
func (w *windowCounts) advance(current uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if current <= w.current {
		return
	}
	w.current = current
	for process, counts := range w.processes {
		for key := range counts {
			if key.window+keptWindows < w.current {
				delete(counts, key)
				delete(w.unsent[process], key)
			}
		}
		if len(counts) == 0 {
			delete(w.processes, process)
			delete(w.unsent, process)
		}
	}
}

// total returns the counts of a window over all processes, by account.
func (w *windowCounts) total(window uint64) map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := make(map[string]uint64)
	for _, counts := range w.processes {
		for key, n := range counts {
			if key.window == window {
				sum[key.account] += n
			}
		}
	}
	return sum
}

// processesOf returns the processes that counted requests in a window or the two before: one
// that is cut off all through a window has told nothing of it.
func (w *windowCounts) processesOf(window uint64) (list []nodeKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for process, counts := range w.processes {
		for key := range counts {
			if key.window <= window && key.window+2 >= window {
				list = append(list, process)
				break
			}
		}
	}
	return list
}

// takeCopy returns the counts to send to the other voters, or all.
func (w *windowCounts) takeCopy(all bool) wire.CountCopy {
	w.mu.Lock()
	defer w.mu.Unlock()
	var message wire.CountCopy
	for process, counts := range w.processes {
		part := wire.ProcessCounts{Node: process.name, Process: process.incarnation}
		for key, n := range counts {
			left := w.unsent[process][key]
			if left > 0 || all && w.isStored(key) {
				part.Windows = append(part.Windows, wire.WindowCount{Window: key.window, Account: key.account, Count: n})
			}
			if left > 1 {
				w.unsent[process][key] = left - 1
			} else {
				delete(w.unsent[process], key)
			}
		}
		if len(part.Windows) > 0 {
			message.List = append(message.List, part)
		}
	}
	return message
}

// mergeCopy takes over another voter's copy.
func (w *windowCounts) mergeCopy(message wire.CountCopy) {
	for _, p := range message.List {
		w.merge(nodeKey{p.Node, p.Process}, p.Windows)
	}
}

// takeUnsaved returns the counts to store if any has changed since the last call.
func (w *windowCounts) takeUnsaved() (wire.CountCopy, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unsaved {
		return wire.CountCopy{}, false
	}
	w.unsaved = false
	var message wire.CountCopy
	for process, counts := range w.processes {
		part := wire.ProcessCounts{Node: process.name, Process: process.incarnation}
		for key, n := range counts {
			if w.isStored(key) {
				part.Windows = append(part.Windows, wire.WindowCount{Window: key.window, Account: key.account, Count: n})
			}
		}
		if len(part.Windows) > 0 {
			message.List = append(message.List, part)
		}
	}
	return message, true
}

// isStored reports whether a count belongs to one of the newest windows.
func (w *windowCounts) isStored(key countKey) bool { return key.window+storedWindows > w.current }

// countCopier copies the counts of usage windows to the other voters while this voter leads,
// and stores this voter's copy.
type countCopier struct {
	c        *Control
	lastFull time.Time
	// failing is set while counts cannot be stored, so that it is logged once.
	failing bool
}

// load takes over the counts that were stored before this process started.
func (p *countCopier) load() {
	if p.c.CountStore == nil {
		return
	}
	data, err := p.c.CountStore.Load()
	var message wire.CountCopy
	if err == nil && len(data) > 0 {
		err = wire.Unmarshal(data, &message)
	}
	if err != nil {
		event.With(p.c.Log, event.CountsUnsaved).WithError(err).Warn("could not read the stored counts of usage windows; they count what entry nodes still report")
		return
	}
	p.c.ledger.counts.mergeCopy(message)
}

func (p *countCopier) run(_ context.Context, now time.Time) {
	if p.c.UsageWindow <= 0 {
		return
	}
	p.c.ledger.counts.advance(p.c.usageReporter.windowAt(now))
	if _, leads := p.c.State.Leading(); leads {
		p.send(now)
	}
	if p.c.CountStore == nil {
		return
	}
	message, changed := p.c.ledger.counts.takeUnsaved()
	if !changed {
		return
	}
	data, err := wire.Marshal(message)
	if err == nil {
		err = p.c.CountStore.Save(data)
	}
	if err != nil && !p.failing {
		event.With(p.c.Log, event.CountsUnsaved).WithError(err).Warn("could not store the counts of usage windows; a loss of all processes would lose them")
	}
	p.failing = err != nil
}

func (p *countCopier) send(now time.Time) {
	all := now.Sub(p.lastFull) >= fullCopyInterval
	if all {
		p.lastFull = now
	}
	message := p.c.ledger.counts.takeCopy(all)
	if len(message.List) == 0 {
		return
	}
	data, err := wire.Marshal(message)
	if err != nil {
		p.c.Log.WithError(err).Error("could not encode the counts of usage windows")
		return
	}
	view, _ := p.c.State.View(now)
	for name, node := range view.Nodes {
		if node.Voter && name != p.c.Self {
			_ = p.c.Links.Send(name, kindCounts, wire.Encoded(data)) // what is lost comes with the next full copy
		}
	}
}

// receiveCounts handles a copy of the leader.
func (c *Control) receiveCounts(_ context.Context, _ string, body []byte) (any, error) {
	var message wire.CountCopy
	if err := wire.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	c.ledger.counts.mergeCopy(message)
	return nil, nil
}
