package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/flow"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

const (
	service = mangokeel.ServiceID(7)
	buckets = 8
)

var (
	start  = time.Unix(1000, 0)
	caller = netip.MustParseAddrPort("192.0.2.1:4242")
	home   = bucket.Index(caller, service, buckets)
)

func agentOf(h mangokeel.Handle) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1000+uint16(h))
}

// stateOf returns a state in which the chain of every bucket is the given one.
// Targets whose handle is in out are in an availability zone out of service.
func stateOf(epoch uint64, chain []mangokeel.Handle, out ...mangokeel.Handle) *view.State {
	u := &wire.Update{Whole: true, Revision: epoch, NextHandle: 100, Services: []*wire.Service{
		{Id: uint32(service), Buckets: buckets, Epoch: epoch, Zones: []string{"plaisance"}},
	}}
	for i, h := range chain {
		t := &wire.Target{Handle: uint32(h), Service: uint32(service), Zone: "plaisance", Agent: agentOf(h).String()}
		t.State, t.Held = wire.State_STATE_LEAVING, []byte{0xff}
		if i == 0 {
			t.State, t.Weight, t.Held = wire.State_STATE_SERVING, 256, nil
		}
		u.Targets = append(u.Targets, t)
	}
	for _, h := range out {
		u.Targets = append(u.Targets, &wire.Target{Handle: uint32(h), Service: uint32(service), Zone: "ebene", Agent: agentOf(h).String(), Held: []byte{0xff}})
	}
	var v view.View
	v.Apply(u)
	return v.State()
}

func hops(chain []mangokeel.Handle) []flow.Hop {
	var c []flow.Hop
	for _, h := range chain {
		c = append(c, flow.Hop{Handle: h, Agent: agentOf(h)})
	}
	return c
}

// find is the packet that a balancer sends to the owner of a chain.
func find(epoch uint64, chain ...mangokeel.Handle) flow.Packet {
	p := flow.Packet{
		Kind: wire.Kind_KIND_FIND, Service: service, Handle: chain[0], Epoch: mangokeel.Epoch(epoch),
		Bucket: home, Caller: caller, Opens: true,
	}
	if len(chain) > 1 {
		p.Chain = hops(chain)
	}
	return p
}

func table(h mangokeel.Handle, p wire.Protocol) *flow.Table {
	return flow.New(flow.Config{Service: service, Handle: h, Protocol: p})
}

// next is the packet that results from a decision to forward.
func next(p flow.Packet, d flow.Decision) flow.Packet {
	p.Kind, p.Handle, p.Epoch, p.Hops, p.Next, p.Chain = d.Kind, d.To.Handle, d.Epoch, d.Hops, d.Next, d.Chain
	return p
}

