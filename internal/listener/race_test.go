package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// raceHandlerTime is how long a request runs, so that a connection that ends meanwhile
	// shows in its context.
	raceHandlerTime = 2 * time.Millisecond
	raceDrainTime   = 10 * time.Second
)

// raceServer is a server whose handler checks that its request is not disturbed.
type raceServer struct {
	http.Server
	listener *Listener
	draining atomic.Bool

	mu       sync.Mutex
	handled  map[string]bool
	answered map[string]bool
	failures []string
}

// startRaceServer starts a server with the time limits of an entry node. Its
// accepts and its deadlines in the past are held up for a time.
func startRaceServer(t *testing.T, accept, deadline time.Duration) *raceServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if accept+deadline > 0 {
		inner = heldListener{inner.(*net.TCPListener), accept, deadline}
	}
	s := &raceServer{listener: New(inner), handled: make(map[string]bool), answered: make(map[string]bool)}
	s.Handler, s.ConnState = http.HandlerFunc(s.serve), s.listener.ConnState
	s.ReadHeaderTimeout, s.IdleTimeout = 10*time.Second, 90*time.Second
	go func() { _ = s.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func (s *raceServer) serve(w http.ResponseWriter, r *http.Request) {
	s.note(func() { s.handled[r.URL.Path] = true })
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.note(func() { s.failures = append(s.failures, fmt.Sprintf("%s: read of the body: %v", r.URL.Path, err)) })
	}
	select {
	case <-r.Context().Done():
		s.note(func() { s.failures = append(s.failures, fmt.Sprintf("%s: %v", r.URL.Path, r.Context().Err())) })
	case <-time.After(raceHandlerTime):
	}
	_, _ = io.WriteString(w, "ok")
}

func (s *raceServer) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// stop drains and closes the server as an entry node does.
func (s *raceServer) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), raceDrainTime)
	defer cancel()
	s.draining.Store(true)
	if err := s.listener.Drain(ctx); err != nil {
		t.Errorf("drain: got %v, want its end", err)
	}
	_ = s.Close()
}

// exchange sends a request in two segments and reads the answer.
func (s *raceServer) exchange(c net.Conn, reader *bufio.Reader, path, head, body string, pause time.Duration) error {
	if _, err := io.WriteString(c, fmt.Sprintf(head, path)); err != nil {
		return err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && string(text) == "ok" {
		s.note(func() { s.answered[path] = true })
	}
	return err
}

// wantUndisturbed checks that each request that the handler got ran to its end and was
// answered, and returns the number of those.
func (s *raceServer) wantUndisturbed(t *testing.T, round int) int {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.failures {
		t.Errorf("round %d: request that was handled: got %s, want it undisturbed", round, f)
	}
	for path := range s.handled {
		if !s.answered[path] {
			t.Errorf("round %d: request %s was handled: got no whole answer, want one", round, path)
		}
	}
	return len(s.handled)
}

// heldListener holds goroutines up as if they had lost their processor: after an accept, or
// before a deadline in the past is set on a connection.
type heldListener struct {
	*net.TCPListener
	accept, deadline time.Duration
}

// heldConn is a connection of a heldListener.
type heldConn struct {
	*net.TCPConn
	hold time.Duration
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.accept)
	return heldConn{c, l.deadline}, nil
}

// SetReadDeadline implements net.Conn.
func (c heldConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		time.Sleep(c.hold)
	}
	return c.TCPConn.SetReadDeadline(t)
}

const (
	headWithoutBody = "GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
	headWithBody    = "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
)

// raceRound plays one stop in which requests arrive on idle connections around the moment at
// which the drain ends these. It returns the number of requests that were handled.
func raceRound(t *testing.T, round, connections int, hold time.Duration) int {
	t.Helper()
	s := startRaceServer(t, 0, hold)
	start := make(chan struct{})
	// The drain looks at all connections within about this time.
	pass := time.Duration(connections) * (4*time.Microsecond + hold)
	var ready, done sync.WaitGroup
	for i := range connections {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		ready.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.Close()
			reader := bufio.NewReader(c)
			err := s.exchange(c, reader, fmt.Sprintf("/first/%d", i), headWithoutBody, "", 0)
			ready.Done()
			if err != nil {
				t.Errorf("first request: got %v, want an answer", err)
				return
			}
			<-start
			for began := time.Now(); time.Since(began) < pass*time.Duration((i*37+round*13)%100)/100; {
				runtime.Gosched()
			}
			path := fmt.Sprintf("/second/%d", i)
			switch i % 5 {
			case 0:
				_ = s.exchange(c, reader, path, headWithoutBody, "", 0)
			case 1:
				_ = s.exchange(c, reader, path, headWithBody, "body", 0)
			default:
				// The server waits for the body, so that a deadline in force shows.
				_ = s.exchange(c, reader, path, headWithBody, "body", 500*time.Microsecond)
			}
		}()
	}
	ready.Wait()
	time.Sleep(time.Millisecond) // the connections become idle
	close(start)
	s.stop(t)
	done.Wait()
	return s.wantUndisturbed(t, round) - connections
}

// Guards against a drain that ends an idle connection while a request arrives on it, so that
// the request is handled with a cancelled context or without its body.
func TestDrainDoesNotDisturbArrivingRequests(t *testing.T) {
	for _, c := range []struct {
		name                string
		rounds, connections int
		hold                time.Duration
	}{
		{"drain runs freely", 20, 200, 0},
		{"drain is held up", 30, 40, 300 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			handled := 0
			for round := range c.rounds {
				handled += raceRound(t, round, c.connections, c.hold)
			}
			t.Logf("%d of %d requests were handled", handled, c.rounds*c.connections)
		})
	}
}

// Guards against a drain that ends while connections are still accepted, so that the close of
// the server cuts requests that are handled.
func TestDrainEndsAfterLastAcceptedConnection(t *testing.T) {
	const rounds = 40
	for round := range rounds {
		stopWhileAccepting(t, round)
	}
}

// stopWhileAccepting plays one stop while clients go on opening connections.
func stopWhileAccepting(t *testing.T, round int) {
	const connectors = 4
	s := startRaceServer(t, 0, 0)
	var done sync.WaitGroup
	for n := range connectors {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := 0; ; i++ {
				c, err := net.Dial("tcp", s.listener.Addr().String())
				if err != nil {
					return
				}
				_ = s.exchange(c, bufio.NewReader(c), fmt.Sprintf("/%d/%d", n, i), headWithoutBody, "", 0)
				_ = c.Close()
				time.Sleep(time.Duration(1+(round+3*n+i)%7) * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Duration(5+round%5) * time.Millisecond)
	s.stop(t)
	done.Wait()
	s.wantUndisturbed(t, round)
}

// Guards against a drain that ends, because no connection is open, before the connections in
// the backlog have been accepted.
func TestDrainServesBacklogWhileAcceptsAreHeldUp(t *testing.T) {
	const connections, hold = 4, 50 * time.Millisecond
	s := startRaceServer(t, hold, 0)
	var sent, done sync.WaitGroup
	for i := range connections {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		sent.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.Close()
			_, err := fmt.Fprintf(c, headWithoutBody, fmt.Sprint("/", i))
			sent.Done()
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(c), nil)
			}
			if err != nil {
				t.Errorf("request %d in the backlog: got %v, want an answer", i, err)
			}
		}()
	}
	sent.Wait()
	s.stop(t)
	done.Wait()
}
