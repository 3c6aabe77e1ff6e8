package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// engine simulates a model engine whose n-th token is always word(n).
type engine struct {
	kind           Kind
	usage          bool // continuous usage statistics
	tokensPerChunk int
	ownIDs         bool // ids not derived from the attempt id
}

func word(i int) string { return fmt.Sprintf("w%d ", i) }

// run returns the engine's stream for a request body.
func (e engine) run(t rapid.TB, id string, body []byte) []byte {
	t.Helper()
	var req struct {
		Messages  []answerMessage `json:"messages"`
		Prompt    string          `json:"prompt"`
		MaxTokens int             `json:"max_tokens"`
		Continue  bool            `json:"continue_final_message"`
		Generate  *bool           `json:"add_generation_prompt"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		t.Fatalf("body %s: %v", body, err)
	}
	given := strings.TrimPrefix(req.Prompt, "prompt ")
	if req.Continue {
		given = req.Messages[len(req.Messages)-1].Content
		if req.Generate == nil || *req.Generate {
			t.Fatalf("add_generation_prompt is not false in %s", body)
		}
	}
	first := len(strings.Fields(given))
	if e.ownIDs {
		id = "engine-7"
	}
	var out bytes.Buffer
	if e.kind == Chat {
		out.WriteString(`data: {"id":"` + id + `","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n")
	}
	for i := 0; i < req.MaxTokens; {
		n := min(e.tokensPerChunk, req.MaxTokens-i)
		var text strings.Builder
		for range n {
			text.WriteString(word(first + i))
			i++
		}
		out.WriteString(e.chunk(id, text.String(), i, i == req.MaxTokens))
	}
	out.WriteString("data: [DONE]\n\n")
	return out.Bytes()
}

func (e engine) chunk(id, text string, tokens int, last bool) string {
	finish, usage := "null", ""
	if last {
		finish = `"length"`
	}
	if e.usage {
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":9}`, tokens)
	}
	part := fmt.Sprintf(`"delta":{"content":%q}`, text)
	if e.kind == Text {
		part = fmt.Sprintf(`"text":%q`, text)
	}
	return fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":5,\"model\":\"m\",\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]%s}\n\n", id, part, finish, usage)
}

// injectFault truncates an attempt's stream at a random place or ends it with a bad event.
func injectFault(t *rapid.T, out []byte) []byte {
	at := rapid.IntRange(0, len(out)-1).Draw(t, "at")
	boundary := bytes.LastIndex(out[:at], []byte("\n\n"))
	head := out[:0:0]
	if boundary >= 0 {
		head = out[:boundary+2]
	}
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		return out[:at]
	case 1:
		return append(bytes.Clone(head), `data: {"id":"chatcmpl-js-other.1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"crossed "},"text":"crossed "}]}`+"\n\n"...)
	case 2:
		return append(bytes.Clone(head), `data: {"error":{"message":"engine is dead"}}`+"\n\n"...)
	default:
		return append(bytes.Clone(head), "data: {not json\n\n"...)
	}
}

// receiveAttempt feeds one attempt's stream to the transcript and returns the events for
// the client.
func receiveAttempt(t *rapid.T, tr *Transcript, out []byte) string {
	var p Parser
	var got strings.Builder
	for _, piece := range splitRandomly(t, string(out)) {
		p.Feed([]byte(piece))
		for {
			data, ok, err := p.Next()
			if err != nil {
				t.Fatalf("parse: %v", err)
			}
			if !ok {
				break
			}
			events, err := tr.HandleEvent(data)
			got.Write(events)
			if err != nil {
				return got.String()
			}
		}
	}
	return got.String()
}

// checkStream fails the test unless the client received exactly the first want tokens, in
// order, as one answer.
func checkStream(t rapid.TB, got, id string, want int) {
	t.Helper()
	events, err := parseEvents(t, []string{got}, 0)
	if err != nil || len(events) == 0 || events[len(events)-1] != "[DONE]" {
		t.Fatalf("the stream does not end with [DONE]: %q (%v)", got, err)
	}
	var text, expected strings.Builder
	finishes, roles := 0, 0
	for _, e := range events[:len(events)-1] {
		var c chunk
		var list []choice
		if err := errors.Join(json.Unmarshal([]byte(e), &c), json.Unmarshal(c.Choices, &list)); err != nil {
			t.Fatalf("event %q: %v", e, err)
		}
		if c.ID != id || c.Created != 5 {
			t.Fatalf("got id %q and created %d, want %q and 5", c.ID, c.Created, id)
		}
		for _, l := range list {
			text.WriteString(l.Delta.Content + l.Text)
			if l.FinishReason != nil {
				finishes++
			}
			if l.Delta.Role != "" {
				roles++
			}
		}
	}
	for i := range want {
		expected.WriteString(word(i))
	}
	if text.String() != expected.String() || finishes != 1 || roles > 1 {
		t.Fatalf("got %q with %d finishes and %d roles, want %q", text.String(), finishes, roles, expected.String())
	}
}