// Guards against a wrong answer to a single packet, one case for each rule of the
// design and for packets that no correct node sends.
func TestReceive(t *testing.T) {
	type handles = []mangokeel.Handle
	cases := []struct {
		name   string
		view   *view.State
		change func(p *flow.Packet)
		packet flow.Packet
		want   string
	}{
		{"sole owner creates", stateOf(5, handles{1}), nil, find(5, 1), "create"},
		{"view behind, sole owner creates", stateOf(4, handles{2, 1}), nil, find(5, 1), "create"},
		{"no view, sole owner creates", nil, nil, find(5, 1), "create"},
		{"owner asks the next member", stateOf(5, handles{1, 2}), nil, find(5, 1, 2), "forward 2 KIND_FIND 5 next 1"},
		{"owner creates at last", stateOf(5, handles{1, 2}), func(p *flow.Packet) { p.Kind = wire.Kind_KIND_CREATE }, find(5, 1, 2), "create"},
		{"last member declines", stateOf(5, handles{2, 1}), func(p *flow.Packet) { p.Handle, p.Next = 1, 1 }, find(5, 2, 1), "forward 2 KIND_CREATE 5 next 0"},
		{"middle member declines", stateOf(4, handles{1}), func(p *flow.Packet) { p.Handle, p.Next = 1, 1 }, find(5, 2, 1, 3), "forward 3 KIND_FIND 5 next 2"},
		{"older epoch goes to the new owner", stateOf(6, handles{2, 1}), nil, find(5, 1), "forward 2 KIND_FIND 6 next 0"},
		{"older epoch, owner again", stateOf(6, handles{1, 2}), nil, find(5, 1), "forward 2 KIND_FIND 6 next 1"},
		{"create under an older epoch walks anew", stateOf(6, handles{1, 2, 3}), func(p *flow.Packet) { p.Kind = wire.Kind_KIND_CREATE }, find(5, 1, 3), "forward 3 KIND_FIND 6 next 1"},
		{"chain differs under one epoch", stateOf(5, handles{2, 1}), nil, find(5, 1), "forward 2 KIND_FIND 5 next 0"},
		{"too many hops", stateOf(5, handles{1, 2}), func(p *flow.Packet) { p.Hops = flow.MaxHops }, find(5, 1, 2), "drop hops"},
		{"other service", stateOf(5, handles{1}), func(p *flow.Packet) { p.Service = 8 }, find(5, 1), "drop service"},
		{"other handle", stateOf(5, handles{1}), func(p *flow.Packet) { p.Handle = 2 }, find(5, 1), "drop handle"},
		{"reply", stateOf(5, handles{1}), func(p *flow.Packet) { p.Kind = wire.Kind_KIND_REPLY }, find(5, 1), "drop kind"},
		{"wrong bucket", stateOf(5, handles{1}), func(p *flow.Packet) { p.Bucket ^= 1 }, find(5, 1), "drop bucket"},
		{"bucket out of range", nil, func(p *flow.Packet) { p.Bucket = flow.MaxBuckets }, find(5, 1), "drop bucket"},
		{"not in the chain", stateOf(4, handles{1}), func(p *flow.Packet) { p.Handle = 1 }, find(5, 2, 3), "drop chain"},
		{"position out of range", stateOf(4, handles{1}), func(p *flow.Packet) { p.Next = 9 }, find(5, 1, 3), "drop chain"},
		{"chain back to itself", stateOf(4, handles{1}), nil, find(5, 1, 1), "drop invariant"},
		{"nobody owns the bucket", stateOf(5, handles{}, 1), nil, find(5, 1), "drop owner"},
		{"no owner, holder whose view is behind", stateOf(4, handles{1}), func(p *flow.Packet) { p.Handle, p.Next = 1, 1 }, find(5, 0, 1), "drop owner"},
		{"no owner, other holder is asked", stateOf(4, handles{1}), func(p *flow.Packet) { p.Handle, p.Next = 1, 1 }, find(5, 0, 1, 2), "forward 2 KIND_FIND 5 next 2"},
		{"payload opens nothing", stateOf(5, handles{1}), func(p *flow.Packet) { p.Opens = false }, find(5, 1), "drop unknown"},
		{"names this target", stateOf(5, handles{2, 1}), func(p *flow.Packet) { p.Named = 1 }, find(5, 1), "deliver"},
		{"names a live target", stateOf(5, handles{1, 2}), func(p *flow.Packet) { p.Kind, p.Named = wire.Kind_KIND_RESET, 2 }, find(9, 1), "forward 2 KIND_DELIVER 9 next 0"},
		{"names a target that left", stateOf(5, handles{1}), func(p *flow.Packet) { p.Kind, p.Named = wire.Kind_KIND_RELAY, 2 }, find(5, 1), "reset"},
		{"names a target that is out", stateOf(5, handles{1}, 2), func(p *flow.Packet) { p.Kind, p.Named = wire.Kind_KIND_RESET, 2 }, find(5, 1), "reset"},
		{"names a target newer than the view", stateOf(5, handles{1}), func(p *flow.Packet) { p.Kind, p.Named = wire.Kind_KIND_RESET, 100 }, find(9, 1), "drop unknown"},
		{"names nothing that authenticates", stateOf(5, handles{1}), func(p *flow.Packet) { p.Kind = wire.Kind_KIND_RESET }, find(5, 1), "drop unknown"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			tab := table(1, wire.Protocol_PROTOCOL_HTTP)
			if x.view != nil {
				tab.Update(x.view)
			}
			if x.change != nil {
				x.change(&x.packet)
			}
			c.Assert(show(tab.Receive(start, x.packet)), qt.Equals, x.want)
		})
	}
}

func show(d flow.Decision) string {
	switch d.Action {
	case flow.Forward:
		return fmt.Sprintf("forward %d %s %d next %d", d.To.Handle, d.Kind, d.Epoch, d.Next)
	case flow.Drop:
		return "drop " + d.Reason.String()
	}
	return d.Action.String()
}

// walk is a packet on its way between tables.
type walk struct {
	p    flow.Packet
	end  flow.Decision
	done bool
}

// step hands the packet to the table it is addressed to.
func (w *walk) step(tables map[mangokeel.Handle]*flow.Table) {
	if w.done {
		return
	}
	w.end = tables[w.p.Handle].Receive(start, w.p)
	if w.done = w.end.Action != flow.Forward; !w.done {
		w.p = next(w.p, w.end)
	}
}

