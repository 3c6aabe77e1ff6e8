package capacity

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Sizes in bytes of the headers and trailers of a message on the wire, and of pings.
const (
	// PacketBytes is the size of the IPv4 and TCP headers with time stamps. A packet
	// without data, which acknowledges a one-way message, has the same size.
	PacketBytes = 52
	// TLSBytes is the number of bytes that TLS 1.3 adds to a record.
	TLSBytes = 22
	// maskBytes is the size of the masking key in WebSocket frames sent by the dialing
	// side.
	maskBytes = 4
	// PingBytes is the size of a WebSocket ping without data.
	PingBytes = 2 + maskBytes
	// callID is not a size but a typical request ID on a link that has been up for hours.
	// Larger IDs are encoded in more bytes.
	callID = 1 << 17
)

// FrameSize returns the size in bytes of the WebSocket frame, including the mask, that
// carries a message of the given kind between two nodes, or zero if the message cannot be
// encoded. call is true for requests and their replies, whose frames have a request ID.
func FrameSize(kind string, call bool, message any) int {
	body, err := wire.Marshal(message)
	if err != nil {
		return 0
	}
	e := wire.Envelope{Kind: kind, Body: body}
	if call {
		e.ID = callID
	}
	frame, err := wire.Marshal(e)
	if err != nil {
		return 0
	}
	return len(frame) + frameHeaderSize(len(frame)) + maskBytes
}

// frameHeaderSize returns the size in bytes of the header of a WebSocket frame without its mask.
func frameHeaderSize(payloadSize int) int {
	switch {
	case payloadSize < 126:
		return 2
	case payloadSize < 1<<16:
		return 4
	default:
		return 10
	}
}

// CPUTime returns the user and system processor time that this process has used.
func CPUTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveBytes runs the garbage collector and returns the bytes of live heap objects and
// of stacks in use.
func LiveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Counter counts the bytes received and sent by the connections that it dials.
type Counter struct{ In, Out atomic.Int64 }

// Dial can be used as the DialContext function of an HTTP transport.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Out.Add(int64(n))
	return n, err
}
