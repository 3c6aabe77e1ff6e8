package wal

import "testing"

// FuzzReadFrame guards against a damaged segment that crashes a voter instead of causing an
// error.
func FuzzReadFrame(f *testing.F) {
	good, err := appendFrame(nil, record{Snapshot: &snapshotPosition{Index: 3, Term: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, 0)
	f.Add(good[:len(good)-1], 0)
	f.Add(append(good, 0, 0, 0, 1), len(good))
	f.Fuzz(func(t *testing.T, data []byte, offset int) {
		if offset < 0 || offset > len(data) {
			return
		}
		payload, end, state := readFrame(data, offset)
		if len(payload) > 0 && (end <= offset || end > len(data)) {
			t.Errorf("end of a frame at %d: got %d, want at most %d", offset, end, len(data))
		}
		_ = tornByCrash(data, offset, end, state)
	})
}
