package gateway

import (
	"net/http"
	"testing"
	"time"
)

// Guards against short requests that a stopping node refuses because another route of their
// service has long answers.
func TestLongRouteDoesNotRefuseShortOnes(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, func(_ int, r *http.Request) []step {
		if r.URL.Path == "/book/" {
			return []step{{pause: 1200 * time.Millisecond}, {send: response(r, 200, "ok")}}
		}
		return []step{{send: response(r, 200, "ok")}}
	}))
	wantStatus(t, env.call("POST", "/book/", "b", "X-Deadline", "2000"), 200)
	for range 30 {
		wantStatus(t, env.call("POST", "/twice/", "b"), 200)
	}
	env.gateway.Stop(stopWindow(time.Second))
	wantStatus(t, env.call("POST", "/twice/", "b"), 200)
}
