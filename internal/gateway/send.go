package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written in full before the
	// response is read. A larger one is written concurrently, because an upstream may
	// respond early.
	maxInlineBodyBytes = 32 << 10
	// deadlineGrace lets an upstream report an exceeded deadline itself before the
	// gateway does.
	deadlineGrace = 60 * time.Millisecond
)

// attempt is one attempt of a call at one upstream.
type attempt struct {
	choice
	conn            *conn
	resp            *http.Response
	stopCancelWatch func() bool // stops the hook that closes conn when the client disconnects
	started         time.Time
	bodyWritten     chan error // result of a body that is written concurrently
	promptPending   bool       // the entry's PendingTokens still count the prompt
}

// failure is the reason why an attempt did not produce the call's response.
type failure struct {
	// verdict is whether the upstream ran or may have run the request.
	verdict verdict.Verdict
	// cause is the kind of failure, for logs, metrics and the client's error detail.
	cause string
	err   error
	// status is the status code of the upstream's response, or zero.
	status int
	// otherUpstream is true when another upstream responded at the address.
	otherUpstream bool
	// overloaded is true when the upstream refused the request because it is full.
	overloaded bool
	// suspected is true when the upstream crashed, and an earlier one under another request
	// with a part of this prompt: a retry may crash a further one.
	suspected bool
}

// isOwn reports whether the failure was caused by the client or the node itself.
func (f *failure) isOwn() bool {
	switch f.cause {
	case "client", "lease", "deadline", "stop":
		return true
	}
	return false
}

func newAttempt(chosen choice) *attempt {
	return &attempt{choice: chosen, started: time.Now(), promptPending: true}
}

// send sends the request of an attempt and reads the head of the response.
func (c *call) send(ctx context.Context, a *attempt) *failure {
	upstreamConn, err := c.g.connect(ctx, a.upstream.Address, c.id)
	if err != nil {
		return &failure{verdict: verdict.NotRun, cause: "connect", err: err}
	}
	a.conn, c.via = upstreamConn, upstreamConn.via
	a.stopCancelWatch = context.AfterFunc(ctx, func() { _ = upstreamConn.Close() })
	if err := upstreamConn.SetDeadline(c.deadline.Add(deadlineGrace)); err != nil {
		return &failure{verdict: verdict.NotRun, cause: "connection", err: err}
	}
	// What allowed the request is checked again right before it is sent, because the connect
	// may have been slow, or the process paused, since the choice.
	if _, ok := c.g.State.View(time.Now()); !ok {
		return &failure{verdict: verdict.NotRun, cause: "lease", err: errors.New("the node's lease has expired")}
	}
	now := time.Now()
	switch {
	case c.remaining(now) < minRemaining:
		return &failure{verdict: verdict.NotRun, cause: "deadline", err: os.ErrDeadlineExceeded}
	case c.ended() || !c.headersSent && !c.g.open.admits(now, c):
		return &failure{verdict: verdict.NotRun, cause: "stop", err: errStopped}
	case ctx.Err() != nil:
		return &failure{verdict: verdict.NotRun, cause: "client", err: ctx.Err()}
	}
	if f := c.write(a, now); f != nil {
		return f
	}
	if f := c.watchSilence(a); f != nil {
		return f
	}
	return c.readResponseHead(a)
}

// write sends the request. The write of a large body may still be in progress when it
// returns.
func (c *call) write(a *attempt, now time.Time) *failure {
	head := c.requestHead(a, now)
	if len(c.body) <= maxInlineBodyBytes {
		n, err := a.conn.Write(append(head, c.body...))
		if err != nil {
			v := verdict.MayHaveRun
			if n == 0 {
				v = verdict.NotRun
			}
			return &failure{verdict: v, cause: "write", err: err}
		}
		return nil
	}
	a.bodyWritten = make(chan error, 1)
	go func() {
		_, err := (&net.Buffers{head, c.body}).WriteTo(a.conn.Conn)
		a.bodyWritten <- err
	}()
	return nil
}

// requestHead returns the request line and headers.
func (c *call) requestHead(a *attempt, now time.Time) []byte {
	h := hop.EndToEnd(c.r.Header)
	c.setUpstreamHeaders(a.upstream, now, h)
	h.Del("Content-Length")
	h.Del("Expect")
	if len(c.body) > 0 || c.r.ContentLength == 0 && c.r.Header.Get("Content-Length") != "" || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.r.Method, c.r.RequestURI, c.r.Host)
	_ = h.Write(&b) // writes to a buffer do not fail
	b.WriteString("\r\n")
	return b.Bytes()
}
