package fabric_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/fabric"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

const (
	buckets    = 64
	nextHandle = 100
)

var caller = netip.MustParseAddrPort("198.51.100.7:4000")

// secret returns the connection ID key of a test service.
func secret(service uint32) []byte {
	return fmt.Appendf(nil, "key of service%02d", service)
}

func service(id uint32, p wire.Protocol) *wire.Service {
	return &wire.Service{
		Id: id, Name: "orders", Protocol: p, Buckets: buckets, Epoch: 5, Zones: []string{"plaisance"},
		Address: fmt.Sprintf("127.0.0.1:%d", 20000+id), Secrets: []*wire.Secret{{Number: 3, Key: secret(id)}},
	}
}

func target(h, service uint32, zone string) *wire.Target {
	return &wire.Target{
		Handle: h, Service: service, Zone: zone, Agent: fmt.Sprintf("127.0.0.1:%d", 30000+h),
		Weight: 256, State: wire.State_STATE_SERVING,
	}
}

// state returns a state with three services:
//   - service 1 (HTTP) has targets 1 and 2, and target 3 in a zone out of service;
//   - service 2 (HTTP) has target 4;
//   - service 3 (UDP) has target 5, which owns all buckets, and targets 6 and 7, which
//     are leaving and may hold flows in all buckets.
func state(t testing.TB) *view.State {
	held := make(bucket.Bitmap, buckets/8)
	for i := range held {
		held[i] = 0xff
	}
	six, seven := target(6, 3, "plaisance"), target(7, 3, "plaisance")
	for _, leaving := range []*wire.Target{six, seven} {
		leaving.State, leaving.Held = wire.State_STATE_LEAVING, held
	}
	var v view.View
	v.Apply(&wire.Update{
		Whole: true, Revision: 5, NextHandle: nextHandle,
		Services: []*wire.Service{service(1, wire.Protocol_PROTOCOL_HTTP), service(2, wire.Protocol_PROTOCOL_HTTP), service(3, wire.Protocol_PROTOCOL_UDP)},
		Targets: []*wire.Target{
			target(1, 1, "plaisance"), target(2, 1, "plaisance"), target(3, 1, "ebene"),
			target(4, 2, "plaisance"), target(5, 3, "plaisance"), six, seven,
		},
	})
	qt.Assert(t, v.State().Service(3), qt.Not(qt.IsNil))
	return v.State()
}

// packet returns a QUIC short-header packet with a connection ID that contains
// handle h, encrypted with the key of service.
func packet(t testing.TB, service, h uint32) []byte {
	k, err := cid.NewKeys([]cid.Secret{{Number: 3, Key: secret(service)}})
	qt.Assert(t, err, qt.IsNil)
	id := k.Encode(mangokeel.ServiceID(service), mangokeel.Handle(h), 12345)
	return append(append([]byte{0x40}, id[:]...), "payload"...)
}

// Guards against sending a packet to a target other than the one in its connection
// ID, and against treating a handle newer than the view as one that has left.
func TestDecideByConnectionID(t *testing.T) {
	s := state(t)
	owner := s.Service(1).Owner(bucket.Index(caller, 1, buckets)).Handle
	for _, tc := range []struct {
		name string
		h    uint32
		kind wire.Kind
		to   mangokeel.Handle
	}{
		{"present", 1, wire.Kind_KIND_DELIVER, 1},
		{"present, not the owner", 2, wire.Kind_KIND_DELIVER, 2},
		{"zone out of service", 3, wire.Kind_KIND_RESET, owner},
		{"of another service", 4, wire.Kind_KIND_RESET, owner},
		{"left", 50, wire.Kind_KIND_RESET, owner},
		{"newer than the view", nextHandle, wire.Kind_KIND_RELAY, owner},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d := fabric.NewDecision()
			c.Assert(d.Decide(s, s.Service(1), caller, packet(t, 1, tc.h)), qt.Equals, fabric.Forward)
			c.Assert(d.Header.GetKind(), qt.Equals, tc.kind)
			c.Assert(d.Target.Handle, qt.Equals, tc.to)
			c.Assert(d.Header.GetHandle(), qt.Equals, uint32(tc.to))
			c.Assert(d.Header.GetChain(), qt.HasLen, 0)
		})
	}
}

