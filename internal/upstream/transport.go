package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/internal/detour"
	"github.com/jaystage/jaystage/internal/http1"
	"github.com/jaystage/jaystage/pkg/verdict"
)

// Timeouts and limits of connections to upstreams.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the 5 s after which common model servers close an idle
	// connection, so that a request rarely reuses a connection that is being closed.
	idleTimeout         = 4 * time.Second
	maxIdleConnsPerHost = 256
	maxHeaderBytes      = 64 << 10
	// bufferBytes is small because each open stream holds a read buffer and a write
	// buffer; larger reads and writes of bodies bypass them.
	bufferBytes = 1 << 10
	// ProbeTimeout is the timeout of a health check.
	ProbeTimeout = time.Second
)

// keepAlive detects a dead idle connection after 9 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 2}

// RequestIDHeader carries the request id to the upstream, which may return it in the
// response.
const RequestIDHeader = "X-Request-Id"

// ErrMismatchedAnswer is the cause of a failure when the response carries the id of
// another request.
var ErrMismatchedAnswer = errors.New("the answer carries the id of another request")

// ErrUnattributedRefusal is the cause of a failure when a refusal without a request id
// arrives on a connection that has served other requests: it may be a late one to any of
// them.
var ErrUnattributedRefusal = errors.New("refusal without a request id on a reused connection")

// claimsNotRun reports whether the status says that a request did not run.
func claimsNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Transport sends requests to upstreams. It never retries a request.
type Transport struct {
	// Dial opens a connection to an upstream. It is replaced in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Detour leads connections through other nodes where the own path is lost; nil if there
	// are no other nodes.
	Detour *detour.Detour

	pooled   *http.Transport
	unpooled *http.Transport
}

// NewTransport returns a transport with its own connection pool.
func NewTransport() *Transport {
	t := &Transport{Dial: (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext}
	t.pooled, t.unpooled = t.newHTTPTransport(false), t.newHTTPTransport(true)
	return t
}

func (t *Transport) newHTTPTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if t.Detour == nil {
				return t.dialDirect(ctx, network, addr)
			}
			conn, node, err := t.Detour.Connect(ctx, addr, "", func(ctx context.Context, address string) (net.Conn, error) {
				return t.dialDirect(ctx, network, address)
			})
			if err != nil || node == "" {
				return conn, err
			}
			return &countingConn{Conn: conn, via: node}, nil
		},
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// dialDirect opens a connection over the node's own path.
func (t *Transport) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	opened := time.Now()
	conn, err := t.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: http1.NewConn(conn), opened: opened}, nil
}

// ProbePath checks whether an upstream answers over a new direct connection.
func (t *Transport) ProbePath(ctx context.Context, address string) error {
	direct := &http.Transport{DialContext: t.dialDirect, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	opened := time.Now()
	if err := probe(ctx, direct, address); err != nil {
		return err
	}
	t.Detour.RecordAnswer(time.Now(), opened, address)
	return nil
}

// Do sends a request once and returns the response when its headers have arrived. The
// error is a *verdict.Error; its verdict is NotRun only if no byte of the request was
// written to a connection.
//
// net/http retries a request when a reused connection fails and the body is empty or can be
// rewound, so Do clears GetBody and replaces an empty body. With newConn set, the request
// also gets a connection of its own, because a kept-alive connection can fail after the
// upstream has read the request. A response with the id of another request, and a refusal
// without an id on a reused connection, and a malformed one are discarded and their connection
// is closed.
func (t *Transport) Do(req *http.Request, newConn bool) (*http.Response, error) {
	var written writeTracker
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: written.gotConn})
	client := t.pooled
	if newConn {
		client = t.unpooled
	}
	resp, err := client.RoundTrip(req.WithContext(ctx))
	if conn := written.conn.Load(); err == nil && t.Detour != nil && conn != nil && conn.via == "" {
		t.Detour.RecordAnswer(time.Now(), conn.opened, req.URL.Host)
	}
	if err == nil {
		id := resp.Header.Get(RequestIDHeader)
		malformed := http1.CheckHead(resp)
		switch {
		case malformed != nil:
			err = malformed
		case id == "" && written.reused.Load() && claimsNotRun(resp.StatusCode):
			err = ErrUnattributedRefusal
		case id == "" || id == req.Header.Get(RequestIDHeader):
			return resp, nil
		default:
			err = ErrMismatchedAnswer
		}
		_ = resp.Body.Close()
		written.closeConn()
	}
	outcome := verdict.MayHaveRun
	if !written.wroteAny() {
		outcome = verdict.NotRun
	}
	return nil, &verdict.Error{
		Verdict: outcome, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
		Detail: "the upstream did not answer", Cause: err,
	}
}

// Probe checks the health of the upstream at the address over a new connection. It
// returns nil if the upstream responds with a status below 500.
func (t *Transport) Probe(ctx context.Context, address string) error {
	return probe(ctx, t.unpooled, address)
}

func probe(ctx context.Context, client *http.Transport, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return err
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := http1.CheckHead(resp); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.New("the upstream's health check answered " + resp.Status)
	}
	return nil
}

// CloseIdle closes idle pooled connections, so that the next requests use new ones.
func (t *Transport) CloseIdle() { t.pooled.CloseIdleConnections() }

// Close closes all idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	// via is the node through which the connection goes; empty for a direct one, whose connect
	// was started at opened.
	via     string
	opened  time.Time
	written atomic.Int64
}

// Write counts the bytes before it writes them, because a failed write may have sent some
// of them.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// writeTracker reports whether a request wrote any bytes to any of the connections that it
// used.
type writeTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64 // bytes written to conn before the request
	reused        atomic.Bool  // the connection has served other requests
	assumeWritten atomic.Bool  // the request wrote to an earlier connection, or conn is not a countingConn
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	if w.wroteAny() {
		w.assumeWritten.Store(true)
	}
	w.reused.Store(info.Reused)
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		w.assumeWritten.Store(true)
		return
	}
	w.writtenBefore.Store(conn.written.Load())
	w.conn.Store(conn)
}

func (w *writeTracker) closeConn() {
	if conn := w.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

func (w *writeTracker) wroteAny() bool {
	if w.assumeWritten.Load() {
		return true
	}
	conn := w.conn.Load()
	return conn != nil && conn.written.Load() > w.writtenBefore.Load()
}
