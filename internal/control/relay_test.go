package control

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/roster"
	"github.com/jaystage/jaystage/pkg/wire"
)

// relayed plays statuses that follow each other and returns the sequence numbers that
// entry nodes hear of.
func relayStatuses(r *relay, now time.Time, list []wire.Status) (sequences []uint64) {
	var old wire.Status
	change := roster.Joined
	for _, s := range list {
		r.add(now, old, s, change)
		_, news := r.take()
		for _, n := range news {
			sequences = append(sequences, n.Sequence)
		}
		old, change = s, roster.Refreshed
	}
	return sequences
}

func assertSequences(t *testing.T, got, want []uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("entry nodes hear of %v, want %v", got, want)
		return
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("entry nodes hear of %v, want %v", got, want)
			return
		}
	}
}

// Load pattern: some thousand upstreams that report every second. Guards against entry
// nodes whose links are full of reports that tell nothing new, and against news that wait.
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
	t.Run("nothing new", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(9, func(int, *wire.Status) {}))
		assertSequences(t, got, []uint64{1, 3, 6, 9})
	})
	t.Run("another field", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(5, func(i int, s *wire.Status) { s.Slots = uint64(8 + i/4) }))
		assertSequences(t, got, []uint64{1, 3, 5})
	})
	t.Run("cold, and the first report after it", func(t *testing.T) {
		got := relayStatuses(&relay{}, now, statuses(8, func(i int, s *wire.Status) {
			if i == 3 || i == 4 {
				s.Cold = 500
			}
		}))
		assertSequences(t, got, []uint64{1, 3, 4, 5, 6})
	})
	t.Run("the domain has come back from a drain", func(t *testing.T) {
		r := &relay{}
		r.trackDrains(now.Add(-2*time.Second), &config.View{DrainedDomains: map[string]config.Drain{"a": {}}})
		r.trackDrains(now.Add(-time.Second), &config.View{})
		got := relayStatuses(r, now, statuses(4, func(int, *wire.Status) {}))
		assertSequences(t, got, []uint64{1, 2, 3, 4})
	})
	t.Run("a report that is passed over does not hide the news before it", func(t *testing.T) {
		r := &relay{}
		list := statuses(2, func(int, *wire.Status) {})
		r.add(now, wire.Status{}, list[0], roster.Joined)
		r.add(now, list[0], list[1], roster.Refreshed)
		if all, news := r.take(); len(all) != 1 || len(news) != 1 || news[0].Sequence != 2 {
			t.Errorf("got %v and %v, want the newest report as news", all, news)
		}
	})
}
