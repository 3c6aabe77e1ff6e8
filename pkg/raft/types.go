package raft

import (
	"errors"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Records and messages of a Raft group.
type (
	// Entry is one log entry.
	Entry = wire.RaftEntry
	// HardState is the persistent state: the term, the vote and the commit index.
	HardState = wire.RaftState
	// Member is a voter or learner of the group.
	Member = wire.RaftMember
	// Silence is how long a member has not answered the leader.
	Silence = wire.RaftSilence
	// Message is a message between two members.
	Message = wire.RaftMessage
	// Snapshot is the state machine's state that replaces the log up to its index.
	Snapshot = wire.RaftSnapshot
)

// Kinds of log entries.
const (
	EntryCommand    uint8 = 0
	EntryEmpty      uint8 = 1 // appended by a new leader
	EntryMembership uint8 = 2
)

// Kinds of messages. The kind of a pre-vote or vote reply must be that of the request plus
// one.
const (
	KindJoin      uint8 = iota + 1
	KindJoinReply       // the receiver is a member; contains the group ID
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
	KindTimeoutNow // requests the transfer target to start an election immediately
	KindRegressed  // the receiver's incarnation was replaced or excluded; Message.Reject if that is proven
	KindEmpty      // the directory of the sender is empty: the incarnation in Message.Hint, asked for by the receiver, is lost
)

// Errors returned for a rejected proposal, change or read, or as a Fault.
var (
	ErrNotLeader          = errors.New("raft: this member is not the leader")
	ErrNotReady           = errors.New("raft: the leader has not yet committed an entry in its term")
	ErrChangePending      = errors.New("raft: an earlier membership change is not yet committed")
	ErrTransferInProgress = errors.New("raft: leadership is being transferred")
	ErrNotCaughtUp        = errors.New("raft: the learner does not hold everything committed")
	ErrUnknownMember      = errors.New("raft: no such member")
	ErrAlreadyMember      = errors.New("raft: the member is already part of the group")
	ErrLastVoter          = errors.New("raft: the group would be left without a voter")
	ErrTooFewVoters       = errors.New("raft: the group would be left with fewer voters than required")
	ErrOverloaded         = errors.New("raft: too much waits to be committed")
	ErrRegressed          = errors.New("raft: the data directory lacks entries or votes that this member acknowledged; " +
		"empty it, so that this member rejoins as a learner")
)

// Config configures one member. ElectionTimeout, HeartbeatInterval and the limits
// MaxMessageBytes, MaxInflightAppends and MaxUncommittedBytes take defaults if they are
// zero.
type Config struct {
	Name        string // name of this member in the list of voters
	Incarnation uint64 // from the data directory
	Group       string // from the data directory; empty if it belongs to no group
	Restarted   bool   // the data directory had a group before this start

	Peers     []string // names of all configured voters, including this one
	Bootstrap bool     // allows this member to form a new group with all Peers
	NewGroup  string   // random ID for a new group
	// GroupSize is the number of voters that the group needs. Half of an even number of voters may
	// decide only if there are more.
	GroupSize int

	ElectionTimeout   time.Duration // minimum election timeout; also bounds the lease
	HeartbeatInterval time.Duration // at most a fifth of ElectionTimeout
	Seed              uint64        // for random timeouts; must differ between members and between starts

	MaxMessageBytes     int    // maximum size of entries or snapshot data in a message
	MaxInflightAppends  int    // maximum number of unacknowledged appends per follower
	MaxUncommittedBytes int    // a leader rejects proposals while its uncommitted entries have this size or more
	TrailingEntries     uint64 // entries kept below a snapshot for members that lag slightly

	State    HardState // recovered from the data directory
	Snapshot Snapshot  // recovered; the zero value if there is none
	Entries  []Entry   // recovered; the entries after the snapshot
}

// Proposal requests that a command be appended to the log.
type Proposal struct {
	ID   uint64 // chosen by the runner; returned in the Result
	Data []byte
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// ChangeAdd adds a learner. It replaces a member of the same name with a different
	// incarnation; if that member is a voter, it loses its vote in the same log entry.
	ChangeAdd ChangeKind = iota + 1
	// ChangePromote makes a learner that has replicated all committed entries a voter.
	ChangePromote
	// ChangeRemove removes a member.
	ChangeRemove
	// ChangeDemote makes a voter a learner. It still receives the log and may be promoted
	// again; until then no quorum counts it.
	ChangeDemote
)

// Change requests a membership change of one member.
type Change struct {
	ID     uint64 // chosen by the runner; returned in the Result
	Kind   ChangeKind
	Member Member // name and incarnation; Learner is ignored
	// MinVoters is the number of voters that must be left if ChangeRemove or ChangeDemote
	// takes one out.
	MinVoters int
}

// Compaction contains the serialized state machine at an applied index.
type Compaction struct {
	Index uint64
	Data  []byte
}

// Input is what happened since the last step. All fields are optional; the zero
// Input is a tick. The runner must tick at least twice per heartbeat interval.
type Input struct {
	Message        *Message
	Synced         uint64 // number of the last write that is synced
	Propose        []Proposal
	Change         *Change
	Read           []uint64 // IDs of read requests
	TransferTarget string   // name of the voter to which leadership is transferred
	Compact        *Compaction
}

// Write contains records to store, in this order: snapshot, state and entries. The
// entries replace all stored entries from the index of the first one on.
type Write struct {
	Number   uint64
	Snapshot *Snapshot
	State    HardState
	Entries  []Entry
}

// Result is the log position at which a proposal or change was appended, or the
// reason for which it was rejected. The proposal is committed once an entry with this
// index and term appears in Output.Committed. If the entry committed at the index has
// another term, the proposal was overwritten.
type Result struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadResult contains the read index of a read request, or the reason for which it was
// rejected. The read may be served once the state machine has applied the index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error
}

// Output is what the runner must do after a step.
type Output struct {
	Group        string    // if not empty, store it in the identity file before Write
	Write        *Write    // store and sync in order of Number, then report it as Input.Synced
	Messages     []Message // send immediately; the state that they depend on is already synced
	Restore      *Snapshot // replace the state machine's state before applying Committed
	Committed    []Entry   // apply in order
	Results      []Result
	Reads        []ReadResult
	JoinRequests []Member // nodes that request to join; reported only by the leader
	Regressed    []Member // members that lack entries which they acknowledged
	Fault        error    // the member must stop
}
