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

var (
	self   = netip.MustParseAddrPort("10.0.0.1:7000")
	other  = netip.MustParseAddrPort("10.0.0.2:7000")
	origin = netip.MustParseAddrPort("10.0.1.1:7000")
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
)

// sent is what an agent or balancer sent.
type sent struct {
	frames  []netip.AddrPort
	headers []*fleetwire.Frame
	target  []mangokeel.Packet
	resets  []mangokeel.Packet
}

func (s *sent) SendFrame(to netip.AddrPort, b []byte) {
	x := &fleetwire.Frame{}
	if _, err := fleetwire.Split(b, x); err != nil {
		panic(err)
	}
	s.frames, s.headers = append(s.frames, to), append(s.headers, x)
}

func (s *sent) SendToTarget(b []byte) {
	p, err := model.Codec{}.Parse(b)
	if err != nil {
		panic(err)
	}
	s.target = append(s.target, p)
}

func (s *sent) SendToCaller(_ netip.Addr, b []byte) {
	p, err := model.Codec{}.Parse(b)
	if err != nil {
		panic(err)
	}
	if p.Reset {
		s.resets = append(s.resets, p)
	}
}

// node is an agent with a view and a clock of the test.
type node struct {
	*sent
	c     *qt.C
	agent *packet.Agent
	view  *fleet.View
	now   time.Time
}

func newNode(c *qt.C, reply *fleetwire.PollReply) *node {
	n := &node{sent: &sent{}, c: c, view: &fleet.View{}, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	n.view.Apply(reply, n.now)
	n.agent = packet.NewAgent(packet.AgentConfig{Address: self, Service: "s"}, model.Codec{}, n.view, n.sent,
		packet.WithClock(func() time.Time { return n.now }))
	n.agent.HandleReport(packet.Report{ID: "i", StartedAt: n.now, Service: "s", Slots: 2, Serial: 1})
	n.now = n.now.Add(2 * fleet.Settling)
	return n
}

func (n *node) frame(x *fleetwire.Frame, p mangokeel.Packet) {
	p.Source, p.Destination = caller, model.Address
	x.Origin = fleetwire.Address(origin)
	b, err := fleetwire.Append(nil, x, model.Codec{}.Encode(p))
	n.c.Assert(err, qt.IsNil)
	n.agent.Frame(b)
}

func (n *node) returned(p mangokeel.Packet) {
	p.Source, p.Destination, p.Returned = caller, model.Address, true
	n.agent.Target(model.Codec{}.Encode(p))
}

// reply is a state with one route and the agents self and other.
func reply(revision uint64, service string) *fleetwire.PollReply {
	r := &fleetwire.PollReply{
		Leading: true, Desired: revision, Whole: true, Term: 1, All: true, Complete: true,
		Routes: []*fleetwire.Route{{
			Address: model.Address.String(), TimeoutMs: 500, Revision: revision,
			Shares: []*fleetwire.Share{{Service: service, Weight: 1}},
		}},
	}
	for _, a := range []netip.AddrPort{self, other} {
		r.Announcements = append(r.Announcements, &fleetwire.Announcement{
			Agent: a.String(), Service: "s", State: fleetwire.State_STATE_READY, Start: 1, Serial: 1, Load: &fleetwire.Load{Slots: 2},
			Aware: true,
		})
	}
	return r
}

func open(revision uint64) (*fleetwire.Frame, mangokeel.Packet) {
	return &fleetwire.Frame{Kind: fleetwire.Kind_KIND_OPEN, Revision: revision, Service: "s"},
		mangokeel.Packet{Opening: true, Sequence: 9}
}

// Guards against flows that are opened by an older configuration than the newest that the
// balancer or the agent has.
func TestNewerConfigurationDecides(t *testing.T) {
	for _, x := range []struct {
		name     string
		own      string
		revision uint64
		want     int
	}{
		{"both allow", "s", 5, 1},
		{"the agent's newer one does not", "x", 4, 0},
		{"the balancer's newer one does", "x", 6, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode(c, reply(5, x.own))
			n.frame(open(x.revision))
			c.Assert(n.target, qt.HasLen, x.want)
		})
	}
}

