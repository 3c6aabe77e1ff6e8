package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type textChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason *string         `json:"finish_reason"`
}

type answerMessage struct {
	Role             string `json:"role"`
	Content          string `json:"content"`
	ReasoningContent string `json:"reasoning_content,omitempty"`
}

type answerChoice struct {
	Index        int             `json:"index"`
	Message      answerMessage   `json:"message"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason *string         `json:"finish_reason"`
}

type unstreamedAnswer struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices           any             `json:"choices"`
	Usage             *usage          `json:"usage"`
}

// UnstreamedAnswer returns the complete answer as one JSON document, for a client
// that did not request a stream.
func (t *Transcript) UnstreamedAnswer() []byte {
	a := unstreamedAnswer{
		ID: t.ID, Object: "chat.completion", Created: t.header.Created, Model: t.header.Model,
		SystemFingerprint: t.header.SystemFingerprint, Usage: t.usage(),
	}
	if t.Request.Kind == Text {
		a.Object = "text_completion"
		a.Choices = []textChoice{{Text: t.text.String(), FinishReason: &t.finishReason}}
	} else {
		a.Choices = []answerChoice{{Message: answerMessage{"assistant", t.text.String(), t.reasoning.String()}, FinishReason: &t.finishReason}}
	}
	return mustMarshal(a)
}

// RewriteUnstreamed replaces the id in an upstream's unstreamed answer by ID and
// completes the transcript. It fails if the body is not a JSON object or its id belongs
// to another request.
func (t *Transcript) RewriteUnstreamed(body []byte) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var id string
	if err := json.Unmarshal(doc["id"], &id); err != nil || !t.acceptsID(id) {
		return nil, ErrMismatchedAnswer
	}
	var c chunk
	if err := json.Unmarshal(body, &c); err == nil && c.Usage != nil {
		t.recordUsage(c.Usage)
	}
	doc["id"] = mustMarshal(t.ID)
	t.done = true
	return mustMarshal(doc), nil
}

// appendEvent appends one event to the output: a chunk with the choices and, unless it
// is nil, the usage.
func (t *Transcript) appendEvent(choices []byte, u *usage) {
	b := append(t.out, `data: {"id":`...)
	b = strconv.AppendQuote(b, t.ID)
	b = append(b, `,"object":`...)
	b = append(b, mustMarshal(t.header.Object)...)
	b = append(b, `,"created":`...)
	b = strconv.AppendInt(b, t.header.Created, 10)
	b = append(b, `,"model":`...)
	b = append(b, mustMarshal(t.header.Model)...)
	if !isAbsent(t.header.SystemFingerprint) {
		b = append(append(b, `,"system_fingerprint":`...), t.header.SystemFingerprint...)
	}
	if !isAbsent(t.header.ServiceTier) {
		b = append(append(b, `,"service_tier":`...), t.header.ServiceTier...)
	}
	b = append(append(b, `,"choices":`...), choices...)
	if u != nil {
		b = append(append(b, `,"usage":`...), mustMarshal(u)...)
	}
	t.out = append(b, "}\n\n"...)
}

// singleLine returns the JSON without line breaks, which would split the event. It
// returns nil for invalid JSON.
func singleLine(raw json.RawMessage) []byte {
	if bytes.IndexByte(raw, '\n') < 0 {
		return raw
	}
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return nil
	}
	return b.Bytes()
}

// mustMarshal encodes a value whose type can always be encoded.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("stream: " + err.Error())
	}
	return b
}
