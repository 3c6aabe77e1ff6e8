package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// Model is a stand-in for a model engine with the OpenAI-compatible API. Its
// output for a prompt is fixed, so that a continued answer can be checked.
type Model struct {
	// Version is named in each answer's system_fingerprint.
	Version string
	// Between is the time between two tokens.
	Between time.Duration

	// Running is the number of requests being answered now.
	Running atomic.Int64
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// Continue means that the last message is the beginning of the answer.
	Continue bool `json:"continue_final_message"`
}

const defaultMaxTokens = 16

// Handler returns the engine's routes.
func (m *Model) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", m.chat).Methods(http.MethodPost)
	return r
}

func (m *Model) chat(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.Running.Add(1)
	defer m.Running.Add(-1)
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	first := 0
	if req.Continue && len(req.Messages) > 0 {
		first = len(strings.Fields(req.Messages[len(req.Messages)-1].Content))
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if req.Stream {
		m.stream(w, r, req, id, first)
		return
	}
	var text strings.Builder
	for i := first; i < first+req.MaxTokens; i++ {
		if !m.pause(r) {
			return
		}
		text.WriteString(token(i))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id": id, "object": "chat.completion", "created": time.Now().Unix(), "model": req.Model, "system_fingerprint": m.Version,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length", "message": chatMessage{Role: "assistant", Content: text.String()}}},
		"usage":   map[string]int{"completion_tokens": req.MaxTokens},
	})
}

func (m *Model) stream(w http.ResponseWriter, r *http.Request, req completionRequest, id string, first int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := first; i < first+req.MaxTokens; i++ {
		if !m.pause(r) {
			return
		}
		var finish any
		if i == first+req.MaxTokens-1 {
			finish = "length"
		}
		chunk, err := json.Marshal(map[string]any{
			"id": id, "object": "chat.completion.chunk", "created": time.Now().Unix(), "model": req.Model, "system_fingerprint": m.Version,
			"choices": []any{map[string]any{"index": 0, "finish_reason": finish, "delta": chatMessage{Role: "assistant", Content: token(i)}}},
		})
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", chunk)
		_ = flush.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (m *Model) pause(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(m.Between):
		return true
	}
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }
