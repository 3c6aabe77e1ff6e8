package listener

import (
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaystage/jaystage/internal/bounded"
)

const (
	// evictedAtOnce is the part of a group's bound that is given up together, so that a crowd
	// does not make the group look at all connections for each new one.
	evictedAtOnce = 1.0 / 32
	// stalledWrite is how long a write may wait for its client before the connection may be given
	// up for a new one.
	stalledWrite = time.Second
	// idleGrace is how long a connection must have been idle since its last answer before it may be
	// given up for a new one, so that clients that read nothing do not take the place of others.
	idleGrace = 5 * time.Second
	// newGrace is how long a connection may take to show a whole request before it may be given up
	// for a new one, while there is room for connections with whole requests and less than
	// freshShare of the bound have shown none. Ordinary callers that connect need some time to be
	// read.
	newGrace   = time.Second
	freshShare = 0.25
	// freshCrowd is the number of connections without a whole request from which on their first
	// reads take turns. Ordinary callers send a request as soon as they are connected.
	freshCrowd = 64
	// maxFirst is the number of connections that may wait for their first turn while new ones are
	// accepted in place of others.
	maxFirst = 32
	// headFactor is the memory that a byte of a request head takes: the parser reserves a map
	// entry for each line that has arrived, some 60 KB for 4 KiB of the shortest ones.
	headFactor = 16
	// parserBytes is the size of the server's reader. Longer reads copy a body; what is read
	// in smaller ones goes through a parser.
	parserBytes = 4 << 10
	// plainBytes is how much of a request goes through a parser before its reads take turns.
	// Heads and bodies of ordinary requests are shorter.
	plainBytes = 16 << 10
)

// Forms of connections that were given up.
const (
	formUnused  = "unused"  // sent nothing
	formHead    = "head"    // stopped in a head
	formBody    = "body"    // stopped in a body
	formUnread  = "unread"  // does not read its answer
	formIdle    = "idle"    // has carried whole requests and is idle
	formRefused = "refused" // a new one, as all others carry whole requests
	formMemory  = "memory"  // its head was the longest when all together held too much
)

// Group bounds what the connections of a node's listeners take together. When there are too
// many, those are closed first that have never carried a whole request and have made no progress
// for longest. A connection with a whole request is not closed unless its client reads nothing.
// It implements expvar.Var.
type Group struct {
	shares bounded.Shares
	// Heads bounds what the unfinished request heads of all connections hold. The connections
	// with the longest ones are closed when they hold more.
	Heads *bounded.Budget
	// Lane makes connections take turns whose requests cost much work for their length.
	Lane *bounded.Lane

	// fresh is the number of connections that have not carried a whole request.
	fresh atomic.Int64

	mu      sync.Mutex
	conns   map[*conn]bool
	leaving int // connections that were given up and have not ended
	givenUp map[string]uint64
}

// NewGroup returns a group without connections.
func NewGroup(s bounded.Shares) *Group {
	return &Group{shares: s, Heads: bounded.NewBudget(s.Heads), Lane: bounded.NewLane(), conns: make(map[*conn]bool), givenUp: make(map[string]uint64)}
}

// String implements expvar.Var.
func (g *Group) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	doc := struct {
		Open    int               `json:"open"`
		Limit   int               `json:"limit"`
		Fresh   int64             `json:"fresh"`
		Heads   int               `json:"heads"`
		Turns   uint64            `json:"turns"`
		GivenUp map[string]uint64 `json:"given"`
	}{len(g.conns), g.shares.Connections, g.fresh.Load(), g.Heads.Held(), g.Lane.Turns(), g.givenUp}
	body, err := json.Marshal(doc)
	if err != nil {
		return "null"
	}
	return string(body)
}

// open returns the number of connections.
func (g *Group) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// count counts a connection that was given up by its form.
func (g *Group) count(form string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.givenUp[form]++
}

// crowded reports whether further connections should wait in the kernel's backlog: so many that
// were given up have not ended, and still hold memory, or so many new ones have not had their
// first turn, and would be given up for the next ones before they can show a request.
func (g *Group) crowded() bool {
	g.mu.Lock()
	full, leaving := len(g.conns) >= g.shares.Connections, g.leaving
	g.mu.Unlock()
	return leaving > g.shares.Connections/2 || full && g.Lane.First() > maxFirst
}

// full reports whether the next connection takes the place of another one.
func (g *Group) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) >= g.shares.Connections
}

// add counts a new connection and gives others up if there are too many. It reports false if the
// new one must be closed.
func (g *Group) add(now time.Time, c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// While few have shown no request, those that come are ordinary callers.
	n, most, grace := len(g.conns), g.shares.Connections, time.Duration(0)
	if g.fresh.Load() < int64(freshShare*float64(most)) && n < g.shares.WholeConnections {
		most, grace = g.shares.WholeConnections, newGrace
	}
	if n >= g.shares.Connections && !g.evict(now, grace) && n >= most {
		g.givenUp[formRefused]++
		return false
	}
	g.conns[c] = true
	g.fresh.Add(1)
	return true
}

// remove forgets a connection that has ended.
func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.conns[c]:
		delete(g.conns, c)
	case c.evicted:
		g.leaving--
	default:
		return
	}
	if !c.shown.Swap(true) {
		g.fresh.Add(-1)
	}
}

// candidate is a connection that may be given up.
type candidate struct {
	*conn
	form string
	// rank is lower for what is given up sooner, and since the time of its last progress.
	rank  int
	since int64
}

// evict gives connections up that have made no progress for a grace; false if there is none to give
// up. g.mu must be held.
func (g *Group) evict(now time.Time, grace time.Duration) bool {
	var list []candidate
	for c := range g.conns {
		if k, ok := c.candidate(now); ok && now.UnixNano()-k.since >= int64(grace) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(max(-1, min(1, a.since-b.since)))
	})
	n := max(1, int(evictedAtOnce*float64(g.shares.Connections)))
	for _, k := range list[:min(n, len(list))] {
		delete(g.conns, k.conn)
		k.evicted = true
		g.leaving++
		g.givenUp[k.form]++
		k.giveUp()
	}
	return len(list) > 0
}

// candidate returns how a connection ranks among those that are given up; false if it must not
// be, as it carries a whole request.
func (c *conn) candidate(now time.Time) (candidate, bool) {
	// A head has made progress when its connection began it: one that comes at a trickle takes the
	// place of new ones as much as one that stands still.
	k := candidate{conn: c, since: c.begun.Load()}
	writing := c.writing.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case writing != 0 && now.UnixNano()-writing > int64(stalledWrite):
		k.form, k.since = formUnread, writing
	case c.whole.Load():
		return k, false
	case c.idle && !c.received:
		k.form, k.rank = formIdle, 2
		return k, now.UnixNano()-k.since > int64(idleGrace)
	case c.inRequest:
		k.form, k.since = formBody, c.progress.Load()
		if c.queued.Load() {
			k.since = now.UnixNano() // this node makes it wait
		}
	case c.received:
		k.form = formHead
	default:
		k.form = formUnused
	}
	if c.shown.Load() {
		k.rank = 1
	}
	return k, true
}

// setWindow sets the buffers of the sockets that a listener accepts. The kernel would otherwise
// grow them to several MB each.
func setWindow(l net.Listener, n int) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	// A socket that cannot be set keeps the kernel's buffers.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n)
	})
}
