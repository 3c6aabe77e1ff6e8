package config

import "time"

// Move is the gradual move of a service's traffic to another version of its upstreams.
type Move struct {
	Service string `json:"service"`
	// Target is the version that receives all traffic at the end.
	Target string `json:"target"`
	// Started and Deadline are Unix times in milliseconds.
	Started  int64 `json:"started"`
	Deadline int64 `json:"deadline"`
	// Share is the target's share of the traffic, in [0, 1].
	Share float64 `json:"share"`
	// Phase is MoveRunning, MoveDone or MoveRolledBack.
	Phase string `json:"phase"`
	// Cause is why the move was rolled back.
	Cause string `json:"cause,omitempty"`
}

// Phases of a move.
const (
	MoveRunning    = "running"
	MoveDone       = "done"
	MoveRolledBack = "undone"
)

// Usage holds the final request counts of one usage window. The counts never change once
// recorded.
type Usage struct {
	Window uint64 `json:"window"`
	// Counts maps each client account to the number of its requests that started to run.
	Counts map[string]uint64 `json:"counts"`
	// Sent is true once the platform has accepted the counts.
	Sent bool `json:"sent"`
}

// SameOrder reports whether both are states of one ordered move.
func (m Move) SameOrder(other Move) bool {
	return m.Service == other.Service && m.Target == other.Target && m.Started == other.Started
}

// Elapsed returns the time since the start of the move.
func (m Move) Elapsed(now time.Time) time.Duration { return now.Sub(time.UnixMilli(m.Started)) }

// Fleet records the size of a service's fleet: the upstreams that the platform provides
// for it.
type Fleet struct {
	// NominalSize is the number of upstreams that the operator provided initially.
	NominalSize int `json:"nominal"`
}
