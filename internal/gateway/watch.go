package gateway

import (
	"errors"
	"os"
	"sync"
	"time"
)

// silenceWatch decides what happens when nothing arrives on a connection. Parsers cannot go on
// after a read that failed, so the decision is taken within the read.
type silenceWatch struct {
	// end is when reads fail; zero for never.
	end time.Time
	// onSilence is called when nothing has arrived by next, and after a call of wake. It returns
	// when it is to be called again, zero for never, or the error with which the read fails. It
	// is nil if reads only fail at end.
	onSilence func(now, due time.Time) (next time.Time, err error)

	mu    sync.Mutex
	next  time.Time
	woken bool
}

// startRequest sets the end of the reads and writes of the next request, and what is called
// when nothing arrives in time.
func (c *conn) startRequest(end time.Time, onSilence func(now, due time.Time) (time.Time, error)) error {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	c.watch.end, c.watch.onSilence, c.watch.next, c.watch.woken = end, onSilence, time.Time{}, false
	return c.SetDeadline(end)
}

// watchUntil sets when onSilence is called next; zero for never.
func (c *conn) watchUntil(next time.Time) error {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	c.watch.next = next
	if c.watch.woken {
		return nil // the read that is to be woken has not noticed it yet
	}
	if next.IsZero() || next.After(c.watch.end) {
		next = c.watch.end
	}
	return c.SetReadDeadline(next)
}

// wake makes the present read, or the next one, call onSilence. Another goroutine may call it
// while the request is open.
func (c *conn) wake() {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	c.watch.woken = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection only, whose reads fail
}

// takeDue returns when the call of onSilence was due; zero if the read was woken.
func (w *silenceWatch) takeDue() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := w.woken
	w.woken = false
	if woken {
		return time.Time{}
	}
	return w.next
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		// After a timeout of the kernel the connection has ended, and a further read may return
		// io.EOF.
		if n > 0 || err == nil || c.watch.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := time.Now()
		next, stop := c.watch.onSilence(now, c.watch.takeDue())
		switch {
		case stop != nil:
			return 0, stop
		case !now.Before(c.watch.end):
			return 0, err
		}
		if err := c.watchUntil(next); err != nil {
			return 0, err
		}
	}
}
