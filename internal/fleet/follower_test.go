package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/fleetwire"
	"mangokeel/internal/wire"
)

var instance = netip.MustParseAddrPort("10.0.0.1:7000")

// slowControl answers each poll after a delay, or when it is given up.
type slowControl struct {
	delay   time.Duration
	answers atomic.Int64
}

func (s *slowControl) Call(ctx context.Context, _ netip.AddrPort, _ string, req, resp proto.Message) error {
	if req.(*fleetwire.PollRequest).GetSearch() {
		proto.Merge(resp, &fleetwire.PollReply{Leading: true})
		return nil
	}
	t := time.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	n := s.answers.Add(1)
	proto.Merge(resp, &fleetwire.PollReply{Leading: true, Desired: uint64(n), Whole: true, Term: 1, Registry: 1, Complete: true})
	return nil
}

// Guards against polls that are ended by news before they return: a node that sees frames
// of a newer configuration asks for it with each of them. Its lease ended, and the flows of
// its target were reset (docs/incidents.md, 3).
func TestNewsDoNotStarvePolls(t *testing.T) {
	c := qt.New(t)
	control := &slowControl{delay: 5 * time.Millisecond}
	v := &View{}
	f := NewFollower(v, control, "n", func() []netip.AddrPort { return []netip.AddrPort{instance} })
	defer f.Close()
	end := time.Now().Add(500 * time.Millisecond)
	for time.Now().Before(end) {
		f.Refresh()
		time.Sleep(100 * time.Microsecond)
	}
	c.Assert(control.answers.Load() >= 10, qt.IsTrue, qt.Commentf("%d answers", control.answers.Load()))
	c.Assert(v.State().Revision > 0, qt.IsTrue)
}

// Guards against a node that never gets its first state because it takes longer to fetch and
// decode than the question for the leader may take (docs/incidents.md, 5: balancers
// with 0.06 of a core and 390 routes had no state for the rest of the day).
func TestSlowFirstState(t *testing.T) {
	c := qt.New(t)
	control := &slowControl{delay: 4 * leaderQueryTimeout}
	v := &View{}
	f := NewFollower(v, control, "n", func() []netip.AddrPort { return []netip.AddrPort{instance} })
	defer f.Close()
	for end := time.Now().Add(fullPollTimeout); v.State().Revision == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(v.State().Revision > 0, qt.IsTrue)
}

// Guards against a large state that is lost on its way.
func TestPackedAnswer(t *testing.T) {
	c := qt.New(t)
	in := &fleetwire.PollReply{Leading: true, Desired: 7, Whole: true}
	for i := range 400 {
		in.Routes = append(in.Routes, route(netip.AddrPortFrom(instance.Addr(), uint16(i+1)).String(), "s"))
	}
	p := &wire.Packer{}
	_, err := p.Pack(in)
	c.Assert(err, qt.IsNil)
	b, err := p.Pack(in) // with a compressor that was used before
	c.Assert(err, qt.IsNil)
	c.Assert(len(b) < proto.Size(in)/4, qt.IsTrue, qt.Commentf("%d of %d bytes", len(b), proto.Size(in)))
	out := &fleetwire.PollReply{Packed: b}
	c.Assert(wire.Unpack(out.GetPacked(), out), qt.IsNil)
	c.Assert(proto.Equal(in, out), qt.IsTrue)
	c.Assert(wire.Unpack([]byte("nothing"), out), qt.IsNotNil)
}

// frozenLeader is two instances: one that does not answer, and one that names it as the
// leader until it leads itself.
type frozenLeader struct{ from time.Time }

var frozen = netip.MustParseAddrPort("10.0.0.2:7000")

func (l frozenLeader) Call(ctx context.Context, addr netip.AddrPort, _ string, req, resp proto.Message) error {
	if addr == frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	out := &fleetwire.PollReply{Leader: frozen.String()}
	if time.Now().After(l.from) {
		out = &fleetwire.PollReply{Leading: true}
		if !req.(*fleetwire.PollRequest).GetSearch() {
			out.Desired, out.Whole = 1, true
		}
	}
	proto.Merge(resp, out)
	return nil
}

