package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/wire"
)

func testContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func fastModel() *fake.Model {
	return &fake.Model{InterTokenLatency: 2 * time.Millisecond, CacheTokens: 1 << 16}
}

// runningModel returns the id of the model that runs the only request.
func (f *fixture) runningModel() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.models {
		if m.Running.Load() > 0 {
			return id
		}
	}
	return ""
}

func shortProgressTimeout(s *config.Site) { s.Services[0].Classes[0].ProgressTimeout = seconds(0.3) }

func inDomain(domain string) func(*wire.Announce) {
	return func(a *wire.Announce) { a.Domain = domain }
}

func TestStreamSurvivesUpstreamFault(t *testing.T) {
	const tokens = 40
	tests := []struct {
		name  string
		fault func(f *fixture, id string)
	}{
		{"killed upstream", func(f *fixture, id string) { f.procs[id].Kill() }},
		{"stalled upstream", func(f *fixture, id string) { f.models[id].Stalled.Store(true) }},
		{"silent connection", func(f *fixture, id string) { f.procs[id].BlackholeConnections() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, shortProgressTimeout)
			f.addModel(t, "m1", fastModel(), nil)
			f.addModel(t, "m2", fastModel(), inDomain("cantt"))
			resp := f.post(t, "/v1/chat/completions", chatBody("hello", tokens, true))
			checkAnswer(t, resp, "hello", tokens, func(n int) {
				if n == 5 {
					tt.fault(f, f.runningModel())
				}
			})
		})
	}
}

// Guards against a lost stream when a second upstream fails after the stream was
// resumed there.
func TestStreamSurvivesSecondFault(t *testing.T) {
	f := newFixture(t, shortProgressTimeout)
	for _, id := range []string{"m1", "m2", "m3"} {
		f.addModel(t, id, fastModel(), nil)
	}
	resp := f.post(t, "/v1/chat/completions", chatBody("hello", 60, true))
	checkAnswer(t, resp, "hello", 60, func(n int) {
		if n == 5 || n == 20 {
			f.procs[f.runningModel()].Kill()
		}
	})
}

// Guards against ejecting a healthy upstream because one of its connections stopped
// delivering data. An upstream that stalls must be ejected.
func TestProbeEjectsOnlyStalledUpstream(t *testing.T) {
	for _, stalled := range []bool{true, false} {
		f := newFixture(t, shortProgressTimeout)
		f.addModel(t, "m1", fastModel(), nil)
		resp := f.post(t, "/v1/chat/completions", chatBody("hello", 30, true))
		var once sync.Once
		checkAnswer(t, resp, "hello", 30, func(n int) {
			if n != 5 {
				return
			}
			if stalled {
				f.models["m1"].Stalled.Store(true)
				go once.Do(func() {
					for !f.wasEjected("m1") {
						time.Sleep(time.Millisecond)
					}
					f.models["m1"].Stalled.Store(false)
				})
			} else {
				f.procs["m1"].BlackholeConnections()
			}
		})
		if got := f.wasEjected("m1"); got != stalled {
			t.Errorf("upstream ejected: got %t, want %t", got, stalled)
		}
	}
}

// wasEjected reports whether the upstream was ever ejected.
func (f *fixture) wasEjected(id string) bool {
	f.api.Slots.mu.Lock()
	defer f.api.Slots.mu.Unlock()
	return !f.api.Slots.usageOf(id).ejectedUntil.IsZero()
}

// Guards against streams that still run on an upstream when its VM is reclaimed.
func TestStreamsMoveBeforeReclaim(t *testing.T) {
	const streams, tokens = 12, 1500
	f := newFixture(t, nil)
	reclaim := func(id string, p *fake.Process) {
		f.announce(id, "chat", p.Address(), p.Incarnation(), func(a *wire.Announce) { a.Reclaim = 1.2 })
	}
	for _, id := range []string{"g1", "g2"} {
		f.addModel(t, id, fastModel(), nil)
	}
	for _, id := range []string{"c1", "c2"} {
		f.addModel(t, id, fastModel(), inDomain("cantt"))
	}
	f.setView(t, testSite(), func(v *config.View) { v.DrainedDomains = map[string]config.Drain{"cantt": {}} })
	var ready, done sync.WaitGroup
	ready.Add(streams)
	for range streams {
		done.Go(func() {
			resp := f.post(t, "/v1/chat/completions", chatBody("hello", tokens, true))
			checkAnswer(t, resp, "hello", tokens, func(n int) {
				if n == 3 {
					ready.Done()
				}
			})
		})
	}
	ready.Wait()
	f.setView(t, testSite(), nil)
	for _, id := range []string{"g1", "g2"} {
		reclaim(id, f.procs[id])
	}
	time.Sleep(1200 * time.Millisecond)
	for _, id := range []string{"g1", "g2"} {
		if n := f.models[id].Running.Load(); n != 0 {
			t.Errorf("%s runs %d streams when it is reclaimed, want 0", id, n)
		}
		f.procs[id].Kill()
	}
	done.Wait()
}