// Guards against accepting connection IDs of another service, whichever service their
// target belongs to, and forged IDs in which any bit of the encrypted block is flipped.
func TestForeignAndForgedIDsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := state(t)
	d := fabric.NewDecision()
	check := func(p []byte) {
		c.Assert(d.Decide(s, s.Service(1), caller, p), qt.Equals, fabric.Forward)
		c.Assert(d.Header.GetKind(), qt.Equals, wire.Kind_KIND_FIND)
		c.Assert(d.Target.GetService(), qt.Equals, uint32(1))
	}
	check(packet(t, 2, 4))
	check(packet(t, 2, 1))
	for i := range 16 {
		for bit := range 8 {
			p := packet(t, 1, 1)
			p[5+i] ^= 1 << bit
			check(p)
		}
	}
}

// Guards against a chain that omits a holder, which would open an existing flow a
// second time at the owner, and against decoding connection IDs for a UDP service.
func TestDecideByAddressListsChain(t *testing.T) {
	c := qt.New(t)
	s := state(t)
	d := fabric.NewDecision()
	c.Assert(d.Decide(s, s.Service(3), caller, packet(t, 3, 6)), qt.Equals, fabric.Forward)
	c.Assert(d.Header.GetKind(), qt.Equals, wire.Kind_KIND_FIND)
	c.Assert(d.Header.GetEpoch(), qt.Equals, uint64(5))
	c.Assert(d.Header.GetBucket(), qt.Equals, bucket.Index(caller, 3, buckets))
	c.Assert(d.Header.Caller(), qt.Equals, caller)
	var got []uint32
	for _, h := range d.Header.GetChain() {
		got = append(got, h.GetHandle())
		c.Assert(h.Addr(), qt.Equals, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30000+h.GetHandle())))
	}
	c.Assert(got, qt.DeepEquals, []uint32{5, 7, 6})
	// The next use of the same Decision must not keep the old chain.
	c.Assert(d.Decide(s, s.Service(1), caller, nil), qt.Equals, fabric.Forward)
	c.Assert(d.Header.GetChain(), qt.HasLen, 0)
}

// Covers a service without eligible targets. Guards against breaking the flows of
// leaving targets, against a holder that acts as the owner, and against packets to a
// holder in a zone out of service.
func TestNoOwnerAsksHolders(t *testing.T) {
	c := qt.New(t)
	var v view.View
	leaving := target(6, 3, "plaisance")
	leaving.State, leaving.Held = wire.State_STATE_LEAVING, bucket.Bitmap{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	v.Apply(&wire.Update{Whole: true, Revision: 5, NextHandle: 7, Services: []*wire.Service{service(3, wire.Protocol_PROTOCOL_UDP)}, Targets: []*wire.Target{leaving}})
	d := fabric.NewDecision()
	c.Assert(d.Decide(v.State(), v.State().Service(3), caller, nil), qt.Equals, fabric.Forward)
	c.Assert(d.Target.Handle, qt.Equals, mangokeel.Handle(6))
	c.Assert(d.Header.GetKind(), qt.Equals, wire.Kind_KIND_FIND)
	c.Assert(d.Header.GetNext(), qt.Equals, uint32(1))
	c.Assert(d.Header.GetChain(), qt.HasLen, 2)
	c.Assert(d.Header.GetChain()[0].GetHandle(), qt.Equals, uint32(0))

	leaving = target(6, 3, "ebene")
	v.Apply(&wire.Update{Revision: 6, Targets: []*wire.Target{leaving}})
	c.Assert(d.Decide(v.State(), v.State().Service(3), caller, nil), qt.Equals, fabric.NoTarget)
}

// Guards against crashes, packets to a target of another service (I2) and packets to
// a zone out of service (I4), for arbitrary packets and caller addresses.
func FuzzDecide(f *testing.F) {
	s := state(f)
	f.Add(uint8(1), packet(f, 1, 3), uint32(0), uint16(0))
	f.Add(uint8(1), packet(f, 2, 4), uint32(1), uint16(1))
	f.Add(uint8(2), []byte{0xc0, 0, 0, 0, 1, 255}, uint32(2), uint16(2))
	f.Add(uint8(3), []byte{}, uint32(3), uint16(3))
	d := fabric.NewDecision()
	f.Fuzz(func(t *testing.T, id uint8, p []byte, ip uint32, port uint16) {
		svc := s.Service(mangokeel.ServiceID(id%3 + 1))
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, ip))), port)
		if o := d.Decide(s, svc, a, p); o != fabric.Forward {
			t.Fatalf("outcome %v", o)
		}
		if d.Target.GetService() != uint32(svc.ID) || !d.Target.Open {
			t.Fatalf("service %d: target %v", svc.ID, d.Target)
		}
	})
}

