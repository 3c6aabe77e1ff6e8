package tunnel

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/http1"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// maxTunnels bounds the tunnels of a node, so that it can still serve its own clients:
	// a tunnel takes two descriptors of about 4,000 and some 30 KB.
	maxTunnels = 200
	// bufferBytes is the largest number of bytes that one frame carries.
	bufferBytes = 8 << 10
	// firstFrameTimeout bounds the wait for the request of a new stream.
	firstFrameTimeout = time.Second
	// dialTimeout bounds the connect to the upstream. It is shorter than openTimeout, so that
	// the reply still arrives.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout ends a tunnel without traffic, whose other node may be gone. It exceeds the
	// pauses of requests and of kept connections.
	idleTimeout = 90 * time.Second
)

// Server serves tunnels to other nodes. Set the exported fields before Serve.
type Server struct {
	// Known reports whether an upstream has an address. Other addresses are refused.
	Known func(address string) bool
	// Dial opens a direct connection to an upstream.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Suspected reports whether this node may have lost its own path to upstreams, and Lost
	// whether it has.
	Suspected func(now time.Time) bool
	Lost      func() bool
	// Advised applies what an upstream asked for over a tunnel: that it leaves, or wants no
	// requests for a time.
	Advised func(address string, leaving bool, hold time.Duration)
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int
	Log        logrus.FieldLogger

	mu      sync.Mutex
	open    map[*tunnel]bool
	leaving bool
	changed chan struct{} // closed and replaced when a tunnel ends
}

// tunnel is one connection that the node keeps for another one.
type tunnel struct {
	stream   *websocket.Conn
	upstream net.Conn
	from     string
	address  string
	writes   sync.Mutex // of frames to the other node
}

// NewServer returns a server without tunnels.
func NewServer() *Server {
	return &Server{MaxTunnels: maxTunnels, open: make(map[*tunnel]bool), changed: make(chan struct{})}
}

// Serve serves one tunnel until it ends or ctx is done. It implements peer.StreamHandler.
func (s *Server) Serve(ctx context.Context, from string, stream *websocket.Conn) {
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	t := &tunnel{stream: stream, from: from}
	message, err := readRequest(stream)
	if err != nil {
		return // the other node has left, or is of another release
	}
	t.address = message.Address
	reply := s.connect(ctx, t)
	log := event.With(s.Log, event.TunnelOpened).WithFields(logrus.Fields{
		"request": message.Request, "node_from": from, "address": message.Address, "outcome": reply.Outcome, "reason": reply.Reason,
	})
	log.Info("another node asked for a connection to an upstream")
	if err := t.reply(reply); err == nil && t.upstream != nil {
		s.relay(t)
	}
	s.remove(t)
}

func readRequest(stream *websocket.Conn) (message wire.TunnelRequest, err error) {
	if err := stream.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
		return message, err
	}
	_, data, err := stream.ReadMessage()
	if err != nil {
		return message, err
	}
	return message, wire.Unmarshal(data, &message)
}

// connect admits a tunnel and connects it to its upstream.
func (s *Server) connect(ctx context.Context, t *tunnel) wire.TunnelReply {
	switch {
	case !s.Known(t.address):
		return wire.TunnelReply{Outcome: outcomeHelpless, Reason: "no upstream has this address"}
	case s.Lost():
		return wire.TunnelReply{Outcome: outcomeHelpless, Reason: "this node has lost its path too"}
	}
	if reason := s.add(t); reason != "" {
		return wire.TunnelReply{Outcome: outcomeHelpless, Reason: reason}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	upstream, err := s.Dial(ctx, t.address)
	if err != nil {
		if s.Suspected(time.Now()) {
			return wire.TunnelReply{Outcome: outcomeDoubtful, Reason: err.Error()}
		}
		return wire.TunnelReply{Outcome: outcomeUnreached, Reason: err.Error()}
	}
	t.upstream = http1.NewConn(upstream) // requests are written while a response is read
	return wire.TunnelReply{Outcome: outcomeOpen}
}

// add counts a tunnel, or returns why the node takes none.
func (s *Server) add(t *tunnel) (refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return "this node shuts down"
	case len(s.open) >= s.MaxTunnels:
		return "this node has no free tunnels"
	}
	s.open[t] = true
	return ""
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[t] {
		delete(s.open, t)
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Open returns the number of tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain takes no further tunnels, tells the other nodes to send no further requests, and
// waits until all tunnels have ended or ctx is done, which ends those that are left.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	// A node that does not read holds up the notice to it, but not those to others.
	told := make(chan struct{}, len(open))
	for _, t := range open {
		go func() {
			// A tunnel that cannot be told ends by itself.
			_ = t.write(websocket.TextMessage, []byte("leaving"))
			told <- struct{}{}
		}()
	}
	err := s.awaitEnds(ctx)
	for _, t := range open {
		_ = t.stream.Close() // which also ends a notice that is held up
	}
	for range open {
		<-told
	}
	return err
}

// awaitEnds waits until all tunnels have ended or ctx is done.
func (s *Server) awaitEnds(ctx context.Context) error {
	for {
		s.mu.Lock()
		left, changed := len(s.open), s.changed
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// relay copies bytes in both directions until the tunnel ends.
func (s *Server) relay(t *tunnel) {
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		s.copyRequests(t)
		_ = t.upstream.Close()
	}()
	if t.copyResponses() {
		// If the frame does not arrive, the other node takes the response as broken off.
		_ = t.write(websocket.CloseMessage, websocket.FormatCloseMessage(websocket.CloseNormalClosure, ""))
	}
	_ = t.upstream.Close()
	_ = t.stream.Close()
	<-requestsDone
}

// copyRequests copies what the other node sends until that ends.
func (s *Server) copyRequests(t *tunnel) {
	for t.stream.SetReadDeadline(time.Now().Add(idleTimeout)) == nil {
		kind, data, err := t.stream.ReadMessage()
		if err != nil {
			return
		}
		if kind == websocket.TextMessage {
			if leaving, hold, ok := parseAdvice(string(data)); ok {
				s.Advised(t.address, leaving, hold)
				continue
			}
			event.With(s.Log, event.RequestRelayed).WithFields(logrus.Fields{
				"request": string(data), "node_from": t.from, "address": t.address,
			}).Info("request of another node relayed")
			continue
		}
		if _, err := t.upstream.Write(data); err != nil {
			return
		}
	}
}

// copyResponses copies what the upstream sends. It reports whether the upstream ended the
// connection in an orderly way.
func (t *tunnel) copyResponses() (ended bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := t.upstream.Read(buffer)
		if n > 0 {
			// A long response needs no further requests to keep the tunnel.
			if t.write(websocket.BinaryMessage, buffer[:n]) != nil || t.stream.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// reply answers the request for the tunnel. A drain may write to the stream already.
func (t *tunnel) reply(message wire.TunnelReply) error {
	data, err := wire.Marshal(message)
	if err != nil {
		return err
	}
	return t.write(websocket.BinaryMessage, data)
}

// write sends one frame to the other node.
func (t *tunnel) write(kind int, data []byte) error {
	t.writes.Lock()
	defer t.writes.Unlock()
	if err := t.stream.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	return t.stream.WriteMessage(kind, data)
}
