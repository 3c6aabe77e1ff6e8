package raft

import (
	"math/rand/v2"
	"time"
)

// provingBeats is the number of heartbeats, beyond an election timeout, for which a
// restarted member waits for a present leader: one to be late and one to be lost.
const provingBeats = 2

// askBeats is the number of heartbeats within which a pre-candidate asks again.
const askBeats = 3

// favourBeats is the number of heartbeats for which one candidate alone gets pre-votes:
// the mean time until it asks again.
const favourBeats = 2

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
	promoteEarly bool // promote a learner before it has caught up
	leaseReceipt bool // measure the lease from the receipt of an answer
	lateVote     bool // answer votes although a leader was heard recently
	keepLease    bool // keep the lease after a transfer was ordered
	anyone       bool // count answers whatever the incarnation
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	name        string
	incarnation uint64
	group       string
	rand        *rand.Rand
	hooks       hooks

	start time.Time // of the first step
	now   time.Time
	log   *entryLog

	role        Role
	term        uint64
	vote        Member // candidate that got the vote of the term
	leader      string
	commit      uint64
	applied     uint64
	unproven    bool
	awaited     bool      // another member asked for a pre-vote while this one was unproven
	heard       time.Time // when a leader was last heard from, or the start
	deadline    time.Time // of the election timeout
	askAt       time.Time // when a pre-candidate asks again
	favoured    string    // candidate that alone gets pre-votes until favouredTo
	favouredTo  time.Time
	joinAt      time.Time
	joins       map[string]join
	partial     *Snapshot // snapshot being received
	partialFrom string
	partialTerm uint64
	regressed   bool

	ballots   map[string]bool // answers to the present campaign
	handover  bool            // the campaign was asked for by the leader
	selfWrite uint64          // write that holds the own vote; 0 when it counts already

	progress    map[string]*progress
	led         time.Duration // own clock when leadership began
	backlog     int           // bytes of uncommitted entries
	termStart   uint64        // index of the first entry of the own term
	heartbeatAt time.Time
	reads       []pendingRead
	transfer    string
	transferEnd time.Time
	leaseless   bool // a take-over was ordered in this term: the lease is void

	dirty    bool      // term or vote changed
	unsaved  uint64    // first entry to write; 0 for none
	snapshot *Snapshot // snapshot to write
	written  uint64    // number of the newest write
	synced   uint64    // number of the newest synced write
	writes   []mark    // unsynced writes
	held     []heldMessage
	out      Output
}

// mark remembers the last entry of a write and when it was asked for.
type mark struct {
	number, index, term uint64
	at                  time.Time
}

// heldMessage promises durability and waits for a write; number 0 stands for the
// write of the present step.
type heldMessage struct {
	number uint64
	msg    Message
}

type join struct {
	incarnation uint64
	at          time.Time
}

type pendingRead struct {
	id uint64
	at time.Duration
}

// New returns a member in the state that was recovered from its folder.
func New(cfg Config) *Node {
	cfg.defaults()
	n := &Node{
		cfg: cfg, name: cfg.Name, incarnation: cfg.Incarnation, group: cfg.Group,
		rand:     rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		log:      newLog(cfg.Snapshot, cfg.Entries),
		term:     cfg.State.Term,
		vote:     Member{Name: cfg.State.Vote, Incarnation: cfg.State.Candidate},
		unproven: cfg.Restarted,
		joins:    map[string]join{},
		progress: map[string]*progress{},
	}
	n.applied = cfg.Snapshot.Index
	n.commit = max(cfg.Snapshot.Index, min(cfg.State.Commit, n.log.last()))
	return n
}

// clock is the member's own time since its first step. It starts at one, so that
// zero can stand for never.
func (n *Node) clock() time.Duration { return n.now.Sub(n.start) + 1 }

