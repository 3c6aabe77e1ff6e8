package gateway

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// endedConn is a connection that the kernel has ended after a timeout, which it reports once.
type endedConn struct {
	net.Conn
	reads int
}

func (c *endedConn) Read([]byte) (int, error) {
	c.reads++
	if c.reads == 1 {
		return 0, syscall.ETIMEDOUT
	}
	return 0, io.EOF
}

func (c *endedConn) SetDeadline(time.Time) error     { return nil }
func (c *endedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an answer without a length that looks complete although its connection was
// ended by a timeout of the kernel.
func TestEndedConnectionIsNotTakenForSilent(t *testing.T) {
	c := newConn(&endedConn{}, "")
	onSilence := func(time.Time, time.Time) (time.Time, error) { return time.Time{}, nil }
	if err := c.startRequest(time.Now().Add(time.Minute), onSilence); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != syscall.ETIMEDOUT {
		t.Errorf("read of an ended connection: got %v, want %v", err, syscall.ETIMEDOUT)
	}
}

// Guards against a standby that has begun to answer and is not noticed until the upstream's silence
// is checked next, because it woke the connection between two reads.
func TestWakeBetweenReadsIsNotLost(t *testing.T) {
	own, other := net.Pipe()
	t.Cleanup(func() { _, _ = own.Close(), other.Close() })
	c := newConn(own, "")
	start := time.Now()
	onSilence := func(time.Time, time.Time) (time.Time, error) { return time.Time{}, errSuperseded }
	if err := c.startRequest(start.Add(5*time.Second), onSilence); err != nil {
		t.Fatal(err)
	}
	c.wake()
	if err := c.watchUntil(start.Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != errSuperseded {
		t.Errorf("read after a wake: got %v, want %v", err, errSuperseded)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("read after a wake: got it after %v, want it at once", took)
	}
}

// Guards against a standby that is started because the process was paused, although the upstream
// has gone on meanwhile.
func TestPauseOfProcessStartsNoStandby(t *testing.T) {
	now := time.Now()
	c := &call{deadline: now.Add(time.Minute)}
	next, err := c.checkSilence(now, now.Add(-lateWake), &attempt{})
	if want := now.Add(lateReadTimeout); !next.Equal(want) || err != nil {
		t.Errorf("late check: got the next one in %v, %v, want it in %v", next.Sub(now), err, lateReadTimeout)
	}
}
