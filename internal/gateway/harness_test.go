package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

var names = Headers{
	Attempt: "X-Attempt", Deadline: "X-Deadline", Expect: "X-Expect", Account: "X-Account", Signature: "X-Signature", NotRun: "X-Not-Run",
	Load: "X-Load", Tokens: "X-Tokens", Parts: "X-Parts", Priority: "X-Priority", Resume: "Last-Event-Id", Reserved: []string{"X-Secret"},
}

// fixedView is a state whose lease a test can end.
type fixedView struct {
	mu    sync.Mutex
	view  *config.View
	valid bool
}

func (f *fixedView) View(time.Time) (*config.View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.valid
}

func (f *fixedView) end() { f.set(false) }

func (f *fixedView) set(valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.valid = valid
}

// stand is an upstream that answers raw bytes, so that it can misbehave.
type stand struct {
	t       testing.TB
	l       net.Listener
	answers func(n int, r *http.Request) []step

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

// step is a part of an answer: bytes to send, then a pause, then perhaps a reset.
type step struct {
	send  string
	pause time.Duration
	reset bool
	close bool
}

func newStand(t testing.TB, answers func(n int, r *http.Request) []step) *stand {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stand{t: t, l: l, answers: answers}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *stand) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests, s.bodies = append(s.requests, request), append(s.bodies, string(body))
		n := len(s.requests)
		s.mu.Unlock()
		for _, step := range s.answers(n, request) {
			if _, err := io.WriteString(c, step.send); err != nil {
				return
			}
			time.Sleep(step.pause)
			if step.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			if step.reset || step.close {
				return
			}
		}
	}
}

func (s *stand) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *stand) request(i int) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[i]
}

// answer is a sound answer to a request.
func answer(r *http.Request, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Attempt: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Attempt"), len(body), body)
}

func sound(body string) func(int, *http.Request) []step {
	return func(_ int, r *http.Request) []step { return []step{{send: answer(r, 200, body)}} }
}

// eventHead begins an answer of events.
func eventHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Attempt"))
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func numbered(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// desk is a gateway before stand-ins.
type desk struct {
	t       testing.TB
	gateway *Gateway
	state   *fixedView
	server  *httptest.Server
}

func plan() *traffic.Plan {
	route := func(name string, kind traffic.Kind, attempts int, resume bool) traffic.Route {
		return traffic.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond,
			MaxAttempts: attempts, Resumable: resume, Split: []traffic.Weight{{Service: "s", Weight: 1}},
		}
	}
	p := &traffic.Plan{
		Version: 1, Services: []traffic.Service{{Name: "s"}},
		Routes:   []traffic.Route{route("look", traffic.Lookup, 2, false), route("book", traffic.Booking, 1, false), route("twice", traffic.Booking, 2, false), route("chat", traffic.Stream, 2, true), route("draft", traffic.Stream, 1, false)},
		Accounts: []traffic.Account{{Name: "one", Keys: []string{traffic.HashKey("k1")}}, {Name: "small", Keys: []string{traffic.HashKey("k2")}, Rate: 1, Burst: 2}},
	}
	data, err := traffic.Encode(p)
	if err != nil {
		panic(err)
	}
	p, err = traffic.Decode(data)
	if err != nil {
		panic(err)
	}
	return p
}

func newDesk(t testing.TB, stands ...*stand) *desk {
	t.Helper()
	view, err := config.NewView(1, nil)
	if err != nil {
		t.Fatal(err)
	}
	view.Plan = plan()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &desk{t: t, state: &fixedView{view: view, valid: true}}
	d.gateway = New("n1", "a", names, Bounds{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Heartbeat: time.Second}, d.state, log)
	var list []wire.Status
	for i, s := range stands {
		list = append(list, wire.Status{ID: fmt.Sprint("u", i), Service: "s", Address: s.l.Addr().String(), Domain: "a", Slots: 4, Born: 1, Sequence: 1})
	}
	d.gateway.Learn(time.Now(), list)
	d.server = httptest.NewServer(d.gateway)
	t.Cleanup(d.server.Close)
	return d
}

// got is what a client received.
type got struct {
	status int
	header http.Header
	body   string
	err    error
}

func (d *desk) call(method, path, body string, header ...string) got {
	d.t.Helper()
	r, err := http.NewRequest(method, d.server.URL+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer k1")
	r.Header.Set("X-Attempt", "a1")
	r.Header.Set("X-Deadline", "1500")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header, string(text), err}
}

func wantStatus(t *testing.T, g got, want int) {
	t.Helper()
	if g.status != want {
		t.Errorf("got status %d (%s, %v), want %d", g.status, g.body, g.err, want)
	}
}

func wantBody(t *testing.T, g got, want string) {
	t.Helper()
	if g.body != want || g.err != nil {
		t.Errorf("got body %q, %v, want %q", g.body, g.err, want)
	}
}
