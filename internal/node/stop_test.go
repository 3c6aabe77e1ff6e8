package node_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/operator"
	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/root"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// settingsVariable names the settings file of a node. With it, the test binary runs that
	// node instead of the tests.
	settingsVariable = "JAYSTAGE_TEST_SETTINGS"
	token            = "token"
	testLimit        = 60 * time.Second
	// promptly is the longest stop of a node without open requests whose shutdown.limit is
	// much longer.
	promptly = 4 * time.Second
)

func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(root.Main(context.Background(), factory.New(), []string{"node", "--settings", path}))
	}
	os.Exit(m.Run())
}

// server is a node in a process of its own, with one model engine.
type server struct {
	callers, upstreams, operators string
	log                           string
	cmd                           *exec.Cmd
	ended                         chan error
}

func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a node with the given keys of the table shutdown. Signals, if any, are sent
// while it starts.
func start(t *testing.T, shutdown string, signals ...syscall.Signal) *server {
	t.Helper()
	dir := t.TempDir()
	s := &server{callers: address(t), upstreams: address(t), operators: address(t), log: filepath.Join(dir, "log"), ended: make(chan error, 1)}
	hash := bearer.Hash(token)
	settings := fmt.Sprintf(`[node]
name = "a"
domain = "local"
cell = "one"
voter = true
data = %q
[listen]
callers = %q
upstreams = %q
operators = %q
[security]
upstream = [{name = "u", token = %q}]
operator = [{name = "o", token = %q}]
[shutdown]
%s
`, filepath.Join(dir, "data"), s.callers, s.upstreams, s.operators, hash, hash, shutdown)
	path := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(s.log)
	if err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), settingsVariable+"="+path)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- s.cmd.Wait(); _ = log.Close() }()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		if t.Failed() {
			text, _ := os.ReadFile(s.log)
			t.Logf("log of the node:\n%s", text)
		}
	})
	if len(signals) > 0 {
		// The handlers are installed before the listeners are open.
		s.eventually(t, "a listener is open", s.listens)
		s.signal(t, signals...)
	}
	return s
}

func (s *server) listens() bool {
	conn, err := net.Dial("tcp", s.callers)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (s *server) signal(t *testing.T, list ...syscall.Signal) {
	t.Helper()
	for _, one := range list {
		if err := s.cmd.Process.Signal(one); err != nil {
			t.Fatalf("signal %v: %v", one, err)
		}
		time.Sleep(20 * time.Millisecond) // signals that are pending at the same time are one
	}
}

func (s *server) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
		if len(s.ended) > 0 {
			t.Fatalf("the process has ended; want that %s", what)
		}
	}
	t.Fatalf("not within %v: %s", testLimit, what)
}

