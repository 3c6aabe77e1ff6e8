package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// FuzzResponse guards against bytes of an upstream that crash the gateway, that are forwarded
// as a success without the upstream's signature, or after which a booking is refused as not
// run although it may have run.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: u\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"))
	f.Add([]byte("HTTP/1.1 421 Misdirected\r\nX-Attempt: b\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		u := newFakeUpstream(t, func(int, *http.Request) []step { return []step{{send: string(text), close: true}} })
		env := newTestEnv(t, u)
		for _, path := range []string{"/book/", "/draft/"} {
			res := env.call("POST", path, "x", "X-Deadline", "1000")
			success := res.err == nil && res.status >= 200 && res.status < 300
			if success && (res.header.Get("X-Signature") == "" || res.header.Get("X-Attempt") != "a1") {
				t.Errorf("got the success %d without the upstream's signature", res.status)
			}
			if claimsNotRun(res.status) && !strings.Contains(strings.ToLower(string(text)), "x-not-run") && !strings.Contains(string(text), "421") {
				t.Errorf("got status %d, which claims that the request did not run", res.status)
			}
		}
		env.server.Close()
		_ = u.listener.Close()
	})
}
