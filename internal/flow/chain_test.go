package flow_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mangokeel"
	"mangokeel/internal/cid"
	"mangokeel/internal/fabric"
	"mangokeel/internal/flow"
	"mangokeel/internal/roster"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

const (
	spanPath  = "/sieste/services/dispatch"
	spanID    = mangokeel.ServiceID(1)
	spanHosts = 6
	// traceLen is the number of steps that a failure prints.
	traceLen = 400
)

// span is a whole system over virtual message passing: the roster's state
// machine, balancers and agents whose views lag by any number of changes, and
// packets and releases that are lost, duplicated and delivered in any order.
type span struct {
	// draw returns a number from 0 to n-1.
	draw func(n int) int
	fail func(format string, args ...any)

	machine  *roster.Machine
	protocol wire.Protocol
	// states has the view after each accepted command.
	states    []*view.State
	balancers []*spanBalancer
	// sent is called for each packet that a caller sends, or nil.
	sent func(c *spanCaller, balancer int, s *view.State)
	// agents has every agent that ever joined.
	agents  map[mangokeel.Handle]*spanAgent
	callers []*spanCaller
	// flight has encoded packets, releases those on their way to control.
	flight   []spanMessage
	releases []*wire.Release
	counts   spanCounts
	// trace has the steps so far, for the report of a failure.
	trace []string
}

// spanCounts say whether the runs met what they are meant to meet.
type spanCounts struct {
	changes, creates, delivers, resets, drops, hops, lagged int
	longest                                                 int
}

type spanBalancer struct {
	at       int // index into states
	decision *fabric.Decision
}

type spanAgent struct {
	host  int
	start []byte // incarnation
	table *flow.Table
	at    int // index into states, -1 before the first
	dead  bool
}

type spanMessage struct {
	to      mangokeel.Handle
	content []byte
}

// spanCaller is a caller with one flow at a time.
type spanCaller struct {
	address netip.AddrPort
	// holders are the agents that opened a flow for the caller and have not
	// ended it.
	holders map[mangokeel.Handle]bool
	// id is the connection ID that the caller learned, or nil.
	id []byte
	// established is the target that first answered, or the one whose connection ID
	// the caller learned.
	established mangokeel.Handle
	// flow counts the caller's flows.
	flow int
}

func newSpan(protocol string, balancers, callers int, draw func(int) int, fail func(string, ...any)) *span {
	w := &span{draw: draw, machine: roster.New(), agents: map[mangokeel.Handle]*spanAgent{}}
	w.fail = func(format string, args ...any) {
		last := w.trace[max(0, len(w.trace)-traceLen):]
		fail("%s\n%s", fmt.Sprintf(format, args...), strings.Join(last, "\n"))
	}
	w.set(spanPath, "address: 127.0.0.1:8443\nprotocol: "+protocol+"\nzones: [plaisance, ebene]\n")
	w.protocol = w.service().GetProtocol()
	for host := range spanHosts - 1 {
		w.join(host)
	}
	for range balancers {
		w.balancers = append(w.balancers, &spanBalancer{at: len(w.states) - 1, decision: fabric.NewDecision()})
	}
	for i := range callers {
		a := netip.AddrFrom4([4]byte{198, 51, 100, byte(i)})
		w.callers = append(w.callers, &spanCaller{address: netip.AddrPortFrom(a, uint16(2000+w.draw(50000))), holders: map[mangokeel.Handle]bool{}})
	}
	return w
}

func (w *span) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *span) latest() *view.State    { return w.states[len(w.states)-1] }
func (w *span) service() *view.Service { return w.latest().Service(spanID) }

// apply runs a command and records the state after it.
func (w *span) apply(c *wire.Command) *wire.Result {
	r := w.machine.Revision() + 1
	c.Seed = fmt.Appendf(nil, "seed %d", r)
	b, err := proto.Marshal(c)
	if err != nil {
		w.fail("encode command: %v", err)
	}
	var result wire.Result
	if err := proto.Unmarshal(w.machine.Apply(r, b), &result); err != nil {
		w.fail("decode result: %v", err)
	}
	var v view.View
	v.Apply(proto.Clone(w.machine.Update(0, wire.Role_ROLE_BALANCER, 0)).(*wire.Update))
	w.states = append(w.states, v.State())
	w.note("state %d: %.120s", len(w.states)-1, fmt.Sprint(c))
	return &result
}

func (w *span) set(path, value string) {
	_, base := w.machine.Get("/sieste")
	c := &wire.Change{Id: fmt.Sprint(w.machine.Revision()), Team: "sieste", Base: base, Items: []*wire.Item{{Path: path, Value: value}}}
	if o := w.apply(&wire.Command{Body: &wire.Command_Change{Change: c}}).GetOutcome(); o.GetCode() != wire.Code_CODE_ACCEPTED {
		w.fail("change of %s: %v", path, o)
	}
	w.counts.changes++
}

