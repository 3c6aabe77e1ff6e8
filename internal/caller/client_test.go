package caller

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/sashabaranov/go-openai"

	"github.com/jaystage/jaystage/internal/fake"
)

// Guards against answers, including resumed ones, that a published OpenAI client
// library cannot parse.
func TestOpenAIClient(t *testing.T) {
	const tokens = 40
	f := newFixture(t, nil)
	f.addModel(t, "m1", fastModel(), nil)
	f.addModel(t, "m2", fastModel(), nil)
	config := openai.DefaultConfig(testToken)
	config.BaseURL = f.server.URL + "/v1"
	client := openai.NewClientWithConfig(config)
	request := openai.ChatCompletionRequest{
		Model: "chat", MaxTokens: tokens, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
	}
	want := fake.Text(fake.ChatPrompt("hello"), tokens)

	t.Run("unstreamed answer", func(t *testing.T) {
		resp, err := client.CreateChatCompletion(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Choices[0].Message.Content; got != want || resp.Usage.CompletionTokens != tokens {
			t.Errorf("got %q with usage %+v, want %q", got, resp.Usage, want)
		}
	})
	t.Run("stream resumed after a kill", func(t *testing.T) {
		checkClientStream(t, f, client, request, want, tokens)
	})
	t.Run("refusal of an unknown model", func(t *testing.T) {
		unknown := request
		unknown.Model = "unknown"
		_, err := client.CreateChatCompletion(context.Background(), unknown)
		var failed *openai.RequestError
		if !errors.As(err, &failed) || failed.HTTPStatusCode != 404 {
			t.Errorf("got %v, want status 404", err)
		}
	})
}

// checkClientStream kills the upstream in the middle of a stream and fails the test
// unless the client receives one complete answer with one id, one finish reason and
// the usage.
func checkClientStream(t *testing.T, f *fixture, client *openai.Client, request openai.ChatCompletionRequest, want string, tokens int) {
	t.Helper()
	streamed := request
	streamed.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	stream, err := client.CreateChatCompletionStream(context.Background(), streamed)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var text strings.Builder
	ids, finishes, usage := make(map[string]bool), 0, 0
	for n := 1; ; n++ {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		ids[chunk.ID] = true
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
			if c.FinishReason != "" {
				finishes++
			}
		}
		if chunk.Usage != nil {
			usage = chunk.Usage.CompletionTokens
		}
		if n == 5 {
			f.procs[f.runningModel()].Kill()
		}
	}
	if text.String() != want || len(ids) != 1 || finishes != 1 || usage != tokens {
		t.Errorf("got %q, %d ids, %d finishes, usage %d, want %q, 1, 1, %d", text.String(), len(ids), finishes, usage, want, tokens)
	}
}
