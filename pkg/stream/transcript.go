package stream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors that end an attempt. After any of them the request can be retried if
// Continuable reports true.
var (
	// ErrMismatchedAnswer reports an answer that belongs to another request.
	ErrMismatchedAnswer = errors.New("the answer belongs to another request")
	// ErrUpstream reports an error event from the upstream.
	ErrUpstream = errors.New("the upstream reported an error")
	// ErrMalformed reports data that is not a completion chunk or answer.
	ErrMalformed = errors.New("the upstream sent data that is not a completion chunk or answer")
	// ErrTruncated reports a stream that ended before the answer was complete.
	ErrTruncated = errors.New("the stream ended before the answer was complete")
)

// RequestIDPrefix is the prefix of every request id. It marks the request id within the
// id of a chunk, so that a chunk of another request's answer is detected.
const RequestIDPrefix = "js-"

// Transcript assembles the answer to one request from all its attempts. The client
// receives one answer: no token is missing or repeated, all chunks have the same id,
// and there is one finish reason and one [DONE]. It is not safe for concurrent use.
type Transcript struct {
	Request *Request
	// ID is the id of the answer to the client.
	ID string

	// attemptID is the id of the current attempt, chunkID that of its first chunk.
	attemptID string
	chunkID   string
	attempts  int
	// earlierTokens is the number of tokens delivered by earlier attempts, attemptTokens
	// that of the current one.
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
	out                          []byte // buffer of the events for the client
}

// chunkHeader holds the fields that are the same in all chunks of an answer.
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

// NewTranscript returns an empty transcript for a request; id is the id of the answer to
// the client.
func NewTranscript(r *Request, id string) *Transcript {
	return &Transcript{Request: r, ID: id, restartReason: r.RestartReason}
}

// StartAttempt starts an attempt with a unique id and returns the request body for the
// upstream. It must be called only if Continuable reports true.
func (t *Transcript) StartAttempt(attempt string, o Options) ([]byte, error) {
	body, err := t.NextBody(o)
	t.Adopt(attempt)
	return body, err
}

// NextBody returns the request body for an attempt beside the current one. It leads to the
// rest of the answer as it is now, or to all of it if Restarts reports true.
func (t *Transcript) NextBody(o Options) ([]byte, error) {
	if t.Restarts() {
		return t.Request.upstreamBody("", 0, o)
	}
	return t.Request.upstreamBody(t.text.String(), t.Delivered(), o)
}

// Adopt makes an attempt with a unique id the current one. Its request body is that of the
// last NextBody, after which no event was handled.
func (t *Transcript) Adopt(attempt string) {
	t.earlierTokens += t.attemptTokens
	if t.Restarts() {
		t.earlierTokens, t.header, t.roleSent, t.finishedChoices = 0, chunkHeader{}, false, 0
		t.text.Reset()
		t.reasoning.Reset()
	}
	t.attemptTokens, t.attemptID, t.chunkID = 0, attempt, ""
	t.attempts++
}

// Restarts reports whether a further attempt answers from the prompt again, because nothing
// was sent to the client and the answer cannot be continued.
func (t *Transcript) Restarts() bool { return !t.Request.Stream && t.restartReason != "" }

// Begun reports whether the answer has a token, a tool call or an end.
func (t *Transcript) Begun() bool {
	return t.Delivered() > 0 || t.text.Len() > 0 || t.reasoning.Len() > 0 || t.finishedChoices > 0 || t.restartReason != t.Request.RestartReason
}

// Continuable reports whether another attempt can complete the answer. It can if nothing
// was sent to the client yet or if the answer can continue after the delivered text.
func (t *Transcript) Continuable() bool {
	return !t.done && (t.restartReason == "" || !t.eventSent || !t.Request.Stream)
}

// Delivered returns the number of tokens in the answer so far.
func (t *Transcript) Delivered() int { return t.earlierTokens + t.attemptTokens }

// Text returns the text of the answer so far.
func (t *Transcript) Text() string { return t.text.String() }

// Done reports whether the answer is complete.
func (t *Transcript) Done() bool { return t.done }

// HandleEvent processes the data of one event of the current attempt. It returns the
// server-sent events to send to the client; the slice is valid until the next call. It
// returns nil if the client did not request a stream.
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

// acceptsID reports whether a chunk with the id belongs to the current attempt. An
// upstream either derives the id of its chunks from the attempt's id or generates it; a
// generated id must only be the same in all chunks of the attempt.
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

// recordUsage updates the token counts from the usage of the current attempt so far.
func (t *Transcript) recordUsage(u *usage) {
	if u == nil {
		return
	}
	t.attemptTokens = max(t.attemptTokens, u.Completion)
	if t.attempts == 1 || t.promptTokens == 0 {
		t.promptTokens = max(0, u.Prompt-t.earlierTokens)
	}
}

// handleChoices adds the choices of a chunk to the answer and returns the events for the
// client.
func (t *Transcript) handleChoices(c chunk) ([]byte, error) {
	var list []choice
	if err := json.Unmarshal(c.Choices, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(list) == 0 {
		return nil, nil
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

// addChoice adds a choice to the answer. Unless the chunk has a usage (counted), it
// counts the content as one token.
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

// continuationChoices returns the JSON of the choices of a chunk that continues an
// answer, or nil if there is nothing to send. It includes the role only if role is true,
// because the role is sent once per answer.
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

// Complete completes the answer if no token is missing, even if the stream was truncated
// after the last token. It returns the final events for a streaming client, or false if
// tokens may be missing.
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
