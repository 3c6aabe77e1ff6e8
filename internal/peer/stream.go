package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/websocket"
)

// streamPath is the prefix of the HTTP paths at which nodes accept streams.
const streamPath = "/stream/"

// maxStreamFrameBytes bounds one frame of a stream.
const maxStreamFrameBytes = 64 << 10

// StreamHandler serves a stream that another node opened, until the stream ends or ctx is
// done. It closes the connection.
type StreamHandler func(ctx context.Context, from string, conn *websocket.Conn)

// HandleStream sets the handler for a kind of stream. Call it only before Run.
func (l *Links) HandleStream(kind string, h StreamHandler) { l.streams[kind] = h }

func (l *Links) acceptStream(w http.ResponseWriter, r *http.Request) {
	handler := l.streams[r.PathValue("kind")]
	if handler == nil {
		http.NotFound(w, r)
		return
	}
	name, conn := l.acceptConn(w, r)
	if conn == nil {
		return
	}
	if prepareStream(conn) != nil || !l.spawn(func(ctx context.Context) { handler(ctx, name, conn) }) {
		_ = conn.Close()
	}
}

// OpenStream opens a stream to a node: a connection of its own, to which both sides have
// proved that they hold the shared key.
func (l *Links) OpenStream(ctx context.Context, to, kind string) (*websocket.Conn, error) {
	conn, err := l.dialConn(ctx, to, streamPath+kind)
	if err != nil {
		return nil, err
	}
	if err := prepareStream(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// prepareStream replaces the limits of the handshake.
func prepareStream(conn *websocket.Conn) error {
	conn.SetReadLimit(maxStreamFrameBytes)
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		return err
	}
	return conn.SetReadDeadline(time.Time{})
}
