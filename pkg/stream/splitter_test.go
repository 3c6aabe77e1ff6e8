package stream

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
)

func wantSplit(t *testing.T, s *Splitter, feed, want string) {
	t.Helper()
	got, err := s.Feed([]byte(feed))
	if string(got) != want || err != nil {
		t.Errorf("after %q: got %q, %v, want %q", feed, got, err, want)
	}
}

func wantRest(t *testing.T, s *Splitter, want string, wantWhole bool) {
	t.Helper()
	if got, whole := s.Rest(); string(got) != want || whole != wantWhole {
		t.Errorf("got the rest %q, %v, want %q, %v", got, whole, want, wantWhole)
	}
}

func TestSplitter(t *testing.T) {
	t.Run("event split between reads", func(t *testing.T) {
		var s Splitter
		wantSplit(t, &s, "id: 1\nda", "")
		wantSplit(t, &s, "ta: x\n", "")
		wantSplit(t, &s, "\nid: 2\ndata: y\n\nid", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
		wantSplit(t, &s, ": 3\ndata: z\n\n", "id: 3\ndata: z\n\n")
		wantRest(t, &s, "", true)
	})
	t.Run("CRLF split between reads", func(t *testing.T) {
		var s Splitter
		wantSplit(t, &s, "data: x\r\n\r", "")
		wantSplit(t, &s, "\n", "data: x\r\n\r\n")
	})
	t.Run("comments alone are no progress", func(t *testing.T) {
		var s Splitter
		wantSplit(t, &s, ": alive\n\n", "")
		wantSplit(t, &s, ": alive\n\n: alive\n\n", "")
		wantSplit(t, &s, "data: x\n\n", ": alive\n\n: alive\n\n: alive\n\ndata: x\n\n")
		wantSplit(t, &s, ": alive\n\n", "")
		wantRest(t, &s, ": alive\n\n", true)
		wantSplit(t, &s, "data", "")
		wantRest(t, &s, ": alive\n\ndata", false)
	})
	t.Run("event above the limit", func(t *testing.T) {
		s := Splitter{MaxEventBytes: 10}
		if _, err := s.Feed([]byte("data: 0123456789")); !errors.Is(err, ErrEventTooLong) {
			t.Errorf("got error %v, want %v", err, ErrEventTooLong)
		}
	})
	t.Run("comments above their own limit", func(t *testing.T) {
		s := Splitter{MaxEventBytes: 100, MaxCommentBytes: 10}
		wantSplit(t, &s, ":1\n\n:2\n\n:3", "")
		if _, err := s.Feed([]byte("\n\n")); !errors.Is(err, ErrEventTooLong) {
			t.Errorf("got error %v, want %v", err, ErrEventTooLong)
		}
	})
	t.Run("a buffer kept after a long event", func(t *testing.T) {
		var s Splitter
		long := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
		wantSplit(t, &s, long, long)
		wantSplit(t, &s, "data: x", "")
		if cap(s.buf) > maxKeptBuffer || s.Held() != len("data: x") {
			t.Errorf("got a buffer of %d bytes with %d held back, want at most %d and %d", cap(s.buf), s.Held(), maxKeptBuffer, len("data: x"))
		}
		wantSplit(t, &s, "\n\n", "data: x\n\n")
	})
	t.Run("comments above the limit", func(t *testing.T) {
		s := Splitter{MaxEventBytes: 10}
		if _, err := s.Feed([]byte(":1\n\n:2\n\n:3\n\n")); !errors.Is(err, ErrEventTooLong) {
			t.Errorf("got error %v, want %v", err, ErrEventTooLong)
		}
	})
}

// Guards against bytes that are lost, repeated or reordered, and against events whose
// boundaries depend on how the stream was cut into reads.
func TestSplitterDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.SliceOf(rapid.SampledFrom([]string{
			"data: x\n\n", "id: 7\ndata: y\n\n", ": none\n\n", "data: z\r\n\r\n", "\n\n", "id: 8\n\n", "retry: 1\n\n", ": a\ndata: b\n\n",
		})).Draw(t, "blocks")
		whole := strings.Join(blocks, "")
		var all Splitter
		b, err := all.Feed([]byte(whole))
		if err != nil {
			t.Fatal(err)
		}
		want := string(b)
		var got strings.Builder
		var s Splitter
		for _, piece := range splitRandomly(t, whole) {
			b, err := s.Feed([]byte(piece))
			if err != nil {
				t.Fatal(err)
			}
			got.Write(b)
		}
		if got.String() != want || !strings.HasPrefix(whole, want) {
			t.Errorf("got %q, want %q of %q", got.String(), want, whole)
		}
	})
}
