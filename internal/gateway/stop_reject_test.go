package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Guards against long requests that a stopping node passes on because many others of their kind
// were rejected at once.
func TestRejectionsDoNotCountAsAnswers(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, func(n int, r *http.Request) []step {
		if n <= 25 {
			return []step{{send: response(r, 400, "bad")}}
		}
		return []step{{pause: time.Second}, {send: response(r, 200, "ok")}}
	}))
	for range 25 {
		wantStatus(t, env.call("POST", "/book/", "b"), 400)
	}
	env.gateway.Stop(stopWindow(600 * time.Millisecond))
	wantCode(t, env.call("POST", "/book/", "b"), 503, verdict.CodeShuttingDown)
}
