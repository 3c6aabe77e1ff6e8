package raft

import (
	"math/rand/v2"
	"time"
)

// recoveryHeartbeats is the number of heartbeat intervals, in addition to an election
// timeout, for which a restarted member waits for messages of the current leader. It
// allows for one delayed and one lost heartbeat.
const recoveryHeartbeats = 2

// preVoteRetryHeartbeats is the number of heartbeat intervals within which a
// pre-candidate repeats its pre-vote requests.
const preVoteRetryHeartbeats = 3

// preVoteReservationHeartbeats is the number of heartbeat intervals for which a member
// grants pre-votes to one candidate only. It is the mean time until that candidate
// repeats its requests.
const preVoteReservationHeartbeats = 2

// Role is the role of a member in the current term.
type Role uint8

// Roles of a member.
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

// hooks disable individual safety rules. Only tests set them, to show that the checks of
// the simulation detect the resulting violations.
type hooks struct {
	promoteEarly        bool // promote a learner before it has caught up
	leaseFromReceipt    bool // measure the lease from the receipt of a reply
	voteDespiteLeader   bool // answer vote requests although a leader was recently active
	keepLeaseOnTransfer bool // keep the lease after sending KindTimeoutNow
	anyIncarnation      bool // accept messages regardless of the incarnation
	halvesWithoutLoss   bool // let half of the voters decide although no other one is proven lost
	halvesBeforeLoss    bool // count answers to requests from before the loss for a half
	halvesUncommitted   bool // let half of the voters of a membership decide that may not be committed
	singleQuorum        bool // change an even number of voters without their quorum
	earlierRelease      bool // change no mark and repeat no membership, as releases without halves
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	name        string
	incarnation uint64
	group       string
	rand        *rand.Rand
	hooks       hooks

	firstStep time.Time // time of the first step
	now       time.Time
	log       *entryLog

	role                 Role
	term                 uint64
	votedFor             Member // candidate that got this member's vote in the term
	leader               string
	commit               uint64
	applied              uint64
	recovering           bool
	ignoredPreVote       bool      // a pre-vote request was ignored because this member was recovering
	leaderContact        time.Time // time of the last message from a leader, initially of the first step
	electionDeadline     time.Time // end of the election timeout
	preVoteRetryAt       time.Time // when a pre-candidate repeats its requests
	preVotedFor          string    // the only candidate that gets pre-votes until preVoteReservedUntil
	preVoteReservedUntil time.Time
	nextJoinAt           time.Time
	peersWithoutGroup    map[string]joinRequest
	// former contains the incarnations, without Member.Learner, of all memberships that this
	// process has known to be committed. An incarnation whose add was undone is not in it.
	former          map[Member]bool
	formerThrough   uint64                   // memberships before this index are in former
	lost            map[Member]time.Duration // voters whose directories are gone for good, and when this was proven, on elapsed()
	partialSnapshot *Snapshot                // snapshot being received
	partialFrom     string
	partialTerm     uint64
	regressed       bool

	votesGranted     map[Member]time.Duration // when each vote of the current campaign was last requested, on elapsed()
	answered         map[Member]bool          // voters that answered the current campaign, also with a refusal; nil before one
	unheard          []Member                 // voters that did not answer the campaign before
	transferElection bool                     // the leader requested the election (KindTimeoutNow)
	selfVoteWrite    uint64                   // number of the write with this member's own vote; 0 if none is unsynced

	silentSince      map[string]time.Time // last reply of the members that the last leader reported as silent
	progress         map[string]*progress
	leaderSince      time.Duration // elapsed() when this member became leader
	uncommittedBytes int           // size of uncommitted entries
	termStartIndex   uint64        // index of the first entry of the leader's own term
	nextHeartbeatAt  time.Time
	pendingReads     []pendingRead
	transferTarget   string
	transferDeadline time.Time
	leaseRevoked     bool // KindTimeoutNow was sent in this term: the lease is invalid

	hardStateChanged  bool            // term or vote has changed since the last write
	firstUnwritten    uint64          // index of the first entry to write; 0 if none
	unwrittenSnapshot *Snapshot       // snapshot to write; nil if none
	lastWrite         uint64          // number of the last write
	lastSynced        uint64          // number of the last synced write
	unsyncedWrites    []unsyncedWrite // in ascending order of number
	deferred          []deferredMessage
	out               Output
}

