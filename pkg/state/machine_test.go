package state

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/wire"
)

// simulation drives a machine with commands of several nodes, which reach the log
// delayed, more than once and in any order.
type simulation struct {
	m        *Machine
	now      uint64
	sessions map[string]uint64 // incarnation that each node believes to be its live session
	seq      map[string]uint64
	lastID   uint64
	pending  []wire.Command // sent at least once; may be appended to the log again at any time
	attempts map[string]*attempt
	sends    map[string]int // number of requests sent per key
}

// attempt is the node's view of one begin step.
type attempt struct {
	cmd     wire.Command
	decided bool // the request was sent or abandoned
	sent    bool
}

var (
	nodes = []string{"a", "b", "c"}
	keys  = []string{"k1", "k2"}
)

func newSimulation() *simulation {
	return &simulation{m: New(), now: 1, sessions: map[string]uint64{}, seq: map[string]uint64{}, attempts: map[string]*attempt{}, sends: map[string]int{}}
}

func (s *simulation) apply(c wire.Command) wire.Outcome {
	s.now++
	c.Time = s.now
	return s.m.Apply(c)
}

func (s *simulation) startSession(t *rapid.T) {
	node := rapid.SampledFrom(nodes).Draw(t, "node")
	s.lastID++
	c := wire.Command{Session: &wire.Session{Node: node, Incarnation: s.lastID, Up: true, Value: []byte("{}")}}
	s.pending = append(s.pending, c)
	if s.apply(c).Fault == "" {
		s.sessions[node], s.seq[node] = s.lastID, 0
	}
}

func (s *simulation) endSession(t *rapid.T) {
	node := rapid.SampledFrom(nodes).Draw(t, "node")
	if incarnation, ok := s.m.Session(node); ok {
		s.apply(wire.Command{Session: &wire.Session{Node: node, Incarnation: incarnation}})
	}
}

func (s *simulation) begin(t *rapid.T) {
	node := rapid.SampledFrom(nodes).Draw(t, "node")
	key := rapid.SampledFrom(keys).Draw(t, "key")
	if s.sessions[node] == 0 {
		return
	}
	s.seq[node]++
	id := fmt.Sprintf("%s-%d-%d", node, s.sessions[node], s.seq[node])
	c := wire.Command{Node: node, Incarnation: s.sessions[node], Seq: s.seq[node], Booking: &wire.Booking{
		Verb: VerbBegin, Account: "acc", Service: "svc", Key: key, Hash: "h", Attempt: id,
	}}
	s.attempts[id] = &attempt{cmd: c}
	s.pending = append(s.pending, c)
	if rapid.Bool().Draw(t, "arrives") {
		s.receiveOutcome(t, id, s.apply(c))
	}
}

// receiveOutcome delivers the outcome of a begin step to its node, which then sends the
// request or abandons the booking.
func (s *simulation) receiveOutcome(t *rapid.T, id string, o wire.Outcome) {
	a := s.attempts[id]
	if a.decided || o.Booked == nil || !o.Booked.Fresh {
		return
	}
	a.decided = true
	if rapid.Bool().Draw(t, "sends") {
		a.sent = true
		s.sends[a.cmd.Booking.Key]++
	} else {
		s.apply(commandWithVerb(a.cmd, VerbAbandon))
	}
}

func commandWithVerb(begin wire.Command, verb string) wire.Command {
	b := *begin.Booking
	b.Verb = verb
	if verb == VerbFinish {
		b.Answer = &wire.Answer{Status: 201, Body: []byte(b.Attempt)}
	}
	begin.Booking = &b
	return begin
}

func (s *simulation) retryPending(t *rapid.T) {
	if len(s.pending) == 0 {
		return
	}
	c := rapid.SampledFrom(s.pending).Draw(t, "command")
	o := s.apply(c)
	if c.Booking != nil && c.Booking.Verb == VerbBegin {
		s.receiveOutcome(t, c.Booking.Attempt, o)
	}
}

func (s *simulation) finishOrAbandon(t *rapid.T) {
	for _, id := range sortedAttempts(s.attempts) {
		a := s.attempts[id]
		switch {
		case a.sent && rapid.Bool().Draw(t, "finishes"):
			s.apply(commandWithVerb(a.cmd, rapid.SampledFrom([]string{VerbFinish, VerbOrphan}).Draw(t, "how")))
		case !a.decided && rapid.Bool().Draw(t, "abandons"):
			a.decided = true
			s.apply(commandWithVerb(a.cmd, VerbAbandon))
		}
	}
}

func (s *simulation) restore(t *rapid.T) {
	before, err := s.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	next.mutations = s.m.mutations
	if err := next.Restore(before); err != nil {
		t.Fatal(err)
	}
	after, err := next.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, after) {
		t.Fatalf("snapshot changed after restore: %d bytes before, %d after", len(before), len(after))
	}
	s.m = next
}

