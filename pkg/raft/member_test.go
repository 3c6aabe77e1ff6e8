package raft

import (
	"slices"
	"testing"
	"time"
)

// Guards against two voters that leave at the same time, each by a surplus that is there once.
func TestRemovalKeepsMinVoters(t *testing.T) {
	s, leader := newIdleGroup(t, 4, Config{})
	removal := Change{Kind: ChangeRemove, MinVoters: 3}
	removal.Member, _ = leader.node.member(s.follower(leader).name)
	wantErr(t, proposeChange(t, s, leader, removal), nil)
	for i := 0; leader.node.pendingChange(); i++ {
		if i == 100 {
			t.Fatal("the removal is not committed")
		}
		s.run(simHeartbeatInterval)
	}
	for _, m := range leader.node.members() {
		if m.Name != leader.name {
			removal.Member = m
		}
	}
	wantErr(t, proposeChange(t, s, leader, removal), ErrTooFewVoters)
}

// Guards against a voter that a quorum still counts after its demotion, that stays a learner
// although it answers, or whose demotion leaves fewer voters than required.
func TestDemotedVoterIsPromotedAgain(t *testing.T) {
	s, leader := newIdleGroup(t, 4, Config{})
	member, _ := leader.node.member(s.follower(leader).name)
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeDemote, Member: member, MinVoters: 4}), ErrTooFewVoters)
	s.stepServer(leader, Input{Change: &Change{Kind: ChangeDemote, Member: member, MinVoters: 3}})
	for i := 0; len(leader.node.quorums()) > 1; i++ {
		if i == 100 {
			t.Fatal("the demotion is not committed")
		}
		s.run(simTick)
	}
	if got := leader.node.quorums()[0].voters; len(got) != 3 || slices.Contains(got, member) {
		t.Errorf("after the demotion: got the voters %v, want three without %s", got, member.Name)
	}
	s.run(2 * simElectionTimeout)
	if !leader.node.hasVote(member.Name, member.Incarnation) || s.checker.violation != "" {
		t.Errorf("got the members %v, violation %q; want the voter promoted again", leader.node.members(), s.checker.violation)
	}
}

// joiner is a node outside the simulated group that receives the messages for its name.
type joiner struct {
	s       *sim
	mailbox *server
	node    *Node
}

// newJoiner returns a node with an empty disk that knows none of the members.
func newJoiner(s *sim, name string, incarnation uint64) *joiner {
	j := &joiner{s: s, mailbox: &server{name: name, clockRate: 1}, node: New(Config{
		Name: name, Incarnation: incarnation, Peers: []string{"gone"}, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
	})}
	s.servers[name] = j.mailbox
	return j
}

// run simulates a time and passes on what the group sends to the node.
func (j *joiner) run(d time.Duration) {
	for end := j.s.now + d; j.s.now < end; {
		j.s.run(simTick)
		for _, m := range j.mailbox.inbox {
			j.node.Step(j.s.clock(j.mailbox), Input{Message: &m})
		}
		j.mailbox.inbox = nil
	}
}

// Guards against a new voter that is added but never replies, because all voters that it could
// ask for its group have been replaced, and against one that belongs to the group by an add that
// is not committed, which another leader may undo (review/11).
func TestLearnerLearnsGroupFromLeader(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	j := newJoiner(s, "n", 9)
	for _, name := range s.names {
		if name != leader.name {
			s.block(name, true, true)
			s.blocked[[2]string{leader.name, "n"}] = false
		}
	}
	wantErr(t, proposeChange(t, s, leader, Change{Kind: ChangeAdd, Member: Member{Name: "n", Incarnation: 9}}), nil)
	j.run(4 * simHeartbeatInterval)
	if got := j.node.Status().Group; got != "" || leader.node.role != Leader || !leader.node.pendingChange() {
		t.Errorf("group of the new voter: got %q from a %v, want none while the add is not committed", got, leader.node.role)
	}
	s.blocked = map[[2]string]bool{}
	j.run(10 * simHeartbeatInterval)
	if got, want := j.node.Status().Group, leader.node.Status().Group; got != want {
		t.Errorf("group of the new voter: got %q, want %q", got, want)
	}
}

