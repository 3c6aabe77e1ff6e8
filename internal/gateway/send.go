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
	inlineBody = 32 << 10
	// straysLimit bounds the answers to earlier requests that are skipped on one
	// connection.
	straysLimit = 3
	// patienceShare and the two bounds give the time for which a request that may be
	// repeated waits for its answer before it is sent elsewhere, in objectives.
	patienceShare = 2.0
	patienceLeast = 600 * time.Millisecond
	patienceMost  = 2 * time.Second
	// graceAfterLimit is how long an upstream may take to say itself that the time is
	// up, before the gateway does.
	graceAfterLimit = 60 * time.Millisecond
)

// attempt is one try of a call on one upstream.
type attempt struct {
	choice
	conn    *conn
	resp    *http.Response
	stop    func() bool // of the watch on the client
	started time.Time
	wrote   chan error // result of a body that is written meanwhile
	offered bool       // bytes were sent
	charged bool       // Pending still counts the prompt
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
	elsewhere bool
	// load is true when the upstream refused because it is full.
	full bool
}

// send opens the attempt: it sends the request and reads the head of the answer.
func (c *call) send(ctx context.Context, ch choice) (*attempt, *failure) {
	a := &attempt{choice: ch, started: time.Now(), charged: true}
	k, err := c.g.pool.get(ctx, ch.up.Address)
	if err != nil {
		return a, &failure{verdict: verdict.NotRun, cause: "connect", err: err}
	}
	a.conn = k
	a.stop = context.AfterFunc(ctx, func() { _ = k.Close() })
	now := time.Now()
	// The lease is checked again right before the request leaves: the process may have
	// stood still since the choice.
	if _, ok := c.g.State.View(now); !ok {
		return a, &failure{verdict: verdict.NotRun, cause: "lease", err: errors.New("the lease has run out")}
	}
	if c.left(now) < leastLeft {
		return a, &failure{verdict: verdict.NotRun, cause: "deadline", err: os.ErrDeadlineExceeded}
	}
	if err := k.SetDeadline(c.limit.Add(graceAfterLimit)); err != nil {
		return a, &failure{verdict: verdict.NotRun, cause: "connection", err: err}
	}
	if f := c.write(a, now); f != nil {
		return a, f
	}
	return a, c.readHead(a)
}

// write sends the request.
func (c *call) write(a *attempt, now time.Time) *failure {
	head := c.head(a, now)
	if len(c.body) <= inlineBody {
		n, err := a.conn.Write(append(head, c.body...))
		a.offered = n > 0
		if err != nil {
			v := verdict.MayHaveRun
			if n == 0 {
				v = verdict.NotRun
			}
			return &failure{verdict: v, cause: "write", err: err}
		}
		return nil
	}
	a.offered, a.wrote = true, make(chan error, 1)
	go func() {
		_, err := (&net.Buffers{head, c.body}).WriteTo(a.conn.Conn)
		a.wrote <- err
	}()
	return nil
}

func (c *call) head(a *attempt, now time.Time) []byte {
	h := hop.EndToEnd(c.r.Header)
	c.forwardedTo(a.up, now, h)
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
func (c *call) readHead(a *attempt) *failure {
	patient := c.patience(a)
	if !patient.IsZero() {
		if err := a.conn.SetReadDeadline(patient); err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: "connection", err: err}
		}
	}
	for range straysLimit {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: c.r.Method})
		if err != nil {
			return &failure{verdict: verdict.MayHaveRun, cause: readCause(err), err: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue // 100 Continue and the like
		}
		a.resp = resp
		if id := resp.Header.Get(c.g.Headers.Attempt); id != "" && c.id != "" && id != c.id {
			if err := discard(resp); err != nil {
				return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: err}
			}
			continue
		}
		return c.judgeHead(a)
	}
	return &failure{verdict: verdict.MayHaveRun, cause: "stray", err: errors.New("only answers to other requests came")}
}

// patience returns until when an answer is awaited before the request is sent
// elsewhere; zero to wait until the limit.
func (c *call) patience(a *attempt) time.Time {
	if !c.route.Repeatable() || c.sent >= c.route.MaxAttempts {
		return time.Time{}
	}
	wait := time.Duration(patienceShare * float64(c.route.TargetLatency))
	return a.started.Add(min(max(wait, patienceLeast), patienceMost))
}

func readCause(err error) string {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return "silent"
	}
	return "read"
}

// judgeHead decides what the head of the answer says of the request.
func (c *call) judgeHead(a *attempt) *failure {
	names, resp := c.g.Headers, a.resp
	c.noteLoad(a)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return &failure{verdict: verdict.NotRun, cause: "other-upstream", status: resp.StatusCode, elsewhere: true}
	case resp.Header.Get(names.NotRun) != "":
		return &failure{verdict: verdict.NotRun, cause: "shed", status: resp.StatusCode, full: true}
	case resp.StatusCode >= http.StatusOK && resp.StatusCode < 300 && (resp.Header.Get(names.Signature) == "" || resp.Header.Get(names.Attempt) != c.id):
		return &failure{verdict: verdict.MayHaveRun, cause: "unsigned", err: errors.New("a success without the upstream's signature")}
	case resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() && c.sent < c.route.MaxAttempts:
		return &failure{verdict: verdict.Ran, cause: "status", status: resp.StatusCode}
	case promises(resp.StatusCode):
		return &failure{verdict: verdict.MayHaveRun, cause: "status", status: resp.StatusCode}
	}
	return nil
}

// promises tells whether a status says to a client that its request did not run. An
// upstream that means it says so in a header of its own.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// noteLoad records the load that the answer tells.
func (c *call) noteLoad(a *attempt) {
	running, rest, ok := strings.Cut(a.resp.Header.Get(c.g.Headers.Load), ",")
	waiting, _, _ := strings.Cut(rest, ",")
	r, err1 := strconv.Atoi(strings.TrimSpace(running))
	w, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if !ok || err1 != nil || err2 != nil {
		return
	}
	f := c.g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	a.unit.ApplyReport(time.Now(), r, w)
}
