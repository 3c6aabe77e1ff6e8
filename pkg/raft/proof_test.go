package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed" // fixed seed
	"pgregory.net/rapid"
)

// Faults that a scenario injects.
const (
	doNothing = iota
	doCrash
	doFreeze
	doIsolate // both directions
	doMute    // silent partition: nothing leaves the server
	doDeafen  // silent partition: nothing reaches the server
	doSplit
	doHeal
	doSlow // long delays, so that messages overtake each other
	doLose
	doBlank // lose the disk
	doOlder // put back the disk of an earlier incarnation
	doRemove
	doTransfer
	doCompact
	doChase // isolate whoever leads
	doCut   // one direction of one link
	doIdle  // stop or resume proposals
	doShift // the partition moves to whoever leads
	doTrap  // crash when an answer to a vote waits for its write
	actions
)

type action struct {
	kind   int
	target int
	millis int
}

type scenario struct {
	seed    uint64
	size    int
	keep    uint64
	actions []action
}

// scenarios draws scenarios with the given faults, which may repeat as weights.
func scenarios(kinds ...int) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		step := rapid.Custom(func(t *rapid.T) action {
			return action{
				kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 4).Draw(t, "target"),
				millis: rapid.IntRange(0, 400).Draw(t, "millis"),
			}
		})
		return scenario{
			seed:    rapid.Uint64().Draw(t, "seed"),
			size:    rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "size"),
			keep:    rapid.Uint64Range(0, 8).Draw(t, "keep"),
			actions: rapid.SliceOfN(step, 1, 14).Draw(t, "actions"),
		}
	})
}

func allFaults() []int {
	var kinds []int
	for k := range int(actions) {
		kinds = append(kinds, k)
	}
	return kinds
}

// play runs a scenario, heals all faults and waits until the group works again. It
// watches one property, or all if none is named.
func (sc scenario) play(m mutation, only string) *checker {
	cfg := Config{Keep: sc.keep, MaxBytes: 400, MaxInflight: 4}
	s := newSim(sc.seed, sc.size, cfg, m)
	s.check.only = only
	for end := s.now + 20*simElection; s.now < end && s.check.highest == 0; {
		s.run(simElection)
	}
	for _, a := range sc.actions {
		s.act(a)
		s.run(time.Duration(a.millis) * time.Millisecond)
	}
	s.heal()
	for end := s.now + 60*simElection; s.now < end && s.check.violation == ""; {
		s.run(simElection / 2)
		if s.converged() {
			return s.check
		}
	}
	s.check.fail(progressMade, "not converged after all faults ended")
	return s.check
}

func (s *sim) heal() {
	s.blocked = map[[2]string]bool{}
	s.drop, s.slow = 0, 0
	for _, name := range s.names {
		srv := s.servers[name]
		srv.frozen = 0
		if srv.node == nil {
			s.start(srv)
		}
	}
}

func (s *sim) act(a action) {
	srv := s.servers[s.names[a.target%len(s.names)]]
	switch a.kind {
	case doChase, doShift, doIsolate:
		if a.kind == doShift {
			s.blocked = map[[2]string]bool{}
		}
		if list := s.leaders(); a.kind != doIsolate && len(list) > 0 {
			srv = list[0]
		}
		s.block(srv.name, true, true)
	case doMute:
		s.block(srv.name, true, false)
	case doDeafen:
		s.block(srv.name, false, true)
	case doIdle:
		s.idle = !s.idle
	case doTrap:
		srv.trap = true
	case doCut:
		s.blocked[[2]string{srv.name, s.names[a.millis%len(s.names)]}] = true
	case doSplit:
		for _, other := range s.names[:a.target%len(s.names)] {
			for _, rest := range s.names[a.target%len(s.names):] {
				s.blocked[[2]string{other, rest}], s.blocked[[2]string{rest, other}] = true, true
			}
		}
	case doHeal:
		s.heal()
	case doFreeze:
		srv.frozen = s.now + 3*simElection
	case doSlow:
		s.slow = 0.3
	case doLose:
		s.drop = 0.2
	case doTransfer:
		s.step(srv, Input{Transfer: s.names[(a.target+1)%len(s.names)]})
		for _, leader := range s.leaders() {
			s.step(leader, Input{Transfer: srv.name})
		}
	case doCompact:
		if srv.node != nil {
			s.step(srv, Input{Compact: &Compaction{srv.index, srv.save()}})
		}
	default:
		s.disrupt(srv, a.kind)
	}
}

// disrupt crashes, restarts, replaces or removes a server.
func (s *sim) disrupt(srv *server, kind int) {
	switch kind {
	case doCrash:
		if srv.node == nil {
			s.start(srv)
			return
		}
		s.crash(srv)
	case doBlank, doOlder:
		if srv.node == nil || !s.whole() || (kind == doOlder && srv.image == nil) {
			return
		}
		s.crash(srv)
		image := srv.image
		s.wipe(srv)
		if kind == doOlder {
			srv.disk = image.clone()
		}
		s.start(srv)
	case doRemove:
		if !s.whole() || len(s.names) < 4 {
			return
		}
		for _, leader := range s.leaders() {
			if m, ok := leader.node.member(srv.name); ok {
				s.step(leader, Input{Change: &Change{Kind: ChangeRemove, Member: m}})
			}
		}
	}
}

func (s *sim) block(name string, out, in bool) {
	for _, other := range s.names {
		if other != name {
			s.blocked[[2]string{name, other}] = out || s.blocked[[2]string{name, other}]
			s.blocked[[2]string{other, name}] = in || s.blocked[[2]string{other, name}]
		}
	}
}

