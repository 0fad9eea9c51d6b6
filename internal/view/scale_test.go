package view_test

import (
	"fmt"
	"runtime"
	"testing"

	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// fleet returns the records of a fleet with 8 targets for each service.
func fleet(services int) *wire.Update {
	u := &wire.Update{Whole: true, Revision: 1, NextHandle: uint32(services*8 + 1)}
	h := uint32(1)
	for i := range services {
		x := service(1)
		x.Id, x.Buckets = uint32(i+1), 1024
		x.Name = fmt.Sprintf("service-%d", i)
		x.Secrets = []*wire.Secret{{Number: 1, Key: make([]byte, 16)}}
		u.Services = append(u.Services, x)
		for range 8 {
			t := target(h, nil)
			t.Service, t.Host, t.Target = x.GetId(), fmt.Sprintf("host-%d", h), "127.0.0.1:2"
			u.Targets = append(u.Targets, t)
			h++
		}
	}
	return u
}

// BenchmarkWhole gives time and retained bytes of a view for each number of
// services.
func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{600, 1200, 2400, 4800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			u := fleet(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var v *view.View
			for b.Loop() {
				v = &view.View{}
				v.Apply(u)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-kept")
			runtime.KeepAlive(v)
			runtime.KeepAlive(u)
		})
	}
}

// BenchmarkDelta gives the time to apply a change of one target.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{600, 4800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var v view.View
			v.Apply(fleet(n))
			r := uint64(1)
			for b.Loop() {
				r++
				t := target(5, nil)
				t.Weight = uint32(r%200 + 1)
				v.Apply(&wire.Update{Revision: r, Targets: []*wire.Target{t}})
			}
		})
	}
}

// BenchmarkRebuild gives time and bytes of applying a change of one target to a
// service with 10 and with 1,000 hosts.
func BenchmarkRebuild(b *testing.B) {
	for _, x := range []struct {
		hosts   int
		buckets uint32
	}{{10, 4096}, {1000, 65536}} {
		b.Run(fmt.Sprintf("hosts=%d/buckets=%d", x.hosts, x.buckets), func(b *testing.B) {
			svc := service(1)
			svc.Buckets = x.buckets
			u := &wire.Update{Whole: true, Revision: 1, NextHandle: uint32(x.hosts + 1), Services: []*wire.Service{svc}}
			for h := range x.hosts {
				u.Targets = append(u.Targets, target(uint32(h+1), nil))
			}
			var v view.View
			v.Apply(u)
			r := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				r++
				t := target(5, nil)
				t.Weight = uint32(r%200 + 1)
				v.Apply(&wire.Update{Revision: r, Targets: []*wire.Target{t}})
			}
		})
	}
}
