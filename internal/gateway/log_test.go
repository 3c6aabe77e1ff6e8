package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
)

// lineBuffer keeps what is logged.
type lineBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// ended returns the line of the end of a request.
func (b *lineBuffer) ended(t *testing.T) map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.data.Bytes()) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["msg"] == "request ended" {
			return fields
		}
	}
	t.Fatal("got no line of the end of the request, want one")
	return nil
}

// Guards against the line of a stream that was broken off which cannot be found by its event
// number, and which says that a request that has run did not.
func TestLineOfBrokenStreamTellsTheTruth(t *testing.T) {
	var env *testEnv
	env = newTestEnv(t, newFakeUpstream(t, func(_ int, r *http.Request) []step {
		env.state.expireLease() // so that the stream cannot be resumed
		return []step{{send: eventStreamHead(r) + chunk(numberedEvent(7))}, {close: true}}
	}))
	var lines lineBuffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.JSONFormatter{})
	env.gateway.Log = log
	if res := env.call("POST", "/chat/", "b"); res.err == nil {
		t.Errorf("stream: got a whole one, %q, want a cut one", res.body)
	}
	env.server.Close() // waits for the end of the call
	fields := lines.ended(t)
	for name, want := range map[string]any{event.Field: float64(event.RequestEnded), "last_event": "7", "outcome": "broken-off", "verdict": "ran"} {
		if got := fields[name]; got != want {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
}
