package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/wire"
)

func (env *testEnv) prompt(parts string) clientResult {
	env.t.Helper()
	return env.call("POST", "/chat/x", "p", "X-Model", "m", "X-Parts", parts, "X-Tokens", "100,8")
}

// Guards against a part that still reaches upstreams after it was blocked, and against
// requests that are refused although they do not share it.
func TestBlockedPartIsRefused(t *testing.T) {
	u := newFakeUpstream(t, func(_ int, r *http.Request) []step {
		return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)) + "0\r\n\r\n"}}
	})
	env := newTestEnv(t, u)
	env.state.view.BlockedParts = map[poison.Part]config.BlockedPart{
		poison.NewPart("m", "bad"): {Name: "bad", Since: time.Now().Add(-time.Minute).UnixMilli()},
	}
	for _, c := range []struct {
		name, parts string
		refused     bool
	}{
		{"first part", "bad:10,x:10,own:5", true},
		{"middle part", "x:10,bad:10,own:5", true},
		{"same key and other parts", "x:10,y:10,own:5", false},
		{"last part belongs to the request", "x:10,bad:10", false},
		{"no parts", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := u.count()
			res := env.prompt(c.parts)
			if !c.refused {
				wantStatus(t, res, http.StatusOK)
				return
			}
			wantStatus(t, res, http.StatusServiceUnavailable)
			if got := u.count() - sent; got != 0 {
				t.Errorf("requests at the upstream: got %d, want 0", got)
			}
			after, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
			if want := (poison.BlockTime - time.Minute).Seconds(); err != nil || after < want-5 || after > want+5 {
				t.Errorf("Retry-After: got %q, want about %v", res.header.Get("Retry-After"), want)
			}
		})
	}
}

// block blocks a part of prompts for model "m" from now on.
func (s *testState) block(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := *s.view
	view.BlockedParts = map[poison.Part]config.BlockedPart{poison.NewPart("m", part): {Name: part, Since: time.Now().UnixMilli()}}
	s.view = &view
}

// Guards against a client account that pays for requests that no upstream may get.
func TestBlockedRequestIsNotCharged(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, respondOK("x")))
	env.state.block("bad")
	small := []string{"Authorization", "Bearer k2", "X-Model", "m"} // the account has a burst of 2
	for range 5 {
		wantStatus(t, env.call("GET", "/look/", "", append(small, "X-Parts", "bad:10,own:5")...), http.StatusServiceUnavailable)
	}
	wantStatus(t, env.call("GET", "/look/", "", append(small, "X-Parts", "y:10,own:5")...), http.StatusOK)
}

// Guards against a retry of a request whose part was blocked after its first attempt.
func TestPartBlockedBetweenAttemptsStopsRetry(t *testing.T) {
	var env *testEnv
	fail := func(_ int, r *http.Request) []step {
		env.state.block("bad")
		return []step{{send: response(r, 500, "x")}}
	}
	upstreams := []*fakeUpstream{newFakeUpstream(t, fail), newFakeUpstream(t, fail)}
	env = newTestEnv(t, upstreams...)
	wantStatus(t, env.prompt("x:10,bad:10,own:5"), http.StatusBadGateway)
	if got := upstreams[0].count() + upstreams[1].count(); got != 1 {
		t.Errorf("requests at the upstreams: got %d, want 1", got)
	}
}

// crashingUpstreams returns upstreams whose processes end at their first request with the
// part "bad"; other requests are answered.
func crashingUpstreams(t *testing.T, n int) []*fakeUpstream {
	t.Helper()
	list := make([]*fakeUpstream, n)
	for i := range list {
		list[i] = newFakeUpstream(t, func(_ int, r *http.Request) []step {
			if parts := r.Header.Get("X-Parts"); parts == "x:10,bad:10,own:5" {
				_ = list[i].listener.Close()
				return []step{{close: true}}
			}
			return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)) + "0\r\n\r\n"}}
		})
	}
	return list
}

// Guards against retries that crash one upstream after the other, and against the loss of
// retries after a crash that says nothing of the request.
func TestSuspectedRequestIsNotRetried(t *testing.T) {
	upstreams := crashingUpstreams(t, 6)
	env := newTestEnv(t, upstreams...)
	sent := func() (n int) {
		for _, u := range upstreams {
			n += u.count()
		}
		return n
	}
	for i, want := range []int{2, 3, 4} {
		wantStatus(t, env.prompt("x:10,bad:10,own:5"), http.StatusBadGateway)
		if got := sent(); got != want {
			t.Errorf("upstreams reached after request %d: got %d, want %d", i, got, want)
		}
	}
	wantCrashes(t, env, 4)
	wantStatus(t, env.prompt("x:10,y:10,own:5"), http.StatusOK)
}

