// Package hop removes hop-by-hop headers from messages that a proxy forwards (RFC 9110,
// section 7.6.1).
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers, which include
// those that the Connection header lists.
func EndToEnd(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}
