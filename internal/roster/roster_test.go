package roster

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

func status(id, address string, born, sequence uint64) wire.Status {
	return wire.Status{ID: id, Address: address, Born: born, Sequence: sequence}
}

func leaving(s wire.Status) wire.Status { s.Leaving = true; return s }

func gone(s wire.Status) wire.Status { s.Gone = true; return s }

// Guards against a late report that restores an earlier incarnation or a gone upstream.
func TestApplyIgnoresOutdatedStatuses(t *testing.T) {
	for _, c := range []struct {
		name  string
		given []wire.Status
		want  []Change
	}{
		{"late report of the same incarnation", []wire.Status{status("a", "x", 1, 2), status("a", "x", 1, 1)}, []Change{Joined, Outdated}},
		{"restart under the same ID resets the sequence", []wire.Status{status("a", "x", 1, 9), status("a", "x", 2, 1)}, []Change{Joined, Joined}},
		{"report of an earlier incarnation", []wire.Status{status("a", "x", 2, 1), status("a", "x", 1, 9)}, []Change{Joined, Outdated}},
		{"report of an upstream whose address was taken over", []wire.Status{status("a", "x", 1, 1), status("b", "x", 2, 1), status("a", "x", 1, 2)}, []Change{Joined, Joined, Outdated}},
		{"another ID with the same start time at the address", []wire.Status{status("a", "x", 1, 1), status("b", "x", 1, 1), status("a", "x", 1, 2)}, []Change{Joined, Outdated, Refreshed}},
		{"another ID at the address, without start times", []wire.Status{status("a", "x", 0, 1), status("b", "x", 0, 1), status("a", "x", 0, 2)}, []Change{Joined, Joined, Outdated}},
		{"report after leaving", []wire.Status{leaving(status("a", "x", 1, 2)), status("a", "x", 1, 3)}, []Change{Left, Refreshed}},
		{"first report says that the upstream is gone", []wire.Status{gone(status("a", "x", 1, 1))}, []Change{Left}},
		{"report after the upstream is gone", []wire.Status{status("a", "x", 1, 2), gone(status("a", "", 1, 0)), status("a", "x", 1, 3)}, []Change{Joined, Left, Outdated}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for i, s := range c.given {
				if got := r.Apply(time.Unix(100, 0), s); got != c.want[i] {
					t.Errorf("status %d: got %v, want %v", i, got, c.want[i])
				}
			}
		})
	}
}

func TestLeavingIsKept(t *testing.T) {
	r := New()
	r.Apply(time.Unix(100, 0), leaving(status("a", "x", 1, 2)))
	r.Apply(time.Unix(101, 0), status("a", "x", 1, 3))
	if e, _ := r.Get("a"); !e.Leaving {
		t.Error("a later report of the same incarnation unset Leaving")
	}
}

func TestReusedAddressMarksEarlierUpstreamGone(t *testing.T) {
	r := New()
	r.Apply(time.Unix(100, 0), status("a", "x", 1, 1))
	r.Apply(time.Unix(101, 0), status("b", "x", 2, 1))
	if e, _ := r.Get("a"); !e.Gone {
		t.Error("the earlier upstream at the address is not gone")
	}
}

// Guards against a status that its receivers cannot decode, or whose numbers overflow or
// outdate every later one.
func TestImpossibleStatusIsRejected(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, edit := range map[string]func(s *wire.Status){
		"no id":                     func(s *wire.Status) { s.ID = "" },
		"id with a line break":      func(s *wire.Status) { s.ID = "a\nb" },
		"id that is not UTF-8":      func(s *wire.Status) { s.ID = "\xff" },
		"long id":                   func(s *wire.Status) { s.ID = strings.Repeat("i", MaxTextBytes+1) },
		"service that is not UTF-8": func(s *wire.Status) { s.Service = "\xff" },
		"long domain":               func(s *wire.Status) { s.Domain = strings.Repeat("d", MaxTextBytes+1) },
		"start time in the future":  func(s *wire.Status) { s.Born = uint64(now.Add(maxClockDifference).UnixMilli()) + 1 },
		"largest start time":        func(s *wire.Status) { s.Born = math.MaxUint64 },
		"largest sequence":          func(s *wire.Status) { s.Sequence = math.MaxUint64 },
		"largest slots":             func(s *wire.Status) { s.Slots = math.MaxUint64 },
		"largest cold time":         func(s *wire.Status) { s.Cold = math.MaxUint64 },
		"largest time to leave":     func(s *wire.Status) { s.Leaves = math.MaxUint64 },
	} {
		for _, gone := range []bool{false, true} {
			r, s := New(), status("a", "x", 1, 1)
			s.Gone = gone
			edit(&s)
			if got := r.Apply(now, s); got != Rejected || len(r.List()) != 0 {
				t.Errorf("%s: got %v and %d entries, want the status rejected", name, got, len(r.List()))
			}
		}
	}
}

