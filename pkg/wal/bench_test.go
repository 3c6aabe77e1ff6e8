package wal

import (
	"fmt"
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

// BenchmarkRecover measures a restart after 12,000 changes of 200 bytes without a
// snapshot, and the bytes on the disk for each, with one and with 16 in a save.
func BenchmarkRecover(b *testing.B) {
	for _, batch := range []int{1, 16} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			m := newMemFS(1)
			l := open(b, "d", Options{FS: m})
			recovered(b, l)
			for index := uint64(1); index <= 12000; {
				list := make([]wire.RaftEntry, batch)
				for i := range list {
					list[i] = wire.RaftEntry{Index: index, Term: 5, Data: make([]byte, 200)}
					index++
				}
				save(b, l, 5, list...)
			}
			size := 0
			for _, f := range m.names {
				size += len(f.data)
			}
			for b.Loop() {
				l.Close()
				l = open(b, "d", Options{FS: m})
				if r := recovered(b, l); len(r.Entries) != 12000 {
					b.Fatalf("got %d entries", len(r.Entries))
				}
			}
			b.ReportMetric(float64(size)/12000, "bytes/entry")
		})
	}
}

// BenchmarkSave measures a save of n entries of 400 bytes to a real disk, and the
// bytes that it adds to the log.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			l := open(b, b.TempDir(), Options{})
			defer l.Close()
			recovered(b, l)
			index := uint64(1)
			before := l.size
			for b.Loop() {
				list := make([]wire.RaftEntry, n)
				for i := range list {
					list[i] = wire.RaftEntry{Index: index, Term: 5, Data: make([]byte, 400)}
					index++
				}
				save(b, l, 5, list...)
			}
			b.ReportMetric(float64(l.size-before)/float64(b.N), "disk-bytes")
		})
	}
}
