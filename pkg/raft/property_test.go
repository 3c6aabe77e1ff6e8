package raft

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed" // sets a fixed seed
	"pgregory.net/rapid"
)

// Faults that a scenario can inject.
const (
	faultNone         = iota
	faultCrashOrStart // crash, or start if it is down
	faultFreeze
	faultIsolate       // block both directions
	faultBlockOutbound // no message from the server is delivered
	faultBlockInbound  // no message to the server is delivered
	faultPartition
	faultHeal
	faultDelayMessages // long delays, so that messages are reordered
	faultDropMessages
	faultWipeDisk       // replace the disk by an empty one
	faultRestoreOldDisk // replace the disk by that of the previous incarnation
	faultRemoveMember
	faultTransferLeadership
	faultCompact
	faultIsolateLeader       // isolate the current leader
	faultBlockLink           // block one direction of one link
	faultToggleProposals     // stop or resume proposals
	faultMovePartition       // end all partitions, then isolate the current leader
	faultHangDisk            // the disk stops completing writes
	faultCrashBeforeVoteSync // crash as soon as a vote reply waits for its write
	faultDemoteMember
)

// action injects a fault into the server with the number target and then simulates the
// given time. The fault faultBlockLink also selects its second server by millis.
type action struct{ kind, target, millis int }

type scenario struct {
	seed, trailingEntries uint64
	size                  int
	actions               []action
}

// scenarios generates scenarios with the given faults. A fault that is listed several
// times is more frequent.
func scenarios(kinds ...int) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		step := rapid.Custom(func(t *rapid.T) action {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			return action{kind, rapid.IntRange(0, 4).Draw(t, "target"), rapid.IntRange(0, 400).Draw(t, "millis")}
		})
		return scenario{
			seed:            rapid.Uint64().Draw(t, "seed"),
			size:            rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "size"),
			trailingEntries: rapid.Uint64Range(0, 8).Draw(t, "keep"),
			actions:         rapid.SliceOfN(step, 1, 14).Draw(t, "actions"),
		}
	})
}

// run injects the faults of the scenario, ends all faults and waits until the group has
// recovered. It checks watchedProperty, or all properties if it is empty.
func (sc scenario) run(m mutation, watchedProperty string) *checker {
	cfg := Config{TrailingEntries: sc.trailingEntries, MaxMessageBytes: 400, MaxInflightAppends: 4}
	s := newSim(sc.seed, sc.size, cfg, m)
	s.checker.watchedProperty = watchedProperty
	for end := s.now + 20*simElectionTimeout; s.now < end && s.checker.commitIndex == 0; {
		s.run(simElectionTimeout)
	}
	for _, a := range sc.actions {
		s.inject(a)
		s.run(time.Duration(a.millis) * time.Millisecond)
	}
	s.heal()
	for end := s.now + 60*simElectionTimeout; s.now < end && s.checker.violation == ""; {
		s.run(simElectionTimeout / 2)
		if s.converged() {
			return s.checker
		}
	}
	s.checker.fail(livenessAfterFaults, "not converged after all faults ended")
	return s.checker
}

// heal ends all faults and starts the servers that are down.
func (s *sim) heal() {
	s.blocked = map[[2]string]bool{}
	s.dropRate, s.delayRate = 0, 0
	for _, name := range s.names {
		srv := s.servers[name]
		srv.frozenUntil, srv.diskHung = 0, false
		if srv.node == nil && !srv.gone {
			s.startServer(srv)
		}
	}
}