// Guards against allocations per packet. Under the race detector, sync.Pool randomly
// drops items, so some calls allocate; AllocsPerRun rounds the average down to 0.
func TestDecideAllocatesNothing(t *testing.T) {
	s := state(t)
	d := fabric.NewDecision()
	p := packet(t, 1, 1)
	n := testing.AllocsPerRun(1000, func() {
		d.Decide(s, s.Service(1), caller, p)
		d.Decide(s, s.Service(3), caller, p)
	})
	qt.Assert(t, n, qt.Equals, 0.0)
}

// stateAfterRollingRestarts returns a state whose service has 200 targets, each of
// which may hold flows in 1 of 64 buckets without owning it, as after many changes
// in a row.
func stateAfterRollingRestarts() *view.State {
	const n = 200
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Buckets = 4096
	u := &wire.Update{Whole: true, Revision: 5, NextHandle: n + 1, Services: []*wire.Service{svc}}
	for h := range uint32(n) {
		t := target(h+1, 1, "plaisance")
		for b := h % 64; b < svc.GetBuckets(); b += 64 {
			t.Held = bucket.Bitmap(t.GetHeld()).With(b)
		}
		u.Targets = append(u.Targets, t)
	}
	var v view.View
	v.Apply(u)
	return v.State()
}

// maxDecisionTime is the design limit on the mean time of a decision.
const maxDecisionTime = 300 * time.Nanosecond

// checkDecisionTime fails a benchmark whose mean time exceeds maxDecisionTime.
func checkDecisionTime(b *testing.B) {
	if mean := b.Elapsed() / time.Duration(b.N); mean > maxDecisionTime {
		b.Errorf("mean decision time %v exceeds %v", mean, maxDecisionTime)
	}
}

// BenchmarkDecideRolled measures decisions with chains of four and many holders, and
// checks maxDecisionTime.
func BenchmarkDecideRolled(b *testing.B) {
	s := stateAfterRollingRestarts()
	d := fabric.NewDecision()
	b.ReportAllocs()
	for b.Loop() {
		d.Decide(s, s.Service(1), caller, nil)
	}
	checkDecisionTime(b)
}

// BenchmarkDecide measures decisions with and without encoding the header. Only
// the time without encoding is checked against maxDecisionTime.
func BenchmarkDecide(b *testing.B) {
	s := state(b)
	for _, tc := range []struct {
		name    string
		service mangokeel.ServiceID
		packet  []byte
	}{
		{"connection-id", 1, packet(b, 1, 1)},
		{"address", 1, make([]byte, 1200)},
		{"address-chain-of-3", 3, make([]byte, 1200)},
	} {
		b.Run(tc.name, func(b *testing.B) {
			d := fabric.NewDecision()
			b.ReportAllocs()
			for b.Loop() {
				d.Decide(s, s.Service(tc.service), caller, tc.packet)
			}
			checkDecisionTime(b)
		})
		b.Run(tc.name+"-encoded", func(b *testing.B) {
			d := fabric.NewDecision()
			out := make([]byte, 0, 4096)
			b.ReportAllocs()
			for b.Loop() {
				d.Decide(s, s.Service(tc.service), caller, tc.packet)
				_, _ = wire.AppendPacket(out[:0], &d.Header, tc.packet)
			}
		})
	}
}
