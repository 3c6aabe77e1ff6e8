package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/listener"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// defaultMaxBodyBytes bounds a request body when the plan sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// bodyReader ends the read of a request body that is given up, but never a later read on the
// client's connection.
type bodyReader struct {
	mu         sync.Mutex
	done       bool
	controller *http.ResponseController
}

// giveUp makes the read of the body fail.
func (r *bodyReader) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		// Only a test's ResponseWriter does not support read deadlines.
		_ = r.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// end records that the body was read.
func (r *bodyReader) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
}

// readBody reads the request body. Bodies count in a budget of the node until their calls end;
// when it is used up, the longest of those that are still being read is refused.
func (c *call) readBody() *verdict.Error {
	limit := c.view.Plan.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	reader := &bodyReader{controller: http.NewResponseController(c.w)}
	stopWatch := context.AfterFunc(c.ctx, reader.giveUp)
	defer stopWatch()
	c.bodyAccount = c.g.bodies.Open(reader.giveUp)
	body, err := bounded.ReadAll(http.MaxBytesReader(c.w.ResponseWriter, c.r.Body, limit), c.bodyAccount)
	reader.end()
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && c.ended():
		return c.stopRefusal()
	case errors.As(err, &tooLarge):
		return refusal(http.StatusRequestEntityTooLarge, verdict.CodeTooLarge, 0, "the body is larger than the plan allows")
	case err != nil && c.bodyAccount.GivenUp():
		c.g.Metrics.count("body-given-up")
		c.w.Header().Set("Connection", "close")
		return refusal(http.StatusServiceUnavailable, verdict.CodeOverloaded, c.retryAfter(), "the bodies of open requests take too much memory")
	case err != nil:
		return refusal(http.StatusBadRequest, verdict.CodeRequestIncomplete, 0, "the body could not be read in full")
	}
	listener.MarkWhole(c.r.Context())
	// Bodies that were read are given up last, which has no effect on them.
	c.bodyAccount.MarkSound()
	_ = c.bodyAccount.Set(len(body))
	c.body, c.bodyRead = body, time.Now()
	c.phase.store(phaseChoosing)
	return nil
}