// Guards against two owners of one flow while a bucket moves from one target to
// the next: every pair of epochs at the balancers, every combination of views at
// the agents, and every order of the steps of two walks.
func TestOneOwner(t *testing.T) {
	c := qt.New(t)
	chains := map[uint64][]mangokeel.Handle{1: {1}, 2: {2, 1}, 3: {3, 2, 1}}
	states := []*view.State{nil, stateOf(1, chains[1]), stateOf(2, chains[2]), stateOf(3, chains[3])}
	const steps = 5
	runs := 0
	for order := range 1 << (2 * steps) {
		if ones(order) != steps {
			continue
		}
		for combination := range 64 * 9 {
			tables := map[mangokeel.Handle]*flow.Table{}
			for h := range mangokeel.Handle(3) {
				tables[h+1] = table(h+1, wire.Protocol_PROTOCOL_UDP)
				if s := states[combination>>(2*h)&3]; s != nil {
					tables[h+1].Update(s)
				}
			}
			e0, e1 := uint64(combination/64%3+1), uint64(combination/64/3+1)
			walks := [2]walk{{p: find(e0, chains[e0]...)}, {p: find(e1, chains[e1]...)}}
			for i := range 2 * steps {
				walks[order>>i&1].step(tables)
			}
			for i := range walks {
				for !walks[i].done {
					walks[i].step(tables)
				}
			}
			runs++
			a, b := walks[0], walks[1]
			ok := a.p.Handle == b.p.Handle && a.end.Action != flow.Drop && b.end.Action != flow.Drop
			if created := tables[1].Len() + tables[2].Len() + tables[3].Len(); created != 1 || !ok {
				c.Fatalf("order %b combination %d: %d flows, ends %+v %+v", order, combination, created, a, b)
			}
		}
	}
	t.Logf("%d runs", runs)
}

func ones(n int) int {
	i := 0
	for ; n > 0; n &= n - 1 {
		i++
	}
	return i
}

// Guards against a flow that is created at a target after it has released the
// bucket, by a packet that was under way since before the move.
func TestReleaseThenLatePacket(t *testing.T) {
	c := qt.New(t)
	tab := table(1, wire.Protocol_PROTOCOL_UDP)
	tab.Update(stateOf(1, []mangokeel.Handle{1}))
	c.Assert(tab.Receive(start, find(1, 1)).Action, qt.Equals, flow.Create)
	tab.Update(stateOf(2, []mangokeel.Handle{2, 1}))

	_, free := tab.Release()
	c.Assert(free.Has(home), qt.IsFalse)
	c.Assert(free.Has(home^1), qt.IsTrue)
	c.Assert(tab.Remove(caller), qt.IsTrue)
	epoch, free := tab.Release()
	c.Assert(epoch, qt.Equals, mangokeel.Epoch(2))
	c.Assert(free.Has(home), qt.IsTrue)
	c.Assert(show(tab.Receive(start, find(1, 1))), qt.Equals, "forward 2 KIND_FIND 2 next 0")

	// The owner does not release its own buckets.
	tab.Update(stateOf(3, []mangokeel.Handle{1, 2}))
	_, free = tab.Release()
	c.Assert(free.Empty(), qt.IsTrue)
}

// Guards against a floor that is forgotten while the view is still behind it, or
// kept after the view has passed it.
func TestFloor(t *testing.T) {
	c := qt.New(t)
	tab := table(1, wire.Protocol_PROTOCOL_UDP)
	tab.Update(stateOf(1, []mangokeel.Handle{1}))
	p := find(4, 2, 1)
	p.Handle, p.Next = 1, 1
	c.Assert(show(tab.Receive(start, p)), qt.Equals, "forward 2 KIND_CREATE 4 next 0")
	tab.Update(stateOf(3, []mangokeel.Handle{1}))
	c.Assert(tab.Floors(), qt.Equals, 1)
	c.Assert(show(tab.Receive(start, find(3, 1))), qt.Equals, "forward 2 KIND_FIND 4 next 0")
	c.Assert(tab.Receive(start, find(5, 1)).Action, qt.Equals, flow.Create)
	tab.Update(stateOf(4, []mangokeel.Handle{2, 1}))
	c.Assert(tab.Floors(), qt.Equals, 0)
	c.Assert(tab.Counters().Violations, qt.Equals, uint64(0))
}