// touch is for how long an agent may rely on what control told it.
const touch = 2 * time.Second

// Guards against resets of flows whose target may live: a flow counts as ended only if all that
// may know it were asked, had to know it, and did not, twice.
func TestLostFlowIsResetOnlyWhenSure(t *testing.T) {
	incomplete := reply(5, "s")
	incomplete.Complete = false
	silent := reply(5, "s")
	silent.Announcements[1].State = fleetwire.State_STATE_SILENT
	unaware := reply(5, "s")
	unaware.Announcements[1].Aware = false
	knowing := func(x *fleetwire.Frame) *fleetwire.Frame {
		return &fleetwire.Frame{Kind: fleetwire.Kind_KIND_UNKNOWN, Aware: true, Settled: true, Holdings: x.GetHoldings()}
	}
	for _, y := range []struct {
		name  string
		reply *fleetwire.PollReply
		// answer is what the other agent answers to a frame, if anything.
		answer func(x *fleetwire.Frame) *fleetwire.Frame
		// deaf agents hear nothing more of control, mute targets return nothing, and stopped
		// processes go on after a while without having heard of control since.
		deaf, mute, stopped bool
		want                int
	}{
		{name: "all must know the flow and do not", reply: reply(5, "s"), answer: knowing, want: 1},
		{name: "a place that has just started", reply: reply(5, "s"), answer: func(*fleetwire.Frame) *fleetwire.Frame {
			return &fleetwire.Frame{Kind: fleetwire.Kind_KIND_UNKNOWN}
		}},
		{name: "a place that does not answer", reply: reply(5, "s"), answer: func(*fleetwire.Frame) *fleetwire.Frame { return nil }},
		{name: "an incomplete view", reply: incomplete, answer: knowing},
		{name: "an old view", reply: reply(5, "s"), answer: knowing, deaf: true},
		{name: "a process that was stopped", reply: reply(5, "s"), answer: knowing, stopped: true},
		{name: "a silent agent", reply: silent, answer: func(*fleetwire.Frame) *fleetwire.Frame { return nil }},
		{name: "an own target that says nothing", reply: reply(5, "s"), answer: knowing, mute: true},
		{name: "an agent that does not know its target's flows, whose target returns the packet", reply: unaware, answer: knowing, want: 1},
		{name: "one whose target says nothing", reply: unaware, answer: func(x *fleetwire.Frame) *fleetwire.Frame {
			if x.GetOffer() {
				return nil
			}
			return knowing(x)
		}},
	} {
		t.Run(y.name, func(t *testing.T) {
			c := qt.New(t)
			data := mangokeel.Packet{Sequence: 10, Acknowledged: 77, Size: 5}
			n := newNode(c, y.reply)
			answers := func() {
				sent := n.headers
				n.headers = nil
				for _, x := range sent {
					if out := y.answer(x); out != nil {
						out.Origin, out.Caller, out.Address = fleetwire.Address(other), fleetwire.Address(caller), fleetwire.Address(model.Address)
						b, err := fleetwire.Append(nil, out, nil)
						c.Assert(err, qt.IsNil)
						n.agent.Frame(b)
					}
				}
			}
			run := func(d time.Duration) {
				for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
					if !y.deaf {
						n.view.Apply(y.reply, n.now)
					}
					n.agent.Sweep()
					answers()
				}
			}
			run(time.Second) // the agent itself is settled
			n.data(data)
			c.Assert(n.target, qt.HasLen, 1, qt.Commentf("the own target is asked as well"))
			if !y.mute {
				n.returned(data)
			}
			if y.stopped {
				n.now = n.now.Add(touch / 2)
				y.deaf = true
				answers() // they have waited in the socket
			}
			run(2 * time.Second)
			c.Assert(n.resets, qt.HasLen, y.want)
			if y.want > 0 {
				c.Assert(n.resets[0].Sequence, qt.Equals, uint32(77))
			}
		})
	}
}

