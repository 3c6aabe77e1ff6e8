package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/reach"
	"github.com/jaystage/jaystage/pkg/wire"
)

// tunnelStreams opens streams to one node in between.
type tunnelStreams struct{ url string }

func (s tunnelStreams) OpenStream(ctx context.Context, _, _ string) (*websocket.Conn, error) {
	stream, resp, err := websocket.DefaultDialer.DialContext(ctx, s.url, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return stream, err
}

// reachThroughOther makes the node unable to connect to the upstreams itself, and able to through
// another node.
func (env *testEnv) reachThroughOther(t *testing.T, upstreams ...*fakeUpstream) {
	t.Helper()
	dialed := make(map[string]string) // by the address that is announced
	var list []wire.Status
	for i, u := range upstreams {
		address := fmt.Sprint("127.0.0.1:", 1+i) // nothing listens there
		dialed[address] = u.listener.Addr().String()
		for range 10 { // as often as makes the node ask others
			env.gateway.Detour.RecordFailure(time.Now(), address, reach.NoConnection)
		}
		list = append(list, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Address: address, Domain: "a", Slots: 4, Born: 2, Sequence: 1})
	}
	s := tunnel.NewServer()
	s.Known, s.Log = func(string) bool { return true }, env.gateway.Log
	s.Lost, s.Suspected = func() bool { return false }, func(time.Time) bool { return false }
	s.Advised = func(string, bool, time.Duration) {}
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", dialed[address])
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stream, err := (&websocket.Upgrader{}).Upgrade(w, r, nil); err == nil {
			s.Serve(context.WithoutCancel(r.Context()), "n1", stream)
		}
	}))
	t.Cleanup(other.Close)
	env.gateway.Detour.Streams = tunnelStreams{"ws" + strings.TrimPrefix(other.URL, "http")}
	env.gateway.Detour.Nodes = func(time.Time) []reach.Node {
		return []reach.Node{{Name: "n1", Domain: "a"}, {Name: "n2", Domain: "b"}}
	}
	env.gateway.ApplyStatuses(time.Now(), list)
}

// Guards against an answer through another node that is lost because its upstream is silent for a
// moment, and against one that waits for a silent upstream although another could go on.
func TestSilenceOverTunnel(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		other   bool
	}{
		{"the upstream goes on", briefSilence, false},
		{"another upstream goes on", 6 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstreams := []*fakeUpstream{newFakeUpstream(t, pausing(silentEvent, c.silence))}
			if c.other {
				upstreams = append(upstreams, newFakeUpstream(t, pausing(eventCount+1, 0)))
			}
			env := newSilenceEnv(t, upstreams...)
			env.reachThroughOther(t, upstreams...)
			env.preferFirst()
			start := time.Now()
			wantBody(t, env.callPatiently("/chat/"), allEvents())
			if took, most := time.Since(start), streamStallTimeout+2*time.Second; took > most {
				t.Errorf("got the answer after %v, want it within %v", took, most)
			}
			env.wantNothingOpen(t)
			if got, want := upstreams[0].connections(), 1; got != want {
				t.Errorf("connections to the first upstream: got %d, want %d", got, want)
			}
		})
	}
}