// Guards against a node that relies on a frozen leader which another instance names: agents
// were without control for 3.4 s, the new leader took its registry for complete without them,
// and their flows were reset elsewhere (docs/incidents.md, 7).
func TestNamedLeaderIsAsked(t *testing.T) {
	c := qt.New(t)
	began := time.Now()
	const election = 300 * time.Millisecond
	v := &View{}
	f := NewFollower(v, frozenLeader{began.Add(election)}, "n", func() []netip.AddrPort { return []netip.AddrPort{instance} })
	defer f.Close()
	for v.State().Revision == 0 && time.Since(began) < fullPollTimeout {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(time.Since(began) < election+3*leaderQueryTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// Measures what the leader does for each node when a large configuration changes, and what a
// node does with it.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{8, 390, 1440} {
		in := &fleetwire.PollReply{Leading: true, Desired: 7, Whole: true}
		for i := range n {
			in.Routes = append(in.Routes, route(netip.AddrPortFrom(instance.Addr(), uint16(i+1)).String(), "s"))
		}
		p := &wire.Packer{}
		packed, err := p.Pack(in)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("leader/%d routes", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = p.Pack(in)
			}
		})
		b.Run(fmt.Sprintf("node/%d routes", n), func(b *testing.B) {
			for b.Loop() {
				var out fleetwire.PollReply
				_ = wire.Unpack(packed, &out)
				new(View).Apply(&out, time.Now())
			}
		})
	}
}

// unpoweredControl is control without power until a time: nothing answers, not even a connection.
type unpoweredControl struct {
	slowControl
	until time.Time
	// tries counts the connections that were tried.
	tries atomic.Int64
}

func (d *unpoweredControl) Connect(ctx context.Context, _ netip.AddrPort) error {
	if time.Now().Before(d.until) { // what was sent into the dark stays unanswered
		d.tries.Add(1)
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (d *unpoweredControl) Call(ctx context.Context, a netip.AddrPort, method string, req, resp proto.Message) error {
	if err := d.Connect(ctx, a); err != nil {
		return err
	}
	return d.slowControl.Call(ctx, a, method, req, resp)
}

// Guards against nodes that wait for instances without power, one after the other and ever longer,
// while these are back. Load pattern: an outage in which the nodes start before control.
func TestControlIsFoundOnceItIsBack(t *testing.T) {
	c := qt.New(t)
	control := &unpoweredControl{until: time.Now().Add(500 * time.Millisecond)}
	v := &View{}
	seeds := []netip.AddrPort{addr(1), addr(2), addr(3)}
	f := NewFollower(v, control, "n", func() []netip.AddrPort { return seeds })
	defer f.Close()
	for v.State().Revision == 0 && time.Since(control.until) < fullPollTimeout {
		time.Sleep(time.Millisecond)
	}
	const most = leaderQueryTimeout + pollInterval
	c.Assert(time.Since(control.until) < most, qt.IsTrue, qt.Commentf("%v after control is back", time.Since(control.until)))
	c.Assert(control.tries.Load() < 60, qt.IsTrue, qt.Commentf("%d connections tried", control.tries.Load()))
}

// Guards against a node that follows one instance which takes connections and answers nothing.
func TestFrozenInstanceIsLeft(t *testing.T) {
	c := qt.New(t)
	control := &partlyFrozenControl{frozen: addr(2)}
	v := &View{}
	f := NewFollower(v, control, "n", func() []netip.AddrPort { return []netip.AddrPort{addr(1), addr(2), addr(3)} })
	defer f.Close()
	for end := time.Now().Add(fullPollTimeout); v.State().Revision == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(v.State().Revision > 0, qt.IsTrue)
}

// partlyFrozenControl is control of which one instance is frozen.
type partlyFrozenControl struct {
	slowControl
	frozen netip.AddrPort
}

func (h *partlyFrozenControl) Connect(context.Context, netip.AddrPort) error { return nil }

func (h *partlyFrozenControl) Call(ctx context.Context, a netip.AddrPort, method string, req, resp proto.Message) error {
	if a == h.frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	return h.slowControl.Call(ctx, a, method, req, resp)
}
