package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// Guards against requests that a stopping node passes on by the times of earlier answers,
// although the present ones of their kind already take longer.
func TestOpenRequestsShowThatAServiceIsSlow(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, func(int, *http.Request) []step { return []step{{pause: 3 * time.Second}} }))
	for range 100 {
		env.gateway.open.durations.Record(time.Now(), drain.Kind{Service: "s"}, 10*time.Millisecond)
	}
	first := env.callAsync("POST", "/book/", "b")
	env.awaitPhase(phaseSent)
	time.Sleep(700 * time.Millisecond)
	env.gateway.Stop(stopWindow(500 * time.Millisecond))
	wantCode(t, env.call("POST", "/book/", "b"), 503, verdict.CodeShuttingDown)
	env.gateway.EndCalls()
	<-first
}
