package state

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Limits of the key space. They affect the replicated state, so all voters must use
// the same values.
const (
	// maxResults covers more than one day at 12,000 changes per day.
	maxResults        = 16384
	maxHistoryRecords = 1024
	// maxDeletedItems limits the deleted entries that are kept for followers of the key
	// space, so that they receive the deletions in a delta.
	maxDeletedItems = 4096
)

// Space is the versioned key space. Each accepted change that modifies entries
// increments the version. Followers request the entries changed since their version.
type Space struct {
	// Version counts the changes that modified entries, and the starts and ends of node
	// sessions. It never decreases.
	Version uint64
	// Floor is the version up to which deleted entries have been evicted.
	Floor uint64
	// Items holds the live entries and those deleted after Floor, marked as deleted.
	Items map[string]wire.Item
	// Results maps recent change ids to their results, so that a change that is retried
	// after a lost response returns the result of the first attempt.
	Results map[string]wire.Changed
	// ResultIDs lists the change ids in Results, oldest first.
	ResultIDs []string
	// History holds a record for each of the latest versions, oldest first.
	History      []wire.Record
	deletedCount int
}

// NewSpace returns an empty key space at version 0.
func NewSpace() *Space {
	return &Space{Items: make(map[string]wire.Item), Results: make(map[string]wire.Changed)}
}

// Apply runs one change. If another change modified one of its entries after the base
// version, the change is refused: the result lists the conflicting entries, and only
// the result is stored.
func (s *Space) Apply(c wire.Change) wire.Changed {
	if first, ok := s.Results[c.ID]; ok && c.ID != "" {
		first.Repeated = true
		return first
	}
	result := s.apply(c)
	if c.ID != "" {
		s.recordResult(c.ID, result)
	}
	return result
}

// recordResult stores the result of a change. It omits the values of conflicting entries
// to limit the size of Results.
func (s *Space) recordResult(id string, result wire.Changed) {
	stored := result
	stored.Conflict = slices.Clone(result.Conflict)
	for i := range stored.Conflict {
		stored.Conflict[i].Value = nil
	}
	s.Results[id] = stored
	s.ResultIDs = append(s.ResultIDs, id)
	for len(s.ResultIDs) > maxResults {
		delete(s.Results, s.ResultIDs[0])
		s.ResultIDs = s.ResultIDs[1:]
	}
}

func (s *Space) apply(c wire.Change) wire.Changed {
	writes := s.withPrefixDeletions(c)
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
	s.commit(writes, wire.Record{ID: c.ID, Author: c.Author, Reason: c.Reason, Time: c.Time})
	return wire.Changed{Version: s.Version}
}

// commit stores the entries under the next version and appends to the history.
func (s *Space) commit(writes []wire.Item, record wire.Record) {
	s.Version++
	record.Version = s.Version
	for _, w := range writes {
		w.Version = s.Version
		if old, ok := s.Items[w.Key]; ok && old.Deleted {
			s.deletedCount--
		}
		if w.Deleted {
			w.Value = nil
			s.deletedCount++
		}
		s.Items[w.Key] = w
		record.Keys = append(record.Keys, w.Key)
	}
	s.History = append(s.History, record)
	if over := len(s.History) - maxHistoryRecords; over > 0 {
		s.History = slices.Delete(s.History, 0, over)
	}
	if s.deletedCount > maxDeletedItems {
		s.evictDeleted()
	}
}

// evictDeleted removes the older half of the deleted entries and raises Floor.
func (s *Space) evictDeleted() {
	var versions []uint64
	for _, item := range s.Items {
		if item.Deleted {
			versions = append(versions, item.Version)
		}
	}
	slices.Sort(versions)
	s.Floor = versions[len(versions)/2]
	maps.DeleteFunc(s.Items, func(_ string, item wire.Item) bool { return item.Deleted && item.Version <= s.Floor })
	s.countDeleted()
}

func (s *Space) countDeleted() {
	s.deletedCount = 0
	for _, item := range s.Items {
		if item.Deleted {
			s.deletedCount++
		}
	}
}

// withPrefixDeletions returns the change's entries plus a deletion for each other live
// entry under one of its prefixes.
func (s *Space) withPrefixDeletions(c wire.Change) []wire.Item {
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

// conflicts returns the entries that were modified after the base version and differ
// from the new ones. A missing entry counts as modified if its deletion may have been
// evicted, which is possible for a base version below Floor.
func (s *Space) conflicts(base uint64, writes []wire.Item) []wire.Item {
	var conflict []wire.Item
	for _, w := range writes {
		old, ok := s.Items[w.Key]
		if !ok && base < s.Floor && !w.Deleted {
			conflict = append(conflict, wire.Item{Key: w.Key, Deleted: true, Version: s.Floor})
			continue
		}
		same := ok && old.Deleted == w.Deleted && bytes.Equal(old.Value, w.Value)
		if ok && old.Version > base && !same {
			conflict = append(conflict, old)
		}
	}
	return conflict
}

// Since returns the entries changed after the given version, including deletions,
// sorted by key.
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

// Delta returns the entries that update a follower from the given version to the current
// one. It returns all live entries if deletions that the follower needs were evicted, or
// if the version is newer than the current one.
func (s *Space) Delta(from uint64) wire.Delta {
	if from >= s.Floor && from <= s.Version {
		return wire.Delta{From: from, Version: s.Version, Items: s.Since(from)}
	}
	items := slices.DeleteFunc(s.Since(0), func(i wire.Item) bool { return i.Deleted })
	return wire.Delta{Version: s.Version, Full: true, Items: items}
}

func sortItems(items []wire.Item) {
	slices.SortFunc(items, func(a, b wire.Item) int { return cmp.Compare(a.Key, b.Key) })
}
