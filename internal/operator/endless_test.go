package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Fault of a node, or another program at its address: a reply without end. Guards against a
// command that keeps all of it.
func TestEndlessReplyIsCutOff(t *testing.T) {
	const maxSent = 4 * maxReplyBytes
	for name, prefix := range map[string]string{"one long text": `["`, "many elements": `[{"id":"`} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				unit := "x"
				if strings.Contains(prefix, "{") {
					unit = `"},{"id":"`
				}
				_, err := io.WriteString(w, prefix)
				for block := strings.Repeat(unit, 64<<10/len(unit)); err == nil && sent.Load() < maxSent; {
					_, err = io.WriteString(w, block)
					sent.Add(int64(len(block)))
				}
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			client := &Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()}
			if _, err := client.Upstreams(ctx); err == nil {
				t.Error("got no error, want one")
			}
			if got := sent.Load(); got >= maxSent {
				t.Errorf("read of the reply: got all of %d bytes, want the call to end at %d", got, maxReplyBytes)
			}
		})
	}
}
