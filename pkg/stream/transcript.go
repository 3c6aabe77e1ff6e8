package stream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Failures of an attempt. After each of them the request can be continued as far
// as Continuable says.
var (
	// ErrCrossed reports an answer that belongs to another request.
	ErrCrossed = errors.New("the answer belongs to another request")
	// ErrEngine reports an error event of the upstream.
	ErrEngine = errors.New("the upstream reported an error")
	// ErrMalformed reports an event that is no completion chunk.
	ErrMalformed = errors.New("the upstream sent an event that is no completion chunk")
	// ErrCut reports a stream that ended before its answer did.
	ErrCut = errors.New("the stream ended before the answer")
)

// Prefix begins the id of every request, so that a chunk's id shows which request
// the chunk answers.
const Prefix = "js-"

// Transcript follows the answer to one request over all its attempts. The caller
// sees one answer: no token is missing or repeated, all chunks have the same id,
// and there is one finish and one [DONE]. It is not safe for concurrent use.
type Transcript struct {
	Request *Request
	// ID is the id in the answer to the caller.
	ID string

	attempt string
	// chunkID is the id of the attempt's first chunk.
	chunkID  string
	attempts int
	// base is the number of tokens delivered by earlier attempts, tokens that of
	// the present one.
	base, tokens int
	text         strings.Builder
	reasoning    strings.Builder
	head         head
	prompt       int
	role         bool
	sent         bool
	whole        string
	finished     int
	finish       string
	usageSent    bool
	done         bool
	out          []byte
}

