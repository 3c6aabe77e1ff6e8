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

// Version is the protocol version between nodes.
const Version = 1

const (
	nonceBytes       = 16
	maxHelloBytes    = 4 << 10
	handshakeTimeout = time.Second
)

// Roles in the handshake. They are part of the proof, so that a proof cannot be
// sent back to its author.
const (
	roleDialer   = "dialer"
	roleListener = "listener"
)

// The handshake has three frames: the dialer's hello without a proof, the
// listener's hello with its proof over the dialer's nonce, and the dialer's hello
// again with its proof over the listener's nonce.

// HandshakeError says why a link was refused. Trying again does not help until one
// side's settings or program have changed.
type HandshakeError struct{ Reason string }

func (e *HandshakeError) Error() string { return e.Reason }

func newHandshakeError(format string, args ...any) error {
	return &HandshakeError{Reason: fmt.Sprintf(format, args...)}
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(b[:])
}

// proof signs the other side's nonce.
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

// dialHandshake runs the dialer's side of the handshake.
func (l *Links) dialHandshake(c *websocket.Conn, name string) error {
	nonce := newNonce()
	if err := writeHello(c, l.hello(nonce, "")); err != nil {
		return err
	}
	listener, err := readHello(c)
	if err != nil {
		return err
	}
	if err := l.checkVersion(listener); err != nil {
		return err
	}
	if listener.Node != name {
		return newHandshakeError("the node at this address is %q, not %q; correct the peer's address in the settings", listener.Node, name)
	}
	if !hmac.Equal([]byte(listener.Proof), []byte(l.proof(roleListener, nonce, name, l.config.Name))) {
		return newKeyMismatchError(name)
	}
	return writeHello(c, l.hello(nonce, l.proof(roleDialer, listener.Nonce, l.config.Name, name)))
}

// acceptHandshake runs the listener's side and returns the dialer's name.
func (l *Links) acceptHandshake(c *websocket.Conn) (string, error) {
	dialer, err := readHello(c)
	if err != nil {
		return "", err
	}
	nonce := newNonce()
	// A dialer of another version gets this side's version, so that both name it.
	if err := writeHello(c, l.hello(nonce, l.proof(roleListener, dialer.Nonce, l.config.Name, dialer.Node))); err != nil {
		return "", err
	}
	if err := l.checkVersion(dialer); err != nil {
		return "", err
	}
	if dialer.Node == "" || dialer.Node == l.config.Name {
		return "", newHandshakeError("a node named %q tried to connect to %q; give each node its own name", dialer.Node, l.config.Name)
	}
	final, err := readHello(c)
	if err != nil {
		return "", err
	}
	if final.Node != dialer.Node || !hmac.Equal([]byte(final.Proof), []byte(l.proof(roleDialer, nonce, dialer.Node, l.config.Name))) {
		return "", newKeyMismatchError(dialer.Node)
	}
	return dialer.Node, nil
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
