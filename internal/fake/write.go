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

type modelChoice struct {
	Index   int          `json:"index"`
	Delta   *textDelta   `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type modelAnswer struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint"`
	Choices     []modelChoice `json:"choices"`
	Usage       *Usage        `json:"usage,omitempty"`
}

func (a *generation) document(object string) modelAnswer {
	id := "chatcmpl-" + a.id
	if !a.chat {
		id, object = "cmpl-"+a.id+"-0", "text_completion"
	}
	return modelAnswer{ID: id, Object: object, Created: time.Now().Unix(), Model: a.req.Model, Fingerprint: a.version, Choices: []modelChoice{}}
}

func (a *generation) usage(tokens int) *Usage {
	prompt := len(a.prompt+Text(a.prompt, a.first)) / bytesPerToken
	return &Usage{Prompt: prompt, Completion: tokens, Total: prompt + tokens}
}

// write sends the answer.
func (m *Model) write(w http.ResponseWriter, r *http.Request, a *generation) {
	w.Header().Set("X-Request-Id", a.id)
	if a.req.Stream {
		m.stream(w, r, a)
		return
	}
	var text strings.Builder
	for i := range a.tokens {
		if !m.step(r.Context()) {
			return
		}
		text.WriteString(Token(a.prompt, a.first+i))
		a.written.Add(1)
	}
	finish, content := "length", text.String()
	doc := a.document("chat.completion")
	choice := modelChoice{Finish: &finish, Text: &content}
	if a.chat {
		choice = modelChoice{Finish: &finish, Message: &chatMessage{Role: "assistant", Content: content}}
	}
	doc.Choices, doc.Usage = append(doc.Choices, choice), a.usage(a.tokens)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}

func (m *Model) stream(w http.ResponseWriter, r *http.Request, a *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	doc := a.document("chat.completion.chunk")
	flush := http.NewResponseController(w)
	length := "length"
	for i := range a.tokens {
		if !m.step(r.Context()) {
			return
		}
		choice := modelChoice{}
		token := Token(a.prompt, a.first+i)
		if i == a.tokens-1 {
			choice.Finish = &length
		}
		if a.chat {
			choice.Delta = &textDelta{Content: token}
			if i == 0 {
				choice.Delta.Role = "assistant"
			}
		} else {
			choice.Text = &token
		}
		doc.Choices = append(doc.Choices[:0], choice)
		if a.req.Options.Continuous {
			doc.Usage = a.usage(i + 1)
		}
		writeEvent(w, doc)
		a.written.Add(1)
		if flush.Flush() != nil {
			return
		}
	}
	if a.req.Options.Usage {
		doc.Choices, doc.Usage = []modelChoice{}, a.usage(a.tokens)
		writeEvent(w, doc)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, doc modelAnswer) {
	if raw, err := json.Marshal(doc); err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	}
}
