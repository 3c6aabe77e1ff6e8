package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Version is the version of the protocol between nodes.
const Version = 1

const (
	nonceBytes       = 16
	maxHelloBytes    = 4 << 10
	handshakeTimeout = time.Second
)

// Roles in the handshake. The proof includes the role, so that a proof cannot be reflected
// to its sender.
const (
	roleDialer   = "dialer"
	roleListener = "listener"
)

// The handshake has three frames: the dialer's hello without a proof, the listener's hello
// with its proof over the dialer's nonce, and a second hello of the dialer with its proof
// over the listener's nonce.

// HandshakeError is the reason why a link was rejected. Retries fail until the settings or
// the release of one side change.
type HandshakeError struct{ Reason string }

func (e *HandshakeError) Error() string { return e.Reason }

func newHandshakeError(format string, args ...any) error {
	return &HandshakeError{Reason: fmt.Sprintf(format, args...)}
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand crashes the program instead
	return hex.EncodeToString(b[:])
}

// proof returns the HMAC of the handshake under the shared key: the sender's role, the
// protocol version, the other side's nonce, and the sender's and receiver's names.
func (l *Links) proof(role, nonce, from, to string) string {
	mac := hmac.New(sha256.New, l.config.Key)
	for _, part := range []string{role, strconv.Itoa(int(l.config.version())), nonce, from, to} {
		_, _ = fmt.Fprintf(mac, "%d:%s,", len(part), part)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func (l *Links) hello(nonce, proof string) wire.Hello {
	return wire.Hello{Version: l.config.version(), Node: l.config.Name, Incarnation: l.config.Incarnation, Nonce: nonce, Proof: proof}
}

// dialHandshake runs the dialer's side of the handshake with the named node.
func (l *Links) dialHandshake(c *websocket.Conn, name string) error {
	nonce := newNonce()
	if err := writeHello(c, l.hello(nonce, "")); err != nil {
		return err
	}
	peerHello, err := readHello(c)
	if err != nil {
		return err
	}
	if err := l.checkVersion(peerHello); err != nil {
		return err
	}
	if peerHello.Node != name {
		return newHandshakeError("the node at this address is %q, not %q; correct the peer's address in the settings", peerHello.Node, name)
	}
	if !hmac.Equal([]byte(peerHello.Proof), []byte(l.proof(roleListener, nonce, name, l.config.Name))) {
		return newKeyMismatchError(name)
	}
	return writeHello(c, l.hello(nonce, l.proof(roleDialer, peerHello.Nonce, l.config.Name, name)))
}

// acceptHandshake runs the listener's side of the handshake and returns the dialer's name.
func (l *Links) acceptHandshake(c *websocket.Conn) (string, error) {
	peerHello, err := readHello(c)
	if err != nil {
		return "", err
	}
	nonce := newNonce()
	// The hello is sent before the version check, so that a dialer with another version can
	// report both versions as well.
	if err := writeHello(c, l.hello(nonce, l.proof(roleListener, peerHello.Nonce, l.config.Name, peerHello.Node))); err != nil {
		return "", err
	}
	if err := l.checkVersion(peerHello); err != nil {
		return "", err
	}
	if peerHello.Node == "" || peerHello.Node == l.config.Name {
		return "", newHandshakeError("a node named %q tried to connect to %q; give each node its own name", peerHello.Node, l.config.Name)
	}
	finalHello, err := readHello(c)
	if err != nil {
		return "", err
	}
	if finalHello.Node != peerHello.Node || !hmac.Equal([]byte(finalHello.Proof), []byte(l.proof(roleDialer, nonce, peerHello.Node, l.config.Name))) {
		return "", newKeyMismatchError(peerHello.Node)
	}
	return peerHello.Node, nil
}

func newKeyMismatchError(name string) error {
	return newHandshakeError("node %q has another shared key; set the same security.peer_key on both nodes", name)
}

func (l *Links) checkVersion(hello wire.Hello) error {
	if version := l.config.version(); hello.Version != version {
		return newHandshakeError("node %q speaks protocol version %d, this node speaks %d; run the same release on both", hello.Node, hello.Version, version)
	}
	return nil
}

func writeHello(c *websocket.Conn, h wire.Hello) error {
	data, err := wire.Marshal(h)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	return c.WriteMessage(websocket.BinaryMessage, data)
}

func readHello(c *websocket.Conn) (wire.Hello, error) {
	var h wire.Hello
	c.SetReadLimit(maxHelloBytes)
	_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	_, data, err := c.ReadMessage()
	if err != nil {
		var closeErr *websocket.CloseError
		if ok := asCloseError(err, &closeErr); ok && closeErr.Code == websocket.ClosePolicyViolation {
			return h, newHandshakeError("refused by the other side: %s", closeErr.Text)
		}
		return h, err
	}
	if err := wire.Unmarshal(data, &h); err != nil {
		return h, newHandshakeError("the first frame is not a hello: %v", err)
	}
	return h, nil
}
