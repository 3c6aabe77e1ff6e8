package fleet

import (
	"maps"
	"testing"
	"time"
)

func domains() []CountDomain {
	return []CountDomain{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}}
}

const (
	// bootTime and coldTime are those of a simulated upstream.
	upstreamBootTime = 4 * time.Second
	upstreamColdTime = 3 * time.Second
	// nominal is the size that the operator provided, and leastReady what it needs.
	nominalSize = 12
	minWarm     = 8
)

// world is a platform in which orders take effect after a while.
type fakePlatform struct {
	in            CountInputs
	mem           CountMemory
	now           time.Time
	pending       map[OfferKey]SentCount
	warming       map[OfferKey]SentCount // those that started last, with the number before them
	noReclaimable bool
	// orders counts those given.
	orderCount int
}

func newFakePlatform() *fakePlatform {
	f := &fakePlatform{now: time.Unix(0, 0), pending: make(map[OfferKey]SentCount), warming: make(map[OfferKey]SentCount)}
	f.in = CountInputs{Nominal: nominalSize, MinPerDomain: 1, MaxPerDomain: 6, SpotPriceRatio: 0.18, Domains: domains(), Running: map[OfferKey]int{}}
	for _, d := range domains() {
		f.in.Running[OfferKey{d.Name, false}] = 3
	}
	return f
}

// run plays some seconds; new upstreams start after a while and are cold then, others
// leave at once.
func (f *fakePlatform) run(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		f.now = f.now.Add(time.Second)
		for key, p := range f.pending {
			if f.now.Sub(p.At) >= upstreamBootTime {
				f.warming[key] = SentCount{Count: f.in.Running[key], At: f.now}
				f.in.Running[key] = p.Count
				delete(f.pending, key)
			}
		}
		f.in.Warm = f.warm()
		for _, o := range PlanCounts(f.now, f.in, &f.mem) {
			f.orderCount++
			switch {
			case f.noReclaimable && o.Reclaimable && o.Count > f.in.Running[o.OfferKey]:
				f.mem.RecordRefusal(f.now, o)
			case o.Count < f.in.Running[o.OfferKey]:
				f.in.Running[o.OfferKey] = o.Count
				delete(f.pending, o.OfferKey)
			case f.pending[o.OfferKey].Count != o.Count:
				f.pending[o.OfferKey] = SentCount{Count: o.Count, At: f.now}
			}
		}
		if got := f.warmTotal(); got < minWarm {
			t.Fatalf("at %v: got %d upstreams that bear full load, want at least %d", f.now.Unix(), got, minWarm)
		}
	}
}

func (f *fakePlatform) warm() map[OfferKey]int {
	warm := maps.Clone(f.in.Running)
	for key, c := range f.warming {
		if f.now.Sub(c.At) < upstreamColdTime {
			warm[key] = min(warm[key], c.Count)
		}
	}
	return warm
}

func (f *fakePlatform) reclaim(domains ...string) {
	for _, d := range domains {
		f.in.Running[OfferKey{d, true}] = 0
	}
}

func (f *fakePlatform) warmTotal() int {
	n := 0
	for _, c := range f.warm() {
		n += c
	}
	return n
}

func (f *fakePlatform) count(reclaimable bool) int {
	n := 0
	for key, c := range f.in.Running {
		if key.Reclaimable == reclaimable {
			n += c
		}
	}
	return n
}

// Load pattern: steady load on a fleet that was provided on demand. Guards against
// capacity that goes before its replacement bears load, and against flapping.
func TestCountsMoveToReclaimableUpstreams(t *testing.T) {
	p := newFakePlatform()
	p.run(t, 20)
	if got, want := p.count(false), 2; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
	if got, want := p.count(true), 16; got != want {
		t.Errorf("got %d reclaimable upstreams, want %d", got, want)
	}
	before := p.orderCount
	p.run(t, 60)
	if got := p.orderCount - before; got != 0 {
		t.Errorf("got %d orders in steady state, want none", got)
	}
}

// Load pattern: reclaims of one domain after another with nothing to be had. Guards
// against a fleet that replaces only what it has lost and is caught by the next one.
func TestReclaimsWithoutReplacementCapacity(t *testing.T) {
	p := newFakePlatform()
	p.run(t, 20)
	p.noReclaimable = true
	p.reclaim("a")
	p.run(t, 10)
	p.reclaim("b")
	p.run(t, 10)
	p.reclaim("c", "d")
	if got, want := p.warmTotal(), 7; got < want {
		t.Errorf("after the last two reclaims: got %d upstreams, want at least %d", got, want)
	}
}

// Load pattern: reclaimable upstreams are to be had again after a time without any.
func TestAvailableReclaimableReplacesOnDemand(t *testing.T) {
	p := newFakePlatform()
	p.run(t, 20)
	p.noReclaimable = true
	p.reclaim("a", "b")
	p.run(t, 20)
	p.noReclaimable = false
	p.run(t, 20)
	if got, want := p.count(false), 2; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
}

// A pool in one domain loses all reclaimable upstreams at once.
func TestSingleDomainKeepsOnDemandUpstreams(t *testing.T) {
	p := newFakePlatform()
	p.in.Domains = p.in.Domains[:1]
	p.in.MaxPerDomain, p.in.Running = 40, map[OfferKey]int{{"a", false}: nominalSize}
	p.run(t, 20)
	if got, want := p.count(false), 11; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
}

func TestDrainedDomainGetsNoOrders(t *testing.T) {
	p := newFakePlatform()
	p.in.Domains[1].Drained = true
	for _, o := range PlanCounts(p.now, p.in, &p.mem) {
		if o.Domain == "b" {
			t.Errorf("got an order for the drained domain: %+v", o)
		}
	}
}

func TestCountsStayWithinDomainBounds(t *testing.T) {
	in := newFakePlatform().in
	in.Nominal = 100
	perDomain := map[string]int{}
	for _, o := range targetCounts(in) {
		perDomain[o.Domain] += o.Count
	}
	for d, n := range perDomain {
		if n < in.MinPerDomain || n > in.MaxPerDomain {
			t.Errorf("domain %s: got %d, want %d to %d", d, n, in.MinPerDomain, in.MaxPerDomain)
		}
	}
}
