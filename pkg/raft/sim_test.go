package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	simElectionTimeout   = 100 * time.Millisecond
	simHeartbeatInterval = 12 * time.Millisecond
	simTick              = 3 * time.Millisecond
)

// disk is the state of a server that survives a crash.
type disk struct {
	group       string
	incarnation uint64
	state       HardState
	snapshot    Snapshot
	entries     []Entry
}

func (d *disk) clone() disk {
	c := *d
	c.entries = slices.Clone(d.entries)
	return c
}

// apply stores a write as package wal does.
func (d *disk) apply(w Write) {
	if s := w.Snapshot; s != nil {
		matches := slices.ContainsFunc(d.entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return !matches || e.Index <= s.Index })
		d.snapshot = *s
	}
	d.state = w.State
	for _, e := range w.Entries {
		if e.Index > d.snapshot.Index {
			d.entries = append(d.entries[:e.Index-d.snapshot.Index-1], e)
		}
	}
}

// server is a process with its disk and clock.
type server struct {
	name                string
	node                *Node // nil while the process is down
	disk                disk
	writes              []timed[Write]
	oldDisk             *disk // copy taken before the disk was last wiped
	clockRate           float64
	startedAt           time.Duration
	frozenUntil         time.Duration
	inbox               []Message
	joinRequests        []Member
	tracker             ProposalTracker
	appliedIndex        uint64 // index of the last entry applied to the state machine
	stateHash           uint64 // hash over all applied entries
	faulted             bool
	diskHung            bool // the disk completes no writes
	crashBeforeVoteSync bool // crash as soon as a vote reply waits for its write
	gone                bool // the process never starts again
	earlier             bool // its release does not know halves
}

type timed[T any] struct {
	value T
	due   time.Duration
}

// mutation disables safety rules, either in the simulated runner or by hooks in Node.
type mutation struct {
	hooks           hooks
	voteBeforeSync  bool // send vote replies before the vote is synced
	ackBeforeSync   bool // acknowledge appends before they are synced
	fastClocks      bool // all clocks but one run at twice the speed
	skipRecovery    bool // a restarted member may vote immediately
	keepIncarnation bool // an empty disk keeps the incarnation of the previous one
	skipLogMatch    bool // followers accept appends without the previous entry
	ignoreMarks     bool // messages of earlier releases look like those of this one
}

// sim simulates a group under faults. It is deterministic for a given seed.
type sim struct {
	rng              *rand.Rand
	now              time.Duration
	names            []string
	servers          map[string]*server
	network          []timed[Message]
	blocked          map[[2]string]bool
	side             []string // servers on one side of the last split
	proposalsStopped bool     // clients send only reads
	dropRate         float64
	delayRate        float64
	mutation         mutation
	cfg              Config
	lastID           uint64
	readMinIndexes   map[uint64]uint64 // commit index at the request, by ID of the read
	commitAtDiskLoss uint64            // commit index when a disk was last lost
	lossesLeft       int               // number of voters that may still be lost, see halfScenario
	checker          *checker
}

func newSim(seed uint64, size int, cfg Config, m mutation) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{},
		blocked: map[[2]string]bool{}, mutation: m, cfg: cfg,
		readMinIndexes: map[uint64]uint64{}, checker: newChecker(),
	}
	for i := range size {
		s.names = append(s.names, string(rune('a'+i)))
	}
	for i, name := range s.names {
		srv := &server{name: name, disk: disk{incarnation: s.rng.Uint64() | 1}}
		// The rates of two clocks differ by less than 5%: 1.024/0.976 < 1.05.
		srv.clockRate = 0.976 + 0.048*float64(s.rng.IntN(3))/2
		if m.fastClocks && i > 0 {
			srv.clockRate *= 2
		}
		s.servers[name] = srv
		s.startServer(srv)
	}
	return s
}

// snapshotData returns the state machine's state, padded so that it requires several
// messages.
func (srv *server) snapshotData() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, srv.stateHash), make([]byte, 1000)...)
}

