package peer

import (
	"bytes"
	"context"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

// statusBody returns the encoding of a list with one status in which the value of a field
// is replaced by other bytes. The encoded field and its value must occur once.
func statusBody(t *testing.T, field string, value, replacement []byte) []byte {
	t.Helper()
	body, err := wire.Marshal(wire.Statuses{List: []wire.Status{{ID: "u", Address: "10.0.0.9:80", Domain: "d", Service: "s", Born: 23, Sequence: 22, Slots: 21}}})
	if err != nil {
		t.Fatal(err)
	}
	old := append(append([]byte{0x60 | byte(len(field))}, field...), value...)
	odd := append(append([]byte{0x60 | byte(len(field))}, field...), replacement...)
	if bytes.Count(body, old) != 1 {
		t.Fatalf("field %s not found", field)
	}
	return bytes.Replace(body, old, odd, 1)
}

// statusBodyWith returns the encoding of a list with one status that has another field.
func statusBodyWith(t *testing.T, field []byte) []byte {
	t.Helper()
	body := statusBody(t, "born", []byte{23}, append([]byte{23}, field...))
	const sevenFields, eightFields = 0xa7, 0xa8
	if bytes.Count(body, []byte{sevenFields}) != 1 {
		t.Fatal("the status does not have seven fields")
	}
	return bytes.Replace(body, []byte{sevenFields}, []byte{eightFields}, 1)
}

// oddBodies returns CBOR bodies in place of a list of statuses.
func oddBodies(t *testing.T) map[string][]byte {
	deepArrays, deepMaps := bytes.Repeat([]byte{0x81}, 1<<20), bytes.Repeat([]byte{0xa1, 0x61, 'a'}, 1<<20)
	huge := bytes.Repeat([]byte{0xff}, 9)
	born, text := []byte{23}, []byte{0x61, 's'}
	number := func(first byte, rest ...byte) []byte {
		return statusBody(t, "born", born, append([]byte{first}, rest...))
	}
	bignum := append([]byte{0xc2, 0x58, 200}, bytes.Repeat([]byte{0xff}, 200)...)
	return map[string][]byte{
		"nested arrays":                     deepArrays,
		"nested maps":                       deepMaps,
		"nested tags":                       bytes.Repeat([]byte{0xc1}, 1<<20),
		"nested indefinite arrays":          bytes.Repeat([]byte{0x9f}, 1<<20),
		"nested arrays in a number":         number(0x81, deepArrays...),
		"nested arrays in an unknown field": statusBodyWith(t, append(append([]byte{0x61, 'x'}, bytes.Repeat([]byte{0x81}, 100)...), 0)),
		"bignum":                            number(bignum[0], bignum[1:]...),
		"negative":                          number(0x20),
		"negative beyond int64":             number(0x3b, huge[:8]...),
		"float":                             number(0xfb, 0x7f, 0xef, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff),
		"infinity":                          number(0xf9, 0x7c, 0),
		"text as a number":                  number(0x61, '1'),
		"map as a number":                   number(0xa0),
		"array of 2^64-1 elements":          append([]byte{0xa1, 0x64, 'l', 'i', 's', 't', 0x9b}, huge[:8]...),
		"array of 2^31 elements":            append([]byte{0xa1, 0x64, 'l', 'i', 's', 't', 0x9a}, 0x80, 0, 0, 0),
		"map of 2^64-1 pairs":               append([]byte{0xbb}, huge[:8]...),
		"text of 2^63 bytes":                statusBody(t, "service", text, []byte{0x7b, 0x80, 0, 0, 0, 0, 0, 0, 0}),
		"duplicate field":                   statusBodyWith(t, append([]byte{0x64}, "born\x17"...)),
		"trailing bytes":                    append(statusBody(t, "born", born, born), 0),
		"no bytes":                          {},
	}
}

// Guards against a message of another writer or release that ends the process, that takes
// much memory, or that ends the link, so that the messages after it are no longer followed.
func TestOddBodyEndsOnlyItsMessage(t *testing.T) {
	const maxHeapGrowth = 64 << 20
	var addresses sync.Map
	a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
	b := startNode(t, "b", "0123456789abcdef", 0, &addresses)
	received := make(chan uint64, 1)
	b.Handle("statuses", func(_ context.Context, _ string, body []byte) (any, error) {
		var list wire.Statuses
		if err := wire.Unmarshal(body, &list); err != nil {
			return nil, err
		}
		received <- list.List[0].Sequence
		return nil, nil
	})
	mustEcho(t, a, "b")
	link, _ := a.getLink("b")
	for name, body := range oddBodies(t) {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			frame, err := encodeFrame(wire.Envelope{Kind: "statuses", Body: body}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := link.enqueue(frame); err != nil {
				t.Fatal(err)
			}
			if err := a.Send("b", "statuses", wire.Encoded(statusBody(t, "sequence", []byte{22}, []byte{20}))); err != nil {
				t.Error(err)
			}
			select {
			case got := <-received:
				if got != 20 {
					t.Errorf("got the status with sequence %d, want 20: the odd one was decoded", got)
				}
			case <-time.After(waitTimeout):
				t.Error("the next message did not arrive")
			}
			runtime.ReadMemStats(&after)
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxHeapGrowth {
				t.Errorf("got %d bytes allocated, want at most %d", grown, maxHeapGrowth)
			}
		})
	}
	if after, _ := a.getLink("b"); after != link {
		t.Error("the link was replaced")
	}
}

// Guards against a decoder whose limits differ between the messages of nodes.
func TestOddBodiesAreErrorsForAllMessages(t *testing.T) {
	targets := map[string]func() any{
		"envelope": func() any { return new(wire.Envelope) }, "hello": func() any { return new(wire.Hello) }, "command": func() any { return new(wire.Command) },
		"raft message": func() any { return new(wire.RaftMessage) }, "usage": func() any { return new(wire.UseTally) }, "update": func() any { return new(wire.Update) },
		"delta": func() any { return new(wire.Delta) }, "announcement": func() any { return new(wire.Announce) },
	}
	odd := oddBodies(t)
	for name, target := range targets {
		for _, body := range []string{"nested arrays", "nested maps", "nested tags", "nested indefinite arrays", "map of 2^64-1 pairs", "no bytes"} {
			if err := wire.Unmarshal(slices.Clone(odd[body]), target()); err == nil {
				t.Errorf("%s: %s: got no error", name, body)
			}
		}
	}
}
