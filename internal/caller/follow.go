package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/stream"
)

const (
	// writeTimeout is how long a caller may leave its connection unread before its
	// request ends.
	writeTimeout = 20 * time.Second
	// streamBuffer holds a few events. Each open stream has one, and the buffers of
	// parsed and written events grow with it.
	streamBuffer = 1 << 10
	copyBuffer   = 16 << 10
	// drainTime is how long a finished stream may take to end its connection's use.
	drainTime = 100 * time.Millisecond
)

// follow passes the answer to the caller. Its error says why the attempt ended
// before the answer did.
func (a *API) follow(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	defer resp.Body.Close()
	switch {
	case c.transcript == nil || resp.StatusCode != http.StatusOK:
		return a.copyAnswer(w, c, at, resp)
	case c.transcript.Request.Unstreamed():
		return a.copyWhole(w, c, at, resp)
	}
	if err := a.followStream(w, c, at, resp.Body); err != nil {
		return err
	}
	if !c.transcript.Request.Stream {
		w.Header().Set("Content-Type", "application/json")
		return a.deliver(w, c, at, c.transcript.UnstreamedAnswer())
	}
	return nil
}

// followStream reads events until the answer is complete.
func (a *API) followStream(w http.ResponseWriter, c *call, at *attempt, body io.Reader) error {
	t := c.transcript
	var p stream.Parser
	var out []byte
	buf := make([]byte, streamBuffer)
	for {
		n, readErr := body.Read(buf)
		p.Feed(buf[:n])
		var err error
		out, err = a.events(c, at, &p, out[:0])
		if err == nil && readErr != nil && !t.Done() {
			err = fmt.Errorf("%w: %w", stream.ErrTruncated, readErr)
		}
		ends := err != nil || at.moveRequested.Load()
		if ends && !t.Done() {
			// A continued answer whose last token was delivered would get one more.
			if end, ok := t.Complete(); ok {
				out, err = append(out, end...), nil
			}
		}
		if len(out) > 0 {
			if !c.responseStarted {
				streamHeader(w.Header())
			}
			if err := a.deliver(w, c, at, out); err != nil {
				return err
			}
		}
		switch {
		case err != nil:
			return err
		case t.Done():
			if !ends {
				a.drainBody(at, body)
			}
			return nil
		case at.moveRequested.Load() && a.moveOn(c, at):
			return errMoved
		}
	}
}

// events passes the parsed events through the transcript and returns what goes to
// the caller.
func (a *API) events(c *call, at *attempt, p *stream.Parser, out []byte) ([]byte, error) {
	for {
		data, ok, err := p.Next()
		if err != nil || !ok {
			return out, err
		}
		before := c.transcript.Delivered()
		frames, err := c.transcript.HandleEvent(data)
		out = append(out, frames...)
		if err != nil {
			return out, err
		}
		now := a.Now()
		at.recordProgress(now)
		if tokens := c.transcript.Delivered() - before; tokens > 0 {
			c.stalledAttempts = 0
			at.delivered.Add(int64(tokens))
			a.Metrics.token(c, now)
			if !at.tokenSeen {
				at.firstTokenAt = now
				took, target := now.Sub(at.start), c.class.FirstTokenTarget.Std()
				a.Slots.recordFirstToken(at, target > 0 && took > target, took)
			}
		}
	}
}

func streamHeader(h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
}

// drainBody reads the end of a finished stream, so that its connection can be used
// again.
func (a *API) drainBody(at *attempt, body io.Reader) {
	timer := time.AfterFunc(drainTime, func() { at.cancel(errNoProgress) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, streamBuffer)
}

// deliver writes to the caller. A caller that does not read for writeTimeout is
// taken as gone. The time that the caller takes is no silence of the upstream.
func (a *API) deliver(w http.ResponseWriter, c *call, at *attempt, b []byte) error {
	if !c.responseStarted {
		w.Header().Set(RequestIDHeader, c.id)
		c.responseStarted = true
	}
	control := http.NewResponseController(w)
	at.pause()
	defer func() { at.recordProgress(a.Now()) }()
	_ = control.SetWriteDeadline(a.Now().Add(a.WriteTimeout))
	if _, err := w.Write(b); err != nil {
		return errors.Join(errClientGone, err)
	}
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Join(errClientGone, err)
	}
	return nil
}

// copyAnswer passes an answer on as it comes.
func (a *API) copyAnswer(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	header := w.Header()
	for name, values := range hop.EndToEnd(resp.Header) {
		header[name] = values
	}
	header.Set(RequestIDHeader, c.id)
	c.status = resp.StatusCode
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if err != nil && !errors.Is(err, io.EOF) && !c.responseStarted && n == 0 {
			clear(header)
			return err
		}
		if !c.responseStarted {
			c.responseStarted = true
			a.Metrics.token(c, a.Now())
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

// copyWhole passes on an unstreamed answer once all of it is here, so that a
// failure before that can be repeated.
func (a *API) copyWhole(w http.ResponseWriter, c *call, at *attempt, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswerBytes {
		return stream.ErrEventTooLong
	}
	if body, err = c.transcript.RewriteUnstreamed(body); err != nil {
		return err
	}
	a.Metrics.token(c, a.Now())
	w.Header().Set("Content-Type", "application/json")
	return a.deliver(w, c, at, body)
}
