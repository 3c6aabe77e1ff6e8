package replica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wal"
	"github.com/jaystage/jaystage/pkg/wire"
)

var (
	fullDiskSeeds = flag.Int("fulldisk.seeds", 2, "number of schedules of full disks to simulate")
	fullDiskFirst = flag.Uint64("fulldisk.first", 1, "first seed")
)

// simMessage is a Raft message on its way.
type simMessage struct {
	due     time.Time
	message raft.Message
}

// simVoter is a process with a voter.
type simVoter struct {
	name     string
	disk     *simDisk
	joinOnly bool

	r *Replica // nil while the process is down
	v *voter
	// serving is true while the voter's loop would run; otherwise it tries to open the
	// directory at reopenAt.
	serving  bool
	reopenAt time.Time
	batch    []job // being stored until storedAt
	storedAt time.Time

	lastHeard, nextJoin time.Time
	session             uint64 // incarnation of the process's session; zero before its first one
	nextRenewal         time.Time
	restartAt           time.Time // of a process that ended
	gone                bool      // the VM does not come back
	stop                *simStop  // of a process that was told to stop
	exits               []error
}

// simChange is a change that a client repeats until it is acknowledged.
type simChange struct {
	id, key string
	answer  chan result
	sentAt  time.Time
	asked   time.Time // when the client sent it first
	acked   time.Time
}

// sim runs the real voters on simulated disks, links and clocks.
type sim struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	voters  []*simVoter
	network []simMessage
	initial []string
	size    int // Config.GroupSize
	// electionTimeout is Config.ElectionTimeout; zero selects the default.
	electionTimeout time.Duration
	changes         []*simChange
	unacked         []*simChange
	log             logrus.FieldLogger
	// cutOff are the voters on the smaller side of a network that is cut in two.
	cutOff map[string]bool
}

// connected reports whether the network connects two voters.
func (s *sim) connected(a, b string) bool { return s.cutOff[a] == s.cutOff[b] }

// simLinks delivers Raft messages through the simulated network.
type simLinks struct {
	s    *sim
	from string
}

func (l simLinks) Handle(string, peer.Handler) {}
func (l simLinks) CloseIfSilent(string)        {}

func (l simLinks) Call(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

func (l simLinks) Send(to, kind string, message any) error {
	if m, ok := message.(raft.Message); ok && kind == kindRaft && l.s.connected(l.from, to) {
		due := l.s.now.Add(time.Duration(1+l.s.rng.IntN(8)) * time.Millisecond)
		m.To = to
		l.s.network = append(l.s.network, simMessage{due, m})
	}
	return nil
}

const (
	simStep      = 10 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// formationTime is the time for a group to form, after the first disk has room.
	formationTime = 3 * time.Second
)

func newSim(t *testing.T, seed uint64, size int, joiner bool) *sim {
	s := newEmptySim(t, seed, size)
	if joiner {
		s.voters = append(s.voters, s.newVoter("j"))
	}
	if s.rng.IntN(3) == 0 { // a disk is full when the group is formed
		first := s.voters[s.rng.IntN(len(s.voters))].disk
		first.full = true
		defer func() { s.run(2*time.Second, true); first.full = false }()
	}
	for _, p := range s.voters {
		s.startProcess(p)
	}
	return s
}

// newEmptySim returns a simulation whose first voters are not started yet.
func newEmptySim(t *testing.T, seed uint64, size int) *sim {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), size: size, log: log}
	s.start = s.now
	for i := range size {
		s.initial = append(s.initial, string(rune('a'+i)))
	}
	for _, name := range s.initial {
		s.voters = append(s.voters, s.newVoter(name))
	}
	return s
}

func (s *sim) newVoter(name string) *simVoter {
	return &simVoter{name: name, disk: &simDisk{rng: s.rng, files: map[string]*simFile{}}, joinOnly: !slices.Contains(s.initial, name)}
}

// startProcess starts a voter's process. One that ends at once is counted.
func (s *sim) startProcess(p *simVoter) {
	seeds := s.seeds()
	r, err := Open(Config{
		Entry: config.Node{Name: p.name, Domain: "d"}, Voter: true, JoinOnly: p.joinOnly, GroupSize: s.size, DataDir: "/data", InitialVoters: seeds, Seeds: seeds,
		ElectionTimeout: s.electionTimeout,
		Links:           simLinks{s, p.name}, Log: s.log, hooks: hooks{
			fs: p.disk, now: func() time.Time { return s.now }, seed: s.rng.Uint64, random: randomReader{s.rng}, snapshotEach: 40, segmentBytes: 2000,
		},
	})
	if err != nil {
		s.exited(p, err)
		return
	}
	p.r, p.v, p.batch, p.lastHeard, p.session = r, r.voter, nil, s.now, 0
	p.nextJoin = s.now.Add(joinInterval)
	p.serving, p.reopenAt = p.v.inService, s.now.Add(reopenInterval)
}

