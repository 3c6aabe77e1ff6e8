package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"

	"github.com/jaystage/jaystage/internal/crash"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

var errReplaced = errors.New("replaced by a newer connection")

func asCloseError(err error, target **websocket.CloseError) bool { return errors.As(err, target) }

// link is an established connection to another node.
type link struct {
	links        *Links
	peerName     string
	dialed       bool // this node opened the connection
	conn         *websocket.Conn
	lastReceived atomic.Int64 // when the last part of a frame or ping arrived, in nanoseconds since startTime
	startTime    time.Time
	sendQueue    chan []byte
	queuedBytes  atomic.Int64  // in sendQueue
	requestSlots chan struct{} // one value for each request that is being handled
	done         chan struct{} // closed by stop

	mu           sync.Mutex
	lastCallID   uint64
	pendingCalls map[uint64]chan wire.Envelope
	cause        error
}

func (l *Links) newLink(name string, conn *websocket.Conn, dialed bool) *link {
	return &link{
		links: l, peerName: name, dialed: dialed, conn: conn, startTime: time.Now(),
		sendQueue: make(chan []byte, maxQueuedFrames), requestSlots: make(chan struct{}, maxConcurrentRequests),
		done: make(chan struct{}), pendingCalls: make(map[uint64]chan wire.Envelope),
	}
}

func (l *link) sinceLastFrame() time.Duration {
	return time.Since(l.startTime) - time.Duration(l.lastReceived.Load())
}

// stop closes the link. Only the first call has an effect and sets the cause.
func (l *link) stop(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause != nil {
		return
	}
	l.cause = cause
	close(l.done)
	_ = l.conn.Close()
}

// serve runs a registered link until it ends.
func (l *link) serve(ctx context.Context) {
	log := l.links.config.Log.WithField("peer", l.peerName)
	event.With(log, event.LinkUp).Debug("link to node established")
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		l.writeLoop()
	}()
	l.stop(l.readLoop(ctx))
	<-writerDone
	l.links.unregister(l)
	if !errors.Is(l.cause, errReplaced) && ctx.Err() == nil {
		event.With(log, event.LinkDown).WithError(l.cause).Info("link to node closed")
	}
}

