package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveOnce answers the first request of each connection before its body is read, and ends the
// connection in the given way.
func serveOnce(t *testing.T, answer string, end func(*net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, answer)
					end(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func post(t *testing.T, transport *Transport, address, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return transport.Do(req, false)
}

// Upstream fault: it answers a long upload at once, without a length, sends a part of the body and
// resets the connection while the upload is still being written. Guards against a part that looks
// like the whole body, because the write was told of the reset before the read.
func TestBodyResetDuringUploadIsNotWhole(t *testing.T) {
	const tries = 30
	address := serveOnce(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	transport := NewTransport()
	defer transport.Close()
	upload := strings.Repeat("x", 16<<20)
	for i := range tries {
		resp, err := post(t, transport, address, upload)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Fatalf("try %d: got %q as the whole body, want an error", i, body)
		}
	}
}
