// Package upstream connects a node to the upstreams: it receives their announcements,
// keeps a registry of them and sends requests to them.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// MissedHeartbeats is the number of announcement intervals without an announcement after
// which an upstream is removed.
const MissedHeartbeats = 3

// Entry is the latest announcement of an upstream, with the times that the node records.
type Entry struct {
	wire.Announce
	// LastSeen is when the latest announcement arrived.
	LastSeen time.Time `json:"seen"`
	// Joined is when the current incarnation was first seen.
	Joined time.Time `json:"joined"`
	// Interval is the expected time until the next announcement.
	Interval time.Duration `json:"interval"`
}

// Registry holds the upstreams that have announced themselves. It is safe for concurrent
// use.
type Registry struct {
	mu       sync.Mutex
	interval time.Duration
	entries  map[string]Entry
	// serving holds the sorted ids of the upstreams that accept new requests, by service
	// and version and also by service with an empty version.
	serving map[servingKey][]string
}

// servingKey is a service and a version. An empty version stands for any version.
type servingKey struct{ service, version string }

// NewRegistry returns an empty registry whose upstreams announce themselves at the given
// interval.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{interval: interval, entries: make(map[string]Entry), serving: make(map[servingKey][]string)}
}

// Interval returns the default time between two announcements of an upstream.
func (r *Registry) Interval() time.Duration { return r.interval }

// Change is the effect of an announcement on the registry.
type Change int

// Effects of an announcement.
const (
	// Outdated is an announcement older than the recorded one; it changes nothing.
	Outdated Change = iota
	// Refreshed is a heartbeat of a known incarnation.
	Refreshed
	// Joined is the first announcement of an incarnation.
	Joined
	// Left is the first announcement that marks the upstream as leaving.
	Left
)

// Apply records an announcement. An announcement of an older incarnation, or of the same
// incarnation without a higher sequence number, is ignored.
func (r *Registry) Apply(now time.Time, a wire.Announce) Change {
	return r.ApplyWithInterval(now, a, r.interval)
}

// ApplyWithInterval is like Apply for an upstream that announces itself at the given
// interval.
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

// reindex moves an upstream's id from the serving keys of old to those of entry. Both have
// the same id, unless one is the zero Entry, which has no keys. Most heartbeats leave the
// keys unchanged.
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

// servingKeys returns the keys under which Registry.serving lists the upstream.
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

// SetInterval changes the expected time until an upstream's next announcement.
func (r *Registry) SetInterval(id string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[id]; ok {
		e.Interval = interval
		r.entries[id] = e
	}
}

// Expire removes and returns the upstreams that missed too many heartbeats, sorted by id.
func (r *Registry) Expire(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []Entry
	for id, e := range r.entries {
		if now.Sub(e.LastSeen) > MissedHeartbeats*e.Interval {
			expired = append(expired, e)
			delete(r.entries, id)
			r.reindex(e, Entry{})
		}
	}
	sortEntries(expired)
	return expired
}

// Get returns the upstream with the given id.
func (r *Registry) Get(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e, ok
}

// TimeToReclaim returns the time until the upstream's VM is reclaimed, or false if there is
// no reclaim notice.
func (e Entry) TimeToReclaim(now time.Time) (time.Duration, bool) {
	if e.Reclaim <= 0 {
		return 0, false
	}
	return time.Duration(e.Reclaim*float64(time.Second)) - now.Sub(e.LastSeen), true
}

// List returns all upstreams, sorted by id.
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

// Serving returns the upstreams that accept new requests for the given version of the
// service, or for any version if it is empty, sorted by id.
func (r *Registry) Serving(service, version string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := r.serving[servingKey{service, version}]
	list := make([]Entry, 0, len(ids))
	for _, id := range ids {
		list = append(list, r.entries[id])
	}
	return list
}

func sortEntries(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
