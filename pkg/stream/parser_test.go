package stream

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
)

// parseEvents feeds the pieces to a parser and returns the data of the events.
func parseEvents(t rapid.TB, pieces []string, limit int) ([]string, error) {
	t.Helper()
	p := Parser{MaxEventBytes: limit}
	var events []string
	for _, piece := range pieces {
		p.Feed([]byte(piece))
		for {
			data, ok, err := p.Next()
			if err != nil {
				return events, err
			}
			if !ok {
				break
			}
			events = append(events, string(data))
		}
	}
	return events, nil
}

// splitRandomly splits text into pieces of random length.
func splitRandomly(t *rapid.T, text string) []string {
	var pieces []string
	for text != "" {
		n := rapid.IntRange(1, min(len(text), 24)).Draw(t, "piece")
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}

// Events must be parsed as they were sent, wherever the stream is split into reads and
// whatever the line ends are.
func TestParserHandlesAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
		want := rapid.SliceOfN(rapid.StringMatching(`[a-z{}":]{1,20}`), 0, 8).Draw(t, "events")
		var text strings.Builder
		for _, e := range want {
			text.WriteString(rapid.SampledFrom([]string{"", ": comment" + end, "event: x" + end}).Draw(t, "noise"))
			text.WriteString("data: " + e + end + end)
		}
		text.WriteString("data: cut off")
		got, err := parseEvents(t, splitRandomly(t, text.String()), 0)
		if err != nil || !slices.Equal(got, want) {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	})
}

func TestParser(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"lines of one event are joined", "data: a\ndata: b\n\n", []string{"a\nb"}},
		{"a byte order mark is ignored", "\xef\xbb\xbfdata: a\n\n", []string{"a"}},
		{"an event without data is ignored", "event: ping\n\ndata: a\n\n", []string{"a"}},
		{"the space after the colon is optional", "data:a\n\n", []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := parseEvents(t, []string{tt.text}, 0)
			if err != nil || !slices.Equal(got, tt.want) {
				t.Errorf("got %q, %v, want %q", got, err, tt.want)
			}
		})
	}
	t.Run("an endless event is rejected", func(t *testing.T) {
		if _, err := parseEvents(t, []string{"data: ", strings.Repeat("x", 40), strings.Repeat("x", 40)}, 64); err == nil {
			t.Error("got no error, want ErrEventTooLong")
		}
	})
}

func FuzzParser(f *testing.F) {
	f.Add("data: a\n\n", 3)
	f.Add("data: a\r\rdata\n\n:\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, at int) {
		whole, wholeErr := parseEvents(t, []string{text}, 256)
		at = max(0, min(at, len(text)))
		parts, partsErr := parseEvents(t, []string{text[:at], text[at:]}, 256)
		if (wholeErr == nil) != (partsErr == nil) || wholeErr == nil && !slices.Equal(whole, parts) {
			t.Errorf("split at %d: got %q (%v), want %q (%v)", at, parts, partsErr, whole, wholeErr)
		}
	})
}