// Guards against a flow that is refused although another target takes it, and against one
// that travels for ever.
func TestReturnedOpeningGoesOn(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	n.frame(open(5))
	c.Assert(n.target, qt.HasLen, 1)
	n.returned(mangokeel.Packet{Opening: true, Sequence: 9})
	c.Assert(n.frames, qt.HasLen, 1)
	c.Assert(n.frames[0], qt.Equals, other)
	c.Assert(n.headers[0].GetPassed(), qt.HasLen, 1)
	c.Assert(n.resets, qt.HasLen, 0)
}

// Guards against an acknowledged departure that a restart of the target under the same id,
// or a late report, undoes or hides.
func TestReportsInOrder(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	born := n.now
	c.Assert(n.agent.HandleReport(packet.Report{ID: "i", StartedAt: born, Service: "s", Slots: 2, Serial: 1}), qt.IsTrue)
	c.Assert(n.agent.HandleReport(packet.Report{ID: "i", StartedAt: born, Service: "s", Slots: 2, Serial: 3, Draining: true}), qt.IsTrue)
	n.agent.HandleReport(packet.Report{ID: "i", StartedAt: born, Service: "s", Slots: 2, Serial: 2}) // arrives late
	n.frame(open(5))
	c.Assert(n.target, qt.HasLen, 0)
	c.Assert(n.agent.HandleReport(packet.Report{ID: "old", StartedAt: born.Add(-time.Minute), Service: "x", Slots: 2, Serial: 90}), qt.IsFalse)
	c.Assert(n.agent.HandleReport(packet.Report{ID: "i", StartedAt: born.Add(time.Second), Service: "s", Slots: 2, Serial: 1}), qt.IsTrue)
	x, p := open(5)
	p.Sequence = 10
	n.frame(x, p)
	c.Assert(n.target, qt.HasLen, 1)
}

// Guards against a target that is never heard again because its clock went back before it
// started, and against a late report that undoes a departure.
func TestReportsOfOtherIncarnations(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	earlier := packet.Report{ID: "k", StartedAt: n.now.Add(-time.Hour), Service: "s", Slots: 2, Serial: 1}
	n.agent.HandleReport(packet.Report{ID: "j", StartedAt: n.now, Service: "s", Slots: 2, Serial: 1})
	c.Assert(n.agent.HandleReport(earlier), qt.IsFalse, qt.Commentf("the other one is alive"))
	born := n.now
	n.now = n.now.Add(5 * time.Second)
	c.Assert(n.agent.HandleReport(earlier), qt.IsTrue)
	c.Assert(n.agent.HasTarget(), qt.IsTrue)
	n.agent.HandleTargetStop("k")
	earlier.Serial = 9
	c.Assert(n.agent.HandleReport(earlier), qt.IsFalse)
	c.Assert(n.agent.HasTarget(), qt.IsFalse)
	c.Assert(n.agent.HandleReport(packet.Report{ID: "l", StartedAt: born.Add(time.Hour), Service: "s", Slots: 2, Serial: 1}), qt.IsTrue)
	c.Assert(n.agent.HasTarget(), qt.IsTrue)
}

// Guards against malformed frames that end an agent or a balancer.
func FuzzFrames(f *testing.F) {
	b, err := fleetwire.Append(nil, &fleetwire.Frame{Kind: fleetwire.Kind_KIND_OPEN, Service: "s", Passed: [][]byte{{1}}},
		model.Codec{}.Encode(mangokeel.Packet{Source: caller, Destination: model.Address, Opening: true}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		n := newNode(qt.New(t), reply(5, "s"))
		n.agent.Frame(b)
		n.agent.Target(b)
		x := packet.NewBalancer(packet.BalancerConfig{HintAddress: origin}, model.Codec{}, n.view, n.sent)
		x.HandleHint(b)
		x.HandleCallerPacket(b)
	})
}

