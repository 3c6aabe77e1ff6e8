package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkPeriods measures n seconds of probing among eight nodes: the steps of all
// nodes (every 50 ms), the number of messages per node, and their size as JSON.
func BenchmarkPeriods(b *testing.B) {
	for _, n := range []int{10, 40, 160} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for b.Loop() {
				newCluster(8, 1).run(time.Duration(n) * time.Second)
			}
			c := newCluster(8, 1)
			c.run(time.Duration(n) * time.Second)
			sent := 0
			for _, s := range c.sent {
				sent += s
			}
			body, _ := json.Marshal(Message{Kind: Ping, From: "entry-001", To: "entry-002", Target: "entry-002", Sequence: 86400})
			b.ReportMetric(float64(sent)/8, "messages")
			b.ReportMetric(float64(sent)/8*float64(len(body)), "message-bytes")
		})
	}
}
