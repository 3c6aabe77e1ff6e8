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
	// ErrMismatchedAnswer reports an answer that belongs to another request.
	ErrMismatchedAnswer = errors.New("the answer belongs to another request")
	// ErrUpstream reports an error event of the upstream.
	ErrUpstream = errors.New("the upstream reported an error")
	// ErrMalformed reports an event that is no completion chunk.
	ErrMalformed = errors.New("the upstream sent an event that is no completion chunk")
	// ErrTruncated reports a stream that ended before its answer did.
	ErrTruncated = errors.New("the stream ended before the answer")
)

// RequestIDPrefix begins the id of every request, so that a chunk's id shows which request
// the chunk answers.
const RequestIDPrefix = "js-"

// Transcript follows the answer to one request over all its attempts. The caller
// sees one answer: no token is missing or repeated, all chunks have the same id,
// and there is one finish and one [DONE]. It is not safe for concurrent use.
type Transcript struct {
	Request *Request
	// ID is the id in the answer to the caller.
	ID string

	attemptID string
	// chunkID is the id of the attempt's first chunk.
	chunkID  string
	attempts int
	// earlierTokens is the number of tokens delivered by earlier attempts, attemptTokens that of
	// the present one.
	earlierTokens, attemptTokens int
	text                         strings.Builder
	reasoning                    strings.Builder
	header                       chunkHeader
	promptTokens                 int
	roleSent                     bool
	eventSent                    bool
	restartReason                string
	finishedChoices              int
	finishReason                 string
	usageSent                    bool
	done                         bool
	out                          []byte
}

// chunkHeader holds the fields that all chunks of an answer have in common.
type chunkHeader struct {
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint"`
	ServiceTier       json.RawMessage `json:"service_tier"`
}

