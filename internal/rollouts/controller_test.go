package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// group is the replicated state of the test's nodes.
type group struct {
	space  *state.Space
	leader string
	term   uint64
}

// member is one node's access to the group; a frozen member keeps an old view.
type member struct {
	g      *group
	name   string
	frozen *config.View
	leads  bool
}

func (m *member) View(time.Time) (*config.View, bool) {
	if m.frozen != nil {
		return m.frozen, true
	}
	view, err := config.NewView(m.g.space.Version, m.g.space.Items)
	return view, err == nil
}

func (m *member) Change(_ context.Context, c wire.Change) (wire.Changed, error) {
	return m.g.space.Apply(c), nil
}
func (m *member) WaitInForce(context.Context, uint64) error { return nil }
func (m *member) Leader() string                            { return m.g.leader }
func (m *member) Leading() (uint64, bool) {
	return m.g.term, m.leads || m.g.leader == m.name
}

type wires map[string]*Controller

func (wires) Handle(string, peer.Handler) {}

func (w wires) Call(_ context.Context, to, _ string, message, reply any) error {
	out, err := w[to].take(message.(wire.Tally))
	*reply.(*wire.Tallied) = out
	return err
}

type upstreams []upstream.Entry

func (u upstreams) List() []upstream.Entry { return u }

