package raft

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// newIdleGroup returns a converged group, whose clients send no proposals, and its leader.
func newIdleGroup(t testing.TB, size int, cfg Config) (*sim, *server) {
	t.Helper()
	s := newSim(7, size, cfg, mutation{})
	s.proposalsStopped = true
	for range 40 {
		s.run(simElectionTimeout / 2)
		if s.converged() {
			return s, s.leaders()[0]
		}
	}
	t.Fatal("group did not start")
	return nil, nil
}

// follower returns the first server that is not the given leader.
func (s *sim) follower(leader *server) *server {
	return s.servers[s.names[slices.IndexFunc(s.names, func(n string) bool { return n != leader.name })]]
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// proposeChange proposes a membership change and returns the error in its result.
func proposeChange(t *testing.T, s *sim, srv *server, c Change) error {
	t.Helper()
	out := srv.node.Step(s.clock(srv), Input{Change: &c})
	if len(out.Results) != 1 {
		t.Fatalf("got %d results, want 1", len(out.Results))
	}
	return out.Results[0].Err
}

func TestBlankVoterDoesNotFormSecondGroup(t *testing.T) {
	s, _ := newIdleGroup(t, 3, Config{})
	// The voter with the lowest name restarts with an empty disk while it is partitioned
	// from the others, and its configuration allows it to bootstrap a group.
	a := s.servers["a"]
	s.crash(a)
	s.wipeDisk(a)
	s.block("a", true, true)
	s.startServer(a)
	s.run(20 * simElectionTimeout)
	if got := a.node.Status().Group; got != "" {
		t.Errorf("voter with an empty disk formed group %q beside the existing one", got)
	}
	s.blocked = map[[2]string]bool{}
	s.run(20 * simElectionTimeout)
	if got := a.node.Status(); got.Group != "group" || !a.node.isVoter() {
		t.Errorf("got %+v, want a voter of the existing group", got)
	}
}

func TestBootstrapWaitsForEveryVoter(t *testing.T) {
	s := newSim(1, 3, Config{}, mutation{})
	s.network = nil // c has already sent join requests
	s.block("c", true, true)
	s.run(20 * simElectionTimeout)
	for _, name := range s.names {
		if got := s.servers[name].node.Status().Group; got != "" {
			t.Errorf("%s formed group %q without a join request from c", name, got)
		}
	}
}

// TestMemberWithOlderDiskIsExcluded guards against lost entries if a voter restarts with
// an older copy of its own disk, and thus with the incarnation in the membership.
func TestMemberWithOlderDiskIsExcluded(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	victim := s.follower(leader)
	image, incarnation := victim.disk.clone(), victim.disk.incarnation
	s.proposalsStopped = false
	s.run(3 * simElectionTimeout)
	s.crash(victim)
	victim.disk = image
	s.startServer(victim)
	s.run(20 * simElectionTimeout)
	if victim.disk.incarnation == incarnation {
		t.Error("the member with the older disk was not excluded")
	}
	if !s.converged() || s.checker.violation != "" {
		t.Errorf("group did not recover: %s", s.checker.violation)
	}
}

// TestSecondDiskLossAfterRepair guards against the loss of entries that are only on the
// disk that was replaced first and on the one that is lost next.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	s, _ := newIdleGroup(t, 3, Config{})
	s.proposalsStopped = false
	for _, name := range []string{"b", "c", "a", "b"} {
		for range 40 {
			if s.run(simElectionTimeout / 4); s.canLoseDisk() {
				break
			}
		}
		s.inject(action{kind: faultWipeDisk, target: slices.Index(s.names, name)})
	}
	s.run(30 * simElectionTimeout)
	if !s.converged() || s.checker.violation != "" {
		t.Errorf("group did not recover without losing entries: %s", s.checker.violation)
	}
}

func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	other := Member{Name: "z", Incarnation: 9}
	self, _ := leader.node.member(leader.name)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeAdd, Member: self}), ErrAlreadyMember)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangePromote, Member: self}), ErrAlreadyMember)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeRemove, Member: Member{Name: "a", Incarnation: 9}}), ErrUnknownMember)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeRemove, Member: other}), ErrUnknownMember)
	for _, kind := range []ChangeKind{0, ChangeDemote + 1} {
		wantErr(t, proposeChange(t, s, leader, Change{Kind: kind, Member: self}), ErrUnknownMember)
	}
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeAdd, Member: other}), nil)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeRemove, Member: self}), ErrChangePending)
	for _, name := range s.names {
		if srv := s.servers[name]; srv != leader {
			wantErr(t, proposeChange(t, s, srv, Change{Kind: ChangeAdd, Member: other}), ErrNotLeader)
		}
	}
	one, single := newIdleGroup(t, 1, Config{})
	self, _ = single.node.member("a")
	wantErr(t, proposeChange(t, one, single, Change{Kind: ChangeRemove, Member: self}), ErrLastVoter)
	wantErr(t, proposeChange(t, one, single, Change{Kind: ChangeAdd, Member: Member{Name: "a", Incarnation: 9}}), ErrLastVoter)
}

