package fleet

import (
	"testing"
	"time"
)

func domains() []CountDomain {
	return []CountDomain{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}}
}

// world is a platform in which orders take effect after a while.
type world struct {
	in   CountInputs
	mem  CountMemory
	now  time.Time
	pend map[CountKey]CountSent
	dry  bool
	// orders counts those given.
	orders int
}

func newWorld() *world {
	w := &world{now: time.Unix(0, 0), pend: make(map[CountKey]CountSent)}
	w.in = CountInputs{Nominal: 12, Least: 1, Most: 6, Spot: 0.18, Domains: domains(), Running: map[CountKey]int{}}
	for _, d := range domains() {
		w.in.Running[CountKey{d.Name, false}] = 3
	}
	return w
}

// run plays some seconds; new upstreams start after 4 s, others leave at once.
func (w *world) run(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		w.now = w.now.Add(time.Second)
		for key, p := range w.pend {
			if w.now.Sub(p.At) >= 4*time.Second {
				w.in.Running[key] = p.Count
				delete(w.pend, key)
			}
		}
		for _, o := range Counts(w.now, w.in, &w.mem) {
			w.orders++
			switch {
			case w.dry && o.Reclaimable && o.Count > w.in.Running[o.CountKey]:
				w.mem.Refuse(w.now, o)
			case o.Count < w.in.Running[o.CountKey]:
				w.in.Running[o.CountKey] = o.Count
				delete(w.pend, o.CountKey)
			default:
				w.pend[o.CountKey] = CountSent{Count: o.Count, At: w.now}
			}
		}
		if got, want := w.ready(), 8; got < want {
			t.Fatalf("at %v: got %d upstreams ready, want at least %d", w.now.Unix(), got, want)
		}
	}
}

func (w *world) ready() int {
	n := 0
	for _, c := range w.in.Running {
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
// capacity that goes before its replacement is there, and against flapping.
func TestFleetMovesToReclaimableUpstreams(t *testing.T) {
	w := newWorld()
	w.run(t, 20)
	if got, want := w.kind(false), 4; got != want {
		t.Errorf("got %d on-demand upstreams, want %d", got, want)
	}
	if got, want := w.kind(true), 12; got != want {
		t.Errorf("got %d reclaimable upstreams, want %d", got, want)
	}
	before := w.orders
	w.run(t, 60)
	if got := w.orders - before; got != 0 {
		t.Errorf("got %d orders in steady state, want none", got)
	}
}

// Load pattern: a reclaim of a domain with nothing to be had, then another one.
func TestReclaimsWithNothingToBeHad(t *testing.T) {
	w := newWorld()
	w.run(t, 20)
	w.dry = true
	w.in.Running[CountKey{"a", true}] = 0
	w.run(t, 1)
	if got, want := w.kind(false), 4; got != want {
		t.Errorf("after one reclaim: got %d on-demand upstreams, want %d", got, want)
	}
	w.in.Running[CountKey{"b", true}] = 0
	w.run(t, 8)
	if got, want := w.ready(), 11; got < want {
		t.Errorf("after two reclaims: got %d upstreams, want at least %d", got, want)
	}
	w.dry = false
	w.run(t, 20)
	if got, want := w.kind(false), 4; got != want {
		t.Errorf("after the offers came back: got %d on-demand upstreams, want %d", got, want)
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
