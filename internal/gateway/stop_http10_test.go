package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a stream to an HTTP/1.0 client, which ends with its connection, that looks
// whole although the stop has broken it off.
func TestBrokenStreamIsNotWholeToOldClients(t *testing.T) {
	env := newTestEnv(t, newFakeUpstream(t, func(_ int, r *http.Request) []step {
		return []step{{send: eventStreamHead(r) + chunk(numberedEvent(1)), pause: 3 * time.Second}}
	}))
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = fmt.Fprint(c, "POST /draft/ HTTP/1.0\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Attempt: a1\r\nContent-Length: 1\r\n\r\nb")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	env.awaitPhase(phaseAnswering)
	env.gateway.EndCalls()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got %q and a regular end, want an error", body)
	}
}