func sortedAttempts(m map[string]*attempt) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// checkInvariants fails if the request of a key was sent twice, if a node has abandoned a
// running booking, or if the session of a running booking has ended.
func (s *simulation) checkInvariants(t *rapid.T) {
	for key, n := range s.sends {
		if n > 1 {
			t.Fatalf("key %s was sent %d times", key, n)
		}
	}
	for _, key := range keys {
		intent, ok := s.m.Booking("acc", "svc", key)
		if !ok || intent.State != StateRunning {
			continue
		}
		a := s.attempts[intent.Attempt]
		if a.decided && !a.sent {
			t.Fatalf("booking of key %s is running under attempt %s, which its node has abandoned", key, intent.Attempt)
		}
		if incarnation, live := s.m.Session(intent.Node); !live || incarnation != intent.Incarnation {
			t.Fatalf("booking of key %s is running under session %d of %s, which has ended", key, intent.Incarnation, intent.Node)
		}
	}
}

func bookingProperty(disabled mutations) func(t *rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation()
		s.m.mutations = disabled
		t.Repeat(map[string]func(*rapid.T){
			"session starts": s.startSession, "session ends": s.endSession, "begin": s.begin,
			"command retried": s.retryPending, "finish or abandon": s.finishOrAbandon, "restore": s.restore, "": s.checkInvariants,
		})
	}
}

// TestBookingSentAtMostOnceDespiteRepeatedAndDelayedCommands guards against a booking whose
// request is sent twice, or that stays running after its attempt was abandoned or its
// session ended, when commands are delayed, reordered and repeated.
func TestBookingSentAtMostOnceDespiteRepeatedAndDelayedCommands(t *testing.T) {
	rapid.Check(t, bookingProperty(mutationFromFlag()))
}

// TestChangeNeverOverwritesEntryChangedAfterBase guards against a change that overwrites an
// entry changed after its base version, a version that decreases, and a repeated change id
// that returns a different result.
func TestChangeNeverOverwritesEntryChangedAfterBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		type sent struct {
			c   wire.Change
			out wire.Changed
		}
		var applied []sent
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			if len(applied) > 0 && rapid.Bool().Draw(t, "repeat") {
				s := rapid.SampledFrom(applied).Draw(t, "which")
				got := m.Apply(wire.Command{Change: &s.c}).Changed
				if !got.Repeated || got.Version != s.out.Version || len(got.Conflict) != len(s.out.Conflict) {
					t.Fatalf("id %s: repeated result %+v, first %+v", s.c.ID, got, s.out)
				}
				continue
			}
			c := wire.Change{ID: fmt.Sprint("c", i), Base: rapid.Uint64Range(0, m.Space.Version).Draw(t, "base")}
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), 1, 3, rapid.ID).Draw(t, "keys") {
				c.Items = append(c.Items, wire.Item{Key: k, Value: []byte(fmt.Sprint(i)), Deleted: rapid.Bool().Draw(t, "deleted")})
			}
			before, old := m.Space.Version, map[string]wire.Item{}
			for k, v := range m.Space.Items {
				old[k] = v
			}
			out := *m.Apply(wire.Command{Change: &c}).Changed
			applied = append(applied, sent{c, out})
			if m.Space.Version < before || m.Space.Version > before+1 {
				t.Fatalf("version changed from %d to %d, want an increment of 0 or 1", before, m.Space.Version)
			}
			for k, item := range m.Space.Items {
				if item.Version > before && old[k].Version > c.Base {
					t.Fatalf("a change based on %d overwrote %s, last changed at %d", c.Base, k, old[k].Version)
				}
			}
		}
	})
}

// TestOrderLeaseHasOneHolderAndIncreasingTokens guards against an order lease with two
// holders, and against a fencing token that a previous holder already had.
func TestOrderLeaseHasOneHolderAndIncreasingTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.m.mutations = mutationFromFlag()
		highest, holder := uint64(0), ""
		act := func(verb string) func(*rapid.T) {
			return func(t *rapid.T) {
				node := rapid.SampledFrom(nodes).Draw(t, "node")
				incarnation, live := s.m.Session(node)
				if !live {
					return
				}
				s.lastID++
				o := s.apply(wire.Command{Node: node, Incarnation: incarnation, Seq: s.lastID, Order: &wire.Order{Verb: verb, Name: "vm", Token: s.m.leases["vm"].Token}})
				got := o.Ordered
				id := fmt.Sprint(node, incarnation)
				if verb == VerbAcquire && got.Held && holder != id {
					if got.Token <= highest {
						t.Fatalf("holder %s got token %d after token %d", id, got.Token, highest)
					}
					highest, holder = got.Token, id
				}
				if got.Held && got.Node != node {
					t.Fatalf("%s holds a lease of %s", node, got.Node)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"session starts": s.startSession, "session ends": s.endSession,
			"acquire": act(VerbAcquire), "renew": act(VerbRenew), "release": act(VerbRelease), "restore": s.restore,
		})
	})
}

