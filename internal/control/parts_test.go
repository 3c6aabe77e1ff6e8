package control

import (
	"context"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	badPart   = 7
	soundPart = 8
)

// crashReport is a node's report of a crash of an upstream under badPart and soundPart.
func crashReport(node string, sequence, upstream uint64, age time.Duration) wire.UseTally {
	report := wire.UseTally{Node: node, Process: 1, Sequence: sequence}
	for _, part := range []uint64{uint64(poison.AnyPart), badPart, soundPart} {
		report.Crashes = append(report.Crashes, wire.PartCrash{
			Part: part, Name: map[uint64]string{badPart: "bad", soundPart: "sound"}[part], Upstream: upstream,
			Age: uint64(age.Microseconds()), Sent: uint64((age + 50*time.Millisecond).Microseconds()),
		})
	}
	return report
}

func answerReport(node string, sequence uint64, parts ...uint64) wire.UseTally {
	report := wire.UseTally{Node: node, Process: 1, Sequence: sequence}
	for _, p := range parts {
		report.Answers = append(report.Answers, wire.PartAnswer{Part: p})
	}
	return report
}

func wantBlockedParts(t *testing.T, s *fakeState, want ...string) {
	t.Helper()
	var got []string
	for _, blocked := range s.view().BlockedParts {
		got = append(got, blocked.Name)
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		t.Errorf("blocked parts: got %v, want %v", got, want)
	}
}

// reportCrashes reports a crash every 200 ms from two nodes in turn, beginning at start, and
// returns the time of the last.
func reportCrashes(c *Control, start time.Time, crashes int) time.Time {
	now := start
	for i := range uint64(crashes) {
		now = start.Add(time.Duration(i) * 200 * time.Millisecond)
		node := []string{"a", "b"}[i%2]
		c.handleUsageReport(now, node, crashReport(node, i+1, 100+i, 0))
	}
	return now
}

func TestPartIsBlockedByReportsOfAllNodes(t *testing.T) {
	ctx := context.Background()
	t.Run("each node sees too few crashes", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		last := reportCrashes(c, time.Now(), 4)
		c.parts.run(ctx, last)
		wantBlockedParts(t, s)
		totals := c.handleUsageReport(last, "c", answerReport("c", 1))
		if want := []uint64{badPart, soundPart}; !slices.Equal(totals.Watched, want) {
			t.Errorf("watched parts: got %v, want %v", totals.Watched, want)
		}
		c.handleUsageReport(last, "c", answerReport("c", 2, soundPart))
		c.parts.run(ctx, last.Add(poison.SettleTime))
		wantBlockedParts(t, s, "bad")
	})
	t.Run("the next leader keeps the decision and takes over the records", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		last := reportCrashes(c, time.Now(), 2)
		c.handleUsageReport(last, "c", answerReport("c", 1, soundPart))
		next := newControl(s)
		s.term++
		now := last.Add(time.Second)
		for i, r := range []wire.UseTally{crashReport("a", 9, 100, 1200*time.Millisecond), crashReport("b", 9, 101, time.Second), crashReport("a", 10, 102, 0)} {
			if next.handleUsageReport(now, r.Node, r); i == 0 {
				next.handleUsageReport(now, "c", answerReport("c", 9, soundPart))
			}
		}
		now = now.Add(poison.SettleTime)
		next.parts.run(ctx, now)
		wantBlockedParts(t, s, "bad")
		third := newControl(s)
		s.term++
		// An answer to a request that was open still has to release the part.
		if got, want := third.handleUsageReport(now, "a", answerReport("a", 11)).Watched, []uint64{badPart}; !slices.Equal(got, want) {
			t.Errorf("watched parts at a leader without records: got %v, want %v", got, want)
		}
		third.parts.run(ctx, now)
		wantBlockedParts(t, s, "bad")
	})
	t.Run("a voter that does not lead decides nothing", func(t *testing.T) {
		s := newFakeState()
		c := newControl(s)
		last := reportCrashes(c, time.Now(), 4)
		s.term = 0
		c.parts.run(ctx, last.Add(poison.SettleTime))
		wantBlockedParts(t, s)
	})
}

