package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Model is a stand-in for a model engine with the OpenAI-compatible API. Its
// output for a prompt is fixed (Token), so that a continued answer can be checked
// token by token. The exported fields are set before the first request.
type Model struct {
	// Version is named in each answer's system_fingerprint.
	Version string
	// Between is the time between two tokens of a request that runs alone.
	Between time.Duration
	// Slope is the share by which each further request of the batch lengthens
	// Between.
	Slope float64
	// Prefill is the time for 1,000 prompt tokens that are not cached.
	Prefill time.Duration
	// Cache is the number of tokens that the prefix cache holds.
	Cache int
	// Limit is the number of requests that run at once; others wait in a queue. Zero
	// for no limit.
	Limit int
	// Warm is how long a cold start lasts. During it, requests over Cold are answered
	// with 503, or stall until it ends when ColdStalls is set.
	Warm       time.Duration
	Cold       int
	ColdStalls bool
	// CrashOn is a text in a prompt that makes the engine call Crash.
	CrashOn string
	Crash   func()
	// Lag is by how much load reports are late.
	Lag time.Duration

	// Running is the number of requests being answered now.
	Running atomic.Int64
	// Runs counts the requests that began, Cancelled those whose sender left,
	// Overloads those over the capacity of a cold start, and Recomputed the tokens of
	// continued answers that were computed again.
	Runs       atomic.Int64
	Cancelled  atomic.Int64
	Overloads  atomic.Int64
	Recomputed atomic.Int64
	// Cross is the number of next answers that carry another request's id and text.
	Cross atomic.Int64
	// Stalled stops all answers and the health check while it is true.
	Stalled atomic.Bool

	waiting    atomic.Int64
	prefilling atomic.Int64
	coldSince  atomic.Int64
	cache      prefixCache
	mu         sync.Mutex
	open       map[string]*generation
	loads      []loadSample
}

type loadSample struct {
	at   time.Time
	load wire.Load
}

// generation is one request that the engine runs.
type generation struct {
	id      string
	req     completionRequest
	chat    bool
	prompt  string
	first   int
	tokens  int
	version string
	written atomic.Int64
}

// Handler returns the engine's routes.
func (m *Model) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { m.complete(w, r, true) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", func(w http.ResponseWriter, r *http.Request) { m.complete(w, r, false) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/kv/export", m.export).Methods(http.MethodPost)
	r.HandleFunc("/health", m.health).Methods(http.MethodGet)
	return r
}

// Chill starts a cold start now.
func (m *Model) Chill() {
	m.coldSince.Store(time.Now().UnixNano())
	m.cache.clear()
}

func (m *Model) isCold() bool {
	since := m.coldSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) < m.Warm
}

// Load returns the load report, late by Lag.
func (m *Model) Load(now time.Time) wire.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads = append(m.loads, loadSample{now, wire.Load{
		Running: uint64(m.Running.Load()), Waiting: uint64(m.waiting.Load()),
		Tokens: uint64(m.cache.tokens()), Capacity: uint64(m.Cache),
	}})
	for len(m.loads) > 1 && now.Sub(m.loads[1].at) >= m.Lag {
		m.loads = m.loads[1:]
	}
	return m.loads[0].load
}

func (m *Model) health(w http.ResponseWriter, r *http.Request) {
	if m.Stalled.Load() {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (m *Model) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	a := &generation{id: r.Header.Get("X-Request-Id"), chat: chat, version: m.Version}
	if err := json.NewDecoder(r.Body).Decode(&a.req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.prompt, a.first = a.req.prompt(chat)
	a.tokens = a.req.limit()
	m.Runs.Add(1)
	if m.CrashOn != "" && strings.Contains(a.prompt, m.CrashOn) {
		m.Crash()
		return
	}
	if m.Cross.Add(-1) >= 0 {
		a.id, a.prompt = "js-crossed.1", "the prompt of another request"
	}
	if !m.admit(w, r) {
		return
	}
	defer m.Running.Add(-1)
	m.track(a, true)
	defer m.track(a, false)
	if m.prefill(r.Context(), a) {
		m.write(w, r, a)
	}
	if r.Context().Err() != nil {
		m.Cancelled.Add(1)
	}
}

// admit waits for a place in the batch.
func (m *Model) admit(w http.ResponseWriter, r *http.Request) bool {
	m.waiting.Add(1)
	defer m.waiting.Add(-1)
	for {
		n := m.Running.Add(1)
		switch {
		case m.isCold() && n > int64(m.Cold):
			m.Running.Add(-1)
			m.Overloads.Add(1)
			if !m.ColdStalls {
				http.Error(w, "the engine is starting", http.StatusServiceUnavailable)
				return false
			}
		case m.Limit > 0 && n > int64(m.Limit):
			m.Running.Add(-1)
		default:
			return true
		}
		if !sleep(r.Context(), queuePoll) {
			m.Cancelled.Add(1)
			return false
		}
	}
}

const queuePoll = 5 * time.Millisecond

func (m *Model) track(a *generation, begins bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = make(map[string]*generation)
	}
	if begins {
		m.open[a.id] = a
	} else {
		delete(m.open, a.id)
	}
}

// prefill computes the prompt and the delivered part of a continued answer.
func (m *Model) prefill(ctx context.Context, a *generation) bool {
	text := a.prompt + Text(a.prompt, a.first)
	missing := len(text)/bytesPerToken - m.cache.use(text, m.Cache)
	if a.req.KV != nil {
		missing -= a.req.KV.Tokens
	}
	missing = max(0, missing)
	if a.first > 0 {
		m.Recomputed.Add(int64(missing))
	}
	m.prefilling.Add(1)
	defer m.prefilling.Add(-1)
	return sleep(ctx, m.Prefill*time.Duration(missing)/1000)
}

// step waits for the next token.
func (m *Model) step(ctx context.Context) bool {
	for m.Stalled.Load() {
		if !sleep(ctx, queuePoll) {
			return false
		}
	}
	others := float64(m.Running.Load() - 1 + m.prefilling.Load())
	return sleep(ctx, time.Duration(float64(m.Between)*(1+m.Slope*max(0, others))))
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// export returns the parameters with which another engine imports the KV cache of
// a request that runs here.
func (m *Model) export(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	a, ok := m.open[req.ID]
	m.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	done := int(a.written.Load())
	tokens := len(a.prompt+Text(a.prompt, a.first+done)) / bytesPerToken
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		KV KV `json:"kv_transfer_params"`
	}{KV{Source: r.Host, Key: req.ID, Tokens: tokens}})
}
