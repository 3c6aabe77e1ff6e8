package raft

import (
	"errors"
	"maps"
	"slices"
)

// Reasons for which a tracked proposal is not known to be committed.
var (
	// ErrLost is definite: the entry is not and will never be committed.
	ErrOverwritten = errors.New("raft: another entry was committed in place of the proposal")
	// ErrUnknown leaves open whether the entry was committed.
	ErrOutcomeUnknown = errors.New("raft: a snapshot replaced the log before the proposal's outcome was seen")
)

// Outcome tells what became of a proposal or a membership change.
type Outcome struct {
	ID    uint64
	Entry Entry // the committed entry, if Err is nil
	Err   error // ErrLost, ErrUnknown, or why the proposal was refused
}

// ProposalTracker matches the results of one member's proposals with what is committed. Its
// zero value is ready for use. Its memory is bounded by the proposals in flight.
type ProposalTracker struct {
	// Several results wait at an index if this member led, lost its entries and led
	// again before any of them was committed.
	pending map[uint64][]Result
}

// Step takes the output of each step of the member, in order, and returns the
// outcomes that it settles.
func (t *ProposalTracker) Step(out Output) []Outcome {
	var outcomes []Outcome
	if t.pending == nil {
		t.pending = map[uint64][]Result{}
	}
	for _, r := range out.Results {
		if r.Err != nil {
			outcomes = append(outcomes, Outcome{ID: r.ID, Err: r.Err})
			continue
		}
		t.pending[r.Index] = append(t.pending[r.Index], r)
	}
	if s := out.Restore; s != nil {
		for _, index := range slices.Sorted(maps.Keys(t.pending)) {
			if index <= s.Index {
				for _, r := range t.pending[index] {
					outcomes = append(outcomes, Outcome{ID: r.ID, Err: ErrOutcomeUnknown})
				}
				delete(t.pending, index)
			}
		}
	}
	for _, e := range out.Committed {
		for _, r := range t.pending[e.Index] {
			if r.Term == e.Term {
				outcomes = append(outcomes, Outcome{ID: r.ID, Entry: e})
				continue
			}
			outcomes = append(outcomes, Outcome{ID: r.ID, Err: ErrOverwritten})
		}
		delete(t.pending, e.Index)
	}
	return outcomes
}
