// Package poison finds parts of prompts that crash every upstream that runs them, from the
// requests that were open at crashed upstreams and from those that were answered. It does
// no I/O and reads no clock. Nodes exchange their records and merge them in any order.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTime is how long a part stays blocked after its last crash, and how long
	// records of crashes are kept.
	BlockTime = 10 * time.Minute
	// SettleTime is the age from which a crash counts. Within it, the nodes exchange the
	// parts that were open at the same crash and the answers that clear them.
	SettleTime = 1200 * time.Millisecond
	// provenTime is how long after an answered request a crash does not count against the
	// request's parts.
	provenTime = 30 * time.Second
	// outageWindow is the time within which upstreams that crash for one reason do so.
	outageWindow = 100 * time.Millisecond
	// minSuccessive is the number of successive crashes from which a part is blocked: each
	// of them hit a request that was sent after the crash before it.
	minSuccessive = 3
	// watchedSuccessive is the number of successive crashes from which nodes exchange
	// whether requests with the part were answered.
	watchedSuccessive = 2
	// maxCrashes bounds the crashes of one part, maxAnyCrashes those of AnyPart, maxParts
	// the parts with crashes, and maxProven the parts of answered requests.
	maxCrashes    = 32
	maxAnyCrashes = 1024
	maxParts      = 1024
	maxProven     = 4096
)

// Part identifies a part of a prompt.
type Part uint64

// AnyPart stands for all prompts in the records: every crash has one with it.
const AnyPart Part = 0

// NewPart returns the identifier of a part in prompts for a model.
func NewPart(model, part string) Part { return Part(hash(model, part)) }

// NewRequest returns the identifier of a whole request, which is a part of itself: a request
// that crashes upstreams may come again unchanged.
func NewRequest(account, method, uri string, body []byte) Part {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{account, method, uri} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Part(d.Sum64())
}

// Upstream identifies one incarnation of an upstream.
type Upstream uint64

// NewUpstream returns the identifier of an incarnation.
func NewUpstream(id, incarnation string) Upstream { return Upstream(hash(id, incarnation)) }

func hash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// Crash is the crash of an upstream while requests with a part were open there.
type Crash struct {
	Upstream Upstream
	// At is when the crash was first noticed.
	At time.Time
	// Sent is when the last of these requests was sent; it is not after At.
	Sent time.Time
}

// Record is a crash under one part, as nodes exchange it.
type Record struct {
	Part Part
	Crash
}

// Answer is the last request with a part that was answered in full.
type Answer struct {
	Part Part
	At   time.Time
}

// Table holds what is known about the parts of prompts. Its state does not depend on the
// order in which records and answers arrive.
type Table struct {
	crashes map[Part][]Crash // by At, at most maxCrashes each
	proven  map[Part]time.Time
}

// New returns an empty table.
func New() *Table { return &Table{crashes: make(map[Part][]Crash), proven: make(map[Part]time.Time)} }

// RecordCrash records that an upstream crashed while a request with these parts, sent at
// the given time, was open there. It returns the records to send to other nodes: AnyPart,
// and the parts that no answer has proven harmless.
func (t *Table) RecordCrash(now time.Time, u Upstream, sent time.Time, parts []Part) []Record {
	var out []Record
	for _, p := range append([]Part{AnyPart}, parts...) {
		if r := (Record{p, Crash{u, now, sent}}); t.Merge(now, r) {
			out = append(out, r)
		}
	}
	return out
}

// Merge adds a record and reports whether it counts.
func (t *Table) Merge(now time.Time, r Record) bool {
	if proven, ok := t.proven[r.Part]; ok && r.At.Before(proven.Add(provenTime)) || now.Sub(r.At) >= BlockTime {
		return false
	}
	list, known := t.crashes[r.Part]
	if !known && len(t.crashes) >= maxParts {
		t.evict(now)
	}
	if i := slices.IndexFunc(list, func(c Crash) bool { return c.Upstream == r.Upstream }); i >= 0 {
		list[i].At, list[i].Sent = earlier(list[i].At, r.At), later(list[i].Sent, r.Sent)
	} else {
		list = append(list, r.Crash)
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream)) })
	limit := maxCrashes
	if r.Part == AnyPart {
		limit = maxAnyCrashes
	}
	t.crashes[r.Part] = list[max(0, len(list)-limit):]
	return true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// evict removes expired crashes. If too many parts are left, it removes a quarter of them:
// those with the fewest crashes, and of these the oldest.
func (t *Table) evict(now time.Time) {
	t.removeExpired(now)
	if len(t.crashes) < maxParts {
		return
	}
	parts := make([]Part, 0, len(t.crashes))
	for p := range t.crashes {
		if p != AnyPart {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		x, y := t.crashes[a], t.crashes[b]
		return cmp.Or(cmp.Compare(len(x), len(y)), x[len(x)-1].At.Compare(y[len(y)-1].At), cmp.Compare(a, b))
	})
	for _, p := range parts[:maxParts/4] {
		delete(t.crashes, p)
	}
}

func (t *Table) removeExpired(now time.Time) {
	for p, list := range t.crashes {
		i := 0
		for i < len(list) && now.Sub(list[i].At) >= BlockTime {
			i++
		}
		if i == len(list) {
			delete(t.crashes, p)
		} else {
			t.crashes[p] = list[i:]
		}
	}
}

// RecordAnswer records that a request with these parts was answered in full at the given
// time. This clears the parts of all crashes before, and of those within provenTime after.
func (t *Table) RecordAnswer(at time.Time, parts []Part) {
	for _, p := range parts {
		if p == AnyPart || !at.After(t.proven[p]) {
			continue
		}
		if _, known := t.proven[p]; !known && len(t.proven) >= maxProven {
			t.evictProven()
		}
		t.proven[p] = at
		list := slices.DeleteFunc(t.crashes[p], func(c Crash) bool { return c.At.Before(at.Add(provenTime)) })
		if len(list) > 0 {
			t.crashes[p] = list
		} else {
			delete(t.crashes, p)
		}
	}
}

// evictProven removes the older half of the answers.
func (t *Table) evictProven() {
	times := make([]time.Time, 0, len(t.proven))
	for _, at := range t.proven {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for p, at := range t.proven {
		if !at.After(times[len(times)/2]) {
			delete(t.proven, p)
		}
	}
}

// Proven returns when a request with the part was last answered; false if that is more than
// provenTime ago.
func (t *Table) Proven(now time.Time, p Part) (time.Time, bool) {
	at, ok := t.proven[p]
	return at, ok && now.Sub(at) < provenTime
}

// HasCrashes reports whether the part was open at a crash and has not been proven harmless
// since.
func (t *Table) HasCrashes(p Part) bool { return len(t.crashes[p]) > 0 }

// Suspected reports whether one of the parts was open at a crash before the given time and
// has not been proven harmless since.
func (t *Table) Suspected(before time.Time, parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		list := t.crashes[p]
		return len(list) > 0 && list[0].At.Before(before)
	})
}

// Records lists the crashes of a part.
func (t *Table) Records(p Part) []Record {
	out := make([]Record, 0, len(t.crashes[p]))
	for _, c := range t.crashes[p] {
		out = append(out, Record{p, c})
	}
	return out
}

// Watched lists the parts whose answered requests nodes must report, at most limit.
func (t *Table) Watched(limit int) []Part {
	var out []Part
	for p, list := range t.crashes {
		if p != AnyPart && successive(list) >= watchedSuccessive {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(t.crashes[b]), len(t.crashes[a])), cmp.Compare(a, b))
	})
	return out[:min(len(out), limit)]
}
