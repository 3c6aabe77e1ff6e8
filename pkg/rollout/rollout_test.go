package rollout

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func request() Request {
	return Request{
		ID: "r1", Service: "desk", From: "1.0", To: "1.1", Deadline: start.Add(30 * time.Minute),
		Rules: Rules{Steps: []float64{0.1, 0.5, 1}, Canary: 0.05, RollbackReserve: time.Minute},
	}
}

func startRollout(t *testing.T) Rollout {
	t.Helper()
	r, err := Start(start, nil, request())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestStartRejectsInvalidRequests(t *testing.T) {
	running := startRollout(t)
	undone := running.startRollback(start, Reason{Code: CodeWorse}, true)
	undone.Phase, undone.Ended = RolledBack, start
	cases := []struct {
		name     string
		previous *Rollout
		change   func(*Request)
		want     error
	}{
		{"rollout already running", &running, func(*Request) {}, ErrRunning},
		{"version judged bad before", &undone, func(*Request) {}, ErrBadVersion},
		{"version judged bad before, with force", &undone, func(q *Request) { q.Force = true }, nil},
		{"deadline too close for steps and rollback reserve", nil, func(q *Request) { q.Deadline = start.Add(4 * time.Minute) }, ErrRules},
		{"rollback reserve too short", nil, func(q *Request) { q.Rules.RollbackReserve = time.Second }, ErrRules},
		{"decreasing steps", nil, func(q *Request) { q.Rules.Steps = []float64{0.5, 0.1} }, ErrRules},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := request()
			c.change(&q)
			if _, err := Start(start, c.previous, q); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a first step above the canary share and a last step that leaves no
// traffic of the old version to compare with.
func TestStepsStartAtCanaryAndKeepHoldback(t *testing.T) {
	if got, want := startRollout(t).Rules.Steps, []float64{0.05, 0.1, 0.5, 0.9}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against an operator's rollback that reverses an end already committed.
func TestRollbackAfterEndIsRejected(t *testing.T) {
	r := startRollout(t)
	r.Phase, r.Ended = Done, start
	if _, err := Rollback(start, r, "op"); !errors.Is(err, ErrEnded) {
		t.Errorf("got %v, want %v", err, ErrEnded)
	}
	r = startRollout(t)
	r, err := Rollback(start, r, "op")
	if err != nil || r.Phase != RollingBack || r.Bad {
		t.Errorf("got %s bad %t, %v", r.Phase, r.Bad, err)
	}
	if d := Step(start, r, Evidence{RollbackInForce: true}); d.Rollout.Phase != RolledBack {
		t.Errorf("got %s, want %s", d.Rollout.Phase, RolledBack)
	}
}

func evidenceFor(r *Rollout, failNew, failOld uint32) Evidence {
	e := Evidence{Step: r.Step, OldReady: 4, NewReady: 4, Total: CountSet{}}
	for _, route := range []string{"a", "b"} {
		for v, fail := range map[string]uint32{r.From: failOld, r.To: failNew} {
			c := e.Total.GetOrCreate(Key{Version: v, Route: route, Class: "c", Domain: "d"})
			c.Requests, c.Failures = 1000, fail
			for range 1000 - fail {
				c.TimeToFirstToken.Add(200 * time.Millisecond)
			}
		}
	}
	return e
}

func TestStepOutcomes(t *testing.T) {
	last := start.Add(29 * time.Minute)
	cases := []struct {
		name             string
		now              time.Time
		step             int
		failNew, failOld uint32
		change           func(*Evidence)
		phase            Phase
		code             Code
	}{
		{"both versions bad: share unchanged", start.Add(9 * time.Minute), 1, 400, 400, func(*Evidence) {}, Running, CodeBothBad},
		{"both versions bad at the rollback deadline: rolled back", last, 1, 400, 400, func(*Evidence) {}, RollingBack, CodeNoTimeLeft},
		{"old version without upstreams: share unchanged", start.Add(9 * time.Minute), 1, 1, 1, func(e *Evidence) { e.OldReady = 0 }, Running, CodeNoOldUpstream},
		{"old version without upstreams at the rollback deadline: finished", last, 1, 1, 1, func(e *Evidence) { e.OldReady = 0 }, Done, CodeFinished},
		{"old version without upstreams in the first step: rolled back", last, 0, 1, 1, func(e *Evidence) { e.OldReady = 0 }, RollingBack, CodeNoTimeLeft},
		{"new version without upstreams at the rollback deadline: rolled back", last, 1, 1, 1, func(e *Evidence) { e.NewReady = 0 }, RollingBack, CodeNoTimeLeft},
		{"new version bad: rolled back at once", start.Add(time.Second), 0, 400, 1, func(*Evidence) {}, RollingBack, CodeWorse},
		{"bad counts of another step: ignored", start.Add(time.Second), 0, 400, 1, func(e *Evidence) { e.Step = 7 }, Running, CodeMoreEvidence},
		{"bad counts of a drained domain: ignored", start.Add(time.Second), 0, 400, 1, func(e *Evidence) { e.DrainedDomains = map[string]bool{"d": true} }, Running, CodeMoreEvidence},
		{"good version at the end of the last step: finished", start.Add(20 * time.Minute), 3, 1, 1, func(*Evidence) {}, Done, CodeFinished},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := startRollout(t)
			r.Step, r.Share = c.step, r.Rules.Steps[c.step]
			e := evidenceFor(&r, c.failNew, c.failOld)
			c.change(&e)
			d := Step(c.now, r, e)
			if d.Rollout.Phase != c.phase || !d.hasReason(c.code) {
				t.Errorf("got %s with %+v, want %s with %s", d.Rollout.Phase, d.Reasons, c.phase, c.code)
			}
		})
	}
}

// Guards against a decision that depends on anything but the stored state and
// the evidence.
func TestStepIsDeterministicAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := Start(start, nil, request())
		if err != nil {
			t.Fatal(err)
		}
		r.Step = rapid.IntRange(0, 3).Draw(t, "step")
		r.Share = r.Rules.Steps[r.Step]
		e := evidenceFor(&r, rapid.Uint32Range(0, 100).Draw(t, "new"), rapid.Uint32Range(0, 100).Draw(t, "old"))
		now := start.Add(time.Duration(rapid.IntRange(0, 1800).Draw(t, "now")) * time.Second)
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var stored Rollout
		if err := json.Unmarshal(data, &stored); err != nil {
			t.Fatal(err)
		}
		one, two := Step(now, r, e), Step(now, stored, e)
		if !reflect.DeepEqual(one, two) {
			t.Fatalf("got %+v, want %+v", two, one)
		}
	})
}

