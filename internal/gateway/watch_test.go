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
