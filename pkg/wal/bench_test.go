package wal

import (
	"fmt"
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

// BenchmarkRecover measures recovery from 12,000 entries of 200 bytes without a snapshot,
// written in batches of 1 and 16 entries, and the bytes on disk per entry.
func BenchmarkRecover(b *testing.B) {
	for _, batch := range []int{1, 16} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			m := newMemFS(1)
			l := mustOpen(b, "d", Options{FS: m})
			mustRecover(b, l)
			for index := uint64(1); index <= 12000; {
				list := make([]wire.RaftEntry, batch)
				for i := range list {
					list[i] = wire.RaftEntry{Index: index, Term: 5, Data: make([]byte, 200)}
					index++
				}
				mustSave(b, l, 5, list...)
			}
			size := 0
			for _, f := range m.names {
				size += len(f.data)
			}
			for b.Loop() {
				l.Close()
				l = mustOpen(b, "d", Options{FS: m})
				if r := mustRecover(b, l); len(r.Entries) != 12000 {
					b.Fatalf("got %d entries", len(r.Entries))
				}
			}
			b.ReportMetric(float64(size)/12000, "bytes/entry")
		})
	}
}

// BenchmarkSave measures a save of n entries of 400 bytes to a real disk, and the bytes
// that each save adds to the log.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			l := mustOpen(b, b.TempDir(), Options{})
			defer l.Close()
			mustRecover(b, l)
			index := uint64(1)
			before := l.segmentSize
			for b.Loop() {
				list := make([]wire.RaftEntry, n)
				for i := range list {
					list[i] = wire.RaftEntry{Index: index, Term: 5, Data: make([]byte, 400)}
					index++
				}
				mustSave(b, l, 5, list...)
			}
			b.ReportMetric(float64(l.segmentSize-before)/float64(b.N), "disk-bytes")
		})
	}
}