// seeds lists the voters that a starting process is told: all first ones, or later three of
// those that run.
func (s *sim) seeds() []string {
	if s.now.Sub(s.start) < formationTime {
		return s.initial
	}
	var running []string
	for _, p := range s.voters {
		if p.r != nil {
			running = append(running, p.name)
		}
	}
	s.rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	return running[:min(3, len(running))]
}

type randomReader struct{ rng *rand.Rand }

func (r randomReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.rng.Uint32())
	}
	return len(b), nil
}

// kill ends a process, with a loss of power half of the time.
func (s *sim) kill(p *simVoter) {
	p.r, p.v, p.serving, p.batch, p.stop = nil, nil, false, nil, nil
	if s.rng.IntN(2) == 0 {
		p.disk.losePower()
	}
}

// failed ends the service of a voter after an error of its loop, as voter.serve and
// voter.run do.
func (s *sim) failed(p *simVoter, err error) {
	p.v.stepDown()
	err = errors.Join(err, p.v.log.Close())
	p.serving, p.batch, p.reopenAt = false, nil, s.now.Add(reopenInterval)
	if !errors.Is(err, wal.ErrDurability) {
		s.exited(p, err)
	}
}

// exited records that a process ended by itself.
func (s *sim) exited(p *simVoter, err error) {
	p.exits = append(p.exits, fmt.Errorf("at %v: %w", s.now.Sub(s.start), err))
	p.r, p.v, p.serving, p.restartAt = nil, nil, false, s.now.Add(restartDelay)
}

// step runs one step of a voter's loop with an input.
func (s *sim) step(p *simVoter, in raft.Input) {
	if !p.serving {
		return
	}
	if err := p.v.step(in); err != nil {
		s.failed(p, err)
	}
}

// runVoter does what the goroutines of a process would do in one simStep.
func (s *sim) runVoter(p *simVoter) {
	switch {
	case p.gone:
		return
	case p.r == nil:
		if !s.now.Before(p.restartAt) {
			s.startProcess(p)
		}
		return
	case !p.serving:
		for len(p.v.inbox) > 0 {
			q := <-p.v.inbox
			q.reject(errNotLeader)
		}
		if s.now.Before(p.reopenAt) {
			return
		}
		p.reopenAt = s.now.Add(reopenInterval)
		err := p.v.open()
		var corrupt *wal.CorruptError
		p.serving = err == nil
		if errors.As(err, &corrupt) {
			s.exited(p, err)
		}
		return
	}
	if p.batch != nil && !s.now.Before(p.storedAt) {
		result := p.v.writer.store(p.batch)
		p.batch = nil
		if result.err != nil {
			s.failed(p, result.err)
			return
		}
		p.v.writer.batchDone()
		s.step(p, raft.Input{Synced: result.number})
	}
	for p.serving && len(p.v.inbox) > 0 {
		var in raft.Input
		p.v.fillBatch(&in, <-p.v.inbox)
		s.step(p, in)
	}
	s.step(p, raft.Input{})
	if p.serving && p.batch == nil && len(p.v.writer.batches) > 0 {
		p.batch, p.storedAt = <-p.v.writer.batches, s.now.Add(time.Duration(s.rng.IntN(12))*time.Millisecond)
	}
}

// leader returns the voter that leads in the highest term, if any.
func (s *sim) leader() *simVoter {
	return s.leaderAmong(func(string) bool { return true })
}

// leaderFor returns the leader that a process can reach, if any.
func (s *sim) leaderFor(p *simVoter) *simVoter {
	return s.leaderAmong(func(name string) bool { return s.connected(p.name, name) })
}

func (s *sim) leaderAmong(reached func(name string) bool) (leader *simVoter) {
	for _, p := range s.voters {
		if p.serving && p.v.leaderState != nil && reached(p.name) && (leader == nil || p.v.status.Term > leader.v.status.Term) {
			leader = p
		}
	}
	return leader
}

