package flow_test

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"

	"mangokeel/internal/bucket"
	"mangokeel/internal/flow"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

const manyFlows = 500_000

// many fills a table of n buckets with flows.
func many(n uint32) (*flow.Table, []flow.Packet) {
	var v view.View
	v.Apply(&wire.Update{
		Whole: true, Revision: 1, NextHandle: 2,
		Services: []*wire.Service{{Id: uint32(service), Buckets: n, Epoch: 1, Zones: []string{"ebene"}}},
		Targets:  []*wire.Target{{Handle: 1, Service: uint32(service), Zone: "ebene", Agent: "127.0.0.1:1", Weight: 256, State: wire.State_STATE_SERVING}},
	})
	tab := table(1, wire.Protocol_PROTOCOL_UDP)
	tab.Update(v.State())
	packets := make([]flow.Packet, manyFlows)
	for i := range packets {
		a := [4]byte{10}
		binary.BigEndian.PutUint16(a[2:], uint16(i>>8))
		c := netip.AddrPortFrom(netip.AddrFrom4(a), 1024+uint16(i&0xff))
		packets[i] = flow.Packet{Kind: wire.Kind_KIND_FIND, Service: service, Handle: 1, Epoch: 1, Caller: c, Bucket: bucket.Index(c, service, n), Opens: true}
	}
	return tab, packets
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkReceive measures packets of known flows, and the memory of a flow.
func BenchmarkReceive(b *testing.B) {
	for name, n := range map[string]uint32{"4096": 4096, "65536": 65536} {
		b.Run(name, func(b *testing.B) {
			tab, packets := many(n)
			before := heap()
			for _, p := range packets {
				tab.Receive(start, p)
			}
			size := heap() - before
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if d := tab.Receive(start, packets[i%manyFlows]); d.Action != flow.Deliver {
					b.Fatal(d)
				}
			}
			b.ReportMetric(float64(size)/manyFlows, "B/flow")
			runtime.KeepAlive(tab)
		})
	}
}
