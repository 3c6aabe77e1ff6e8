package operator

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/jaystage/jaystage/internal/cloud"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/wire"
)

type upstreamList []upstream.Entry

func (l upstreamList) List() []upstream.Entry { return l }

// BenchmarkListUpstreams measures the response that lists n upstreams. It also reports
// its size and that of n VMs in the JSON form of the platform's list.
func BenchmarkListUpstreams(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var list upstreamList
			var vms []cloud.VM
			for i := range n {
				id := fmt.Sprintf("runner-%05d", i)
				list = append(list, upstream.Entry{Announce: wire.Announce{
					ID: id, Incarnation: 1764823921000000000, Sequence: 1000000, Address: "10.1.20.30:8000", VM: "i-0123456789abcdef0", Domain: "eu-central-1a",
					Class: "gpu-2x80", Price: 3.21, Ready: true, Limit: 96, Load: wire.Load{Running: 55, Tokens: 412345, Capacity: 800000},
					Serving: []wire.Serving{{Service: "front-desk-chat", Version: "2026-11-30", Adapters: []string{"de", "at"}}},
				}})
				vms = append(vms, cloud.VM{ID: "i-0123456789abcdef0", OrderID: "0123456789abcdef", Class: "gpu-2x80", Domain: "eu-central-1a", Pool: "chat", State: "running", Started: 1764823921000, HourlyPrice: 3.21})
			}
			s := &Server{Upstreams: list}
			var w *httptest.ResponseRecorder
			for b.Loop() {
				w = httptest.NewRecorder()
				s.listUpstreams(w, nil)
			}
			b.ReportMetric(float64(w.Body.Len()), "list-bytes")
			w = httptest.NewRecorder()
			writeJSON(w, 200, vms)
			b.ReportMetric(float64(w.Body.Len()), "vm-bytes")
		})
	}
}