// join registers a target on a host. The one that was there before is dropped.
func (w *span) join(host int) {
	for _, a := range w.agents {
		a.dead = a.dead || a.host == host
	}
	start := fmt.Append(nil, w.machine.Revision())
	h := mangokeel.Handle(w.apply(&wire.Command{Body: &wire.Command_Join{Join: &wire.JoinRequest{
		Role: wire.Role_ROLE_AGENT, Incarnation: start, Zone: []string{"plaisance", "ebene"}[host%2],
		Service: spanPath, Host: fmt.Sprint("host-", host), Agent: agentOf(mangokeel.Handle(host)).String(), Target: fmt.Sprintf("127.0.0.1:%d", 2000+host),
	}}}).GetJoin().GetId())
	w.agents[h] = &spanAgent{host: host, start: start, at: -1, table: flow.New(flow.Config{Service: spanID, Handle: h, Protocol: w.protocol})}
	w.counts.changes++
}

// live returns the handles of running agents in order.
func (w *span) live() []mangokeel.Handle {
	var out []mangokeel.Handle
	for h, a := range w.agents {
		if !a.dead {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

// pick returns a running agent, or 0.
func (w *span) pick() mangokeel.Handle {
	live := w.live()
	if len(live) == 0 {
		return 0
	}
	return live[w.draw(len(live))]
}

// healthy reports whether a flow at h must survive: h runs, is in the roster, and
// its availability zone is in service.
func (w *span) healthy(h mangokeel.Handle) bool {
	a, t := w.agents[h], w.service().Targets[h]
	return a != nil && !a.dead && t != nil && t.Open
}

// send gives one packet of a caller to a balancer.
func (w *span) send(c *spanCaller, b *spanBalancer) {
	s := w.states[b.at]
	if w.sent != nil {
		w.sent(c, slices.Index(w.balancers, b), s)
	}
	w.counts.lagged += min(1, len(w.states)-1-b.at)
	if b.decision.Decide(s, s.Service(spanID), c.address, c.packet()) != fabric.Forward {
		w.counts.drops++
		return
	}
	w.note("%v sent to target %d under state %d, epoch %d", c.address, b.decision.Target.Handle, b.at, b.decision.Header.GetEpoch())
	w.counts.longest = max(w.counts.longest, len(b.decision.Header.GetChain()))
	w.transmit(b.decision.Target.Handle, &b.decision.Header, c.packet())
}

// packet is a QUIC packet: one that opens a connection until the caller has
// learned a connection ID.
func (c *spanCaller) packet() []byte {
	if c.id == nil {
		return []byte{0xc0, 0, 0, 0, 1, 4, 1, 2, 3, 4}
	}
	return append([]byte{0x40}, c.id...)
}

func (w *span) transmit(to mangokeel.Handle, h *wire.Header, payload []byte) {
	b, err := wire.AppendPacket(nil, h, payload)
	if err != nil {
		w.fail("encode packet: %v", err)
	}
	w.flight = append(w.flight, spanMessage{to, b})
}

// deliver hands message i to its agent.
func (w *span) deliver(i int) {
	m := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	a := w.agents[m.to]
	if a == nil || a.dead {
		return
	}
	var h wire.Header
	payload, err := wire.SplitPacket(m.content, &h)
	if err != nil {
		w.fail("decode packet: %v", err)
	}
	p := flow.FromHeader(&h)
	p.Opens = true
	if w.protocol == wire.Protocol_PROTOCOL_HTTP {
		p.Opens = payload[0]&0x80 != 0
		p.Named, _ = w.states[0].Service(spanID).Keys.Decode(spanID, cid.FromPacket(payload))
	}
	settled := a.table.Counters().Settled
	d := a.table.Receive(start, p)
	if a.table.Counters().Settled > settled {
		// The target forgets the address of a caller that uses its connection ID. A
		// late duplicate of the caller's first packet may then open a half-open
		// connection elsewhere; the caller ignores its answer.
		delete(w.callers[p.Caller.Addr().As4()[3]].holders, m.to)
	}
	w.act(m.to, a, d, p, &h, payload)
}

func (w *span) act(at mangokeel.Handle, a *spanAgent, d flow.Decision, p flow.Packet, h *wire.Header, payload []byte) {
	w.note("%v epoch %d at target %d, epoch %d: %s %s %d (%s)", p.Caller, p.Epoch, at, a.table.Epoch(), d.Action, d.Reason, d.To.Handle, p.Kind)
	c := w.callers[p.Caller.Addr().As4()[3]]
	switch d.Action {
	case flow.Forward:
		w.counts.hops++
		d.Apply(h)
		w.transmit(d.To.Handle, h, payload)
	case flow.Create:
		w.counts.creates++
		w.created(c, at)
	case flow.Deliver:
		w.counts.delivers++
		w.delivered(c, at, p)
	case flow.Reset:
		w.counts.resets++
		if p.Named != 0 && w.healthy(p.Named) {
			w.fail("agent %d resets the flow of %v at healthy target %d", at, c.address, p.Named)
		}
	case flow.Drop:
		w.counts.drops++
		switch d.Reason {
		case flow.ReasonOwner, flow.ReasonUnknown, flow.ReasonHops:
		default:
			w.fail("agent %d drops a packet of a correct node (%s): %+v", at, d.Reason, p)
		}
	}
}

// created checks that no other agent holds a flow of the caller.
func (w *span) created(c *spanCaller, at mangokeel.Handle) {
	for h := range c.holders {
		if h != at && w.healthy(h) && w.healthy(at) {
			w.fail("second owner: %v has a flow at target %d and gets one at %d, revision %d", c.address, h, at, w.latest().Revision)
		}
	}
	c.holders[at] = true
	w.learn(c, at)
}

// delivered checks that the packet reached the target of its flow.
func (w *span) delivered(c *spanCaller, at mangokeel.Handle, p flow.Packet) {
	if p.Named != 0 && p.Named != at {
		w.fail("packet that names target %d was delivered at %d", p.Named, at)
	}
	if p.Named == 0 && !c.holders[at] {
		w.fail("packet of %v was delivered at target %d, which holds no flow of it", c.address, at)
	}
	w.learn(c, at)
}

// learn is the first answer, which carries the connection ID.
func (w *span) learn(c *spanCaller, at mangokeel.Handle) {
	if c.established == 0 {
		c.established = at
	}
	if w.protocol == wire.Protocol_PROTOCOL_HTTP && c.id == nil && w.draw(2) == 0 {
		id := w.service().Keys.Encode(spanID, at, uint64(w.draw(1<<30)))
		c.id, c.established = id[:], at
	}
}

// advance moves an agent to a later state.
func (w *span) advance(h mangokeel.Handle, at int) {
	a := w.agents[h]
	a.at = at
	w.note("target %d at state %d", h, at)
	if !a.table.Update(w.states[at]) {
		return
	}
	for _, c := range w.callers {
		delete(c.holders, h)
	}
}

// end ends the flow of a caller at every agent that holds one.
func (w *span) end(c *spanCaller) {
	for h := range c.holders {
		if w.agents[h].table.Epoch() > 0 && w.agents[h].table.Remove(c.address) {
			delete(c.holders, h)
		}
	}
	w.note("%v ends", c.address)
	c.id, c.established = nil, 0
	c.flow++
}

// release lets an agent report the buckets in which it holds no flows.
func (w *span) release(h mangokeel.Handle) {
	if epoch, free := w.agents[h].table.Release(); !free.Empty() {
		w.releases = append(w.releases, &wire.Release{Handle: uint32(h), Epoch: uint64(epoch), Buckets: slices.Clone(free)})
	}
}

// change makes one change at control, planned or not.
func (w *span) change(planned bool) {
	h, host := w.pick(), w.draw(spanHosts)
	n := 8
	if planned {
		n = 5
	}
	switch w.draw(n) {
	case 0, 1:
		w.weigh(h, []uint32{0, 32, 128, 256}[w.draw(4)])
	case 2:
		w.set(fmt.Sprint("/sieste/drains/host-", host), []string{"", "", "reason: test\n"}[w.draw(3)])
	case 3:
		w.leave(h)
	case 4:
		if !w.running(host) {
			w.join(host)
		}
	case 5:
		w.join(host) // a restart when the host runs
	case 6:
		w.lose(h)
	case 7:
		w.set("/sieste/zones/"+[]string{"plaisance", "ebene"}[w.draw(2)], "state: "+[]string{"in", "in", "out"}[w.draw(3)]+"\n")
	}
}

func (w *span) running(host int) bool {
	for _, a := range w.agents {
		if !a.dead && a.host == host {
			return true
		}
	}
	return false
}

func (w *span) weigh(h mangokeel.Handle, weight uint32) {
	x := []*wire.Weight{{Handle: uint32(h), Weight: weight}}
	w.apply(&wire.Command{Body: &wire.Command_Weights{Weights: &wire.Weights{Weights: x}}})
	w.counts.changes++
}

// leave announces the departure of a target, or ends it once it holds no flow.
func (w *span) leave(h mangokeel.Handle) {
	t := w.machine.Target(h)
	if t == nil {
		return
	}
	gone := t.GetState() == wire.State_STATE_LEAVING && !w.used(h)
	w.apply(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
		Role: wire.Role_ROLE_AGENT, Id: uint32(h), Incarnation: w.agents[h].start, Gone: gone,
	}}})
	w.agents[h].dead = gone
	w.counts.changes++
}

