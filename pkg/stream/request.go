package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
)

// Kind is the API of a completion request.
type Kind int

// Kinds of requests.
const (
	// Chat is a request to POST /v1/chat/completions.
	Chat Kind = iota
	// Text is a request to POST /v1/completions.
	Text
)

// bytesPerToken converts the length of a prompt to an estimate of its tokens.
const bytesPerToken = 4

// Request is a client's completion request.
type Request struct {
	Kind  Kind
	Model string
	// Stream is true when the client requests a stream of server-sent events.
	Stream bool
	// IncludeUsage is true when the client requests the token usage in the stream.
	IncludeUsage bool
	// MaxTokens is the client's limit for the tokens of the answer; zero if there is none.
	MaxTokens int
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int
	// RestartReason is why an answer can only be restarted, not continued; empty if it
	// can be continued.
	RestartReason string

	body    []byte
	fields  map[string]json.RawMessage
	choices int // number of choices in the answer
	// continuesFinalMessage is true when the client's last message is the start of the
	// answer, which the model continues.
	continuesFinalMessage bool
}

type requestFields struct {
	Model                string            `json:"model"`
	Stream               bool              `json:"stream"`
	MaxTokens            *int              `json:"max_tokens"`
	MaxCompletionTokens  *int              `json:"max_completion_tokens"`
	N                    *int              `json:"n"`
	BestOf               *int              `json:"best_of"`
	Echo                 bool              `json:"echo"`
	Logprobs             json.RawMessage   `json:"logprobs"`
	Tools                []json.RawMessage `json:"tools"`
	Functions            []json.RawMessage `json:"functions"`
	Messages             []json.RawMessage `json:"messages"`
	Prompt               json.RawMessage   `json:"prompt"`
	ContinueFinalMessage bool              `json:"continue_final_message"`
	ResponseFormat       struct {
		Type string `json:"type"`
	} `json:"response_format"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParseRequest parses the body of a completion request.
func ParseRequest(kind Kind, body []byte) (*Request, error) {
	var f requestFields
	r := &Request{Kind: kind, body: body, choices: 1}
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fmt.Errorf("the body is not a completion request: %w", err)
	}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	r.Model, r.Stream, r.IncludeUsage, r.continuesFinalMessage = f.Model, f.Stream, f.StreamOptions.IncludeUsage, f.ContinueFinalMessage
	if f.MaxTokens != nil {
		r.MaxTokens = *f.MaxTokens
	}
	if f.MaxCompletionTokens != nil {
		r.MaxTokens = *f.MaxCompletionTokens
	}
	if f.N != nil {
		r.choices = max(1, *f.N)
	}
	r.PromptTokens = (len(r.fields["messages"]) + len(f.Prompt)) / bytesPerToken
	r.RestartReason = f.restartReason(kind, r.choices, r.fields)
	return r, nil
}

// restartReason returns why an answer to the request cannot be continued; empty if it
// can be.
func (f *requestFields) restartReason(kind Kind, choices int, fields map[string]json.RawMessage) string {
	prompt := bytes.TrimSpace(f.Prompt)
	switch {
	case choices > 1 || f.BestOf != nil && *f.BestOf > 1:
		return "several choices"
	case len(f.Tools) > 0 || len(f.Functions) > 0:
		return "tool calls"
	case !isAbsent(f.Logprobs) && string(f.Logprobs) != "false":
		return "log probabilities"
	case f.Echo:
		return "echo of the prompt"
	case f.ResponseFormat.Type != "" && f.ResponseFormat.Type != "text":
		return "structured output"
	case kind == Text && (len(prompt) == 0 || prompt[0] != '"'):
		return "a prompt that is not one text"
	case kind == Chat && len(f.Messages) == 0:
		return "no messages"
	}
	for _, name := range []string{"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs"} {
		if !isAbsent(fields[name]) {
			return "structured output"
		}
	}
	return ""
}

// isAbsent reports whether a JSON field is missing or null.
func isAbsent(raw json.RawMessage) bool { return len(raw) == 0 || string(raw) == "null" }

// PromptText returns the raw JSON of the prompt or the messages, which an upstream
// caches as a prefix.
func (r *Request) PromptText() string {
	if r.Kind == Text {
		return string(r.fields["prompt"])
	}
	return string(r.fields["messages"])
}

// SharedParts returns the parts of the prompt that other requests may share: the tools and
// all messages but the last, each as compact JSON. A prompt of one text has none.
func (r *Request) SharedParts() []string {
	var parts []string
	for _, name := range []string{"tools", "functions", "messages"} {
		var list []json.RawMessage
		if json.Unmarshal(r.fields[name], &list) != nil {
			continue // the field is missing or is no list, which the upstream reports
		}
		if name == "messages" {
			list = list[:max(0, len(list)-1)]
		}
		for _, raw := range list {
			var compact bytes.Buffer
			if json.Compact(&compact, raw) == nil {
				parts = append(parts, name+compact.String())
			}
		}
	}
	return parts
}

// Unstreamed reports whether the upstream must send an unstreamed answer: the client
// requests one and it cannot be assembled from a stream.
func (r *Request) Unstreamed() bool { return r.RestartReason != "" && !r.Stream }

// upstreamBody returns the request body for an upstream. If delivered is not empty, the
// upstream continues the answer after that text, which has the given number of tokens.
func (r *Request) upstreamBody(delivered string, tokens int, options Options) ([]byte, error) {
	fields := maps.Clone(r.fields)
	if !r.Unstreamed() {
		fields["stream"] = json.RawMessage("true")
		fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	}
	if options.Priority != 0 {
		fields["priority"] = json.RawMessage(strconv.Itoa(options.Priority))
	}
	if len(options.KV) > 0 {
		fields["kv_transfer_params"] = options.KV
	}
	if delivered != "" {
		if err := r.setContinuation(fields, delivered, tokens); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// setContinuation changes the fields so that the upstream continues the delivered text.
func (r *Request) setContinuation(fields map[string]json.RawMessage, delivered string, tokens int) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens", "min_tokens"} {
		var n int
		if isAbsent(fields[name]) {
			continue
		}
		if err := json.Unmarshal(fields[name], &n); err != nil {
			return err
		}
		minimum := 1
		if name == "min_tokens" {
			minimum = 0
		}
		fields[name] = json.RawMessage(strconv.Itoa(max(minimum, n-tokens)))
	}
	if r.Kind == Text {
		var prompt string
		if err := json.Unmarshal(fields["prompt"], &prompt); err != nil {
			return err
		}
		joined, err := json.Marshal(prompt + delivered)
		fields["prompt"] = joined
		return err
	}
	messages, err := r.appendDelivered(fields["messages"], delivered)
	fields["messages"] = messages
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	return err
}

// appendDelivered returns the messages with the delivered text as the final message, or
// as part of it if the client's final message is the start of the answer.
func (r *Request) appendDelivered(raw json.RawMessage, delivered string) (json.RawMessage, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	message := map[string]any{"role": "assistant", "content": delivered}
	if r.continuesFinalMessage {
		var last struct {
			Content string `json:"content"`
		}
		if err := json.Unmarshal(list[len(list)-1], &last); err != nil {
			return nil, err
		}
		message["content"] = last.Content + delivered
		list = list[:len(list)-1]
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	return json.Marshal(append(list, encoded))
}

// Options are the fields that jaystage sets in a request to an upstream.
type Options struct {
	// Priority is the body field priority; omitted if zero.
	Priority int
	// KV is the body field kv_transfer_params; omitted if empty.
	KV json.RawMessage
}