type chunk struct {
	ID string `json:"id"`
	chunkHeader
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
		Role             string          `json:"role"`
		Content          string          `json:"content"`
		ToolCalls        json.RawMessage `json:"tool_calls"`
		FunctionCall     json.RawMessage `json:"function_call"`
		ReasoningContent string          `json:"reasoning_content"`
		Reasoning        string          `json:"reasoning"`
	} `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// NewTranscript returns the transcript of a request whose id in the answer to the
// caller is id.
func NewTranscript(r *Request, id string) *Transcript {
	return &Transcript{Request: r, ID: id, restartReason: r.RestartReason}
}

// StartAttempt starts an attempt under an id of its own and returns the body for the
// upstream. It must not be called unless Continuable is true.
func (t *Transcript) StartAttempt(attempt string, o Options) ([]byte, error) {
	t.earlierTokens += t.attemptTokens
	if !t.Request.Stream && t.restartReason != "" {
		t.earlierTokens, t.header, t.roleSent, t.finishedChoices = 0, chunkHeader{}, false, 0
		t.text.Reset()
		t.reasoning.Reset()
	}
	t.attemptTokens, t.attemptID, t.chunkID = 0, attempt, ""
	t.attempts++
	return t.Request.upstreamBody(t.text.String(), t.earlierTokens, o)
}

// Continuable tells whether a further attempt can complete the answer: nothing
// was delivered yet, or the request continues from the delivered text.
func (t *Transcript) Continuable() bool {
	return !t.done && (t.restartReason == "" || !t.eventSent || !t.Request.Stream)
}

// Delivered returns the number of tokens that the answer has so far.
func (t *Transcript) Delivered() int { return t.earlierTokens + t.attemptTokens }

// Text returns the text of the answer so far.
func (t *Transcript) Text() string { return t.text.String() }

// Done is true once the answer is complete.
func (t *Transcript) Done() bool { return t.done }

// HandleEvent takes the data of one event of the present attempt. It returns what goes
// to the caller now, as server-sent events; the slice is valid until the next
// call. For an unstreamed request it returns nothing.
func (t *Transcript) HandleEvent(data []byte) ([]byte, error) {
	t.out = t.out[:0]
	if t.done {
		return nil, nil
	}
	if string(data) == "[DONE]" {
		out, ok := t.Complete()
		if !ok {
			return nil, ErrTruncated
		}
		return out, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !isAbsent(c.Error) {
		return nil, ErrUpstream
	}
	if !t.acceptsID(c.ID) {
		return nil, ErrMismatchedAnswer
	}
	if t.header.Object == "" {
		t.header = c.chunkHeader
	}
	t.recordUsage(c.Usage)
	if isAbsent(c.Choices) || string(c.Choices) == "[]" {
		return nil, nil
	}
	return t.handleChoices(c)
}

// acceptsID tells whether a chunk with the id belongs to the present attempt. An
// upstream derives its ids from the request id or uses ids of its own; ids of its
// own only have to stay the same within an answer.
func (t *Transcript) acceptsID(id string) bool {
	if t.chunkID != "" {
		return id == t.chunkID
	}
	if i := strings.Index(id, RequestIDPrefix); i >= 0 && strings.TrimSuffix(id[i:], "-0") != t.attemptID {
		return false
	}
	t.chunkID = id
	return true
}

// recordUsage takes the usage so far of the present attempt.
func (t *Transcript) recordUsage(u *usage) {
	if u == nil {
		return
	}
	t.attemptTokens = max(t.attemptTokens, u.Completion)
	if t.attempts == 1 || t.promptTokens == 0 {
		t.promptTokens = max(0, u.Prompt-t.earlierTokens)
	}
}

func (t *Transcript) handleChoices(c chunk) ([]byte, error) {
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
		t.addChoice(&list[i], c.Usage != nil)
	}
	if !t.Request.Stream {
		return nil, nil
	}
	raw := singleLine(c.Choices)
	if t.attempts > 1 && t.restartReason == "" {
		raw = t.continuationChoices(&list[0], role && !t.roleSent)
	}
	t.roleSent = t.roleSent || role
	if raw == nil {
		return nil, nil
	}
	t.eventSent = true
	t.appendEvent(raw, nil)
	return t.out, nil
}

// addChoice adds a choice to the answer.
func (t *Transcript) addChoice(c *choice, counted bool) {
	content := c.Delta.Content + c.Text
	d := &c.Delta
	switch {
	case !isAbsent(d.ToolCalls) && string(d.ToolCalls) != "[]" || !isAbsent(d.FunctionCall):
		t.restartReason = "tool calls"
	case d.ReasoningContent != "" || d.Reasoning != "":
		t.restartReason = "reasoning"
		t.reasoning.WriteString(d.ReasoningContent + d.Reasoning)
	}
	if content != "" {
		t.text.WriteString(content)
		if !counted {
			t.attemptTokens++
		}
	}
	if c.FinishReason != nil && *c.FinishReason != "" {
		t.finishedChoices++
		t.finishReason = *c.FinishReason
	}
}

// continuationChoices returns the choices of a chunk that continues an answer, or nil when
// the chunk holds nothing new. A role is sent once per answer.
func (t *Transcript) continuationChoices(c *choice, role bool) []byte {
	content := c.Delta.Content + c.Text
	if content == "" && c.FinishReason == nil && !role {
		return nil
	}
	if t.Request.Kind == Text {
		return mustMarshal([]textChoice{{Text: content, FinishReason: c.FinishReason}})
	}
	d := chatDelta{Content: content}
	if role {
		d.Role = c.Delta.Role
	}
	return mustMarshal([]chatChoice{{Delta: d, FinishReason: c.FinishReason}})
}

// Complete ends an answer whose last token the caller has, also when the stream
// was cut before its end. It is false when tokens may be missing.
func (t *Transcript) Complete() ([]byte, bool) {
	if t.done {
		return nil, true
	}
	t.out = t.out[:0]
	if t.finishedChoices < t.Request.choices {
		if t.restartReason != "" || t.Request.MaxTokens == 0 || t.Delivered() < t.Request.MaxTokens {
			return nil, false
		}
		t.finishedChoices, t.finishReason = 1, "length"
		if t.Request.Stream {
			t.appendEvent(t.continuationChoices(&choice{FinishReason: &t.finishReason}, false), nil)
		}
	}
	t.done = true
	if !t.Request.Stream {
		return nil, true
	}
	if t.Request.IncludeUsage && !t.usageSent {
		t.usageSent = true
		t.appendEvent([]byte("[]"), t.usage())
	}
	t.out = append(t.out, "data: [DONE]\n\n"...)
	return t.out, true
}

func (t *Transcript) usage() *usage {
	prompt := t.promptTokens
	if prompt == 0 {
		prompt = t.Request.PromptTokens
	}
	return &usage{Prompt: prompt, Completion: t.Delivered(), Total: prompt + t.Delivered()}
}
