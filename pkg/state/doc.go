// Package state is the replicated state machine: the versioned key space with
// configuration, drains and rollouts. It is deterministic: the same commands in
// the same order give the same state on every replica. It reads no clock; times
// in commands are set by the leader.
package state
