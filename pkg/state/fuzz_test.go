package state

import (
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

// FuzzRestore guards against a damaged snapshot that crashes a voter instead of
// returning an error.
func FuzzRestore(f *testing.F) {
	m := New()
	m.Apply(wire.Command{Change: &wire.Change{ID: "1", Items: []wire.Item{{Key: "domain/x", Value: []byte(`{}`)}}}})
	good, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if next := New(); next.Restore(data) == nil {
			next.Apply(wire.Command{Change: &wire.Change{ID: "2", Items: []wire.Item{{Key: "domain/y", Value: []byte(`{}`)}}}})
		}
	})
}

// FuzzApply guards against commands from a faulty node that crash every voter.
func FuzzApply(f *testing.F) {
	for _, c := range []wire.Command{
		{},
		{Change: &wire.Change{ID: "1", Base: 3, Prefix: []string{"a"}}},
		{Node: "n", Session: &wire.Session{Node: "n", Incarnation: 1, Up: true, Value: []byte(`{}`)}},
		{Node: "n", Incarnation: 1, Seq: 1, Booking: &wire.Booking{Account: "a", Service: "s", Key: "k"}},
	} {
		data, err := wire.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c wire.Command
		if wire.Unmarshal(data, &c) != nil {
			return
		}
		m := New()
		m.Apply(wire.Command{Session: &wire.Session{Node: c.Node, Incarnation: c.Incarnation, Up: true, Value: []byte(`{}`)}})
		m.Apply(c)
		m.Apply(c)
	})
}