// Guards against a part that stays blocked although a request with it was answered, or for
// ever.
func TestPartIsReleased(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name    string
		after   time.Duration
		answers []uint64
		want    []string
	}{
		{"not while nothing speaks for it", time.Minute, nil, []string{"bad", "sound"}},
		{"after an answer to a request that was open", time.Second, []uint64{soundPart}, []string{"bad"}},
		{"after its time", poison.BlockTime + poison.SettleTime, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeState()
			control := newControl(s)
			blocked := reportCrashes(control, time.Now(), 4).Add(poison.SettleTime)
			control.parts.run(ctx, blocked)
			wantBlockedParts(t, s, "bad", "sound")
			now := blocked.Add(c.after)
			control.handleUsageReport(now, "c", answerReport("c", 1, c.answers...))
			control.parts.run(ctx, now)
			wantBlockedParts(t, s, c.want...)
		})
	}
}

// Guards against a sound part that stays blocked because the first crashes had it as well,
// and against a new leader that releases a crashing part before it has all records.
func TestFurtherCrashShowsWhichPartCrashes(t *testing.T) {
	ctx := context.Background()
	s := newFakeState()
	c := newControl(s)
	now := reportCrashes(c, time.Now(), 4).Add(poison.SettleTime)
	c.parts.run(ctx, now)
	if got, want := s.view().BlockedParts[badPart].With, []poison.Part{soundPart}; !slices.Equal(got, want) {
		t.Errorf("parts that a blocked prompt must also have: got %v, want %v", got, want)
	}
	further := crashReport("a", 9, 900, 0)
	further.Crashes = further.Crashes[:2] // without soundPart
	c.handleUsageReport(now, "a", further)
	c.parts.run(ctx, now)
	wantBlockedParts(t, s, "bad", "sound")
	now = now.Add(max(poison.SettleTime, recordsTime))
	c.parts.run(ctx, now)
	wantBlockedParts(t, s, "bad")
	if got := s.view().BlockedParts[badPart].With; len(got) > 0 {
		t.Errorf("parts that a blocked prompt must also have: got %v, want none", got)
	}
	next := newControl(s)
	s.term++
	next.handleUsageReport(now, "a", further)
	next.parts.run(ctx, now)
	wantBlockedParts(t, s, "bad")
}

// Guards against a replicated state that grows without end under many crashing requests.
func TestBlockedPartsAreBounded(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	now := time.Now()
	for part := range uint64(2 * maxBlockedParts) {
		for i := range uint64(3) {
			report := wire.UseTally{Node: "a", Process: 1, Crashes: []wire.PartCrash{{Part: 1000 + part, Upstream: 10*part + i, Age: (3 - i) * 1_000_000, Sent: (3-i)*1_000_000 + 1000}}}
			c.handleUsageReport(now, "a", report)
		}
	}
	for range 3 {
		c.parts.run(context.Background(), now.Add(poison.SettleTime))
	}
	if got, want := len(s.view().BlockedParts), maxBlockedParts; got != want {
		t.Errorf("blocked parts: got %d, want %d", got, want)
	}
	c = newControl(newFakeState())
	for part := range uint64(3 * maxPartNames) {
		c.handleUsageReport(now, "a", wire.UseTally{Node: "a", Process: 1, Crashes: []wire.PartCrash{{Part: 100_000 + part, Upstream: part}}})
	}
	if got, most := len(c.parts.names), maxPartNames; got > most {
		t.Errorf("names of parts: got %d, want at most %d", got, most)
	}
}

// Guards against a decision that nodes cannot find under the part that they compute.
func TestBlockedPartsOfTheState(t *testing.T) {
	s := newFakeState()
	c := newControl(s)
	if err := c.put(context.Background(), s.view(), config.PartKey(badPart), config.BlockedPart{Name: "bad", Since: 5, With: []poison.Part{soundPart}}); err != nil {
		t.Fatal(err)
	}
	if got, want := s.view().BlockedParts[badPart], (config.BlockedPart{Name: "bad", Since: 5, With: []poison.Part{soundPart}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
