package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// malformedHeads lists the first lines of answers that net/http reads and that are none. Further
// lines and a body follow.
func malformedHeads() map[string]string {
	return map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n",
		"status 000, no length":       "HTTP/1.1 000 OK\r\nX-No: length\r\n",
		"status with a sign":          "HTTP/1.1 +20 OK\r\n",
		"status 600":                  "HTTP/1.1 600 OK\r\n",
		"another protocol":            "HTTP/1.1 101 Switching Protocols\r\n",
		"a blank in a name":           "HTTP/1.1 200 OK\r\nX A: 1\r\n",
		"a blank after a name":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"a control byte in a name":    "HTTP/1.1 200 OK\r\nX\x02A: 1\r\n",
		"a control byte in a value":   "HTTP/1.1 200 OK\r\nX-A: a\x00\r\n",
		"an informational one before": "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	}
}

// Upstream fault: an answer whose status does not exist, or with a field whose name or value holds
// characters that none may hold; what follows it reads like another answer. Guards against a client
// that gets it as an answer, with that line, or with a body that is not the upstream's.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, first := range malformedHeads() {
		broken := func(_ int, r *http.Request) []step {
			inner := response(r, 200, "not the answer")
			length := fmt.Sprintf("Content-Length: %d\r\n", len(inner))
			if strings.Contains(name, "no length") {
				length = ""
			}
			return []step{{send: first + fmt.Sprintf("X-Attempt: %s\r\nX-Signature: s\r\n%s\r\n", r.Header.Get("X-Attempt"), length) + inner}}
		}
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/book/", "/draft/"} {
				env := newTestEnv(t, newFakeUpstream(t, broken))
				wantStatus(t, env.call("POST", path, "x"), http.StatusBadGateway)
				set := env.gateway.upstreams
				set.mu.Lock()
				if entry := set.byID["u0"]; !entry.distrusted() {
					t.Errorf("%s: the upstream is trusted after a malformed answer", path)
				}
				set.mu.Unlock()
			}
			env := newTestEnv(t, newFakeUpstream(t, broken), newFakeUpstream(t, respondOK("whole")))
			for i := range 4 {
				wantBody(t, env.call("GET", "/look/", "", "X-Attempt", fmt.Sprint("a", i)), "whole")
			}
		})
	}
}
