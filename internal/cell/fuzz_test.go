package cell

import (
	"context"
	"testing"

	"github.com/jaystage/jaystage/pkg/wire"
)

// FuzzReceive guards against malformed updates of a faulty node that crash this one.
func FuzzReceive(f *testing.F) {
	body, err := wire.Marshal(announcement(1))
	if err != nil {
		f.Fatal(err)
	}
	for _, update := range []wire.Update{
		{},
		{Announces: []wire.Announcement{{Body: body, Interval: 1000}}, Clears: []uint64{1}},
		{Announces: []wire.Announcement{{Body: []byte{0xff}}}},
		{Pulses: []wire.Pulse{{Upstream: "u", Incarnation: 1, Sequence: 2, Running: 1 << 63}}, Demands: []wire.SlotDemand{{Upstream: "u", Want: 1 << 63}}},
	} {
		frame, err := wire.Marshal(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0xbf})
	_, cells := newCells()
	f.Fuzz(func(_ *testing.T, frame []byte) {
		_, _ = cells["a"].receive(context.Background(), "b", frame)
		cells["a"].flush()
	})
}
