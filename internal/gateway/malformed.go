package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/http1"
	"github.com/jaystage/jaystage/pkg/stream"
)

const (
	// distrustedEventBytes bounds an event of an upstream whose last answers were malformed.
	distrustedEventBytes = 32 << 10
	// malformedCost is the cost of bytes that complete no head or event above which an answer
	// that is late counts as malformed.
	malformedCost = bounded.BodyFactor * distrustedEventBytes
	// maxKnownBytes is the length up to which an answer that announces it is taken to end.
	maxKnownBytes = 16 << 20
)

// distrusted reports whether the answers of the upstream keep lower limits.
func (e *upstreamEntry) distrusted() bool {
	until := e.distrustedUntil.Load()
	return until != 0 && time.Now().UnixNano() < until
}

// hasEnd reports whether the answer announces a length that it may well have. If it is given up,
// that is due to what others hold, such as clients that do not read.
func (a *attempt) hasEnd() bool {
	return a.resp != nil && a.resp.ContentLength >= 0 && a.resp.ContentLength <= maxKnownBytes
}

// markMalformed tells a failure because the bytes of an upstream were no answer, or held too
// much memory, from others.
func (a *attempt) markMalformed(f *failure) {
	switch {
	case f == nil || f.isOwn() || a.conn == nil:
	case a.conn.limit.Account.GivenUp():
		f.malformed, f.cause, f.err = !a.hasEnd(), "budget", bounded.ErrOverBudget
	case errors.Is(f.err, bounded.ErrTooLong), errors.Is(f.err, http1.ErrMalformed):
		f.malformed, f.cause = true, "head"
	case errors.Is(f.err, stream.ErrEventTooLong), errors.Is(f.err, errOnlyOthers), errors.Is(f.err, errStrayTooLong):
		f.malformed = true
	case a.resp != nil && f.brokenOff() && !errors.Is(f.err, io.ErrUnexpectedEOF) && !a.conn.limit.Failed():
		f.malformed = true // chunks or trailers that cannot be parsed, or a body that does not end
	case f.isSilence() && (a.resp == nil || a.answer.buffer != nil):
		f.malformed = a.conn.limit.Account.Cost() > malformedCost
	}
	if f != nil && f.malformed {
		a.held = a.conn.limit.Account.Cost()
	}
}

// recordMalformed records an answer that was given up because its bytes were none. The lock of
// the upstreams must be held.
func (c *call) recordMalformed(now time.Time, a *attempt, f *failure) {
	entry := a.entry
	known, banned := entry.Distrusted(now), entry.Banned(now)
	entry.RecordMalformed(now)
	entry.distrustedUntil.Store(entry.DistrustedUntil().UnixNano())
	c.g.Metrics.countMalformed(a.upstream.ID, a.held)
	if known && banned == entry.Banned(now) {
		return // one line for the answers that fail together
	}
	event.With(c.g.Log, event.UpstreamMalformed).WithFields(logrus.Fields{
		"request": c.id, "upstream": a.upstream.ID, "address": a.upstream.Address, "cause": f.cause, "bytes": a.held,
		"held": c.g.Budget.Held(), "limit": c.g.Budget.Limit(), "banned": entry.Banned(now),
	}).Warning("upstream sends bytes that are no answer")
}
