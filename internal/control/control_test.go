package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// space is the replicated state of one test, without replication.
type space struct {
	mu      sync.Mutex
	space   *state.Space
	term    uint64
	stale   *config.View // a view that lags, for View
	failing bool
}

func (s *space) view() *config.View {
	items := make(map[string]wire.Item)
	for _, i := range s.space.Since(0) {
		items[i.Key] = i
	}
	v, err := config.NewView(s.space.Version, items)
	if err != nil {
		panic(err)
	}
	return v
}

func (s *space) View(time.Time) (*config.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		return s.stale, true
	}
	return s.view(), true
}

var errNoQuorum = errors.New("no quorum")

func (s *space) Current(context.Context) (*config.View, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return nil, errNoQuorum
	}
	return s.view(), nil
}

func (s *space) Change(_ context.Context, c wire.Change) (wire.Changed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return wire.Changed{}, errNoQuorum
	}
	return s.space.Apply(c), nil
}

func (s *space) Leading() (uint64, bool) { return s.term, s.term > 0 }
func (s *space) Leader() string          { return "self" }

// noLinks drops all messages.
type noLinks struct{}

func (noLinks) Handle(string, peer.Handler)    {}
func (noLinks) Send(string, string, any) error { return nil }

// cloud is a platform that records calls and can fail.
type cloud struct {
	reports []config.Usage
	tokens  []uint64
	orders  []Order
	err     error
}

func (c *cloud) Report(_ context.Context, token uint64, u config.Usage) error {
	c.reports, c.tokens = append(c.reports, u), append(c.tokens, token)
	return c.err
}

func (c *cloud) Scale(_ context.Context, _ uint64, o Order) error {
	c.orders = append(c.orders, o)
	return c.err
}

func newControl(s *space) *Control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New("self", s, noLinks{}, log)
	c.Window, c.Exposure = 5*time.Second, 0.1
	return c
}

func newSpace() *space { return &space{space: state.NewSpace(), term: 3} }

func plan(version uint64, timeout time.Duration) *traffic.Plan {
	return &traffic.Plan{
		Version: version, Source: json.RawMessage(`{}`), Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{Name: "r", Host: "h", Prefix: "/", Kind: traffic.Lookup, Timeout: timeout, MaxAttempts: 1, Split: []traffic.Weight{{Service: "s", Weight: 1}}}},
	}
}

func wantPlan(t *testing.T, c *Control, version uint64, timeout time.Duration) {
	t.Helper()
	p, err := c.Plan(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if p.Version != version || p.Routes[0].Timeout != timeout {
		t.Errorf("got version %d with timeout %v, want %d with %v", p.Version, p.Routes[0].Timeout, version, timeout)
	}
}

// Guards against other content under a version that is held, and against an older
// version that comes back.
func TestHighestPlanHolds(t *testing.T) {
	c := newControl(newSpace())
	for _, p := range []*traffic.Plan{plan(5, time.Second), plan(5, time.Minute), plan(3, time.Hour), plan(5, time.Second)} {
		if err := c.PutPlan(context.Background(), p); err != nil {
			t.Errorf("version %d: %v, want it acknowledged", p.Version, err)
		}
		wantPlan(t, c, 5, time.Second)
	}
	if err := c.PutPlan(context.Background(), plan(9, time.Hour)); err != nil {
		t.Fatal(err)
	}
	wantPlan(t, c, 9, time.Hour)
}

func TestInvalidPlanIsNotRecorded(t *testing.T) {
	c := newControl(newSpace())
	if err := c.PutPlan(context.Background(), plan(1, 0)); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v, want %v", err, ErrInvalid)
	}
	if _, err := c.Plan(context.Background()); !errors.Is(err, ErrNoPlan) {
		t.Errorf("got %v, want %v", err, ErrNoPlan)
	}
}

// Guards against an acknowledgement of what a minority knows.
func TestNothingIsAcknowledgedWithoutAQuorum(t *testing.T) {
	s := newSpace()
	c := newControl(s)
	if err := c.PutPlan(context.Background(), plan(1, time.Second)); err != nil {
		t.Fatal(err)
	}
	s.failing = true
	now := time.Unix(100, 0)
	for name, call := range map[string]func() error{
		"plan":    func() error { return c.PutPlan(context.Background(), plan(2, time.Second)) },
		"read":    func() error { _, err := c.Plan(context.Background()); return err },
		"drain":   func() error { return c.DrainDomain(context.Background(), now, "a") },
		"resume":  func() error { return c.ResumeDomain(context.Background(), "a") },
		"move":    func() error { return c.StartMove(context.Background(), now, "s", "v2", time.Minute) },
		"leaving": func() error { return c.Announce(context.Background(), now, wire.Status{ID: "u", Leaving: true}) },
	} {
		if err := call(); !errors.Is(err, errNoQuorum) {
			t.Errorf("%s: got %v, want %v", name, err, errNoQuorum)
		}
	}
}

// Guards against a leaving that was acknowledged but is lost with its voter: also the
// repeated report is only acknowledged once it is recorded.
func TestLeavingIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	s := newSpace()
	c := newControl(s)
	now := time.Unix(100, 0)
	status := wire.Status{ID: "u", Address: "x", Born: 7, Sequence: 2, Leaving: true}
	s.failing = true
	if err := c.Announce(context.Background(), now, status); err == nil {
		t.Error("the leaving was acknowledged without a quorum")
	}
	s.failing = false
	if err := c.Announce(context.Background(), now, status); err != nil {
		t.Fatal(err)
	}
	if got, want := s.view().DrainedUpstreams["u"].Born, int64(7); got != want {
		t.Errorf("got a drain up to start %d, want %d", got, want)
	}
}

