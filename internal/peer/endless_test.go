package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Network fault: another program has taken over a node's address, and sends bytes without
// end. Guards against memory that grows with them.
func TestEndlessHandshakeIsCutOff(t *testing.T) {
	const maxHeapGrowth = 16 << 20
	for name, head := range map[string]string{
		"status line":  "",
		"header lines": "HTTP/1.1 101 Switching Protocols\r\nX-Long: ",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, err = io.WriteString(c, head)
					for block := bytes.Repeat([]byte("x"), 32<<10); err == nil; {
						_, err = c.Write(block)
					}
					_ = c.Close()
				}
			}()
			log := logrus.New()
			log.SetOutput(io.Discard)
			links := New(Config{Name: "a", Incarnation: 1, Key: []byte("0123456789abcdef"), Log: log, Address: func(string) (string, bool) { return l.Addr().String(), true }})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			runCtx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); links.Run(runCtx) }()
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if err := links.Call(ctx, "b", "echo", "x", nil); err == nil {
				t.Error("got no error, want one")
			}
			runtime.ReadMemStats(&after)
			stop()
			<-done
			if growth := int64(after.TotalAlloc - before.TotalAlloc); growth > maxHeapGrowth {
				t.Errorf("got %d bytes allocated, want at most %d", growth, maxHeapGrowth)
			}
		})
	}
}
