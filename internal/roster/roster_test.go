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
