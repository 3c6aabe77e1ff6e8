package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateCloseWait is the TCP state of a connection that the peer has closed in an orderly way
// and that was not reset since.
const stateCloseWait = 8

// Conn is a TCP connection whose reads never take a reset for the end of what the peer sends.
//
// The kernel reports a reset once, to a read or a write, whichever comes first; the other one
// then sees an ordinary end of file. While a request is still being written, a response that
// ends with its connection would therefore look complete although it was cut.
type Conn struct {
	net.Conn

	// write is held during a write, so that a read can wait for what it returns.
	write sync.Mutex
	// writeErr is why the first write failed; guarded by write.
	writeErr error
}

// NewConn returns a connection that watches conn. The reads and writes must go through it.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.write.Lock()
	defer c.write.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed the connection, and
// an error that wraps syscall.ECONNRESET if a write was told that the connection is broken.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if broken := c.brokenBy(); broken != nil {
		return n, errors.Join(syscall.ECONNRESET, broken)
	}
	return n, io.EOF
}

// brokenBy returns the error with which a write failed because the connection is broken; nil
// if the peer closed it.
func (c *Conn) brokenBy() error {
	if !c.write.TryLock() {
		if c.closedByPeer() {
			return nil // the peer may go on reading what is being written
		}
		c.write.Lock() // a write on a connection that is no longer open returns
	}
	defer c.write.Unlock()
	switch {
	case errors.Is(c.writeErr, syscall.EPIPE): // the peer had closed the connection before
		return nil
	case errors.Is(c.writeErr, os.ErrDeadlineExceeded), errors.Is(c.writeErr, net.ErrClosed):
		return nil // by this side
	}
	return c.writeErr
}

// closedByPeer reports whether the connection is half open: the peer has closed its side.
func (c *Conn) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == stateCloseWait
	})
	return err == nil && closed
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