// prove checks all properties over scenarios with the given faults.
func prove(t *testing.T, kinds ...int) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if c := scenarios(kinds...).Draw(t, "scenario").play(mutation{}, ""); c.violation != "" {
			t.Fatalf("%s: %s", c.property, c.violation)
		}
	})
}

// TestElectionSafety guards against two leaders in a term after crashes that lose
// unsynced votes.
func TestElectionSafety(t *testing.T) {
	prove(t, doNothing, doTrap, doTrap, doCrash, doCut, doChase, doHeal, doSlow, doLose, doTransfer, doFreeze)
}

// TestLogMatching guards against logs that differ before an equal entry.
func TestLogMatching(t *testing.T) {
	prove(t, doSplit, doChase, doHeal, doHeal, doCrash, doSlow, doLose, doCompact, doMute, doDeafen)
}

// TestCommittedKept guards against the loss of committed entries when disks are
// lost, replaced by older ones, or lose unsynced writes.
func TestCommittedKept(t *testing.T) {
	prove(t, doNothing, doCrash, doBlank, doBlank, doOlder, doChase, doHeal, doHeal, doCompact, doRemove)
}

// TestReadsNeverStale guards against a deposed leader that answers reads.
func TestReadsNeverStale(t *testing.T) {
	prove(t, doIdle, doIsolate, doShift, doChase, doMute, doDeafen, doFreeze, doFreeze, doHeal, doSlow, doTransfer, doCrash)
}

// TestStateMachineSafety guards against different entries applied at one index under
// all faults together.
func TestStateMachineSafety(t *testing.T) {
	prove(t, allFaults()...)
}

// TestMembershipChange guards against learners promoted too early and against
// members that are replaced while other faults occur.
func TestMembershipChange(t *testing.T) {
	prove(t, doNothing, doBlank, doBlank, doOlder, doRemove, doRemove, doChase, doHeal, doHeal, doTransfer, doLose)
}

var searchSeeds = flag.Int("mutation.search", 0, "scenarios to try for each mutation instead of the listed seed")

// mutations lists, for each rule, a seed of rapid at which turning the rule off
// violates the property. With the control, which turns off only what is named in
// brackets, the property holds at that seed.
var mutations = []struct {
	name     string
	property string
	seed     int
	mutation mutation
	control  mutation
	kinds    []int
}{
	{
		"vote answered before it is synced (restarted members vote at once)", electionSafety, 187,
		mutation{earlyVote: true, trusting: true, hooks: hooks{lateVote: true}},
		mutation{trusting: true, hooks: hooks{lateVote: true}},
		[]int{doTrap, doChase, doHeal, doSlow},
	},
	{
		"append acknowledged before it is synced", keptEntries, 60,
		mutation{earlyAck: true},
		mutation{},
		[]int{doCrash},
	},
	{
		"blank disk keeps its incarnation", keptEntries, 36,
		mutation{keepIdentity: true},
		mutation{},
		[]int{doBlank, doChase, doHeal, doIsolate},
	},
	{
		"older disk counts whatever its incarnation", keptEntries, 298,
		mutation{hooks: hooks{anyone: true}},
		mutation{},
		[]int{doBlank, doOlder, doOlder, doChase, doHeal, doNothing},
	},
	{
		"lease measured from receipt", leaseReads, 878,
		mutation{hooks: hooks{leaseReceipt: true}},
		mutation{},
		[]int{doSlow, doChase, doHeal},
	},
	{
		"vote while a lease is valid", leaseReads, 900,
		mutation{hooks: hooks{lateVote: true}},
		mutation{},
		[]int{doIdle, doIsolate, doShift},
	},
	{
		"lease kept after a transfer was ordered", leaseReads, 20,
		mutation{hooks: hooks{keepLease: true}},
		mutation{},
		[]int{doTransfer, doTransfer, doSlow, doMute, doIdle, doChase, doHeal},
	},
	{
		"clock drift beyond the bound", leaseReads, 3938,
		mutation{fastClocks: true},
		mutation{},
		[]int{doChase, doHeal, doIdle},
	},
	{
		"learner promoted before it caught up", safePromotion, 0,
		mutation{hooks: hooks{promoteEarly: true}},
		mutation{},
		[]int{doBlank, doLose, doNothing},
	},
	{
		"append accepted without the entry before it", logMatching, 2,
		mutation{blindAppend: true},
		mutation{},
		[]int{doChase, doHeal, doSplit},
	},
	{
		"append accepted without the entry before it", machineSafety, 2,
		mutation{blindAppend: true},
		mutation{},
		[]int{doChase, doHeal, doSplit},
	},
}

// TestMutations guards against properties that would hold whatever the code does.
func TestMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(fmt.Sprintf("%s violates %s", m.name, m.property), func(t *testing.T) {
			from, to := m.seed, m.seed+1
			if *searchSeeds > 0 {
				from, to = 0, *searchSeeds
			}
			for seed := from; seed < to; seed++ {
				sc := scenarios(m.kinds...).Example(seed)
				c := sc.play(m.mutation, m.property)
				if c.violation == "" {
					continue
				}
				if control := sc.play(m.control, m.property); control.violation != "" {
					t.Fatalf("seed %d: violated without the mutation: %s", seed, control.violation)
				}
				t.Logf("seed %d: %s", seed, c.violation)
				return
			}
			t.Errorf("property holds with the rule turned off, seeds %d to %d", from, to-1)
		})
	}
}
