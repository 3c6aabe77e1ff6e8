package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxBufferedBytes is the size up to which a response that is not a stream is read in
	// full before the client gets its first byte, so that the call can still be retried
	// if the response is cut short.
	maxBufferedBytes = 256 << 10
	// maxUnsizedBodyBytes bounds the body of a response that announces no length: it may
	// be bytes that never end.
	maxUnsizedBodyBytes = 16 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// streamStallTimeout is how long a resumable stream may go without a complete event
	// before it is resumed on another upstream. It must be short, because clients give up
	// after a few seconds. A pause of stallGapFactor times the route's target is allowed in
	// any case.
	streamStallTimeout = 1500 * time.Millisecond
	stallGapFactor     = 2
	// A read that times out lateWake or more after its deadline shows that the process was
	// paused. What the upstream has sent meanwhile is read within lateReadTimeout.
	lateWake        = 100 * time.Millisecond
	lateReadTimeout = 250 * time.Millisecond
)

var errBodyTooLong = errors.New("body without a length exceeds the size limit")

// forwardResponse forwards the response to the client.
func (c *call) forwardResponse(a *attempt) *failure {
	if c.headersSent && a.resp.StatusCode != c.status {
		// The stream of an earlier attempt cannot be continued with this response.
		return &failure{verdict: verdict.Ran, cause: "no-stream", status: a.resp.StatusCode}
	}
	if c.route.Kind == traffic.Stream && strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.forwardEvents(a)
	}
	if c.headersSent {
		return &failure{verdict: verdict.Ran, cause: "no-stream", status: a.resp.StatusCode}
	}
	return c.forwardBody(a)
}

// forwardBody forwards a response that is not a stream.
func (c *call) forwardBody(a *attempt) *failure {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBufferedBytes))
	if err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: err}
	}
	if len(body) < maxBufferedBytes {
		if f := c.endOf(a); f != nil {
			return f
		}
	}
	c.recordStart(a)
	c.sendHeaders(a, len(body) < maxBufferedBytes)
	if _, err := c.w.Write(body); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if len(body) < maxBufferedBytes {
		return nil
	}
	return c.forwardRest(a)
}

// forwardRest forwards the rest of a long body as it arrives. The response has started, so
// only the call's own deadline applies.
func (c *call) forwardRest(a *attempt) *failure {
	if err := a.conn.SetReadDeadline(c.deadline.Add(deadlineGrace)); err != nil {
		return &failure{verdict: verdict.Ran, cause: "connection", err: err}
	}
	rest, limit := io.Reader(a.resp.Body), int64(maxUnsizedBodyBytes)
	if a.resp.ContentLength < 0 {
		rest = io.LimitReader(rest, limit)
	}
	n, err := io.Copy(c.w, rest)
	if err == nil && a.resp.ContentLength < 0 && n == limit {
		err = errBodyTooLong
	}
	if err != nil {
		return &failure{verdict: verdict.Ran, cause: "cut", err: err}
	}
	return c.endOf(a)
}

// sendHeaders sends the status and headers of the upstream's response to the client.
// complete is true if the body was read in full, so that the upstream's Content-Length is
// correct.
func (c *call) sendHeaders(a *attempt, complete bool) {
	h := c.w.Header()
	for name, values := range hop.EndToEnd(a.resp.Header) {
		if name == "Content-Length" && !complete {
			continue
		}
		h[name] = values
	}
	if c.g.unready.Load() {
		h.Set("Connection", "close")
	}
	c.phase.store(phaseAnswering)
	c.headersSent, c.status = true, a.resp.StatusCode
	c.w.WriteHeader(a.resp.StatusCode)
}

// forwardEvents forwards complete events as they arrive. The headers are sent together
// with the first one, so that the call can be retried until then.
func (c *call) forwardEvents(a *attempt) *failure {
	controller := http.NewResponseController(c.w)
	splitter := stream.Splitter{MaxEventBytes: maxEventBytes}
	var lastEvent time.Time // zero before the first one
	var resumed time.Time   // until when reads may go on after a pause of the process; else zero
	chunk := make([]byte, readBufferBytes)
	for {
		deadline := c.eventDeadline(a, lastEvent)
		if resumed.After(deadline) {
			deadline = resumed
		}
		if err := a.conn.SetReadDeadline(deadline); err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
		}
		n, err := a.resp.Body.Read(chunk)
		if now := time.Now(); n == 0 && err != nil && readCause(err) == "silent" && wokeLate(now, deadline, c.deadline) {
			resumed = now.Add(lateReadTimeout)
			continue
		}
		events, splitErr := splitter.Feed(chunk[:n])
		if len(events) > 0 {
			if f := c.writeEvents(a, events, controller); f != nil {
				return f
			}
			lastEvent = time.Now()
			if a.conn.via == "" {
				c.g.heard.Store(lastEvent.UnixNano())
			}
		}
		switch {
		case splitErr != nil:
			return &failure{verdict: verdict.MayHaveRun, cause: "event", err: splitErr}
		case err == io.EOF:
			return c.endEvents(a, &splitter)
		case err != nil:
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		}
	}
}

// wokeLate reports whether a read timed out so long after its deadline that the process must have
// been paused, and the call has time left.
func wokeLate(now, readDeadline, callDeadline time.Time) bool {
	return now.Sub(readDeadline) >= lateWake && now.Before(callDeadline)
}

// endEvents forwards the comments after the last event. A stream without any event, or one
// that ends within an event, was cut.
func (c *call) endEvents(a *attempt, splitter *stream.Splitter) *failure {
	rest, whole := splitter.Rest()
	if !whole || !c.headersSent {
		return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: io.ErrUnexpectedEOF}
	}
	if f := c.endOf(a); f != nil {
		return f
	}
	if _, err := c.w.Write(rest); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	return nil
}

// eventDeadline returns when the next event must be complete. Bytes that complete no event
// do not extend it. lastEvent is when the last event was forwarded; zero before the first.
func (c *call) eventDeadline(a *attempt, lastEvent time.Time) time.Time {
	end := c.deadline.Add(deadlineGrace)
	if !c.route.Repeatable() || c.attempts >= c.route.MaxAttempts {
		return end
	}
	next := c.responseDeadline(a)
	if !lastEvent.IsZero() {
		next = lastEvent.Add(max(streamStallTimeout, stallGapFactor*c.route.TargetGap))
	}
	if next.Before(end) {
		return next
	}
	return end
}

// writeEvents sends complete events to the client.
func (c *call) writeEvents(a *attempt, events []byte, controller *http.ResponseController) *failure {
	c.recordStart(a)
	if !c.headersSent {
		c.sendHeaders(a, false)
	}
	if id := lastEventID(events); id != "" {
		c.lastEventID = id
	}
	if _, err := c.w.Write(events); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if err := controller.Flush(); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	return nil
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		events = events[i+1:]
	case !bytes.HasPrefix(events, []byte("id:")):
		return ""
	}
	line, _, _ := bytes.Cut(events[len("id:"):], []byte("\n"))
	return strings.TrimSpace(string(line))
}
