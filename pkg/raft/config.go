package raft

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Validate returns all errors of a configuration, joined into one. New does not call
// it.
func (c Config) Validate() error {
	var errs []error
	reject := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf("raft: "+format, args...))
		}
	}
	reject(c.Name == "", "the name is empty")
	reject(c.Incarnation == 0, "the incarnation is zero, which means unknown in messages")
	reject(c.ElectionTimeout < 0 || c.HeartbeatInterval < 0, "the election timeout and the heartbeat interval must not be negative")
	reject(c.ElectionTimeout > 0 && c.HeartbeatInterval*5 > c.ElectionTimeout,
		"the heartbeat interval of %v exceeds a fifth of the election timeout of %v", c.HeartbeatInterval, c.ElectionTimeout)
	reject(c.MaxMessageBytes < 0 || c.MaxInflightAppends < 0 || c.MaxUncommittedBytes < 0, "limits must not be negative")
	reject(c.Restarted && c.Group == "", "a member without a group cannot be restarted")
	reject(c.Group == "" && len(c.Entries) > 0, "the data directory contains a log but no group")
	reject(c.Bootstrap && c.NewGroup == "", "bootstrap requires a group ID")
	reject(c.Bootstrap && !slices.Contains(c.Peers, c.Name), "voter %q is not in the list of voters", c.Name)
	peers := slices.Sorted(slices.Values(c.Peers))
	reject(len(slices.Compact(peers)) < len(c.Peers), "the list of voters contains duplicates")
	last := position{c.Snapshot.Index, c.Snapshot.Term}
	for _, e := range c.Entries {
		reject(e.Index != last.index+1, "entry %d follows entry %d", e.Index, last.index)
		reject(e.Term < last.term, "entry %d of term %d follows term %d", e.Index, e.Term, last.term)
		last = position{e.Index, e.Term}
	}
	reject(last.term > c.State.Term, "the log ends in term %d, but the stored term is %d", last.term, c.State.Term)
	return errors.Join(errs...)
}

// position is the index and the term of an entry.
type position struct{ index, term uint64 }

// setDefaults replaces timeouts and limits that are zero by their defaults.
func (c *Config) setDefaults() {
	setDefault(&c.ElectionTimeout, 500*time.Millisecond)
	setDefault(&c.HeartbeatInterval, c.ElectionTimeout/8)
	setDefault(&c.MaxMessageBytes, 512<<10)
	setDefault(&c.MaxInflightAppends, 16)
	setDefault(&c.MaxUncommittedBytes, 32<<20)
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
