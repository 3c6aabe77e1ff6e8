// Package bounded limits what may be read from a connection while the length of a message
// is not known yet, and what all open answers hold together. The HTTP parsers of the
// libraries read response heads of any length.
package bounded

import (
	"errors"
	"io"
)

// DistrustedHeadBytes is the limit of heads of an upstream that is distrusted.
const DistrustedHeadBytes = 16 << 10

// ErrTooLong is returned by a read beyond the limit.
var ErrTooLong = errors.New("message head exceeds the size limit")

// Reader is a reader with a limit that can be set and lifted. It is used by one goroutine
// at a time.
type Reader struct {
	Source io.Reader
	// Account counts the bytes read; nil if they count in no budget.
	Account *Account

	// Distrusted reports whether the limit is DistrustedHeadBytes for now, also if Limit set it
	// before; nil for never.
	Distrusted func() bool

	limited   bool
	remaining int
	read      int  // bytes since Limit
	exceeded  bool // a read failed since Limit
	failed    bool // a read of Source failed since Limit
}

// Limit makes reads fail once n more bytes were read. They count as bytes of a head.
func (r *Reader) Limit(n int) {
	r.limited, r.remaining, r.read, r.exceeded, r.failed = true, n, 0, false, false
}

// Exceeded reports whether a read has failed with ErrTooLong since Limit. A parser may return
// another error for the line that was cut off.
func (r *Reader) Exceeded() bool { return r.exceeded }

// Failed reports whether a read of Source has failed since Limit. Otherwise an error of a parser
// is due to the bytes.
func (r *Reader) Failed() bool { return r.failed }

// Lift ends the limit and returns how many bytes were read since Limit.
func (r *Reader) Lift() int {
	r.limited = false
	return r.read
}

// Read implements io.Reader. The last read may exceed the limit by less than len(b).
func (r *Reader) Read(b []byte) (int, error) {
	if r.limited && (r.remaining <= 0 || r.read >= DistrustedHeadBytes && r.Distrusted != nil && r.Distrusted()) {
		r.exceeded = true
		return 0, ErrTooLong
	}
	n, err := r.Source.Read(b)
	r.failed = r.failed || err != nil
	r.remaining -= n
	r.read += n
	factor := BodyFactor
	if r.limited && r.read > plainHeadBytes {
		factor = HeadFactor
	}
	if over := r.Account.Add(factor * n); over != nil {
		return 0, over
	}
	return n, err
}
