// Package state implements the replicated state machine. It holds the versioned key
// space (configuration, drains, rollouts and node sessions), the bookings, and the
// order leases with their fencing tokens. The machine is deterministic: the same
// commands in the same order produce the same state on every replica. It reads no
// clock; the leader sets the times in commands.
//
// # Deduplication of commands
//
// A command may be appended to the log more than once, because a node retries it when
// it receives no response. Duplicates are detected as follows:
//
//   - A change is identified by its id.
//   - The finish, abandon, orphan and settle steps of a booking are identified by the
//     booking's attempt id.
//   - The begin step of a booking and all steps of an order lease carry a sequence
//     number within the node's session. The machine keeps the outcome of each sequence
//     number until the node's floor, the lowest number it still waits for, has passed
//     it. Numbers below the floor and commands of ended sessions are refused.
package state