// Guards against an encoding that exceeds the documented size or loses counts.
func TestReportEncoding(t *testing.T) {
	full := Counts{Requests: 1 << 31, Failures: 1 << 30, Crashes: 1 << 30, Truncated: 1 << 30}
	for i := range Buckets {
		full.TimeToFirstToken[i], full.InterTokenLatency[i], full.CompletionTime[i] = 1<<31, 1<<31, 1<<31
	}
	key := Key{Version: "1.1", Route: "/route", Class: "chat", Domain: "gulberg"}
	r := Report{Rollout: "r1", Step: 1, Node: "n1", Incarnation: 1, Sequence: 9, Counts: CountSet{key: &full}}
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	const header, names = 32, 3 + 6 + 4 + 7
	if bound := header + names + 4*5 + 3*(Buckets*7+9) + 6; len(data) > bound {
		t.Errorf("got %d bytes, want at most %d", len(data), bound)
	}
	back, err := DecodeReport(data)
	if err != nil || !reflect.DeepEqual(back, r) {
		t.Errorf("got %+v, %v", back, err)
	}
}

// Guards against counts changed by a report that is a duplicate, late or of another
// step, and against losing the counts of a restarted node.
func TestCollectorIgnoresRepeatedReports(t *testing.T) {
	r := startRollout(t)
	c := NewCollector()
	c.Evidence(start, r)
	report := func(incarnation, sequence uint64, step int, runs uint32) Report {
		return Report{
			Rollout: "r1", Step: step, Node: "n", Incarnation: incarnation, Sequence: sequence,
			Counts: CountSet{Key{Version: "1.1"}: &Counts{Requests: runs}},
		}
	}
	for _, in := range []Report{
		report(1, 2, 0, 20), report(1, 1, 0, 10), report(1, 2, 0, 20), report(1, 3, 1, 99), report(2, 1, 0, 5), report(1, 9, 0, 90),
	} {
		c.Add(in)
	}
	if got := c.Evidence(start, r).Total[Key{Version: "1.1"}].Requests; got != 25 {
		t.Errorf("got %d runs, want 25", got)
	}
}
