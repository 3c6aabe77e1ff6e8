package raft

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Validate reports everything that is wrong with a configuration, all at once. New does
// not call it.
func (c Config) Validate() error {
	var errs []error
	reject := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf("raft: "+format, args...))
		}
	}
	reject(c.Name == "", "the name is empty")
	reject(c.Incarnation == 0, "the incarnation is zero, which stands for unknown in messages")
	reject(c.ElectionTimeout < 0 || c.HeartbeatInterval < 0, "the election timeout and the heartbeat must be positive")
	reject(c.ElectionTimeout > 0 && c.HeartbeatInterval*5 > c.ElectionTimeout,
		"the heartbeat of %v exceeds a fifth of the election timeout of %v", c.HeartbeatInterval, c.ElectionTimeout)
	reject(c.MaxMessageBytes < 0 || c.MaxInflightAppends < 0 || c.MaxUncommittedBytes < 0, "limits must be positive")
	reject(c.Restarted && c.Group == "", "a folder without a group cannot be a restarted one")
	reject(c.Group == "" && len(c.Entries) > 0, "the folder holds a log but no group")
	reject(c.Bootstrap && c.NewGroup == "", "a group id is needed to form a group")
	reject(c.Bootstrap && !slices.Contains(c.Peers, c.Name), "voter %q is not in the list of voters", c.Name)
	peers := slices.Sorted(slices.Values(c.Peers))
	reject(len(slices.Compact(peers)) < len(c.Peers), "the list of voters names a voter twice")
	last := position{c.Snapshot.Index, c.Snapshot.Term}
	for _, e := range c.Entries {
		reject(e.Index != last.index+1, "entry %d follows entry %d", e.Index, last.index)
		reject(e.Term < last.term, "entry %d of term %d follows term %d", e.Index, e.Term, last.term)
		last = position{e.Index, e.Term}
	}
	reject(last.term > c.State.Term, "the log ends in term %d, the vote is of term %d", last.term, c.State.Term)
	return errors.Join(errs...)
}

// position is the index and the term of an entry.
type position struct{ index, term uint64 }

// defaults fills in the limits that are zero.
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
