package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/pkg/verdict"
)

// Timeouts of connections to upstreams.
const (
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 256
	maxHeaderBytes  = 64 << 10
	writeBufferSize = 8 << 10
)

// Transport carries requests to upstreams. It never repeats a request by itself.
type Transport struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// NewTransport returns a transport with its own connections.
func NewTransport() *Transport {
	return &Transport{pooled: newHTTPTransport(false), fresh: newHTTPTransport(true)}
}

func newHTTPTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufferSize,
	}
}

// Do sends a request once and returns the response once its headers arrived. The
// error is a *verdict.Error: NotRun only when no byte of the request was written
// to a connection.
//
// With once set, the request goes over a connection of its own: net/http sends a
// request again by itself when a reused connection fails and the request has an
// idempotent method or an Idempotency-Key header.
func (t *Transport) Do(req *http.Request, once bool) (*http.Response, error) {
	var sent sentBytes
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: sent.start})
	client := t.pooled
	if once {
		client = t.fresh
	}
	resp, err := client.RoundTrip(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	v := verdict.MayHaveRun
	if !sent.any() {
		v = verdict.NotRun
	}
	return nil, &verdict.Error{
		Verdict: v, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream did not answer", Cause: err,
	}
}

// Close closes idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes: a failed write may have sent a part.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// sentBytes tells whether a request wrote anything to any connection it got.
type sentBytes struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
	dirty  atomic.Bool
}

func (s *sentBytes) start(info httptrace.GotConnInfo) {
	if s.any() {
		s.dirty.Store(true)
	}
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		s.dirty.Store(true)
		return
	}
	s.before.Store(conn.written.Load())
	s.conn.Store(conn)
}

func (s *sentBytes) any() bool {
	if s.dirty.Load() {
		return true
	}
	conn := s.conn.Load()
	return conn != nil && conn.written.Load() > s.before.Load()
}
