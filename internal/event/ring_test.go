package event

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
)

func TestRingReturnsEveryRetainedEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		written := rapid.IntRange(0, 30).Draw(t, "written")
		since := rapid.Uint64Range(0, 35).Draw(t, "since")
		ring := NewRing(size)
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(ring)
		for range written {
			With(log, NodeStarted).Info("x")
			log.Info("a line without a number is not an event")
		}
		first := max(since+1, uint64(max(written-size, 0))+1)
		want := max(written-int(first)+1, 0)
		got := ring.Since(since)
		if len(got) != want {
			t.Fatalf("Since(%d) after %d events in a ring of %d: got %d events, want %d", since, written, size, len(got), want)
		}
		for i, r := range got {
			if r.Sequence != first+uint64(i) {
				t.Fatalf("event %d: got sequence %d, want %d", i, r.Sequence, first+uint64(i))
			}
		}
	})
}
