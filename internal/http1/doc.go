// Package http1 decides what net/http leaves open about the HTTP/1.1 responses of peers that
// may be at fault: whether a head is one, and whether the end of a connection is the end of a
// response.
package http1