// startServer starts the process of a server with the state on its disk.
func (s *sim) startServer(srv *server) {
	cfg := s.cfg
	cfg.Name, cfg.Incarnation, cfg.Group = srv.name, srv.disk.incarnation, srv.disk.group
	cfg.Restarted = srv.disk.group != "" && !s.mutation.skipRecovery
	cfg.Peers, cfg.Bootstrap, cfg.NewGroup = s.names, true, "group"
	cfg.ElectionTimeout, cfg.HeartbeatInterval, cfg.Seed = simElectionTimeout, simHeartbeatInterval, s.rng.Uint64()
	d := srv.disk.clone()
	if srv.earlier {
		d.entries, d.snapshot.Halves = withoutHalves(d.entries), false
	}
	cfg.State, cfg.Snapshot, cfg.Entries = d.state, d.snapshot, d.entries
	if err := cfg.Validate(); err != nil {
		s.checker.fail(stateMachineSafety, "%s recovered an invalid state: %v", srv.name, err)
	}
	srv.node = New(cfg)
	srv.node.hooks = s.mutation.hooks
	if srv.earlier {
		srv.node.hooks.singleQuorum, srv.node.hooks.earlierRelease = true, true
	}
	srv.writes, srv.inbox, srv.frozenUntil, srv.faulted = nil, nil, 0, false
	srv.appliedIndex, srv.stateHash, srv.startedAt, srv.tracker = 0, 0, s.now, ProposalTracker{}
	s.stepServer(srv, Input{})
}

// crash stops a process. A random number of its oldest unsynced writes still reach the
// disk.
func (s *sim) crash(srv *server) {
	for _, w := range srv.writes[:s.rng.IntN(len(srv.writes)+1)] {
		srv.disk.apply(w.value)
	}
	srv.node = nil
}

// wipeDisk replaces the disk by an empty one with a new incarnation.
func (s *sim) wipeDisk(srv *server) {
	image := srv.disk.clone()
	srv.oldDisk, srv.disk, s.commitAtDiskLoss = &image, disk{incarnation: s.rng.Uint64() | 1}, s.checker.commitIndex
	if s.mutation.keepIncarnation {
		srv.disk.incarnation = image.incarnation
	}
}

// clock returns the time on the server's own clock.
func (s *sim) clock(srv *server) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now-srv.startedAt) * srv.clockRate))
}

func (s *sim) stepServer(srv *server, in Input) {
	if srv.node == nil || srv.faulted {
		return
	}
	if srv.earlier && in.Message != nil {
		if in.Message.Kind == KindEmpty {
			return
		}
		m := inEarlierRelease(*in.Message)
		in.Message = &m
	}
	out := srv.node.Step(s.clock(srv), in)
	if out.Fault != nil {
		srv.faulted = true
		return
	}
	if out.Group != "" {
		srv.disk.group = out.Group
	}
	if out.Write != nil {
		s.checker.entriesWritten(out.Write.Entries, srv.node)
		due := s.now + time.Duration(s.rng.IntN(6))*time.Millisecond
		if s.rng.IntN(50) == 0 {
			due += simElectionTimeout
		}
		if n := len(srv.writes); n > 0 {
			due = max(due, srv.writes[n-1].due)
		}
		srv.writes = append(srv.writes, timed[Write]{*out.Write, due})
	}
	for _, d := range srv.node.deferred {
		if (s.mutation.voteBeforeSync && d.msg.Kind == KindVoteReply) || (s.mutation.ackBeforeSync && d.msg.Kind == KindAppendReply) {
			s.send(d.msg)
		}
	}
	for _, m := range out.Messages {
		s.send(m)
	}
	s.applyOutput(srv, out)
	s.checker.checkLeader(srv)
	if srv.crashBeforeVoteSync && slices.ContainsFunc(srv.node.deferred, func(d deferredMessage) bool { return d.msg.Kind == KindVoteReply }) {
		srv.crashBeforeVoteSync = false
		s.crash(srv)
		s.startServer(srv)
	}
}

func (s *sim) applyOutput(srv *server, out Output) {
	if out.Restore != nil {
		srv.appliedIndex = out.Restore.Index
		srv.stateHash = binary.LittleEndian.Uint64(out.Restore.Data)
		s.checker.entryApplied(srv)
	}
	for _, e := range out.Committed {
		s.checker.entryCommitted(srv, e)
		b := binary.LittleEndian.AppendUint64(nil, srv.stateHash)
		b = binary.LittleEndian.AppendUint64(b, e.Term)
		srv.appliedIndex, srv.stateHash = e.Index, xxhash.Sum64(append(b, e.Data...))
		s.checker.entryApplied(srv)
	}
	for _, r := range out.Reads {
		if r.Err == nil {
			s.checker.checkRead(r.Index, s.readMinIndexes[r.ID])
		}
		delete(s.readMinIndexes, r.ID)
	}
	srv.joinRequests = append(srv.joinRequests, out.JoinRequests...)
	for _, o := range srv.tracker.Step(out) {
		s.checker.checkOutcome(o)
	}
}

