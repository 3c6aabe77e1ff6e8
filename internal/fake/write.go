package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Usage is the token count of an answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type textDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index   int          `json:"index"`
	Delta   *textDelta   `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type completionResponse struct {
	ID          string             `json:"id"`
	Object      string             `json:"object"`
	Created     int64              `json:"created"`
	Model       string             `json:"model"`
	Fingerprint string             `json:"system_fingerprint"`
	Choices     []completionChoice `json:"choices"`
	Usage       *Usage             `json:"usage,omitempty"`
}

func (g *generation) newResponse(object string) completionResponse {
	id := "chatcmpl-" + g.id
	if !g.chat {
		id, object = "cmpl-"+g.id+"-0", "text_completion"
	}
	return completionResponse{ID: id, Object: object, Created: time.Now().Unix(), Model: g.req.Model, Fingerprint: g.version, Choices: []completionChoice{}}
}

func (g *generation) usage(tokens int) *Usage {
	prompt := len(g.prompt+Text(g.prompt, g.delivered)) / bytesPerToken
	return &Usage{Prompt: prompt, Completion: tokens, Total: prompt + tokens}
}

// write generates and sends the answer, as a stream if the request asks for one.
func (m *Model) write(w http.ResponseWriter, r *http.Request, g *generation) {
	w.Header().Set("X-Request-Id", g.id)
	if g.req.Stream {
		m.stream(w, r, g)
		return
	}
	var text strings.Builder
	for i := range g.tokens {
		if !m.waitForToken(r.Context()) {
			return
		}
		text.WriteString(Token(g.prompt, g.delivered+i))
		g.written.Add(1)
	}
	finish, content := "length", text.String()
	resp := g.newResponse("chat.completion")
	choice := completionChoice{Finish: &finish, Text: &content}
	if g.chat {
		choice = completionChoice{Finish: &finish, Message: &chatMessage{Role: "assistant", Content: content}}
	}
	resp.Choices, resp.Usage = append(resp.Choices, choice), g.usage(g.tokens)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp)
}

func (m *Model) stream(w http.ResponseWriter, r *http.Request, g *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	resp := g.newResponse("chat.completion.chunk")
	flush := http.NewResponseController(w)
	length := "length"
	for i := range g.tokens {
		if !m.waitForToken(r.Context()) {
			return
		}
		choice := completionChoice{}
		token := Token(g.prompt, g.delivered+i)
		if i == g.tokens-1 {
			choice.Finish = &length
		}
		if g.chat {
			choice.Delta = &textDelta{Content: token}
			if i == 0 {
				choice.Delta.Role = "assistant"
			}
		} else {
			choice.Text = &token
		}
		resp.Choices = append(resp.Choices[:0], choice)
		if g.req.Options.Continuous {
			resp.Usage = g.usage(i + 1)
		}
		writeEvent(w, resp)
		g.written.Add(1)
		if flush.Flush() != nil {
			return
		}
	}
	if g.req.Options.Usage {
		resp.Choices, resp.Usage = []completionChoice{}, g.usage(g.tokens)
		writeEvent(w, resp)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, resp completionResponse) {
	if raw, err := json.Marshal(resp); err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	}
}
