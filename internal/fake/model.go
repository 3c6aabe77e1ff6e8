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

// Model is a stand-in for a model engine with an OpenAI-compatible API. Its output is
// a function of the prompt (see Token), so that tests can check a continued answer
// token by token. The exported settings must be set before the first request.
type Model struct {
	// Version is returned as system_fingerprint in each answer.
	Version string
	// InterTokenLatency is the time between two tokens while no other request runs.
	InterTokenLatency time.Duration
	// BatchSlowdown is the fraction of InterTokenLatency that each concurrent request
	// adds to the time between two tokens.
	BatchSlowdown float64
	// PrefillTime is the prefill time per 1,000 uncached prompt tokens.
	PrefillTime time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// MaxRunning is the maximum batch size; further requests wait in a queue. Zero means
	// no limit.
	MaxRunning int
	// ColdStartTime is the duration of a cold start. During a cold start, at most
	// ColdStartLimit requests run; further ones are rejected with 503 or, with
	// ColdStartStalls, wait for a running request or the cold start to end.
	ColdStartTime   time.Duration
	ColdStartLimit  int
	ColdStartStalls bool
	// CrashOn is the text that makes the engine call Crash when a prompt contains it.
	CrashOn string
	Crash   func()
	// LoadReportDelay is the age of the load that Load returns.
	LoadReportDelay time.Duration

	// Running is the number of requests in the batch.
	Running atomic.Int64
	// Runs counts the requests received, Cancelled those whose client disconnected,
	// Overloads how often a request exceeded ColdStartLimit, and RecomputedTokens the
	// uncached tokens that were prefilled for continued answers.
	Runs             atomic.Int64
	Cancelled        atomic.Int64
	Overloads        atomic.Int64
	RecomputedTokens atomic.Int64
	// MismatchedAnswers is the number of upcoming answers that carry the id and text of
	// another request.
	MismatchedAnswers atomic.Int64
	// Stalled blocks all answers and the health check while it is true.
	Stalled atomic.Bool

	waiting     atomic.Int64
	prefilling  atomic.Int64
	coldSince   atomic.Int64
	cache       prefixCache
	mu          sync.Mutex
	active      map[string]*generation
	loadHistory []loadSample
}

type loadSample struct {
	at   time.Time
	load wire.Load
}

// generation is the state of one running request.
type generation struct {
	id        string
	req       completionRequest
	chat      bool
	prompt    string
	delivered int // answer tokens that the request already contains
	tokens    int // answer tokens to generate
	version   string
	written   atomic.Int64
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

// StartCold clears the prefix cache and starts a cold start.
func (m *Model) StartCold() {
	m.coldSince.Store(time.Now().UnixNano())
	m.cache.clear()
}

func (m *Model) isCold() bool {
	since := m.coldSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) < m.ColdStartTime
}

// Load records the current load and returns the load as of LoadReportDelay ago.
func (m *Model) Load(now time.Time) wire.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadHistory = append(m.loadHistory, loadSample{now, wire.Load{
		Running: uint64(m.Running.Load()), Waiting: uint64(m.waiting.Load()),
		Tokens: uint64(m.cache.tokens()), Capacity: uint64(m.CacheTokens),
	}})
	for len(m.loadHistory) > 1 && now.Sub(m.loadHistory[1].at) >= m.LoadReportDelay {
		m.loadHistory = m.loadHistory[1:]
	}
	return m.loadHistory[0].load
}

func (m *Model) health(w http.ResponseWriter, r *http.Request) {
	if m.Stalled.Load() {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (m *Model) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	g := &generation{id: r.Header.Get("X-Request-Id"), chat: chat, version: m.Version}
	if err := json.NewDecoder(r.Body).Decode(&g.req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.prompt, g.delivered = g.req.prompt(chat)
	g.tokens = g.req.answerTokens()
	m.Runs.Add(1)
	if m.CrashOn != "" && strings.Contains(g.prompt, m.CrashOn) {
		m.Crash()
		return
	}
	if m.MismatchedAnswers.Add(-1) >= 0 {
		g.id, g.prompt = "js-crossed.1", "the prompt of another request"
	}
	if !m.admit(w, r) {
		return
	}
	defer m.Running.Add(-1)
	m.track(g, true)
	defer m.track(g, false)
	if m.prefill(r.Context(), g) {
		m.write(w, r, g)
	}
	if r.Context().Err() != nil {
		m.Cancelled.Add(1)
	}
}

// admit waits for a free place in the batch and reports whether the request got one. It
// gets none when it is rejected during a cold start or its client disconnects.
func (m *Model) admit(w http.ResponseWriter, r *http.Request) bool {
	m.waiting.Add(1)
	defer m.waiting.Add(-1)
	for {
		n := m.Running.Add(1)
		switch {
		case m.isCold() && n > int64(m.ColdStartLimit):
			m.Running.Add(-1)
			m.Overloads.Add(1)
			if !m.ColdStartStalls {
				http.Error(w, "the engine is starting", http.StatusServiceUnavailable)
				return false
			}
		case m.MaxRunning > 0 && n > int64(m.MaxRunning):
			m.Running.Add(-1)
		default:
			return true
		}
		if !sleep(r.Context(), queuePollInterval) {
			m.Cancelled.Add(1)
			return false
		}
	}
}

const queuePollInterval = 5 * time.Millisecond

func (m *Model) track(g *generation, running bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active == nil {
		m.active = make(map[string]*generation)
	}
	if running {
		m.active[g.id] = g
	} else {
		delete(m.active, g.id)
	}
}

// prefill waits for the time that it takes to prefill the uncached part of the prompt and
// of the delivered part of a continued answer. It returns false if ctx ends first.
func (m *Model) prefill(ctx context.Context, g *generation) bool {
	text := g.prompt + Text(g.prompt, g.delivered)
	uncached := len(text)/bytesPerToken - m.cache.lookupAndStore(text, m.CacheTokens)
	if g.req.KV != nil {
		uncached -= g.req.KV.Tokens
	}
	uncached = max(0, uncached)
	if g.delivered > 0 {
		m.RecomputedTokens.Add(int64(uncached))
	}
	m.prefilling.Add(1)
	defer m.prefilling.Add(-1)
	return sleep(ctx, m.PrefillTime*time.Duration(uncached)/1000)
}

// waitForToken waits until the next token is due. It returns false if ctx ends first. Each
// other request in the batch lengthens the wait; one that is in prefill counts twice.
func (m *Model) waitForToken(ctx context.Context) bool {
	for m.Stalled.Load() {
		if !sleep(ctx, queuePollInterval) {
			return false
		}
	}
	otherRequests := float64(m.Running.Load() - 1 + m.prefilling.Load())
	return sleep(ctx, time.Duration(float64(m.InterTokenLatency)*(1+m.BatchSlowdown*max(0, otherRequests))))
}

// sleep waits for d and reports whether it has passed; it returns false if ctx ends first.
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

// export returns the parameters with which another engine can import the KV cache of
// a request that is running on this engine.
func (m *Model) export(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	g, ok := m.active[req.ID]
	m.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	written := int(g.written.Load())
	tokens := len(g.prompt+Text(g.prompt, g.delivered+written)) / bytesPerToken
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		KV KV `json:"kv_transfer_params"`
	}{KV{Source: r.Host, Key: req.ID, Tokens: tokens}})
}
