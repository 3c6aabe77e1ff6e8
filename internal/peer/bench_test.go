package peer

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/capacity"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a capacity calculation that differs from the bytes that links send.
func TestCapacityFrameMatchesLinkFrame(t *testing.T) {
	const mask = 4
	for payload, header := range map[int]int{0: 2, 90: 2, 120: 4, 1000: 4, 70_000: 10} {
		message := make([]byte, payload)
		frame, err := encodeFrame(wire.Envelope{Kind: "m"}, message)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := capacity.FrameSize("m", false, message), len(frame)+header+mask; got != want {
			t.Errorf("frame of %d bytes: got %d, want %d", payload, got, want)
		}
	}
}

// BenchmarkFrame measures n one-way messages of 200 bytes over loopback, one frame each.
// cpu-ns is the CPU time of both ends, including the kernel's.
func BenchmarkFrame(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			got := make(chan struct{}, n)
			key := []byte("0123456789abcdef")
			to := New(Config{Name: "b", Incarnation: 1, Key: key, Log: log, Address: func(string) (string, bool) { return "", false }})
			to.Handle("m", func(context.Context, string, []byte) (any, error) { got <- struct{}{}; return nil, nil })
			server := httptest.NewServer(to.Handler())
			defer server.Close()
			address := server.Listener.Addr().String()
			from := New(Config{Name: "a", Incarnation: 1, Key: key, Log: log, Address: func(string) (string, bool) { return address, true }})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, l := range []*Links{to, from} {
				done := make(chan struct{})
				go func() { defer close(done); l.Run(ctx) }()
				defer func() { cancel(); <-done }()
			}
			defer server.CloseClientConnections()
			message := make([]byte, 200)
			for from.Send("b", "m", message) != nil {
				time.Sleep(time.Millisecond)
			}
			<-got
			cpu := capacity.CPUTime()
			for b.Loop() {
				for range n {
					if err := from.Send("b", "m", message); err != nil {
						b.Fatal(err)
					}
					<-got // as in production, the connection is idle when the next frame is sent
				}
			}
			b.ReportMetric(float64(capacity.CPUTime()-cpu)/float64(b.N), "cpu-ns")
		})
	}
}
