package raft

import (
	"flag"
	"fmt"
	"maps"
	"slices"
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
	doHang  // the disk completes no writes
	doTrap  // crash when an answer to a vote waits for its write
)

type action struct{ kind, target, millis int }

type scenario struct {
	seed, keep uint64
	size       int
	actions    []action
}

// scenarios draws scenarios with the given faults, which may repeat as weights.
func scenarios(kinds ...int) *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		step := rapid.Custom(func(t *rapid.T) action {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			return action{kind, rapid.IntRange(0, 4).Draw(t, "target"), rapid.IntRange(0, 400).Draw(t, "millis")}
		})
		return scenario{
			seed:    rapid.Uint64().Draw(t, "seed"),
			size:    rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "size"),
			keep:    rapid.Uint64Range(0, 8).Draw(t, "keep"),
			actions: rapid.SliceOfN(step, 1, 14).Draw(t, "actions"),
		}
	})
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
		srv.frozen, srv.hung = 0, false
		if srv.node == nil {
			s.start(srv)
		}
	}
}

// faults are what the actions do.
var faults = map[int]func(s *sim, srv *server, a action){
	doNothing: func(*sim, *server, action) {},
	doCrash: func(s *sim, srv *server, _ action) {
		if srv.node == nil {
			s.start(srv)
			return
		}
		s.crash(srv)
	},
	doFreeze:  func(s *sim, srv *server, _ action) { srv.frozen = s.now + 3*simElection },
	doIsolate: func(s *sim, srv *server, _ action) { s.block(srv.name, true, true) },
	doMute:    func(s *sim, srv *server, _ action) { s.block(srv.name, true, false) },
	doDeafen:  func(s *sim, srv *server, _ action) { s.block(srv.name, false, true) },
	doSplit: func(s *sim, _ *server, a action) {
		for _, other := range s.names[:a.target%len(s.names)] {
			for _, rest := range s.names[a.target%len(s.names):] {
				s.blocked[[2]string{other, rest}], s.blocked[[2]string{rest, other}] = true, true
			}
		}
	},
	doHeal:  func(s *sim, _ *server, _ action) { s.heal() },
	doSlow:  func(s *sim, _ *server, _ action) { s.slow = 0.3 },
	doLose:  func(s *sim, _ *server, _ action) { s.drop = 0.2 },
	doBlank: func(s *sim, srv *server, _ action) { s.replace(srv, false) },
	doOlder: func(s *sim, srv *server, _ action) { s.replace(srv, true) },
	doRemove: func(s *sim, srv *server, _ action) {
		for _, leader := range s.leaders() {
			if m, ok := leader.node.member(srv.name); ok && s.whole() && len(s.names) > 3 {
				s.step(leader, Input{Change: &Change{Kind: ChangeRemove, Member: m}})
			}
		}
	},
	doTransfer: func(s *sim, srv *server, _ action) {
		for _, leader := range s.leaders() {
			s.step(leader, Input{Transfer: srv.name})
		}
	},
	doCompact: func(s *sim, srv *server, _ action) {
		s.step(srv, Input{Compact: &Compaction{srv.index, srv.save()}})
	},
	doChase: func(s *sim, _ *server, _ action) { s.isolateLeaders() },
	doCut: func(s *sim, srv *server, a action) {
		s.blocked[[2]string{srv.name, s.names[a.millis%len(s.names)]}] = true
	},
	doIdle: func(s *sim, _ *server, _ action) { s.idle = !s.idle },
	doShift: func(s *sim, _ *server, _ action) {
		s.blocked = map[[2]string]bool{}
		s.isolateLeaders()
	},
	doHang: func(_ *sim, srv *server, _ action) { srv.hung = true },
	doTrap: func(_ *sim, srv *server, _ action) { srv.trap = true },
}

func (s *sim) isolateLeaders() {
	for _, leader := range s.leaders() {
		s.block(leader.name, true, true)
	}
}

func (s *sim) act(a action) { faults[a.kind](s, s.servers[s.names[a.target%len(s.names)]], a) }

// replace takes the disk of a server away, if the group can bear the loss, and
// starts it with a blank one or with the one it had before.
func (s *sim) replace(srv *server, older bool) {
	if srv.node == nil || !s.whole() || (older && srv.image == nil) {
		return
	}
	s.crash(srv)
	image := srv.image
	s.wipe(srv)
	if older {
		srv.disk = image.clone()
	}
	s.start(srv)
}

