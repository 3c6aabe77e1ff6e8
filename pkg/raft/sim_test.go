package raft

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	simElection  = 100 * time.Millisecond
	simHeartbeat = 12 * time.Millisecond
	simTick      = 3 * time.Millisecond
)

// disk is what survives a crash of one server.
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

// apply stores one write the way package wal does.
func (d *disk) apply(w Write) {
	if s := w.Snapshot; s != nil {
		agrees := slices.ContainsFunc(d.entries, func(e Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return !agrees || e.Index <= s.Index })
		d.snapshot = *s
	}
	d.state = w.State
	for _, e := range w.Entries {
		if e.Index > d.snapshot.Index {
			d.entries = append(d.entries[:e.Index-d.snapshot.Index-1], e)
		}
	}
}

// server is one process with its disk and clock.
type server struct {
	name                string
	node                *Node // nil while it is down
	disk                disk
	writes              []timed[Write]
	oldDisk             *disk // taken before the disk was wiped
	clockRate           float64
	startedAt           time.Duration
	frozenUntil         time.Duration // until
	inbox               []Message
	joinRequests        []Member
	tracker             ProposalTracker
	appliedIndex        uint64 // state machine: last applied entry and hash over all of them
	stateHash           uint64
	faulted             bool
	diskHung            bool // the disk completes no writes
	crashBeforeVoteSync bool // crash as soon as an answer to a vote waits for its write
}

type timed[T any] struct {
	value T
	due   time.Duration
}

// mutation turns one rule off, either in the simulated runner or by a hook.
type mutation struct {
	hooks           hooks
	voteBeforeSync  bool // send answers to votes before the vote is synced
	ackBeforeSync   bool // send acknowledgements of appends before they are synced
	fastClocks      bool // all clocks but one run at twice its speed
	skipRecovery    bool // a restarted member is taken as proven
	keepIncarnation bool // a blank disk keeps its incarnation
	skipLogMatch    bool // make followers accept appends at any position
}

// sim runs a group under faults. It is deterministic for a seed.
type sim struct {
	rng              *rand.Rand
	now              time.Duration
	names            []string
	servers          map[string]*server
	network          []timed[Message]
	blocked          map[[2]string]bool
	proposalsStopped bool // clients only read
	dropRate         float64
	delayRate        float64
	mutation         mutation
	cfg              Config
	lastID           uint64
	readMinIndexes   map[uint64]uint64 // highest index committed when the read was asked for
	commitAtDiskLoss uint64            // highest index committed when a disk was last lost
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
		// Two clocks differ by at most 5%: 1.024/0.976 < 1.05.
		srv.clockRate = 0.976 + 0.048*float64(s.rng.IntN(3))/2
		if m.fastClocks && i > 0 {
			srv.clockRate *= 2
		}
		s.servers[name] = srv
		s.startServer(srv)
	}
	return s
}

// save returns the state machine's state, padded so that it takes several messages.
func (srv *server) snapshotData() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, srv.stateHash), make([]byte, 1000)...)
}

// start starts the process of a server from its disk.
func (s *sim) startServer(srv *server) {
	cfg := s.cfg
	cfg.Name, cfg.Incarnation, cfg.Group = srv.name, srv.disk.incarnation, srv.disk.group
	cfg.Restarted = srv.disk.group != "" && !s.mutation.skipRecovery
	cfg.Peers, cfg.Bootstrap, cfg.NewGroup = s.names, true, "group"
	cfg.ElectionTimeout, cfg.HeartbeatInterval, cfg.Seed = simElection, simHeartbeat, s.rng.Uint64()
	d := srv.disk.clone()
	cfg.State, cfg.Snapshot, cfg.Entries = d.state, d.snapshot, d.entries
	if err := cfg.Validate(); err != nil {
		s.checker.fail(stateMachineSafety, "%s recovered an impossible state: %v", srv.name, err)
	}
	srv.node = New(cfg)
	srv.node.hooks = s.mutation.hooks
	srv.writes, srv.inbox, srv.frozenUntil, srv.faulted = nil, nil, 0, false
	srv.appliedIndex, srv.stateHash, srv.startedAt, srv.tracker = 0, 0, s.now, ProposalTracker{}
	s.stepServer(srv, Input{})
}

// crash stops a process. Some of its unsynced writes reach the disk nevertheless,
// in order.
func (s *sim) crash(srv *server) {
	for _, w := range srv.writes[:s.rng.IntN(len(srv.writes)+1)] {
		srv.disk.apply(w.value)
	}
	srv.node = nil
}

// wipe replaces the disk by a blank one.
func (s *sim) wipeDisk(srv *server) {
	image := srv.disk.clone()
	srv.oldDisk, srv.disk, s.commitAtDiskLoss = &image, disk{incarnation: s.rng.Uint64() | 1}, s.checker.commitIndex
	if s.mutation.keepIncarnation {
		srv.disk.incarnation = image.incarnation
	}
}

// clock is the time on the server's own clock.
func (s *sim) clock(srv *server) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now-srv.startedAt) * srv.clockRate))
}

func (s *sim) stepServer(srv *server, in Input) {
	if srv.node == nil || srv.faulted {
		return
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
			due += simElection
		}
		if n := len(srv.writes); n > 0 {
			due = max(due, srv.writes[n-1].due)
		}
		srv.writes = append(srv.writes, timed[Write]{*out.Write, due})
	}
	for _, h := range srv.node.deferred {
		if (s.mutation.voteBeforeSync && h.msg.Kind == KindVoteReply) || (s.mutation.ackBeforeSync && h.msg.Kind == KindAppendReply) {
			s.send(h.msg)
		}
	}
	for _, m := range out.Messages {
		s.send(m)
	}
	s.applyOutput(srv, out)
	s.checker.checkLeader(srv)
	if srv.crashBeforeVoteSync && slices.ContainsFunc(srv.node.deferred, func(h deferredMessage) bool { return h.msg.Kind == KindVoteReply }) {
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

// send puts a message on the network: it may be lost, late, repeated or overtaken.
// A partition that begins later does not stop it.
func (s *sim) send(m Message) {
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
			due += time.Duration(s.rng.Int64N(int64(2 * simElection)))
		}
		s.network = append(s.network, timed[Message]{m, due})
	}
}

// run advances the time.
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

// work lets a process handle its messages, syncs and timers, unless it is frozen.
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

// leaders returns the servers that believe to lead, in order of names.
func (s *sim) leaders() []*server {
	var list []*server
	for _, name := range s.names {
		if srv := s.servers[name]; srv.node != nil && !srv.faulted && srv.node.role == Leader {
			list = append(list, srv)
		}
	}
	return list
}

// client proposes and reads at every server that believes to lead.
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

// operator wipes folders that were found to be out of date and makes the changes
// that a leader recommends.
func (s *sim) runOperator() {
	for _, name := range s.names {
		if srv := s.servers[name]; srv.faulted && srv.node != nil {
			s.crash(srv)
			s.wipeDisk(srv)
			s.startServer(srv)
		}
	}
	for _, srv := range s.leaders() {
		if c, ok := srv.node.NextChange(srv.joinRequests, s.names); ok && srv.frozenUntil <= s.now {
			s.checker.checkPromotion(srv, s.servers[c.Member.Name], c, func() { s.stepServer(srv, Input{Change: &c}) })
		}
		srv.joinRequests = nil
	}
}
