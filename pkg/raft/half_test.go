package raft

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Faults of a group of an even number of voters, in addition to those of injectFault.
const (
	faultSplit            = 100 + iota // replace all partitions by a split into halves, or by one that leaves one more on one side
	faultSplitAtPromotion              // demote a voter, and split it and the leader from the others before it is a voter again
	faultLoseAcross                    // lose the disk of a voter on the side of the leader, and move it to the other side
	faultLoseDisk                      // as faultWipeDisk, also while other losses are not repaired
	faultLoseVM                        // end a process for good
	faultStopAll                       // crash and start all processes
	faultUpgrade                       // start an earlier release's process with this release
)

// withoutHalves returns entries as a process of an earlier release decodes them.
func withoutHalves(entries []Entry) []Entry {
	entries = slices.Clone(entries)
	for i := range entries {
		entries[i].Halves = false
	}
	return entries
}

// inEarlierRelease returns a message as a process of an earlier release encodes or decodes it.
func inEarlierRelease(m Message) Message {
	m.Halves, m.Entries = false, withoutHalves(m.Entries)
	if m.Kind >= KindPreVote && m.Kind <= KindVoteReply {
		m.Sent = 0
	}
	if m.Snapshot != nil {
		s := *m.Snapshot
		s.Halves = false
		m.Snapshot = &s
	}
	return m
}

// injectHalfFault contains the functions for the additional faults.
var injectHalfFault = map[int]func(s *sim, srv *server, a action){
	faultSplit: func(s *sim, _ *server, a action) {
		order := slices.Clone(s.names)
		slices.SortFunc(order, func(x, y string) int { return a.rank(x) - a.rank(y) })
		s.split(order[:len(order)/2-a.target%2])
	},
	faultSplitAtPromotion: func(s *sim, srv *server, _ action) {
		injectFault[faultDemoteMember](s, srv, action{})
		for end := s.now + 2*simElectionTimeout; s.now < end; s.run(simTick) {
			for _, leader := range s.leaders() {
				if m, _ := leader.node.member(srv.name); leader.node.pendingChange() && !m.Learner {
					s.split([]string{leader.name, srv.name})
					return
				}
			}
		}
	},
	faultLoseAcross: func(s *sim, _ *server, a action) {
		leaders := s.leaders()
		if len(leaders) == 0 || len(s.side) == 0 {
			return
		}
		newest := slices.MaxFunc(leaders, func(x, y *server) int { return cmp.Compare(x.node.term, y.node.term) })
		within := slices.Contains(s.side, newest.name)
		for i := range s.names {
			name := s.names[(a.target+i)%len(s.names)]
			if slices.Contains(s.side, name) != within || name == newest.name || !s.takeLoss(s.servers[name], 1) {
				continue
			}
			s.wipe(s.servers[name])
			if within {
				s.split(slices.DeleteFunc(slices.Clone(s.side), func(other string) bool { return other == name }))
			} else {
				s.split(append(slices.Clone(s.side), name))
			}
			return
		}
	},
	faultLoseDisk: func(s *sim, srv *server, _ action) {
		if s.takeLoss(srv, 1) {
			s.wipe(srv)
		}
	},
	faultRestoreOldDisk: func(s *sim, srv *server, _ action) {
		if srv.oldDisk != nil && s.takeLoss(srv, 2) {
			s.crash(srv)
			previous := srv.oldDisk
			s.wipeDisk(srv)
			srv.disk = previous.clone()
			s.startServer(srv)
		}
	},
	faultLoseVM: func(s *sim, srv *server, _ action) {
		if !s.anyGone() && s.takeLoss(srv, 2) {
			s.crash(srv)
			srv.gone = true
			s.commitAtDiskLoss = s.checker.commitIndex
		}
	},
	faultStopAll: func(s *sim, _ *server, _ action) {
		for _, name := range s.names {
			if srv := s.servers[name]; srv.node != nil {
				s.crash(srv)
			}
		}
		for _, name := range s.names {
			if srv := s.servers[name]; !srv.gone {
				s.startServer(srv)
			}
		}
	},
	faultUpgrade: func(s *sim, srv *server, _ action) {
		if srv.earlier && !srv.gone {
			if srv.node != nil {
				s.crash(srv)
			}
			srv.earlier = false
			s.startServer(srv)
		}
	},
}

// wipe restarts a server with an empty disk.
func (s *sim) wipe(srv *server) {
	s.crash(srv)
	s.wipeDisk(srv)
	s.startServer(srv)
}

// split replaces all partitions by one between the named servers and the others.
func (s *sim) split(side []string) {
	s.side, s.blocked = side, map[[2]string]bool{}
	for _, x := range s.names {
		for _, y := range s.names {
			s.blocked[[2]string{x, y}] = slices.Contains(side, x) != slices.Contains(side, y)
		}
	}
}

// rank orders the servers by an action's time, so that each split is possible.
func (a action) rank(name string) int { return (int(name[0]) * (a.millis*2 + 1) * 31) % 61 }

