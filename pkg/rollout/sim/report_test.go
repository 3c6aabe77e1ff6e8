package sim

import "testing"

// Guards against reports that take the control traffic above 5 KB/s per node: a
// report is sent every 2 s, so it has to stay below 10 KB.
func TestReportSize(t *testing.T) {
	s := Generate(3, FaultNone, OnsetImmediate)
	s.Rate = 182 * float64(s.Nodes) // the design's rate per node
	for i := range s.Domains {
		s.Domains[i].Name = "a-failure-domain-" + s.Domains[i].Name
	}
	r := newRun(s, "")
	largest, cells := 0, 0
	for range 300 {
		r.step()
		for _, n := range r.nodes {
			data, err := n.report().Encode()
			if err != nil {
				t.Fatal(err)
			}
			if len(data) > largest {
				largest, cells = len(data), len(n.counts)
			}
		}
	}
	t.Logf("largest report: %d bytes for %d cells, %d nodes", largest, cells, len(r.nodes))
	if largest > 10<<10 {
		t.Errorf("got a report of %d bytes", largest)
	}
}
