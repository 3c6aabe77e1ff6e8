package raft

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Check reports everything that is wrong with a configuration, all at once. New does
// not call it.
func (c Config) Check() error {
	var list []error
	wrong := func(bad bool, format string, args ...any) {
		if bad {
			list = append(list, fmt.Errorf("raft: "+format, args...))
		}
	}
	wrong(c.Name == "", "the name is empty")
	wrong(c.Incarnation == 0, "the incarnation is zero, which stands for unknown in messages")
	wrong(c.Election < 0 || c.Heartbeat < 0, "the election timeout and the heartbeat must be positive")
	wrong(c.Election > 0 && c.Heartbeat*5 > c.Election,
		"the heartbeat of %v exceeds a fifth of the election timeout of %v", c.Heartbeat, c.Election)
	wrong(c.MaxBytes < 0 || c.MaxInflight < 0 || c.MaxBacklog < 0, "limits must be positive")
	wrong(c.Restarted && c.Group == "", "a folder without a group cannot be a restarted one")
	wrong(c.Group == "" && len(c.Entries) > 0, "the folder holds a log but no group")
	wrong(c.Found && c.NewGroup == "", "a group id is needed to form a group")
	wrong(c.Found && !slices.Contains(c.Peers, c.Name), "voter %q is not in the list of voters", c.Name)
	peers := slices.Sorted(slices.Values(c.Peers))
	wrong(len(slices.Compact(peers)) < len(c.Peers), "the list of voters names a voter twice")
	last := position{c.Snapshot.Index, c.Snapshot.Term}
	for _, e := range c.Entries {
		wrong(e.Index != last.index+1, "entry %d follows entry %d", e.Index, last.index)
		wrong(e.Term < last.term, "entry %d of term %d follows term %d", e.Index, e.Term, last.term)
		last = position{e.Index, e.Term}
	}
	wrong(last.term > c.State.Term, "the log ends in term %d, the vote is of term %d", last.term, c.State.Term)
	return errors.Join(list...)
}

// position is the index and the term of an entry.
type position struct{ index, term uint64 }

// defaults fills in the limits that are zero.
func (c *Config) defaults() {
	setDefault(&c.Election, 500*time.Millisecond)
	setDefault(&c.Heartbeat, c.Election/8)
	setDefault(&c.MaxBytes, 512<<10)
	setDefault(&c.MaxInflight, 16)
	setDefault(&c.MaxBacklog, 32<<20)
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