// head holds the fields that all chunks of an answer have in common.
type head struct {
	Object      string          `json:"object"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint json.RawMessage `json:"system_fingerprint"`
	Tier        json.RawMessage `json:"service_tier"`
}

type chunk struct {
	ID string `json:"id"`
	head
	Choices json.RawMessage `json:"choices"`
	Usage   *usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index int `json:"index"`
	Delta struct {
		Role         string          `json:"role"`
		Content      string          `json:"content"`
		Tools        json.RawMessage `json:"tool_calls"`
		Function     json.RawMessage `json:"function_call"`
		Reasoning    string          `json:"reasoning_content"`
		ReasoningNew string          `json:"reasoning"`
	} `json:"delta"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

// NewTranscript returns the transcript of a request whose id in the answer to the
// caller is id.
func NewTranscript(r *Request, id string) *Transcript {
	return &Transcript{Request: r, ID: id, whole: r.Whole}
}

// Begin starts an attempt under an id of its own and returns the body for the
// upstream. It must not be called unless Continuable is true.
func (t *Transcript) Begin(attempt string, o Options) ([]byte, error) {
	t.base += t.tokens
	if !t.Request.Stream && t.whole != "" {
		t.base, t.head, t.role, t.finished = 0, head{}, false, 0
		t.text.Reset()
		t.reasoning.Reset()
	}
	t.tokens, t.attempt, t.chunkID = 0, attempt, ""
	t.attempts++
	return t.Request.encode(t.text.String(), t.base, o)
}

// Continuable tells whether a further attempt can complete the answer: nothing
// was delivered yet, or the request continues from the delivered text.
func (t *Transcript) Continuable() bool {
	return !t.done && (t.whole == "" || !t.sent || !t.Request.Stream)
}

// Delivered returns the number of tokens that the answer has so far.
func (t *Transcript) Delivered() int { return t.base + t.tokens }

// Text returns the text of the answer so far.
func (t *Transcript) Text() string { return t.text.String() }

// Done is true once the answer is complete.
func (t *Transcript) Done() bool { return t.done }

// Event takes the data of one event of the present attempt. It returns what goes
// to the caller now, as server-sent events; the slice is valid until the next
// call. For an unstreamed request it returns nothing.
func (t *Transcript) Event(data []byte) ([]byte, error) {
	t.out = t.out[:0]
	if t.done {
		return nil, nil
	}
	if string(data) == "[DONE]" {
		out, ok := t.Complete()
		if !ok {
			return nil, ErrCut
		}
		return out, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !isAbsent(c.Error) {
		return nil, ErrEngine
	}
	if !t.owns(c.ID) {
		return nil, ErrCrossed
	}
	if t.head.Object == "" {
		t.head = c.head
	}
	t.count(c.Usage)
	if isAbsent(c.Choices) || string(c.Choices) == "[]" {
		return nil, nil
	}
	return t.choices(c)
}

// owns tells whether a chunk with the id belongs to the present attempt. An
// upstream derives its ids from the request id or uses ids of its own; ids of its
// own only have to stay the same within an answer.
func (t *Transcript) owns(id string) bool {
	if t.chunkID != "" {
		return id == t.chunkID
	}
	if i := strings.Index(id, Prefix); i >= 0 && strings.TrimSuffix(id[i:], "-0") != t.attempt {
		return false
	}
	t.chunkID = id
	return true
}

// count takes the usage so far of the present attempt.
func (t *Transcript) count(u *usage) {
	if u == nil {
		return
	}
	t.tokens = max(t.tokens, u.Completion)
	if t.attempts == 1 || t.prompt == 0 {
		t.prompt = max(0, u.Prompt-t.base)
	}
}

func (t *Transcript) choices(c chunk) ([]byte, error) {
	var list []choice
	if err := json.Unmarshal(c.Choices, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	role := false
	for i := range list {
		if list[i].Index < 0 || list[i].Index >= t.Request.choices {
			return nil, ErrMalformed
		}
		role = role || list[i].Delta.Role != ""
		t.take(&list[i], c.Usage != nil)
	}
	if !t.Request.Stream {
		return nil, nil
	}
	raw := oneLine(c.Choices)
	if t.attempts > 1 && t.whole == "" {
		raw = t.rebuild(&list[0], role && !t.role)
	}
	t.role = t.role || role
	if raw == nil {
		return nil, nil
	}
	t.sent = true
	t.frame(raw, nil)
	return t.out, nil
}

// take adds a choice to the answer.
func (t *Transcript) take(c *choice, counted bool) {
	content := c.Delta.Content + c.Text
	d := &c.Delta
	switch {
	case !isAbsent(d.Tools) && string(d.Tools) != "[]" || !isAbsent(d.Function):
		t.whole = "tool calls"
	case d.Reasoning != "" || d.ReasoningNew != "":
		t.whole = "reasoning"
		t.reasoning.WriteString(d.Reasoning + d.ReasoningNew)
	}
	if content != "" {
		t.text.WriteString(content)
		if !counted {
			t.tokens++
		}
	}
	if c.Finish != nil && *c.Finish != "" {
		t.finished++
		t.finish = *c.Finish
	}
}

// rebuild returns the choices of a chunk that continues an answer, or nil when
// the chunk holds nothing new. A role is sent once per answer.
func (t *Transcript) rebuild(c *choice, role bool) []byte {
	content := c.Delta.Content + c.Text
	if content == "" && c.Finish == nil && !role {
		return nil
	}
	if t.Request.Kind == Text {
		return marshal([]textChoice{{Text: content, Finish: c.Finish}})
	}
	d := delta{Content: content}
	if role {
		d.Role = c.Delta.Role
	}
	return marshal([]chatChoice{{Delta: d, Finish: c.Finish}})
}

// Complete ends an answer whose last token the caller has, also when the stream
// was cut before its end. It is false when tokens may be missing.
func (t *Transcript) Complete() ([]byte, bool) {
	if t.done {
		return nil, true
	}
	t.out = t.out[:0]
	if t.finished < t.Request.choices {
		if t.whole != "" || t.Request.MaxTokens == 0 || t.Delivered() < t.Request.MaxTokens {
			return nil, false
		}
		t.finished, t.finish = 1, "length"
		if t.Request.Stream {
			t.frame(t.rebuild(&choice{Finish: &t.finish}, false), nil)
		}
	}
	t.done = true
	if !t.Request.Stream {
		return nil, true
	}
	if t.Request.Usage && !t.usageSent {
		t.usageSent = true
		t.frame([]byte("[]"), t.usage())
	}
	t.out = append(t.out, "data: [DONE]\n\n"...)
	return t.out, true
}

func (t *Transcript) usage() *usage {
	prompt := t.prompt
	if prompt == 0 {
		prompt = t.Request.Prompt
	}
	return &usage{Prompt: prompt, Completion: t.Delivered(), Total: prompt + t.Delivered()}
}
