package bucket_test

import (
	"fmt"
	"testing"

	"mangokeel/internal/bucket"
)

// BenchmarkNew gives time and bytes of a rebuild at the two table sizes.
func BenchmarkNew(b *testing.B) {
	for _, x := range []struct {
		hosts   int
		buckets uint32
	}{{10, 4096}, {200, 4096}, {1000, 65536}} {
		b.Run(fmt.Sprintf("hosts=%d/buckets=%d", x.hosts, x.buckets), func(b *testing.B) {
			m := members(x.hosts)
			b.ReportAllocs()
			for b.Loop() {
				bucket.New(m, x.buckets)
			}
		})
	}
}