// used reports whether a caller has a flow or a connection ID of h.
func (w *span) used(h mangokeel.Handle) bool {
	return slices.ContainsFunc(w.callers, func(c *spanCaller) bool {
		return c.holders[h] || c.established == h
	})
}

// lose kills an agent; control drops it when its lease ends.
func (w *span) lose(h mangokeel.Handle) {
	if h == 0 {
		return
	}
	w.agents[h].dead = true
	w.apply(&wire.Command{Body: &wire.Command_Expire{Expire: &wire.Expire{Handles: []uint32{uint32(h)}}}})
	w.counts.changes++
}

// step does one of the things that happen between changes. stuck is a balancer
// that learns of nothing.
func (w *span) step(planned bool, stuck *spanBalancer) {
	switch n := w.draw(38); {
	case n < 12:
		w.send(w.callers[w.draw(len(w.callers))], w.balancers[w.draw(len(w.balancers))])
	case n < 28:
		w.carry(planned)
	case n < 31:
		if b := w.balancers[w.draw(len(w.balancers))]; b != stuck {
			b.at += w.draw(len(w.states) - b.at)
		}
	case n < 34:
		if h := w.pick(); h != 0 {
			a := w.agents[h]
			if next := a.at + w.draw(len(w.states)-a.at); next >= 0 {
				w.advance(h, next)
			}
		}
	case n < 35:
		w.end(w.callers[w.draw(len(w.callers))])
	default:
		w.settle(n < 37)
	}
}

