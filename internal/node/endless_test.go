package node

import (
	"net"
	"net/http"
	"testing"
)

// Guards against an endpoint, such as that for other nodes, that keeps up to 1 MB of each
// request head.
func TestEveryEndpointBoundsRequestHeads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := new(Node).newEndpoint(l, &http.Server{Handler: http.NotFoundHandler()})
	defer e.server.Close()
	defer l.Close()
	if got := e.server.MaxHeaderBytes; got != maxHeaderBytes {
		t.Errorf("largest head: got %d bytes, want %d", got, maxHeaderBytes)
	}
}
