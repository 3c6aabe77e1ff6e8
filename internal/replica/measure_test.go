package replica

import (
	"context"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaystage/jaystage/pkg/wire"
)

var measure = flag.Bool("measure", false, "run the measurements, which take a minute and check nothing")

// TestMeasureBookings compares group commit with one sync per write, alternating
// between both in one run.
func TestMeasureBookings(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for round := range 3 {
		for _, syncEach := range []bool{false, true} {
			for _, workers := range []int{1, 64} {
				measureBookings(t, round, syncEach, workers)
			}
		}
	}
}

func measureBookings(t *testing.T, round int, syncEach bool, workers int) {
	t.Helper()
	c := newCluster(t, "a", "b", "c")
	var sent atomic.Int64
	c.hooks.syncEach, c.hooks.sentMessages = syncEach, &sent
	c.start("a", "b", "c")
	c.ready("a", "b", "c")
	c.leader("a", "b", "c")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	before, messages, started := diskBytes(c.dir), sent.Load(), time.Now()
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			m := c.node([]string{"a", "b", "c"}[w%3])
			for i := 0; time.Since(started) < 3*time.Second; i++ {
				at := time.Now()
				attempt, got, err := m.Begin(ctx, booking(fmt.Sprintf("%d-%d", w, i)))
				if err == nil && got.Fresh {
					err = <-attempt.Finish(ctx, wire.Answer{Status: 201, Body: make([]byte, 200)})
				}
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				_ = h.RecordValue(time.Since(at).Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	n := float64(h.TotalCount())
	t.Logf("round %d, one sync per write %v, %d workers: %.0f bookings/s, p50 %.2f ms, p99 %.2f ms, %.0f bytes on the three disks and %.1f messages per booking",
		round, syncEach, workers, n/time.Since(started).Seconds(), float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(diskBytes(c.dir)-before)/n, float64(sent.Load()-messages)/n)
	for _, name := range c.voters {
		c.cancel(name)
	}
	for _, name := range c.voters {
		c.stop(name)
	}
}

func diskBytes(dir string) int64 {
	total := int64(0)
	_ = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := os.Stat(path); err == nil {
				total += info.Size()
			}
		}
		return nil
	})
	return total
}

// TestMeasureRestart measures the time from the start of a voter to its lease when its
// log holds the changes of a day.
func TestMeasureRestart(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	const changes = 12_000
	c := newCluster(t, "a")
	c.start("a")
	c.ready("a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	started := time.Now()
	var group sync.WaitGroup
	var next atomic.Int64
	for range 16 {
		group.Go(func() {
			for i := next.Add(1); i <= changes; i = next.Add(1) {
				item := wire.Item{Key: fmt.Sprint("domain/d", i%500), Value: fmt.Appendf(nil, `{"name":"d%d","region":"r%d"}`, i%500, i)}
				if _, err := c.node("a").Change(ctx, wire.Change{ID: fmt.Sprint(i), Base: 1 << 40, Items: []wire.Item{item}}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d changes in %v, %d bytes on disk", changes, time.Since(started).Round(time.Millisecond), diskBytes(c.dir))
	for range 3 {
		c.stop("a")
		started = time.Now()
		c.start("a")
		opened := time.Since(started)
		c.ready("a")
		t.Logf("restart: directory read in %v, lease after %v", opened.Round(100*time.Microsecond), time.Since(started).Round(time.Millisecond))
	}
}