// join does what Replica.Join and the leader's Replica.onVoters do.
func (s *sim) join(p *simVoter) {
	if p.r == nil || p.stop != nil || s.now.Before(p.nextJoin) {
		return
	}
	p.nextJoin = s.now.Add(joinInterval)
	own, known := p.v.currentMembership()
	if own.leaderKnown {
		p.lastHeard = s.now
	}
	step, due := p.r.joinStep(own, s.now.Sub(p.lastHeard))
	l := s.leaderFor(p)
	if !known || !due || l == nil {
		return
	}
	member := raft.Member{Name: step.Name, Incarnation: step.Incarnation}
	l.v.inbox <- request{read: func(err error) {
		if err != nil {
			return
		}
		change := raft.Change{Kind: changeKinds[step.Verb], Member: member}
		isMember := slices.ContainsFunc(l.v.status.Members, func(m raft.Member) bool { return m.Name == step.Name })
		if unresponsive, found := l.v.unresponsiveVoter(); step.Verb == VerbAdd && !isMember && found {
			change = raft.Change{Kind: raft.ChangeRemove, Member: unresponsive}
		}
		l.v.inbox <- request{change: &change, answer: make(chan result, 1)}
	}}
}

// renewSession keeps up the session of a process, as session.run does.
func (s *sim) renewSession(p *simVoter) {
	l := s.leaderFor(p)
	if p.r == nil || l == nil || s.now.Before(p.nextRenewal) {
		return
	}
	p.nextRenewal = s.now.Add(renewInterval)
	if p.session == 0 {
		p.session = uint64(s.now.UnixNano())
		s.sendSession(l, p, true)
		return
	}
	renewal, process := wire.Renew{Node: p.name, Incarnation: p.session, Version: p.v.machine.Space.Version}, p.r
	l.v.inbox <- request{read: func(err error) {
		if err == nil && l.v.leaderState.renew(renewal).Ended && p.r == process {
			p.session = 0
		}
	}}
}

// sendSession starts or ends the session of a process.
func (s *sim) sendSession(l, p *simVoter, up bool) {
	command := &wire.Command{Session: &wire.Session{Node: p.name, Incarnation: p.session, Up: up, Value: []byte(`{}`)}}
	l.v.inbox <- request{command: command, answer: make(chan result, 1)}
}

// runClients sends a new change from time to time and repeats those without an answer.
func (s *sim) runClients(newChanges bool) {
	if newChanges && s.rng.IntN(8) == 0 {
		s.addChange()
	}
	s.unacked = slices.DeleteFunc(s.unacked, func(c *simChange) bool { return !c.acked.IsZero() })
	for _, c := range s.unacked {
		select {
		case res := <-c.answer:
			if res.err == nil && res.outcome.Changed != nil && len(res.outcome.Changed.Conflict) == 0 {
				c.acked = s.now
				continue
			}
			c.answer = nil
		default:
		}
		if c.answer != nil && s.now.Sub(c.sentAt) < callTimeout {
			continue
		}
		if l := s.leader(); l != nil {
			c.answer, c.sentAt = make(chan result, 1), s.now
			change := wire.Change{ID: c.id, Base: ^uint64(0), Items: []wire.Item{{Key: c.key, Value: []byte(`{"name":"x"}`)}}}
			l.v.inbox <- request{command: &wire.Command{Change: &change}, answer: c.answer}
		}
	}
}

func (s *sim) addChange() *simChange {
	id := fmt.Sprint("c", len(s.changes))
	c := &simChange{id: id, key: "domain/" + id, asked: s.now}
	s.changes, s.unacked = append(s.changes, c), append(s.unacked, c)
	return c
}

// run simulates a time.
func (s *sim) run(d time.Duration, newChanges bool) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		var due []simMessage
		s.network = slices.DeleteFunc(s.network, func(m simMessage) bool {
			if m.due.After(s.now) {
				return false
			}
			due = append(due, m)
			return true
		})
		for _, m := range due {
			for _, p := range s.voters {
				if p.name == m.message.To && s.connected(m.message.From, p.name) {
					s.step(p, raft.Input{Message: &m.message})
				}
			}
		}
		for _, p := range s.voters {
			s.runVoter(p)
			s.renewSession(p)
			s.join(p)
			s.leave(p)
		}
		s.runClients(newChanges)
	}
}

// disturb lets another event happen while a disk may be full.
func (s *sim) disturb(full *simVoter) {
	l := s.leader()
	switch s.rng.IntN(6) {
	case 0: // the voter with the full disk restarts
		if full.disk.full {
			s.kill(full)
		}
	case 1: // the leader changes
		if l != nil {
			l.v.startTransfer()
		}
	case 2: // a short restart of another voter, where the group bears both
		if p := s.voters[s.rng.IntN(len(s.voters))]; p != full && s.size >= 5 {
			s.kill(p)
		}
	}
}