// A continued answer must have no missing or repeated token, however the earlier attempts
// ended.
func TestTranscriptContinuesWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine{
			kind:   rapid.SampledFrom([]Kind{Chat, Text}).Draw(t, "kind"),
			usage:  rapid.Bool().Draw(t, "usage"),
			ownIDs: rapid.Bool().Draw(t, "own ids"), tokensPerChunk: 1,
		}
		if e.usage {
			e.tokensPerChunk = rapid.IntRange(1, 3).Draw(t, "per chunk")
		}
		want := rapid.IntRange(1, 20).Draw(t, "tokens")
		streamed := rapid.Bool().Draw(t, "stream")
		body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}],"prompt":"prompt "}`, streamed, want)
		req, err := ParseRequest(e.kind, []byte(body))
		if err != nil {
			t.Fatal(err)
		}
		tr := NewTranscript(req, "js-a")
		faults := rapid.IntRange(0, 4).Draw(t, "faults")
		var got strings.Builder
		for i := 0; !tr.Done(); i++ {
			id := fmt.Sprintf("js-a.%d", i)
			sent, err := tr.StartAttempt(id, Options{})
			if err != nil {
				t.Fatal(err)
			}
			out := e.run(t, id, sent)
			if i < faults {
				out = injectFault(t, out)
			}
			got.WriteString(receiveAttempt(t, tr, out))
			if end, ok := tr.Complete(); ok && !strings.HasSuffix(got.String(), "[DONE]\n\n") {
				got.Write(end)
			}
		}
		if tr.Delivered() != want {
			t.Fatalf("got %d tokens counted, want %d", tr.Delivered(), want)
		}
		if streamed {
			checkStream(t, got.String(), "js-a", want)
		} else if n := len(strings.Fields(tr.Text())); n != want || got.Len() > 0 {
			t.Fatalf("got %d tokens and %q streamed, want %d tokens", n, got.String(), want)
		}
	})
}

func TestTranscriptNotContinuable(t *testing.T) {
	const chunk = `{"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"a","tool_calls":%s},"finish_reason":null}]}`
	tests := []struct{ name, field, tools string }{
		{"several choices are not continued", `"n":2`, "null"},
		{"log probabilities are not continued", `"logprobs":true`, "null"},
		{"a tool call in progress is not continued", `"temperature":0`, `[{"index":0}]`},
		{"structured output is not continued", `"response_format":{"type":"json_object"}`, "null"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := ParseRequest(Chat, []byte(`{"stream":true,"messages":[{"role":"user","content":"hi"}],`+tt.field+`}`))
			if err != nil {
				t.Fatal(err)
			}
			tr := NewTranscript(req, "js-a")
			if _, err := tr.StartAttempt("js-a.1", Options{}); err != nil {
				t.Fatal(err)
			}
			if !tr.Continuable() {
				t.Error("got not continuable before the first token, want continuable")
			}
			if _, err := tr.HandleEvent(fmt.Appendf(nil, chunk, tt.tools)); err != nil {
				t.Fatal(err)
			}
			if tr.Continuable() {
				t.Error("got continuable after the first token, want not continuable")
			}
		})
	}
}

// Guards against a chunk without choices, written with a space, that panics on a later
// attempt.
func TestChunkWithoutChoicesIsIgnored(t *testing.T) {
	request, err := ParseRequest(Chat, []byte(`{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"p"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tr := NewTranscript(request, "js-a")
	for _, id := range []string{"js-a.1", "js-a.2"} {
		if _, err := tr.StartAttempt(id, Options{}); err != nil {
			t.Fatal(err)
		}
		got, err := tr.HandleEvent([]byte(`{"id":"` + id + `","object":"chat.completion.chunk","choices":[ ]}`))
		if len(got) != 0 || err != nil {
			t.Errorf("%s: got %q, %v, want nothing", id, got, err)
		}
	}
}
