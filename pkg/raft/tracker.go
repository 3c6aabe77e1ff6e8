package raft

import (
	"errors"
	"maps"
	"slices"
)

// Errors of tracked proposals that are not known to be committed.
var (
	// ErrOverwritten means that the entry is not committed and never will be.
	ErrOverwritten = errors.New("raft: another entry was committed in place of the proposal")
	// ErrOutcomeUnknown means that the entry may or may not have been committed.
	ErrOutcomeUnknown = errors.New("raft: a snapshot replaced the log before the proposal's outcome was seen")
)

// Outcome is the final result of a proposal or a membership change.
type Outcome struct {
	ID    uint64
	Entry Entry // the committed entry, if Err is nil
	Err   error // ErrOverwritten, ErrOutcomeUnknown, or why the proposal was rejected
}

// ProposalTracker matches the results of one member's proposals with committed entries.
// Its zero value is ready to use. Its memory use is bounded by the number of proposals in
// flight.
type ProposalTracker struct {
	// Results by log index. An index has several results if this member was leader, had
	// its entries overwritten and became leader again before any of them was committed.
	pending map[uint64][]Result
}

// Step processes the output of one step and returns the outcomes that it determines. It
// must be called with the output of every step of the member, in order.
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
