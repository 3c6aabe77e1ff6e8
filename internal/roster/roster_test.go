package roster

import (
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

func status(id, address string, born, sequence uint64) wire.Status {
	return wire.Status{ID: id, Address: address, Born: born, Sequence: sequence}
}

func leaving(s wire.Status) wire.Status { s.Leaving = true; return s }

func gone(s wire.Status) wire.Status { s.Gone = true; return s }

// Guards against a late report that brings an earlier start back.
func TestStatusesAreOrdered(t *testing.T) {
	for _, c := range []struct {
		name  string
		given []wire.Status
		want  []Change
	}{
		{"late report of one start", []wire.Status{status("a", "x", 1, 2), status("a", "x", 1, 1)}, []Change{Joined, Outdated}},
		{"restart under the same id counts anew", []wire.Status{status("a", "x", 1, 9), status("a", "x", 2, 1)}, []Change{Joined, Joined}},
		{"report of the start before", []wire.Status{status("a", "x", 2, 1), status("a", "x", 1, 9)}, []Change{Joined, Outdated}},
		{"report of an upstream whose address another one took", []wire.Status{status("a", "x", 1, 1), status("b", "x", 2, 1), status("a", "x", 1, 2)}, []Change{Joined, Joined, Outdated}},
		{"report after leaving", []wire.Status{leaving(status("a", "x", 1, 2)), status("a", "x", 1, 3)}, []Change{Left, Refreshed}},
		{"report after the end", []wire.Status{status("a", "x", 1, 2), gone(status("a", "", 1, 0)), status("a", "x", 1, 3)}, []Change{Joined, Left, Outdated}},
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

func TestLeavingIsNotTakenBack(t *testing.T) {
	r := New()
	r.Apply(time.Unix(100, 0), leaving(status("a", "x", 1, 2)))
	r.Apply(time.Unix(101, 0), status("a", "x", 1, 3))
	if e, _ := r.Get("a"); !e.Leaving {
		t.Error("a later report of the same start took the leaving back")
	}
}

func TestHolderOfAReusedAddressIsGone(t *testing.T) {
	r := New()
	r.Apply(time.Unix(100, 0), status("a", "x", 1, 1))
	r.Apply(time.Unix(101, 0), status("b", "x", 2, 1))
	if e, _ := r.Get("a"); !e.Gone {
		t.Error("the earlier holder of the address is still listed")
	}
}
