package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessSlots lets all clients' requests run at once.
	endlessSlots = 250
	// soundTime is how long a sound upstream takes for an answer.
	soundTime = 500 * time.Millisecond
	// A slow endless answer comes at 100 KB a second.
	trickleBytes = 10 << 10
	trickleGap   = 100 * time.Millisecond
)

// endlessForm is a way in which an upstream sends bytes without end.
type endlessForm struct {
	name  string
	route string
	// prefix is sent once, unit again and again. ATTEMPT in them stands for the request's ID.
	prefix, unit string
}

const (
	endlessHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-Runner-Signature: faulty\r\n"
	endlessSSE  = endlessHead + "Content-Type: text/event-stream\r\n\r\n"
)

var endlessForms = []endlessForm{
	{"no length", "look", endlessHead + "\r\n", "x"},
	{"huge length", "look", endlessHead + "Content-Length: 1000000000000\r\n\r\n", "x"},
	{"many events without data", "gen", endlessSSE, "id: 1\n\n"},
	{"one long event", "gen", endlessSSE + "data: ", "x"},
	{"comments", "gen", endlessSSE, ": none\n\n"},
	{"one long comment", "gen", endlessSSE + ": ", "x"},
	{"tiny chunks", "look", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk extensions", "look", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"},
	{"header lines", "look", endlessHead, "X-More: yes\r\n"},
	{"one long header line", "look", endlessHead + "X-Long: ", "x"},
	{"trailer", "look", endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "x"},
	{"late answers to other requests", "look", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nlate"},
	{"body of a late answer", "look", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	{"informational answers", "look", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"status line", "look", "", "x"},
}

// block returns whole units of at least n bytes together.
func (f *endlessForm) block(n int) []byte {
	return []byte(strings.Repeat(f.unit, (n+len(f.unit)-1)/len(f.unit)))
}

// endlessArrivals counts the arrivals of one request at upstreams, and the whole answers that
// they sent.
type endlessArrivals struct{ sound, faulty, whole atomic.Int32 }

// endlessUpstream is a stand-in whose answers have no end, or a sound one.
type endlessUpstream struct {
	id, address string
	form        *endlessForm // nil for a sound upstream
	slow        bool
	block       []byte
	requests    *sync.Map // of *endlessArrivals, by attempt ID
	count       atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool // nil after close
	done     sync.WaitGroup
}

func newEndlessUpstream(t testing.TB, address string, form *endlessForm, slow bool, requests *sync.Map) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	u := &endlessUpstream{id: address + "-1", address: address, form: form, slow: slow, requests: requests, listener: l, open: make(map[net.Conn]bool)}
	if form != nil {
		size := 32 << 10
		if slow {
			size = trickleBytes
		}
		u.block = form.block(size)
	}
	u.done.Add(1)
	go u.accept()
	return u
}

func (u *endlessUpstream) accept() {
	defer u.done.Done()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.open == nil {
			_ = conn.Close()
		} else {
			u.open[conn] = true
			u.done.Add(1)
			go u.serve(conn)
		}
		u.mu.Unlock()
	}
}

func (u *endlessUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for conn := range u.open {
		_ = conn.Close()
	}
	u.open = nil
	u.mu.Unlock()
	u.done.Wait()
}

func (u *endlessUpstream) serve(conn net.Conn) {
	defer u.done.Done()
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.open, conn)
		u.mu.Unlock()
	}()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(64 << 10)
	}
	reader := bufio.NewReaderSize(conn, 1<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := u.answer(conn, reader, r); err != nil {
			return
		}
	}
}

func (u *endlessUpstream) answer(conn net.Conn, reader *bufio.Reader, r *http.Request) error {
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt == "" { // a health check
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	u.count.Add(1)
	arrivals := new(endlessArrivals)
	if known, ok := u.requests.Load(attempt); ok {
		arrivals = known.(*endlessArrivals)
	}
	if u.form != nil {
		arrivals.faulty.Add(1)
		return u.sendEndless(conn, attempt)
	}
	arrivals.sound.Add(1)
	time.Sleep(soundTime)
	// The node ends an attempt that another one has made needless.
	if hasEnded(conn, reader) {
		return io.EOF
	}
	head := strings.Replace(endlessHead, "faulty", "sound", 1) + "Content-Length: 6\r\n\r\nbooked"
	if strings.HasPrefix(r.URL.Path, "/gen/") {
		head = strings.Replace(endlessSSE, "faulty", "sound", 1)
		head = strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ndata: sound\n\r\n1\r\n\n\r\n0\r\n\r\n", 1)
	}
	arrivals.whole.Add(1)
	_, err := io.WriteString(conn, strings.ReplaceAll(head, "ATTEMPT", attempt))
	return err
}

// hasEnded reports whether the other side has closed the connection.
func hasEnded(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// sendEndless sends until the node closes the connection.
func (u *endlessUpstream) sendEndless(conn net.Conn, attempt string) error {
	_, err := io.WriteString(conn, strings.ReplaceAll(u.form.prefix, "ATTEMPT", attempt))
	if u.slow {
		time.Sleep(time.Duration(rand.Int64N(int64(trickleGap))))
	}
	for err == nil {
		_, err = conn.Write(u.block)
		if u.slow {
			time.Sleep(trickleGap)
		}
	}
	return err
}

// announce reports the upstream's state until ctx is done.
func (u *endlessUpstream) announce(ctx context.Context, c *stopCluster) {
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		status := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`, u.address, endlessSlots, sequence, born)
		c.control(rand.IntN(voters), http.MethodPut, "/runners/"+u.id, status)
		sleep(ctx, 300*time.Millisecond)
	}
}
