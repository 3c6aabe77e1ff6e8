package rollout

import "testing"

// FuzzDecodeReport guards against malformed reports that make the leader panic.
func FuzzDecodeReport(f *testing.F) {
	set := CountSet{}
	set.GetOrCreate(Key{Version: "v2", Route: "r", Class: "c", Domain: "d"}).Requests = 3
	good, err := Report{Rollout: "r", Step: 1, Node: "n", Incarnation: 1, Sequence: 1, Counts: set}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{0x86, 0x60, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := DecodeReport(data); err == nil {
			NewCollector().Add(r)
		}
	})
}
