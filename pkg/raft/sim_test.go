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
	simStep      = 3 * time.Millisecond
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
	name    string
	node    *Node // nil while it is down
	disk    disk
	writes  []timed[Write]
	image   *disk // taken before the disk was wiped
	rate    float64
	upAt    time.Duration
	frozen  time.Duration // until
	inbox   []Message
	joining []Member
	tracker Tracker
	index   uint64 // state machine: last applied entry and hash over all of them
	chain   uint64
	faulted bool
	hung    bool // the disk completes no writes
	trap    bool // crash as soon as an answer to a vote waits for its write
}

type timed[T any] struct {
	what T
	due  time.Duration
}

// mutation turns one rule off, either in the simulated runner or by a hook.
type mutation struct {
	hooks        hooks
	earlyVote    bool // send answers to votes before the vote is synced
	earlyAck     bool // send acknowledgements of appends before they are synced
	fastClocks   bool // all clocks but one run at twice its speed
	trusting     bool // a restarted member is taken as proven
	keepIdentity bool // a blank disk keeps its incarnation
	blindAppend  bool // make followers accept appends at any position
}

// sim runs a group under faults. It is deterministic for a seed.
type sim struct {
	rng      *rand.Rand
	now      time.Duration
	names    []string
	servers  map[string]*server
	packets  []timed[Message]
	blocked  map[[2]string]bool
	idle     bool // clients only read
	drop     float64
	slow     float64
	mutation mutation
	cfg      Config
	ids      uint64
	readers  map[uint64]uint64 // highest index committed when the read was asked for
	floor    uint64            // highest index committed when a disk was last lost
	check    *checker
}

func newSim(seed uint64, size int, cfg Config, m mutation) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{},
		blocked: map[[2]string]bool{}, mutation: m, cfg: cfg,
		readers: map[uint64]uint64{}, check: newChecker(),
	}
	for i := range size {
		s.names = append(s.names, string(rune('a'+i)))
	}
	for i, name := range s.names {
		srv := &server{name: name, disk: disk{incarnation: s.rng.Uint64() | 1}}
		// Two clocks differ by at most 5%: 1.024/0.976 < 1.05.
		srv.rate = 0.976 + 0.048*float64(s.rng.IntN(3))/2
		if m.fastClocks && i > 0 {
			srv.rate *= 2
		}
		s.servers[name] = srv
		s.start(srv)
	}
	return s
}

// save returns the state machine's state, padded so that it takes several messages.
func (srv *server) save() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, srv.chain), make([]byte, 1000)...)
}

// start starts the process of a server from its disk.
func (s *sim) start(srv *server) {
	cfg := s.cfg
	cfg.Name, cfg.Incarnation, cfg.Group = srv.name, srv.disk.incarnation, srv.disk.group
	cfg.Restarted = srv.disk.group != "" && !s.mutation.trusting
	cfg.Peers, cfg.Found, cfg.NewGroup = s.names, true, "group"
	cfg.Election, cfg.Heartbeat, cfg.Seed = simElection, simHeartbeat, s.rng.Uint64()
	d := srv.disk.clone()
	cfg.State, cfg.Snapshot, cfg.Entries = d.state, d.snapshot, d.entries
	if err := cfg.Check(); err != nil {
		s.check.fail(machineSafety, "%s recovered an impossible state: %v", srv.name, err)
	}
	srv.node = New(cfg)
	srv.node.hooks = s.mutation.hooks
	srv.writes, srv.inbox, srv.frozen, srv.faulted = nil, nil, 0, false
	srv.index, srv.chain, srv.upAt, srv.tracker = 0, 0, s.now, Tracker{}
	s.step(srv, Input{})
}

// crash stops a process. Some of its unsynced writes reach the disk nevertheless,
// in order.
func (s *sim) crash(srv *server) {
	for _, w := range srv.writes[:s.rng.IntN(len(srv.writes)+1)] {
		srv.disk.apply(w.what)
	}
	srv.node = nil
}

// wipe replaces the disk by a blank one.
func (s *sim) wipe(srv *server) {
	image := srv.disk.clone()
	srv.image, srv.disk, s.floor = &image, disk{incarnation: s.rng.Uint64() | 1}, s.check.highest
	if s.mutation.keepIdentity {
		srv.disk.incarnation = image.incarnation
	}
}

// clock is the time on the server's own clock.
func (s *sim) clock(srv *server) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(s.now-srv.upAt) * srv.rate))
}