// takeLoss reports whether a server may be lost now. The group tolerates as many losses at once as
// leave half of the voters, or a majority while halves may not decide. A loss that no empty disk
// proves needs room for one more.
func (s *sim) takeLoss(srv *server, room int) bool {
	if voters := s.intactVoters(); voters > 0 {
		s.lossesLeft = voters / 2
		if s.majoritiesOnly() {
			s.lossesLeft = (voters - 1) / 2
		}
	}
	m, isMember := findMember(s.checker.members, srv.name)
	if srv.node == nil || srv.gone || !isMember || m.Learner || s.lossesLeft < room {
		return false
	}
	s.lossesLeft--
	return true
}

// intactVoters returns the number of voters if all of them have their disks and what was committed
// when a disk was last lost; otherwise zero.
func (s *sim) intactVoters() (count int) {
	for _, m := range s.checker.members {
		d := &s.servers[m.Name].disk
		switch {
		case m.Learner:
		case s.servers[m.Name].gone, d.incarnation != m.Incarnation, d.lastIndex() < s.commitAtDiskLoss:
			return 0
		default:
			count++
		}
	}
	return count
}

// anyGone reports whether a VM was lost for good.
func (s *sim) anyGone() bool {
	return slices.ContainsFunc(s.names, func(name string) bool { return s.servers[name].gone })
}

// majoritiesOnly reports whether halves may not decide at this moment.
func (s *sim) majoritiesOnly() bool {
	return slices.ContainsFunc(s.names, func(name string) bool {
		srv := s.servers[name]
		if srv.earlier || srv.node == nil {
			return true
		}
		newest := srv.node.log.memberships[len(srv.node.log.memberships)-1]
		return newest.index != s.checker.membersIndex || !newest.halves || newest.index > srv.node.commit
	})
}

// halfScenario is a scenario of an even number of voters of which half may be lost.
type halfScenario struct {
	scenario
	earlier int // number of servers that start with an earlier release
}

// halfScenarios generates scenarios with the given faults, in any number and order.
func halfScenarios(earlier bool, kinds ...int) *rapid.Generator[halfScenario] {
	return rapid.Custom(func(t *rapid.T) halfScenario {
		return drawHalfScenario(t, earlier, rapid.SliceOfN(halfAction(kinds), 1, 20).Draw(t, "actions"))
	})
}

// changeScenarios generates scenarios in which the network is split and a voter is lost during a
// change of the membership, so that two sets of voters may decide by different memberships.
func changeScenarios(earlier bool) *rapid.Generator[halfScenario] {
	shape := [][]int{
		{faultTransferLeadership, faultNone},
		{faultRemoveMember, faultDemoteMember, faultLoseDisk, faultNone},
		{faultSplit, faultSplitAtPromotion},
		{faultLoseDisk, faultLoseVM, faultLoseAcross, faultLoseAcross},
		{faultSplit, faultIsolateLeader, faultNone, faultNone},
		{faultNone, faultLoseDisk, faultHeal, faultUpgrade},
	}
	if earlier { // a leader of the earlier release makes the change on its side of a split
		shape = [][]int{{faultTransferLeadership}, {faultSplit}, {faultRemoveMember, faultDemoteMember}, {faultLoseAcross}, {faultNone}, {faultNone, faultUpgrade}}
	}
	return rapid.Custom(func(t *rapid.T) halfScenario {
		var actions []action
		for _, kinds := range shape {
			actions = append(actions, halfAction(kinds).Draw(t, "action"))
		}
		return drawHalfScenario(t, earlier, actions)
	})
}

func halfAction(kinds []int) *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		millis := rapid.SampledFrom([]int{0, 5, 10, 20, 40, 60, 120, 250, 500}).Draw(t, "base") + rapid.IntRange(0, 10).Draw(t, "millis")
		return action{kind, rapid.IntRange(0, 5).Draw(t, "target"), millis}
	})
}

func drawHalfScenario(t *rapid.T, earlier bool, actions []action) halfScenario {
	sc := halfScenario{scenario: scenario{
		seed:            rapid.Uint64().Draw(t, "seed"),
		size:            rapid.SampledFrom([]int{4, 6}).Draw(t, "size"),
		trailingEntries: rapid.Uint64Range(0, 8).Draw(t, "keep"),
		actions:         actions,
	}}
	if earlier {
		sc.earlier = rapid.SampledFrom([]int{1, 1, 2, 3, sc.size}).Draw(t, "earlier")
	}
	return sc
}