// Guards against a refusal that comes after a copy of the opening packet has opened the flow
// elsewhere (soak, seed 1: flows that waited at several agents in turn were reset while they
// were open).
func TestOpeningWaitsOnce(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	full := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_OPEN, Revision: 5, Service: "s", Passed: [][]byte{
		fleetwire.Address(other), fleetwire.Address(other), fleetwire.Address(other), fleetwire.Address(other),
	}}
	p := mangokeel.Packet{Opening: true, Sequence: 9}
	n.frame(full, p)
	n.returned(p)
	c.Assert(n.resets, qt.HasLen, 0, qt.Commentf("the flow waits"))
	n.now = n.now.Add(20 * time.Millisecond) // less than it may wait
	n.agent.Sweep()
	c.Assert(n.resets, qt.HasLen, 0, qt.Commentf("the target takes it by now"))
	n.returned(p)
	c.Assert(n.resets, qt.HasLen, 1, qt.Commentf("it does not wait again"))
}

// Guards against a way to fail a request that others do not hear of, so that they go on
// sending flows to the target.
func TestFailuresAreTold(t *testing.T) {
	for _, x := range []struct {
		name    string
		end     func(n *node)
		failing bool
	}{
		{"answered", func(n *node) { n.answer(mangokeel.Packet{Size: 100}) }, false},
		{"failed answer", func(n *node) { n.answer(mangokeel.Packet{Size: 100, Failed: true}) }, true},
		{"answer after the last packet", func(n *node) {
			n.answer(mangokeel.Packet{Sequence: 100, Final: true})
			n.answer(mangokeel.Packet{Size: 100})
		}, false},
		{"failed answer after the last packet", func(n *node) {
			n.answer(mangokeel.Packet{Sequence: 100, Final: true})
			n.answer(mangokeel.Packet{Size: 100, Failed: true})
		}, true},
		{"part of a body that looks like a failure", func(n *node) { n.answer(mangokeel.Packet{Sequence: 1200, Size: 100, Failed: true}) }, false},
		{"closed by the target", func(n *node) { n.answer(mangokeel.Packet{Final: true}) }, true},
		{"reset by the target", func(n *node) { n.answer(mangokeel.Packet{Reset: true}) }, true},
		{"given up by the caller after a while", func(n *node) {
			n.now = n.now.Add(100 * time.Millisecond)
			n.data(mangokeel.Packet{Reset: true})
		}, true},
		{"given up by the caller before an answer was possible", func(n *node) {
			n.now = n.now.Add(time.Millisecond)
			n.data(mangokeel.Packet{Reset: true})
		}, false},
		{"never answered", func(n *node) { n.now = n.now.Add(3 * time.Second); n.agent.Sweep() }, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode(c, reply(5, "s"))
			n.frame(open(5))
			n.answer(mangokeel.Packet{Accepting: true})
			n.data(mangokeel.Packet{Size: 100})
			x.end(n)
			c.Assert(n.agent.Announcement().GetLoad().GetFailing() > 0, qt.Equals, x.failing)
		})
	}
}

