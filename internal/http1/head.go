package http1

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the errors of heads that are none in HTTP/1.1.
var ErrMalformed = errors.New("malformed response head")

// The status codes of HTTP responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// tokenPunctuation lists the characters of a field name besides letters and digits (RFC 9110,
// section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// CheckHead returns an error that wraps ErrMalformed if net/http has read a head that strict
// readers take for none, or for one with another body: a status that does not exist, a protocol
// that was not asked for, or a field whose name or value holds characters that none may hold.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %q", ErrMalformed, resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q, but no other protocol was asked for", ErrMalformed, resp.Status)
	}
	for name, values := range resp.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return fmt.Errorf("%w: value of field %q", ErrMalformed, name)
			}
		}
	}
	return nil
}

func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune(tokenPunctuation, r)
	})
}

// isControl reports whether a character may not be in a field value; a tab may.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
