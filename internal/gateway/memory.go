package gateway

import (
	"io"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxCommentBytes bounds the comments of a stream before its next event.
	maxCommentBytes = 16 << 10
	// minBlockBytes is the size of the first buffer of a body without a length. That of one
	// with a length has room for the whole body, up to sizedBlockBytes. Each further buffer is
	// twice as large, up to maxBlockBytes. While the memory budget is pressed, only bodies up
	// to sizedBlockBytes are read in full, so that their calls can be retried.
	minBlockBytes   = 4 << 10
	sizedBlockBytes = 16 << 10
	maxBlockBytes   = 64 << 10
	// copyBufferBytes is the size of the buffer of a body that is forwarded as it arrives,
	// unless the memory budget is pressed.
	copyBufferBytes = 32 << 10
)

// openAccount makes what an attempt reads count in the memory budget.
func (g *Gateway) openAccount(a *attempt) {
	c := a.conn
	c.limit.Account = g.Budget.Open(func() { _ = c.Close() })
	c.limit.Distrusted = a.entry.distrusted
}

// closeAccount ends the account of an attempt. It reports whether its answer was not given up.
func (a *attempt) closeAccount() bool {
	account := a.conn.limit.Account
	a.conn.limit.Account, a.conn.limit.Distrusted = nil, nil
	return account.Close()
}

// hold sets the cost of what an attempt holds of its response: that of its buffers beside the
// head and what the connection's reader has.
func (a *attempt) hold(cost int) error {
	return a.conn.limit.Account.Set(a.conn.headCost + cost + bounded.BodyFactor*a.conn.reader.Buffered())
}

// readBlocks reads a body until its end, until limit bytes are read, or, beyond the first ones,
// while the memory budget is pressed. It returns true at the end of the body. What another
// attempt may answer as well is not cut short: to forward its start would end that attempt.
func (c *call) readBlocks(a *attempt, limit int) (blocks [][]byte, whole bool, err error) {
	a.conn.limit.Account.MarkSound()
	forwardable := !c.route.Repeatable() || !a.replaceable
	length := a.resp.ContentLength
	if length >= 0 {
		limit = int(min(int64(limit), max(length, 1)))
	}
	for size, allocated := firstBlockBytes(length), 0; allocated < limit; size = min(2*size, maxBlockBytes) {
		block := make([]byte, min(size, limit-allocated))
		allocated += len(block)
		for n := 0; n < len(block); {
			k, err := a.resp.Body.Read(block[n:])
			n += k
			switch over := a.hold(allocated); {
			case err == io.EOF:
				return append(blocks, block[:n]), true, nil
			case err != nil:
				return nil, false, err
			case over != nil:
				return nil, false, over
			case forwardable && c.g.Budget.Pressed() && allocated > sizedBlockBytes && n > 0:
				return append(blocks, block[:n]), false, nil
			}
		}
		blocks = append(blocks, block)
	}
	return blocks, false, nil
}

// firstBlockBytes returns the size of the first buffer of a body with a length; negative if it
// announces none.
func firstBlockBytes(length int64) int {
	if length < 0 {
		return minBlockBytes
	}
	return sizedBlockBytes
}

// copyBody forwards the rest of a body as it arrives, at most limit bytes unless that is
// negative.
func (c *call) copyBody(a *attempt, limit int64) *failure {
	size := copyBufferBytes
	if c.g.Budget.Pressed() {
		size = minBlockBytes
	}
	buffer := make([]byte, size)
	for copied := int64(0); ; {
		if err := a.hold(len(buffer)); err != nil {
			return &failure{verdict: verdict.Ran, cause: "cut", err: err}
		}
		n, err := a.resp.Body.Read(buffer)
		if _, err := c.w.Write(buffer[:n]); err != nil {
			return &failure{verdict: verdict.Ran, cause: "client", err: err}
		}
		copied += int64(n)
		switch {
		case err == io.EOF:
			return nil
		case err == nil && limit >= 0 && copied >= limit:
			err = errBodyTooLong
		}
		if err != nil {
			return &failure{verdict: verdict.Ran, cause: "cut", err: err}
		}
	}
}
