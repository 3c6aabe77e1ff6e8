package state

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Space is the versioned key space. Every accepted change raises the version by
// one; nodes follow it by asking for the entries changed since their version.
type Space struct {
	// Version is the number of changes accepted so far. It never falls.
	Version uint64
	// Items holds the live entries and, as deleted entries, the removed ones.
	Items map[string]wire.Item
	// Results holds the result of each change id, so that a change that is sent
	// again after a lost answer returns its first result.
	Results map[string]wire.Changed
}

// NewSpace returns an empty key space at version 0.
func NewSpace() *Space {
	return &Space{Items: make(map[string]wire.Item), Results: make(map[string]wire.Changed)}
}

// Apply runs one change. A change whose entries were changed by others after its
// base version is refused with the conflicting entries and leaves no trace but
// its result.
func (s *Space) Apply(c wire.Change) wire.Changed {
	if first, ok := s.Results[c.ID]; ok && c.ID != "" {
		first.Repeated = true
		return first
	}
	result := s.apply(c)
	if c.ID != "" {
		s.Results[c.ID] = result
	}
	return result
}

func (s *Space) apply(c wire.Change) wire.Changed {
	writes := s.expand(c)
	if conflict := s.conflicts(c.Base, writes); len(conflict) > 0 {
		return wire.Changed{Version: s.Version, Conflict: conflict}
	}
	writes = slices.DeleteFunc(writes, func(w wire.Item) bool {
		old, ok := s.Items[w.Key]
		live := ok && !old.Deleted
		if w.Deleted {
			return !live
		}
		return live && bytes.Equal(old.Value, w.Value)
	})
	if len(writes) == 0 {
		return wire.Changed{Version: s.Version}
	}
	s.Version++
	for _, w := range writes {
		w.Version = s.Version
		s.Items[w.Key] = w
	}
	return wire.Changed{Version: s.Version}
}

// expand adds a deletion for each live entry below the change's prefixes that
// the change does not list.
func (s *Space) expand(c wire.Change) []wire.Item {
	writes := slices.Clone(c.Items)
	listed := make(map[string]bool, len(writes))
	for _, w := range writes {
		listed[w.Key] = true
	}
	for key, item := range s.Items {
		if item.Deleted || listed[key] {
			continue
		}
		if slices.ContainsFunc(c.Prefix, func(p string) bool { return strings.HasPrefix(key, p) }) {
			writes = append(writes, wire.Item{Key: key, Deleted: true})
		}
	}
	sortItems(writes)
	return writes
}

func (s *Space) conflicts(base uint64, writes []wire.Item) []wire.Item {
	var conflict []wire.Item
	for _, w := range writes {
		old, ok := s.Items[w.Key]
		same := ok && old.Deleted == w.Deleted && bytes.Equal(old.Value, w.Value)
		if ok && old.Version > base && !same {
			conflict = append(conflict, old)
		}
	}
	return conflict
}

// Since returns the entries changed after the given version, deletions
// included, in the order of their keys.
func (s *Space) Since(version uint64) []wire.Item {
	var items []wire.Item
	for _, item := range s.Items {
		if item.Version > version {
			items = append(items, item)
		}
	}
	sortItems(items)
	return items
}

func sortItems(items []wire.Item) {
	slices.SortFunc(items, func(a, b wire.Item) int { return cmp.Compare(a.Key, b.Key) })
}
