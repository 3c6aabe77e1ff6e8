// Package linelog writes log lines without blocking the caller. Lines pass a rate limit
// and a bounded queue; lines over either limit are dropped, counted and reported in a
// separate log line.
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
	// queueLines is the capacity of the queue, about 2 s of output at maxLinesPerSecond.
	queueLines = 512
	// queueBytes bounds what the lines in the queue hold: a line may repeat a header of a
	// client or an upstream.
	queueBytes = 1 << 20
	// maxLinesPerSecond limits the lines of one process. A node serves some tens of
	// requests per second and logs one line for each; a higher rate comes from a fault
	// that repeats the same messages.
	maxLinesPerSecond = 250
)

// Writer is an io.Writer that queues whole lines. Run writes them to the output.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// queued is the size of the lines in the queue. It never exceeds queueBytes by more than
	// the lines that are written at the same time.
	queued atomic.Int64

	mu           sync.Mutex
	windowSecond int64
	windowLines  int
}

// New returns a Writer to out. Lines are written only while Run is running.
func New(out io.Writer) *Writer { return &Writer{out: out, lines: make(chan []byte, queueLines)} }

// Write queues a copy of one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	if w.queued.Load()+int64(len(line)) > queueBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.queued.Add(int64(len(line)))
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-int64(len(line)))
		w.dropped.Add(1)
	}
	return len(line), nil
}

// output writes a line that was taken from the queue.
func (w *Writer) output(line []byte) {
	_, _ = w.out.Write(line) // nowhere to report a write error
	w.queued.Add(-int64(len(line)))
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run starts to write queued lines. When ctx ends, it writes the rest of the queue and
// closes the returned channel.
func (w *Writer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		reported := uint64(0)
		for {
			select {
			case line := <-w.lines:
				w.output(line)
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
			w.output(line)
		default:
			return
		}
	}
}
