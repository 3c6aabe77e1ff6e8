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
	// Crashed lists upstreams that crashed while they ran the request, those where
	// it ran alone first, at most 1+maxRetries of them.
	Crashed []Crash `json:"crashed"`
	// Age is the time since the last crash.
	Age time.Duration `json:"age"`
}

// Crash is one crash of one start of an upstream.
type Crash struct {
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	// Alone is true when no other request was running there.
	Alone bool `json:"alone,omitempty"`
}

// Ruling tells how a request may run.
type Ruling int

// Rulings of Suspects.Check.
const (
	// Free is for requests that are not under suspicion.
	Free Ruling = iota
	// Alone is for suspects: they run only on an upstream that runs nothing else.
	Alone
	// Refused is for requests that have crashed too many upstreams.
	Refused
)

type suspicion struct {
	crashed []Crash
	seen    time.Time
	order   uint64
	// trying is true while a node runs the request alone.
	trying bool
	until  time.Time
}

// Suspects is a bounded table of requests that were in flight on upstreams when
// those crashed. Entries age out.
type Suspects struct {
	most  int
	age   time.Duration
	next  uint64
	table map[Fingerprint]*suspicion
}

// NewSuspects returns a table of at most the given number of entries, each kept
// for age after its last crash.
func NewSuspects(most int, age time.Duration) *Suspects {
	return &Suspects{most: most, age: age, table: make(map[Fingerprint]*suspicion)}
}

// Crashed records a crash with the requests that were in flight on the upstream,
// and returns the entries to send to the other nodes. alone is true when the one
// request ran under a ticket of Holder.TakeAlone.
func (s *Suspects) Crashed(now time.Time, upstream string, incarnation uint64, alone bool, inFlight []Fingerprint) []Suspect {
	s.expire(now)
	flight := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	crash := Crash{Upstream: upstream, Incarnation: incarnation, Alone: alone && len(inFlight) == 1}
	out := make([]Suspect, 0, len(flight))
	for _, f := range flight {
		e := s.entry(now, f)
		e.trying = false
		e.add(crash)
		e.seen = now
		out = append(out, Suspect{Fingerprint: f, Crashed: slices.Clone(e.crashed)})
	}
	return out
}

func (s *Suspects) entry(now time.Time, f Fingerprint) *suspicion {
	if e, ok := s.table[f]; ok {
		return e
	}
	if len(s.table) >= s.most {
		s.evict()
	}
	s.next++
	e := &suspicion{seen: now, order: s.next}
	s.table[f] = e
	return e
}

// evict drops the entry with the fewest crashes alone, the oldest of those first.
func (s *Suspects) evict() {
	var victim Fingerprint
	var worst *suspicion
	for f, e := range s.table {
		if worst == nil || e.alone() < worst.alone() || e.alone() == worst.alone() && e.order < worst.order {
			victim, worst = f, e
		}
	}
	delete(s.table, victim)
}

// alone counts the crashes for which no other request can be the cause.
func (e *suspicion) alone() int {
	n := 0
	for _, c := range e.crashed {
		if c.Alone {
			n++
		}
	}
	return n
}

// add merges a crash. The result does not depend on the order of the calls.
func (e *suspicion) add(c Crash) {
	i := slices.IndexFunc(e.crashed, func(k Crash) bool {
		return k.Upstream == c.Upstream && k.Incarnation == c.Incarnation
	})
	if i >= 0 {
		e.crashed[i].Alone = e.crashed[i].Alone || c.Alone
	} else {
		e.crashed = append(e.crashed, c)
	}
	slices.SortFunc(e.crashed, func(a, b Crash) int {
		return cmp.Or(order(b.Alone, a.Alone), cmp.Compare(a.Upstream, b.Upstream),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	e.crashed = e.crashed[:min(len(e.crashed), 1+maxRetries)]
}

// Check tells how a request may run now. A suspect that another request of the
// same fingerprint is trying already must wait; busy is then true.
func (s *Suspects) Check(now time.Time, f Fingerprint) (r Ruling, busy bool) {
	e, ok := s.table[f]
	if !ok || now.Sub(e.seen) >= s.age {
		return Free, false
	}
	if e.alone() >= maxRetries {
		return Refused, false
	}
	return Alone, e.trying && now.Before(e.until)
}

// Try records that a suspect runs alone now, until the deadline at most.
func (s *Suspects) Try(f Fingerprint, deadline time.Time) {
	if e, ok := s.table[f]; ok {
		e.trying, e.until = true, deadline
	}
}

// Tried lists the upstreams that crashed with the request.
func (s *Suspects) Tried(f Fingerprint) []string {
	e, ok := s.table[f]
	if !ok {
		return nil
	}
	out := make([]string, 0, len(e.crashed))
	for _, c := range e.crashed {
		out = append(out, c.Upstream)
	}
	return out
}

// Done ends a try without a crash. A request that an upstream answered in full is
// cleared; the caller then tells the other nodes with Clear.
func (s *Suspects) Done(f Fingerprint, answered bool) (cleared bool) {
	e, ok := s.table[f]
	if !ok {
		return false
	}
	e.trying = false
	if answered {
		s.Clear(f)
	}
	return answered
}

// Clear removes a fingerprint that has proved harmless.
func (s *Suspects) Clear(f Fingerprint) { delete(s.table, f) }

// Merge takes an entry of another node. Merging the same entry again, or entries
// in another order, gives the same result.
func (s *Suspects) Merge(now time.Time, in Suspect) {
	s.expire(now)
	if in.Age >= s.age {
		return
	}
	e := s.entry(now, in.Fingerprint)
	for _, c := range in.Crashed {
		e.add(c)
	}
	if seen := now.Add(-in.Age); seen.After(e.seen) {
		e.seen = seen
	}
}

// Confirmed lists the entries that are refused, for the other cells.
func (s *Suspects) Confirmed(now time.Time) []Suspect {
	var out []Suspect
	for f, e := range s.table {
		if age := now.Sub(e.seen); e.alone() >= maxRetries && age < s.age {
			out = append(out, Suspect{Fingerprint: f, Crashed: slices.Clone(e.crashed), Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Len returns the number of entries.
func (s *Suspects) Len() int { return len(s.table) }

func (s *Suspects) expire(now time.Time) {
	for f, e := range s.table {
		if now.Sub(e.seen) >= s.age {
			delete(s.table, f)
		}
	}
}
