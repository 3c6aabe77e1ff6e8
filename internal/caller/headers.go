package caller

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/jaystage/jaystage/internal/upstream"
)

// RequestIDHeader carries the request id to the upstream, which echoes it.
const RequestIDHeader = upstream.RequestIDHeader

// hopHeaders are the headers of one connection (RFC 9110, section 7.6.1); they are
// not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns the headers that go to the upstream. The caller's token
// stays with jaystage.
func forwardedHeader(from http.Header) http.Header {
	h := endToEnd(from)
	h.Del("Authorization")
	h.Del(ClassHeader)
	return h
}

// endToEnd returns a copy of the headers without those of the connection.
func endToEnd(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}
