package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/wire"
)

func startMove(t *testing.T, c *Control, at int64, target string) {
	t.Helper()
	if err := c.StartMove(context.Background(), time.Unix(at, 0), "s", target, 20*time.Second); err != nil {
		t.Fatal(err)
	}
}

func assertMove(t *testing.T, s *fakeState, target, phase string) {
	t.Helper()
	if got := s.view().Moves["s"]; got.Target != target || got.Phase != phase {
		t.Errorf("got a move to %q that is %s, want one to %q that is %s", got.Target, got.Phase, target, phase)
	}
}

// Guards against a step of the leader that was decided on an older copy of a move (review/8): it
// replaced the move that an operator had ordered since, or resumed one that had ended.
func TestStepOnOlderViewChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		later         func(t *testing.T, s *fakeState, c *Control)
		target, phase string
	}{
		"another move was ordered": {
			func(t *testing.T, _ *fakeState, c *Control) { startMove(t, c, 101, "v3") }, "v3", config.MoveRunning,
		},
		"another leader rolled the move back": {
			func(t *testing.T, s *fakeState, c *Control) {
				move := s.view().Moves["s"]
				move.Phase = config.MoveRolledBack
				if err := c.put(context.Background(), s.view(), config.PrefixMove+"s", move); err != nil {
					t.Fatal(err)
				}
			}, "v2", config.MoveRolledBack,
		},
	} {
		for step, at := range map[string]int64{"canary": 102, "all requests": 115, "end": 125} {
			t.Run(name+", "+step, func(t *testing.T) {
				s := newFakeState()
				c := newControl(s)
				startMove(t, c, 100, "v2")
				s.staleView = s.view()
				test.later(t, s, c)
				c.mover.run(context.Background(), time.Unix(at, 0))
				assertMove(t, s, test.target, test.phase)
			})
		}
	}
}

// Guards against an order that reaches the log after a later one was acknowledged, as when its
// connection was reset and the operator sent it again through another voter.
func TestOrderDecidedOnOlderViewUndoesNothing(t *testing.T) {
	ctx, now := context.Background(), time.Unix(100, 0)
	must := func(t *testing.T, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	drained := func(s *fakeState) bool { _, ok := s.view().DrainedDomains["a"]; return ok }
	t.Run("drain after a resumption", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		s.onChange = func() {
			must(t, c.DrainDomain(ctx, now, "a"))
			must(t, c.ResumeDomain(ctx, "a"))
		}
		if err := c.DrainDomain(ctx, now.Add(time.Second), "a"); !errors.Is(err, ErrOvertaken) || drained(s) {
			t.Errorf("got %v, drained %v; want %v and the domain in service", err, drained(s), ErrOvertaken)
		}
	})
	t.Run("resumption after a drain", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		must(t, c.DrainDomain(ctx, now, "a"))
		s.onChange = func() {
			must(t, c.ResumeDomain(ctx, "a"))
			must(t, c.DrainDomain(ctx, now.Add(time.Second), "a"))
		}
		if err := c.ResumeDomain(ctx, "a"); !errors.Is(err, ErrOvertaken) || !drained(s) {
			t.Errorf("got %v, drained %v; want %v and the domain drained", err, drained(s), ErrOvertaken)
		}
	})
	t.Run("move after another move", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		s.onChange = func() { startMove(t, c, 101, "v3") }
		if err := c.StartMove(ctx, now, "s", "v2", time.Minute); !errors.Is(err, ErrOvertaken) {
			t.Errorf("got %v, want %v", err, ErrOvertaken)
		}
		assertMove(t, s, "v3", config.MoveRunning)
	})
	t.Run("move after a step of the one that it replaces", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		startMove(t, c, 90, "v2")
		s.onChange = func() { c.mover.run(ctx, now) }
		startMove(t, c, 101, "v3")
		assertMove(t, s, "v3", config.MoveRunning)
	})
	t.Run("the same order twice", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		s.onChange = func() { startMove(t, c, 101, "v2") }
		startMove(t, c, 100, "v2")
		if got, want := s.view().Moves["s"].Started, time.Unix(101, 0).UnixMilli(); got != want {
			t.Errorf("got a move that started at %d ms, want the recorded one at %d ms", got, want)
		}
	})
	t.Run("leaving of an earlier start", func(t *testing.T) {
		s := newFakeState()
		earlier, later := newControl(s), newControl(s)
		status := wire.Status{ID: "u", Address: "x", Born: 7, Sequence: 2, Leaving: true}
		s.onChange = func() {
			restarted := status
			restarted.Born = 9
			must(t, later.HandleStatus(ctx, now, restarted))
		}
		must(t, earlier.HandleStatus(ctx, now, status))
		if got, want := s.view().DrainedUpstreams["u"].StartMillis, int64(9); got != want {
			t.Errorf("got a drain up to start %d, want %d", got, want)
		}
	})
}

// forgetDeletions creates and deletes entries until the state has forgotten the first deletions,
// as it does after some hours of usage windows.
func (s *fakeState) forgetDeletions() {
	for n := 0; s.space.Floor == 0; n++ {
		item := wire.Item{Key: fmt.Sprint(config.PrefixDrainUpstream, n), Value: []byte(`{}`)}
		s.space.Apply(wire.Change{Base: s.space.Version, Items: []wire.Item{item}})
		s.space.Apply(wire.Change{Base: s.space.Version, Items: []wire.Item{{Key: item.Key, Deleted: true}}})
	}
}

// Guards against usage windows that are never settled once the state has forgotten deletions: an
// entry that is not there may be one of those for a writer that has seen no version at all.
func TestUsageIsSettledAfterForgottenDeletions(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	p := &fakePlatform{}
	c.Platform = p
	if err := c.PutPlan(context.Background(), testPlan(1, time.Second)); err != nil {
		t.Fatal(err)
	}
	s.forgetDeletions()
	now := time.Unix(1000, 0)
	for i, at := range []time.Time{now.Add(-3 * reportLifetime), now} {
		c.ledger.handleReport(at, s.term, nil, wire.UseTally{
			Node: "n", Process: 1, Sequence: uint64(i + 1), Windows: []wire.WindowCount{{Window: 198, Account: "a", Count: 40}},
		})
	}
	c.usageReporter.run(context.Background(), now)
	if got, want := s.view().Usage["198"].Counts["a"], uint64(40); got != want {
		t.Errorf("window 198: got %d requests of the account, want %d", got, want)
	}
}

// Guards against two counts for one window when the wall clock of a new leader is behind: the
// window was settled, reported and pruned before.
func TestPrunedUsageWindowIsNotSettledAgain(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	c.Platform = &fakePlatform{}
	if err := c.PutPlan(context.Background(), testPlan(1, time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := c.put(context.Background(), s.view(), config.PrefixUsage+"210", config.Usage{Window: 210, Sent: true}); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	for i, at := range []time.Time{now.Add(-3 * reportLifetime), now} {
		c.ledger.handleReport(at, s.term, nil, wire.UseTally{
			Node: "n", Process: 1, Sequence: uint64(i + 1), Windows: []wire.WindowCount{{Window: 198, Account: "a", Count: 40}},
		})
	}
	c.usageReporter.run(context.Background(), now)
	if got, ok := s.view().Usage["198"]; ok {
		t.Errorf("got window 198 settled as %+v, want it left as it is", got)
	}
}
