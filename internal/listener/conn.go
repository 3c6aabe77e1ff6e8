package listener

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	opened time.Time
	group  *Group // nil without a bound
	turn   *bounded.Turn
	// requests counts the requests whose head was read.
	requests atomic.Int64
	// whole is true from the end of a request's body to the end of its answer, and shown once it
	// was true.
	whole, shown atomic.Bool
	// begun is when the connection was opened or its last answer ended, progress when bytes were
	// last read, and writing when a write that has not returned began; Unix time in nanoseconds,
	// zero without one.
	begun, progress, writing atomic.Int64
	// queued is true while what was read waits for a turn.
	queued atomic.Bool
	// evicted is true once the group has given the connection up. The group's lock guards it.
	evicted bool

	mu sync.Mutex
	// parsed counts the bytes of the present request that went through a parser.
	parsed int
	// idle is true while the answer to the last request is complete and the next request
	// has not been read.
	idle bool
	// received is true once bytes of the next request have been read.
	received bool
	// ending is true while a read deadline in the past is in force, which makes the server
	// close the connection. Bytes that were read nevertheless lift it.
	ending bool
	// readDeadline is the read deadline that the server has set.
	readDeadline time.Time
	// head counts the bytes of a request head that is not complete; nil without a bound.
	head *bounded.Account
	// inRequest is true from the end of a request's head to the end of its answer.
	inRequest bool
}

// Read implements net.Conn. What a read returns is parsed until the next one, which is a turn of
// the group's lane if it is much work.
func (c *conn) Read(b []byte) (int, error) {
	c.turn.End()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.progress.Store(time.Now().UnixNano())
		var costly bool
		costly, err = c.receive(n, len(b), err)
		switch {
		case errors.Is(err, bounded.ErrOverBudget):
			return 0, err // what was read is not parsed
		case costly && err == nil && !c.await():
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// await waits for a turn. It returns false if the connection was given up meanwhile.
func (c *conn) await() bool {
	c.queued.Store(true)
	defer c.queued.Store(false)
	defer func() { c.progress.Store(time.Now().UnixNano()) }()
	return c.turn.Begin()
}

// giveUp closes the connection, so that the server's reads and writes fail.
func (c *conn) giveUp() {
	_ = c.Conn.Close()
	c.turn.Close()
}

// receive records that n bytes were read into a buffer of a size.
func (c *conn) receive(n, size int, err error) (costly bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = true
	err = errors.Join(err, c.resume())
	if !c.inRequest {
		err = errors.Join(err, c.head.Add(n*headFactor))
	}
	if size <= parserBytes {
		c.parsed += n
	}
	return size <= parserBytes && c.group != nil && (c.parsed > plainBytes || !c.shown.Load() && c.group.fresh.Load() > freshCrowd), err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(b)
}

// markWhole records that the present request was read to its end.
func (c *conn) markWhole() {
	c.turn.End()
	c.whole.Store(true)
	if c.group != nil && !c.shown.Swap(true) {
		c.group.fresh.Add(-1)
	}
}

// MarkWhole records that the request with this context was read to its end, so that its
// connection is not given up for others.
func MarkWhole(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		c.markWhole()
	}
}

// resume lifts the end of the connection, since a request has arrived on it. c.mu must be
// held.
func (c *conn) resume() error {
	if !c.ending {
		return nil
	}
	c.ending = false
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// SetLinger sets what a close does with unsent bytes, as that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// endRequest records that the answer to a request is complete.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.received, c.inRequest, c.parsed = true, false, false, 0
	c.whole.Store(false)
	c.begun.Store(time.Now().UnixNano())
	c.turn.End()
	c.turn.Reset()
}

// beginRequest records that the head of a request was read. The server may have had it in
// its buffer while the connection counted as idle.
func (c *conn) beginRequest() {
	c.requests.Add(1)
	c.turn.End()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.inRequest = false, true
	c.head.Keep(0)
	_ = c.resume() // fails on a closed connection, which the next read finds out
}

// end records that the connection is closed or no longer the server's.
func (c *conn) end() {
	c.turn.End()
	if c.group != nil {
		c.group.remove(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	if !c.head.Close() {
		c.group.count(formMemory)
	}
}

// endIfIdle ends the connection if it is idle or unused and has no unread bytes. The server
// then closes it.
func (c *conn) endIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := c.requests.Load() == 0 && now.Sub(c.opened) >= unusedTimeout
	if c.ending || c.received || !c.idle && !unused || readable(c.Conn) {
		return
	}
	// A deadline, unlike Close, ends only a read that has not returned any bytes yet. If it
	// cannot be set, the connection is closed already.
	c.ending = c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil
}