// fillDisks fills the disks one after another, each for some seconds.
func (s *sim) fillDisks() {
	for range 2 + s.rng.IntN(2) {
		order := s.rng.Perm(len(s.voters))
		if s.rng.IntN(3) == 0 { // always the disk of the leader
			order = slices.Repeat([]int{-1}, len(s.voters))
		}
		for _, i := range order {
			p := s.leader()
			if i >= 0 || p == nil {
				p = s.voters[max(0, i)]
			}
			p.disk.full = true
			for end := s.now.Add(time.Duration(200+s.rng.IntN(5000)) * time.Millisecond); s.now.Before(end); {
				s.run(time.Duration(100+s.rng.IntN(1000))*time.Millisecond, true)
				s.disturb(p)
			}
			p.disk.full = false
			if s.rng.IntN(2) == 0 {
				s.run(time.Duration(s.rng.IntN(3000))*time.Millisecond, true)
			}
		}
	}
}

// check compares the voters with what was acknowledged.
func (s *sim) check() {
	t := s.t
	for _, p := range s.voters {
		if len(p.exits) > 0 {
			t.Errorf("seed %d: the process of %s ended %d times, first %v", s.seed, p.name, len(p.exits), p.exits[0])
		}
	}
	l := s.leader()
	if l == nil {
		t.Fatalf("seed %d: no voter leads", s.seed)
	}
	// A voter that joined stays beyond the size of the group until one is unresponsive.
	if got := l.v.status.Members; len(got) < s.size || slices.ContainsFunc(got, func(m raft.Member) bool { return m.Learner }) {
		t.Errorf("seed %d: got the members %v, want %d voters or more", s.seed, got, s.size)
	}
	lost := 0
	for _, c := range s.changes {
		if c.acked.IsZero() {
			t.Errorf("seed %d: change %s of %v is not acknowledged", s.seed, c.id, c.asked.Sub(s.start))
		} else if _, ok := l.v.machine.Space.Items[c.key]; !ok {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("seed %d: got %d acknowledged changes lost of %d", s.seed, lost, len(s.changes))
	}
	for _, p := range s.voters {
		isMember := slices.ContainsFunc(l.v.status.Members, func(m raft.Member) bool { return m.Name == p.name })
		if isMember && (!p.serving || p.v.machine.Space.Version != l.v.machine.Space.Version) {
			t.Errorf("seed %d: voter %s has not caught up", s.seed, p.name)
		}
	}
}

// checkDelays checks that every change was acknowledged within a limit, since a quorum of the
// disks had room at any time. It returns the longest delay. A group cannot form without all
// its first voters, so the changes before the first full disk do not count.
func (s *sim) checkDelays(limit time.Duration) (longest time.Duration) {
	for _, c := range s.changes {
		if c.acked.IsZero() || c.asked.Before(s.start.Add(formationTime)) {
			continue
		}
		delay := c.acked.Sub(c.asked)
		if delay > limit {
			s.t.Errorf("seed %d: change %s of %v is acknowledged after %v, want at most %v", s.seed, c.id, c.asked.Sub(s.start), delay, limit)
		}
		longest = max(longest, delay)
	}
	return longest
}

// Load pattern: the disks of all voters are full for some seconds each, one after another
// and never two at once, while changes come, leaders change, processes restart, a voter
// joins and snapshots are taken. Guards against changes that are refused or unanswered
// meanwhile or after the last disk has room again, against a voter that never catches up, against
// processes that end, and against the loss of an acknowledged change.
func TestDisksFullInTurn(t *testing.T) {
	const ackTime, ackTimeMeanwhile, catchUpTime = 3 * time.Second, 5 * time.Second, 8 * time.Second
	for _, c := range []struct {
		name   string
		size   int
		joiner bool
	}{{"three voters", 3, false}, {"three voters and one that joins", 3, true}, {"five voters", 5, false}, {"five voters and one that joins", 5, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var slowest, slowestEver time.Duration
			count := 0
			for i := range *fullDiskSeeds {
				s := newSim(t, *fullDiskFirst+uint64(i), c.size, c.joiner)
				s.run(formationTime, true)
				s.fillDisks()
				last := s.addChange()
				s.run(ackTime, false)
				if last.acked.IsZero() {
					t.Errorf("seed %d: a change is not acknowledged %v after the last disk has room again", s.seed, ackTime)
				}
				slowest = max(slowest, last.acked.Sub(last.asked))
				s.run(catchUpTime, false)
				s.check()
				count += len(s.changes)
				slowestEver = max(slowestEver, s.checkDelays(ackTimeMeanwhile))
			}
			t.Logf("%d schedules, %d changes acknowledged after %v at most, the last ones after %v", *fullDiskSeeds, count, slowestEver, slowest)
		})
	}
}
