package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/internal/event"
)

// Path is the path of the listener for peers.
const Path = "/peer"

// Handler accepts links of other nodes at Path.
func (l *Links) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(Path, l.accept)
	return mux
}

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout, CheckOrigin: func(*http.Request) bool { return true }}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	name, err := l.welcome(conn)
	if err != nil {
		l.refused(conn, r.RemoteAddr, err)
		return
	}
	l.start(name, conn, false)
}

// refused tells the other side why its link is refused.
func (l *Links) refused(conn *websocket.Conn, address string, err error) {
	var handshake *HandshakeError
	if errors.As(err, &handshake) {
		text := websocket.FormatCloseMessage(websocket.ClosePolicyViolation, truncate(handshake.Reason))
		_ = conn.WriteControl(websocket.CloseMessage, text, time.Now().Add(handshakeTimeout))
	}
	event.With(l.config.Log, event.LinkRefused).WithField("remote", address).WithError(err).Warn("link refused")
	_ = conn.Close()
}

// truncate keeps a reason within the size of a close frame (RFC 6455, section 5.5).
func truncate(reason string) string {
	const limit = 123
	if len(reason) > limit {
		return reason[:limit]
	}
	return reason
}

// start serves a connection after its handshake.
func (l *Links) start(name string, conn *websocket.Conn, dialed bool) {
	k := l.newLink(name, conn, dialed)
	if !l.adopt(k) {
		_ = conn.Close()
		return
	}
	if !l.spawn(k.serve) {
		k.stop(errors.New("node shuts down"))
	}
}

// dial connects to a node, again and again with a growing, jittered pause, until
// there is a link or nobody has asked for it for a while.
func (l *Links) dial(ctx context.Context, r *remote) {
	pause, reason := firstBackoff, ""
	for {
		err := l.dialOnce(ctx, r.name)
		l.mu.Lock()
		done := r.link != nil || l.closed || time.Since(r.wanted) > unusedLimit
		if done {
			r.dialing = false
		}
		l.mu.Unlock()
		if done {
			return
		}
		if err != nil && err.Error() != reason {
			reason = err.Error()
			event.With(l.config.Log, event.LinkFailed).WithField("peer", r.name).WithError(err).Warn("node cannot be reached")
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(pause*2, longestBackoff)
	}
}

func (l *Links) dialOnce(ctx context.Context, name string) error {
	address, ok := l.config.Address(name)
	if !ok {
		return errors.New("its address is unknown")
	}
	target := url.URL{Scheme: "wss", Host: address, Path: Path}
	if l.config.TLS == nil {
		if !l.config.Private && !loopback(address) {
			return errors.New("plain text is allowed on loopback only; set security.cert, key and ca")
		}
		target.Scheme = "ws"
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := websocket.Dialer{TLSClientConfig: l.config.TLS, HandshakeTimeout: dialTimeout}
	conn, resp, err := dialer.DialContext(ctx, target.String(), nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return err
	}
	if err := l.greet(conn, name); err != nil {
		_ = conn.Close()
		return err
	}
	l.start(name, conn, true)
	return nil
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
