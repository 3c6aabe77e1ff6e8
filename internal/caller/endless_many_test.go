package caller

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
)

// Upstream fault: many answers without end at once. Guards against memory that grows with their
// number, although each of them keeps its bound.
func TestManyEndlessAnswersAreBoundedTogether(t *testing.T) {
	const (
		clients       = 40
		limit         = 4 << 20
		maxHeapGrowth = 64 << 20 // the budget, what was given up, and garbage until its collection
	)
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	buffered := strings.Replace(chatBody("p", 4, false), `"max_tokens"`, `"logprobs":true,"max_tokens"`, 1)
	for _, form := range []struct{ name, body, head string }{
		{"event", chatBody("p", 4, true), stream + "data: "},
		{"answer that is buffered", buffered, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"},
	} {
		t.Run(form.name, func(t *testing.T) {
			f := newFixture(t, func(s *config.Site) { s.Services[0].Classes[0].CompletionTarget = seconds(3) })
			f.api.Budget = bounded.NewBudget(limit)
			address := rawUpstream(t, func(_ int, conn net.Conn, _ *http.Request, _ []byte) bool {
				sendEndlessly(conn, form.head, "x", 0)
				return false
			})
			f.announce("u", "chat", address, 1, nil)
			stopPeak, peak := make(chan struct{}), make(chan uint64)
			go recordPeakHeap(stopPeak, peak)
			ended := make(chan struct{})
			for range clients {
				go func() {
					defer func() { ended <- struct{}{} }()
					resp, err := f.try("/v1/chat/completions", form.body, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}()
			}
			for range clients {
				select {
				case <-ended:
				case <-time.After(testLimit):
					t.Fatal("a call does not end")
				}
			}
			close(stopPeak)
			growth := <-peak
			t.Logf("the heap grew by %d bytes", growth)
			if growth > maxHeapGrowth {
				t.Errorf("the heap grew by %d bytes, want at most %d", growth, maxHeapGrowth)
			}
			if held := f.api.Budget.Held(); held != 0 {
				t.Errorf("held after the last answer: got %d bytes, want none", held)
			}
		})
	}
}
