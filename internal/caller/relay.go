package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// writeTimeout is the default of API.WriteTimeout.
	writeTimeout = 20 * time.Second
	// streamBufferBytes has room for a few events. It is small because each open
	// stream has such a buffer, and a larger one would also enlarge the buffers for
	// the parsed events and the output.
	streamBufferBytes = 1 << 10
	copyBufferBytes   = 16 << 10
	// bodyDrainTimeout bounds the read of the rest of a finished stream.
	bodyDrainTimeout = 100 * time.Millisecond
)

// relay writes the upstream's response to the client. It returns an error if the
// attempt ended before the response was complete.
func (a *API) relay(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	defer resp.Body.Close()
	switch {
	case c.responseStarted && resp.StatusCode != http.StatusOK:
		// The stream of an earlier attempt cannot be continued with this response.
		return &verdict.Error{
			Verdict: verdict.Ran, Code: verdict.CodeUpstreamFailed, Status: http.StatusBadGateway,
			Detail: "the upstream answered " + resp.Status, Cause: errUpstreamStatus,
		}
	case c.transcript == nil || resp.StatusCode != http.StatusOK:
		return a.relayResponse(w, c, at, resp)
	case c.transcript.Request.Unstreamed():
		return a.relayBuffered(w, c, at, resp)
	}
	if err := a.relayStream(w, c, at, resp.Body); err != nil {
		return err
	}
	if !c.transcript.Request.Stream {
		w.Header().Set("Content-Type", "application/json")
		return a.deliver(w, c, at, c.transcript.UnstreamedAnswer())
	}
	return nil
}

// relayStream reads server-sent events from the upstream until the answer is
// complete. It writes them to the client if the request is streamed.
func (a *API) relayStream(w http.ResponseWriter, c *call, at *attempt, body io.Reader) error {
	t := c.transcript
	var p stream.Parser
	var out []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, readErr := body.Read(buf)
		p.Feed(buf[:n])
		var attemptEnds bool
		var err error
		out, attemptEnds, err = a.handleRead(c, at, &p, readErr, out[:0])
		if err == nil {
			err = at.account.Set(bounded.BodyFactor * p.Held())
		}
		if len(out) > 0 {
			if !c.responseStarted {
				setStreamHeaders(w.Header())
			}
			if err := a.deliver(w, c, at, out); err != nil {
				return err
			}
		}
		switch {
		case err != nil:
			return err
		case t.Done():
			if !attemptEnds {
				a.drainBody(at, body)
			}
			return nil
		case at.moveRequested.Load() && a.prepareMove(c, at):
			return errMoved
		}
	}
}

// handleRead adds the events of one read to the transcript and appends the events for the
// client to out. attemptEnds is true if no more should be read.
func (a *API) handleRead(c *call, at *attempt, p *stream.Parser, readErr error, out []byte) (_ []byte, attemptEnds bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transcript
	out, err := a.relayEvents(c, at, p, out)
	if err == nil && readErr != nil && !t.Done() {
		err = fmt.Errorf("%w: %w", stream.ErrTruncated, readErr)
	}
	attemptEnds = err != nil || at.moveRequested.Load()
	if attemptEnds && !t.Done() {
		// If the last token was delivered, another attempt would add a token.
		if end, ok := t.Complete(); ok {
			out, err = append(out, end...), nil
		}
	}
	return out, attemptEnds, err
}

// relayEvents adds the parsed events to the transcript and appends the events for the
// client to out. c.mu must be held.
func (a *API) relayEvents(c *call, at *attempt, p *stream.Parser, out []byte) ([]byte, error) {
	for {
		data, ok, err := p.Next()
		if err != nil || !ok {
			return out, err
		}
		if at.isReplaced() {
			return out, errReplaced
		}
		before := c.transcript.Delivered()
		frames, err := c.transcript.HandleEvent(data)
		out = append(out, frames...)
		if err != nil {
			return out, err
		}
		at.goOn()
		now := a.Now()
		at.recordProgress(now)
		if tokens := c.transcript.Delivered() - before; tokens > 0 {
			c.stalledAttempts, c.refusedResumes = 0, 0
			at.delivered.Add(int64(tokens))
			a.Metrics.recordToken(c, now)
			if !at.tokenSeen {
				at.firstTokenAt = now
				took, target := now.Sub(at.start), c.class.FirstTokenTarget.Std()
				a.Slots.recordFirstToken(at, target > 0 && took > target, took)
			}
		}
	}
}

func setStreamHeaders(h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
}

// drainBody reads the rest of a finished stream so that its connection can be reused.
func (a *API) drainBody(at *attempt, body io.Reader) {
	timer := time.AfterFunc(bodyDrainTimeout, func() { at.cancel(errNoProgress) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, streamBufferBytes)
}

// deliver writes to the client. A client that does not read for WriteTimeout counts
// as disconnected. The progress timeout of the attempt is paused during the write,
// because a client that reads slowly does not mean that the upstream is silent.
func (a *API) deliver(w http.ResponseWriter, c *call, at *attempt, b []byte) error {
	if !c.responseStarted {
		w.Header().Set(RequestIDHeader, c.id)
		c.mu.Lock()
		c.responseStarted = true
		c.mu.Unlock()
	}
	control := http.NewResponseController(w)
	at.pause()
	started := a.Now()
	defer func() {
		now := a.Now()
		c.clientWait.Add(int64(now.Sub(started)))
		at.recordProgress(now)
	}()
	_ = control.SetWriteDeadline(started.Add(a.WriteTimeout))
	if _, err := w.Write(b); err != nil {
		return errors.Join(errClientGone, err)
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Join(errClientGone, err)
	}
	return nil
}

// relayResponse copies a response to the client as it arrives.
func (a *API) relayResponse(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	header := w.Header()
	for name, values := range hop.EndToEnd(resp.Header) {
		header[name] = values
	}
	header.Set(RequestIDHeader, c.id)
	c.status = resp.StatusCode
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if err != nil && !errors.Is(err, io.EOF) && !c.responseStarted && n == 0 {
			clear(header)
			return err
		}
		if !c.responseStarted {
			if !at.passOn() {
				clear(header)
				return errReplaced
			}
			a.Metrics.recordToken(c, a.Now())
			w.WriteHeader(resp.StatusCode)
		}
		at.recordProgress(a.Now())
		if n > 0 {
			if err := a.deliver(w, c, at, buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// relayBuffered writes an unstreamed answer to the client after reading all of it, so
// that the request can be retried if reading fails.
func (a *API) relayBuffered(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	body, err := bounded.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1), at.account)
	if err != nil {
		return err
	}
	if len(body) > maxAnswerBytes {
		return stream.ErrEventTooLong
	}
	if body, err = at.rewrite(body); err != nil {
		return err
	}
	a.Metrics.recordToken(c, a.Now())
	w.Header().Set("Content-Type", "application/json")
	return a.deliver(w, c, at, body)
}
