// Package raft is the consensus core of the replicated state. It is a
// deterministic state machine: it does no I/O, starts no goroutine and reads no
// clock. A runner persists its records, carries its messages and tells it the time.
//
// # Identity
//
// A data folder draws a random incarnation when it is created. The membership,
// which is part of the log and of every snapshot, maps the name of each member to
// its incarnation. A vote or an acknowledgement counts only if the sender's
// incarnation is the one in the membership. A voter that comes back with a blank
// folder has a new incarnation; it rejoins as a learner (ChangeAdd) and is
// promoted (ChangePromote) once it holds everything committed. ChangeAdd under the
// name of a present voter demotes that voter in the same entry.
//
// # First start
//
// A node without a group sends its name and incarnation to the voters in its
// settings (KindJoin). The voter with the lowest name forms the group, and only if
// Config.Found is set and every voter of the settings has reported, in the last
// few heartbeats, that it belongs to no group. It writes the membership as entry 1
// and answers each join of a member with the group id (KindWelcome). A node that
// has a group never sends a join without that group, so the unanimity fails and a
// blank folder cannot form a second group beside an existing one.
//
// # Restart
//
// A node that restarts with a folder is unproven: it neither votes nor campaigns
// until it holds what a present leader has committed, or has heard from no leader
// for an election timeout and two heartbeats. A pre-candidate therefore asks again
// until its election timeout. A leader excludes a member that lacks entries which
// it acknowledged to that leader (Output.Regressed). Both limit what an older
// image of the same folder can do. An older image cannot be told from the present
// one if no leader is running and the only member that received the newer promises
// is down; package wal therefore refuses folders that were copied or restored.
//
// # Runner
//
// The runner opens the folder with package wal, recovers it, and calls New with
// Restarted set if the folder's identity has a group. One goroutine calls Step for
// every message, client request and synced write, and at least every half heartbeat
// interval, each time with the present time. It handles each Output like this:
//
//   - Group and Write go, in order, to one writing goroutine, which calls SetGroup,
//     SaveSnapshot and Save, and then reports Write.Number as Input.Synced. Step goes
//     on meanwhile, so that a slow sync delays no heartbeat.
//   - Messages are sent at once. They may be lost, repeated and reordered.
//   - Restore and then Committed go to the state machine, in order.
//   - Results name the index and term of each proposal. A Tracker matches them with
//     Committed and tells which proposals are done or lost.
//   - Reads may be served once the state machine has applied their index. Only the
//     leader answers reads; others return ErrNotLeader, and Status names the leader.
//   - The leader passes Joining to Repair, and its result to the next step.
//   - On Fault the process empties its folder and starts again as a new incarnation.
//
// When the log has grown, the runner passes the state machine's state at the applied
// index as Input.Compact. Before a graceful shutdown, the leader names another voter
// in Input.Transfer and goes on until Status shows another leader.
package raft
