package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// longUpload is more than the kernel takes for an upstream that does not read.
var longUpload = strings.Repeat("x", 3<<20)

// newCuttingUpstream returns an upstream that answers before it has read the body of a request,
// with neither a length nor chunks, and then ends the connection in the given way.
func newCuttingUpstream(t *testing.T, contentType, text string, end func(*net.TCPConn)) *fakeUpstream {
	t.Helper()
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
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
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("X-Attempt"), contentType, text)
				time.Sleep(5 * time.Millisecond)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return &fakeUpstream{t: t, listener: l}
}

// Upstream fault: it answers a long upload at once, without a length, sends a part of the body and
// resets the connection while the upload is still being written. Guards against a part that the
// client gets as a complete answer, because the write was told of the reset before the read.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const tries = 10
	events := numberedEvent(1) + numberedEvent(2)
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	for _, c := range []struct {
		name, path, contentType, text string
	}{
		{"short body", "/book/", "text/plain", "part"},
		{"long body", "/book/", "text/plain", strings.Repeat("x", maxBufferedBytes+1000)},
		{"stream", "/draft/", "text/event-stream", events},
	} {
		for _, way := range []string{"direct", "through another node"} {
			t.Run(c.name+", "+way, func(t *testing.T) {
				u := newCuttingUpstream(t, c.contentType, c.text, reset)
				env := newTestEnv(t, u)
				if way != "direct" {
					env.reachThroughOther(t, u)
				}
				for i := range tries {
					res := env.call("POST", c.path, longUpload, "X-Attempt", fmt.Sprint("a", i))
					if res.status == http.StatusOK && res.err == nil {
						t.Fatalf("try %d: got a complete answer of %d bytes, want a truncated one or a failure", i, len(res.body))
					}
				}
			})
		}
	}
}

// Guards against a whole answer that counts as cut, because its upstream closes its side and does
// not take the rest of the upload, or takes it only later.
func TestAnswerClosedDuringUploadIsWhole(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"reads on later", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, c)
		}},
		{"reads nothing for a second", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := newTestEnv(t, newCuttingUpstream(t, "text/plain", "whole", c.end)).call("POST", "/book/", longUpload)
			wantStatus(t, res, http.StatusOK)
			wantBody(t, res, "whole")
		})
	}
}
