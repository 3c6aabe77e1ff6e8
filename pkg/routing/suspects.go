package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by client account and content, so that a
// caller's resend is recognised as the same request.
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

// maxRetries is the number of further upstreams that a suspect is tried on. Crashes
// where it ran with others do not count: a failure domain that is reclaimed
// crashes many upstreams that run equal requests.
const maxRetries = 2

// Suspect is what is known of one fingerprint.
type Suspect struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes lists upstreams that crashed while they ran the request, those where
	// it ran alone first, at most 1+maxRetries of them.
	Crashes []Crash `json:"crashed"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
}

// Crash is one crash of one start of an upstream.
type Crash struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	// Isolated is true when no other request was running there.
	Isolated bool `json:"alone,omitempty"`
}

// SuspectDecision tells how a request may run.
type SuspectDecision int

// Rulings of Suspects.Check.
const (
	// Allow is for requests that are not under suspicion.
	Allow SuspectDecision = iota
	// Isolate is for suspects: they run only on an upstream that runs nothing else.
	Isolate
	// Refuse is for requests that have crashed too many upstreams.
	Refuse
)

type suspectEntry struct {
	crashes     []Crash
	lastCrash   time.Time
	insertOrder uint64
	// trying is true while a node runs the request alone.
	running  bool
	deadline time.Time
}

// Suspects is a bounded table of requests that were in flight on upstreams when
// those crashed. Entries age out.
type Suspects struct {
	maxEntries int
	maxAge     time.Duration
	lastOrder  uint64
	entries    map[Fingerprint]*suspectEntry
}

// NewSuspects returns a table of at most the given number of entries, each kept
// for age after its last crash.
func NewSuspects(maxEntries int, maxAge time.Duration) *Suspects {
	return &Suspects{maxEntries: maxEntries, maxAge: maxAge, entries: make(map[Fingerprint]*suspectEntry)}
}

// RecordCrash records a crash with the requests that were in flight on the upstream,
// and returns the entries to send to the other nodes. alone is true when the one
// request ran under a ticket of Holder.TakeAlone.
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

// evict drops the entry with the fewest crashes alone, the oldest of those first.
func (s *Suspects) evict() {
	var victim Fingerprint
	var worst *suspectEntry
	for f, e := range s.entries {
		if worst == nil || e.isolatedCrashes() < worst.isolatedCrashes() || e.isolatedCrashes() == worst.isolatedCrashes() && e.insertOrder < worst.insertOrder {
			victim, worst = f, e
		}
	}
	delete(s.entries, victim)
}

// alone counts the crashes for which no other request can be the cause.
func (e *suspectEntry) isolatedCrashes() int {
	n := 0
	for _, c := range e.crashes {
		if c.Isolated {
			n++
		}
	}
	return n
}

// add merges a crash. The result does not depend on the order of the calls.
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

// Check tells how a request may run now. A suspect that another request of the
// same fingerprint is trying already must wait; busy is then true.
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

// RecordStart records that a suspect runs alone now, until the deadline at most.
func (s *Suspects) RecordStart(f Fingerprint, deadline time.Time) {
	if e, ok := s.entries[f]; ok {
		e.running, e.deadline = true, deadline
	}
}

// CrashedUpstreams lists the upstreams that crashed with the request.
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

// RecordEnd ends a try without a crash. A request that an upstream answered in full is
// cleared; the caller then tells the other nodes with Clear.
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

// Clear removes a fingerprint that has proved harmless.
func (s *Suspects) Clear(f Fingerprint) { delete(s.entries, f) }

// Merge takes an entry of another node. Merging the same entry again, or entries
// in another order, gives the same result.
func (s *Suspects) Merge(now time.Time, in Suspect) {
	s.removeExpired(now)
	if in.Age >= s.maxAge {
		return
	}
	e := s.getOrCreate(now, in.Fingerprint)
	for _, c := range in.Crashes {
		e.addCrash(c)
	}
	if seen := now.Add(-in.Age); seen.After(e.lastCrash) {
		e.lastCrash = seen
	}
}

// Confirmed lists the entries that are refused, for the other cells.
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
