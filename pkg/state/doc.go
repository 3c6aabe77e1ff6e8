// Package state is the replicated state machine: the versioned key space with
// configuration, drains, rollouts and node sessions, the bookings, and the order
// leases with their fencing tokens. It is deterministic: the same commands in the
// same order give the same state on every replica. It reads no clock; times in
// commands are set by the leader.
//
// # Repeated commands
//
// A command may be appended to the log more than once, because a node sends it
// again when it got no answer. A change is recognised by its id, the later steps
// of a booking by their attempt. The begin of a booking and the steps of an order
// lease carry a number of their session: the machine keeps the outcome of each
// number until the node's floor has passed it, and refuses numbers below the floor
// and those of ended sessions.
package state