func TestLeaderWithoutQuorumStepsDownWithinLease(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	s.block(leader.name, false, true)
	s.run(simElectionTimeout)
	if got := leader.node.Status(); got.Role == Leader || got.HasLease {
		t.Errorf("got role %d, leased %t, want a follower without lease", got.Role, got.HasLease)
	}
}

func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	leader.diskHung, s.proposalsStopped = true, false
	s.run(10 * simElectionTimeout)
	if list := s.leaders(); len(list) != 1 || list[0] == leader || list[0].node.applied < leader.node.applied+20 {
		t.Error("the group makes no progress while the disk of the first leader hangs")
	}
}

func TestTransferMovesLeadership(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	name := s.follower(leader).name
	s.stepServer(leader, Input{TransferTarget: name})
	s.run(simElectionTimeout / 2)
	if list := s.leaders(); len(list) != 1 || list[0].name != name {
		t.Errorf("leadership did not move to %s within half an election timeout", name)
	}
}

// TestAppendsRespectFlowControlLimits guards against messages that exceed the maximum
// frame size of a link and against unbounded sends to a member that does not reply.
func TestAppendsRespectFlowControlLimits(t *testing.T) {
	cfg := Config{MaxMessageBytes: 1000, MaxInflightAppends: 3, MaxUncommittedBytes: 18000}
	s, leader := newIdleGroup(t, 3, cfg)
	now, appends := s.clock(leader), map[string]int{}
	var lastErr error
	for range 60 {
		out := leader.node.Step(now, Input{Propose: []Proposal{{Data: make([]byte, 300)}}})
		for _, m := range out.Messages {
			size := 0
			for _, e := range m.Entries {
				size += entrySize(e)
			}
			if size > cfg.MaxMessageBytes {
				t.Errorf("message has %d bytes of entries, want at most %d", size, cfg.MaxMessageBytes)
			}
			if m.Kind != KindAppend {
				continue
			}
			if appends[m.To]++; appends[m.To] > cfg.MaxInflightAppends {
				t.Errorf("%d unanswered appends to %s, want at most %d", appends[m.To], m.To, cfg.MaxInflightAppends)
			}
		}
		if err := out.Results[0].Err; err != nil {
			lastErr = err
		}
	}
	wantErr(t, lastErr, ErrOverloaded)
}

// BenchmarkStep measures the steps of all members per replicated entry of 200 bytes, in
// batches of 16 entries. Messages and syncs take no time.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", size), func(b *testing.B) {
			s, leader := newIdleGroup(b, size, Config{TrailingEntries: 1000})
			batch := make([]Proposal, 16)
			for i := range batch {
				batch[i].Data = make([]byte, 200)
			}
			now, committed, steps := s.clock(leader), 0, 0
			var drive func(srv *server, in Input)
			drive = func(srv *server, in Input) {
				steps++
				out := srv.node.Step(now, in)
				if srv == leader {
					committed += len(out.Committed)
				}
				if out.Write != nil {
					drive(srv, Input{Synced: out.Write.Number})
				}
				for _, m := range out.Messages {
					drive(s.servers[m.To], Input{Message: &m})
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				drive(leader, Input{Propose: batch})
				for _, srv := range s.servers {
					if i%64 == 0 {
						drive(srv, Input{Compact: &Compaction{Index: srv.node.applied}})
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(committed), "ns/entry")
			b.ReportMetric(float64(steps)/float64(committed), "steps/entry")
		})
	}
}

// countTimelyElections simulates count power losses of five members and returns after how
// many of them a leader is elected in time. The members restart in groups, each group
// groupDelay after the previous one. The time limit starts with the restart of the last
// group.
func countTimelyElections(count int, groups [][]string, groupDelay, limit time.Duration) int {
	timely := 0
	for seed := range uint64(count) {
		s := newSim(seed, 5, Config{}, mutation{})
		s.proposalsStopped = true
		for !s.converged() {
			s.run(simElectionTimeout / 2)
		}
		for _, name := range s.names {
			s.crash(s.servers[name])
		}
		s.run(simElectionTimeout)
		for i, group := range groups {
			if i > 0 {
				s.run(groupDelay)
			}
			for _, name := range group {
				s.startServer(s.servers[name])
			}
		}
		s.run(limit)
		if len(s.leaders()) > 0 {
			timely++
		}
	}
	return timely
}

// TestFullRestartElectsLeaderInTime guards against slow elections after a power loss of
// all members. In nine of ten restarts a leader must be elected within two election
// timeouts of the restart of the member that completes a majority.
func TestFullRestartElectsLeaderInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		groups     [][]string
		groupDelay time.Duration
	}{
		{"third member restarts later", [][]string{{"a", "b"}, {"c"}}, 2 * simElectionTimeout},
		{"all members restart at once", [][]string{{"a", "b", "c", "d", "e"}}, 0},
		{"third member restarts within an election timeout", [][]string{{"a", "b"}, {"c"}}, simElectionTimeout / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			const count = 40
			if got, want := countTimelyElections(count, c.groups, c.groupDelay, 2*simElectionTimeout), count*9/10; got < want {
				t.Errorf("got a leader in time in %d of %d restarts, want at least %d", got, count, want)
			}
		})
	}
}