// Guards against a node that ends because it is told that it was replaced, although its add was
// only undone; an incarnation that was a member, or that is excluded, has to end.
func TestOnlyFormerMembersAreReplaced(t *testing.T) {
	others := []Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}, {Name: "n", Incarnation: 3}}
	listed := []Member{others[0], others[1], {Name: "n", Incarnation: 9, Learner: true}}
	promoted := []Member{others[0], others[1], {Name: "n", Incarnation: 9}}
	for _, c := range []struct {
		name    string
		members []Member // of entry 2
		commit  uint64
		reject  bool
		want    error
	}{
		{"an add that is not known to be committed", listed, 1, false, nil},
		{"an add that is committed", listed, 2, false, ErrRegressed},
		{"a promotion, so that the add was committed", promoted, 1, false, ErrRegressed},
		{"a leader with proof", listed, 1, true, ErrRegressed},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := New(Config{
				Name: "n", Incarnation: 9, Group: "group", Restarted: true, Peers: []string{"a"},
				State:   HardState{Term: 1, Commit: c.commit},
				Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Members: others}, {Index: 2, Term: 1, Kind: EntryMembership, Members: c.members}},
			})
			told := Message{Kind: KindRegressed, Group: "group", From: "a", Incarnation: 1, To: "n", Target: 9, Term: 2, Reject: c.reject}
			wantErr(t, n.Step(time.Unix(1000, 0), Input{Message: &told}).Fault, c.want)
		})
	}
}

// Guards against a learner that was removed while it was down and waits for its old leader for
// good instead of asking to be added.
func TestRemovedLearnerForgetsLeader(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{})
	learner := New(Config{
		Name: "n", Incarnation: 9, Group: "group", Peers: []string{"a"}, ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval,
		Snapshot: Snapshot{Index: 1, Term: 1, Members: []Member{{Name: leader.name, Incarnation: leader.disk.incarnation}, {Name: "n", Incarnation: 9, Learner: true}}},
		State:    HardState{Term: 1},
	})
	heartbeat := Message{Kind: KindHeartbeat, Group: "group", From: leader.name, Incarnation: leader.disk.incarnation, To: "n", Target: 9, Term: 1}
	learner.Step(s.clock(leader), Input{Message: &heartbeat})
	if got, want := learner.Status().Leader, leader.name; got != want {
		t.Fatalf("leader of the learner: got %q, want %q", got, want)
	}
	for range 20 {
		s.now += simElectionTimeout / 2
		learner.Step(s.clock(leader), Input{})
	}
	if got := learner.Status().Leader; got != "" {
		t.Errorf("leader of the removed learner: got %q, want none", got)
	}
}

// Guards against a group without a leader that does not say which voters it waits for.
func TestCampaignNamesUnheardVoters(t *testing.T) {
	s, leader := newIdleGroup(t, 4, Config{})
	kept := []*server{leader, s.follower(leader)}
	for _, name := range s.names {
		if !slices.Contains(kept, s.servers[name]) {
			s.crash(s.servers[name])
		}
	}
	s.run(6 * simElectionTimeout)
	for _, srv := range kept {
		if got := srv.node.Status().Unheard; len(got) != 2 || s.servers[got[0].Name].node != nil || s.servers[got[1].Name].node != nil {
			t.Errorf("%s: got the voters %v not heard, want the two that ended", srv.name, got)
		}
	}
}

// Guards against a group with fewer voters than it needs that loses another one while a voter
// joins, and then waits for it for good.
func TestVoterJoinsAsAnotherIsLost(t *testing.T) {
	s, leader := newIdleGroup(t, 3, Config{GroupSize: 3})
	joining := s.follower(leader)
	member, _ := leader.node.member(joining.name)
	s.stepServer(leader, Input{Change: &Change{Kind: ChangeDemote, Member: member}})
	for i := 0; !leader.node.hasVote(member.Name, member.Incarnation); i++ {
		if i == 100 {
			t.Fatal("the voter is not promoted again")
		}
		s.run(simTick)
	}
	if !leader.node.pendingChange() {
		t.Fatal("the promotion is committed at once")
	}
	for _, name := range s.names {
		if name != leader.name && name != joining.name {
			s.crash(s.servers[name])
		}
	}
	s.run(2 * simElectionTimeout)
	if s.servers[leader.name].node.pendingChange() || s.checker.violation != "" {
		t.Errorf("got the promotion pending, violation %q; want it committed without the lost voter", s.checker.violation)
	}
}
