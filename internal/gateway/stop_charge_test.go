package gateway

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Guards against clients that lose a part of their limit, here two requests, to the refusals of
// a stopping node: the other nodes refuse them then.
func TestRefusalOfAStopIsNotCharged(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, respondOK("ok")))
	env.gateway.Stop(stopWindow(300 * time.Millisecond))
	wantCode(t, env.call("POST", "/book/", "b", "Authorization", "Bearer k2"), 503, verdict.CodeShuttingDown)
	env.gateway.ledger.mu.Lock()
	defer env.gateway.ledger.mu.Unlock()
	if got := env.gateway.ledger.account("small").used; got != 0 {
		t.Errorf("charge of a refused request: got %v, want 0", got)
	}
}
