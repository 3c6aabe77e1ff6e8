package capacity

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"testing"
)

// BenchmarkReference measures n HMAC-SHA256 computations over 1 KiB, the unit of the
// ratios in docs/CAPACITY.md.
func BenchmarkReference(b *testing.B) {
	for _, n := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			key, data := make([]byte, 32), make([]byte, 1024)
			for b.Loop() {
				for range n {
					h := hmac.New(sha256.New, key)
					h.Write(data)
					h.Sum(nil)
				}
			}
		})
	}
}