func (s *sim) block(name string, out, in bool) {
	for _, other := range s.names {
		if other != name {
			s.blocked[[2]string{name, other}] = out || s.blocked[[2]string{name, other}]
			s.blocked[[2]string{other, name}] = in || s.blocked[[2]string{other, name}]
		}
	}
}

// properties lists the faults under which each property is checked; all properties
// are observed in every scenario.
var properties = []struct {
	name  string
	kinds []int
}{
	{electionSafety, []int{doNothing, doTrap, doTrap, doHang, doCrash, doCut, doChase, doHeal, doSlow, doLose, doTransfer, doFreeze}},
	{logMatching, []int{doSplit, doHang, doChase, doHeal, doHeal, doCrash, doSlow, doLose, doCompact, doMute, doDeafen}},
	{keptEntries, []int{doNothing, doCrash, doBlank, doBlank, doOlder, doChase, doHeal, doHeal, doCompact, doRemove}},
	{leaseReads, []int{doIdle, doIsolate, doShift, doChase, doMute, doDeafen, doFreeze, doFreeze, doHeal, doSlow, doTransfer, doCrash}},
	{machineSafety, slices.Sorted(maps.Keys(faults))},
	{safePromotion, []int{doNothing, doBlank, doBlank, doOlder, doRemove, doRemove, doChase, doHeal, doHeal, doTransfer, doLose}},
}

// TestProperties guards against violations of the properties under generated faults.
func TestProperties(t *testing.T) {
	for _, p := range properties {
		t.Run(p.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if c := scenarios(p.kinds...).Draw(t, "scenario").play(mutation{}, ""); c.violation != "" {
					t.Fatalf("%s: %s", c.property, c.violation)
				}
			})
		})
	}
}

var searchSeeds = flag.Int("mutation.search", 0, "scenarios to try for each mutation instead of the listed seed")

// mutations lists, for each rule, a seed of rapid at which turning the rule off
// violates the property. With the control, which turns off only what is named in
// brackets, the property holds at that seed.
var mutations = []struct {
	name, property string
	seed           int
	kinds          []int
	mutation       mutation
	control        mutation
}{
	{
		"vote answered before it is synced (restarted members vote at once)", electionSafety, 35,
		[]int{doTrap, doChase, doHeal, doSlow},
		mutation{earlyVote: true, trusting: true, hooks: hooks{lateVote: true}},
		mutation{trusting: true, hooks: hooks{lateVote: true}},
	},
	{
		"append acknowledged before it is synced", keptEntries, 280,
		[]int{doCrash},
		mutation{earlyAck: true},
		mutation{},
	},
	{
		"blank disk keeps its incarnation", keptEntries, 94,
		[]int{doBlank, doChase, doHeal, doIsolate},
		mutation{keepIdentity: true},
		mutation{},
	},
	{
		"older disk counts whatever its incarnation", keptEntries, 2729,
		[]int{doBlank, doOlder, doOlder, doChase, doHeal, doNothing},
		mutation{hooks: hooks{anyone: true}},
		mutation{},
	},
	{
		"lease measured from receipt", leaseReads, 518,
		[]int{doSlow, doChase, doHeal},
		mutation{hooks: hooks{leaseReceipt: true}},
		mutation{},
	},
	{
		"vote while a lease is valid", leaseReads, 68,
		[]int{doIdle, doIsolate, doShift},
		mutation{hooks: hooks{lateVote: true}},
		mutation{},
	},
	{
		"lease kept after a transfer was ordered", leaseReads, 367,
		[]int{doTransfer, doSlow, doMute, doIdle, doChase, doHeal},
		mutation{hooks: hooks{keepLease: true}},
		mutation{},
	},
	{
		"clock drift beyond the bound", leaseReads, 580,
		[]int{doTransfer, doChase, doHeal},
		mutation{fastClocks: true},
		mutation{},
	},
	{
		"learner promoted before it caught up", safePromotion, 0,
		[]int{doBlank, doLose, doNothing},
		mutation{hooks: hooks{promoteEarly: true}},
		mutation{},
	},
	{
		"append accepted without the entry before it", logMatching, 13,
		[]int{doChase, doHeal, doSplit},
		mutation{blindAppend: true},
		mutation{},
	},
	{
		"append accepted without the entry before it", machineSafety, 13,
		[]int{doChase, doHeal, doSplit},
		mutation{blindAppend: true},
		mutation{},
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
			t.Errorf("property holds with the rule turned off, seeds %d to %d; after a change to messages or to the "+
				"simulation, find a new seed with -mutation.search=20000", from, to-1)
		})
	}
}
