package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// roundTrip encodes and decodes a command, as a voter does, and returns its encoded size.
func roundTrip(b *testing.B, c wire.Command) (wire.Command, int) {
	b.Helper()
	data, err := wire.Marshal(c)
	if err != nil {
		b.Fatal(err)
	}
	var decoded wire.Command
	if err := wire.Unmarshal(data, &decoded); err != nil {
		b.Fatal(err)
	}
	return decoded, len(data)
}

// runBookings applies n bookings with answers of 1 KiB and returns the encoded size of
// their commands.
func runBookings(b *testing.B, m *Machine, n int) (bytes int) {
	b.Helper()
	const incarnation, now = 1764823921000000000, 1764823921000
	m.Apply(wire.Command{Time: now, Session: &wire.Session{Node: "entry-001", Incarnation: incarnation, Up: true}})
	for i := range n {
		begin := wire.Booking{
			Verb: VerbBegin, Account: "hotel-group", Service: "pickup", Key: fmt.Sprintf("key-%032d", i), Attempt: fmt.Sprintf("%032d", i),
			Hash: fmt.Sprintf("%064d", i), Keep: 24 * 3600 * 1000,
		}
		finish := begin
		finish.Verb = VerbFinish
		finish.Answer = &wire.Answer{Status: 201, Header: []wire.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 1024)}
		for j, step := range []wire.Booking{begin, finish} {
			seq := uint64(2*i + j + 1)
			c, size := roundTrip(b, wire.Command{Node: "entry-001", Incarnation: incarnation, Seq: seq, Floor: seq, Time: now, Booking: &step})
			if out := m.Apply(c); out.Fault != "" {
				b.Fatal(out.Fault)
			}
			bytes += size
		}
	}
	return bytes
}

// BenchmarkBooking measures the begin and finish steps of n bookings with answers of
// 1 KiB at a voter, the memory for their records and the encoded size of their commands.
func BenchmarkBooking(b *testing.B) {
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for b.Loop() {
				runBookings(b, New(), n)
			}
			before := heapBytes()
			m := New()
			b.ReportMetric(float64(runBookings(b, m, n)), "log-bytes")
			b.ReportMetric(heapBytes()-before, "live-bytes")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkChange measures n configuration changes of one 200-byte entry each, the
// encoded size of their commands and the memory in use afterwards.
func BenchmarkChange(b *testing.B) {
	run := func(m *Machine, n int) (bytes int) {
		value := make([]byte, 200)
		for i := range n {
			c, size := roundTrip(b, wire.Command{Time: 1764823921000, Change: &wire.Change{
				ID: fmt.Sprintf("%032d", i), Author: "operator", Reason: "planned maintenance", Base: m.Space.Version,
				Items: []wire.Item{{Key: fmt.Sprintf("drain/upstream/runner-%05d", i%100), Value: value}},
			}})
			value = append(value[:0:0], value...)
			value[i%200]++
			m.Apply(c)
			bytes += size
		}
		return bytes
	}
	for _, n := range []int{250, 1000, 4000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for b.Loop() {
				run(New(), n)
			}
			before := heapBytes()
			m := New()
			b.ReportMetric(float64(run(m, n)), "log-bytes")
			b.ReportMetric(heapBytes()-before, "live-bytes")
			runtime.KeepAlive(m)
		})
	}
}