// Guards against two different counts for one window, over changes of the holder.
func TestWindowIsReportedWithTheCountsRecordedFirst(t *testing.T) {
	s := newSpace()
	first, second := newControl(s), newControl(s)
	now := time.Unix(1000, 0)
	tally := func(c *Control, count uint64) {
		t.Helper()
		for i, at := range []time.Time{now.Add(-3 * tallyLife), now} {
			c.ledger.take(at, s.term, nil, wire.UseTally{Node: "n", Process: 1, Sequence: uint64(i + 1), Windows: []wire.WindowCount{{Window: 198, Account: "a", Count: count}}})
		}
	}
	if err := first.PutPlan(context.Background(), plan(1, time.Second)); err != nil {
		t.Fatal(err)
	}
	p := &cloud{err: errors.New("silent")}
	first.Platform, second.Platform = p, p
	tally(first, 40)
	first.duty.run(context.Background(), now)
	s.term++
	tally(second, 41) // the second leader has heard of one request more
	p.err = nil
	second.duty.run(context.Background(), now)
	second.duty.run(context.Background(), now)
	seen := map[uint64]uint64{}
	for _, u := range p.reports {
		if n, ok := seen[u.Window]; ok && n != u.Counts["a"] {
			t.Errorf("window %d: got counts %d and %d", u.Window, n, u.Counts["a"])
		}
		seen[u.Window] = u.Counts["a"]
	}
	if seen[198] != 40 {
		t.Errorf("got %v, want window 198 reported with 40", seen)
	}
	for i := 1; i < len(p.tokens); i++ {
		if p.tokens[i] < p.tokens[i-1] {
			t.Errorf("got tokens %v, want them to rise", p.tokens)
		}
	}
}

func TestFencedHolderStops(t *testing.T) {
	s := newSpace()
	c := newControl(s)
	p := &cloud{err: ErrFenced}
	c.Platform = p
	if err := c.PutPlan(context.Background(), plan(1, time.Second)); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	c.ledger.take(now.Add(-3*tallyLife), s.term, nil, wire.UseTally{Node: "n", Process: 1, Sequence: 1})
	for range 5 {
		c.duty.run(context.Background(), now)
	}
	if got, want := len(p.reports), 1; got != want {
		t.Errorf("got %d calls with a refused token, want %d", got, want)
	}
}

// Load pattern: one account at six times its usual, over eight nodes of which two
// have most of its clients.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	l := newLedger()
	p := &traffic.Plan{Accounts: []traffic.Account{{Name: "a", Rate: 1000, Burst: 1000}}}
	start := time.Unix(1000, 0)
	used := make([]float64, 8)
	total := 0.0
	for ms := 0; ms < 20_000; ms += 300 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range used {
			totals := l.take(now, 1, p, wire.UseTally{Node: string(rune('a' + i)), Process: 1, Sequence: uint64(ms + 1), Use: []wire.AccountUse{{Account: "a", Cost: used[i]}}})
			demand := 100.0
			if i < 2 {
				demand = 900
			}
			level := totals.Levels[0].Level + 0.3*(1000-totals.Levels[0].Rate)
			spend := min(demand, max(0, level))
			used[i] += spend
			total += spend
		}
	}
	if got, want := total, (1000.0*20+1000)*1.1; got > want || got < 1000*20*0.8 {
		t.Errorf("got %v tokens in 20 s, want %v to %v", got, 1000*20*0.8, want)
	}
}

// Guards against a debt that is forgotten when the leader changes (lkfc hunt-94c9-27:
// 1.8% over what the rules allow in eight seconds).
func TestNewLeaderKnowsTheDebtOfAnAccount(t *testing.T) {
	p := &traffic.Plan{Accounts: []traffic.Account{{Name: "a", Rate: 1000, Burst: 1000}}}
	l := newLedger()
	start := time.Unix(1000, 0)
	var got float64
	for i, node := range []string{"n", "m"} {
		totals := l.take(start.Add(time.Duration(i)*time.Millisecond), 7, p, wire.UseTally{
			Node: node, Process: 1, Sequence: 1, Use: []wire.AccountUse{{Account: "a", Cost: 9000, Level: -800, Known: true}},
		})
		got = totals.Levels[0].Level
	}
	if want := -790.0; got > want {
		t.Errorf("got level %.0f after a change of the leader, want at most %.0f", got, want)
	}
}

// Load pattern: an account becomes hot while there is no leader. Each node spends from
// the last level it was told; guards against a new leader that knows of one node only.
func TestNewLeaderKnowsWhatAllNodesUsedMeanwhile(t *testing.T) {
	p := &traffic.Plan{Accounts: []traffic.Account{{Name: "a", Rate: 1000, Burst: 2000}}}
	l := newLedger()
	now := time.Unix(1000, 0)
	var got float64
	for _, node := range []string{"n", "m", "o", "p"} {
		totals := l.take(now, 7, p, wire.UseTally{
			Node: node, Process: 1, Sequence: 1, Use: []wire.AccountUse{{Account: "a", Cost: 9000, Level: 900, Untold: 600, Known: true}},
		})
		got = totals.Levels[0].Level
	}
	// The burst above which a new leader grants nothing is 1000, and 2400 were used.
	if want := 1000.0 - 2400; got > want {
		t.Errorf("got level %.0f after a change of the leader, want at most %.0f", got, want)
	}
}