// Guards against targets whose service time is never learned, since the last packet of each answer
// overtakes its data: flows of one request each, whose targets looked as fast as the default.
func TestServiceTimeOfShortFlows(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	for range 50 {
		n.frame(open(5))
		n.answer(mangokeel.Packet{Accepting: true})
		n.data(mangokeel.Packet{Sequence: 10, Acknowledged: 77, Size: 100})
		n.now = n.now.Add(60 * time.Millisecond)
		n.answer(mangokeel.Packet{Sequence: 177, Final: true})
		n.answer(mangokeel.Packet{Sequence: 77, Size: 100})
		n.data(mangokeel.Packet{Sequence: 110, Acknowledged: 178, Final: true})
	}
	told := time.Duration(n.agent.Announcement().GetLoad().GetServiceUs()) * time.Microsecond
	c.Assert(told > 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", told))
}

// data brings a later packet of the flow from its caller.
func (n *node) data(p mangokeel.Packet) {
	n.frame(&fleetwire.Frame{Kind: fleetwire.Kind_KIND_DATA, Revision: 5}, p)
}

// answer makes the target send a packet of the flow.
func (n *node) answer(p mangokeel.Packet) {
	p.Source, p.Destination = model.Address, caller
	n.agent.Target(model.Codec{}.Encode(p))
}

// Guards against resets of flows that a new incarnation of the target has accepted before its
// first report (soak, seed 240).
func TestFlowsOfANewIncarnationStay(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	n.frame(open(5))
	n.answer(mangokeel.Packet{Accepting: true})
	old := caller

	born := n.now.Add(100 * time.Millisecond)
	n.now = born.Add(100 * time.Millisecond)
	caller = netip.AddrPortFrom(old.Addr(), old.Port()+1)
	defer func() { caller = old }()
	n.frame(open(5))
	n.answer(mangokeel.Packet{Accepting: true})
	n.now = n.now.Add(300 * time.Millisecond)
	n.agent.HandleReport(packet.Report{ID: "j", StartedAt: born, Service: "s", Slots: 2, Serial: 1})
	c.Assert(n.resets, qt.HasLen, 1)
	c.Assert(n.resets[0].Destination, qt.Equals, old)
}

// Guards against refusals that come after a copy has opened the flow elsewhere, because the
// agent's process did not run for a while (soak, seeds 219 and 263).
func TestLateOpeningIsNotRefused(t *testing.T) {
	for _, x := range []struct {
		stopped        time.Duration
		opened, resets int
	}{
		{50 * time.Millisecond, 1, 1},
		{150 * time.Millisecond, 1, 0},
		{time.Second, 0, 0},
	} {
		c := qt.New(t)
		n := newNode(c, reply(5, "s"))
		n.agent.Sweep()
		n.now = n.now.Add(x.stopped)
		f, p := open(5)
		f.Passed = [][]byte{fleetwire.Address(other), fleetwire.Address(other), fleetwire.Address(other), fleetwire.Address(other)}
		f.Waited = true
		n.frame(f, p)
		c.Assert(n.target, qt.HasLen, x.opened, qt.Commentf("%v", x.stopped))
		n.returned(p) // nobody else may take it, and it has waited
		c.Assert(n.resets, qt.HasLen, x.resets, qt.Commentf("%v", x.stopped))
	}
}

// Guards against an agent that takes itself for one that knows all flows of its target although
// an earlier one may have opened some: flows would be reset that the target holds.
func TestAwareness(t *testing.T) {
	const period = 800 * time.Millisecond
	for _, x := range []struct {
		name   string
		age    time.Duration
		serial uint64
		aware  bool
	}{
		{"first report", 5 * time.Second, 1, true},
		{"repeated at once", 200 * time.Millisecond, 3, true},
		{"after one that was heard", period, 2, false},
		{"old", time.Minute, 70, false},
		{"old, and its clock has gone back", 100 * time.Millisecond, 70, false},
		{"born in the future", -time.Second, 2, false},
	} {
		c := qt.New(t)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		a := packet.NewAgent(packet.AgentConfig{Address: self, Service: "s", Period: period}, model.Codec{}, &fleet.View{}, &sent{},
			packet.WithClock(func() time.Time { return now }))
		report := packet.Report{ID: "i", StartedAt: now.Add(-x.age), Service: "s", Slots: 2, Serial: x.serial}
		a.HandleReport(report)
		c.Assert(a.Announcement().GetAware(), qt.Equals, x.aware, qt.Commentf("%s", x.name))
		c.Assert(a.Announcement().GetFresh(), qt.Equals, x.aware, qt.Commentf("%s", x.name))
		report.ID, report.StartedAt = "j", now.Add(2*time.Second)
		a.HandleReport(report)
		c.Assert(a.Announcement().GetAware(), qt.IsTrue, qt.Commentf("it has seen the former one end"))
		now = now.Add(time.Minute)
		c.Assert(a.Announcement().GetFresh(), qt.IsFalse)
	}
}

// Guards against a repeated packet of an answered request that counts as work in progress, or
// as a request that the caller gives up with its last packet.
func TestRepeatedRequestIsNoWork(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, reply(5, "s"))
	load := func() *fleetwire.Load { return n.agent.Announcement().GetLoad() }
	n.frame(open(5))
	n.answer(mangokeel.Packet{Accepting: true})
	n.data(mangokeel.Packet{Sequence: 1300, Size: 100}) // the second packet comes first
	n.data(mangokeel.Packet{Sequence: 100, Size: 1200})
	c.Assert(load().GetBusy(), qt.Equals, uint32(1))
	n.answer(mangokeel.Packet{Size: 100})
	n.data(mangokeel.Packet{Sequence: 100, Size: 1200})
	n.data(mangokeel.Packet{Sequence: 1300, Size: 100})
	c.Assert(load().GetBusy(), qt.Equals, uint32(0))
	n.data(mangokeel.Packet{Sequence: 1400, Size: 100})
	c.Assert(load().GetBusy(), qt.Equals, uint32(1))
	n.answer(mangokeel.Packet{Size: 100})
	n.data(mangokeel.Packet{Sequence: 1400, Size: 100})
	n.data(mangokeel.Packet{Sequence: 1500, Final: true})
	c.Assert(load().GetFailing(), qt.Equals, uint32(0))
}

