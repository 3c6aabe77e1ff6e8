package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

var errReplaced = errors.New("replaced by a newer connection")

func asClose(err error, target **websocket.CloseError) bool { return errors.As(err, target) }

// link is one established connection.
type link struct {
	links  *Links
	name   string
	dialed bool // by this node
	conn   *websocket.Conn
	heard  atomic.Int64 // time of the last frame, nanoseconds since start
	start  time.Time
	out    chan []byte
	bytes  atomic.Int64 // queued
	busy   chan struct{}
	done   chan struct{} // closed when the link has ended

	mu    sync.Mutex
	next  uint64
	calls map[uint64]chan wire.Envelope
	cause error
}

func (l *Links) newLink(name string, conn *websocket.Conn, dialed bool) *link {
	return &link{
		links: l, name: name, dialed: dialed, conn: conn, start: time.Now(),
		out: make(chan []byte, maxQueuedFrames), busy: make(chan struct{}, maxHandling),
		done: make(chan struct{}), calls: make(map[uint64]chan wire.Envelope),
	}
}

func (k *link) silence() time.Duration { return time.Since(k.start) - time.Duration(k.heard.Load()) }

// stop ends the link; the first cause is kept.
func (k *link) stop(cause error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cause != nil {
		return
	}
	k.cause = cause
	close(k.done)
	_ = k.conn.Close()
}

// serve runs an adopted link until it ends.
func (k *link) serve(ctx context.Context) {
	log := k.links.config.Log.WithField("peer", k.name)
	event.With(log, event.LinkUp).Debug("link to node established")
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		k.write()
	}()
	k.stop(k.read(ctx))
	<-writer
	k.links.drop(k)
	if !errors.Is(k.cause, errReplaced) && ctx.Err() == nil {
		event.With(log, event.LinkDown).WithError(k.cause).Info("link to node ended")
	}
}

// write sends queued frames, and pings when nothing else falls due.
func (k *link) write() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-k.done:
			return
		case frame := <-k.out:
			k.bytes.Add(-int64(len(frame)))
			_ = k.conn.SetWriteDeadline(time.Now().Add(silenceLimit))
			err = k.conn.WriteMessage(websocket.BinaryMessage, frame)
		case <-ticker.C:
			err = k.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(silenceLimit))
		}
		if err != nil {
			k.stop(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// alive notes that the other side was heard.
func (k *link) alive() {
	k.heard.Store(int64(time.Since(k.start)))
	_ = k.conn.SetReadDeadline(time.Now().Add(silenceLimit))
}

func (k *link) read(ctx context.Context) error {
	k.conn.SetReadLimit(MaxFrameBytes)
	// A ping needs no answer: the other side's pings show that it is alive.
	k.conn.SetPingHandler(func(string) error { k.alive(); return nil })
	k.alive()
	for {
		kind, data, err := k.conn.ReadMessage()
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		k.alive()
		if kind != websocket.BinaryMessage {
			return fmt.Errorf("%w: not binary", errFrame)
		}
		e, err := decodeFrame(data)
		if err != nil {
			return err
		}
		k.dispatch(ctx, e)
	}
}

func (k *link) dispatch(ctx context.Context, e wire.Envelope) {
	if e.Reply {
		k.mu.Lock()
		waiting := k.calls[e.ID]
		delete(k.calls, e.ID)
		k.mu.Unlock()
		if waiting != nil {
			waiting <- e
		}
		return
	}
	handler := k.links.handlers[e.Kind]
	if e.ID == 0 {
		if handler != nil {
			_, _ = handler(ctx, k.name, e.Body)
		}
		return
	}
	if handler == nil {
		k.reply(e, nil, fmt.Errorf("this node does not handle messages of kind %q", e.Kind))
		return
	}
	select {
	case k.busy <- struct{}{}:
	default:
		k.reply(e, nil, errors.New("too many open requests of this node"))
		return
	}
	k.links.spawn(func(ctx context.Context) {
		defer func() { <-k.busy }()
		result, err := handler(ctx, k.name, e.Body)
		k.reply(e, result, err)
	})
}

// reply answers a request. A reply that cannot be queued is lost; the other side's
// request then ends with its context.
func (k *link) reply(request wire.Envelope, result any, failure error) {
	e := wire.Envelope{Kind: request.Kind, ID: request.ID, Reply: true}
	if failure != nil {
		e.Fault, result = failure.Error(), nil
	}
	frame, err := encodeFrame(e, result)
	if err != nil {
		e.Fault = err.Error()
		frame, err = encodeFrame(e, nil)
	}
	if err == nil {
		_ = k.queue(frame)
	}
}

func (k *link) queue(frame []byte) error {
	if k.bytes.Load() > maxQueuedBytes {
		return ErrFull
	}
	select {
	case <-k.done:
		return ErrUnreachable
	default:
	}
	k.bytes.Add(int64(len(frame)))
	select {
	case k.out <- frame:
		return nil
	default:
		k.bytes.Add(-int64(len(frame)))
		return ErrFull
	}
}

func (k *link) call(ctx context.Context, kind string, message any) ([]byte, error) {
	answer := make(chan wire.Envelope, 1)
	k.mu.Lock()
	k.next++
	id := k.next
	k.calls[id] = answer
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.calls, id)
		k.mu.Unlock()
	}()
	frame, err := encodeFrame(wire.Envelope{Kind: kind, ID: id}, message)
	if err != nil {
		return nil, err
	}
	if err := k.queue(frame); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("no reply from %s to %s: %w", k.name, kind, ctx.Err())
	case <-k.done:
		return nil, fmt.Errorf("%w: %s: the link ended before the reply", ErrUnreachable, k.name)
	case e := <-answer:
		if e.Fault != "" {
			return nil, &FaultError{Text: e.Fault}
		}
		return e.Body, nil
	}
}
