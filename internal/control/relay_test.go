package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/wire"
)

// relayStatuses passes consecutive statuses through the relay and returns the sequence
// numbers that entry nodes receive.
func relayStatuses(r *relay, now time.Time, list []wire.Status) (sequences []uint64) {
	var old wire.Status
	change := roster.Joined
	for _, s := range list {
		r.add(now, old, s, change)
		_, forEntryNodes := r.take()
		for _, n := range forEntryNodes {
			sequences = append(sequences, n.Sequence)
		}
		old, change = s, roster.Refreshed
	}
	return sequences
}

func assertSequences(t *testing.T, got, want []uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("entry nodes: got %v, want %v", got, want)
		return
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("entry nodes: got %v, want %v", got, want)
			return
		}
	}
}

// Load pattern: thousands of upstreams that report every second. Guards against saturating
// the links of entry nodes with unchanged statuses, and against delaying changes.
func TestRelaySendsChangesAtOnceAndHeartbeatsRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	statuses := func(n int, edit func(i int, s *wire.Status)) []wire.Status {
		var list []wire.Status
		for i := range n {
			s := wire.Status{ID: "u", Domain: "a", Born: 1, Sequence: uint64(i + 1), Slots: 8}
			edit(i, &s)
			list = append(list, s)
		}
		return list
	}
	t.Run("unchanged status", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(9, func(int, *wire.Status) {}))
		assertSequences(t, got, []uint64{1, 3, 6, 9})
	})
	t.Run("changed field", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(5, func(i int, s *wire.Status) { s.Slots = uint64(8 + i/4) }))
		assertSequences(t, got, []uint64{1, 3, 5})
	})
	t.Run("cold status and the next one", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(8, func(i int, s *wire.Status) {
			if i == 3 || i == 4 {
				s.Cold = 500
			}
		}))
		assertSequences(t, got, []uint64{1, 3, 4, 5, 6})
	})
	t.Run("domain resumed after a drain", func(t *testing.T) {
		r := &relay{}
		r.trackDrains(now.Add(-2*time.Second), &config.View{DrainedDomains: map[string]config.Drain{"a": {}}})
		r.trackDrains(now.Add(-time.Second), &config.View{})
		got := relayStatuses(r, now, statuses(4, func(int, *wire.Status) {}))
		assertSequences(t, got, []uint64{1, 2, 3, 4})
	})
	t.Run("unchanged status does not hide a queued change", func(t *testing.T) {
		r := &relay{}
		list := statuses(2, func(int, *wire.Status) {})
		r.add(now, wire.Status{}, list[0], roster.Joined)
		r.add(now, list[0], list[1], roster.Refreshed)
		if all, forEntryNodes := r.take(); len(all) != 1 || len(forEntryNodes) != 1 || forEntryNodes[0].Sequence != 2 {
			t.Errorf("got %v for voters and %v for entry nodes, want the newest status for both", all, forEntryNodes)
		}
	})
}

// Load pattern: all processes restart while dozens of upstreams are leaving, and repeat
// that to voters whose view is still empty. Guards against recording each of them again:
// every record is pushed to all nodes, which wait for their sessions.
func TestRestartedVoterRecordsNoDrainAgain(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	now := time.Unix(1000, 0)
	status := wire.Status{ID: "u", Service: "s", Domain: "d", Address: "10.0.0.9:80", Born: 1, Slots: 8, Sequence: 1, Leaving: true}
	if err := c.HandleStatus(context.Background(), now, status); err != nil {
		t.Fatal(err)
	}
	want := s.space.Version
	empty, err := config.NewView(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.staleView, s.noLease = empty, true
	restarted := newControl(s)
	status.Sequence = 2
	if err := restarted.HandleStatus(context.Background(), now.Add(10*time.Second), status); err != nil {
		t.Fatal(err)
	}
	if got := s.space.Version; got != want {
		t.Errorf("got version %d, want %d: the drain is recorded already", got, want)
	}
}

// Load pattern: hundreds of nodes start together. Guards against full lists from all voters
// to each of them, against a node to which no voter sends the list because the voters know
// different sets of each other, and against one voter that sends to most nodes.
func TestTwoVotersSyncEachNodeInFull(t *testing.T) {
	voters := []string{"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.4.0.1", "10.5.0.1"}
	const nodes = 300
	fullSyncs := make(map[string]int)
	for i := range nodes {
		node := fmt.Sprint("10.1.1.", i)
		count := 0
		for _, v := range voters {
			if sendsFullSync(v, node, voters) {
				count++
				fullSyncs[v]++
			}
		}
		if count != fullSyncVoters {
			t.Fatalf("%s: got the full list from %d voters, want %d", node, count, fullSyncVoters)
		}
		partial := 0
		for k, v := range voters {
			if sendsFullSync(v, node, voters[:k]) { // each voter knows only those before it
				partial++
			}
		}
		if partial < fullSyncVoters {
			t.Fatalf("%s: got the full list from %d voters with partial knowledge, want at least %d", node, partial, fullSyncVoters)
		}
	}
	for _, v := range voters {
		if mean := nodes * fullSyncVoters / len(voters); fullSyncs[v] < mean/2 || fullSyncs[v] > 2*mean {
			t.Errorf("%s sends the full list to %d nodes, want about %d", v, fullSyncs[v], mean)
		}
	}
}

// countingLinks counts the statuses sent to each node.
type countingLinks struct {
	discardLinks
	t        *testing.T
	statuses map[string]int
}

func (l countingLinks) Send(to, _ string, message any) error {
	var m wire.Statuses
	if err := wire.Unmarshal(message.(wire.Encoded), &m); err != nil {
		l.t.Fatal(err)
	}
	l.statuses[to] += len(m.List)
	return nil
}

// Guards against a new node that misses what an upstream has just reported to a voter that
// does not send it the full list, and against a node that gets everything from every voter.
func TestOtherVotersSendRecentReports(t *testing.T) {
	now := time.Unix(1000, 0)
	const upstreams = 50
	for _, self := range []string{"v0", "v1", "v2", "v3", "v4"} {
		s := newFakeState()
		view, err := config.NewView(0, nil)
		if err != nil {
			t.Fatal(err)
		}
		var voters []string
		for i := range 5 {
			voters = append(voters, fmt.Sprint("v", i))
			view.Nodes[voters[i]] = config.Node{Name: voters[i], Voter: true, Incarnation: 1}
		}
		view.Nodes["n"] = config.Node{Name: "n", Incarnation: 1}
		s.staleView = view
		links := countingLinks{t: t, statuses: make(map[string]int)}
		c := New(self, s, links, newControl(s).Log)
		for i := range upstreams {
			status := wire.Status{ID: fmt.Sprint("u", i), Service: "s", Domain: "d", Address: fmt.Sprint("10.0.0.", i, ":80"), Born: 1, Slots: 8, Sequence: 1}
			if i == 0 {
				if err := c.HandleStatus(context.Background(), now, status); err != nil {
					t.Fatal(err)
				}
				continue
			}
			c.roster.Apply(now, status) // relayed by another voter
		}
		c.sendStatuses(now, nil, nil)
		want := 1
		if sendsFullSync(self, "n", voters) {
			want = upstreams
		}
		if got := links.statuses["n"]; got != want {
			t.Errorf("%s sent %d statuses, want %d", self, got, want)
		}
		c.sendStatuses(now, nil, nil)
		if got := links.statuses["n"]; got != want {
			t.Errorf("%s sent %d statuses in two rounds, want %d", self, got, want)
		}
	}
}