// Guards against a balancer that takes an agent for silent because some of its flows are not
// answered, while others go on (docs/incidents.md, 19).
func TestAnsweringAgentIsNotSilent(t *testing.T) {
	c := qt.New(t)
	out := &sent{}
	view := &fleet.View{}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view.Apply(reply(5, "s"), now)
	b := packet.NewBalancer(packet.BalancerConfig{HintAddress: origin}, model.Codec{}, view, out, packet.WithClock(func() time.Time { return now }))
	port := uint16(1000)
	send := func(p mangokeel.Packet) netip.AddrPort {
		p.Source, p.Destination = netip.AddrPortFrom(caller.Addr(), port), model.Address
		b.HandleCallerPacket(model.Codec{}.Encode(p))
		return out.frames[len(out.frames)-1]
	}
	// first returns a port whose flows go to an agent first.
	first := func(agent netip.AddrPort) {
		for {
			port++
			if send(mangokeel.Packet{Opening: true, Sequence: 9}) == agent {
				return
			}
		}
	}
	for range 10 {
		first(self)
		unanswered := port
		now = now.Add(100 * time.Millisecond)
		first(self)
		send(mangokeel.Packet{Sequence: 10, Acknowledged: 77, Size: 5}) // this flow goes on
		now = now.Add(100 * time.Millisecond)
		port, unanswered = unanswered, port
		c.Assert(send(mangokeel.Packet{Opening: true, Sequence: 9, Copy: 1}), qt.Equals, self)
		port = unanswered
	}
	// Without an answer, copies go elsewhere, and so do further flows.
	for range 2 {
		first(self)
		now = now.Add(200 * time.Millisecond)
		c.Assert(send(mangokeel.Packet{Opening: true, Sequence: 9, Copy: 1}), qt.Equals, other)
	}
	for range 20 {
		port++
		c.Assert(send(mangokeel.Packet{Opening: true, Sequence: 9}), qt.Equals, other)
	}
}

// Guards against flows of an agent that has just joined: its hint may come before control's word
// of it, and the next packet of the flow was looked for everywhere else, and reset
// (docs/incidents.md, 21).
func TestOwnerThatHasJustJoined(t *testing.T) {
	c := qt.New(t)
	joined := netip.MustParseAddrPort("10.0.0.9:7000")
	n := newNode(c, reply(5, "s"))
	b, err := fleetwire.Append(nil, &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_HINT, Origin: fleetwire.Address(joined), Opened: 9, Revision: 5,
		Caller: fleetwire.Address(caller), Address: fleetwire.Address(model.Address),
	}, nil)
	c.Assert(err, qt.IsNil)
	n.agent.Frame(b)
	n.data(mangokeel.Packet{Sequence: 10, Acknowledged: 77, Size: 5})
	c.Assert(n.frames, qt.HasLen, 1)
	c.Assert(n.frames[0], qt.Equals, joined)
	// An agent that control does not tell of for longer has left.
	n.now = n.now.Add(time.Second)
	n.view.Apply(reply(5, "s"), n.now)
	n.data(mangokeel.Packet{Sequence: 10, Acknowledged: 77, Size: 5})
	c.Assert(n.frames[len(n.frames)-1], qt.Equals, other, qt.Commentf("a place is asked"))
}
