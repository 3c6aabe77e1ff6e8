package config

import "time"

// Move is the move of a service's traffic to another version of its upstreams.
type Move struct {
	Service string `json:"service"`
	// Target is the version that is to get all traffic.
	Target string `json:"target"`
	// Started and Deadline are Unix times in milliseconds.
	Started  int64 `json:"started"`
	Deadline int64 `json:"deadline"`
	// Share is the part of the traffic that the target gets, in [0, 1].
	Share float64 `json:"share"`
	// Phase is MoveRunning, MoveDone or MoveUndone.
	Phase string `json:"phase"`
	// Cause says why a move was undone.
	Cause string `json:"cause,omitempty"`
}

// Phases of a move.
const (
	MoveRunning    = "running"
	MoveDone       = "done"
	MoveRolledBack = "undone"
)

// Usage is the settled count of one usage window. It never changes once recorded.
type Usage struct {
	Window uint64 `json:"window"`
	// Counts holds the requests of each client account that began to run.
	Counts map[string]uint64 `json:"counts"`
	// Sent is true once the platform has accepted the counts.
	Sent bool `json:"sent"`
}

// Elapsed returns how long the move has been running.
func (m Move) Elapsed(now time.Time) time.Duration { return now.Sub(time.UnixMilli(m.Started)) }

// Fleet is what is known of the upstreams that the platform provides for a service.
type Fleet struct {
	// NominalSize is the number of upstreams that the operator provided at first.
	NominalSize int `json:"nominal"`
}
