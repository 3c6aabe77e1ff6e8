package cell

import (
	"context"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

// network carries updates between the cells of a test.
type network struct {
	handlers map[string]peer.Handler
	// lost tells whether a message is lost.
	lost func(from, to string) bool
}

type links struct {
	net  *network
	self string
}

func (l links) Handle(_ string, h peer.Handler) { l.net.handlers[l.self] = h }

func (l links) Send(to, _ string, message any) error {
	if l.net.lost != nil && l.net.lost(l.self, to) {
		return peer.ErrUnreachable
	}
	body, err := wire.Marshal(message)
	if err != nil {
		return err
	}
	_, err = l.net.handlers[to](context.Background(), l.self, body)
	return err
}

func (l links) Connected(name string) bool { return l.net.lost == nil || !l.net.lost(l.self, name) }

type state struct{ view *config.View }

func (s *state) View(time.Time) (*config.View, bool) { return s.view, true }
func (s *state) Lease() time.Time                    { return time.Time{} }

type slots struct{}

func (slots) HandleAnnounce(time.Time, upstream.Entry, int) time.Duration { return 0 }
func (slots) HandleDemand(time.Time, routing.Demand)                      {}
func (slots) ApplyGrant(time.Time, routing.Grant)                         {}

type suspects struct{ known map[routing.Fingerprint]bool }

func (s suspects) Merge(_ time.Time, in routing.Suspect) { s.known[in.Fingerprint] = true }
func (s suspects) Clear(f routing.Fingerprint)           { delete(s.known, f) }

var names = []string{"a", "b", "c"}

// newCells returns three nodes of one cell that know each other.
func newCells() (*network, map[string]*Cell) {
	net := &network{handlers: make(map[string]peer.Handler)}
	view, _ := config.NewView(1, nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cells := make(map[string]*Cell)
	for _, name := range names {
		view.Nodes[name] = config.Node{Name: name, Process: 1, Announce: name + ":1"}
		c := &Cell{
			Self: routing.Node{Name: name, Incarnation: 1}, Links: links{net, name}, State: &state{view},
			Registry: upstream.NewRegistry(time.Second), Slots: slots{}, Suspects: suspects{make(map[routing.Fingerprint]bool)}, Log: log,
			Now: func() time.Time { return time.Unix(100, 0) },
		}
		c.Open()
		cells[name] = c
	}
	for _, c := range cells {
		c.tick(c.Now())
	}
	return net, cells
}

// settle flushes all cells until nothing is left to send.
func settle(cells map[string]*Cell) {
	for range 2 * len(cells) {
		for _, name := range names {
			cells[name].flush()
		}
	}
}

func announcement(sequence uint64) wire.Announce {
	return wire.Announce{
		ID: "u", Incarnation: 1, Sequence: sequence, Address: "x:1", VM: "v", Domain: "d", Ready: true,
		Serving: []wire.Serving{{Service: "s", Version: "v1"}},
	}
}

func assertServing(t *testing.T, cells map[string]*Cell, nodes []string, want int) {
	t.Helper()
	for _, name := range nodes {
		if got := len(cells[name].Registry.Serving("s", "v1")); got != want {
			t.Errorf("upstreams that node %s would use: got %d, want %d", name, got, want)
		}
	}
}

func TestAnnouncementsReachTheCell(t *testing.T) {
	t.Run("an upstream announced to one node must not stay unknown to the others", func(t *testing.T) {
		_, cells := newCells()
		for i, at := range names {
			a := announcement(uint64(i + 1))
			a.ID = "u" + at
			cells[at].Announce(cells[at].Now(), a)
		}
		settle(cells)
		assertServing(t, cells, names, len(names))
	})
	t.Run("a leaving upstream must not get work from nodes that its dead owner would have told", func(t *testing.T) {
		net, cells := newCells()
		owner := cells["a"].members(cells["a"].State.(*state).view).Owner("u")
		var alive []string
		for _, n := range names {
			if n != owner {
				alive = append(alive, n)
			}
		}
		cells[owner].Announce(cells[owner].Now(), announcement(1))
		settle(cells)
		assertServing(t, cells, names, 1)
		net.lost = func(from, to string) bool { return from == owner || to == owner }
		leaving := announcement(2)
		leaving.Leaving = true
		cells[alive[0]].Announce(cells[alive[0]].Now(), leaving)
		settle(cells)
		assertServing(t, cells, alive, 0)
	})
	t.Run("an upstream must not expire at the other nodes while its dead owner has no successor", func(t *testing.T) {
		net, cells := newCells()
		owner := cells["a"].members(cells["a"].State.(*state).view).Owner("u")
		var alive []string
		for _, n := range names {
			if n != owner {
				alive = append(alive, n)
			}
		}
		cells[owner].Announce(cells[owner].Now(), announcement(1))
		settle(cells)
		net.lost = func(from, to string) bool { return from == owner || to == owner }
		for beat := range uint64(6) {
			now := time.Unix(101+int64(beat), 0)
			for _, n := range alive {
				cells[n].Now = func() time.Time { return now }
			}
			cells[alive[0]].Announce(now, announcement(2+beat))
			settle(cells)
			for _, n := range alive {
				cells[n].Registry.Expire(now)
			}
		}
		assertServing(t, cells, alive, 1)
	})
	t.Run("the reply sends the upstream to its owner", func(t *testing.T) {
		_, cells := newCells()
		owner := cells["a"].members(cells["a"].State.(*state).view).Owner("u")
		for _, name := range names {
			got, _ := cells[name].Announce(cells[name].Now(), announcement(1))
			want := owner + ":1"
			if name == owner {
				want = ""
			}
			if got != want {
				t.Errorf("next address from node %s: got %q, want %q", name, got, want)
			}
		}
	})
	t.Run("a node that joins must not wait for the next change of an upstream", func(t *testing.T) {
		net, cells := newCells()
		net.lost = func(_, to string) bool { return to == "c" }
		cells["a"].Announce(cells["a"].Now(), announcement(1))
		settle(cells)
		assertServing(t, cells, []string{"c"}, 0)
		net.lost = nil
		view := *cells["a"].State.(*state).view
		view.Version = 2
		view.Nodes = map[string]config.Node{"a": {Name: "a", Process: 1}, "b": {Name: "b", Process: 1}, "c": {Name: "c", Process: 2}}
		for _, name := range []string{"a", "b"} {
			cells[name].State.(*state).view = &view
			cells[name].tick(cells[name].Now())
		}
		settle(cells)
		if got := cells["a"].members(&view).Owner("u"); got == "c" {
			t.Fatal("owner: got c, want a node that knows the upstream")
		}
		assertServing(t, cells, []string{"c"}, 1)
	})
}

func TestOlderAnnouncementNeverWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, cells := newCells()
		net.lost = func(string, string) bool { return rapid.IntRange(0, 3).Draw(t, "loss") == 0 }
		newest := make(map[string][2]uint64)
		for i := range rapid.IntRange(1, 20).Draw(t, "announcements") {
			at := rapid.SampledFrom(names).Draw(t, "node")
			a := announcement(rapid.Uint64Range(1, 8).Draw(t, "sequence"))
			a.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			a.Load.Running = uint64(i)
			cells[at].Announce(cells[at].Now(), a)
			if rapid.Bool().Draw(t, "flush") {
				settle(cells)
			}
			for _, name := range names {
				e, ok := cells[name].Registry.Get("u")
				if !ok {
					continue
				}
				now := [2]uint64{e.Incarnation, e.Sequence}
				if old := newest[name]; now[0] < old[0] || now[0] == old[0] && now[1] < old[1] {
					t.Fatalf("node %s: got incarnation and sequence %v after %v", name, now, old)
				}
				newest[name] = now
			}
		}
	})
}

