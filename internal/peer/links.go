// Package peer implements the links between nodes: one WebSocket connection for each pair
// of nodes that communicate, which carries one-way messages, requests and replies in CBOR.
// Both sides of a link prove that they hold the shared key. A connection that falls silent
// is detected and replaced.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Limits of a link.
const (
	maxQueuedFrames       = 1024
	maxQueuedBytes        = 16 << 20
	maxConcurrentRequests = 512 // requests of one peer that are handled at a time
	// maxRequestBytes bounds the requests of all peers that are handled at a time.
	maxRequestBytes = 16 << 20
	// partBytes is the size of the parts of a frame, each of which has silenceTimeout to pass.
	partBytes = 64 << 10
)

// Timeouts of a link. Both sides send pings, so a live link is never silent for longer than
// pingInterval, except within a large frame, whose parts count like pings. A silent link is
// closed after silenceTimeout and redialed at once; both together take less than 2 s.
const (
	pingInterval   = 400 * time.Millisecond
	silenceTimeout = 1400 * time.Millisecond
	// replaceSilence is the silence after which any new connection replaces a link.
	replaceSilence = 1000 * time.Millisecond
	dialTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// unusedTimeout is the time since a link was last requested after which it is no longer
	// redialed.
	unusedTimeout = 10 * time.Second
)

// Errors of sending a message.
var (
	// ErrUnreachable means that there is no link to the node. A request that fails with it
	// may have arrived, because the link can end before the reply.
	ErrUnreachable = errors.New("node cannot be reached")
	// ErrQueueFull means that too many frames or bytes are queued for the node.
	ErrQueueFull = errors.New("queue to the node is full")
)

// RemoteError is an error that the other side returned for a request.
type RemoteError struct{ Text string }

func (e *RemoteError) Error() string { return e.Text }

// Handler handles a message. One-way messages of a peer are handled in order by the
// goroutine that reads from the connection, so their handlers must not block. Each request
// is handled in its own goroutine, and the result is sent as the reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Config configures the links of a node.
type Config struct {
	Name        string
	Incarnation uint64
	// Key is the key that all nodes share.
	Key []byte
	// TLS is the configuration for outgoing connections; nil means plain text.
	TLS *tls.Config
	// Address returns the host and port at which the named node accepts links.
	Address func(name string) (string, bool)
	Log     logrus.FieldLogger
	// PrivateNetwork allows plain text to any address. It is for networks that only the VMs of
	// the nodes share. Otherwise plain text is allowed on loopback only.
	PrivateNetwork bool
	// Version overrides the protocol version in tests.
	Version uint16
}

func (c Config) version() uint16 {
	if c.Version != 0 {
		return c.Version
	}
	return Version
}

// Links manages the links of a node to other nodes.
type Links struct {
	config   Config
	handlers map[string]Handler
	streams  map[string]StreamHandler

	ctx    context.Context
	cancel context.CancelFunc
	exited chan struct{} // receives one value for each goroutine that ends

	// requestBytes is the size of the requests that are being handled. It never exceeds
	// maxRequestBytes by more than one frame.
	requestBytes atomic.Int64

	mu         sync.Mutex
	goroutines int // running, started by spawn
	closed     bool
	peers      map[string]*peerState
}

// peerState is the state of the link to one other node.
type peerState struct {
	name          string
	link          *link
	linkChanged   chan struct{} // closed and replaced when link changes
	dialing       bool          // a dial goroutine is running
	lastRequested time.Time     // when a caller last requested the link
}

// New returns links that work once Run is called.
func New(config Config) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		config: config, handlers: make(map[string]Handler), streams: make(map[string]StreamHandler), ctx: ctx, cancel: cancel,
		exited: make(chan struct{}), peers: make(map[string]*peerState),
	}
}

// Handle sets the handler for a message kind. Call it only before Run.
func (l *Links) Handle(kind string, h Handler) { l.handlers[kind] = h }

// Run serves the links until ctx is done and returns when all their goroutines have ended.
func (l *Links) Run(ctx context.Context) {
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			l.close()
		case <-l.exited:
			l.mu.Lock()
			l.goroutines--
			l.mu.Unlock()
		}
		l.mu.Lock()
		finished := l.closed && l.goroutines == 0
		l.mu.Unlock()
		if finished {
			return
		}
	}
}

