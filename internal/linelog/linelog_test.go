package linelog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// Guards against requests that block on logging when nothing reads standard output,
// such as when every request logs a line during an overload.
func TestWriteNeverBlocks(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := New(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 10 * queueLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-finished:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocked")
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want lines above the limits dropped")
	}
	close(s.release)
	cancel()
	<-done
}

func TestWriterLimitsLines(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for range maxLinesPerSecond * 3 {
		_, _ = w.Write([]byte("line\n"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	for len(w.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if got := strings.Count(out.String(), "line\n"); got == 0 || got > queueLines {
		t.Errorf("got %d lines, want 1 to %d", got, queueLines)
	}
}

// Guards against a queue that holds much memory while nothing reads standard output, as its
// lines repeat long headers of clients or upstreams.
func TestLongLinesAreBoundedTogether(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := New(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range maxLinesPerSecond {
		_, _ = w.Write(line)
	}
	queued := 0
	for len(w.lines) > 0 {
		queued += len(<-w.lines)
	}
	if queued == 0 || queued > 1<<20 {
		t.Errorf("queued: got %d bytes, want some and at most 1 MiB", queued)
	}
	close(s.release)
	cancel()
	<-done
}
