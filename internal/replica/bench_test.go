package replica

import (
	"context"
	"fmt"
	"testing"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/capacity"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/wire"
)

// sampleNanos is a time in Unix nanoseconds, used for incarnations and times in samples.
const sampleNanos = 1764823921000000000

// nodeItem is the entry of a node with a session.
func nodeItem(i int) wire.Item {
	value := fmt.Sprintf(`{"name":"entry-%03d","incarnation":%d,"process":%d,"peer":"10.1.2.3:7001","announce":"10.1.2.3:7002","domain":"eu-central-1a","cell":"cell-%02d"}`, i, sampleNanos, sampleNanos, i/8)
	return wire.Item{Key: fmt.Sprintf("node/entry-%03d", i), Version: uint64(i + 1), Value: []byte(value)}
}

// BenchmarkRenew measures n renewals of a node's session with the leader of three
// voters over loopback; cpu-ns is the CPU time of the node and of all voters.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			c := newCluster(b, "a", "b", "c")
			c.start("a", "b", "c", "d")
			c.ready("a", "b", "c", "d")
			cpu := capacity.CPUTime()
			for b.Loop() {
				for range n {
					if err := c.node("d").session.renew(context.Background()); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(capacity.CPUTime()-cpu)/float64(b.N), "cpu-ns")
			request := wire.Renew{Node: "entry-001", Incarnation: sampleNanos, Version: 12000}
			b.ReportMetric(float64(n*capacity.FrameSize(kindRenew, true, request)), "request-bytes")
			b.ReportMetric(float64(n*capacity.FrameSize(kindRenew, true, wire.Grant{})), "grant-bytes")
		})
	}
}

// BenchmarkApplyDelta measures how a node applies one pushed change to a key space of
// n entries, and the size of a frame with the whole key space.
func BenchmarkApplyDelta(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			before := capacity.LiveBytes()
			v := newViewer(hooks{}, defaultLeaseTTL)
			full := wire.Delta{Full: true, Version: uint64(n)}
			for i := range n {
				full.Items = append(full.Items, nodeItem(i))
			}
			if err := v.extend(boottime.ReadClocks(), &full); err != nil {
				b.Fatal(err)
			}
			memory := capacity.LiveBytes() - before
			version := full.Version
			for b.Loop() {
				delta := wire.Delta{From: version, Version: version + 1, Items: []wire.Item{nodeItem(int(version) % n)}}
				if done, err := v.applyPush(delta); !done || err != nil {
					b.Fatal(done, err)
				}
				version++
			}
			b.ReportMetric(memory, "live-bytes")
			b.ReportMetric(float64(capacity.FrameSize(kindRenew, true, wire.Grant{Delta: &full})), "full-bytes")
		})
	}
}

// BenchmarkPush measures how the leader encodes a push of n changed entries, and the
// sizes of the push, of the Raft message that appends them and of its replies.
func BenchmarkPush(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			delta := wire.Delta{From: 12000, Version: 12001}
			m := raft.Message{Kind: raft.KindAppend, Group: "0123456789abcdef", From: "voter-1", To: "voter-2", Incarnation: sampleNanos, Target: sampleNanos, Term: 12, Index: 12000, Prior: 12, Commit: 12000, Sent: sampleNanos}
			for i := range n {
				delta.Items = append(delta.Items, nodeItem(i))
				data, _ := wire.Marshal(wire.Command{Time: 1764823921000, Change: &wire.Change{ID: "0123456789abcdef", Author: "operator", Reason: "planned maintenance", Base: 12000, Items: []wire.Item{nodeItem(i)}}})
				m.Entries = append(m.Entries, raft.Entry{Index: 12001, Term: 12, Data: data})
			}
			for b.Loop() {
				capacity.FrameSize(kindPush, false, delta)
			}
			reply := m
			reply.Entries, reply.Kind = nil, raft.KindAppendReply
			b.ReportMetric(float64(capacity.FrameSize(kindPush, false, delta)), "push-bytes")
			b.ReportMetric(float64(capacity.FrameSize(kindRaft, false, m)), "append-bytes")
			b.ReportMetric(float64(n*capacity.FrameSize(kindRaft, false, reply)), "reply-bytes")
		})
	}
}