// injectFault contains the function that injects each kind of fault.
var injectFault = map[int]func(s *sim, srv *server, a action){
	faultNone: func(*sim, *server, action) {},
	faultCrashOrStart: func(s *sim, srv *server, _ action) {
		if srv.node == nil {
			s.startServer(srv)
			return
		}
		s.crash(srv)
	},
	faultFreeze:        func(s *sim, srv *server, _ action) { srv.frozenUntil = s.now + 3*simElectionTimeout },
	faultIsolate:       func(s *sim, srv *server, _ action) { s.block(srv.name, true, true) },
	faultBlockOutbound: func(s *sim, srv *server, _ action) { s.block(srv.name, true, false) },
	faultBlockInbound:  func(s *sim, srv *server, _ action) { s.block(srv.name, false, true) },
	faultPartition: func(s *sim, _ *server, a action) {
		for _, other := range s.names[:a.target%len(s.names)] {
			for _, rest := range s.names[a.target%len(s.names):] {
				s.blocked[[2]string{other, rest}], s.blocked[[2]string{rest, other}] = true, true
			}
		}
	},
	faultHeal:           func(s *sim, _ *server, _ action) { s.heal() },
	faultDelayMessages:  func(s *sim, _ *server, _ action) { s.delayRate = 0.3 },
	faultDropMessages:   func(s *sim, _ *server, _ action) { s.dropRate = 0.2 },
	faultWipeDisk:       func(s *sim, srv *server, _ action) { s.replaceDisk(srv, false) },
	faultRestoreOldDisk: func(s *sim, srv *server, _ action) { s.replaceDisk(srv, true) },
	faultRemoveMember: func(s *sim, srv *server, _ action) {
		for _, leader := range s.leaders() {
			if m, ok := leader.node.member(srv.name); ok && s.canLoseDisk() && len(s.names) > 3 {
				s.stepServer(leader, Input{Change: &Change{Kind: ChangeRemove, Member: m}})
			}
		}
	},
	faultDemoteMember: func(s *sim, srv *server, _ action) {
		for _, leader := range s.leaders() {
			if m, ok := leader.node.member(srv.name); ok && s.canLoseDisk() && len(s.names) > 3 && m.Name != leader.name {
				s.stepServer(leader, Input{Change: &Change{Kind: ChangeDemote, Member: m}})
			}
		}
	},
	faultTransferLeadership: func(s *sim, srv *server, _ action) {
		for _, leader := range s.leaders() {
			s.stepServer(leader, Input{TransferTarget: srv.name})
		}
	},
	faultCompact: func(s *sim, srv *server, _ action) {
		s.stepServer(srv, Input{Compact: &Compaction{srv.appliedIndex, srv.snapshotData()}})
	},
	faultIsolateLeader: func(s *sim, _ *server, _ action) { s.isolateLeaders() },
	faultBlockLink: func(s *sim, srv *server, a action) {
		s.blocked[[2]string{srv.name, s.names[a.millis%len(s.names)]}] = true
	},
	faultToggleProposals: func(s *sim, _ *server, _ action) { s.proposalsStopped = !s.proposalsStopped },
	faultMovePartition: func(s *sim, _ *server, _ action) {
		s.blocked = map[[2]string]bool{}
		s.isolateLeaders()
	},
	faultHangDisk:            func(_ *sim, srv *server, _ action) { srv.diskHung = true },
	faultCrashBeforeVoteSync: func(_ *sim, srv *server, _ action) { srv.crashBeforeVoteSync = true },
}

func (s *sim) isolateLeaders() {
	for _, leader := range s.leaders() {
		s.block(leader.name, true, true)
	}
}

func (s *sim) inject(a action) { injectFault[a.kind](s, s.servers[s.names[a.target%len(s.names)]], a) }

// replaceDisk replaces the disk of a server, if the group can currently tolerate the loss,
// and restarts the server with an empty disk or, if oldDisk is set, with the disk that it
// had before its last wipe.
func (s *sim) replaceDisk(srv *server, oldDisk bool) {
	if srv.node == nil || !s.canLoseDisk() || (oldDisk && srv.oldDisk == nil) {
		return
	}
	s.crash(srv)
	previous := srv.oldDisk
	s.wipeDisk(srv)
	if oldDisk {
		srv.disk = previous.clone()
	}
	s.startServer(srv)
}

func (s *sim) block(name string, outbound, inbound bool) {
	for _, other := range s.names {
		if other != name {
			s.blocked[[2]string{name, other}] = outbound || s.blocked[[2]string{name, other}]
			s.blocked[[2]string{other, name}] = inbound || s.blocked[[2]string{other, name}]
		}
	}
}

// properties lists for each property the faults that are most likely to violate it. All
// properties are checked in every scenario.
var properties = []struct {
	name  string
	kinds []int
}{
	{electionSafety, []int{faultNone, faultCrashBeforeVoteSync, faultCrashBeforeVoteSync, faultHangDisk, faultCrashOrStart, faultBlockLink, faultIsolateLeader, faultHeal, faultDelayMessages, faultDropMessages, faultTransferLeadership, faultFreeze}},
	{logMatching, []int{faultPartition, faultHangDisk, faultIsolateLeader, faultHeal, faultHeal, faultCrashOrStart, faultDelayMessages, faultDropMessages, faultCompact, faultBlockOutbound, faultBlockInbound}},
	{leaderCompleteness, []int{faultNone, faultCrashOrStart, faultWipeDisk, faultWipeDisk, faultRestoreOldDisk, faultIsolateLeader, faultHeal, faultHeal, faultCompact, faultRemoveMember, faultDemoteMember}},
	{readFreshness, []int{faultToggleProposals, faultIsolate, faultMovePartition, faultIsolateLeader, faultBlockOutbound, faultBlockInbound, faultFreeze, faultFreeze, faultHeal, faultDelayMessages, faultTransferLeadership, faultCrashOrStart}},
	{stateMachineSafety, slices.Sorted(maps.Keys(injectFault))},
	{safePromotion, []int{faultNone, faultWipeDisk, faultWipeDisk, faultRestoreOldDisk, faultRemoveMember, faultRemoveMember, faultIsolateLeader, faultHeal, faultHeal, faultTransferLeadership, faultDropMessages, faultDemoteMember, faultDemoteMember}},
}

