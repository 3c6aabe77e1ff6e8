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
	bootTime = 4 * time.Second
	coldTime = 3 * time.Second
	// nominal is the size that the operator provided, and leastReady what it needs.
	nominal    = 12
	leastReady = 8
)

// world is a platform in which orders take effect after a while.
type world struct {
	in   CountInputs
	mem  CountMemory
	now  time.Time
	pend map[CountKey]CountSent
	cold map[CountKey]CountSent // those that started last, with the number before them
	dry  bool
	// orders counts those given.
	orders int
}

func newWorld() *world {
	w := &world{now: time.Unix(0, 0), pend: make(map[CountKey]CountSent), cold: make(map[CountKey]CountSent)}
	w.in = CountInputs{Nominal: nominal, Least: 1, Most: 6, Spot: 0.18, Domains: domains(), Running: map[CountKey]int{}}
	for _, d := range domains() {
		w.in.Running[CountKey{d.Name, false}] = 3
	}
	return w
}

// run plays some seconds; new upstreams start after a while and are cold then, others
// leave at once.
func (w *world) run(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		w.now = w.now.Add(time.Second)
		for key, p := range w.pend {
			if w.now.Sub(p.At) >= bootTime {
				w.cold[key] = CountSent{Count: w.in.Running[key], At: w.now}
				w.in.Running[key] = p.Count
				delete(w.pend, key)
			}
		}
		w.in.Warm = w.warm()
		for _, o := range Counts(w.now, w.in, &w.mem) {
			w.orders++
			switch {
			case w.dry && o.Reclaimable && o.Count > w.in.Running[o.CountKey]:
				w.mem.Refuse(w.now, o)
			case o.Count < w.in.Running[o.CountKey]:
				w.in.Running[o.CountKey] = o.Count
				delete(w.pend, o.CountKey)
			case w.pend[o.CountKey].Count != o.Count:
				w.pend[o.CountKey] = CountSent{Count: o.Count, At: w.now}
			}
		}
		if got := w.ready(); got < leastReady {
			t.Fatalf("at %v: got %d upstreams that bear full load, want at least %d", w.now.Unix(), got, leastReady)
		}
	}
}

func (w *world) warm() map[CountKey]int {
	warm := maps.Clone(w.in.Running)
	for key, c := range w.cold {
		if w.now.Sub(c.At) < coldTime {
			warm[key] = min(warm[key], c.Count)
		}
	}
	return warm
}

func (w *world) reclaim(domains ...string) {
	for _, d := range domains {
		w.in.Running[CountKey{d, true}] = 0
	}
}

func (w *world) ready() int {
	n := 0
	for _, c := range w.warm() {
		n += c
	}
	return n
}

func (w *world) kind(reclaimable bool) int {
	n := 0
	for key, c := range w.in.Running {
		if key.Reclaimable == reclaimable {
			n += c
		}
	}
	return n
}

// Load pattern: steady load on a fleet that was provided on demand. Guards against
// capacity that goes before its replacement bears load, and against flapping.
func TestFleetMovesToReclaimableUpstreams(t *testing.T) {
	w := newWorld()
	w.run(t, 20)
	if got, want := w.kind(false), 2; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
	if got, want := w.kind(true), 16; got != want {
		t.Errorf("got %d reclaimable upstreams, want %d", got, want)
	}
	before := w.orders
	w.run(t, 60)
	if got := w.orders - before; got != 0 {
		t.Errorf("got %d orders in steady state, want none", got)
	}
}

// Load pattern: reclaims of one domain after another with nothing to be had. Guards
// against a fleet that replaces only what it has lost and is caught by the next one.
func TestReclaimsWithNothingToBeHad(t *testing.T) {
	w := newWorld()
	w.run(t, 20)
	w.dry = true
	w.reclaim("a")
	w.run(t, 10)
	w.reclaim("b")
	w.run(t, 10)
	w.reclaim("c", "d")
	if got, want := w.ready(), 7; got < want {
		t.Errorf("after the last two reclaims: got %d upstreams, want at least %d", got, want)
	}
}

// Load pattern: reclaimable upstreams are to be had again after a time without any.
func TestOffersThatComeBackReplaceTheOthers(t *testing.T) {
	w := newWorld()
	w.run(t, 20)
	w.dry = true
	w.reclaim("a", "b")
	w.run(t, 20)
	w.dry = false
	w.run(t, 20)
	if got, want := w.kind(false), 2; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
}

// A pool in one domain loses all reclaimable upstreams at once.
func TestSingleDomainKeepsOnDemandUpstreams(t *testing.T) {
	w := newWorld()
	w.in.Domains = w.in.Domains[:1]
	w.in.Most, w.in.Running = 40, map[CountKey]int{{"a", false}: nominal}
	w.run(t, 20)
	if got, want := w.kind(false), 11; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
}

func TestDrainedDomainGetsNoOrders(t *testing.T) {
	w := newWorld()
	w.in.Domains[1].Drained = true
	for _, o := range Counts(w.now, w.in, &w.mem) {
		if o.Domain == "b" {
			t.Errorf("got an order for the drained domain: %+v", o)
		}
	}
}

func TestBoundsOfADomainHold(t *testing.T) {
	in := newWorld().in
	in.Nominal = 100
	perDomain := map[string]int{}
	for _, o := range wanted(in) {
		perDomain[o.Domain] += o.Count
	}
	for d, n := range perDomain {
		if n < in.Least || n > in.Most {
			t.Errorf("domain %s: got %d, want %d to %d", d, n, in.Least, in.Most)
		}
	}
}
