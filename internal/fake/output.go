package fake

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

type completionRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Priority            int           `json:"priority"`
	// Continue means that the last message is the start of the answer.
	Continue bool `json:"continue_final_message"`
	Options  struct {
		Usage      bool `json:"include_usage"`
		Continuous bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
	KV *KV `json:"kv_transfer_params"`
}

// KV identifies an exported KV cache.
type KV struct {
	Source string `json:"source"`
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
}

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
)

// answerTokens returns the number of tokens to generate.
func (r *completionRequest) answerTokens() int {
	switch {
	case r.MaxTokens > 0:
		return r.MaxTokens
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	}
	return defaultMaxTokens
}

// prompt returns the prompt and, for a continued answer, the number of answer tokens
// that the request already contains.
func (r *completionRequest) prompt(chat bool) (prompt string, delivered int) {
	if !chat {
		return splitContinued(r.Prompt)
	}
	messages := r.Messages
	if r.Continue && len(messages) > 0 {
		delivered = len(strings.Fields(fmt.Sprint(messages[len(messages)-1].Content)))
		messages = messages[:len(messages)-1]
	}
	var b strings.Builder
	for _, m := range messages {
		content, ok := m.Content.(string)
		if !ok {
			raw, _ := json.Marshal(m.Content)
			content = string(raw)
		}
		b.WriteString(m.Role + ": " + content + "\n")
	}
	return b.String(), delivered
}

// splitContinued splits a text prompt into the original prompt and the number of answer
// tokens appended to it.
func splitContinued(prompt string) (original string, tokens int) {
	for at := 0; at < len(prompt); at++ {
		if rest := prompt[at:]; strings.HasPrefix(rest, Token(prompt[:at], 0)) {
			n := len(strings.Fields(rest))
			if rest == Text(prompt[:at], n) {
				return prompt[:at], n
			}
		}
	}
	return prompt, 0
}

// Token returns the n-th token of the answer to a prompt.
func Token(prompt string, n int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)&0xffff, 16) + "." + strconv.Itoa(n) + " "
}

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// ChatPrompt returns the prompt that a chat request with one user message results in.
func ChatPrompt(content string) string { return "user: " + content + "\n" }
