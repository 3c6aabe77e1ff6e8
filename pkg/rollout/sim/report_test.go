package sim

import "testing"

// Guards against reports that raise the control traffic above 5 KB/s per node. A node
// sends a report every 2 s, so a report must stay below 10 KB.
func TestReportSize(t *testing.T) {
	s := Generate(3, FaultNone, OnsetImmediate)
	s.Rate = 182 * float64(s.Nodes) // the design rate per node
	for i := range s.Domains {
		s.Domains[i].Name = "a-failure-domain-" + s.Domains[i].Name
	}
	r := newRun(s, "")
	largest, entries := 0, 0
	for range 300 {
		r.step()
		for _, n := range r.nodes {
			data, err := n.report().Encode()
			if err != nil {
				t.Fatal(err)
			}
			if len(data) > largest {
				largest, entries = len(data), len(n.counts)
			}
		}
	}
	t.Logf("largest report: %d bytes for %d entries, %d nodes", largest, entries, len(r.nodes))
	if largest > 10<<10 {
		t.Errorf("got a report of %d bytes", largest)
	}
}
