// Package tunnel connects a node to an upstream through another node. The node that asks
// sends its requests over the connection as if it were its own; the other one only copies
// bytes. So each request is decided, counted and answered at one node.
//
// A tunnel is a stream between the nodes. The first frames are a request and a reply in CBOR.
// Then binary frames carry the bytes of both directions. A close frame tells that the
// upstream ended the connection; a stream that ends without one was broken off. Text frames
// carry notices: from the node that asks the ID of the request that it sends next and what the
// upstream has asked for, and from the other one that it is about to leave.
package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Kind is the kind of the streams between nodes that carry tunnels.
const Kind = "tunnel"

// Outcomes of a request for a tunnel.
const (
	outcomeOpen      = "open"
	outcomeUnreached = "unreached"
	outcomeDoubtful  = "doubtful"
	outcomeHelpless  = "helpless"
)

// openTimeout bounds the request for a tunnel: the handshake between the nodes and a connect
// to the upstream.
const openTimeout = 500 * time.Millisecond

var (
	// ErrUnreached means that the other node does not reach the upstream either.
	ErrUnreached = errors.New("the other node does not reach the upstream")
	// ErrDoubtful means that the other node does not reach the upstream, but may have lost its
	// own path.
	ErrDoubtful = errors.New("the other node does not reach the upstream and doubts its path")
	// ErrHelpless means that the other node cannot help at present, or does not answer.
	ErrHelpless = errors.New("the other node cannot help")
)

// Streams opens streams to other nodes.
type Streams interface {
	OpenStream(ctx context.Context, to, kind string) (*websocket.Conn, error)
}

// Open opens a connection to an upstream through a node, for the request with an ID. The
// error wraps ErrUnreached, ErrDoubtful or ErrHelpless.
func Open(ctx context.Context, streams Streams, node, address, requestID string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := streams.OpenStream(ctx, node, Kind)
	if err != nil {
		return nil, errors.Join(ErrHelpless, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	err = request(ctx, stream, wire.TunnelRequest{Address: address, Request: requestID})
	if err == nil && !stop() {
		err = errors.Join(ErrHelpless, ctx.Err())
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return newConn(stream), nil
}

func request(ctx context.Context, stream *websocket.Conn, message wire.TunnelRequest) error {
	deadline, _ := ctx.Deadline()
	if err := stream.SetReadDeadline(deadline); err != nil {
		return errors.Join(ErrHelpless, err)
	}
	if err := writeMessage(stream, message); err != nil {
		return errors.Join(ErrHelpless, err)
	}
	_, data, err := stream.ReadMessage()
	if err != nil {
		return errors.Join(ErrHelpless, err)
	}
	var reply wire.TunnelReply
	if err := wire.Unmarshal(data, &reply); err != nil {
		return errors.Join(ErrHelpless, err)
	}
	switch reply.Outcome {
	case outcomeOpen:
		if err := stream.SetReadDeadline(time.Time{}); err != nil {
			return errors.Join(ErrHelpless, err) // the time for the request has just passed
		}
		return nil
	case outcomeUnreached:
		return eris.Wrap(ErrUnreached, reply.Reason)
	case outcomeDoubtful:
		return eris.Wrap(ErrDoubtful, reply.Reason)
	}
	return eris.Wrap(ErrHelpless, reply.Reason)
}

func writeMessage(stream *websocket.Conn, message any) error {
	data, err := wire.Marshal(message)
	if err != nil {
		return err
	}
	return stream.WriteMessage(websocket.BinaryMessage, data)
}

// Conn is a connection to an upstream through another node. It implements net.Conn. A read that
// times out may be repeated, which a read of the stream itself may not.
type Conn struct {
	stream *websocket.Conn
	// received is what the pump writes to the other end of the pipe.
	received net.Conn
	leaving  atomic.Bool
	// waiting is true while bytes that no read has taken are held.
	waiting atomic.Bool
	// ended is closed at the end of the pump, after err is set.
	ended chan struct{}
	err   error
}

// newConn returns the connection over an open stream and starts its pump, which ends when the
// connection is closed.
func newConn(stream *websocket.Conn) *Conn {
	received, pumped := net.Pipe()
	c := &Conn{stream: stream, received: received, ended: make(chan struct{})}
	go func() {
		defer close(c.ended)
		defer pumped.Close()
		c.err = c.pump(pumped)
	}()
	return c
}

// pump copies the frames of the upstream's bytes to w until the stream ends, and returns why.
func (c *Conn) pump(w io.Writer) error {
	buffer := make([]byte, bufferBytes)
	for {
		frame, err := c.nextFrame()
		if err != nil {
			return err
		}
		for err == nil {
			var n int
			if n, err = frame.Read(buffer); n == 0 {
				continue
			}
			c.waiting.Store(true)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			c.waiting.Store(false)
		}
		if err != io.EOF {
			return err
		}
	}
}

// Idle reports whether the connection may serve another request: it is open, has no bytes to
// read, and the other node stays.
func (c *Conn) Idle() bool {
	select {
	case <-c.ended:
		return false
	default:
		return !c.waiting.Load() && !c.Leaving()
	}
}

// Leaving reports whether the other node is about to leave. The connection serves the
// present request, but no further one.
func (c *Conn) Leaving() bool { return c.leaving.Load() }

// Announce tells the other node, for its log, the ID of the request that is sent next.
func (c *Conn) Announce(requestID string) error {
	return c.stream.WriteMessage(websocket.TextMessage, []byte(requestID))
}

// adviceFormat is the text of a frame with the advice of an upstream: whether it leaves, and
// for how many milliseconds it wants no requests.
const adviceFormat = "advice %t %d"

// Advise tells the other node what the upstream has asked for: that it leaves, or wants no
// requests for a time from the node that is connected to it.
func (c *Conn) Advise(leaving bool, hold time.Duration) error {
	return c.stream.WriteMessage(websocket.TextMessage, fmt.Appendf(nil, adviceFormat, leaving, hold.Milliseconds()))
}

func parseAdvice(text string) (leaving bool, hold time.Duration, ok bool) {
	var ms int64
	n, err := fmt.Sscanf(text, adviceFormat, &leaving, &ms)
	return leaving, time.Duration(ms) * time.Millisecond, err == nil && n == 2
}

// Read implements net.Conn. It returns io.EOF only if the upstream ended the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.received.Read(b)
	if err == io.EOF {
		<-c.ended
		err = c.err
	}
	return n, err
}

// nextFrame returns the next frame with bytes of the upstream.
func (c *Conn) nextFrame() (io.Reader, error) {
	for {
		kind, frame, err := c.stream.NextReader()
		switch {
		case websocket.IsCloseError(err, websocket.CloseNormalClosure):
			return nil, io.EOF
		case websocket.IsUnexpectedCloseError(err):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case kind == websocket.TextMessage:
			c.leaving.Store(true)
		default:
			return frame, nil
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		part := b[:min(len(b), bufferBytes)]
		if err := c.stream.WriteMessage(websocket.BinaryMessage, part); err != nil {
			// Bytes of the frame may have arrived.
			return max(1, written), err
		}
		written += len(part)
		b = b[len(part):]
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	_ = c.received.Close() // the end of a pipe cannot fail to close
	return c.stream.Close()
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.stream.LocalAddr() }

// RemoteAddr implements net.Conn; it is the address of the other node.
func (c *Conn) RemoteAddr() net.Addr { return c.stream.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.received.SetReadDeadline(t), c.stream.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.received.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.stream.SetWriteDeadline(t) }
