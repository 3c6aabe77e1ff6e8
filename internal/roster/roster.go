// Package roster keeps what upstreams say of themselves in the order in which they
// said it: reports may come late, after a restart, or from an address that another
// upstream has taken over.
package roster

import (
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// keep is how long an upstream that says nothing, or has gone, is remembered, so that
// a late report does not bring it back. Reports come at most some seconds late.
const retention = 60 * time.Second

// Change tells what a status changed.
type Change int

// Changes that a status can bring.
const (
	// Outdated is a status older than what is known; it changes nothing.
	Outdated Change = iota
	// Refreshed is a further status of a known start.
	Refreshed
	// Joined is the first status of a start.
	Joined
	// Left is the first status that says that the upstream leaves or has gone.
	Left
)

// Entry is the newest status of an upstream.
type Entry struct {
	wire.Status
	// LastSeen is when it arrived.
	LastSeen time.Time
}

// Roster holds the newest status of each upstream. It is safe for concurrent use.
type Roster struct {
	mu          sync.Mutex
	entries     map[string]Entry
	idByAddress map[string]string // id by address
	lastSweep   time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]Entry), idByAddress: make(map[string]string)}
}

// Apply records a status. The start with the later birth replaces an earlier one
// under the same id or at the same address; within one start the sequence decides,
// and one that has announced its leaving stays leaving.
func (r *Roster) Apply(now time.Time, s wire.Status) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	old, known := r.entries[s.ID]
	sameIncarnation := known && old.Born == s.Born
	switch {
	case known && s.Born < old.Born:
		return Outdated
	case sameIncarnation && old.Gone, sameIncarnation && !s.Gone && s.Sequence <= old.Sequence:
		return Outdated
	}
	if holder, taken := r.idByAddress[s.Address]; taken && holder != s.ID && !s.Gone {
		if other := r.entries[holder]; other.Born > s.Born && !other.Gone {
			return Outdated
		}
		other := r.entries[holder]
		other.Gone, other.Leaving = true, true
		r.entries[holder] = other
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

// List returns the newest status of each upstream, in no order.
func (r *Roster) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	return list
}
