// Package peer holds the links between nodes: one WebSocket connection for each
// pair of nodes that communicate, with CBOR messages, requests and replies. A link
// proves the shared key in both directions, notices a silent connection and
// replaces it.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Bounds of a link.
const (
	maxQueuedFrames       = 1024
	maxQueuedBytes        = 16 << 20
	maxConcurrentRequests = 512 // requests of one peer that are handled at a time
)

// Times of a link. Both sides send pings, so that a live link is never silent for
// longer than the ping interval. A silent link is closed after the silence limit
// and dialled again at once, which together stays below 2 s.
const (
	pingInterval   = 400 * time.Millisecond
	silenceTimeout = 1400 * time.Millisecond
	replaceSilence = 1000 * time.Millisecond
	dialTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// unusedLimit is how long a link that nobody asks for is dialled again.
	unusedTimeout = 10 * time.Second
)

// Errors of sending.
var (
	// ErrUnreachable means that there is no connection to the node. A request that
	// fails with it may have arrived.
	ErrUnreachable = errors.New("node cannot be reached")
	// ErrQueueFull means that the queue to the node is full.
	ErrQueueFull = errors.New("queue to the node is full")
)

// RemoteError is a failure that the other side reported.
type RemoteError struct{ Text string }

func (e *RemoteError) Error() string { return e.Text }

// Handler handles one message. One-way messages of a peer are handled in order, by
// the goroutine that reads from the connection: their handlers must not block.
// Each request has a goroutine of its own; its result is the reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Config describes this node's side of its links.
type Config struct {
	Name        string
	Incarnation uint64
	// Key is the shared key.
	Key []byte
	// TLS is the client's configuration; nil for plain text.
	TLS *tls.Config
	// Address returns the host and port of a node's listener for peers.
	Address func(name string) (string, bool)
	Log     logrus.FieldLogger
	// PrivateNetwork allows plain text to any address, because only the nodes' own VMs share
	// the network. Without it plain text is allowed on loopback only.
	PrivateNetwork bool
	// Version overrides the protocol version; only tests set it.
	Version uint16
}

func (c Config) version() uint16 {
	if c.Version != 0 {
		return c.Version
	}
	return Version
}

// Links holds the links of one node.
type Links struct {
	config   Config
	handlers map[string]Handler

	ctx    context.Context
	cancel context.CancelFunc
	exited chan struct{} // one value for each goroutine that ended

	mu         sync.Mutex
	goroutines int // goroutines
	closed     bool
	peers      map[string]*peerState
}

// peerState is what is known of one other node.
type peerState struct {
	name          string
	link          *link
	linkChanged   chan struct{} // closed when link changes
	dialing       bool
	lastRequested time.Time // when the link was last asked for
}

// New returns links that Run has to serve.
func New(config Config) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		config: config, handlers: make(map[string]Handler), ctx: ctx, cancel: cancel,
		exited: make(chan struct{}), peers: make(map[string]*peerState),
	}
}

// Handle sets the handler of a kind. All handlers are set before Run.
func (l *Links) Handle(kind string, h Handler) { l.handlers[kind] = h }

// Run serves the links until ctx ends and returns once all their goroutines have
// ended.
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
	for _, r := range l.peers {
		if r.link != nil {
			r.link.stop(errors.New("node shuts down"))
		}
	}
}

// spawn runs f in a goroutine whose end Run waits for; false once Run is ending.
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
	r := l.peers[name]
	if r == nil {
		r = &peerState{name: name, linkChanged: make(chan struct{})}
		l.peers[name] = r
	}
	return r
}

// getLink returns the link to a node, which may be nil, and a channel that is
// closed when it changes. It starts to dial when there is none.
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
	r := l.peers[name]
	return r != nil && r.link != nil
}

// Send queues a one-way message. Without a link the message is dropped.
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

// Call sends a request and decodes the reply into reply, unless it is nil. It waits
// for a link until ctx ends. When it fails, the request may have been handled.
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

// CloseIfSilent closes the link to a node if it has been silent for longer than two
// pings, so that a node that waits for an answer need not wait for the silence
// limit.
func (l *Links) CloseIfSilent(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.peers[name]; r != nil && r.link != nil && r.link.sinceLastFrame() > 2*pingInterval {
		r.link.stop(errors.New("no answer and no ping"))
	}
}

// register makes a connection the link to a node. When both nodes dialled at the same
// time, both keep the connection that the node with the lower name dialled, unless
// the present one has fallen silent.
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

// unregister removes an ended link and dials again when the link is still wanted.
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