// unsyncedWrite is the number, last entry and time of a write that is not synced yet.
type unsyncedWrite struct {
	number, index, term uint64
	at                  time.Time
}

// deferredMessage is a message that must not be sent before a write is synced. Write 0
// means the write of the current step.
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

// New returns a member with the state that was recovered from its data directory.
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
		former:            map[Member]bool{},
		lost:              map[Member]time.Duration{},
	}
	n.applied = cfg.Snapshot.Index
	n.commit = max(cfg.Snapshot.Index, min(cfg.State.Commit, n.log.last()))
	n.noteFormerMembers()
	return n
}

// elapsed returns the time since the member's first step on its own clock. It starts at
// one nanosecond, so that zero can mean never.
func (n *Node) elapsed() time.Duration { return n.now.Sub(n.firstStep) + 1 }

// Step processes one input at the time now and returns what the runner must do. Times
// must have a monotonic clock reading.
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
	n.noteFormerMembers()
	n.finishStep()
	return n.out
}

// restoreOnStart outputs the recovered snapshot for the state machine.
func (n *Node) restoreOnStart() {
	if n.log.snapshot.Index > 0 {
		s := n.log.snapshot
		n.out.Restore = &s
	}
}

// handleRequests handles the requests of the runner in an input.
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

// tick processes expired timers.
func (n *Node) tick() {
	if n.recovering && n.now.Sub(n.leaderContact) >= n.cfg.ElectionTimeout+recoveryHeartbeats*n.cfg.HeartbeatInterval {
		n.recovering = false
		if n.ignoredPreVote {
			// The pre-candidates that wait for this member repeat their requests within
			// this time.
			n.delayElection(preVoteRetryHeartbeats * n.cfg.HeartbeatInterval)
		} else {
			// All members may have started at the same time; a random delay makes it
			// likely that one of them campaigns first.
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
	// The log may be outdated: the current membership may differ, and this member may
	// no longer be part of it. Join requests therefore go to the configured voters, among
	// which the current leader may be.
	n.joinOrBootstrap()
	if n.mayCampaign() {
		n.startCampaign(false)
		return
	}
	// A learner that was removed while it was down learns so from its runner, which asks to
	// be added when no leader is known.
	n.leader = ""
}

// diskStalled reports whether a write has been unsynced for two election timeouts. Such
// a member cannot lead, because it applies entries and votes only after a sync.
func (n *Node) diskStalled() bool {
	return len(n.unsyncedWrites) > 0 && n.now.Sub(n.unsyncedWrites[0].at) >= 2*n.cfg.ElectionTimeout
}

// onSynced sends the messages and counts the vote that waited for the synced writes.
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
		n.votesGranted[n.self()] = n.elapsed()
		n.becomeLeaderOnQuorum()
	}
}

// finishStep outputs the write of this step, assigns its number to the messages that wait
// for it, and outputs the entries to apply.
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
	if _, voted := n.votesGranted[n.self()]; n.role == Candidate && n.selfVoteWrite == 0 && !voted {
		n.selfVoteWrite = n.lastWrite
	}
	kept := n.deferred[:0]
	for _, d := range n.deferred {
		if d.write == 0 {
			d.write = n.lastWrite
		}
		if d.write <= n.lastSynced {
			n.out.Messages = append(n.out.Messages, d.msg)
			continue
		}
		kept = append(kept, d)
	}
	n.deferred = kept
	// An entry is applied only after it is synced on this member, so that a snapshot
	// never contains an entry that could be lost by a restart.
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