// site starts two nodes, of which a leads, with one upstream of each version.
func site(t *testing.T) (g *group, nodes wires, members map[string]*member, now *time.Time) {
	t.Helper()
	g = &group{space: state.NewSpace(), leader: "a", term: 1}
	items, err := config.Items(config.Site{Services: []config.Service{{
		Name: "s", Version: "v1", Rollout: config.Rollout{Steps: []float64{0.1, 1}, Canary: 0.1, RollbackReserve: config.Duration(10 * time.Second), Soak: config.Duration(time.Second)},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	g.space.Apply(wire.Change{Items: items})
	start := time.Unix(1000, 0)
	now = &start
	log := logrus.New()
	log.SetOutput(io.Discard)
	nodes, members = wires{}, map[string]*member{}
	serving := upstreams{}
	for _, v := range []string{"v1", "v2"} {
		serving = append(serving, upstream.Entry{Announce: wire.Announce{ID: v, Ready: true, Serving: []wire.Serving{{Service: "s", Version: v}}}})
	}
	for _, name := range []string{"a", "b"} {
		members[name] = &member{g: g, name: name}
		nodes[name] = &Controller{
			Node: name, Tally: NewTally(name, 1), State: members[name], Links: nodes, Upstreams: serving, Log: log,
			Now: func() time.Time { return *now },
		}
		nodes[name].Open()
	}
	return g, nodes, members, now
}

// drive sends calls through both nodes for a number of report intervals and returns
// how many each version got.
func drive(nodes wires, members map[string]*member, now *time.Time, intervals int, result func(version string) caller.Result) map[string]int {
	got := make(map[string]int)
	for range intervals {
		*now = now.Add(stepInterval)
		for _, name := range []string{"a", "b"} {
			view, _ := members[name].View(*now)
			for range 20 {
				version := view.Services["s"].Version
				if share, ok := view.Shares["s"]; ok {
					version = share.From
					if !share.Ended() && nodes[name].Tally.Admit("s", share, 10, "") {
						version = share.To
					}
				}
				got[version]++
				nodes[name].Tally.RecordAttempt(*now, caller.AttemptReport{Service: "s", Version: version, Route: "r", Class: "c", Domain: "d", Result: result(version), TimeToFirstToken: 50 * time.Millisecond, CompletionTime: time.Second})
			}
			nodes[name].report(context.Background())
			nodes[name].judge(context.Background())
		}
	}
	return got
}

func start(t *testing.T, nodes wires, now time.Time) {
	t.Helper()
	if _, err := nodes["b"].Start(context.Background(), Order{ID: "r1", Service: "s", To: "v2", By: now.Add(10 * time.Minute)}); err != nil {
		t.Fatalf("Start: got %v, want no error", err)
	}
}

func assertPhase(t *testing.T, g *group, want rollout.Phase) {
	t.Helper()
	var r rollout.Rollout
	if err := json.Unmarshal(g.space.Items["rollout/s"].Value, &r); err != nil {
		t.Fatal(err)
	}
	if r.Phase != want {
		t.Errorf("phase: got %s (%s), want %s", r.Phase, r.Cause.Text, want)
	}
}

func answered(string) caller.Result { return caller.ResultAnswered }

func TestRollouts(t *testing.T) {
	t.Run("a good version must not stay without the whole traffic", func(t *testing.T) {
		g, nodes, members, now := site(t)
		start(t, nodes, *now)
		drive(nodes, members, now, 400, answered)
		assertPhase(t, g, rollout.Done)
		view, _ := members["b"].View(*now)
		if got, want := view.Services["s"].Version, "v2"; got != want {
			t.Errorf("service's version: got %s, want %s", got, want)
		}
	})
	t.Run("a bad version must not get more than its share, nor anything after its undo", func(t *testing.T) {
		g, nodes, members, now := site(t)
		start(t, nodes, *now)
		fail := func(version string) caller.Result {
			if version == "v2" {
				return caller.ResultFailed
			}
			return caller.ResultAnswered
		}
		got := drive(nodes, members, now, 60, fail)
		assertPhase(t, g, rollout.RolledBack)
		if got["v2"] == 0 || 10*got["v2"] > got["v1"]+got["v2"] {
			t.Errorf("calls of the bad version: got %d of %d, want some, at most a tenth", got["v2"], got["v1"]+got["v2"])
		}
		if after := drive(nodes, members, now, 20, fail); after["v2"] != 0 {
			t.Errorf("calls of the bad version after its undo: got %d, want 0", after["v2"])
		}
		if _, err := nodes["a"].Start(context.Background(), Order{ID: "r2", Service: "s", To: "v2", By: now.Add(time.Hour)}); !errors.Is(err, rollout.ErrBadVersion) {
			t.Errorf("second start of the bad version: got %v, want %v", err, rollout.ErrBadVersion)
		}
	})
	t.Run("a leader that was cut off must not overwrite its successor's decision", func(t *testing.T) {
		g, nodes, members, now := site(t)
		start(t, nodes, *now)
		members["a"].leads = true
		members["a"].frozen, _ = members["a"].View(*now)
		g.leader, g.term = "b", 2
		if _, err := nodes["b"].Undo(context.Background(), "s", "operator"); err != nil {
			t.Fatal(err)
		}
		view := members["a"].frozen
		r, err := find(view, "s")
		if err != nil {
			t.Fatal(err)
		}
		r.Step, r.Share = 1, 0.9
		if err := store(context.Background(), members["a"], view, *r); !errors.Is(err, ErrConflict) {
			t.Errorf("write of the old leader: got %v, want %v", err, ErrConflict)
		}
		drive(nodes, members, now, 4, answered)
		assertPhase(t, g, rollout.RolledBack)
	})
	t.Run("a new leader must go on from the recorded step", func(t *testing.T) {
		g, nodes, members, now := site(t)
		start(t, nodes, *now)
		for i := range 8 {
			drive(nodes, members, now, 50, answered)
			g.leader, g.term = []string{"b", "a"}[i%2], g.term+1
		}
		assertPhase(t, g, rollout.Done)
	})
	t.Run("an order sent again after a lost answer must not start a second rollout", func(t *testing.T) {
		g, nodes, _, now := site(t)
		start(t, nodes, *now)
		version := g.space.Version
		start(t, nodes, *now)
		if g.space.Version != version {
			t.Errorf("version after the second order: got %d, want %d", g.space.Version, version)
		}
	})
}
