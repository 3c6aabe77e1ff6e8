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
	maxQueuedFrames = 1024
	maxQueuedBytes  = 16 << 20
	maxHandling     = 512 // requests of one peer that are handled at a time
)

// Times of a link. Both sides send pings, so that a live link is never silent for
// longer than the ping interval. A silent link is closed after the silence limit
// and dialled again at once, which together stays below 2 s.
const (
	pingInterval   = 400 * time.Millisecond
	silenceLimit   = 1400 * time.Millisecond
	suspectSilence = 1000 * time.Millisecond
	dialTimeout    = time.Second
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = time.Second
	// unusedLimit is how long a link that nobody asks for is dialled again.
	unusedLimit = 10 * time.Second
)

// Errors of sending.
var (
	// ErrUnreachable means that there is no connection to the node. A request that
	// fails with it may have arrived.
	ErrUnreachable = errors.New("node cannot be reached")
	// ErrFull means that the queue to the node is full.
	ErrFull = errors.New("queue to the node is full")
)

// FaultError is a failure that the other side reported.
type FaultError struct{ Text string }

func (e *FaultError) Error() string { return e.Text }

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
	// Private allows plain text to any address, because only the nodes' own VMs share
	// the network. Without it plain text is allowed on loopback only.
	Private bool
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
	ended  chan struct{} // one value for each goroutine that ended

	mu      sync.Mutex
	running int // goroutines
	closed  bool
	peers   map[string]*remote
}

// remote is what is known of one other node.
type remote struct {
	name    string
	link    *link
	changed chan struct{} // closed when link changes
	dialing bool
	wanted  time.Time // when the link was last asked for
}

// New returns links that Run has to serve.
func New(config Config) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		config: config, handlers: make(map[string]Handler), ctx: ctx, cancel: cancel,
		ended: make(chan struct{}), peers: make(map[string]*remote),
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
		case <-l.ended:
			l.mu.Lock()
			l.running--
			l.mu.Unlock()
		}
		l.mu.Lock()
		finished := l.closed && l.running == 0
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
	l.running++
	go func() {
		defer func() { l.ended <- struct{}{} }()
		f(l.ctx)
	}()
	return true
}

func (l *Links) remote(name string) *remote {
	r := l.peers[name]
	if r == nil {
		r = &remote{name: name, changed: make(chan struct{})}
		l.peers[name] = r
	}
	return r
}

// current returns the link to a node, which may be nil, and a channel that is
// closed when it changes. It starts to dial when there is none.
func (l *Links) current(name string) (*link, <-chan struct{}) {
	l.mu.Lock()
	r := l.remote(name)
	r.wanted = time.Now()
	current, changed := r.link, r.changed
	dial := current == nil && !r.dialing && !l.closed
	r.dialing = r.dialing || dial
	l.mu.Unlock()
	if dial {
		l.spawn(func(ctx context.Context) { l.dial(ctx, r) })
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
	link, _ := l.current(to)
	if link == nil {
		return ErrUnreachable
	}
	frame, err := encodeFrame(wire.Envelope{Kind: kind}, message)
	if err != nil {
		return err
	}
	return link.queue(frame)
}

// Call sends a request and decodes the reply into reply, unless it is nil. It waits
// for a link until ctx ends. When it fails, the request may have been handled.
func (l *Links) Call(ctx context.Context, to, kind string, message, reply any) error {
	link, changed := l.current(to)
	for link == nil {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s: %w", ErrUnreachable, to, ctx.Err())
		case <-l.ctx.Done():
			return fmt.Errorf("%w: %s: this node shuts down", ErrUnreachable, to)
		case <-changed:
		}
		link, changed = l.current(to)
	}
	body, err := link.call(ctx, kind, message)
	if err != nil || reply == nil {
		return err
	}
	return wire.Unmarshal(body, reply)
}

// Suspect closes the link to a node if it has been silent for longer than two
// pings, so that a node that waits for an answer need not wait for the silence
// limit.
func (l *Links) Suspect(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.peers[name]; r != nil && r.link != nil && r.link.silence() > 2*pingInterval {
		r.link.stop(errors.New("no answer and no ping"))
	}
}

// adopt makes a connection the link to a node. When both nodes dialled at the same
// time, both keep the connection that the node with the lower name dialled, unless
// the present one has fallen silent.
func (l *Links) adopt(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	r := l.remote(k.name)
	if old := r.link; old != nil {
		preferred := (old.dialed) == (l.config.Name < k.name)
		if old.dialed != k.dialed && preferred && old.silence() < suspectSilence {
			return false
		}
		old.stop(errReplaced)
	}
	l.setLink(r, k)
	return true
}

func (l *Links) setLink(r *remote, k *link) {
	r.link = k
	close(r.changed)
	r.changed = make(chan struct{})
}

// drop removes an ended link and dials again when the link is still wanted.
func (l *Links) drop(k *link) {
	l.mu.Lock()
	r := l.remote(k.name)
	if r.link != k {
		l.mu.Unlock()
		return
	}
	l.setLink(r, nil)
	again := !l.closed && !r.dialing && time.Since(r.wanted) < unusedLimit
	r.dialing = r.dialing || again
	l.mu.Unlock()
	if again {
		l.spawn(func(ctx context.Context) { l.dial(ctx, r) })
	}
}
