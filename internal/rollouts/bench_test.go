package rollouts

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/caller"
	"github.com/jaystage/jaystage/internal/capacity"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/rollout"
	"github.com/jaystage/jaystage/pkg/wire"
)

// newReport returns a node's report with counts for the given number of keys, each with its
// own failure domain and with values in 12 bins of every histogram.
func newReport(node string, keys int) wire.Tally {
	t := NewTracker(node, 1764823921000000000)
	share := config.Share{ID: "0123456789abcdef", From: "v1", To: "v2", Fraction: 0.1, Phase: "running"}
	view := &config.View{Shares: map[string]config.Share{"s": share}}
	t.Admit("s", share, 100, "")
	for k := range keys {
		for i := range 48 {
			d := time.Duration(1<<(i%12)) * 10 * time.Millisecond
			t.RecordAttempt(time.Unix(1e9, 0), caller.AttemptReport{Service: "s", Version: "v2", Class: "chat", Route: "/v1/chat/completions", Domain: fmt.Sprint("domain-", k), Result: caller.ResultAnswered, TimeToFirstToken: d, InterTokenLatency: d, CompletionTime: d})
		}
	}
	out, _ := t.Report(view)
	return out
}

// BenchmarkReportBytes measures the time to build a report with n keys and its encoded
// size.
func BenchmarkReportBytes(b *testing.B) {
	for _, n := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var r wire.Tally
			for b.Loop() {
				r = newReport("entry-001", n)
			}
			b.ReportMetric(float64(capacity.FrameSize(kindReport, true, r)), "report-bytes")
		})
	}
}

// BenchmarkTake measures how long the leader takes to handle one report from each of
// n nodes.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := &groupMember{g: &testGroup{leader: "a", term: 1}, name: "a"}
			id := "0123456789abcdef"
			c := &Controller{Node: "a", State: m, term: 1, evaluations: map[string]*evaluation{id: {collector: rollout.NewCollector(), allocator: rollout.NewAllocator(id, 1)}}}
			var reports []wire.Tally
			for i := range n {
				reports = append(reports, newReport(fmt.Sprintf("entry-%03d", i), 8))
			}
			for b.Loop() {
				for _, r := range reports {
					if _, err := c.handleReport(r); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