// TestPropertiesHoldUnderFaults guards against violations of the safety properties, and
// of progress after the faults end, under generated faults.
func TestPropertiesHoldUnderFaults(t *testing.T) {
	for _, p := range properties {
		t.Run(p.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if c := scenarios(p.kinds...).Draw(t, "scenario").run(mutation{}, ""); c.violation != "" {
					t.Fatalf("%s: %s", c.property, c.violation)
				}
			})
		})
	}
}

var searchSeeds = flag.Int("mutation.search", 0, "number of scenarios to try for each mutation instead of the listed seed")

// mutations lists, for each safety rule, a rapid seed at which disabling the rule violates
// the property. With the control, which disables only the rule named in parentheses, the
// property holds at the same seed.
var mutations = []struct {
	name, property string
	seed           int
	kinds          []int
	mutation       mutation
	control        mutation
}{
	{
		"vote sent before it is synced (restarted members vote immediately)", electionSafety, 410,
		[]int{faultCrashBeforeVoteSync, faultIsolateLeader, faultHeal, faultDelayMessages},
		mutation{voteBeforeSync: true, skipRecovery: true, hooks: hooks{voteDespiteLeader: true}},
		mutation{skipRecovery: true, hooks: hooks{voteDespiteLeader: true}},
	},
	{
		"append acknowledged before it is synced", leaderCompleteness, 83,
		[]int{faultCrashOrStart},
		mutation{ackBeforeSync: true},
		mutation{},
	},
	{
		"empty disk keeps its incarnation", leaderCompleteness, 36,
		[]int{faultWipeDisk, faultIsolateLeader, faultHeal, faultIsolate},
		mutation{keepIncarnation: true},
		mutation{},
	},
	{
		"messages accepted from any incarnation", leaderCompleteness, 679,
		[]int{faultWipeDisk, faultRestoreOldDisk, faultRestoreOldDisk, faultIsolateLeader, faultHeal, faultNone},
		mutation{hooks: hooks{anyIncarnation: true}},
		mutation{},
	},
	{
		"lease measured from receipt", readFreshness, 425,
		[]int{faultDelayMessages, faultIsolateLeader, faultHeal},
		mutation{hooks: hooks{leaseFromReceipt: true}},
		mutation{},
	},
	{
		"vote granted during a lease", readFreshness, 203,
		[]int{faultToggleProposals, faultIsolate, faultMovePartition},
		mutation{hooks: hooks{voteDespiteLeader: true}},
		mutation{},
	},
	{
		"lease kept after a leadership transfer started", readFreshness, 479,
		[]int{faultTransferLeadership, faultDelayMessages, faultBlockOutbound, faultToggleProposals, faultIsolateLeader, faultHeal},
		mutation{hooks: hooks{keepLeaseOnTransfer: true}},
		mutation{},
	},
	{
		"clock drift beyond the bound", readFreshness, 4810,
		[]int{faultTransferLeadership, faultIsolateLeader, faultHeal},
		mutation{fastClocks: true},
		mutation{},
	},
	{
		"learner promoted before it caught up", safePromotion, 0,
		[]int{faultWipeDisk, faultDropMessages, faultNone},
		mutation{hooks: hooks{promoteEarly: true}},
		mutation{},
	},
	{
		"append accepted without the entry before it", logMatching, 8,
		[]int{faultIsolateLeader, faultHeal, faultPartition},
		mutation{skipLogMatch: true},
		mutation{},
	},
	{
		"append accepted without the entry before it", stateMachineSafety, 8,
		[]int{faultIsolateLeader, faultHeal, faultPartition},
		mutation{skipLogMatch: true},
		mutation{},
	},
}

// TestMutationsViolateProperties guards against property checks that cannot fail: with a
// safety rule disabled, the corresponding check must report a violation.
func TestMutationsViolateProperties(t *testing.T) {
	for _, m := range mutations {
		t.Run(fmt.Sprintf("%s violates %s", m.name, m.property), func(t *testing.T) {
			from, to := m.seed, m.seed+1
			if *searchSeeds > 0 {
				from, to = 0, *searchSeeds
			}
			for seed := from; seed < to; seed++ {
				sc := scenarios(m.kinds...).Example(seed)
				c := sc.run(m.mutation, m.property)
				if c.violation == "" {
					continue
				}
				if control := sc.run(m.control, m.property); control.violation != "" {
					t.Fatalf("seed %d: violated without the mutation: %s", seed, control.violation)
				}
				t.Logf("seed %d: %s", seed, c.violation)
				return
			}
			t.Errorf("property holds with the rule disabled, seeds %d to %d; after a change to messages or to the "+
				"simulation, find a new seed with -mutation.search=20000", from, to-1)
		})
	}
}
