package packet_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/packet"
	"mangokeel/standin/model"
)

// added is an address whose route only a newer configuration has.
var added = netip.MustParseAddrPort("198.18.0.1:445")

// grace is how long a node may use its own configuration although a newer one is in use.
const grace = 100 * time.Millisecond

// receiveOpening passes the agent a frame with an opening packet to an address, from a new port.
func (n *testAgent) receiveOpening(x *fleetwire.Frame, address netip.AddrPort) {
	n.port++
	x.Kind, x.Origin = fleetwire.Kind_KIND_OPEN, fleetwire.Address(origin)
	b, err := fleetwire.Append(nil, x, model.Codec{}.Encode(mangokeel.Packet{
		Source: netip.AddrPortFrom(caller.Addr(), n.port), Destination: address, Opening: true, Sequence: uint32(n.port),
	}))
	n.c.Assert(err, qt.IsNil)
	n.agent.HandleFrame(b)
}

// Guards against an agent that obeys a newer configuration of one balancer and then an older one of
// another balancer, while control cannot be reached (review case 5).
func TestAgentNeverGoesBack(t *testing.T) {
	newer := func() *fleetwire.Frame { return &fleetwire.Frame{Revision: 6, Service: "s"} }
	older := func() *fleetwire.Frame { return &fleetwire.Frame{Revision: 5, Service: "s"} }
	for _, x := range []struct {
		name string
		// first is the address of a flow by the newer configuration.
		first netip.AddrPort
		wait  time.Duration
		// reply, if not nil, is what control sends before the flow by the older configuration.
		reply *fleetwire.PollReply
		frame *fleetwire.Frame
		// served is whether the target gets that flow.
		served bool
	}{
		{"the newer one says nothing of the address", added, grace, nil, older(), false},
		{"the newer one has the address", model.Address, grace, nil, older(), true},
		{"nodes may differ for a moment", added, grace / 2, nil, older(), true},
		{"the balancer knows of the newer one", netip.AddrPort{}, 0, nil, &fleetwire.Frame{Revision: 5, Service: "s", Known: 6}, false},
		{"the agent has got the newer one", added, grace, reply(6, "s"), older(), true},
		{"the agent has got it, without the route", added, grace, reply(6, "x"), older(), false},
		{"the agent has got one that is older still", added, grace, reply(5, "s"), older(), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			n := newTestAgent(c, reply(5, "s"))
			n.agent.Sweep()
			if x.first.IsValid() {
				n.receiveOpening(newer(), x.first)
				c.Assert(n.target, qt.HasLen, 1)
			}
			n.run(x.wait)
			if x.reply != nil {
				n.view.Apply(x.reply, n.now)
			}
			before := len(n.target)
			n.receiveOpening(x.frame, model.Address)
			c.Assert(len(n.target)-before == 1, qt.Equals, x.served)
		})
	}
}

// Guards against an agent that leaves the service that a newer configuration chose for the one of an
// older configuration.
func TestAgentKeepsNewerService(t *testing.T) {
	c := qt.New(t)
	n := newTestAgent(c, reply(5, "x"))
	n.agent.Sweep()
	n.receiveOpening(&fleetwire.Frame{Revision: 5, Service: "x"}, model.Address)
	c.Assert(n.target, qt.HasLen, 0)
	n.receiveOpening(&fleetwire.Frame{Revision: 6, Service: "s"}, model.Address)
	n.receiveOpening(&fleetwire.Frame{Revision: 5, Service: "x"}, model.Address)
	c.Assert(n.target, qt.HasLen, 2)
}

// Guards against an agent that refuses all flows for ever because a frame named a configuration that
// never existed.
func TestForgedRevisionIsForgotten(t *testing.T) {
	c := qt.New(t)
	n := newTestAgent(c, reply(5, "s"))
	n.agent.Sweep()
	n.receiveOpening(&fleetwire.Frame{Revision: 1 << 60, Service: "s"}, added)
	n.run(grace)
	n.receiveOpening(&fleetwire.Frame{Revision: 5, Service: "s"}, model.Address)
	c.Assert(n.target, qt.HasLen, 1)
	for range 8 {
		n.run(500 * time.Millisecond)
		n.view.Apply(reply(5, "s"), n.now)
	}
	n.receiveOpening(&fleetwire.Frame{Revision: 5, Service: "s"}, model.Address)
	c.Assert(n.target, qt.HasLen, 2)
}

// testBalancer is a balancer whose clock is set by the test.
type testBalancer struct {
	*recordingLink
	balancer *packet.Balancer
	now      time.Time
	port     uint16
}

func newTestBalancer(r *fleetwire.PollReply) *testBalancer {
	n := &testBalancer{recordingLink: &recordingLink{}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	view := &fleet.View{}
	view.Apply(r, n.now)
	n.balancer = packet.NewBalancer(packet.BalancerConfig{HintAddress: origin}, model.Codec{}, view, n.recordingLink,
		packet.WithClock(func() time.Time { return n.now }))
	return n
}

// open returns the frame by which the balancer forwards an opening packet.
func (n *testBalancer) open() *fleetwire.Frame {
	n.port++
	n.balancer.HandleCallerPacket(model.Codec{}.Encode(mangokeel.Packet{
		Source: netip.AddrPortFrom(caller.Addr(), n.port), Destination: model.Address, Opening: true, Sequence: uint32(n.port),
	}))
	return n.headers[len(n.headers)-1]
}

// Guards against a balancer through which one flow is routed by the newer configuration of an agent and
// a later one by the older configuration that the balancer and another agent have.
func TestBalancerNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	b := newTestBalancer(reply(5, "s"))
	x := b.open()
	c.Assert(x.GetRevision(), qt.Equals, uint64(5))
	c.Assert(x.GetKnown(), qt.Equals, uint64(0))

	n := newTestAgent(c, reply(6, "s"))
	n.agent.Sweep()
	n.receiveOpening(x, added) // not allowed by the agent's configuration
	c.Assert(n.frames, qt.HasLen, 0)
	n.receiveOpening(x, model.Address)
	c.Assert(n.frames, qt.HasLen, 1)
	c.Assert(n.frames[0], qt.Equals, origin)
	c.Assert(n.headers[0].GetKnown(), qt.Equals, uint64(6))
	hint, err := fleetwire.Append(nil, n.headers[0], nil)
	c.Assert(err, qt.IsNil)
	b.balancer.HandleHint(hint)

	x = b.open()
	c.Assert(x.GetRevision(), qt.Equals, uint64(6))
	c.Assert(x.GetService(), qt.Equals, "s")
	b.now = b.now.Add(grace)
	b.balancer.Sweep()
	b.now = b.now.Add(grace)
	c.Assert(b.open().GetKnown(), qt.Equals, uint64(6))
}
