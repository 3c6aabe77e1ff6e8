package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Unusable upstreams must not get requests.
func TestUnusableUpstreamsGetNoRequests(t *testing.T) {
	tests := []struct {
		name string
		view func(*config.View)
		up   func(*wire.Announce)
	}{
		{"a drained domain", func(v *config.View) { v.DrainedDomains["cantt"] = config.Drain{} }, inDomain("cantt")},
		{"a drained upstream", func(v *config.View) { v.DrainedUpstreams["m2"] = config.Drain{} }, nil},
		{"a leaving upstream", nil, func(a *wire.Announce) { a.Leaving = true }},
		{"an upstream that is not ready", nil, func(a *wire.Announce) { a.Ready = false }},
		{"an upstream that is reclaimed soon", nil, func(a *wire.Announce) { a.Reclaim = 3 }},
		{"another version", nil, func(a *wire.Announce) { a.Serving[0].Version = "v2" }},
		{"a version judged bad", func(v *config.View) {
			v.Shares["chat"] = config.Share{From: "v1", To: "v2", Fraction: 0.5, Bad: true}
		}, func(a *wire.Announce) { a.Serving[0].Version = "v2" }},
	}
	for _, tt := range tests {
		t.Run(tt.name+" gets no request", func(t *testing.T) {
			f := newFixture(t, nil)
			f.setView(t, testSite(), tt.view)
			// m2 has no price, so it is preferred unless it is unusable.
			f.addModel(t, "m1", fastModel(), func(a *wire.Announce) { a.Price = 1 })
			f.addModel(t, "m2", fastModel(), tt.up)
			for range 10 {
				checkAnswer(t, f.post(t, "/v1/chat/completions", chatBody("hello", 2, true)), "hello", 2, nil)
			}
			if got := f.models["m2"].Runs.Load(); got != 0 {
				t.Errorf("got %d requests, want 0", got)
			}
		})
	}
}

// The new version of a rollout must not exceed its share in any sequence of
// requests.
func TestCanaryShareNeverExceedsFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		view := &config.View{Shares: map[string]config.Share{"chat": {From: "v1", To: "v2", Fraction: fraction}}}
		var s shares
		canary := 0
		for n := 1; n <= 200; n++ {
			c := &call{service: config.Service{Name: "chat", Version: "v1"}}
			if s.version(view, c, nil) == "v2" {
				canary++
			}
			if limit := math.Ceil(fraction * float64(n)); float64(canary) > limit {
				t.Fatalf("got %d of %d requests, want at most %v", canary, n, limit)
			}
		}
	})
}

// Without a session lease, new requests must be refused with verdict not-run,
// while open streams continue.
func TestExpiredLeaseRefusesNewRequests(t *testing.T) {
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	resp := f.post(t, "/v1/chat/completions", chatBody("hello", 40, true))
	checkAnswer(t, resp, "hello", 40, func(n int) { f.noLease.Store(n > 3) })
	checkProblem(t, f.post(t, "/v1/chat/completions", chatBody("hello", 2, true)), "configuration-lease-expired", "not-run")
	if got := f.models["m1"].Runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// A cold upstream must not get more requests than its capacity.
func TestColdUpstreamIsNotOverloaded(t *testing.T) {
	f := newFixture(t, func(s *config.Site) { s.Services[0].InitialConcurrency = 2 })
	m := &fake.Model{InterTokenLatency: 5 * time.Millisecond, ColdStartTime: time.Hour, ColdStartLimit: 2}
	m.StartCold()
	f.addModel(t, "m1", m, nil)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			checkAnswer(t, f.post(t, "/v1/chat/completions", chatBody(prompt, 10, true)), prompt, 10, nil)
		})
	}
	wg.Wait()
	if got := m.Overloads.Load(); got != 0 {
		t.Errorf("got %d requests above the upstream's capacity, want 0", got)
	}
}

// A graceful shutdown must complete open streams and refuse later requests with
// verdict not-run.
func TestDrainCompletesOpenStreams(t *testing.T) {
	const tokens = 100
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	resp := f.post(t, "/v1/chat/completions", chatBody("hello", tokens, true))
	var interrupted chan int
	checkAnswer(t, resp, "hello", tokens, func(n int) {
		if n != 5 {
			return
		}
		ctx, stop := testContext()
		t.Cleanup(stop)
		interrupted = make(chan int, 1)
		go func() { interrupted <- f.api.Drain(ctx) }()
		eventually(t, "the node is not ready", func() bool { return f.get(t, "/readyz").StatusCode == http.StatusServiceUnavailable })
		late := f.post(t, "/v1/chat/completions", chatBody("late", 2, true))
		checkProblem(t, late, "shutting-down", "not-run")
		if !late.Close {
			t.Error("the refusal leaves its connection open, want Connection: close")
		}
	})
	if got := <-interrupted; got != 0 {
		t.Errorf("got %d interrupted requests, want 0", got)
	}
}