func (s *sim) step(srv *server, in Input) {
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
		s.check.written(out.Write.Entries, srv.node)
		due := s.now + time.Duration(s.rng.IntN(6))*time.Millisecond
		if s.rng.IntN(50) == 0 {
			due += simElection
		}
		if n := len(srv.writes); n > 0 {
			due = max(due, srv.writes[n-1].due)
		}
		srv.writes = append(srv.writes, timed[Write]{*out.Write, due})
	}
	for _, h := range srv.node.held {
		if (s.mutation.earlyVote && h.msg.Kind == KindVoteReply) || (s.mutation.earlyAck && h.msg.Kind == KindAppendReply) {
			s.send(h.msg)
		}
	}
	for _, m := range out.Messages {
		s.send(m)
	}
	s.applyOutput(srv, out)
	s.check.leader(srv)
	if srv.trap && slices.ContainsFunc(srv.node.held, func(h heldMessage) bool { return h.msg.Kind == KindVoteReply }) {
		srv.trap = false
		s.crash(srv)
		s.start(srv)
	}
}

func (s *sim) applyOutput(srv *server, out Output) {
	if out.Restore != nil {
		srv.index = out.Restore.Index
		srv.chain = binary.LittleEndian.Uint64(out.Restore.Data)
		s.check.applied(srv)
	}
	for _, e := range out.Committed {
		s.check.committed(srv, e)
		b := binary.LittleEndian.AppendUint64(nil, srv.chain)
		b = binary.LittleEndian.AppendUint64(b, e.Term)
		srv.index, srv.chain = e.Index, xxhash.Sum64(append(b, e.Data...))
		s.check.applied(srv)
	}
	for _, r := range out.Reads {
		if r.Err == nil {
			s.check.read(r.Index, s.readers[r.ID])
		}
		delete(s.readers, r.ID)
	}
	srv.joining = append(srv.joining, out.Joining...)
	for _, o := range srv.tracker.Step(out) {
		s.check.outcome(o)
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
		if s.rng.Float64() < s.drop {
			continue
		}
		due := s.now + time.Duration(1+s.rng.IntN(8))*time.Millisecond
		if s.rng.Float64() < s.slow {
			due += time.Duration(s.rng.Int64N(int64(2 * simElection)))
		}
		s.packets = append(s.packets, timed[Message]{m, due})
	}
}

// run advances the time.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.check.violation == ""; {
		s.now += simStep
		s.deliver()
		for _, name := range s.names {
			s.work(s.servers[name])
		}
		s.operator()
		s.client()
	}
}

func (s *sim) deliver() {
	s.packets = slices.DeleteFunc(s.packets, func(p timed[Message]) bool {
		if srv := s.servers[p.what.To]; p.due <= s.now {
			srv.inbox = append(srv.inbox, p.what)
		}
		return p.due <= s.now
	})
}

// work lets a process handle its messages, syncs and timers, unless it is frozen.
func (s *sim) work(srv *server) {
	if srv.frozen > s.now {
		return
	}
	inbox := srv.inbox
	srv.inbox = nil
	for len(srv.writes) > 0 && srv.writes[0].due <= s.now && !srv.hung && srv.node != nil {
		w := srv.writes[0].what
		srv.writes = srv.writes[1:]
		srv.disk.apply(w)
		s.step(srv, Input{Synced: w.Number})
	}
	for _, m := range inbox {
		if s.mutation.blindAppend && m.Kind == KindAppend && srv.node != nil {
			m.Prior, _ = srv.node.log.term(m.Index)
		}
		s.step(srv, Input{Message: &m})
	}
	s.step(srv, Input{})
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
func (s *sim) client() {
	for _, srv := range s.leaders() {
		if srv.frozen > s.now {
			continue
		}
		s.ids++
		switch r := s.rng.IntN(4); {
		case r == 0 && !s.idle:
			s.step(srv, Input{Propose: []Proposal{{ID: s.ids, Data: binary.LittleEndian.AppendUint64(nil, s.ids)}}})
		case r == 1:
			s.readers[s.ids] = s.check.highest
			s.step(srv, Input{Read: []uint64{s.ids}})
		}
	}
}

// operator wipes folders that were found to be out of date and makes the changes
// that a leader recommends.
func (s *sim) operator() {
	for _, name := range s.names {
		if srv := s.servers[name]; srv.faulted && srv.node != nil {
			s.crash(srv)
			s.wipe(srv)
			s.start(srv)
		}
	}
	for _, srv := range s.leaders() {
		if c, ok := srv.node.Repair(srv.joining, s.names); ok && srv.frozen <= s.now {
			s.check.promotion(srv, s.servers[c.Member.Name], c, func() { s.step(srv, Input{Change: &c}) })
		}
		srv.joining = nil
	}
}
