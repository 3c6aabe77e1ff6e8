package raft

import (
	"errors"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Records and messages of the group.
type (
	// Entry is one entry of the log.
	Entry = wire.RaftEntry
	// HardState is the term and the vote.
	HardState = wire.RaftState
	// Member is one member of the group.
	Member = wire.RaftMember
	// Message is a message between two members.
	Message = wire.RaftMessage
	// Snapshot replaces the log up to its index.
	Snapshot = wire.RaftSnapshot
)

// Kinds of entries.
const (
	EntryCommand    uint8 = 0
	EntryEmpty      uint8 = 1
	EntryMembership uint8 = 2
)

// Kinds of messages.
const (
	KindJoin uint8 = iota + 1
	KindJoinReply
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindHeartbeat
	KindHeartbeatReply
	KindSnapshot
	KindSnapshotReply
	KindTimeoutNow
	KindRegressed
)

// Reasons for which an input is refused.
var (
	ErrNotLeader          = errors.New("raft: this member is not the leader")
	ErrNotReady           = errors.New("raft: the leader has not yet committed an entry in its term")
	ErrChangePending      = errors.New("raft: an earlier membership change is not yet committed")
	ErrTransferInProgress = errors.New("raft: leadership is being transferred")
	ErrNotCaughtUp        = errors.New("raft: the learner does not hold everything committed")
	ErrUnknownMember      = errors.New("raft: no such member")
	ErrAlreadyMember      = errors.New("raft: the member is already part of the group")
	ErrLastVoter          = errors.New("raft: the group would be left without a voter")
	ErrOverloaded         = errors.New("raft: too much waits to be committed")
	ErrRegressed          = errors.New("raft: the data folder is older than promises made from it; " +
		"empty it, so that this member rejoins as a learner")
)

// Config describes one member. Zero limits select the defaults.
type Config struct {
	Name        string // name of this voter in the settings
	Incarnation uint64 // from the data folder
	Group       string // from the data folder; empty when it belongs to no group
	Restarted   bool   // true when the folder had a group before this start

	Peers     []string // names of all voters in the settings, this one included
	Bootstrap bool     // allows this member to form a new group together with all Peers
	NewGroup  string   // random group id to use if it does

	ElectionTimeout   time.Duration // shortest election timeout; also bounds the lease
	HeartbeatInterval time.Duration // at most a fifth of Election
	Seed              uint64        // for election timeouts; differs between members and starts

	MaxMessageBytes     int    // bytes of entries or snapshot data in a message
	MaxInflightAppends  int    // unacknowledged appends for each follower
	MaxUncommittedBytes int    // bytes of uncommitted entries at which a leader refuses more
	TrailingEntries     uint64 // entries kept before a snapshot for members that lag a little

	State    HardState // as recovered
	Snapshot Snapshot  // as recovered; zero without one
	Entries  []Entry   // as recovered; they follow the snapshot
}

// Proposal asks for a command to be appended.
type Proposal struct {
	ID   uint64 // chosen by the runner; repeated in the Result
	Data []byte
}

// ChangeKind says what a membership change does.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// ChangeAdd adds a learner; a voter of the same name and another incarnation
	// loses its vote in the same entry.
	ChangeAdd ChangeKind = iota + 1
	// ChangePromote makes a learner that holds everything committed a voter.
	ChangePromote
	// ChangeRemove removes a member.
	ChangeRemove
)

// Change asks for one change of the membership.
type Change struct {
	ID     uint64 // chosen by the runner; repeated in the Result
	Kind   ChangeKind
	Member Member // name and incarnation; Learner is ignored
}

// Compaction hands over the state machine's state at an applied index.
type Compaction struct {
	Index uint64
	Data  []byte
}

// Input is what happened since the last step. All fields are optional; the zero
// Input is a tick. The runner ticks at least twice per heartbeat interval.
type Input struct {
	Message        *Message
	Synced         uint64 // number of the newest write that is synced
	Propose        []Proposal
	Change         *Change
	Read           []uint64 // ids of read requests
	TransferTarget string   // name of the voter that should take over leadership
	Compact        *Compaction
}

// Write lists records to store, in this order: snapshot, state and entries. The
// entries replace all stored entries from the index of the first one on.
type Write struct {
	Number   uint64
	Snapshot *Snapshot
	State    HardState
	Entries  []Entry
}

// Result tells where a proposal or change was appended. It is committed once an
// entry with this index and term appears in Output.Committed. If another term
// appears at the index, it was lost.
type Result struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadResult answers a read request: the read may be served once the state machine has
// applied the index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error
}

// Output is what the runner has to do after a step.
type Output struct {
	Group        string    // non-empty: store it in the identity file before the write
	Write        *Write    // store and sync, in order of numbers, then report Input.Synced
	Messages     []Message // send at once; their promises are already synced
	Restore      *Snapshot // replace the state machine's state, before Committed
	Committed    []Entry   // apply in order
	Results      []Result
	Reads        []ReadResult
	JoinRequests []Member // nodes that ask to join; only the leader reports them
	Regressed    []Member // members whose folder is older than their acknowledgements
	Fault        error    // the member has to stop
}
