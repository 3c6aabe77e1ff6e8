package caller

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/verdict"
)

func stringsReader(s string) io.Reader { return strings.NewReader(s) }

// checkUnstreamedAnswer fails the test unless the unstreamed answer is complete.
func checkUnstreamedAnswer(t testing.TB, resp *http.Response, prompt string, tokens int) {
	t.Helper()
	var a struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(body, &a)
	}
	if err != nil || len(a.Choices) != 1 {
		t.Fatalf("got %s %q, %v", resp.Status, body, err)
	}
	want := fake.Text(fake.ChatPrompt(prompt), tokens)
	if got := a.Choices[0].Message.Content; got != want || a.Usage.Completion != tokens {
		t.Errorf("got %q with %d tokens, want %q", got, a.Usage.Completion, want)
	}
}

// An unstreamed answer in progress must continue on another upstream, like a
// streamed one.
func TestUnstreamedAnswerContinuesOnAnotherUpstream(t *testing.T) {
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	f.addModel(t, "m2", fastModel(), nil)
	go func() {
		for f.runningModel() == "" {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		f.procs[f.runningModel()].Kill()
	}()
	resp := f.post(t, "/v1/chat/completions", chatBody("hello", 60, false))
	checkUnstreamedAnswer(t, resp, "hello", 60)
	continued := f.models["m1"].RecomputedTokens.Load() + f.models["m2"].RecomputedTokens.Load()
	if continued == 0 || f.api.Metrics.RecomputedTokens() == 0 {
		t.Errorf("got %d tokens recomputed by engines and %d counted, want the answer continued", continued, f.api.Metrics.RecomputedTokens())
	}
}

// A booking must not run twice when a keep-alive connection closes after the
// upstream has read the request.
func TestBookingRunsOnceOnClosedConnection(t *testing.T) {
	f := newFixture(t, nil)
	var runs atomic.Int64
	address := rawUpstream(t, func(_ int, conn net.Conn, req *http.Request, _ []byte) bool {
		if req.Method == http.MethodPost {
			runs.Add(1)
			return false
		}
		respond(conn, req.Header.Get(RequestIDHeader), "{}")
		return true
	})
	f.announce("b1", "booking", address, 1, nil)
	for range 3 {
		resp := f.get(t, "/s/booking/availability")
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("lookup: got %s, want 200", resp.Status)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	resp, err := f.try("/s/booking/bookings", `{"item":7}`, http.Header{"Idempotency-Key": {"k1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	checkProblem(t, resp, "upstream-failed", "may-have-run")
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

func (f *fixture) get(t testing.TB, path string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.server.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := f.server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// A connection reset must have the verdict not-run only if the upstream read
// nothing.
func TestConnectionResetVerdict(t *testing.T) {
	t.Run("reset before the request is read is not-run", func(t *testing.T) {
		f := newFixture(t, func(s *config.Site) { s.Services[1].Classes[0].FirstTokenTarget = seconds(0.5) })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f.announce("b1", "booking", l.Addr().String(), 1, nil)
		_ = l.Close()
		resp := f.post(t, "/s/booking/bookings", "{}")
		checkProblem(t, resp, "upstream-failed", "not-run")
	})
	t.Run("reset after the request is read is may-have-run", func(t *testing.T) {
		f := newFixture(t, nil)
		f.announce("b1", "booking", rawUpstream(t, func(_ int, conn net.Conn, _ *http.Request, _ []byte) bool {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}), 1, nil)
		resp := f.post(t, "/s/booking/bookings", "{}")
		checkProblem(t, resp, "upstream-failed", "may-have-run")
	})
	t.Run("a lookup is retried", func(t *testing.T) {
		f := newFixture(t, nil)
		f.announce("b1", "booking", rawUpstream(t, func(n int, conn net.Conn, req *http.Request, _ []byte) bool {
			if n == 1 {
				return false
			}
			respond(conn, req.Header.Get(RequestIDHeader), "free")
			return true
		}), 1, nil)
		body, _ := io.ReadAll(f.get(t, "/s/booking/availability").Body)
		if string(body) != "free" {
			t.Errorf("got %q, want free", body)
		}
	})
	t.Run("the answer of another request is dropped", func(t *testing.T) {
		f := newFixture(t, nil)
		f.announce("b1", "booking", rawUpstream(t, func(_ int, conn net.Conn, _ *http.Request, _ []byte) bool {
			respond(conn, "js-other.1", "booked for another")
			return true
		}), 1, nil)
		resp := f.post(t, "/s/booking/bookings", "{}")
		checkProblem(t, resp, "upstream-failed", "may-have-run")
	})
}

// A request that crashes every upstream may crash at most three, even if its
// client sends it again, and must not fail other requests after the first crash.
func TestRequestCrashesAtMostThreeUpstreams(t *testing.T) {
	f := newFixture(t, func(s *config.Site) { s.Services[0].Classes[0].CompletionTarget = seconds(120) })
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5"} {
		m := fastModel()
		m.CrashOn = "poison"
		f.addModel(t, id, m, nil)
	}
	for range 3 {
		resp := f.post(t, "/v1/chat/completions", chatBody("poison", 10, true))
		p := Problem{}
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Code != verdict.CodeCrashes {
			t.Fatalf("got %s %+v, %v, want %s", resp.Status, p, err, verdict.CodeCrashes)
		}
	}
	crashes := uint64(0)
	for _, p := range f.procs {
		crashes += p.Incarnation() - 1
	}
	if crashes != 3 {
		t.Errorf("got %d crashes, want 3", crashes)
	}
	checkAnswer(t, f.post(t, "/v1/chat/completions", chatBody("hello", 10, true)), "hello", 10, nil)
}

// A retry must respect the verdict, the deadline and what was already delivered
// to the client.
func TestRetryDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := retryInput{
			kind:       rapid.SampledFrom([]failureKind{kindBroken, kindRefused, kindUpstreamError, kindSilent, kindMismatched, kindMoved, kindClientGone, kindDeadline, kindShutdown, kindInvalid}).Draw(t, "kind"),
			verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict"),
			idempotent: rapid.Bool().Draw(t, "idempotent"), partial: rapid.Bool().Draw(t, "partial"),
			madeProgress: rapid.Bool().Draw(t, "progress"), stalledAttempts: rapid.IntRange(0, 2*maxStalledAttempts).Draw(t, "stuck"),
			timeLeft: time.Duration(rapid.IntRange(-5, 5).Draw(t, "left")) * time.Second,
		}
		again := decideRetry(in) != stop
		switch {
		case again && !in.idempotent && in.verdict != verdict.NotRun:
			t.Fatalf("a request that may run only once is retried: %+v", in)
		case again && (in.timeLeft <= 0 || in.partial || in.stalledAttempts >= maxStalledAttempts || in.kind >= kindClientGone):
			t.Fatalf("a request that cannot be answered is retried: %+v", in)
		case !again && in.idempotent && in.timeLeft > 0 && !in.partial && in.stalledAttempts < maxStalledAttempts && in.kind < kindClientGone:
			t.Fatalf("a request that can be answered is not retried: %+v", in)
		}
	})
}

// Retries must stay within their share of the successes of the last 10 s.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retryBudgets
		start := time.Unix(1000, 0)
		now := start
		type entry struct {
			second  int
			success bool
		}
		calls := map[string]*call{"x": {class: config.Class{Name: "x"}}, "y": {class: config.Class{Name: "y"}}}
		for _, c := range calls {
			b.recordSuccess(start, c)
		}
		log := map[string][]entry{"x": {{0, true}}, "y": {{0, true}}}
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")/rapid.SampledFrom([]int{1, 20}).Draw(t, "pace")) * time.Millisecond)
			second := int(now.Sub(start) / time.Second)
			name := rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "class")
			if rapid.IntRange(0, 9).Draw(t, "kind") < 7 {
				b.recordSuccess(now, calls[name])
				log[name] = append(log[name], entry{second, true})
				continue
			}
			successes, retries := 0, 0
			for _, e := range log[name] {
				switch {
				case second-e.second >= 10:
				case e.success:
					successes++
				default:
					retries++
				}
			}
			got, want := b.takeRetry(now, calls[name]), retries < max(3, successes/10)
			if got != want {
				t.Fatalf("retry after %d retries and %d successes of class %s: got %t, want %t", retries, successes, name, got, want)
			}
			if got {
				log[name] = append(log[name], entry{second, false})
			}
		}
	})
}
