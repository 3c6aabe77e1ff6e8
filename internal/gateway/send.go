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
	"strings"
	"time"

	"github.com/jaystage/jaystage/internal/hop"
	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// inlineBody is the size up to which a request is written before its answer is
	// read. A larger one is written meanwhile, because an upstream may answer early.
	maxInlineBodyBytes = 32 << 10
	// straysLimit bounds the answers to earlier requests that are skipped on one
	// connection.
	maxStrayResponses = 3
	// patienceShare and the two bounds give the time for which a request that may be
	// repeated waits for its answer before it is sent elsewhere, in objectives.
	responseWaitFactor = 2.0
	minResponseWait    = 600 * time.Millisecond
	maxResponseWait    = 2 * time.Second
	// graceAfterLimit is how long an upstream may take to say itself that the time is
	// up, before the gateway does.
	deadlineGrace = 60 * time.Millisecond
)

// attempt is one try of a call on one upstream.
type attempt struct {
	choice
	conn            *conn
	resp            *http.Response
	stopCancelWatch func() bool // of the watch on the client
	started         time.Time
	bodyWritten     chan error // result of a body that is written meanwhile
	bytesSent       bool       // bytes were sent
	promptPending   bool       // Pending still counts the prompt
}

// failure says why an attempt did not answer the call.
type failure struct {
	// verdict tells whether the upstream may have run the request.
	verdict verdict.Verdict
	// cause names the kind of failure in logs.
	cause string
	err   error
	// status is that of the upstream's own failed answer, or zero.
	status int
	// elsewhere is true when the upstream at the address was another one.
	otherUpstream bool
	// load is true when the upstream refused because it is full.
	overloaded bool
}

// send opens the attempt: it sends the request and reads the head of the answer.
func (c *call) send(ctx context.Context, chosen choice) (*attempt, *failure) {
	a := &attempt{choice: chosen, started: time.Now(), promptPending: true}
	upstreamConn, err := c.g.pool.get(ctx, chosen.upstream.Address)
	if err != nil {
		return a, &failure{verdict: verdict.NotRun, cause: "connect", err: err}
	}
	a.conn = upstreamConn
	a.stopCancelWatch = context.AfterFunc(ctx, func() { _ = upstreamConn.Close() })
	now := time.Now()
	// The lease is checked again right before the request leaves: the process may have
	// stood still since the choice.
	if _, ok := c.g.State.View(now); !ok {
		return a, &failure{verdict: verdict.NotRun, cause: "lease", err: errors.New("the lease has run out")}
	}
	if c.remaining(now) < minRemaining {
		return a, &failure{verdict: verdict.NotRun, cause: "deadline", err: os.ErrDeadlineExceeded}
	}
	if err := upstreamConn.SetDeadline(c.deadline.Add(deadlineGrace)); err != nil {
		return a, &failure{verdict: verdict.NotRun, cause: "connection", err: err}
	}
	if f := c.write(a, now); f != nil {
		return a, f
	}
	return a, c.readResponseHead(a)
}

// write sends the request.
func (c *call) write(a *attempt, now time.Time) *failure {
	head := c.requestHead(a, now)
	if len(c.body) <= maxInlineBodyBytes {
		n, err := a.conn.Write(append(head, c.body...))
		a.bytesSent = n > 0
		if err != nil {
			v := verdict.MayHaveRun
			if n == 0 {
				v = verdict.NotRun
			}
			return &failure{verdict: v, cause: "write", err: err}
		}
		return nil
	}
	a.bytesSent, a.bodyWritten = true, make(chan error, 1)
	go func() {
		_, err := (&net.Buffers{head, c.body}).WriteTo(a.conn.Conn)
		a.bodyWritten <- err
	}()
	return nil
}

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
	_ = h.Write(&b) // a buffer takes everything
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the status and headers of the answer. Answers to earlier requests
// that come late on the connection are skipped.
func (c *call) readResponseHead(a *attempt) *failure {
	deadline := c.responseDeadline(a)
	if !deadline.IsZero() {
		if err := a.conn.SetReadDeadline(deadline); err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
		}
	}
	for range maxStrayResponses {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: c.r.Method})
		if err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue // 100 Continue and the like
		}
		a.resp = resp
		if id := resp.Header.Get(c.g.Headers.Attempt); id != "" && c.id != "" && id != c.id {
			if err := discardBody(resp); err != nil {
				return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: err}
			}
			continue
		}
		return c.checkResponseHead(a)
	}
	return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: errors.New("only answers to other requests came")}
}

// patience returns until when an answer is awaited before the request is sent
// elsewhere; zero to wait until the limit.
func (c *call) responseDeadline(a *attempt) time.Time {
	if !c.route.Repeatable() || c.attempts >= c.route.MaxAttempts {
		return time.Time{}
	}
	timeout := time.Duration(responseWaitFactor * float64(c.route.TargetLatency))
	return a.started.Add(min(max(timeout, minResponseWait), maxResponseWait))
}

func readCause(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "silent"
	}
	return "read"
}

// judgeHead decides what the head of the answer says of the request.
func (c *call) checkResponseHead(a *attempt) *failure {
	headers, resp := c.g.Headers, a.resp
	c.applyLoadHeader(a)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return &failure{verdict: verdict.NotRun, cause: "other-upstream", status: resp.StatusCode, otherUpstream: true}
	case resp.Header.Get(headers.NotRun) != "":
		return &failure{verdict: verdict.NotRun, cause: "shed", status: resp.StatusCode, overloaded: true}
	case resp.StatusCode >= http.StatusOK && resp.StatusCode < 300 && (resp.Header.Get(headers.Signature) == "" || resp.Header.Get(headers.Attempt) != c.id):
		return &failure{verdict: verdict.MayHaveRun, cause: "unsigned", err: errors.New("a success without the upstream's signature")}
	case resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.attempts < c.route.MaxAttempts:
		return &failure{verdict: verdict.Ran, cause: "status", status: resp.StatusCode}
	case claimsNotRun(resp.StatusCode):
		return &failure{verdict: verdict.MayHaveRun, cause: "status", status: resp.StatusCode}
	}
	return nil
}

// promises tells whether a status says to a client that its request did not run. An
// upstream that means it says so in a header of its own.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// noteLoad records the load that the answer tells.
func (c *call) applyLoadHeader(a *attempt) {
	running, rest, ok := strings.Cut(a.resp.Header.Get(c.g.Headers.Load), ",")
	waiting, _, _ := strings.Cut(rest, ",")
	runningCount, err1 := strconv.Atoi(strings.TrimSpace(running))
	waitingCount, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if !ok || err1 != nil || err2 != nil {
		return
	}
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	a.entry.ApplyReport(time.Now(), runningCount, waitingCount)
}
