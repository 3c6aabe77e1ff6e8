package caller

import (
	"net/http"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/internal/upstream"
)

// RequestIDHeader is the header with the request ID for the upstream, which
// returns it in its response.
const RequestIDHeader = upstream.RequestIDHeader

// LimitHeader is the header in which an upstream names the number of requests per second
// that it takes from all nodes together. An answer without it ends the limit.
const LimitHeader = "X-Limit"

// forwardedHeader returns the headers to forward to the upstream, without the
// client's token.
func forwardedHeader(from http.Header) http.Header {
	h := hop.EndToEnd(from)
	h.Del("Authorization")
	h.Del(ClassHeader)
	return h
}
