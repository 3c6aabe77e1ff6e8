package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
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
	// before it is resumed on another upstream as well. It must be short, because clients give
	// up after a few seconds. A pause of stallGapFactor times the route's target is allowed in
	// any case.
	streamStallTimeout = 1500 * time.Millisecond
	stallGapFactor     = 2
)

var errBodyTooLong = errors.New("body without a length exceeds the size limit")

// readStart reads a response until it can be forwarded.
func (c *call) readStart(a *attempt) *failure {
	isStream := c.route.Kind == traffic.Stream && strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream")
	if c.headersSent && (a.resp.StatusCode != c.status || !isStream) {
		// The stream of an earlier attempt cannot be continued with this response.
		return &failure{verdict: verdict.Ran, cause: "no-stream", status: a.resp.StatusCode}
	}
	var f *failure
	if isStream {
		f = c.readFirstEvents(a)
	} else {
		f = c.readBodyStart(a)
	}
	a.answer.begun = f == nil
	return f
}

// readBodyStart reads a short body in full, or the start of a long one.
func (c *call) readBodyStart(a *attempt) *failure {
	body, whole, err := c.readBlocks(a, maxBufferedBytes)
	switch {
	case errors.Is(err, errSuperseded):
		return &failure{verdict: verdict.MayHaveRun, cause: "superseded", err: err}
	case err != nil:
		return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: err}
	}
	a.answer.body, a.answer.whole = body, whole
	if a.answer.whole {
		return c.endOf(a)
	}
	return nil
}

// readFirstEvents reads the first events of a stream. A stream without any was cut, unless it
// goes on with one whose last event was forwarded.
func (c *call) readFirstEvents(a *attempt) *failure {
	a.answer.splitter.MaxCommentBytes, a.answer.buffer = maxCommentBytes, make([]byte, readBufferBytes)
	f := c.readEvents(a)
	if f == nil && len(a.answer.events) == 0 && !c.headersSent {
		return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: io.ErrUnexpectedEOF}
	}
	return f
}

// readEvents reads the next complete events of a stream; none at its end.
func (c *call) readEvents(a *attempt) *failure {
	s := &a.answer
	for s.err == nil {
		s.splitter.MaxEventBytes = maxEventBytes
		n, err := a.resp.Body.Read(s.buffer)
		if a.entry.distrusted() {
			s.splitter.MaxEventBytes = distrustedEventBytes
		}
		events, splitErr := s.splitter.Feed(s.buffer[:n])
		if s.err = splitErr; s.err == nil {
			s.err = err
		}
		if s.events = events; len(events) > 0 {
			s.readAt = time.Now()
			return nil
		}
	}
	s.events = nil
	switch {
	case s.err == io.EOF:
		return nil
	case errors.Is(s.err, stream.ErrEventTooLong):
		return &failure{verdict: verdict.MayHaveRun, cause: "event", err: s.err}
	}
	return &failure{verdict: verdict.MayHaveRun, cause: readCause(s.err), err: s.err}
}

// forwardResponse forwards a response that has begun to the client.
func (c *call) forwardResponse(a *attempt) *failure {
	if a.answer.buffer != nil {
		return c.forwardEvents(a)
	}
	return c.forwardBody(a)
}

// forwardBody forwards a response that is not a stream.
func (c *call) forwardBody(a *attempt) *failure {
	if !a.answer.whole && (c.hasWholeStandby() || c.dropStandbysUnless(true)) {
		return &failure{verdict: verdict.MayHaveRun, cause: "superseded", err: errSuperseded}
	}
	c.dropStandbys()
	c.recordStart(a)
	c.sendHeaders(a, a.answer.whole)
	for _, block := range a.answer.body {
		if _, err := c.w.Write(block); err != nil {
			return &failure{verdict: verdict.Ran, cause: "client", err: err}
		}
	}
	a.answer.body = nil
	if a.answer.whole {
		return nil
	}
	return c.forwardRest(a)
}

// forwardRest forwards the rest of a long body as it arrives. The response has started, so
// only the call's own deadline applies.
func (c *call) forwardRest(a *attempt) *failure {
	if err := a.conn.watchUntil(time.Time{}); err != nil {
		return &failure{verdict: verdict.Ran, cause: "connection", err: err}
	}
	limit := int64(-1)
	if a.resp.ContentLength < 0 {
		limit = maxUnsizedBodyBytes
	}
	if f := c.copyBody(a, limit); f != nil {
		return f
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
	for {
		c.dropStandbys()
		if len(a.answer.events) == 0 {
			return c.endEvents(a)
		}
		if f := c.writeEvents(a, a.answer.events, controller); f != nil {
			return f
		}
		a.answer.lastEvent = time.Now()
		if a.conn.via == "" {
			c.g.heard.Store(a.answer.lastEvent.UnixNano())
		}
		if err := a.hold(bounded.BodyFactor * a.answer.splitter.Held()); err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: "read", err: err}
		}
		if f := c.watchSilence(a); f != nil {
			return f
		}
		if f := c.readEvents(a); f != nil {
			return f
		}
	}
}

// endEvents forwards the comments after the last event. A stream that ends within an event was
// cut.
func (c *call) endEvents(a *attempt) *failure {
	rest, whole := a.answer.splitter.Rest()
	if !whole {
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

// writeEvents sends complete events to the client.
func (c *call) writeEvents(a *attempt, events []byte, controller *http.ResponseController) *failure {
	c.recordStart(a)
	if !c.headersSent {
		c.sendHeaders(a, false)
	}
	if id := lastEventID(events); id != "" {
		c.lastEventID = id
	}
	blocked := c.w.waitedFor()
	if _, err := c.w.Write(events); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if err := controller.Flush(); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	c.pauses.record(a.answer.readAt, time.Now(), c.w.waitedFor()-blocked)
	c.recordPause(a)
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
