package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
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

// Upstream fault: an answer whose status does not exist, or with a field whose name or value holds
// characters that none may hold. Guards against a caller that gets it as an answer, and against a
// health check that passes.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	transport := NewTransport()
	defer transport.Close()
	for name, head := range map[string]string{
		"status 000":                "HTTP/1.1 000 OK\r\n",
		"status with a sign":        "HTTP/1.1 +20 OK\r\n",
		"another protocol":          "HTTP/1.1 101 Switching Protocols\r\n",
		"a blank in a name":         "HTTP/1.1 200 OK\r\nX A: 1\r\n",
		"a blank after a name":      "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"a control byte in a name":  "HTTP/1.1 200 OK\r\nX\x02A: 1\r\n",
		"a control byte in a value": "HTTP/1.1 200 OK\r\nX-A: a\x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, head+"Connection: close\r\n\r\nbody", func(*net.TCPConn) {})
			resp, err := post(t, transport, address, "x")
			if err == nil {
				_ = resp.Body.Close()
				t.Fatalf("got status %d and the head %v, want an error", resp.StatusCode, resp.Header)
			}
			var failed *verdict.Error
			if !errors.As(err, &failed) || failed.Verdict != verdict.MayHaveRun {
				t.Errorf("got %v, want a failure with the verdict %s", err, verdict.MayHaveRun)
			}
			if err := transport.Probe(t.Context(), address); err == nil {
				t.Error("the health check passed")
			}
		})
	}
	t.Run("a sound answer", func(t *testing.T) {
		address := serveOnce(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX_a!: b\tc \x80\r\nContent-Length: %d\r\n\r\nwhole", len("whole")), func(*net.TCPConn) {})
		resp, err := post(t, transport, address, "x")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if got, err := io.ReadAll(resp.Body); string(got) != "whole" || err != nil {
			t.Errorf("got %q and %v, want whole", got, err)
		}
	})
}
