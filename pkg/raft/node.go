package raft

import (
	"math/rand/v2"
	"time"
)

// provingBeats is the number of heartbeats, beyond an election timeout, for which a
// restarted member waits for a present leader: one to be late and one to be lost.
const recoveryHeartbeats = 2

// askBeats is the number of heartbeats within which a pre-candidate asks again.
const preVoteRetryHeartbeats = 3

// favourBeats is the number of heartbeats for which one candidate alone gets pre-votes:
// the mean time until it asks again.
const preVoteReservationHeartbeats = 2

// Role is the part that a member plays in the present term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// hooks turn single rules off. Only tests of the proofs set them.
type hooks struct {
	promoteEarly        bool // promote a learner before it has caught up
	leaseFromReceipt    bool // measure the lease from the receipt of an answer
	voteDespiteLeader   bool // answer votes although a leader was heard recently
	keepLeaseOnTransfer bool // keep the lease after a transfer was ordered
	anyIncarnation      bool // count answers whatever the incarnation
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	name        string
	incarnation uint64
	group       string
	rand        *rand.Rand
	hooks       hooks

	firstStep time.Time // of the first step
	now       time.Time
	log       *entryLog

	role                 Role
	term                 uint64
	votedFor             Member // candidate that got the vote of the term
	leader               string
	commit               uint64
	applied              uint64
	recovering           bool
	ignoredPreVote       bool      // another member asked for a pre-vote while this one was unproven
	leaderContact        time.Time // when a leader was last heard from, or the start
	electionDeadline     time.Time // of the election timeout
	preVoteRetryAt       time.Time // when a pre-candidate asks again
	preVotedFor          string    // candidate that alone gets pre-votes until favouredTo
	preVoteReservedUntil time.Time
	nextJoinAt           time.Time
	peersWithoutGroup    map[string]joinRequest
	partialSnapshot      *Snapshot // snapshot being received
	partialFrom          string
	partialTerm          uint64
	regressed            bool

	votesGranted     map[string]bool // answers to the present campaign
	transferElection bool            // the campaign was asked for by the leader
	selfVoteWrite    uint64          // write that holds the own vote; 0 when it counts already

	progress         map[string]*progress
	leaderSince      time.Duration // own clock when leadership began
	uncommittedBytes int           // bytes of uncommitted entries
	termStartIndex   uint64        // index of the first entry of the own term
	nextHeartbeatAt  time.Time
	pendingReads     []pendingRead
	transferTarget   string
	transferDeadline time.Time
	leaseRevoked     bool // a take-over was ordered in this term: the lease is void

	hardStateChanged  bool            // term or vote changed
	firstUnwritten    uint64          // first entry to write; 0 for none
	unwrittenSnapshot *Snapshot       // snapshot to write
	lastWrite         uint64          // number of the newest write
	lastSynced        uint64          // number of the newest synced write
	unsyncedWrites    []unsyncedWrite // unsynced writes
	deferred          []deferredMessage
	out               Output
}

// mark remembers the last entry of a write and when it was asked for.
type unsyncedWrite struct {
	number, index, term uint64
	at                  time.Time
}

// heldMessage promises durability and waits for a write; number 0 stands for the
// write of the present step.
type deferredMessage struct {
	write uint64
	msg   Message
}

type joinRequest struct {
	incarnation uint64
	at          time.Time
}

type pendingRead struct {
	id          uint64
	requestedAt time.Duration
}

// New returns a member in the state that was recovered from its folder.
func New(cfg Config) *Node {
	cfg.setDefaults()
	n := &Node{
		cfg: cfg, name: cfg.Name, incarnation: cfg.Incarnation, group: cfg.Group,
		rand:              rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		log:               newLog(cfg.Snapshot, cfg.Entries),
		term:              cfg.State.Term,
		votedFor:          Member{Name: cfg.State.Vote, Incarnation: cfg.State.Candidate},
		recovering:        cfg.Restarted,
		peersWithoutGroup: map[string]joinRequest{},
		progress:          map[string]*progress{},
	}
	n.applied = cfg.Snapshot.Index
	n.commit = max(cfg.Snapshot.Index, min(cfg.State.Commit, n.log.last()))
	return n
}

// clock is the member's own time since its first step. It starts at one, so that
// zero can stand for never.
func (n *Node) elapsed() time.Duration { return n.now.Sub(n.firstStep) + 1 }

// Step takes one input at the time now and returns what the runner has to do.
// Times must carry a monotonic reading.
func (n *Node) Step(now time.Time, in Input) Output {
	n.out = Output{}
	if n.firstStep.IsZero() {
		n.firstStep, n.now, n.leaderContact = now, now, now
		n.resetElection()
		if n.commit > 0 {
			n.restoreOnStart()
		}
	}
	if now.After(n.now) {
		n.now = now
	}
	if n.regressed {
		return Output{Fault: ErrRegressed}
	}
	n.onSynced(in.Synced)
	n.tick()
	if in.Message != nil {
		n.receive(*in.Message)
	}
	n.handleRequests(in)
	if n.role == Leader {
		n.advanceLeader()
	}
	n.finishStep()
	return n.out
}

