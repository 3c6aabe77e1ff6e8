package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// serveEndless answers each request with a prefix and then a block again and again, with a
// pause after each. ended receives a value when a connection has ended.
func serveEndless(t *testing.T, prefix, block string, pause time.Duration) (address string, ended <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ends := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close(); ends <- struct{}{} }()
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, prefix)
				}
				for ; err == nil; time.Sleep(pause) {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return l.Addr().String(), ends
}

// Upstream fault: bytes without end in reply to a call of the node itself: a health check, a
// probe of a lost path, or the export of a cache. Guards against memory that grows with them
// and connections that stay open.
func TestEndlessRepliesToOwnCallsAreCutOff(t *testing.T) {
	const (
		maxAllocated = 128 * maxHeaderBytes // a parsed response for each 25 bytes of the head
		maxTime      = 3 * ProbeTimeout
	)
	transport := NewTransport()
	defer transport.Close()
	calls := map[string]func(ctx context.Context, address string) error{
		"health check": transport.Probe,
		"export of a cache": func(ctx context.Context, address string) error {
			ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
			defer cancel()
			_, err := transport.ExportKV(ctx, address, "r")
			return err
		},
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, form := range []struct{ name, prefix, unit string }{
		{"status line", "", "x"},
		{"header lines", ok, "X-More: yes\r\n"},
		{"one header line", ok + "X-Long: ", "x"},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body", ok + "\r\n", "x"},
		{"one long text", ok + "\r\n" + `{"kv_transfer_params":"`, "x"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
	} {
		for name, call := range calls {
			for speed, pause := range map[string]time.Duration{"fast": 0, "at a trickle": 100 * time.Millisecond} {
				t.Run(name+", "+form.name+", "+speed, func(t *testing.T) {
					address, ended := serveEndless(t, form.prefix, strings.Repeat(form.unit, 10<<10/len(form.unit)), pause)
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					start := time.Now()
					_ = call(context.Background(), address) // a health check needs only the head
					runtime.ReadMemStats(&after)
					if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
						t.Errorf("allocated: got %d bytes, want at most %d", got, maxAllocated)
					}
					select {
					case <-ended:
					case <-time.After(maxTime - time.Since(start)):
						t.Errorf("connection: got it open after %v, want it closed", maxTime)
					}
				})
			}
		}
	}
}
