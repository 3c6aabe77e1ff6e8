// Package upstream is the side of a node that faces the upstreams: it takes their
// announcements, keeps what they said, and carries requests to them.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// MissedHeartbeats is the number of announcement intervals after which an
// upstream that says nothing is taken as gone.
const MissedHeartbeats = 3

// Entry is what a node knows of one upstream.
type Entry struct {
	wire.Announce
	// LastSeen is when the announcement arrived.
	LastSeen time.Time `json:"seen"`
	// Joined is when the present incarnation was first seen.
	Joined time.Time `json:"joined"`
	// Interval is the time until the next announcement.
	Interval time.Duration `json:"interval"`
}

// Registry holds the upstreams that announced themselves. It is safe for
// concurrent use.
type Registry struct {
	mu       sync.Mutex
	interval time.Duration
	entries  map[string]Entry
	// serving holds the names of the upstreams that take new requests, in order, by
	// service and version and, with an empty version, by service.
	serving map[servingKey][]string
}

// servingKey is a service and version, or any version if that is empty.
type servingKey struct{ service, version string }

// NewRegistry returns an empty registry for announcements at the given interval.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: make(map[string]Entry), serving: make(map[servingKey][]string)}
}

// Interval is the time between two announcements of an upstream.
func (r *Registry) Interval() time.Duration { return r.interval }

// Change tells what an announcement changed.
type Change int

// Changes that an announcement can bring.
const (
	// Outdated is an announcement older than what is known; it changes nothing.
	Outdated Change = iota
	// Refreshed is a heartbeat of a known incarnation.
	Refreshed
	// Joined is the first announcement of an incarnation.
	Joined
	// Left is the first announcement that says the upstream is leaving.
	Left
)

// Apply records an announcement. One of an older incarnation, or with an older
// sequence number of the same incarnation, never replaces a newer one.
func (r *Registry) Apply(now time.Time, a wire.Announce) Change {
	return r.ApplyWithInterval(now, a, r.interval)
}

// ApplyWithInterval is Apply for an upstream that announces itself at another interval.
func (r *Registry) ApplyWithInterval(now time.Time, a wire.Announce, interval time.Duration) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[a.ID]
	if known && (a.Incarnation < old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence <= old.Sequence) {
		return Outdated
	}
	entry := Entry{Announce: a, LastSeen: now, Joined: now, Interval: interval}
	change := Joined
	if known && a.Incarnation == old.Incarnation {
		entry.Joined = old.Joined
		change = Refreshed
	}
	if a.Leaving && (!known || !old.Leaving) {
		change = Left
	}
	r.entries[a.ID] = entry
	r.reindex(old, entry)
	return change
}

// reindex replaces an upstream's places in serving. Both entries have the same name,
// and the zero entry has no place. Most heartbeats change nothing.
func (r *Registry) reindex(old, entry Entry) {
	before, after := old.servingKeys(), entry.servingKeys()
	if slices.Equal(before, after) {
		return
	}
	for _, key := range before {
		list := r.serving[key]
		if i, ok := slices.BinarySearch(list, old.ID); ok {
			list = slices.Delete(list, i, i+1)
		}
		if r.serving[key] = list; len(list) == 0 {
			delete(r.serving, key)
		}
	}
	for _, key := range after {
		list := r.serving[key]
		if i, ok := slices.BinarySearch(list, entry.ID); !ok {
			r.serving[key] = slices.Insert(list, i, entry.ID)
		}
	}
}

// servingKeys returns the keys of serving under which the upstream is listed.
func (e Entry) servingKeys() []servingKey {
	if !e.Ready || e.Leaving {
		return nil
	}
	keys := make([]servingKey, 0, 2*len(e.Serving))
	for _, s := range e.Serving {
		keys = append(keys, servingKey{s.Service, s.Version}, servingKey{s.Service, ""})
	}
	return keys
}

// SetInterval changes the time until an upstream's next announcement.
func (r *Registry) SetInterval(id string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[id]; ok {
		e.Interval = interval
		r.entries[id] = e
	}
}

// Expire removes and returns the upstreams that missed their heartbeats.
func (r *Registry) Expire(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []Entry
	for id, e := range r.entries {
		if now.Sub(e.LastSeen) > MissedHeartbeats*e.Interval {
			gone = append(gone, e)
			delete(r.entries, id)
			r.reindex(e, Entry{})
		}
	}
	sortEntries(gone)
	return gone
}

// Get returns the upstream of that name.
func (r *Registry) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e, ok
}

// TimeToReclaim returns the time until the upstream's VM is reclaimed; false without a
// reclaim notice.
func (e Entry) TimeToReclaim(now time.Time) (time.Duration, bool) {
	if e.Reclaim <= 0 {
		return 0, false
	}
	return time.Duration(e.Reclaim*float64(time.Second)) - now.Sub(e.LastSeen), true
}

// List returns all upstreams in the order of their names.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	sortEntries(list)
	return list
}

// Serving returns the upstreams that take new requests for the service in the
// given version, or in any for an empty one, in the order of their names.
func (r *Registry) Serving(service, version string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := r.serving[servingKey{service, version}]
	list := make([]Entry, 0, len(names))
	for _, name := range names {
		list = append(list, r.entries[name])
	}
	return list
}

func sortEntries(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
