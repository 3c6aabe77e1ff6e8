package gateway

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/drain"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// heldState holds a call up after its upstream was chosen, before the request is sent, as a
// slow connect or a pause of the process does.
type heldState struct {
	Viewer
	hold time.Duration
}

// View implements Viewer.
func (s heldState) View(now time.Time) (*config.View, bool) {
	pc, _, _, _ := runtime.Caller(1)
	if strings.HasSuffix(runtime.FuncForPC(pc).Name(), ").send") {
		time.Sleep(s.hold)
	}
	return s.Viewer.View(now)
}

// Guards against requests that are sent although the end of the stop has passed since their
// upstream was chosen.
func TestNothingIsSentAfterTheEndOfAStop(t *testing.T) {
	u := newFakeUpstream(t, respondOK("ok"))
	env := newTestEnv(t, u)
	for range 100 {
		env.gateway.open.durations.Record(time.Now(), drain.Kind{Service: "s"}, 10*time.Millisecond)
	}
	env.gateway.State = heldState{env.state, 800 * time.Millisecond}
	env.gateway.Stop(stopWindow(400 * time.Millisecond))
	wantCode(t, env.call("POST", "/book/", "b"), 503, verdict.CodeShuttingDown)
	if got := u.count(); got != 0 {
		t.Errorf("got %d requests at the upstream, want none", got)
	}
}