func TestSuspectsReachTheCell(t *testing.T) {
	_, cells := newCells()
	cells["a"].Spread([]routing.Suspect{{Fingerprint: 7, Crashes: []routing.Crash{{Upstream: "u", Incarnation: 1}}}})
	settle(cells)
	for _, name := range []string{"b", "c"} {
		if got := cells[name].Suspects.(suspects).known[7]; !got {
			t.Errorf("suspect known to node %s: got %v, want true", name, got)
		}
	}
	cells["b"].SpreadClear(7)
	settle(cells)
	if got := cells["c"].Suspects.(suspects).known[7]; got {
		t.Errorf("cleared suspect still known to node c: got %v, want false", got)
	}
}

// fill sets every field of a struct, so that a field that a conversion leaves out
// shows as a difference.
func fill(t *rapid.T, v reflect.Value) {
	for i := range v.NumField() {
		field, name := v.Field(i), v.Type().Field(i).Name
		switch field.Kind() {
		case reflect.Struct:
			fill(t, field)
		case reflect.String:
			field.SetString(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, name))
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Uint64:
			field.SetUint(rapid.Uint64Range(1, 1<<40).Draw(t, name))
		case reflect.Int, reflect.Int64:
			field.SetInt(rapid.Int64Range(1, 1<<40).Draw(t, name))
		case reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
			fill(t, field.Index(0))
		default:
			t.Fatalf("field %s: got kind %s, want one that is filled here", name, field.Kind())
		}
	}
}

func TestConversionsKeepEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d routing.Demand
		fill(t, reflect.ValueOf(&d).Elem())
		if got := demandFromWire(demandToWire(d)); got != d {
			t.Fatalf("demand: got %+v, want %+v", got, d)
		}
		var g routing.Grant
		fill(t, reflect.ValueOf(&g).Elem())
		if got := grantFromWire(grantToWire(g)); got != g {
			t.Fatalf("grant: got %+v, want %+v", got, g)
		}
		var s routing.Suspect
		fill(t, reflect.ValueOf(&s).Elem())
		if got := suspectFromWire(suspectToWire(s)); !reflect.DeepEqual(got, s) {
			t.Fatalf("suspect: got %+v, want %+v", got, s)
		}
	})
}
