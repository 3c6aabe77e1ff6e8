package caller

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
)

// silence is longer than several progress timeouts of shortProgressTimeout.
const silence = 1500 * time.Millisecond

// shortDeadline also ends a call soon after an answer that was given up.
func shortDeadline(s *config.Site) {
	shortProgressTimeout(s)
	s.Services[0].Classes[0].FirstTokenTarget = seconds(4)
	s.Services[0].Classes[0].CompletionTarget = seconds(6)
}

// stallAll makes all models fall silent together for a time.
func (f *fixture) stallAll(d time.Duration) {
	for _, m := range f.models {
		m.Stalled.Store(true)
		time.AfterFunc(d, func() { m.Stalled.Store(false) })
	}
}

// useUpRetries takes all retries of the class of the chat service.
func (f *fixture) useUpRetries() {
	service := f.view.Load().Services["chat"]
	for f.api.retryBudgets.takeRetry(time.Now(), &call{service: service, class: service.Classes[0]}) {
	}
}

// refuseAll starts an upstream that refuses every request.
func (f *fixture) refuseAll(t *testing.T, id string) {
	t.Helper()
	address := rawUpstream(t, func(_ int, conn net.Conn, req *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: "+req.Header.Get(RequestIDHeader)+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f.announce(id, "chat", address, 1, nil)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				f.announce(id, "chat", address, 1, nil)
			}
		}
	}()
}

// Guards against an answer that is given up because its upstream is silent while no second
// attempt can replace it.
func TestSilentCallKeepsItsAnswer(t *testing.T) {
	const tokens = 40
	withTools := strings.Replace(chatBody("hello", tokens, true), `"messages"`, `"tools":[{"type":"function"}],"messages"`, 1)
	tests := []struct {
		name, body string
		// silentFrom is the token before which the upstreams fall silent.
		silentFrom int
		before     func(t *testing.T, f *fixture)
	}{
		{"empty retry budget", chatBody("hello", tokens, true), 0, func(t *testing.T, f *fixture) { f.useUpRetries(); f.addModel(t, "m2", fastModel(), nil) }},
		{"no other upstream before the first token", chatBody("hello", tokens, true), 0, nil},
		{"no other upstream", chatBody("hello", tokens, true), 5, nil},
		{"refused resume", chatBody("hello", tokens, true), 5, func(t *testing.T, f *fixture) { f.refuseAll(t, "r1") }},
		{"answer that cannot be continued", withTools, 5, func(t *testing.T, f *fixture) { f.addModel(t, "m2", fastModel(), nil) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, shortDeadline)
			f.addModel(t, "m1", fastModel(), nil)
			fallSilent := func(n int) {
				if n != tt.silentFrom {
					return
				}
				if tt.before != nil {
					tt.before(t, f)
				}
				f.stallAll(silence)
			}
			fallSilent(0)
			checkAnswer(t, f.post(t, "/v1/chat/completions", tt.body), "hello", tokens, fallSilent)
			for id, m := range f.models {
				if got := m.Runs.Load(); got > 1 {
					t.Errorf("%s ran the request %d times, want at most once", id, got)
				}
			}
		})
	}
}

// Guards against a booking whose outcome becomes unknown because the node gives it up while
// its upstream still works on it.
func TestSilentBookingKeepsItsAnswer(t *testing.T) {
	f := newFixture(t, func(s *config.Site) { s.Services[1].Classes[0].ProgressTimeout = seconds(0.3) })
	f.announce("b1", "booking", rawUpstream(t, func(_ int, conn net.Conn, req *http.Request, _ []byte) bool {
		time.Sleep(silence)
		respond(conn, req.Header.Get(RequestIDHeader), "booked")
		return true
	}), 1, nil)
	resp := f.post(t, "/s/booking/bookings", "{}")
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "booked" {
		t.Errorf("got %s %q, %v, want the answer of the upstream", resp.Status, body, err)
	}
}
