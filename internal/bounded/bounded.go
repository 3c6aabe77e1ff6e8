// Package bounded limits what may be read from a connection while the length of a message
// is not known yet, and what all open answers hold together. The HTTP parsers of the
// libraries read response heads of any length.
package bounded

import (
	"errors"
	"io"
)

// ErrTooLong is returned by a read beyond the limit.
var ErrTooLong = errors.New("message head exceeds the size limit")

// Reader is a reader with a limit that can be set and lifted. It is used by one goroutine
// at a time.
type Reader struct {
	Source io.Reader
	// Account counts the bytes read; nil if they count in no budget.
	Account *Account

	limited   bool
	remaining int
}

// Limit makes reads fail once n more bytes were read. They count as bytes of a head.
func (r *Reader) Limit(n int) { r.limited, r.remaining = true, n }

// Lift ends the limit.
func (r *Reader) Lift() { r.limited = false }

// Read implements io.Reader. The last read may exceed the limit by less than len(b).
func (r *Reader) Read(b []byte) (int, error) {
	if r.limited && r.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.Source.Read(b)
	r.remaining -= n
	factor := BodyFactor
	if r.limited {
		factor = HeadFactor
	}
	if over := r.Account.Add(factor * n); over != nil {
		return 0, over
	}
	return n, err
}