func TestExpiredKeyRefusedUntilTombstoneExpires(t *testing.T) {
	m := New()
	m.mutations = mutationFromFlag()
	m.Apply(wire.Command{Session: &wire.Session{Node: "a", Incarnation: 1, Up: true}})
	begin := func(seq, at uint64) *wire.Booked {
		return m.Apply(wire.Command{Node: "a", Incarnation: 1, Seq: seq, Time: at, Booking: &wire.Booking{
			Verb: VerbBegin, Account: "acc", Service: "svc", Key: "k", Hash: "h", Attempt: fmt.Sprint(seq), Keep: 1000,
		}}).Booked
	}
	b := begin(1, 10)
	m.Apply(wire.Command{Booking: &wire.Booking{Verb: VerbFinish, Account: "acc", Service: "svc", Key: "k", Attempt: b.Attempt, Answer: &wire.Answer{Status: 201}}})
	for _, step := range []struct {
		at   uint64
		want string
	}{{500, StateDone}, {1010, StateExpired}, {1010 + tombstoneRetentionMillis - 1, StateExpired}, {1010 + tombstoneRetentionMillis, StateRunning}} {
		if got := begin(step.at, step.at).State; got != step.want {
			t.Errorf("at %d ms: got %s, want %s", step.at, got, step.want)
		}
	}
}

func TestChangeOfNodeEntriesRefused(t *testing.T) {
	for _, c := range []wire.Change{{ID: "1", Items: []wire.Item{{Key: "node/a"}}}, {ID: "2", Prefix: []string{""}}, {ID: "3", Prefix: []string{"node/a"}}} {
		if got := New().Apply(wire.Command{Change: &c}).Fault; got != FaultReserved {
			t.Errorf("change %s: got fault %q, want %q", c.ID, got, FaultReserved)
		}
	}
}

// TestFollowerBelowFloorGetsFullDelta guards against a follower that keeps an entry because
// the entry's deletion was evicted before the follower received it.
func TestFollowerBelowFloorGetsFullDelta(t *testing.T) {
	s := NewSpace()
	for i := range maxDeletedItems + 2 {
		key := fmt.Sprint("k", i)
		s.Apply(wire.Change{Base: s.Version, Items: []wire.Item{{Key: key, Value: []byte("1")}}})
		s.Apply(wire.Change{Base: s.Version, Items: []wire.Item{{Key: key, Deleted: true}}})
	}
	if d := s.Delta(1); !d.Full || s.Floor == 0 {
		t.Fatalf("got full=%v with floor %d, want a full delta", d.Full, s.Floor)
	}
	if got := s.Apply(wire.Change{Base: 1, Items: []wire.Item{{Key: "k0", Value: []byte("2")}}}); len(got.Conflict) != 1 {
		t.Errorf("a change based on a version before an evicted deletion was accepted: %+v", got)
	}
}

func TestGroupMovesKeysOnlyToAddedGroup(t *testing.T) {
	for i := range 1000 {
		account := fmt.Sprint("account-", i)
		if got := Group(account, "svc", 1); got != 0 {
			t.Fatalf("with one group got %d, want 0", got)
		}
		if three, four := Group(account, "svc", 3), Group(account, "svc", 4); four != three && four != 3 {
			t.Fatalf("%s moved from group %d to %d when group 3 was added", account, three, four)
		}
	}
}

// Guards against a voter that fails on a command of a later release. It does not execute the
// command, so that its state then differs from that of later releases: they must not use a
// new kind of command before all voters know it.
func TestCommandOfLaterReleaseIsNotExecuted(t *testing.T) {
	m := New()
	m.Apply(wire.Command{Time: 1, Change: &wire.Change{ID: "c", Items: []wire.Item{{Key: "k", Value: []byte("v")}}}})
	want := m.Space.Version
	data, err := wire.Marshal(map[string]any{"time": 2, "added": map[string]any{"key": "k"}})
	if err != nil {
		t.Fatal(err)
	}
	var later wire.Command
	if err := wire.Unmarshal(data, &later); err != nil {
		t.Fatal(err)
	}
	if got := m.Apply(later).Fault; got != FaultInvalid {
		t.Errorf("fault: got %q, want %q", got, FaultInvalid)
	}
	if got := m.Space.Version; got != want {
		t.Errorf("version of the key space: got %d, want %d", got, want)
	}
}

// Guards against a snapshot of another format that is read as if it were of this one.
func TestSnapshotOfOtherFormatIsRefused(t *testing.T) {
	data, err := wire.MarshalLarge(wire.Image{Format: snapshotFormat + 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := New().Restore(data); err == nil {
		t.Error("snapshot of a later format: got no error, want one")
	}
}
