package gateway

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
)

// panickingState panics at the given call of View, counted from 1.
type panickingState struct {
	*testState
	calls, at int
}

func (s *panickingState) View(now time.Time) (*config.View, bool) {
	s.calls++
	if s.calls == s.at {
		panic("asked to panic")
	}
	return s.testState.View(now)
}

// Guards against an unexpected error that takes a place at an upstream for good, or after
// which the client is told that a request that may have run has not run.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		at   int // call of View: at admission, at the choice, right before the send
		want int
	}{
		{"at admission", 1, 503},
		{"at the choice", 2, 503},
		{"during the attempt", 3, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t, newFakeUpstream(t, respondOK("ok")))
			env.gateway.State = &panickingState{testState: env.state, at: c.at}
			wantStatus(t, env.call("POST", "/book/", "x"), c.want)
			env.gateway.upstreams.mu.Lock()
			if got := env.gateway.upstreams.byID["u0"].Open; got != 0 {
				t.Errorf("got %d open requests at the upstream, want none", got)
			}
			env.gateway.upstreams.mu.Unlock()
			if got := env.gateway.Open(); got != 0 {
				t.Errorf("got %d open calls, want none", got)
			}
			wantStatus(t, env.call("POST", "/book/", "x", "X-Attempt", "a2"), 200)
		})
	}
}
