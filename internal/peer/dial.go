package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/event"
)

// Path is the HTTP path at which nodes accept links.
const Path = "/peer"

// Handler returns the HTTP handler that accepts links from other nodes at Path.
func (l *Links) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(Path, l.accept)
	mux.HandleFunc(streamPath+"{kind}", l.acceptStream)
	return mux
}

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	if name, conn := l.acceptConn(w, r); conn != nil {
		l.startLink(name, conn, false)
	}
}

// acceptConn accepts a connection and returns the name of the node that opened it; nil after
// a failed handshake.
func (l *Links) acceptConn(w http.ResponseWriter, r *http.Request) (string, *websocket.Conn) {
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout, CheckOrigin: func(*http.Request) bool { return true }}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return "", nil
	}
	name, err := l.acceptHandshake(conn)
	if err != nil {
		l.rejectConn(conn, r.RemoteAddr, err)
		return "", nil
	}
	return name, conn
}

// rejectConn closes a connection after a failed handshake and sends the reason to the
// other side.
func (l *Links) rejectConn(conn *websocket.Conn, address string, err error) {
	var handshakeErr *HandshakeError
	if errors.As(err, &handshakeErr) {
		text := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, truncateReason(handshakeErr.Reason))
		_ = conn.WriteControl(websocket.CloseMessage, text, time.Now().Add(handshakeTimeout))
	}
	event.With(l.config.Log, event.LinkRefused).WithField("remote", address).WithError(err).Warn("link from node rejected")
	_ = conn.Close()
}

// truncateReason limits a reason to what fits into a close frame (RFC 6455, section 5.5).
func truncateReason(reason string) string {
	const maxBytes = 123
	if len(reason) > maxBytes {
		return reason[:maxBytes]
	}
	return reason
}

// startLink registers and serves a link over a connection that completed the handshake.
func (l *Links) startLink(name string, conn *websocket.Conn, dialed bool) {
	link := l.newLink(name, conn, dialed)
	if !l.register(link) {
		_ = conn.Close()
		return
	}
	if !l.spawn(link.serve) {
		link.stop(errors.New("node is shutting down"))
	}
}

// dial tries to connect to a node, with exponential backoff and jitter, until there is a
// link or none has been requested for unusedTimeout.
func (l *Links) dial(ctx context.Context, state *peerState) {
	backoff, lastError := initialBackoff, ""
	for {
		err := l.dialOnce(ctx, state.name)
		l.mu.Lock()
		done := state.link != nil || l.closed || time.Since(state.lastRequested) > unusedTimeout
		if done {
			state.dialing = false
		}
		l.mu.Unlock()
		if done {
			return
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			event.With(l.config.Log, event.LinkFailed).WithField("peer", state.name).WithError(err).Warn("cannot connect to node; retrying with backoff")
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

func (l *Links) dialOnce(ctx context.Context, name string) error {
	conn, err := l.dialConn(ctx, name, Path)
	if err != nil {
		return err
	}
	l.startLink(name, conn, true)
	return nil
}

// dialConn opens a connection to a node at a path and completes the handshake.
func (l *Links) dialConn(ctx context.Context, name, path string) (*websocket.Conn, error) {
	address, ok := l.config.Address(name)
	if !ok {
		return nil, errors.New("address of the node is unknown")
	}
	endpoint := url.URL{Scheme: "wss", Host: address, Path: path}
	if l.config.TLS == nil {
		if !l.config.PrivateNetwork && !isLoopback(address) {
			return nil, errors.New("plain text is allowed on loopback only; set security.cert, key and ca")
		}
		endpoint.Scheme = "ws"
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var raw *handshakeConn
	dialer := websocket.Dialer{TLSClientConfig: l.config.TLS, HandshakeTimeout: dialTimeout, NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		raw = newHandshakeConn(c)
		return raw, nil
	}}
	conn, resp, err := dialer.DialContext(ctx, endpoint.String(), nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	if err := l.dialHandshake(conn, name); err != nil {
		_ = conn.Close()
		return nil, err
	}
	raw.limit.Lift()
	return conn, nil
}

// maxHandshakeBytes bounds what is read from a connection before its other side has proved
// to be a node: another program may have taken over the address.
const maxHandshakeBytes = 64 << 10

// handshakeConn is a connection with a limit on the bytes that are read from it.
type handshakeConn struct {
	net.Conn
	limit *bounded.Reader
}

func newHandshakeConn(c net.Conn) *handshakeConn {
	limit := &bounded.Reader{Source: c}
	limit.Limit(maxHandshakeBytes)
	return &handshakeConn{c, limit}
}

// SyscallConn implements syscall.Conn.
func (c *handshakeConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) { return c.limit.Read(b) }

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
