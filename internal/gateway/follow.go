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
	wholeAnswer = 256 << 10
	// largestEvent bounds one event of a stream, in bytes.
	largestEvent = 1 << 20
	// stallLimit is how long a stream that may be resumed can be silent before it
	// continues elsewhere. Clients give up after some seconds.
	stallLimit = 1500 * time.Millisecond
)

var errTooLong = errors.New("an event is longer than the gateway takes")

// discard reads the body of an answer that belongs to no request.
func discard(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeAnswer))
	return err
}

// follow passes the answer on to the client.
func (c *call) follow(a *attempt) *failure {
	if c.route.Kind == traffic.Stream && strings.HasPrefix(a.resp.Header.Get("Content-Type"), "text/event-stream") {
		return c.followEvents(a)
	}
	if c.began {
		return &failure{verdict: verdict.Ran, cause: "no-stream", status: a.resp.StatusCode}
	}
	return c.followWhole(a)
}

// followWhole passes on an answer that is no stream.
func (c *call) followWhole(a *attempt) *failure {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, wholeAnswer))
	if err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: err}
	}
	c.noteBegan(a)
	c.begin(a, len(body) < wholeAnswer)
	if _, err := c.w.Write(body); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if len(body) < wholeAnswer {
		return nil
	}
	if _, err := io.Copy(c.w, a.resp.Body); err != nil {
		return &failure{verdict: verdict.Ran, cause: "cut", err: err}
	}
	return nil
}

// begin sends the status and headers of an upstream's answer.
func (c *call) begin(a *attempt, whole bool) {
	h := c.w.Header()
	for name, values := range hop.EndToEnd(a.resp.Header) {
		if name == "Content-Length" && !whole {
			continue
		}
		h[name] = values
	}
	if c.g.Unready.Load() {
		h.Set("Connection", "close")
	}
	c.began, c.status = true, a.resp.StatusCode
	c.w.WriteHeader(a.resp.StatusCode)
}

// followEvents passes on whole events as they arrive. The client gets the headers
// with the first one.
func (c *call) followEvents(a *attempt) *failure {
	control := http.NewResponseController(c.w)
	patient := c.patience(a)
	var pending []byte
	chunk := make([]byte, readBuffer)
	for {
		if f := c.awaitEvent(a, patient); f != nil {
			return f
		}
		n, err := a.resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		whole := lastEventEnd(pending)
		if whole > 0 {
			if f := c.passEvents(a, pending[:whole], control); f != nil {
				return f
			}
			pending = append(pending[:0], pending[whole:]...)
			patient = time.Time{}
		}
		switch {
		case err == io.EOF && len(pending) == 0 && c.began:
			return nil
		case err == io.EOF:
			return &failure{verdict: verdict.MayHaveRun, cause: "cut", err: io.ErrUnexpectedEOF}
		case err != nil:
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		case len(pending) > largestEvent:
			return &failure{verdict: verdict.MayHaveRun, cause: "event", err: errTooLong}
		}
	}
}

// awaitEvent sets until when the next bytes of the stream are awaited.
func (c *call) awaitEvent(a *attempt, first time.Time) *failure {
	until := c.limit.Add(graceAfterLimit)
	switch {
	case !first.IsZero():
		until = first
	case c.route.Resumable && c.sent < c.route.MaxAttempts:
		if stalled := time.Now().Add(stallLimit); stalled.Before(until) {
			until = stalled
		}
	}
	if err := a.conn.SetReadDeadline(until); err != nil {
		return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
	}
	return nil
}

// passEvents sends whole events to the client.
func (c *call) passEvents(a *attempt, events []byte, control *http.ResponseController) *failure {
	c.noteBegan(a)
	if !c.began {
		c.begin(a, false)
	}
	if id := lastID(events); id != "" {
		c.lastEvent = id
	}
	if _, err := c.w.Write(events); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	if err := control.Flush(); err != nil {
		return &failure{verdict: verdict.Ran, cause: "client", err: err}
	}
	return nil
}

// lastEventEnd returns the length of the whole events at the start of the bytes.
// Events end with an empty line.
func lastEventEnd(b []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
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
