package upstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/jaystage/jaystage/internal/testseed"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Guards against a serving index that keeps upstreams that stopped serving, misses ones
// that started, or is not sorted by id.
func TestServingMatchesFilteredList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(time.Second)
		now := time.Unix(0, 0)
		names := []string{"", "v1", "v2"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			a := wire.Announce{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")}
			a.Ready, a.Leaving = rapid.IntRange(0, 4).Draw(t, "ready") > 0, rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			a.Incarnation, a.Sequence = rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 50).Draw(t, "sequence")
			for range rapid.IntRange(0, 3).Draw(t, "serving") {
				a.Serving = append(a.Serving, wire.Serving{Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), Version: rapid.SampledFrom(names).Draw(t, "version")})
			}
			r.Apply(now, a)
			if rapid.IntRange(0, 5).Draw(t, "expire") == 0 {
				r.Expire(now)
			}
			for _, service := range []string{"x", "y"} {
				for _, version := range names {
					var got, want []string
					for _, e := range r.Serving(service, version) {
						got = append(got, e.ID)
					}
					for _, e := range r.List() {
						if e.Ready && !e.Leaving && slices.ContainsFunc(e.Serving, func(s wire.Serving) bool {
							return s.Service == service && (version == "" || s.Version == version)
						}) {
							want = append(want, e.ID)
						}
					}
					if !slices.Equal(got, want) {
						t.Fatalf("upstreams of %s in version %q: got %v, want %v", service, version, got, want)
					}
				}
			}
		}
	})
}

// BenchmarkServing measures the lookup of one of eight services among n upstreams.
func BenchmarkServing(b *testing.B) {
	for _, n := range []int{16, 100, 290} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := NewRegistry(time.Second)
			for i := range n {
				r.Apply(time.Unix(0, 0), wire.Announce{
					ID: fmt.Sprintf("u%03d", i), Incarnation: 1, Sequence: 1, Ready: true,
					Serving: []wire.Serving{{Service: fmt.Sprintf("s%d", i%8), Version: "v1"}},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = r.Serving("s3", "v1")
			}
		})
	}
}
