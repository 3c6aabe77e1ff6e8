package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type textChoice struct {
	Index    int             `json:"index"`
	Text     string          `json:"text"`
	Logprobs json.RawMessage `json:"logprobs"`
	Finish   *string         `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string `json:"role"`
	Content   string `json:"content"`
	Reasoning string `json:"reasoning_content,omitempty"`
}

type wholeChoice struct {
	Index    int             `json:"index"`
	Message  wholeMessage    `json:"message"`
	Logprobs json.RawMessage `json:"logprobs"`
	Finish   *string         `json:"finish_reason"`
}

type wholeAnswer struct {
	ID          string          `json:"id"`
	Object      string          `json:"object"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint json.RawMessage `json:"system_fingerprint,omitempty"`
	Choices     any             `json:"choices"`
	Usage       *usage          `json:"usage"`
}

// Answer returns the unstreamed answer of a complete transcript, as JSON.
func (t *Transcript) Answer() []byte {
	a := wholeAnswer{
		ID: t.ID, Object: "chat.completion", Created: t.head.Created, Model: t.head.Model,
		Fingerprint: t.head.Fingerprint, Usage: t.usage(),
	}
	if t.Request.Kind == Text {
		a.Object = "text_completion"
		a.Choices = []textChoice{{Text: t.text.String(), Finish: &t.finish}}
	} else {
		a.Choices = []wholeChoice{{Message: wholeMessage{"assistant", t.text.String(), t.reasoning.String()}, Finish: &t.finish}}
	}
	return marshal(a)
}

// Whole returns an unstreamed answer of the upstream with the caller's id.
func (t *Transcript) Whole(body []byte) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var id string
	if err := json.Unmarshal(doc["id"], &id); err != nil || !t.owns(id) {
		return nil, ErrCrossed
	}
	var c chunk
	if err := json.Unmarshal(body, &c); err == nil && c.Usage != nil {
		t.count(c.Usage)
	}
	doc["id"] = marshal(t.ID)
	t.done = true
	return marshal(doc), nil
}

// frame appends one event with a chunk of the answer.
func (t *Transcript) frame(choices []byte, u *usage) {
	b := append(t.out, `data: {"id":`...)
	b = strconv.AppendQuote(b, t.ID)
	b = append(b, `,"object":`...)
	b = append(b, marshal(t.head.Object)...)
	b = append(b, `,"created":`...)
	b = strconv.AppendInt(b, t.head.Created, 10)
	b = append(b, `,"model":`...)
	b = append(b, marshal(t.head.Model)...)
	if !isAbsent(t.head.Fingerprint) {
		b = append(append(b, `,"system_fingerprint":`...), t.head.Fingerprint...)
	}
	if !isAbsent(t.head.Tier) {
		b = append(append(b, `,"service_tier":`...), t.head.Tier...)
	}
	b = append(append(b, `,"choices":`...), choices...)
	if u != nil {
		b = append(append(b, `,"usage":`...), marshal(u)...)
	}
	t.out = append(b, "}\n\n"...)
}

// oneLine returns the JSON without line ends, which would break an event apart.
func oneLine(raw json.RawMessage) []byte {
	if bytes.IndexByte(raw, '\n') < 0 {
		return raw
	}
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return nil
	}
	return b.Bytes()
}

// marshal encodes a value of this package's types, which cannot fail.
func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("stream: " + err.Error())
	}
	return b
}