// Guards against a view that goes back, duplicates that open a second flow, and
// packets without a place in the table that end its flow.
func TestDuplicatesAndGarbage(t *testing.T) {
	c := qt.New(t)
	tab := table(1, wire.Protocol_PROTOCOL_UDP)
	tab.Update(stateOf(5, []mangokeel.Handle{1, 2}))
	tab.Update(stateOf(4, []mangokeel.Handle{1}))
	c.Assert(tab.Epoch(), qt.Equals, mangokeel.Epoch(5))
	p := find(5, 1, 2)
	p.Kind = wire.Kind_KIND_CREATE
	c.Assert(tab.Receive(start, p).Action, qt.Equals, flow.Create)
	for _, q := range []flow.Packet{p, find(5, 1, 2), find(4, 1), find(9, 1)} {
		c.Assert(tab.Receive(start, q).Action, qt.Equals, flow.Deliver)
	}
	p.Kind = wire.Kind_KIND_DELIVER
	c.Assert(show(tab.Receive(start, p)), qt.Equals, "drop kind")
	c.Assert(tab.Len(), qt.Equals, 1)
}

// Guards against callers without number that use up the target's sockets.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	s := stateOf(5, []mangokeel.Handle{1})
	s.Service(service).Connections = 2
	tab := table(1, wire.Protocol_PROTOCOL_UDP)
	tab.Update(s)
	for i, want := range []string{"create", "create", "drop full", "drop full"} {
		p := find(5, 1)
		p.Caller = netip.AddrPortFrom(caller.Addr(), uint16(i+1))
		p.Bucket = bucket.Index(p.Caller, service, buckets)
		c.Assert(show(tab.Receive(start, p)), qt.Equals, want)
	}
}

// Guards against flows that end while they are used, or stay after they are not.
func TestExpire(t *testing.T) {
	for protocol, idle := range map[wire.Protocol]time.Duration{
		wire.Protocol_PROTOCOL_UDP: flow.IdleUDP, wire.Protocol_PROTOCOL_HTTP: flow.IdleHTTP,
	} {
		c := qt.New(t)
		tab := table(1, protocol)
		tab.Update(stateOf(1, []mangokeel.Handle{1}))
		tab.Receive(start, find(1, 1))
		tab.Receive(start.Add(idle/2), find(1, 1))
		var ended []netip.AddrPort
		sweep := func(now time.Time) {
			for range 16 {
				tab.Expire(now, func(a netip.AddrPort) { ended = append(ended, a) })
			}
		}
		sweep(start.Add(idle * 3 / 2).Add(-time.Second))
		c.Assert(tab.Len(), qt.Equals, 1)
		sweep(start.Add(idle * 3 / 2))
		c.Assert(tab.Len(), qt.Equals, 0)
		c.Assert(len(ended) == 1 && ended[0] == caller, qt.IsTrue)
	}
}

// Guards against buckets that stay held, and new connections that reach a leaving
// target, because of flows that are found by their connection IDs already.
func TestSettled(t *testing.T) {
	c := qt.New(t)
	tab := table(1, wire.Protocol_PROTOCOL_HTTP)
	tab.Update(stateOf(1, []mangokeel.Handle{1}))
	tab.Receive(start, find(1, 1))
	tab.Update(stateOf(2, []mangokeel.Handle{2, 1}))
	p := find(2, 1)
	p.Kind, p.Named = wire.Kind_KIND_DELIVER, 1
	c.Assert(tab.Receive(start, p).Action, qt.Equals, flow.Deliver)
	c.Assert(tab.Len(), qt.Equals, 0)
	_, free := tab.Release()
	c.Assert(free.Has(home), qt.IsTrue)
	c.Assert(show(tab.Receive(start, find(1, 1))), qt.Equals, "forward 2 KIND_FIND 2 next 0")
}

// Guards against flows that outlive the availability zone of their target.
func TestZoneOut(t *testing.T) {
	c := qt.New(t)
	tab := table(1, wire.Protocol_PROTOCOL_HTTP)
	tab.Update(stateOf(1, []mangokeel.Handle{1}))
	tab.Receive(start, find(1, 1))
	c.Assert(tab.Update(stateOf(2, []mangokeel.Handle{2}, 1)), qt.IsTrue)
	c.Assert(tab.Len(), qt.Equals, 0)
	c.Assert(show(tab.Receive(start, find(1, 1))), qt.Equals, "forward 2 KIND_FIND 2 next 0")
	p := find(1, 1)
	p.Kind, p.Named = wire.Kind_KIND_DELIVER, 1
	c.Assert(tab.Receive(start, p).Action, qt.Equals, flow.Reset)
	_, free := tab.Release()
	c.Assert(free.Has(home), qt.IsTrue)
}
