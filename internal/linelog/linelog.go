// Package linelog writes log lines without ever holding up the caller: lines go
// through a bounded queue and a bounded rate, and what does not fit is counted and
// reported in a line of its own.
package linelog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queued is the number of lines that wait to be written; at the rate below they are
	// two seconds' worth.
	queueLines = 512
	// linesPerSecond bounds the lines of one process. A node serves some tens of
	// requests a second with one line each; more lines than this are a fault's echo.
	maxLinesPerSecond = 250
)

// Writer is an io.Writer for whole lines. New returns one, Run writes them.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu           sync.Mutex
	windowSecond int64
	windowLines  int
}

// New returns a writer of lines to out.
func New(out io.Writer) *Writer { return &Writer{out: out, lines: make(chan []byte, queueLines)} }

// Write queues a copy of one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := now.Unix(); second != w.windowSecond {
		w.windowSecond, w.windowLines = second, 0
	}
	w.windowLines++
	return w.windowLines <= maxLinesPerSecond
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx ends and the queue is empty. The channel closes then.
func (w *Writer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		reported := uint64(0)
		for {
			select {
			case line := <-w.lines:
				_, _ = w.out.Write(line) // there is no other place to report to
			case <-ctx.Done():
				w.flush()
				return
			}
			if n := w.dropped.Load(); n != reported && len(w.lines) == 0 {
				_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d}\n", n)
				reported = n
			}
		}
	}()
	return done
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