func (l *Links) close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, state := range l.peers {
		if state.link != nil {
			state.link.stop(errors.New("node is shutting down"))
		}
	}
}

// spawn runs f in a goroutine that Run waits for. It returns false, without running f, if
// the links are closed.
func (l *Links) spawn(f func(ctx context.Context)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines++
	go func() {
		defer func() { l.exited <- struct{}{} }()
		f(l.ctx)
	}()
	return true
}

func (l *Links) getOrCreatePeer(name string) *peerState {
	state := l.peers[name]
	if state == nil {
		state = &peerState{name: name, linkChanged: make(chan struct{})}
		l.peers[name] = state
	}
	return state
}

// getLink returns the link to a node, which may be nil, and a channel that is closed when
// the link changes. Without a link, it starts to dial the node.
func (l *Links) getLink(name string) (*link, <-chan struct{}) {
	l.mu.Lock()
	state := l.getOrCreatePeer(name)
	state.lastRequested = time.Now()
	current, changed := state.link, state.linkChanged
	dial := current == nil && !state.dialing && !l.closed
	state.dialing = state.dialing || dial
	l.mu.Unlock()
	if dial {
		l.spawn(func(ctx context.Context) { l.dial(ctx, state) })
	}
	return current, changed
}

// Connected reports whether there is a link to the node.
func (l *Links) Connected(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.peers[name]
	return state != nil && state.link != nil
}

// Send queues a one-way message. Without a link, it drops the message and returns
// ErrUnreachable.
func (l *Links) Send(to, kind string, message any) error {
	link, _ := l.getLink(to)
	if link == nil {
		return ErrUnreachable
	}
	frame, err := encodeFrame(wire.Envelope{Kind: kind}, message)
	if err != nil {
		return err
	}
	return link.enqueue(frame)
}

// Call sends a request and decodes the reply into reply, unless that is nil. It waits for a
// link until ctx is done. When it fails, the request may still have been handled.
func (l *Links) Call(ctx context.Context, to, kind string, message, reply any) error {
	link, changed := l.getLink(to)
	for link == nil {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s: %w", ErrUnreachable, to, ctx.Err())
		case <-l.ctx.Done():
			return fmt.Errorf("%w: %s: this node shuts down", ErrUnreachable, to)
		case <-changed:
		}
		link, changed = l.getLink(to)
	}
	body, err := link.call(ctx, kind, message)
	if err != nil || reply == nil {
		return err
	}
	return wire.Unmarshal(body, reply)
}

// CloseIfSilent closes the link to a node if it has been silent for longer than two ping
// intervals. A caller whose request timed out uses it to replace a dead link before
// silenceTimeout.
func (l *Links) CloseIfSilent(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.peers[name]; state != nil && state.link != nil && state.link.sinceLastFrame() > 2*pingInterval {
		state.link.stop(errors.New("peer sent neither a reply nor a ping"))
	}
}

// register makes candidate the link to its node, or returns false if the existing link is
// kept or the links are closed. When two nodes dial each other at the same time, both keep
// the connection that the node with the lower name dialed. A link is always replaced by a
// later connection that the same side dialed, and by any connection once it has been silent
// for replaceSilence.
func (l *Links) register(candidate *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	state := l.getOrCreatePeer(candidate.peerName)
	if existing := state.link; existing != nil {
		preferred := (existing.dialed) == (l.config.Name < candidate.peerName)
		if existing.dialed != candidate.dialed && preferred && existing.sinceLastFrame() < replaceSilence {
			return false
		}
		existing.stop(errReplaced)
	}
	l.setLink(state, candidate)
	return true
}

func (l *Links) setLink(state *peerState, link *link) {
	state.link = link
	close(state.linkChanged)
	state.linkChanged = make(chan struct{})
}

// unregister removes an ended link and redials the node if the link was requested recently.
func (l *Links) unregister(ended *link) {
	l.mu.Lock()
	state := l.getOrCreatePeer(ended.peerName)
	if state.link != ended {
		l.mu.Unlock()
		return
	}
	l.setLink(state, nil)
	redial := !l.closed && !state.dialing && time.Since(state.lastRequested) < unusedTimeout
	state.dialing = state.dialing || redial
	l.mu.Unlock()
	if redial {
		l.spawn(func(ctx context.Context) { l.dial(ctx, state) })
	}
}
