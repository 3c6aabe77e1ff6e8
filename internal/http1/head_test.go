package http1

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// Guards against heads that net/http reads and that are none: a client would get an answer that
// nobody gave, a line that others read otherwise, or a body of another length.
func TestCheckHead(t *testing.T) {
	for _, c := range []struct {
		name, head string
		malformed  bool
	}{
		{"a sound answer", "HTTP/1.1 200 OK\r\nX-A: 1\r\nx_b!#$%&'*+-.^`|~9: a\tb \x80\r\n", false},
		{"HTTP/1.0", "HTTP/1.0 404 Not Found\r\n", false},
		{"an informational answer", "HTTP/1.1 100 Continue\r\n", false},
		{"no reason", "HTTP/1.1 599\r\n", false},
		{"status 000", "HTTP/1.1 000 OK\r\n", true},
		{"status 099", "HTTP/1.1 099 OK\r\n", true},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n", true},
		{"status 600", "HTTP/1.1 600 OK\r\n", true},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n", true},
		{"another version", "HTTP/2.0 200 OK\r\n", true},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n", true},
		{"a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", true},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n", true},
		{"a tab in a name", "HTTP/1.1 200 OK\r\nX\tA: 1\r\n", true},
		{"a byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX\x80A: 1\r\n", true},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n", true},
		{"a zero byte in a value", "HTTP/1.1 200 OK\r\nX-A: a\x00b\r\n", true},
		{"a carriage return in a value", "HTTP/1.1 200 OK\r\nX-A: a\rContent-Length: 5\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\n")), nil)
			if err == nil {
				if err = CheckHead(resp); err != nil && !errors.Is(err, ErrMalformed) {
					t.Errorf("got %v, want an error that wraps %v", err, ErrMalformed)
				}
			}
			if got := err != nil; got != c.malformed {
				t.Errorf("malformed: got %v (%v), want %v", got, err, c.malformed)
			}
		})
	}
}
