package cloud

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

// serveEndless answers each request with a prefix and then a unit again and again.
func serveEndless(t *testing.T, prefix, unit string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := strings.Repeat(unit, 32<<10/len(unit))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, prefix)
				}
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Fault of the platform's API: a reply without end. Guards against a process that keeps all of
// it, and a call that does not end.
func TestEndlessReplyIsCutOff(t *testing.T) {
	const timeout = 2 * time.Second
	for _, c := range []struct {
		name, prefix, unit string
		// maxAllocated bounds what the call allocates: a parsed response for each 25 bytes of
		// the head, or the
		// body's limit as it is read in parts.
		maxAllocated uint64
	}{
		{"status line", "", "x", 128 * maxHeadBytes},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x", 128 * maxHeadBytes},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: yes\r\n", 128 * maxHeadBytes},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 128 * maxHeadBytes},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "x", 4 * maxBodyBytes},
		{"body of a failure", "HTTP/1.1 500 Broken\r\n\r\n", "x", 4 * maxBodyBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, err := New("http://"+serveEndless(t, c.prefix, c.unit), "token", timeout)
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			if _, err := client.VMs(context.Background()); err == nil {
				t.Error("got no error, want one")
			}
			runtime.ReadMemStats(&after)
			if took := time.Since(start); took > 2*timeout {
				t.Errorf("got the end of the call after %v, want it within %v", took, 2*timeout)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > c.maxAllocated {
				t.Errorf("allocated: got %d bytes, want at most %d", got, c.maxAllocated)
			}
		})
	}
}