// carry delivers a packet in flight, loses it, or delivers it twice.
func (w *span) carry(planned bool) {
	if len(w.flight) == 0 {
		return
	}
	i := w.draw(len(w.flight))
	switch w.draw(10) {
	case 0:
		if !planned {
			w.flight = slices.Delete(w.flight, i, i+1)
		}
	case 1:
		w.flight = append(w.flight, w.flight[i])
		w.deliver(i)
	default:
		w.deliver(i)
	}
}

// settle makes a release or lets one arrive at control.
func (w *span) settle(report bool) {
	if h := w.pick(); report && h != 0 {
		w.release(h)
		return
	}
	if len(w.releases) == 0 {
		return
	}
	i := w.draw(len(w.releases))
	x := w.releases[i]
	w.releases = slices.Delete(w.releases, i, i+1)
	w.apply(&wire.Command{Body: &wire.Command_Release{Release: x}})
}

// converge lets every node learn everything and every packet arrive, and checks
// that all healthy flows are where they were.
func (w *span) converge() {
	w.catchUp()
	for len(w.flight) > 0 {
		w.deliver(w.draw(len(w.flight)))
	}
	for _, c := range w.callers {
		was := c.established
		if was == 0 || !w.healthy(was) || (c.id == nil && !c.holders[was]) {
			continue
		}
		for _, b := range w.balancers {
			before := w.counts
			w.send(c, b)
			for len(w.flight) > 0 {
				w.deliver(0)
			}
			if w.counts.delivers != before.delivers+1 || w.counts.creates != before.creates {
				w.fail("flow of %v at healthy target %d is not found: %+v after %+v", c.address, was, w.counts, before)
			}
		}
	}
}

func (w *span) catchUp() {
	for _, b := range w.balancers {
		b.at = len(w.states) - 1
	}
	for _, h := range w.live() {
		w.advance(h, len(w.states)-1)
	}
}

// Guards against a second owner of a flow, a packet at a target that does not own
// its flow, and a flow that is not found again, whatever the nodes know: changes
// follow each other faster than nodes learn of them, balancers and agents lag by
// any number of changes, packets and releases are lost, duplicated and reordered,
// targets restart under new handles, and members are lost from the middle of a
// chain.
func TestChainNeverHasTwoOwners(t *testing.T) {
	var total spanCounts
	begin := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		// Drawing each number with rapid would favour small ones, and so few changes.
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).IntN
		w := newSpan([]string{"udp", "http"}[draw(2)], 4, 12, draw, t.Fatalf)
		stuck := w.balancers[0]
		for range 300 {
			if draw(20) == 0 {
				w.change(false)
			}
			w.step(false, stuck)
		}
		w.converge()
		total.add(w.counts)
	})
	t.Logf("%v: %+v", time.Since(begin).Round(time.Millisecond), total)
}

func (c *spanCounts) add(x spanCounts) {
	c.changes += x.changes
	c.creates += x.creates
	c.delivers += x.delivers
	c.resets += x.resets
	c.drops += x.drops
	c.hops += x.hops
	c.lagged += x.lagged
	c.longest = max(c.longest, x.longest)
}
