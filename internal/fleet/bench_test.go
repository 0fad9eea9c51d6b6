package fleet

import (
	"fmt"
	"net/netip"
	"testing"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/wire"
)

// BenchmarkChange measures a change that replaces 150 of 455 routes, after others have removed many.
func BenchmarkChange(b *testing.B) {
	const routes, replaced = 455, 150
	version := uint64(0)
	change := func() []byte {
		version++
		x := install(version)
		for i := range uint64(routes) {
			n := version*replaced + i
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 443)
			x.GetInstall().Routes = append(x.GetInstall().Routes, &fleetwire.Route{
				Address: a.String(), TimeoutMs: 500, Shares: []*fleetwire.Share{{Service: "s", Weight: 1}},
			})
		}
		packed, err := new(wire.Packer).Pack(x)
		if err != nil {
			b.Fatal(err)
		}
		return packed
	}
	for _, removed := range []int{1000, 300_000} {
		b.Run(fmt.Sprint("removed=", removed), func(b *testing.B) {
			m := NewDesiredState()
			version = 0
			for range removed / replaced {
				m.Apply(mangokeel.Revision(version+1), change())
			}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				command := change()
				b.StartTimer()
				m.Apply(mangokeel.Revision(version), command)
			}
		})
	}
}
