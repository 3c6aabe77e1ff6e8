package caller

import (
	"net/http"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/internal/upstream"
)

// RequestIDHeader carries the request id to the upstream, which echoes it.
const RequestIDHeader = upstream.RequestIDHeader

// forwardedHeader returns the headers that go to the upstream. The caller's token
// stays with jaystage.
func forwardedHeader(from http.Header) http.Header {
	h := hop.EndToEnd(from)
	h.Del("Authorization")
	h.Del(ClassHeader)
	return h
}
