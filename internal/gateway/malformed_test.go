package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/jaystage/jaystage/internal/event"
)

// wantBanned checks whether an upstream gets no requests.
func wantBanned(t *testing.T, env *testEnv, id string, want bool) {
	t.Helper()
	set := env.gateway.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	if got := set.byID[id].Banned(time.Now()); got != want {
		t.Errorf("got %s banned %v, want %v", id, got, want)
	}
}

// Upstream fault: bytes without end that are no answer. Guards against an upstream that gets as
// many requests as before, whatever the form of its bytes, and against operators who cannot see
// which one it is.
func TestMalformedAnswersBanUpstream(t *testing.T) {
	for _, form := range endlessForms() {
		t.Run(form.name, func(t *testing.T) {
			env := newTestEnv(t, newFakeUpstream(t, endless(form.prefix, form.unit)))
			logger, hook := logtest.NewNullLogger()
			env.gateway.Log = logger
			env.call("POST", form.path, "x")
			if form.path != "/chat/" { // whose second attempt finds no other upstream
				wantBanned(t, env, "u0", false)
			}
			env.call("POST", form.path, "x")
			wantBanned(t, env, "u0", true)
			lines := 0
			for _, entry := range hook.AllEntries() {
				if entry.Data[event.Field] == int(event.UpstreamMalformed) {
					lines++
					if entry.Level != logrus.WarnLevel || entry.Data["upstream"] != "u0" {
						t.Errorf("got level %v and upstream %v, want a warning on u0", entry.Level, entry.Data["upstream"])
					}
				}
			}
			if lines != 2 {
				t.Errorf("got %d lines on malformed answers, want 2", lines)
			}
			if doc := env.gateway.Metrics.String(); !strings.Contains(doc, `"malformed":{"u0":{"answers":2,`) {
				t.Errorf("got metrics %s, want 2 malformed answers of u0", doc)
			}
		})
	}
}

// Guards against a sound upstream that gets no requests after one broken answer, and answers of
// it that are cut off by the lower limits for distrusted upstreams.
func TestOneMalformedAnswerBansNobody(t *testing.T) {
	long := "data: " + strings.Repeat("x", distrustedEventBytes/2) + "\n\n"
	u := newFakeUpstream(t, func(n int, r *http.Request) []step {
		if n == 1 {
			return endless(signedHead("Content-Type: text/event-stream\r\n\r\ndata: "), "x")(n, r)
		}
		return []step{{send: eventStreamHead(r) + chunk(long) + "0\r\n\r\n"}}
	})
	env := newTestEnv(t, u)
	wantStatus(t, env.call("POST", "/draft/", "x"), http.StatusBadGateway)
	wantBanned(t, env, "u0", false)
	if !env.gateway.upstreams.byID["u0"].distrusted() {
		t.Error("got a trusted upstream after a malformed answer")
	}
	wantBody(t, env.call("POST", "/draft/", "x"), long)
	if env.gateway.upstreams.byID["u0"].distrusted() {
		t.Error("got a distrusted upstream after a sound answer")
	}
}

// Guards against open answers that go on holding bytes at a trickle after another answer of the
// same upstream was found to be malformed.
func TestOpenAnswersOfDistrustedUpstreamEndSooner(t *testing.T) {
	const trickled = distrustedEventBytes * 5 / 4
	for name, head := range map[string]string{"head": "X-Long: ", "event": "Content-Type: text/event-stream\r\n\r\ndata: "} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			u := newFakeUpstream(t, func(n int, r *http.Request) []step {
				if n > 1 {
					return endless(signedHead(head), "x")(n, r)
				}
				close(begun)
				return []step{{send: signedHead(head)(r) + strings.Repeat("x", trickled), pause: 300 * time.Millisecond}, {send: "x", pause: 4 * time.Second}}
			})
			env := newTestEnv(t, u)
			first := make(chan clientResult)
			go func() { first <- env.call("POST", "/draft/", "x", "X-Attempt", "first") }()
			<-begun
			env.call("POST", "/draft/", "x", "X-Attempt", "second")
			wantStatus(t, <-first, http.StatusBadGateway) // 504 at its deadline
			wantBanned(t, env, "u0", true)
		})
	}
}

// Guards against an upstream that stays in favour when its bytes come so slowly that no limit is
// reached before the deadline.
func TestTrickledAnswerCountsAsMalformed(t *testing.T) {
	form := endlessForm{"event", "/draft/", signedHead("Content-Type: text/event-stream\r\n\r\ndata: "), "x"}
	env := newManyEnv(t, pacedUpstream{form, 4 << 10, 40, 40 * time.Millisecond})
	for i := range 2 {
		env.call("POST", form.path, "x", "X-Attempt", fmt.Sprint("a", i), "X-Deadline", "600")
	}
	wantBanned(t, env, "u0", true)
}
