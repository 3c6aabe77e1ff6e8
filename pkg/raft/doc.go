// Package raft is the consensus core of the replicated state. It is a
// deterministic state machine: it does no I/O, starts no goroutine and reads no
// clock. A runner persists its records, carries its messages and tells it the time.
package raft
