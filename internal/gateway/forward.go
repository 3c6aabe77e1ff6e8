package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxBufferedBytes is the size up to which a response that is not a stream is read in
	// full before the client gets its first byte, so that the call can still be retried
	// if the response is cut short.
	maxBufferedBytes = 256 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamStallTimeout is how long a resumable stream may be silent before it is resumed
	// on another upstream. It must be short, because clients give up after a few seconds.
	streamStallTimeout = 1500 * time.Millisecond
)

var errEventTooLong = errors.New("event exceeds the size limit")

// discardBody reads and drops the body of a stray response.
func discardBody(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	return err
}

// forwardResponse forwards the response to the client.
func (c *call) forwardResponse(a *attempt) *failure {
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
	c.recordStart(a)
	c.sendHeaders(a, len(body) < maxBufferedBytes)
	if _, err := c.w.Write(body); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if len(body) < maxBufferedBytes {
		return nil
	}
	if _, err := io.Copy(c.w, a.resp.Body); err != nil {
		return &failure{verdict: verdict.Ran, cause: "cut", err: err}
	}
	return nil
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
	if c.g.Unready.Load() {
		h.Set("Connection", "close")
	}
	c.headersSent, c.status = true, a.resp.StatusCode
	c.w.WriteHeader(a.resp.StatusCode)
}

// forwardEvents forwards complete events as they arrive. The headers are sent together
// with the first one, so that the call can be retried until then.
func (c *call) forwardEvents(a *attempt) *failure {
	controller := http.NewResponseController(c.w)
	firstEventDeadline := c.responseDeadline(a)
	var pending []byte
	chunk := make([]byte, readBufferBytes)
	for {
		if f := c.setEventDeadline(a, firstEventDeadline); f != nil {
			return f
		}
		n, err := a.resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		complete := completeEventsLen(pending)
		if complete > 0 {
			if f := c.writeEvents(a, pending[:complete], controller); f != nil {
				return f
			}
			pending = append(pending[:0], pending[complete:]...)
			firstEventDeadline = time.Time{}
		}
		switch {
		case err == io.EOF && len(pending) == 0 && c.headersSent:
			return nil
		case err == io.EOF:
			return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: io.ErrUnexpectedEOF}
		case err != nil:
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		case len(pending) > maxEventBytes:
			return &failure{verdict: verdict.MayHaveRun, cause: "event", err: errEventTooLong}
		}
	}
}

// setEventDeadline sets the read deadline for the next bytes of the stream.
// firstEventDeadline is zero once an event has been forwarded.
func (c *call) setEventDeadline(a *attempt, firstEventDeadline time.Time) *failure {
	deadline := c.deadline.Add(deadlineGrace)
	switch {
	case !firstEventDeadline.IsZero():
		deadline = firstEventDeadline
	case c.route.Resumable && c.attempts < c.route.MaxAttempts:
		if stallDeadline := time.Now().Add(streamStallTimeout); stallDeadline.Before(deadline) {
			deadline = stallDeadline
		}
	}
	if err := a.conn.SetReadDeadline(deadline); err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
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
	if _, err := c.w.Write(events); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if err := controller.Flush(); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	return nil
}

// completeEventsLen returns the length of the complete events at the start of b. An event
// ends with an empty line.
func completeEventsLen(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
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
