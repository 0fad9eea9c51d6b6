package wire_test

import (
	"bytes"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// Guards against addresses that change on their way between balancer and agent.
func TestAddresses(t *testing.T) {
	c := qt.New(t)
	for _, s := range []string{"192.0.2.1:4242", "[2001:db8::1]:1", "[::1]:65535"} {
		a := netip.MustParseAddrPort(s)
		var h wire.Header
		h.SetCaller(a)
		h.SetVia(a)
		c.Assert(h.Caller(), qt.Equals, a)
		c.Assert(h.Via(), qt.Equals, a)
		c.Assert(wire.NewHop(1, a).Addr(), qt.Equals, a)
	}
	c.Assert(wire.NewHop(0, netip.AddrPort{}).Addr().IsValid(), qt.IsFalse)
}

// Guards against crashes on datagrams from anyone, and against a packet that does
// not survive being passed on.
func FuzzSplitPacket(f *testing.F) {
	h := &wire.Header{Kind: wire.Kind_KIND_FIND, Service: 1, Handle: 2, Chain: []*wire.Hop{{}, wire.NewHop(3, netip.MustParseAddrPort("127.0.0.1:9"))}}
	b, err := wire.AppendPacket(nil, h, []byte("payload"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xff, 0xff})
	f.Add([]byte{0, 3, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h, again wire.Header
		payload, err := wire.SplitPacket(b, &h)
		if err != nil {
			return
		}
		h.Caller()
		h.Via()
		for _, x := range h.GetChain() {
			x.Addr()
		}
		passed, err := wire.AppendPacket(nil, &h, payload)
		if err != nil {
			return // the header grew above its limit
		}
		rest, err := wire.SplitPacket(passed, &again)
		if err != nil || !bytes.Equal(rest, payload) || !proto.Equal(&h, &again) {
			t.Fatalf("%v: %v became %v", err, &h, &again)
		}
	})
}