// Step takes one input at the time now and returns what the runner has to do.
// Times must carry a monotonic reading.
func (n *Node) Step(now time.Time, in Input) Output {
	n.out = Output{}
	if n.start.IsZero() {
		n.start, n.now, n.heard = now, now, now
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
	n.request(in)
	if n.role == Leader {
		n.lead()
	}
	n.finish()
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
func (n *Node) request(in Input) {
	for _, p := range in.Propose {
		n.propose(p)
	}
	if in.Change != nil {
		n.change(*in.Change)
	}
	for _, id := range in.Read {
		n.read(id)
	}
	if in.Transfer != "" {
		n.startTransfer(in.Transfer)
	}
	if in.Compact != nil {
		n.compact(*in.Compact)
	}
}

// tick does what falls due with time.
func (n *Node) tick() {
	if n.unproven && n.now.Sub(n.heard) >= n.cfg.Election+provingBeats*n.cfg.Heartbeat {
		n.unproven = false
		if n.awaited {
			// Those that wait for this member ask again within this time.
			n.putOff(askBeats * n.cfg.Heartbeat)
		} else {
			// All may have started at once; the pause is drawn, so that one is first.
			n.putOff(time.Duration(n.rand.Int64N(int64(provingBeats * n.cfg.Heartbeat))))
		}
	}
	if n.group == "" || len(n.members()) == 0 {
		n.join()
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.role == PreCandidate && !n.now.Before(n.askAt) && n.now.Before(n.deadline) && !n.stalled() {
		n.preAsk()
	}
	if n.now.Before(n.deadline) || n.unproven || n.stalled() {
		return
	}
	// The log may be too old to show which members there are now, and whether this is
	// still one of them.
	n.join()
	if n.mayCampaign() {
		n.campaign(false)
	}
}

// stalled reports whether the disk hangs. Such a member cannot lead: it applies and
// votes only after a sync.
func (n *Node) stalled() bool {
	return len(n.writes) > 0 && n.now.Sub(n.writes[0].at) >= 2*n.cfg.Election
}

// onSynced releases what waited for a write.
func (n *Node) onSynced(number uint64) {
	if number <= n.synced || number > n.written {
		return
	}
	n.synced = number
	for len(n.writes) > 0 && n.writes[0].number <= number {
		w := n.writes[0]
		n.writes = n.writes[1:]
		if term, ok := n.log.term(w.index); ok && term == w.term {
			n.log.stable = max(n.log.stable, w.index)
		}
	}
	for len(n.held) > 0 && n.held[0].number <= number {
		n.out.Messages = append(n.out.Messages, n.held[0].msg)
		n.held = n.held[1:]
	}
	if n.role == Candidate && n.selfWrite > 0 && n.selfWrite <= number {
		n.selfWrite = 0
		n.ballots[n.name] = n.isVoter()
		n.countVotes()
	}
}

// finish composes the write of this step, tags the messages that wait for it and
// hands out the committed entries.
func (n *Node) finish() {
	if n.dirty || n.unsaved > 0 || n.snapshot != nil {
		n.written++
		w := &Write{Number: n.written, Snapshot: n.snapshot, State: n.hardState()}
		if n.unsaved > 0 {
			w.Entries = n.log.slice(n.unsaved, 1<<62)
		}
		n.out.Write = w
		n.writes = append(n.writes, mark{n.written, n.log.last(), n.log.lastTerm(), n.now})
		n.dirty, n.unsaved, n.snapshot = false, 0, nil
	}
	if n.role == Candidate && n.selfWrite == 0 && !n.ballots[n.name] {
		n.selfWrite = n.written
	}
	kept := n.held[:0]
	for _, h := range n.held {
		if h.number == 0 {
			h.number = n.written
		}
		if h.number <= n.synced {
			n.out.Messages = append(n.out.Messages, h.msg)
			continue
		}
		kept = append(kept, h)
	}
	n.held = kept
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
		Term: n.term, Vote: n.vote.Name, Candidate: n.vote.Incarnation,
		Commit: min(n.commit, n.log.last()),
	}
}