func (s *server) get(path string) (status int) {
	resp, err := http.Get("http://" + s.callers + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// serve configures a model service and announces an engine that needs the time pause for a
// token.
func (s *server) serve(t *testing.T, pause time.Duration) {
	t.Helper()
	model := &fake.Model{InterTokenLatency: pause, Version: "v1"}
	engine, err := fake.Start(model.Handler())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	announcer := &fake.Announcer{
		Nodes: []string{s.upstreams}, Token: token, HTTP: &http.Client{Transport: &http.Transport{}},
		State: func() wire.Announce {
			return wire.Announce{
				ID: "m", Incarnation: 1, Address: engine.Address(), VM: "vm", Domain: "local", Ready: true,
				Serving: []wire.Serving{{Service: "chat", Version: "v1"}},
			}
		},
	}
	done := announcer.Run(ctx)
	t.Cleanup(func() { cancel(); <-done; engine.Close() })
	second := config.Duration(time.Second)
	items, err := config.Items(config.Site{
		Name: "test", Accounts: []config.Account{{Name: "acc", TokenHash: bearer.Hash(token), Weight: 1}},
		Domains: []config.Domain{{Name: "local"}},
		Services: []config.Service{{
			Name: "chat", Kind: config.KindModel, Version: "v1", Models: []string{"chat"}, InitialConcurrency: 64,
			Classes: []config.Class{{Name: "chat", FirstTokenTarget: 10 * second, CompletionTarget: 60 * second, ProgressTimeout: 10 * second}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	client := &operator.Client{Address: s.operators, Token: token, HTTP: &http.Client{Timeout: 15 * time.Second}}
	s.eventually(t, "the configuration is accepted", func() bool {
		got, err := client.Change(ctx, wire.Change{ID: "site", Items: items})
		return err == nil && len(got.Conflict) == 0
	})
	s.eventually(t, "the node answers", func() bool {
		conn := s.dial(t)
		defer conn.Close()
		text, err := conn.ask(1)
		return err == nil && strings.Contains(text, "[DONE]")
	})
}

// wantEnd fails the test unless the process ends within a time, without an error.
func (s *server) wantEnd(t *testing.T, within time.Duration) {
	t.Helper()
	begun := time.Now()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("got %v from the node, want it to end without an error", err)
		}
		if took := time.Since(begun); took > within {
			t.Errorf("got the end after %v, want it within %v", took, within)
		}
	case <-time.After(testLimit):
		t.Fatal("the node does not end")
	}
}

// connection is a client's connection to a node.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	closing bool
}

func (s *server) dial(t *testing.T) *connection {
	t.Helper()
	conn, err := net.Dial("tcp", s.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *connection) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + token + "\r\n"

func chatRequest(tokens int) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	return requestHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// ask sends a request for a stream of some tokens and returns its response.
func (c *connection) ask(tokens int) (text string, err error) {
	if _, err := io.WriteString(c, chatRequest(tokens)); err != nil {
		return "", err
	}
	_, text, err = c.receive()
	return text, err
}

// receive reads one response to its end. closing is set if the server announces that it closes
// the connection.
func (c *connection) receive() (status int, text string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(testLimit))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	c.closing = resp.Close
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func wantStream(t *testing.T, c *connection) {
	t.Helper()
	status, text, err := c.receive()
	if err != nil || status != http.StatusOK || !strings.Contains(text, "[DONE]") {
		t.Errorf("got status %d, %.200q, %v, want a complete stream", status, text, err)
	}
}

// Planned stop of a node with connections that carry no complete request. Guards against a
// stop that they hold up, and against a node that exits with an error because of them.
func TestStopIsNotHeldUpByConnections(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"connection is opened and never used", ""},
		{"head arrives slowly", "POST /v1/chat/completions HTTP/1.1\r\nHos"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, `limit = "30s"`)
			s.serve(t, time.Millisecond)
			s.dial(t).write(t, c.text)
			kept := s.dial(t)
			if text, err := kept.ask(1); err != nil {
				t.Fatalf("got %q, %v", text, err)
			}
			s.signal(t, syscall.SIGTERM)
			s.wantEnd(t, promptly)
		})
	}
	t.Run("body of a refused request arrives slowly", func(t *testing.T) {
		s := start(t, `limit = "30s"`)
		s.serve(t, 20*time.Millisecond)
		open, refused := s.dial(t), s.dial(t)
		open.write(t, chatRequest(50)) // keeps the node serving
		s.eventually(t, "the request is under way", func() bool { _, err := open.reader.Peek(1); return err == nil })
		s.signal(t, syscall.SIGTERM)
		s.eventually(t, "the node is not ready", func() bool { return s.get("/readyz") != http.StatusOK })
		refused.write(t, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx")
		if status, _, err := refused.receive(); err != nil || status != http.StatusNotFound {
			t.Errorf("got status %d, %v, want 404 before the body is complete", status, err)
		}
		wantStream(t, open)
		s.wantEnd(t, promptly)
	})
}

// Planned stop with a limit much shorter than the requests that are under way. Guards against
// connections that end without an answer.
func TestStopAnswersRequestsAtItsLimit(t *testing.T) {
	for _, limit := range []string{"1ms", "500ms"} {
		t.Run("limit of "+limit, func(t *testing.T) {
			s := start(t, fmt.Sprintf("limit = %q", limit))
			s.serve(t, 20*time.Millisecond)
			stream, body, chunks := s.dial(t), s.dial(t), s.dial(t)
			stream.write(t, chatRequest(1000))
			body.write(t, requestHead+"Content-Length: 1000\r\n\r\n{")
			chunks.write(t, requestHead+"Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n")
			s.eventually(t, "the stream is under way", func() bool { _, err := stream.reader.Peek(1); return err == nil })
			time.Sleep(50 * time.Millisecond)
			s.signal(t, syscall.SIGTERM)
			if _, text, err := stream.receive(); err == nil || !strings.Contains(text, `"verdict":"ran"`) || strings.Contains(text, "[DONE]") {
				t.Errorf("got a stream that ends with %v, want an error event and a broken connection", err)
			}
			for _, c := range []*connection{body, chunks} {
				if status, text, err := c.receive(); err != nil || status != http.StatusServiceUnavailable || !strings.Contains(text, `"verdict":"not-run"`) {
					t.Errorf("got status %d, %q, %v for a body that is not complete, want 503 and not-run", status, text, err)
				}
			}
			if err := <-s.ended; err == nil {
				t.Error("the node ends without an error although requests were aborted")
			}
		})
	}
}

// Planned stop under load, on new connections and on kept ones on which clients send the next
// request at once. Guards against requests that get no complete response.
func TestStopAnswersEveryRequest(t *testing.T) {
	const clients = 16
	s := start(t, "unready = \"300ms\"\nlimit = \"5s\"")
	s.serve(t, 2*time.Millisecond)
	var group sync.WaitGroup
	var served, refused atomic.Int64
	for i := range clients {
		group.Go(func() {
			for {
				conn, err := net.Dial("tcp", s.callers)
				if err != nil {
					return // the node has closed its listener
				}
				c := &connection{Conn: conn, reader: bufio.NewReader(conn)}
				for kept := false; !c.closing && (!kept || i%2 == 0); kept = true {
					_, err := io.WriteString(c, chatRequest(20))
					if err == nil {
						_, err = c.reader.Peek(1)
					}
					if err != nil {
						if kept {
							t.Errorf("got %v on a kept connection that was not announced to close, want a response", err)
						}
						break // the listener was closed with the connection in its backlog
					}
					status, text, err := c.receive()
					switch {
					case err != nil, status == http.StatusOK && !strings.Contains(text, "[DONE]"):
						t.Errorf("got status %d, %.100q, %v, want a complete response", status, text, err)
					case status == http.StatusOK:
						served.Add(1)
					case status == http.StatusServiceUnavailable && strings.Contains(text, `"verdict":"not-run"`):
						refused.Add(1)
					default:
						t.Errorf("got status %d, %q, want 503 and not-run", status, text)
					}
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	s.signal(t, syscall.SIGTERM)
	s.wantEnd(t, testLimit)
	group.Wait()
	t.Logf("%d served, %d refused", served.Load(), refused.Load())
	if served.Load() == 0 {
		t.Error("got no request served")
	}
}

// Planned stop with calls of operators in flight and a client's connection without a request.
// Guards against calls that are cut because the clients' listener uses up the time.
func TestStopAnswersOperators(t *testing.T) {
	s := start(t, `limit = "30s"`)
	s.serve(t, time.Millisecond)
	s.dial(t)
	call, err := http.NewRequest(http.MethodGet, "http://"+s.operators+"/v1/in-force?version=1000000", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	call.Header.Set("Authorization", "Bearer "+token)
	answered := make(chan error, 1)
	go func() {
		resp, err := (&http.Transport{}).RoundTrip(call)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			err = errors.Join(err, resp.Body.Close())
		}
		answered <- err
	}()
	time.Sleep(200 * time.Millisecond)
	s.signal(t, syscall.SIGTERM)
	if err := <-answered; err != nil {
		t.Errorf("got %v for the operator's call, want an answer", err)
	}
	s.wantEnd(t, testLimit)
}

// Signals in series. Guards against a process that ends without its graceful shutdown.
func TestSignalsDoNotCutRequests(t *testing.T) {
	const hangup, terminate = syscall.SIGHUP, syscall.SIGTERM
	for _, c := range []struct {
		name                   string
		starting, before, stop []syscall.Signal
	}{
		{"SIGHUP ends the process", nil, []syscall.Signal{hangup, hangup, hangup}, []syscall.Signal{terminate}},
		{"SIGHUP during the start ends the process", []syscall.Signal{hangup, hangup}, nil, []syscall.Signal{terminate}},
		{"SIGHUP during the stop cuts requests", nil, nil, []syscall.Signal{terminate, hangup, hangup}},
		{"second SIGTERM cuts requests", nil, nil, []syscall.Signal{terminate, terminate, terminate}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, `limit = "30s"`, c.starting...)
			s.serve(t, 20*time.Millisecond)
			s.signal(t, c.before...)
			conn := s.dial(t)
			conn.write(t, chatRequest(50))
			s.eventually(t, "the request is under way", func() bool { _, err := conn.reader.Peek(1); return err == nil })
			s.signal(t, c.stop...)
			wantStream(t, conn)
			s.wantEnd(t, promptly)
		})
	}
	t.Run("SIGTERM during the start is no graceful stop", func(t *testing.T) {
		s := start(t, `limit = "30s"`, terminate)
		s.wantEnd(t, testLimit)
		if text, err := os.ReadFile(s.log); err != nil || !bytes.Contains(text, []byte("node stopped")) {
			t.Errorf("got %v and no line of the end, want a graceful stop", err)
		}
	})
	t.Run("second SIGINT does not end the process at once", func(t *testing.T) {
		s := start(t, `limit = "30s"`)
		s.serve(t, 20*time.Millisecond)
		conn := s.dial(t)
		conn.write(t, chatRequest(1<<20))
		s.eventually(t, "the request is under way", func() bool { _, err := conn.reader.Peek(1); return err == nil })
		s.signal(t, syscall.SIGINT, syscall.SIGINT)
		if err := <-s.ended; err == nil {
			t.Error("the node ends without an error although a request was cut")
		}
	})
}
