package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/jaystage/jaystage/internal/testseed"
)

var now = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func inputs(load float64) Inputs {
	in := Inputs{
		Rules: Rules{Headroom: 1, ForecastMargin: 1, ScaleInWindow: 10 * time.Minute, StoreRate: 1e9},
		Pools: []Pool{{
			Name: "p", Capacity: map[string]float64{"a": 100}, ColdStart: 2 * time.Minute, WeightBytes: 10e9,
		}},
		Lease: &Lease{Token: 3, Expires: now.Add(time.Second)}, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	for i, d := range []string{"x", "y", "z"} {
		in.Prices = append(in.Prices,
			Price{Offer: Offer{Class: "a", Domain: d, Reclaimable: true}, PerHour: 1 + 0.1*float64(i)},
			Price{Offer: Offer{Class: "a", Domain: d}, PerHour: 3})
	}
	for t := 20 * time.Minute; t >= 0; t -= 10 * time.Second {
		in.Pools[0].Samples = append(in.Pools[0].Samples, Sample{Time: now.Add(-t), Load: load})
	}
	return in
}

func starts(d Decision) (n int, domains map[string]int) {
	domains = make(map[string]int)
	for _, o := range d.Orders {
		if o.Action == Start {
			n++
			domains[o.Offer.Domain]++
		}
	}
	return n, domains
}

// Guards against starts that overload the weight store by reading from it all at once.
func TestStartsStaggeredByWeightStoreRate(t *testing.T) {
	in := inputs(2000)
	d := Plan(now, in)
	n, _ := starts(d)
	// The weight store serves one start in 10 s; a VM reads from it 30 s after its order.
	if n < 1 || n > 4 || len(d.Pools[0].Waiting) == 0 {
		t.Errorf("got %d starts at once, waiting %v", n, d.Pools[0].Waiting)
	}
	in.Memory = d.Memory
	later := now.Add(10 * time.Second)
	in.Lease.Expires = later.Add(time.Second)
	if n, _ := starts(Plan(later, in)); n != 1 {
		t.Errorf("got %d starts 10 s later, want 1", n)
	}
}

// Guards against ordering a refused offer again without a backoff.
func TestRefusedStartFallsBackToAnotherOffer(t *testing.T) {
	in := inputs(150)
	in.Rules.StoreRate = 0 // no rate limit, which would delay the second start
	d := Plan(now, in)
	in.Memory = d.Memory
	refused := d.Orders[0]
	in.Results = []Result{{OrderID: refused.ID, Refused: true}}
	d = Plan(now, in)
	n, _ := starts(d)
	for _, o := range d.Orders {
		if o.Offer == refused.Offer {
			t.Errorf("ordered %v again at once", o.Offer)
		}
	}
	if n == 0 {
		t.Error("no start of another offer")
	}
	if wait := d.Memory.Backoff[0].Until.Sub(now); wait < backoffBase/2 || wait > backoffBase*3/2 {
		t.Errorf("got a backoff of %s", wait)
	}
}

// Guards against a second VM: an order whose response is lost has to keep its ID.
func TestLostResponseResendsSameOrder(t *testing.T) {
	in := inputs(150)
	d := Plan(now, in)
	first := d.Orders[0]
	in.Memory, in.Lease = d.Memory, &Lease{Token: 4, Expires: now.Add(time.Hour)}
	d = Plan(now.Add(orderResendAfter), in)
	if got := d.Orders[0]; got.ID != first.ID || got.Fencing != 4 {
		t.Errorf("got order %s with token %d, want %s with 4", got.ID, got.Fencing, first.ID)
	}
}

func TestNoOrdersWithoutLease(t *testing.T) {
	for name, lease := range map[string]*Lease{"none": nil, "expired": {Token: 3, Expires: now}} {
		in := inputs(150)
		in.Lease = lease
		if d := Plan(now, in); len(d.Orders) > 0 || d.Refused == "" {
			t.Errorf("%s: got %d orders, refused %q", name, len(d.Orders), d.Refused)
		}
	}
}

// Guards against placing VMs in a drained domain, and against counting the capacity
// there.
func TestDrainedDomainIsReplaced(t *testing.T) {
	in := inputs(150)
	for _, d := range []string{"x", "y", "z"} {
		in.VMs = append(in.VMs, VM{
			ID: d, Offer: Offer{Class: "a", Domain: d, Reclaimable: true}, Pool: "p", State: Ready, Since: now.Add(-time.Hour), PricePerHour: 1,
		})
	}
	if n, _ := starts(Plan(now, in)); n != 0 {
		t.Errorf("got %d starts with enough VMs", n)
	}
	in.Drained = map[string]bool{"x": true}
	n, domains := starts(Plan(now, in))
	if n == 0 || domains["x"] > 0 {
		t.Errorf("got %d starts, in %v", n, domains)
	}
}

// Guards against stopping the VMs of the old version during a rollout.
func TestMinLoadKeepsVMs(t *testing.T) {
	in := inputs(0)
	in.VMs = []VM{
		{ID: "1", Offer: Offer{Class: "a", Domain: "x"}, Pool: "p", State: Ready, PricePerHour: 3},
		{ID: "2", Offer: Offer{Class: "a", Domain: "y"}, Pool: "p", State: Ready, PricePerHour: 3},
	}
	in.Pools[0].MinLoad = 100
	in.Prices = in.Prices[:0]
	if d := Plan(now, in); len(d.Orders) > 0 {
		t.Errorf("got orders %+v", d.Orders)
	}
	in.Pools[0].MinLoad = 0
	if d := Plan(now, in); len(d.Orders) != 2 {
		t.Errorf("got %d orders without load, want 2 stops", len(d.Orders))
	}
}

// Guards against counting a VM as coming capacity forever when it never becomes ready.
func TestStuckStartIsReplaced(t *testing.T) {
	in := inputs(0)
	in.Pools[0].MinLoad = 50
	for i, d := range []string{"x", "y"} {
		in.VMs = append(in.VMs, VM{
			ID: d, Offer: Offer{Class: "a", Domain: d}, Pool: "p", State: Starting, Since: now.Add(-time.Duration(1+9*i) * time.Minute), PricePerHour: 3,
		})
	}
	d := Plan(now, in)
	n, _ := starts(d)
	if n != 1 || len(d.Orders) != 2 {
		t.Errorf("got orders %+v, want one start and one stop", d.Orders)
	}
}
