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
	// wholeAnswer is the size up to which an answer that is no stream is read in full
	// before the client gets its first byte, so that one that breaks off can still be
	// replaced.
	maxBufferedBytes = 256 << 10
	// largestEvent bounds one event of a stream, in bytes.
	maxEventBytes = 1 << 20
	// stallLimit is how long a stream that may be resumed can be silent before it
	// continues elsewhere. Clients give up after some seconds.
	streamStallTimeout = 1500 * time.Millisecond
)

var errEventTooLong = errors.New("an event is longer than the gateway takes")

// discard reads the body of an answer that belongs to no request.
func discardBody(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	return err
}

// follow passes the answer on to the client.
func (c *call) forwardResponse(a *attempt) *failure {
	if c.route.Kind == traffic.Stream && strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.forwardEvents(a)
	}
	if c.headersSent {
		return &failure{verdict: verdict.Ran, cause: "no-stream", status: a.resp.StatusCode}
	}
	return c.forwardBody(a)
}

// followWhole passes on an answer that is no stream.
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

// begin sends the status and headers of an upstream's answer.
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

// followEvents passes on whole events as they arrive. The client gets the headers
// with the first one.
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

// awaitEvent sets until when the next bytes of the stream are awaited.
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

// passEvents sends whole events to the client.
func (c *call) writeEvents(a *attempt, events []byte, controller *http.ResponseController) *failure {
	c.recordStart(a)
	if !c.headersSent {
		c.sendHeaders(a, false)
	}
	if id := lastEventID(events); id != "" {
		c.lastEvent = id
	}
	if _, err := c.w.Write(events); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if err := controller.Flush(); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	return nil
}

// lastEventEnd returns the length of the whole events at the start of the bytes.
// Events end with an empty line.
func completeEventsLen(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastID returns the id of the last event that has one.
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
