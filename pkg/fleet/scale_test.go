package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan plans one pool of up to 12,000 VMs in 14 failure domains.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{3000, 6000, 12000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			in := inputs(float64(n) * 100 * 0.8)
			in.Prices = nil
			for d := range 14 {
				domain := fmt.Sprintf("d%d", d)
				in.Prices = append(in.Prices, Price{Offer: Offer{Class: "a", Domain: domain, Reclaimable: true}, PerHour: 1 + 0.01*float64(d)})
			}
			for i := range n {
				in.VMs = append(in.VMs, VM{
					ID: fmt.Sprintf("v%05d", i), Offer: in.Prices[i%14].Offer, Pool: "p", State: Ready, Since: now.Add(-time.Hour), PricePerHour: 1,
				})
			}
			for b.Loop() {
				Plan(now, in)
			}
		})
	}
}