// Guards against a status for a service that is not configured and takes an upstream of a
// configured one out of use.
func TestStatusOfUnknownServiceReplacesNoOther(t *testing.T) {
	of := func(service string, s wire.Status) wire.Status { s.Service = service; return s }
	for _, c := range []struct {
		name  string
		given []wire.Status
		want  []Change
	}{
		{"same address", []wire.Status{of("s", status("a", "x", 1, 1)), of("odd", status("b", "x", 2, 1)), of("s", status("a", "x", 1, 2))}, []Change{Joined, Rejected, Refreshed}},
		{"same id", []wire.Status{of("s", status("a", "x", 1, 1)), of("odd", status("a", "y", 2, 9)), of("s", status("a", "x", 1, 2))}, []Change{Joined, Rejected, Refreshed}},
		{"leaving under the same id", []wire.Status{of("s", status("a", "x", 1, 1)), of("odd", leaving(status("a", "x", 1, 9))), of("s", status("a", "x", 1, 2))}, []Change{Joined, Rejected, Refreshed}},
		{"unknown service first, at the address", []wire.Status{of("odd", status("b", "x", 2, 1)), of("s", status("a", "x", 1, 1))}, []Change{Joined, Joined}},
		{"unknown service first, same id", []wire.Status{of("odd", status("a", "x", 2, 9)), of("s", status("a", "x", 1, 1))}, []Change{Joined, Joined}},
		{"after the end of the upstream", []wire.Status{of("s", status("a", "x", 1, 1)), gone(status("a", "", 1, 2)), of("odd", status("b", "x", 2, 1))}, []Change{Joined, Left, Joined}},
		{"end of the upstream", []wire.Status{of("s", status("a", "x", 1, 1)), gone(status("a", "", 1, 2))}, []Change{Joined, Left}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Configured = func(_ time.Time, service string) bool { return service == "s" }
			for i, s := range c.given {
				if got := r.Apply(time.Unix(100, 0), s); got != c.want[i] {
					t.Errorf("status %d: got %v, want %v", i, got, c.want[i])
				}
			}
		})
	}
}

// Guards against a start time or a sequence number that was too high and hides every later
// report of the upstream or of its address, and against late reports that pass as such.
func TestStaleEntryHidesNoReports(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name  string
		first wire.Status
		then  wire.Status
		after time.Duration
		want  Change
	}{
		{"sequence, at once", status("a", "x", 5, 900), status("a", "x", 5, 2), time.Second, Outdated},
		{"sequence, later", status("a", "x", 5, 900), status("a", "x", 5, 2), staleAfter + time.Second, Refreshed},
		{"start, at once", status("a", "x", 900, 1), status("a", "x", 5, 2), time.Second, Outdated},
		{"start, later", status("a", "x", 900, 1), status("a", "x", 5, 2), staleAfter + time.Second, Joined},
		{"start at the address, at once", status("b", "x", 900, 1), status("a", "x", 5, 2), time.Second, Outdated},
		{"start at the address, later", status("b", "x", 900, 1), status("a", "x", 5, 2), staleAfter + time.Second, Joined},
		{"ended upstream, later", gone(status("a", "x", 5, 900)), status("a", "x", 5, 2), staleAfter + time.Second, Outdated},
		{"earlier start of an ended upstream, later", gone(status("a", "x", 900, 1)), status("a", "x", 5, 2), staleAfter + time.Second, Outdated},
		{"leaving upstream, later", leaving(status("a", "x", 5, 900)), status("a", "x", 5, 2), staleAfter + time.Second, Refreshed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply(start, c.first)
			if got := r.Apply(start.Add(c.after), c.then); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			want := c.first.Leaving || c.first.Gone
			if e, _ := r.Get("a"); e.ID != "" && e.Leaving != want {
				t.Errorf("leaving: got %v, want %v", e.Leaving, want)
			}
		})
	}
}

// Guards against an upstream that stays displaced although the one that took over its
// address has fallen silent.
func TestDisplacedUpstreamReturns(t *testing.T) {
	r, start := New(), time.Unix(1_000_000, 0)
	r.Apply(start, status("a", "x", 5, 1))
	r.Apply(start, status("b", "x", 900, 1))
	for i, want := range []Change{Outdated, Joined, Refreshed} {
		now := start.Add(time.Duration(i) * (staleAfter + time.Second))
		if got := r.Apply(now, status("a", "x", 5, uint64(2+i))); got != want {
			t.Errorf("report %d: got %v, want %v", i, got, want)
		}
	}
	if e, _ := r.Get("a"); e.Gone || e.Leaving {
		t.Errorf("got %+v, want the upstream in use", e)
	}
	if e, _ := r.Get("b"); !e.Gone {
		t.Errorf("got %+v, want the silent upstream displaced", e)
	}
}

// Load pattern: thousands of upstreams that report every second. Guards against a look at the
// configuration, which reads a clock, for each of their reports.
func TestHeartbeatsReadNoConfiguration(t *testing.T) {
	r, calls := New(), 0
	r.Configured = func(time.Time, string) bool { calls++; return true }
	for i := range 100 {
		s := status("a", "x", 1, uint64(1+i))
		s.Service = "s"
		r.Apply(time.Unix(100, 0), s)
	}
	if calls > 0 {
		t.Errorf("got %d calls of Configured, want none", calls)
	}
}

// Guards against a list of statuses that is lost as a whole because one of them has text
// that is not UTF-8, as voters of earlier releases pass it on.
func TestOddTextCostsOneStatus(t *testing.T) {
	data, err := wire.Marshal(wire.Statuses{List: []wire.Status{status("\xff", "y", 1, 1), status("a", "x", 1, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	var list wire.Statuses
	if err := wire.Unmarshal(data, &list); err != nil || len(list.List) != 2 {
		t.Fatalf("got %v and %v, want both statuses", list, err)
	}
	r := New()
	for i, want := range []Change{Rejected, Joined} {
		if got := r.Apply(time.Unix(100, 0), list.List[i]); got != want {
			t.Errorf("status %d: got %v, want %v", i, got, want)
		}
	}
	var command wire.Command
	if data, err = wire.Marshal(wire.Command{Change: &wire.Change{ID: "\xff"}}); err != nil {
		t.Fatal(err)
	}
	if err := wire.Unmarshal(data, &command); err == nil {
		t.Error("a command with such text was decoded: voters of other releases could not apply it")
	}
}
