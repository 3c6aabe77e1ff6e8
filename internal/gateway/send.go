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
	"github.com/jaystage/jaystage/pkg/stream"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written in full before the
	// response is read. A larger one is written concurrently, because an upstream may
	// respond early.
	maxInlineBodyBytes = 32 << 10
	// maxBodyWait is how long a complete answer waits until its upstream has taken the whole
	// body. A later one costs the connection.
	maxBodyWait = 50 * time.Millisecond
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
	answer          answer
	// pathCheck is when the node's own path is suspected if no upstream has sent anything; zero
	// for never.
	pathCheck time.Time
	// number counts the attempts of the call, from 1.
	number int
	// replaceable is true if another attempt may answer when this one gets a failure status.
	replaceable bool
	// inTime is true while the stream counts as one that a pause would make late.
	inTime bool
	// silent is true once the upstream was noticed to be silent.
	silent bool
	// held is what a malformed answer held when it was given up.
	held int
}

// answer is what was read of a response and not yet forwarded.
type answer struct {
	// begun is true once the response can be forwarded: its first event is complete, or, if it
	// is no stream, a short body or the start of a long one.
	begun bool
	// body is the body of a response that is no stream, and whole true if there is no more.
	body  [][]byte
	whole bool
	// events are complete events of a stream, valid until the next read.
	events   []byte
	splitter stream.Splitter
	buffer   []byte
	// err ended the stream; io.EOF at its regular end.
	err error
	// readAt is when the last events were read in full.
	readAt time.Time
	// lastEvent is when the last event was forwarded; zero before.
	lastEvent time.Time
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
	// malformed is true when the upstream's bytes were no answer, or held too much memory.
	malformed bool
	// suspected is true when the upstream crashed, and an earlier one under another request
	// with a part of this prompt: a retry may crash a further one.
	suspected bool
	// answerLost is true when the upstream had the request and its process goes on, but its
	// answer did not arrive.
	answerLost bool
}

// isOwn reports whether the failure was caused by the client or the node itself.
func (f *failure) isOwn() bool {
	switch f.cause {
	case "client", "lease", "deadline", "stop", "unneeded":
		return true
	}
	return false
}

// newAttempt counts a new attempt.
func (c *call) newAttempt(chosen choice) *attempt {
	c.attempts++
	return &attempt{choice: chosen, started: time.Now(), promptPending: true, number: c.attempts, replaceable: c.attempts < c.route.MaxAttempts}
}

// obtain sends the request of an attempt and waits until its answer has begun. onSilence is
// called when the upstream sends nothing; nil for never. Standbys obtain their answers in
// goroutines of their own, so that it changes nothing in the call.
func (c *call) obtain(ctx context.Context, a *attempt, onSilence func(now, due time.Time) (time.Time, error)) *failure {
	if f := c.send(ctx, a, onSilence); f != nil {
		return f
	}
	if f := c.readResponseHead(a); f != nil {
		return f
	}
	return c.readStart(a)
}

// send sends the request of an attempt.
func (c *call) send(ctx context.Context, a *attempt, onSilence func(now, due time.Time) (time.Time, error)) *failure {
	upstreamConn, err := c.g.connect(ctx, a.upstream.Address, c.id)
	if err != nil {
		return &failure{verdict: verdict.NotRun, cause: "connect", err: err}
	}
	a.conn = upstreamConn
	c.g.openAccount(a)
	a.stopCancelWatch = context.AfterFunc(ctx, func() { _ = upstreamConn.Close() })
	if err := upstreamConn.startRequest(c.deadline.Add(deadlineGrace), onSilence); err != nil {
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
	return c.write(a, now)
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
	// An upstream may read the body long after it has begun to answer.
	a.conn.setUserTimeout(max(tcpUserTimeout, c.remaining(now)))
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