// run injects the faults, ends them and waits until the group has recovered.
func (sc halfScenario) run(m mutation, watchedProperty string) *checker {
	s := newSim(sc.seed, sc.size, Config{TrailingEntries: sc.trailingEntries, MaxMessageBytes: 400, MaxInflightAppends: 4, GroupSize: sc.size - 1}, m)
	s.checker.watchedProperty = watchedProperty
	for _, name := range s.names[sc.size-sc.earlier:] {
		s.servers[name].earlier = true
		s.startServer(s.servers[name])
	}
	for end := s.now + 40*simElectionTimeout; s.now < end && (s.checker.commitIndex == 0 || sc.earlier == 0 && s.majoritiesOnly()); {
		s.run(simElectionTimeout)
	}
	if sc.earlier > 0 {
		s.run(simElectionTimeout) // the mark needs answers of all voters
	}
	for _, a := range sc.actions {
		srv := s.servers[s.names[a.target%len(s.names)]]
		switch inject := injectHalfFault[a.kind]; {
		case inject != nil:
			inject(s, srv, a)
		case srv.gone, s.anyGone() && (a.kind == faultRemoveMember || a.kind == faultDemoteMember):
		default:
			s.inject(a)
		}
		s.run(time.Duration(a.millis) * time.Millisecond)
	}
	s.heal()
	for end := s.now + 60*simElectionTimeout; s.now < end && s.checker.violation == ""; {
		s.run(simElectionTimeout / 2)
		if s.recovered() {
			return s.checker
		}
	}
	s.checker.fail(livenessAfterFaults, "not converged after all faults ended")
	return s.checker
}

// recovered reports whether the group has one leader, all servers but those that are gone are
// voters, and no other one is.
func (s *sim) recovered() bool {
	return s.converged() && !slices.ContainsFunc(s.checker.members, func(m Member) bool { return s.servers[m.Name].gone })
}

// halfFaults are the faults of the scenarios of TestHalvesHoldProperties.
var halfFaults = []int{
	faultNone, faultNone, faultSplit, faultSplit, faultLoseDisk, faultLoseDisk, faultLoseDisk, faultLoseVM, faultHeal, faultHeal, faultStopAll,
	faultTransferLeadership, faultDelayMessages, faultDropMessages, faultRemoveMember, faultDemoteMember, faultCompact, faultCrashOrStart,
	faultIsolateLeader, faultRestoreOldDisk, faultFreeze,
}

// TestHalvesHoldProperties guards against decisions of two halves of a group that contradict each
// other, and against a group that never has a leader again once half of its voters are lost.
func TestHalvesHoldProperties(t *testing.T) {
	for _, c := range []struct {
		name      string
		scenarios *rapid.Generator[halfScenario]
	}{
		{"any faults", halfScenarios(false, halfFaults...)},
		{"any faults, earlier release", halfScenarios(true, append(slices.Clone(halfFaults), faultUpgrade, faultUpgrade, faultUpgrade)...)},
		{"during a change", changeScenarios(false)},
		{"during a change, earlier release", changeScenarios(true)},
	} {
		t.Run(c.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if got := c.scenarios.Draw(t, "scenario").run(mutation{}, ""); got.violation != "" {
					t.Fatalf("%s: %s", got.property, got.violation)
				}
			})
		})
	}
}

// halfMutations lists for each part of the rule a rapid seed at which a property does not hold
// without it.
var halfMutations = []struct {
	name      string
	seed      int
	scenarios *rapid.Generator[halfScenario]
	mutation  mutation
}{
	{
		"half decides without a proven loss", 1,
		halfScenarios(false, faultSplit, faultSplit, faultHeal, faultTransferLeadership, faultStopAll),
		mutation{hooks: hooks{halvesWithoutLoss: true}},
	},
	{
		"half counts answers from before the loss", 65,
		halfScenarios(false, faultSplit, faultSplit, faultHeal, faultLoseDisk, faultLoseDisk, faultLoseDisk, faultDelayMessages, faultTransferLeadership),
		mutation{hooks: hooks{halvesBeforeLoss: true}},
	},
	{
		"half of a membership decides that is not committed", 51, changeScenarios(false),
		mutation{hooks: hooks{halvesUncommitted: true}},
	},
	{
		"even number of voters is changed without their quorum", 1030, changeScenarios(false),
		mutation{hooks: hooks{singleQuorum: true}},
	},
	{
		"half decides beside an earlier release", 111, changeScenarios(true),
		mutation{ignoreMarks: true},
	},
}

// TestHalfMutationsViolateProperties guards against scenarios that do not reach a part of the
// rule: without it, a property must not hold.
func TestHalfMutationsViolateProperties(t *testing.T) {
	for _, m := range halfMutations {
		t.Run(m.name, func(t *testing.T) {
			from, to := m.seed, m.seed+1
			if *searchSeeds > 0 {
				from, to = 0, *searchSeeds
			}
			for seed := from; seed < to; seed++ {
				sc := m.scenarios.Example(seed)
				c := sc.run(m.mutation, "")
				if c.violation == "" || c.property == livenessAfterFaults {
					continue
				}
				if control := sc.run(mutation{}, ""); control.violation != "" {
					t.Fatalf("seed %d: violated without the mutation: %s: %s", seed, control.property, control.violation)
				}
				t.Logf("seed %d: %s: %s", seed, c.property, c.violation)
				return
			}
			t.Errorf("all properties hold without this part of the rule, seeds %d to %d; find a new seed with -mutation.search=20000", from, to-1)
		})
	}
}