// Guards against an upstream that keeps computing after the client disconnected.
func TestClientDisconnectFreesUpstream(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		ctx, disconnect := testContext()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+"/v1/chat/completions", stringsReader(chatBody("hello", 100000, streamed)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testToken)
		go func() {
			resp, err := f.server.Client().Do(req)
			if err == nil {
				_, _, _ = readTokens(resp.Body, nil)
				_ = resp.Body.Close()
			}
		}()
		eventually(t, "the upstream runs the request", func() bool { return f.models["m1"].Running.Load() == 1 })
		disconnect()
		eventually(t, "the upstream stops", func() bool { return f.models["m1"].Cancelled.Load() == 1 })
		eventually(t, "the slot is free", func() bool { return f.running("m1") == 0 })
	}
}

func (f *fixture) running(id string) int {
	f.api.Slots.mu.Lock()
	defer f.api.Slots.mu.Unlock()
	return f.api.Slots.usageOf(id).running
}

// Guards against passing the answer of another request to the client.
func TestMismatchedAnswerIsDropped(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		f := newFixture(t, nil)
		f.addModel(t, "m1", fastModel(), nil)
		f.models["m1"].MismatchedAnswers.Store(1)
		resp := f.post(t, "/v1/chat/completions", chatBody("hello", 10, streamed))
		if streamed {
			checkAnswer(t, resp, "hello", 10, nil)
			continue
		}
		checkUnstreamedAnswer(t, resp, "hello", 10)
	}
}

// Guards against recomputing a long history when its stream moves; the KV cache must
// be transferred.
func TestMoveTransfersKV(t *testing.T) {
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	prompt := string(make([]byte, 0, 4096))
	for len(prompt) < 4096 {
		prompt += "a long history of pillows; "
	}
	resp := f.post(t, "/v1/chat/completions", chatBody(prompt, 400, true))
	checkAnswer(t, resp, prompt, 400, func(n int) {
		if n == 5 {
			f.addModel(t, "m2", fastModel(), inDomain("cantt"))
			f.announce("m1", "chat", f.procs["m1"].Address(), 1, func(a *wire.Announce) { a.Reclaim = 2.5 })
		}
	})
	if got := f.models["m2"].RecomputedTokens.Load(); got > 64 {
		t.Errorf("got %d recomputed tokens, want the KV cache to be transferred", got)
	}
}

// Guards against an extra token when a stream moves or fails after its last token but
// before [DONE].
func TestFinishedAnswerIsNotContinued(t *testing.T) {
	const last = `data: {"id":"chatcmpl-js-a.1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"a "},"finish_reason":"length"}]}` + "\n\n"
	tests := []struct {
		name, then string
		move       bool
	}{
		{"move before [DONE]", "", true},
		{"error before [DONE]", `data: {"error":{}}` + "\n\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addModel(t, "m2", fastModel(), nil)
			req, err := stream.ParseRequest(stream.Chat, []byte(chatBody("hello", 1, true)))
			if err != nil {
				t.Fatal(err)
			}
			c := &call{id: "js-a", transcript: stream.NewTranscript(req, "chatcmpl-js-a"), service: f.view.Load().Services["chat"]}
			at := &attempt{call: c, cancel: func(error) {}, ctx: t.Context()}
			if _, err := c.transcript.StartAttempt("js-a.1", stream.Options{}); err != nil {
				t.Fatal(err)
			}
			at.moveRequested.Store(tt.move)
			w := httptest.NewRecorder()
			if err := f.api.relayStream(w, c, at, stringsReader(last+tt.then)); err != nil {
				t.Errorf("got %v, want the answer to be complete", err)
			}
			if text, done, _ := readTokens(w.Body, nil); text != "a " || !done {
				t.Errorf("got %q, [DONE] %t, want one token", text, done)
			}
		})
	}
}
