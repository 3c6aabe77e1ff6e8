package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/pkg/verdict"
)

const (
	// maxResponsesPerAttempt bounds the responses read in one attempt, including
	// informational ones and late ones to earlier requests on the connection.
	maxResponsesPerAttempt = 3
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
	// maxStrayBytes bounds the body of a late response to another request. Reading more
	// would take longer than a new connection.
	maxStrayBytes = 256 << 10
	// A request that may be repeated waits for its response for responseWaitFactor times
	// the route's target latency, within the bounds below, before it is sent to another
	// upstream as well.
	responseWaitFactor = 2.0
	minResponseWait    = 600 * time.Millisecond
	maxResponseWait    = 2 * time.Second
)

// errNoID is the cause of a failure when a response without an ID arrives on a connection
// that has served other requests: it may be a late one to any of them, and its status says
// nothing of the present request.
var errNoID = errors.New("response without a request ID on a reused connection")

// errOnlyOthers is the cause of a failure when no response is one to the present request.
var errOnlyOthers = errors.New("received only responses to other requests")

// errStrayTooLong is the cause of a failure when a late response is too long to skip.
var errStrayTooLong = eris.Errorf("the body is longer than %d bytes", maxStrayBytes)

// readResponseHead reads the status and headers of the response. It skips late responses
// to earlier requests on the connection.
func (c *call) readResponseHead(a *attempt) *failure {
	if f := c.watchSilence(a); f != nil {
		return f
	}
	for range maxResponsesPerAttempt {
		resp, err := a.conn.readHead(c.r.Method)
		if err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		}
		c.g.recordBytes(time.Now(), a.conn, a.upstream.Address)
		if resp.StatusCode < http.StatusOK {
			continue // informational, such as 100 Continue
		}
		a.resp = resp
		switch id := resp.Header.Get(c.g.Headers.Attempt); {
		case c.id == "" || id == c.id || id == "" && !a.conn.reused:
			return c.checkResponseHead(a)
		case id == "":
			return &failure{verdict: verdict.MayHaveRun, cause: "stray", status: resp.StatusCode, err: errNoID}
		}
		if err := a.discardBody(); err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: err}
		}
	}
	return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: errOnlyOthers}
}

// discardBody reads and drops the body of a late response to another request. After an
// error, the bytes that follow on the connection must not be read as a response.
func (a *attempt) discardBody() error {
	resp := a.resp
	if resp.Request.Method == http.MethodHead {
		// The parser assumes that no body follows, which is only true of a response to the
		// present request.
		return errors.New("the length of the body is not known")
	}
	for n := int64(0); n <= maxStrayBytes; {
		k, err := io.CopyN(io.Discard, resp.Body, readBufferBytes)
		n += k
		if over := a.hold(0); over != nil {
			return over
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
	return errStrayTooLong
}

// responseDeadline returns when the answer to an attempt should have begun.
func (c *call) responseDeadline(a *attempt) time.Time {
	timeout := time.Duration(responseWaitFactor * float64(c.route.TargetLatency))
	return a.started.Add(min(max(timeout, minResponseWait), maxResponseWait))
}

// readCause returns the cause of a failed read: "silent" after a timeout, "superseded" if a
// standby has begun to answer, else "read".
func readCause(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, errSuperseded):
		return "superseded"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "silent"
	}
	return "read"
}

// checkResponseHead returns nil if a response can be forwarded, judging by its status and
// headers, and the failure otherwise.
func (c *call) checkResponseHead(a *attempt) *failure {
	headers, resp := c.g.Headers, a.resp
	c.applyLoadHeader(a)
	c.applyLimitHeader(a)
	c.applyAdvice(a)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return &failure{verdict: verdict.NotRun, cause: "other-upstream", status: resp.StatusCode, otherUpstream: true}
	case resp.Header.Get(headers.NotRun) != "":
		return &failure{verdict: verdict.NotRun, cause: "shed", status: resp.StatusCode, overloaded: true}
	case resp.StatusCode >= http.StatusOK && resp.StatusCode < 300 && (resp.Header.Get(headers.Signature) == "" || resp.Header.Get(headers.Attempt) != c.id):
		return &failure{verdict: verdict.MayHaveRun, cause: "unsigned", err: errors.New("successful response without the upstream's signature")}
	case resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && a.replaceable:
		return &failure{verdict: verdict.Ran, cause: "status", status: resp.StatusCode}
	case claimsNotRun(resp.StatusCode):
		return &failure{verdict: verdict.MayHaveRun, cause: "status", status: resp.StatusCode}
	}
	return nil
}

// claimsNotRun reports whether the status suggests to a client that its request did not
// run. Such a status is not forwarded: an upstream that really did not run a request sets
// the NotRun header.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// applyLoadHeader applies the load that the upstream reports in its response.
func (c *call) applyLoadHeader(a *attempt) {
	running, rest, ok := strings.Cut(a.resp.Header.Get(c.g.Headers.Load), ",")
	waiting, rest, _ := strings.Cut(rest, ",")
	_, slowness, _ := strings.Cut(rest, ",")
	runningCount, err1 := strconv.Atoi(strings.TrimSpace(running))
	waitingCount, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if !ok || err1 != nil || err2 != nil {
		return
	}
	set := c.g.upstreams
	set.mu.Lock()
	defer set.mu.Unlock()
	now := time.Now()
	a.entry.ApplyReport(now, runningCount, waitingCount)
	if percent, err := strconv.ParseFloat(strings.TrimSpace(slowness), 64); err == nil && percent > 0 {
		a.entry.ApplySlowness(now, percent/100, set.engineOf(c.service))
	}
}