// send puts a message on the network. It may be lost, delayed, duplicated or reordered. A
// partition that starts later does not affect it.
func (s *sim) send(m Message) {
	if s.servers[m.From].earlier {
		if m.Kind == KindEmpty {
			return
		}
		m = inEarlierRelease(m)
		m.Halves = s.mutation.ignoreMarks
	}
	if s.blocked[[2]string{m.From, m.To}] {
		return
	}
	copies := 1
	if s.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.dropRate {
			continue
		}
		due := s.now + time.Duration(1+s.rng.IntN(8))*time.Millisecond
		if s.rng.Float64() < s.delayRate {
			due += time.Duration(s.rng.Int64N(int64(2 * simElectionTimeout)))
		}
		s.network = append(s.network, timed[Message]{m, due})
	}
}

// run simulates the group for the duration d, or until a property is violated.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.checker.violation == ""; {
		s.now += simTick
		s.deliver()
		for _, name := range s.names {
			s.runServer(s.servers[name])
		}
		s.runOperator()
		s.runClients()
	}
}

func (s *sim) deliver() {
	s.network = slices.DeleteFunc(s.network, func(p timed[Message]) bool {
		if srv := s.servers[p.value.To]; p.due <= s.now {
			srv.inbox = append(srv.inbox, p.value)
		}
		return p.due <= s.now
	})
}

// runServer processes synced writes, messages and timers of a server unless it is frozen.
func (s *sim) runServer(srv *server) {
	if srv.frozenUntil > s.now {
		return
	}
	inbox := srv.inbox
	srv.inbox = nil
	for len(srv.writes) > 0 && srv.writes[0].due <= s.now && !srv.diskHung && srv.node != nil {
		w := srv.writes[0].value
		srv.writes = srv.writes[1:]
		srv.disk.apply(w)
		s.stepServer(srv, Input{Synced: w.Number})
	}
	for _, m := range inbox {
		if s.mutation.skipLogMatch && m.Kind == KindAppend && srv.node != nil {
			m.Prior, _ = srv.node.log.term(m.Index)
		}
		s.stepServer(srv, Input{Message: &m})
	}
	s.stepServer(srv, Input{})
}

// leaders returns the servers in the role of leader, ordered by name.
func (s *sim) leaders() []*server {
	var list []*server
	for _, name := range s.names {
		if srv := s.servers[name]; srv.node != nil && !srv.faulted && srv.node.role == Leader {
			list = append(list, srv)
		}
	}
	return list
}

// runClients sends a proposal or a read request, at random, to every server in the role
// of leader.
func (s *sim) runClients() {
	for _, srv := range s.leaders() {
		if srv.frozenUntil > s.now {
			continue
		}
		s.lastID++
		switch r := s.rng.IntN(4); {
		case r == 0 && !s.proposalsStopped:
			s.stepServer(srv, Input{Propose: []Proposal{{ID: s.lastID, Data: binary.LittleEndian.AppendUint64(nil, s.lastID)}}})
		case r == 1:
			s.readMinIndexes[s.lastID] = s.checker.commitIndex
			s.stepServer(srv, Input{Read: []uint64{s.lastID}})
		}
	}
}

// runOperator wipes the disks of members that stopped because of a fault, and proposes the
// membership changes that a leader returns from NextChange.
func (s *sim) runOperator() {
	for _, name := range s.names {
		if srv := s.servers[name]; srv.faulted && srv.node != nil && !srv.gone {
			s.crash(srv)
			s.wipeDisk(srv)
			s.startServer(srv)
		}
	}
	for _, srv := range s.leaders() {
		for _, m := range srv.node.members() {
			if member := s.servers[m.Name]; member != nil && member.gone && !srv.node.pendingChange() {
				s.stepServer(srv, Input{Change: &Change{Kind: ChangeRemove, Member: m}})
			}
		}
		if c, ok := srv.node.NextChange(srv.joinRequests, s.names); ok && srv.frozenUntil <= s.now {
			s.checker.checkPromotion(srv, s.servers[c.Member.Name], c, func() { s.stepServer(srv, Input{Change: &c}) })
		}
		srv.joinRequests = nil
	}
}