// writeLoop sends the queued frames, and a ping every pingInterval.
func (l *link) writeLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-l.done:
			return
		case frame := <-l.sendQueue:
			l.queuedBytes.Add(-int64(len(frame)))
			err = l.writeFrame(frame)
		case <-ticker.C:
			err = l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(silenceTimeout))
		}
		if err != nil {
			l.stop(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// writeFrame sends a frame. Each part of it has its own deadline, so that a large frame over a
// slow path does not end a link that makes progress.
func (l *link) writeFrame(frame []byte) error {
	w, err := l.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for part := range slices.Chunk(frame, partBytes) {
		_ = l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
	return w.Close()
}

// readFrame reads a frame. Each part of it has its own deadline, as in writeFrame.
func (l *link) readFrame() ([]byte, error) {
	// The time in which this node handled the last frame is no silence of the other side.
	_ = l.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
	kind, r, err := l.conn.NextReader()
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if kind != websocket.BinaryMessage {
		return nil, fmt.Errorf("%w: not binary", errInvalidFrame)
	}
	var data bytes.Buffer
	for {
		_, err := io.CopyN(&data, r, partBytes)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("read: %w", err)
		}
		l.recordReceived()
		if err != nil {
			return data.Bytes(), nil
		}
	}
}

// recordReceived records that a part of a frame or a ping arrived and extends the read deadline.
func (l *link) recordReceived() {
	l.lastReceived.Store(int64(time.Since(l.startTime)))
	_ = l.conn.SetReadDeadline(time.Now().Add(silenceTimeout))
}

func (l *link) readLoop(ctx context.Context) error {
	l.conn.SetReadLimit(MaxFrameBytes)
	// A ping needs no pong, because both sides send pings.
	l.conn.SetPingHandler(func(string) error { l.recordReceived(); return nil })
	l.recordReceived()
	for {
		data, err := l.readFrame()
		if err != nil {
			return err
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return err
		}
		l.dispatch(ctx, frame)
	}
}

// dispatch passes a reply to the waiting call and any other message to its handler.
func (l *link) dispatch(ctx context.Context, frame wire.Envelope) {
	if frame.Reply {
		l.mu.Lock()
		call := l.pendingCalls[frame.ID]
		delete(l.pendingCalls, frame.ID)
		l.mu.Unlock()
		if call != nil {
			call <- frame
		}
		return
	}
	handler := l.links.handlers[frame.Kind]
	if frame.ID == 0 {
		if handler != nil {
			_, _ = l.handle(ctx, handler, frame)
		}
		return
	}
	if handler == nil {
		l.reply(frame, nil, fmt.Errorf("this node does not handle messages of kind %q", frame.Kind))
		return
	}
	if !l.admit(frame) {
		l.reply(frame, nil, errors.New("too many open requests of this node"))
		return
	}
	l.links.spawn(func(ctx context.Context) {
		defer l.release(frame)
		result, err := l.handle(ctx, handler, frame)
		l.reply(frame, result, err)
	})
}

// admit counts a request that is to be handled, unless too many are already.
func (l *link) admit(frame wire.Envelope) bool {
	if l.links.requestBytes.Load() > maxRequestBytes {
		return false
	}
	select {
	case l.requestSlots <- struct{}{}:
	default:
		return false
	}
	l.links.requestBytes.Add(int64(len(frame.Body)))
	return true
}

func (l *link) release(frame wire.Envelope) {
	l.links.requestBytes.Add(-int64(len(frame.Body)))
	<-l.requestSlots
}

// errPanicked is the reply to a request whose handler panicked.
var errPanicked = errors.New("the handler of the message failed")

// handle calls a handler. A panic ends only this message, so that no message of another
// node ends the process.
func (l *link) handle(ctx context.Context, handler Handler, frame wire.Envelope) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			crash.Record(l.links.config.Log.WithField("peer", l.peerName), "message "+frame.Kind, p)
			result, err = nil, errPanicked
		}
	}()
	return handler(ctx, l.peerName, frame.Body)
}

// reply sends the reply to a request. A reply that cannot be queued is dropped; the call
// on the other side then fails when its context is done.
func (l *link) reply(request wire.Envelope, result any, failure error) {
	response := wire.Envelope{Kind: request.Kind, ID: request.ID, Reply: true}
	if failure != nil {
		response.Fault, result = failure.Error(), nil
	}
	frame, err := encodeFrame(response, result)
	if err != nil {
		response.Fault = err.Error()
		frame, err = encodeFrame(response, nil)
	}
	if err == nil {
		_ = l.enqueue(frame)
	}
}

// enqueue queues a frame for writeLoop. It never blocks.
func (l *link) enqueue(frame []byte) error {
	if l.queuedBytes.Load() > maxQueuedBytes {
		return ErrQueueFull
	}
	select {
	case <-l.done:
		return ErrUnreachable
	default:
	}
	l.queuedBytes.Add(int64(len(frame)))
	select {
	case l.sendQueue <- frame:
		return nil
	default:
		l.queuedBytes.Add(-int64(len(frame)))
		return ErrQueueFull
	}
}

func (l *link) call(ctx context.Context, kind string, message any) ([]byte, error) {
	replies := make(chan wire.Envelope, 1)
	l.mu.Lock()
	l.lastCallID++
	id := l.lastCallID
	l.pendingCalls[id] = replies
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingCalls, id)
		l.mu.Unlock()
	}()
	frame, err := encodeFrame(wire.Envelope{Kind: kind, ID: id}, message)
	if err != nil {
		return nil, err
	}
	if err := l.enqueue(frame); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("no reply from %s to %s: %w", l.peerName, kind, ctx.Err())
	case <-l.done:
		return nil, fmt.Errorf("%w: %s: the link ended before the reply", ErrUnreachable, l.peerName)
	case reply := <-replies:
		if reply.Fault != "" {
			return nil, &RemoteError{Text: reply.Fault}
		}
		return reply.Body, nil
	}
}
