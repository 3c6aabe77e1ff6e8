// Package roster keeps the newest status of each upstream. Status reports can arrive out
// of order, after the upstream has restarted, or after another upstream has taken over
// its address; such outdated reports are ignored.
package roster

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// retention is how long the entry of an upstream is kept after its last status. The
// entry of an upstream that is gone must outlive delayed reports, which would otherwise
// add the upstream again. Reports arrive at most some seconds late.
const retention = 60 * time.Second

// maxClockDifference is how far the clock of an upstream's VM may be ahead. A start time
// beyond it is an error: it would outdate the reports of the upstreams that follow.
const maxClockDifference = 24 * time.Hour

// Change is the change that a status makes to the roster.
type Change int

// Changes by a status.
const (
	// Outdated is a status that is older than the known one and is ignored.
	Outdated Change = iota
	// Refreshed is a newer status of a known incarnation.
	Refreshed
	// Joined is the first status of an incarnation, unless it reports that the upstream
	// is leaving.
	Joined
	// Left is the status in which an incarnation is first reported as leaving, or as
	// gone without having been reported as leaving.
	Left
	// Rejected is a status that no upstream can have sent. It is ignored.
	Rejected
)

// Entry is the newest status of an upstream.
type Entry struct {
	wire.Status
	// LastSeen is when the status arrived.
	LastSeen time.Time
}

// Roster holds the newest status of each upstream. It is safe for concurrent use.
type Roster struct {
	mu          sync.Mutex
	entries     map[string]Entry
	idByAddress map[string]string
	lastSweep   time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]Entry), idByAddress: make(map[string]string)}
}

// Apply records a status and returns the change that it made. The incarnation with the
// later start time replaces an earlier one with the same ID or the same address. Within
// an incarnation only a higher sequence number counts, except that Gone applies with
// any; Leaving and Gone are never unset.
func (r *Roster) Apply(now time.Time, s wire.Status) Change {
	if Check(s) != nil || s.Born > uint64(max(0, now.Add(maxClockDifference).UnixMilli())) {
		return Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	s.Leaving = s.Leaving || s.Gone
	old, known := r.entries[s.ID]
	sameIncarnation := known && old.Born == s.Born
	switch {
	case known && s.Born < old.Born:
		return Outdated
	case sameIncarnation && old.Gone, sameIncarnation && !s.Gone && s.Sequence <= old.Sequence:
		return Outdated
	}
	if holderID, taken := r.idByAddress[s.Address]; taken && holderID != s.ID && !s.Gone {
		if holder := r.entries[holderID]; holder.Born > s.Born && !holder.Gone {
			return Outdated
		}
		holder := r.entries[holderID]
		holder.Gone, holder.Leaving = true, true
		r.entries[holderID] = holder
	}
	if sameIncarnation && (old.Leaving || s.Gone) {
		s.Leaving = true
	}
	if sameIncarnation && s.Gone {
		sequence := max(s.Sequence, old.Sequence)
		s = old.Status
		s.Gone, s.Leaving, s.Sequence = true, true, sequence
	}
	r.entries[s.ID] = Entry{Status: s, LastSeen: now}
	if !s.Gone {
		r.idByAddress[s.Address] = s.ID
	}
	switch {
	case s.Leaving && !(sameIncarnation && old.Leaving):
		return Left
	case sameIncarnation:
		return Refreshed
	default:
		return Joined
	}
}

// sweep removes the entries that are older than retention, at most once a second.
func (r *Roster) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Second {
		return
	}
	r.lastSweep = now
	for id, e := range r.entries {
		if now.Sub(e.LastSeen) > retention {
			delete(r.entries, id)
			if r.idByAddress[e.Address] == id {
				delete(r.idByAddress, e.Address)
			}
		}
	}
}

// Get returns the newest status of an upstream.
func (r *Roster) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e, ok
}

// List returns the newest status of each upstream, in no particular order.
func (r *Roster) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list
}