// At the shutdown limit, open requests must end with their verdicts.
func TestDrainLimitEndsOpenRequests(t *testing.T) {
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	ctx, expire := testContext()
	go func() {
		for open := f.api.openAttempts.list(); len(open) == 0 || open[0].delivered.Load() == 0; open = f.api.openAttempts.list() {
			time.Sleep(time.Millisecond)
		}
		expire()
		f.api.Drain(ctx)
	}()
	resp := f.post(t, "/v1/chat/completions", chatBody("hello", 1<<20, false))
	checkProblem(t, resp, "shutting-down", "ran")
	eventually(t, "the upstream cancels the request", func() bool { return f.models["m1"].Cancelled.Load() == 1 })
}

// An oversized body must not run. The server may close the connection before the
// client has sent all of it.
func TestOversizedBodyIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	body := chatBody(strings.Repeat("x", MaxBodyBytes), 1, true)
	if resp, err := f.try("/v1/chat/completions", body, nil); err == nil {
		defer resp.Body.Close()
		checkProblem(t, resp, "too-large", "not-run")
	}
	if got := f.models["m1"].Runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

// Under overload, each request must be answered, or refused with verdict not-run
// and a Retry-After header.
func TestOverloadIsAnsweredOrRefused(t *testing.T) {
	const requests = 30
	f := newFixture(t, func(s *config.Site) {
		s.Services[0].InitialConcurrency, s.Services[0].Classes[0].FirstTokenTarget = 2, seconds(0.4)
	})
	f.addModel(t, "m1", &fake.Model{InterTokenLatency: 5 * time.Millisecond}, func(a *wire.Announce) { a.Limit = 2 })
	var wg sync.WaitGroup
	var answered, refused atomic.Int64
	for i := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			resp := f.post(t, "/v1/chat/completions", chatBody(prompt, 40, true))
			if resp.StatusCode == http.StatusOK {
				answered.Add(1)
				checkAnswer(t, resp, prompt, 40, nil)
				return
			}
			refused.Add(1)
			if resp.Header.Get("Retry-After") == "" {
				t.Error("got a refusal without Retry-After")
			}
			var p Problem
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Verdict != "not-run" {
				t.Errorf("got %+v, %v, want verdict not-run", p, err)
			}
		})
	}
	wg.Wait()
	if runs := f.models["m1"].Runs.Load(); runs != answered.Load() || refused.Load() == 0 {
		t.Errorf("got %d runs, %d answered, %d refused of %d", runs, answered.Load(), refused.Load(), requests)
	}
}

// An account must not exceed its limit of concurrent requests.
func TestAccountConcurrencyLimit(t *testing.T) {
	f := newFixture(t, func(s *config.Site) { s.Accounts[0].Concurrency = 3 })
	f.addModel(t, "m1", fastModel(), nil)
	var wg sync.WaitGroup
	var peak atomic.Int64
	for range 12 {
		wg.Go(func() {
			resp := f.post(t, "/v1/chat/completions", chatBody("hello", 20, true))
			if resp.StatusCode == http.StatusTooManyRequests {
				return
			}
			checkAnswer(t, resp, "hello", 20, func(int) {
				if n := f.models["m1"].Running.Load(); n > peak.Load() {
					peak.Store(n)
				}
			})
		})
	}
	wg.Wait()
	if got := peak.Load(); got == 0 || got > 3 {
		t.Errorf("got %d requests at once, want 1 to 3", got)
	}
}

// A client that stops reading must not hold its slot forever.
func TestStalledReaderReleasesSlot(t *testing.T) {
	f := newFixture(t, nil)
	f.api.WriteTimeout = 300 * time.Millisecond
	f.addModel(t, "m1", &fake.Model{}, nil)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := chatBody("hello", 1<<22, true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the upstream runs the request", func() bool { return f.models["m1"].Runs.Load() == 1 })
	eventually(t, "the slot is released and the upstream stops", func() bool {
		return f.running("m1") == 0 && f.models["m1"].Running.Load() == 0
	})
}
