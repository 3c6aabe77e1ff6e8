package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/pkg/wire"
)

const waitTimeout = 20 * time.Second

type testNode struct {
	*Links
	address string
}

// startNode runs the links of a node on a loopback listener until the test ends.
func startNode(t *testing.T, name, key string, version uint16, addresses *sync.Map) *testNode {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := New(Config{Name: name, Incarnation: 1, Key: []byte(key), Log: log, Version: version, Address: func(n string) (string, bool) {
		a, ok := addresses.Load(n)
		if !ok {
			return "", false
		}
		return a.(string), true
	}})
	l.Handle("echo", func(_ context.Context, from string, body []byte) (any, error) {
		var s string
		if err := wire.Unmarshal(body, &s); err != nil {
			return nil, err
		}
		if s == "fail" {
			return nil, errors.New("asked to fail")
		}
		return from + ":" + s, nil
	})
	l.Handle("panic", func(context.Context, string, []byte) (any, error) { panic("asked to panic") })
	server := httptest.NewServer(l.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; server.CloseClientConnections(); server.Close() })
	address := server.Listener.Addr().String()
	addresses.Store(name, address)
	return &testNode{l, address}
}

func echo(t *testing.T, from *testNode, to, text string, limit time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var got string
	err := from.Call(ctx, to, "echo", text, &got)
	return got, err
}

func mustEcho(t *testing.T, from *testNode, to string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		got, err := echo(t, from, to, "x", time.Second)
		if err == nil && strings.HasSuffix(got, ":x") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no echo from %s: got %q, %v", to, got, err)
		}
	}
}

func TestSimultaneousDialKeepsOneConnection(t *testing.T) {
	var addresses sync.Map
	a, b := startNode(t, "a", "0123456789abcdef", 0, &addresses), startNode(t, "b", "0123456789abcdef", 0, &addresses)
	var wg sync.WaitGroup
	wg.Go(func() { mustEcho(t, a, "b") })
	wg.Go(func() { mustEcho(t, b, "a") })
	wg.Wait()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		linkA, _ := a.getLink("b")
		linkB, _ := b.getLink("a")
		if linkA != nil && linkB != nil && linkA.conn.LocalAddr().String() == linkB.conn.RemoteAddr().String() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the nodes use two different connections")
}

func TestCallReturnsRemoteError(t *testing.T) {
	var addresses sync.Map
	a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
	startNode(t, "b", "0123456789abcdef", 0, &addresses)
	mustEcho(t, a, "b")
	var remote *RemoteError
	if _, err := echo(t, a, "b", "fail", waitTimeout); !errors.As(err, &remote) || remote.Text != "asked to fail" {
		t.Fatalf("got %v, want the error of the other side", err)
	}
}

func TestHandshakeReportsMismatch(t *testing.T) {
	for _, c := range []struct {
		name, key, want string
		version         uint16
	}{
		{"different key", "another-key-00000", "security.peer_key", 0},
		{"protocol version", "0123456789abcdef", "protocol version", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var addresses sync.Map
			a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
			startNode(t, "b", c.key, c.version, &addresses)
			err := a.dialOnce(t.Context(), "b")
			var refused *HandshakeError
			if !errors.As(err, &refused) || !strings.Contains(refused.Reason, c.want) {
				t.Fatalf("got %v, want a handshake error that contains %s", err, c.want)
			}
		})
	}
}

// Guards against a listener that accepts a dialer without the shared key. The dialer here
// skips all checks and sends a proof under a different key.
func TestListenerRejectsDialerWithoutKey(t *testing.T) {
	var addresses sync.Map
	a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
	other := New(Config{Name: "b", Key: []byte("another-key-00000")})
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+a.address+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := writeHello(conn, other.hello("00", "")); err != nil {
		t.Fatal(err)
	}
	hello, err := readHello(conn)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeHello(conn, other.hello("00", other.proof(roleDialer, hello.Nonce, "b", "a"))); err != nil {
		t.Fatal(err)
	}
	if _, err := readHello(conn); err == nil || !strings.Contains(err.Error(), "shared key") {
		t.Fatalf("got %v, want a rejection that mentions the shared key", err)
	}
	if a.Connected("b") {
		t.Fatal("the dialer was accepted")
	}
}

// silencingProxy forwards connections to a target. Connections that have been silenced
// stay open but forward no more data; new connections work.
type silencingProxy struct {
	net.Listener
	silencedUpTo atomic.Int64 // connections up to this number are silenced
	accepted     atomic.Int64
}

func (p *silencingProxy) run(target string) {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		number := p.accepted.Add(1)
		go func() {
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				return
			}
			pipe := func(to, from net.Conn) {
				buf := make([]byte, 4096)
				for {
					count, err := from.Read(buf)
					if err != nil {
						_ = to.Close()
						return
					}
					if number <= p.silencedUpTo.Load() {
						continue
					}
					_, _ = to.Write(buf[:count])
				}
			}
			go pipe(out, in)
			pipe(in, out)
		}()
	}
}

// Guards against a link that keeps using a connection that has fallen silent although new
// connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var addresses sync.Map
	a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
	b := startNode(t, "b", "0123456789abcdef", 0, &addresses)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &silencingProxy{Listener: l}
	go p.run(b.address)
	addresses.Store("b", l.Addr().String())
	mustEcho(t, a, "b")
	p.silencedUpTo.Store(p.accepted.Load())
	first := p.accepted.Load()
	mustEcho(t, a, "b")
	if got := p.accepted.Load(); got <= first {
		t.Fatalf("%d connections, want more than %d", got, first)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, e := range []wire.Envelope{{Kind: "ping"}, {Kind: "propose", ID: 7, Body: []byte{1, 2}}, {Kind: "renew", ID: 1, Reply: true, Fault: "no"}} {
		frame, err := encodeFrame(e, nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeFrame(data)
		if err != nil {
			if !errors.Is(err, errInvalidFrame) {
				t.Fatalf("got %v, want errInvalidFrame", err)
			}
			return
		}
		reencoded, err := encodeFrame(e, nil)
		if err != nil {
			t.Fatalf("a decoded frame cannot be encoded: %v", err)
		}
		got, err := decodeFrame(reencoded)
		if err != nil || got.Kind != e.Kind || got.ID != e.ID || string(got.Body) != string(e.Body) {
			t.Fatalf("got %+v, %v after encoding %+v", got, err, e)
		}
	})
}
