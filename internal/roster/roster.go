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

// staleAfter is the time without a status after which an entry outdates no other status.
// A start time or a sequence number that was too high must not hide the sound reports that
// follow. It is longer than a report may be late.
const staleAfter = 10 * time.Second

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
	// Rejected is a status that no upstream can have sent, or one for a service that is not
	// configured and whose ID or address belongs to an upstream in use. It is ignored.
	Rejected
)

// Entry is the newest status of an upstream.
type Entry struct {
	wire.Status
	// LastSeen is when the status arrived.
	LastSeen time.Time
	// displaced is true when the upstream counts as gone only because another one took
	// over its address.
	displaced bool
}

// Roster holds the newest status of each upstream. It is safe for concurrent use.
type Roster struct {
	// Configured reports whether a service is configured; nil means that every service is.
	// A status of another service never replaces the one of a configured service with the
	// same ID or the same address. Set it before the first Apply. It is not called for a
	// status of the service that the upstream had before, as nearly all are.
	Configured func(now time.Time, service string) bool

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
	holder, taken := r.holder(s)
	if r.conflicts(now, s, old) || taken && r.conflicts(now, s, holder) {
		return Rejected
	}
	sameIncarnation := known && old.Born == s.Born
	binding := known && (s.Gone || r.outdates(now, old, s))
	switch {
	case binding && s.Born < old.Born:
		return Outdated
	case binding && sameIncarnation && old.Gone, binding && sameIncarnation && !s.Gone && s.Sequence <= old.Sequence:
		return Outdated
	case taken && !startsAfter(s, holder) && !holder.Gone && r.outdates(now, holder, s):
		return Outdated
	}
	if taken && !holder.Gone {
		holder.Gone, holder.Leaving, holder.displaced = true, true, true
		r.entries[holder.ID] = holder
	}
	// An upstream that was displaced by mistake joins again.
	sameIncarnation = sameIncarnation && !old.displaced
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

// startsAfter reports whether a status is of a later start than an entry, as far as they
// name start times.
func startsAfter(s wire.Status, e Entry) bool { return s.Born > e.Born || s.Born == 0 && e.Born == 0 }

// holder returns the entry of another upstream that holds the address of a status. A
// status that reports the end of an upstream claims no address.
func (r *Roster) holder(s wire.Status) (Entry, bool) {
	id, taken := r.idByAddress[s.Address]
	if !taken || id == s.ID || s.Gone {
		return Entry{}, false
	}
	return r.entries[id], true
}

func (r *Roster) configured(now time.Time, service string) bool {
	return r.Configured == nil || r.Configured(now, service)
}

// conflicts reports whether a status is for a service that is not configured, although
// the upstream of an entry with its ID or address is in use for one that is.
func (r *Roster) conflicts(now time.Time, s wire.Status, e Entry) bool {
	inUse := e.ID != "" && !e.Gone && now.Sub(e.LastSeen) <= staleAfter
	return inUse && !s.Gone && s.Service != e.Service && !r.configured(now, s.Service) && r.configured(now, e.Service)
}

// outdates reports whether an entry may outdate a status that does not report the end of
// an upstream.
func (r *Roster) outdates(now time.Time, e Entry, s wire.Status) bool {
	if e.Gone && !e.displaced {
		return true
	}
	return now.Sub(e.LastSeen) <= staleAfter && (s.Service == e.Service || r.configured(now, e.Service) || !r.configured(now, s.Service))
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
