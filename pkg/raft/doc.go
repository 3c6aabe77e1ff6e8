// Package raft implements the Raft consensus algorithm for the replicated state. It
// is a deterministic state machine: it does no I/O, starts no goroutines and reads no
// clock. The caller, called the runner here, persists its records, sends and receives
// its messages and passes in the time.
//
// # Identity
//
// A data directory gets a random incarnation when it is created. The membership, which
// is part of the log and of every snapshot, maps the name of each member to its
// incarnation. A vote or an acknowledgement counts only if the sender's incarnation
// is the one in the membership. A voter that restarts with an empty data directory has a
// new incarnation: it rejoins as a learner (ChangeAdd) and is promoted (ChangePromote)
// once it has replicated every committed entry. If the name of a ChangeAdd is that of
// a current voter, the same entry demotes that voter.
//
// # Bootstrap
//
// A node without a group sends its name and incarnation to the configured voters
// (KindJoin). The voter with the lowest name forms the group, but only if
// Config.Bootstrap is set and every configured voter has reported within the last few
// heartbeat intervals that it belongs to no group. It writes the membership as entry 1
// and answers each join request of a member with the group ID (KindJoinReply). A node
// that has a group always includes its ID in a join request. That node therefore
// prevents a bootstrap, and an empty data directory cannot form a second group beside an
// existing one.
//
// # Restart
//
// A member that restarts with its data directory is recovering: it neither votes nor
// campaigns until it has every entry that the current leader has committed, or until it
// has received no message from a leader for an election timeout and two heartbeat
// intervals. A pre-candidate therefore repeats its request until its election timeout.
// A leader excludes a member that lacks entries which it acknowledged to that leader
// (Output.Regressed). Both rules limit the damage from an older copy of the same data
// directory. An older copy cannot be distinguished from the current directory if no
// leader is running and the only member that received the later votes and
// acknowledgements is down. Package wal therefore refuses directories that were copied
// or restored.
//
// # Lost members
//
// Status reports how long each member has not replied. The time outlasts a change of the
// leader, because heartbeats name the members that are silent (Message.Silent). The runner
// decides which of them to remove; Change.MinVoters keeps two such decisions from using the
// same surplus of voters.
//
// # Halves
//
// Half of an even number of voters may decide if each of them answered a request that was sent
// after another voter had been proven lost. Proof of a loss is KindEmpty: the answer of a process
// to a message for an earlier incarnation of its name, that its directory has never held a log. Two
// halves that share no voter cannot both decide, because each would contain the voter whose loss
// the other one relies on. See quorums and agreed.
//
// Halves decide only in a membership that is known to be committed, and only while
// Entry.Halves is set in it. The leader sets it by an entry of its own when the group has more
// voters than Config.GroupSize and the releases of all of them know the rule (Message.Halves).
// While it is set, a change out of an even number of voters also needs their quorum. After each
// change of the voters the leader appends the membership once more; that entry shows every member
// that holds it that the change is committed. Status reports ChangePending until that entry is
// committed too.
//
// # Runner
//
// The runner opens the data directory with package wal, recovers it, and calls New with
// Restarted set if the directory's identity has a group. A single goroutine calls Step
// for every message, client request and synced write, and at least twice per heartbeat
// interval, each time with the current time. It handles each Output as follows:
//
//   - Group and Write go, in order, to a single writer goroutine, which calls SetGroup,
//     SaveSnapshot and Save. Afterwards Write.Number is reported as Input.Synced. Calls
//     of Step continue meanwhile, so that a slow sync does not delay heartbeats.
//   - Messages are sent immediately. They may be lost, duplicated and reordered.
//   - Restore and then Committed go to the state machine, in order.
//   - Results contain the index and term of each proposal. A ProposalTracker matches
//     them with Committed and reports the outcome of each proposal.
//   - Reads may be served once the state machine has applied their index. Only the
//     leader serves reads; other members return ErrNotLeader, and Status contains the
//     name of the leader.
//   - The leader passes JoinRequests to NextChange, and the change that it returns to
//     the next step.
//   - On Fault the process empties its data directory and restarts as a new incarnation.
//
// When the log has grown, the runner passes the serialized state machine at the applied
// index as Input.Compact. Before a graceful shutdown, the runner of the leader sets
// Input.TransferTarget to another voter and keeps calling Step until Status shows
// another leader.
package raft
