package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/pkg/stream"
)

// maxBeginBytes bounds what a stream may send before its first token.
const maxBeginBytes = 64 << 10

// fetchStandby sends the request of a standby and returns the response when its answer has
// begun. What was read of the body until then is read from it again.
func (a *API) fetchStandby(c *call, s *standby, body []byte) (*http.Response, error) {
	resp, err := a.transmit(c, s.attempt, body)
	if err != nil {
		return nil, err
	}
	head, err := a.awaitBegin(c, s, resp)
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	return resp, nil
}

// awaitBegin reads the response of a standby until its answer begins and returns what it
// read.
func (a *API) awaitBegin(c *call, s *standby, resp *http.Response) ([]byte, error) {
	if c.transcript == nil {
		if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
			return nil, standbyStatusError(resp)
		}
		head := make([]byte, streamBufferBytes)
		n, err := resp.Body.Read(head)
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return head[:n], err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, standbyStatusError(resp)
	}
	// The answer is checked with a transcript of its own, as the call's still belongs to the
	// first attempt.
	t := stream.NewTranscript(c.transcript.Request, "")
	t.Adopt(s.attempt.id)
	if !t.Request.Unstreamed() {
		return a.awaitToken(s, t, resp.Body)
	}
	body, err := bounded.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1), s.attempt.account)
	if err == nil && len(body) > maxAnswerBytes {
		err = stream.ErrEventTooLong
	}
	if err == nil {
		_, err = t.RewriteUnstreamed(body)
	}
	return body, err
}

// awaitToken reads events until the answer begins.
func (a *API) awaitToken(s *standby, t *stream.Transcript, body io.Reader) ([]byte, error) {
	limit := maxBeginBytes
	if s.whole {
		limit = maxAnswerBytes
	}
	var p stream.Parser
	var head []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, readErr := body.Read(buf)
		head = append(head, buf[:n]...)
		p.Feed(buf[:n])
		if err := a.checkEvents(s.attempt, t, &p); err != nil {
			return nil, err
		}
		if t.Done() || t.Begun() && !s.whole {
			return head, nil
		}
		if readErr != nil {
			if _, complete := t.Complete(); complete {
				return head, nil
			}
			return nil, fmt.Errorf("%w: %w", stream.ErrTruncated, readErr)
		}
		if len(head) > limit {
			return nil, stream.ErrEventTooLong
		}
		if err := s.attempt.account.Set(bounded.BodyFactor * len(head)); err != nil {
			return nil, err
		}
	}
}

func (a *API) checkEvents(at *attempt, t *stream.Transcript, p *stream.Parser) error {
	for {
		data, ok, err := p.Next()
		if err != nil || !ok {
			return err
		}
		if _, err := t.HandleEvent(data); err != nil {
			return err
		}
		at.recordProgress(a.Now())
	}
}