// restoreOnStart hands the recovered snapshot to the state machine.
func (n *Node) restoreOnStart() {
	if n.log.snapshot.Index > 0 {
		s := n.log.snapshot
		n.out.Restore = &s
	}
}

// request handles what the runner asks for.
func (n *Node) handleRequests(in Input) {
	for _, p := range in.Propose {
		n.propose(p)
	}
	if in.Change != nil {
		n.proposeChange(*in.Change)
	}
	for _, id := range in.Read {
		n.readIndex(id)
	}
	if in.TransferTarget != "" {
		n.startTransfer(in.TransferTarget)
	}
	if in.Compact != nil {
		n.compact(*in.Compact)
	}
}

// tick does what falls due with time.
func (n *Node) tick() {
	if n.recovering && n.now.Sub(n.leaderContact) >= n.cfg.ElectionTimeout+recoveryHeartbeats*n.cfg.HeartbeatInterval {
		n.recovering = false
		if n.ignoredPreVote {
			// Those that wait for this member ask again within this time.
			n.delayElection(preVoteRetryHeartbeats * n.cfg.HeartbeatInterval)
		} else {
			// All may have started at once; the pause is drawn, so that one is first.
			n.delayElection(time.Duration(n.rand.Int64N(int64(recoveryHeartbeats * n.cfg.HeartbeatInterval))))
		}
	}
	if n.group == "" || len(n.members()) == 0 {
		n.joinOrBootstrap()
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.role == PreCandidate && !n.now.Before(n.preVoteRetryAt) && n.now.Before(n.electionDeadline) && !n.diskStalled() {
		n.requestPreVotes()
	}
	if n.now.Before(n.electionDeadline) || n.recovering || n.diskStalled() {
		return
	}
	// The log may be too old to show which members there are now, and whether this is
	// still one of them.
	n.joinOrBootstrap()
	if n.mayCampaign() {
		n.startCampaign(false)
	}
}

// stalled reports whether the disk hangs. Such a member cannot lead: it applies and
// votes only after a sync.
func (n *Node) diskStalled() bool {
	return len(n.unsyncedWrites) > 0 && n.now.Sub(n.unsyncedWrites[0].at) >= 2*n.cfg.ElectionTimeout
}

// onSynced releases what waited for a write.
func (n *Node) onSynced(number uint64) {
	if number <= n.lastSynced || number > n.lastWrite {
		return
	}
	n.lastSynced = number
	for len(n.unsyncedWrites) > 0 && n.unsyncedWrites[0].number <= number {
		w := n.unsyncedWrites[0]
		n.unsyncedWrites = n.unsyncedWrites[1:]
		if term, ok := n.log.term(w.index); ok && term == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	for len(n.deferred) > 0 && n.deferred[0].write <= number {
		n.out.Messages = append(n.out.Messages, n.deferred[0].msg)
		n.deferred = n.deferred[1:]
	}
	if n.role == Candidate && n.selfVoteWrite > 0 && n.selfVoteWrite <= number {
		n.selfVoteWrite = 0
		n.votesGranted[n.name] = n.isVoter()
		n.becomeLeaderOnQuorum()
	}
}

// finish composes the write of this step, tags the messages that wait for it and
// hands out the committed entries.
func (n *Node) finishStep() {
	if n.hardStateChanged || n.firstUnwritten > 0 || n.unwrittenSnapshot != nil {
		n.lastWrite++
		w := &Write{Number: n.lastWrite, Snapshot: n.unwrittenSnapshot, State: n.hardState()}
		if n.firstUnwritten > 0 {
			w.Entries = n.log.slice(n.firstUnwritten, 1<<62)
		}
		n.out.Write = w
		n.unsyncedWrites = append(n.unsyncedWrites, unsyncedWrite{n.lastWrite, n.log.last(), n.log.lastTerm(), n.now})
		n.hardStateChanged, n.firstUnwritten, n.unwrittenSnapshot = false, 0, nil
	}
	if n.role == Candidate && n.selfVoteWrite == 0 && !n.votesGranted[n.name] {
		n.selfVoteWrite = n.lastWrite
	}
	kept := n.deferred[:0]
	for _, h := range n.deferred {
		if h.write == 0 {
			h.write = n.lastWrite
		}
		if h.write <= n.lastSynced {
			n.out.Messages = append(n.out.Messages, h.msg)
			continue
		}
		kept = append(kept, h)
	}
	n.deferred = kept
	// An entry is applied only once it is synced here, so that a snapshot never
	// contains an entry that a restart could lose.
	if limit := min(n.commit, n.log.stable); limit > n.applied {
		all := n.log.slice(n.applied+1, 1<<62)
		n.out.Committed = all[:limit-n.applied]
		n.applied = limit
	}
}

func (n *Node) hardState() HardState {
	return HardState{
		Term: n.term, Vote: n.votedFor.Name, Candidate: n.votedFor.Incarnation,
		Commit: min(n.commit, n.log.last()),
	}
}