// Load pattern: one request without a prompt crashes each upstream that runs it, and its
// client sends it again. Guards against a node that takes it for a new request each time.
func TestRepeatedRequestIsRecognised(t *testing.T) {
	var upstreams []*fakeUpstream
	for i := range 4 {
		upstreams = append(upstreams, newFakeUpstream(t, func(_ int, r *http.Request) []step {
			if r.URL.Path == "/look/bad" {
				_ = upstreams[i].listener.Close()
				return []step{{close: true}}
			}
			return []step{{send: response(r, 200, "x")}}
		}))
	}
	env := newTestEnv(t, upstreams...)
	for _, want := range []uint64{2, 3} {
		wantStatus(t, env.call("GET", "/look/bad", ""), http.StatusBadGateway)
		wantCrashes(t, env, want)
	}
	names, _, _ := env.report(t)
	if got, want := names[len(names)-1], "request a1"; got != want {
		t.Errorf("reported: got %q, want %q", got, want)
	}
	env.state.view.BlockedParts = map[poison.Part]config.BlockedPart{
		poison.NewRequest("one", "GET", "/look/bad", nil): {Name: "request a1", Since: time.Now().UnixMilli()},
	}
	wantStatus(t, env.call("GET", "/look/bad", ""), http.StatusServiceUnavailable)
	wantStatus(t, env.call("GET", "/look/good", ""), http.StatusOK)
	wantCrashes(t, env, 3)
}

// Guards against a request that stays suspected, and is not retried at the next outage,
// although it was answered.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	var crashing *fakeUpstream
	crashing = newFakeUpstream(t, breakOff(func() { _ = crashing.listener.Close() }))
	// The other upstream keeps no connection, which would attract all requests.
	env := newTestEnv(t, crashing, newFakeUpstream(t, func(_ int, r *http.Request) []step {
		return []step{{send: strings.Replace(response(r, 200, "x"), "\r\n", "\r\nConnection: close\r\n", 1), close: true}}
	}))
	for i := 0; crashing.count() == 0 && i < 200; i++ { // the first ones may go to the other upstream
		wantStatus(t, env.call("GET", "/look/x", "", "X-Attempt", fmt.Sprint("a", i)), http.StatusOK)
	}
	wantCrashes(t, env, 1)
	if env.gateway.parts.table.HasCrashes(poison.NewRequest("one", "GET", "/look/x", nil)) {
		t.Error("suspected after an answer: got true, want false")
	}
}

// Guards against an answer that clears a part although it may end with its upstream's crash,
// and against a failure that clears it.
func TestOnlyWholeAnswersProveParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(*http.Request) []step
		want   bool
	}{
		{"chunked", func(r *http.Request) []step {
			return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)) + "0\r\n\r\n"}}
		}, true},
		{"with a length", func(r *http.Request) []step { return []step{{send: response(r, 200, "x")}} }, true},
		{"until the connection ends", func(r *http.Request) []step {
			return []step{{send: fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\n\r\nx", r.Header.Get("X-Attempt")), close: true}}
		}, false},
		{"failure", func(r *http.Request) []step { return []step{{send: response(r, 500, "x")}} }, false},
		{"broken off", func(r *http.Request) []step {
			return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)), close: true}}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newFakeUpstream(t, func(_ int, r *http.Request) []step { return c.script(r) })
			env := newTestEnv(t, u)
			env.call("POST", "/draft/x", "p", "X-Model", "m", "X-Parts", "x:10,own:5", "X-Tokens", "100,8")
			if _, got := env.gateway.parts.table.Proven(time.Now(), poison.NewPart("m", "x")); got != c.want {
				t.Errorf("part proven: got %v, want %v", got, c.want)
			}
		})
	}
}

// report returns the parts of the crashes in the node's next usage report.
func (env *testEnv) report(t *testing.T) (crashes []string, answers []uint64, sent time.Time) {
	t.Helper()
	var report wire.UseTally
	sent = env.gateway.parts.fillUsageReport(time.Now(), &report)
	for _, c := range report.Crashes {
		crashes = append(crashes, c.Name)
	}
	for _, a := range report.Answers {
		answers = append(answers, a.Part)
	}
	return crashes, answers, sent
}

func wantStrings(t *testing.T, what string, got, want []string) {
	t.Helper()
	if slices.Sort(got); !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against a leader that misses crashes: because a report was lost, or because an
// earlier leader received them.
func TestEveryLeaderReceivesCrashes(t *testing.T) {
	env := newTestEnv(t, crashingUpstreams(t, 2)...)
	wantStatus(t, env.prompt("x:10,y:10,own:5"), http.StatusOK)
	wantStatus(t, env.prompt("x:10,bad:10,own:5"), http.StatusBadGateway)
	want := []string{"", "", "part bad", "part bad", "request a1", "request a1"}
	got, _, _ := env.report(t)
	wantStrings(t, "first report", got, want)
	got, _, sent := env.report(t)
	wantStrings(t, "report after a lost one", got, want)
	watched := []uint64{uint64(poison.NewPart("m", "x")), uint64(poison.NewPart("m", "bad"))}
	env.gateway.parts.applyTotals(sent, wire.UseTotals{Term: 1})
	_, _, sent = env.report(t)
	env.gateway.parts.applyTotals(sent, wire.UseTotals{Term: 1, Watched: watched})
	got, answers, sent := env.report(t)
	wantStrings(t, "report after a reply", got, nil)
	if want := watched[:1]; !slices.Equal(answers, want) {
		t.Errorf("answers: got %v, want %v", answers, want)
	}
	env.gateway.parts.applyTotals(sent, wire.UseTotals{Term: 2})
	got, _, sent = env.report(t)
	wantStrings(t, "report to the next leader", got, want)
	env.gateway.parts.applyTotals(sent, wire.UseTotals{Term: 2})
	got, _, _ = env.report(t)
	wantStrings(t, "report after its reply", got, nil)
}
