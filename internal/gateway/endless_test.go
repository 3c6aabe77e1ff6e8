package gateway

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endless returns a script that sends prefix and then repeats unit until the gateway closes
// the connection, or for at most maxEndlessBytes.
func endless(prefix func(r *http.Request) string, unit string) func(int, *http.Request) []step {
	const maxEndlessBytes = 64 << 20
	block := strings.Repeat(unit, max(1, 32<<10/len(unit)))
	return func(_ int, r *http.Request) []step {
		steps := []step{{send: prefix(r)}}
		for sent := 0; sent < maxEndlessBytes; sent += len(block) {
			steps = append(steps, step{send: block})
		}
		return append(steps, step{close: true})
	}
}

// endlessForm is a form of bytes without end that are no answer: a prefix, and a unit that is
// repeated.
type endlessForm struct {
	name, path string
	prefix     func(r *http.Request) string
	unit       string
}

// signedHead returns a function that returns the start of a response head.
func signedHead(extra string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\n%s", r.Header.Get("X-Attempt"), extra)
	}
}

func endlessForms() []endlessForm {
	nothing := func(*http.Request) string { return "" }
	otherHead := func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: 1000000000\r\n\r\n"
	}
	return []endlessForm{
		{"status line", "/book/", nothing, "x"},
		{"zeros instead of a status line", "/book/", nothing, "\x00"},
		{"one header line", "/book/", signedHead("X-Long: "), "x"},
		{"header lines", "/book/", signedHead(""), "X-More: yes\r\n"},
		{"informational responses", "/book/", nothing, "HTTP/1.1 100 Continue\r\n\r\n"},
		{"late responses to other requests", "/book/", nothing, "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: 4\r\n\r\nlate"},
		{"body of a late response", "/book/", otherHead, "x"},
		{"chunk extension", "/book/", signedHead("Transfer-Encoding: chunked\r\n\r\n4;"), "x"},
		{"empty chunk extensions", "/book/", signedHead("Transfer-Encoding: chunked\r\n\r\n"), "1;" + strings.Repeat("e", 4000) + "\r\nx\r\n"},
		{"trailer", "/book/", signedHead("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "), "x"},
		{"event", "/draft/", signedHead("Content-Type: text/event-stream\r\n\r\ndata: "), "x"},
		{"event of a resumable stream", "/chat/", signedHead("Content-Type: text/event-stream\r\n\r\ndata: "), "x"},
		{"comments before the first event", "/draft/", signedHead("Content-Type: text/event-stream\r\n\r\n"), ": none\n\n"},
	}
}

// peakHeap returns the largest growth of the heap while f runs.
func peakHeap(f func()) uint64 {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-stop:
				done <- peak
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	f()
	close(stop)
	peak := <-done
	return peak - min(peak, before.HeapAlloc)
}

// Upstream fault: bytes that are no response arrive without end, until the gateway closes
// the connection. Guards against memory that grows with them, calls that hang, a verdict
// that is not true, and an upstream that stays in favour.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const (
		// maxHeapGrowth allows for the limits of the gateway and for uncollected garbage.
		maxHeapGrowth = 16 << 20
		deadline      = 1500 * time.Millisecond // that env.call sets
	)
	for _, c := range endlessForms() {
		t.Run(c.name, func(t *testing.T) {
			u := newFakeUpstream(t, endless(c.prefix, c.unit))
			env := newTestEnv(t, u)
			start := time.Now()
			var result clientResult
			growth := peakHeap(func() { result = env.call("POST", c.path, "x") })
			if result.err != nil {
				t.Errorf("got error %v, want a response", result.err)
			}
			if result.status != http.StatusBadGateway && result.status != http.StatusGatewayTimeout {
				t.Errorf("got status %d, want 502 or 504: the request may have run", result.status)
			}
			if took := time.Since(start); took > deadline {
				t.Errorf("got the response after %v, want it before the deadline of %v", took, deadline)
			}
			if growth > maxHeapGrowth {
				t.Errorf("the heap grew by %d bytes, want at most %d", growth, maxHeapGrowth)
			}
			wantFailureRecorded(t, env, "u0")
		})
	}
}

// wantFailureRecorded checks that the health of an upstream counts the failure.
func wantFailureRecorded(t *testing.T, env *testEnv, id string) {
	t.Helper()
	set := env.gateway.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	if rate := set.byID[id].FailureRate(time.Now()); rate <= 0 {
		t.Errorf("got failure rate %v for %s, want above 0", rate, id)
	}
}
