package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by client account, service and content, so that
// a request that a client resends is recognised.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(account, service string, content []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{account, service} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(content)
	return Fingerprint(d.Sum64())
}

// maxRetries is the number of further upstreams that a suspect may crash before it is
// refused. Only crashes while it ran isolated count: when a failure domain is
// reclaimed, many upstreams crash that may all run equal requests.
const maxRetries = 2

// Suspect is the crash record of one fingerprint.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes lists the crashes of upstreams that ran the request, those where it
	// ran isolated first, at most 1+maxRetries of them.
	Crashes []Crash `json:"crashed"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
}

// Crash is the crash of one incarnation of an upstream.
type Crash struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	// Isolated is true if no other request was running on the upstream.
	Isolated bool `json:"alone,omitempty"`
}

// SuspectDecision determines how a request may run.
type SuspectDecision int

// Decisions of Suspects.Check.
const (
	// Allow applies to requests that are not suspected of crashing upstreams.
	Allow SuspectDecision = iota
	// Isolate applies to suspects, which run only on an upstream that runs no other
	// request.
	Isolate
	// Refuse applies to requests that have crashed too many upstreams.
	Refuse
)

type suspectEntry struct {
	crashes     []Crash
	lastCrash   time.Time
	insertOrder uint64
	// running is true while this node runs the request isolated, until deadline at
	// most.
	running  bool
	deadline time.Time
}

// Suspects is a bounded table of requests that were in flight on upstreams when
// those crashed. Entries expire.
type Suspects struct {
	maxEntries int
	maxAge     time.Duration
	lastOrder  uint64
	entries    map[Fingerprint]*suspectEntry
}

// NewSuspects returns a table of at most maxEntries entries, each kept for maxAge
// after its last crash.
func NewSuspects(maxEntries int, maxAge time.Duration) *Suspects {
	return &Suspects{maxEntries: maxEntries, maxAge: maxAge, entries: make(map[Fingerprint]*suspectEntry)}
}

// RecordCrash records a crash of an upstream and the requests that were in flight
// on it, and returns the entries to send to the other nodes. isolated is true if
// the only request ran with a ticket of Holder.TakeIsolated.
func (s *Suspects) RecordCrash(now time.Time, upstream string, incarnation uint64, isolated bool, inFlight []Fingerprint) []Suspect {
	s.removeExpired(now)
	fingerprints := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	crash := Crash{Upstream: upstream, Incarnation: incarnation, Isolated: isolated && len(inFlight) == 1}
	out := make([]Suspect, 0, len(fingerprints))
	for _, f := range fingerprints {
		e := s.getOrCreate(now, f)
		e.running = false
		e.addCrash(crash)
		e.lastCrash = now
		out = append(out, Suspect{Fingerprint: f, Crashes: slices.Clone(e.crashes)})
	}
	return out
}

func (s *Suspects) getOrCreate(now time.Time, f Fingerprint) *suspectEntry {
	if e, ok := s.entries[f]; ok {
		return e
	}
	if len(s.entries) >= s.maxEntries {
		s.evict()
	}
	s.lastOrder++
	e := &suspectEntry{lastCrash: now, insertOrder: s.lastOrder}
	s.entries[f] = e
	return e
}

// evict removes the entry with the fewest crashes in isolated runs, or the oldest of
// these entries.
func (s *Suspects) evict() {
	var victim Fingerprint
	var victimEntry *suspectEntry
	for f, e := range s.entries {
		if victimEntry == nil || e.isolatedCrashes() < victimEntry.isolatedCrashes() || e.isolatedCrashes() == victimEntry.isolatedCrashes() && e.insertOrder < victimEntry.insertOrder {
			victim, victimEntry = f, e
		}
	}
	delete(s.entries, victim)
}

// isolatedCrashes returns the number of crashes that no other request can have
// caused.
func (e *suspectEntry) isolatedCrashes() int {
	n := 0
	for _, c := range e.crashes {
		if c.Isolated {
			n++
		}
	}
	return n
}

// addCrash merges a crash into the entry. The result does not depend on the order
// of the calls.
func (e *suspectEntry) addCrash(c Crash) {
	i := slices.IndexFunc(e.crashes, func(k Crash) bool {
		return k.Upstream == c.Upstream && k.Incarnation == c.Incarnation
	})
	if i >= 0 {
		e.crashes[i].Isolated = e.crashes[i].Isolated || c.Isolated
	} else {
		e.crashes = append(e.crashes, c)
	}
	slices.SortFunc(e.crashes, func(a, b Crash) int {
		return cmp.Or(compareBool(b.Isolated, a.Isolated), cmp.Compare(a.Upstream, b.Upstream),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	e.crashes = e.crashes[:min(len(e.crashes), 1+maxRetries)]
}

// Check decides how a request may run now. busy is true if another request with the
// same fingerprint already runs isolated, in which case the caller must wait.
func (s *Suspects) Check(now time.Time, f Fingerprint) (decision SuspectDecision, busy bool) {
	e, ok := s.entries[f]
	if !ok || now.Sub(e.lastCrash) >= s.maxAge {
		return Allow, false
	}
	if e.isolatedCrashes() >= maxRetries {
		return Refuse, false
	}
	return Isolate, e.running && now.Before(e.deadline)
}

// RecordStart records that a suspect runs isolated from now on, until the deadline
// at most.
func (s *Suspects) RecordStart(f Fingerprint, deadline time.Time) {
	if e, ok := s.entries[f]; ok {
		e.running, e.deadline = true, deadline
	}
}

// CrashedUpstreams returns the upstreams that crashed while they ran the request.
func (s *Suspects) CrashedUpstreams(f Fingerprint) []string {
	e, ok := s.entries[f]
	if !ok {
		return nil
	}
	out := make([]string, 0, len(e.crashes))
	for _, c := range e.crashes {
		out = append(out, c.Upstream)
	}
	return out
}

// RecordEnd records the end of an isolated run without a crash. A request that an
// upstream answered in full is cleared; the caller then notifies the other nodes,
// which call Clear.
func (s *Suspects) RecordEnd(f Fingerprint, answered bool) (cleared bool) {
	e, ok := s.entries[f]
	if !ok {
		return false
	}
	e.running = false
	if answered {
		s.Clear(f)
	}
	return answered
}

// Clear removes a request that has proved harmless.
func (s *Suspects) Clear(f Fingerprint) { delete(s.entries, f) }

// Merge merges an entry of another node. The result does not depend on the order of
// entries or on duplicates.
func (s *Suspects) Merge(now time.Time, in Suspect) {
	s.removeExpired(now)
	if in.Age >= s.maxAge {
		return
	}
	e := s.getOrCreate(now, in.Fingerprint)
	for _, c := range in.Crashes {
		e.addCrash(c)
	}
	if crashedAt := now.Add(-in.Age); crashedAt.After(e.lastCrash) {
		e.lastCrash = crashedAt
	}
}

// Confirmed returns the entries of refused requests, for the other cells.
func (s *Suspects) Confirmed(now time.Time) []Suspect {
	var out []Suspect
	for f, e := range s.entries {
		if age := now.Sub(e.lastCrash); e.isolatedCrashes() >= maxRetries && age < s.maxAge {
			out = append(out, Suspect{Fingerprint: f, Crashes: slices.Clone(e.crashes), Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Len returns the number of entries.
func (s *Suspects) Len() int { return len(s.entries) }

func (s *Suspects) removeExpired(now time.Time) {
	for f, e := range s.entries {
		if now.Sub(e.lastCrash) >= s.maxAge {
			delete(s.entries, f)
		}
	}
}
