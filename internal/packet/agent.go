package packet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

// Limits of an agent.
const (
	// idleDefault is how long a flow may be idle when the configuration does not say.
	idleDefault = 15 * time.Second
	// idleSlack is added to the time after which an idle flow is forgotten.
	idleSlack = 5 * time.Second
	// closedLife is how long a closed flow is remembered, so that the last packets of
	// its caller find their target: eight retransmissions take 10 s.
	closedLife = 10 * time.Second
	// busyLife is how long a flow counts as work without an answer: the longest time that
	// callers wait for small answers.
	busyLife = 2500 * time.Millisecond
	// requestDelay is how long an accepted flow counts as work without a request: the
	// caller sends it with its first packet, and the farthest round trip is 20 ms.
	requestDelay = 150 * time.Millisecond
	// passLimit is how many agents may pass an opening packet on before the caller gets
	// a refusal.
	passLimit = 4
	// hintPeriod separates hints about one flow: callers retransmit after 200 ms.
	hintPeriod = 150 * time.Millisecond
	// lostLife is how long a flow that no agent knows is not looked for again.
	lostLife = time.Second
	// walkLimit bounds the agents that a walk asks, so that frames stay below MaxHeader.
	walkLimit = 96
	// endGrace is the time between a target's last word and the resets of its flows.
	endGrace = 300 * time.Millisecond
)

// AgentConfig says who an agent is.
type AgentConfig struct {
	// Address is where frames for this agent go.
	Address netip.AddrPort
	Zone    mangokeel.AvailabilityZone
	// Service is what the settings say of the target. The target's own word counts.
	Service string
	// Start tells incarnations of the agent apart.
	Start uint64
}

// entry is what an agent knows of a flow.
type entry struct {
	// owner is the agent whose target has the flow; the zero value for this one.
	owner netip.AddrPort
	// opened is the sequence number of the opening packet.
	opened uint32
	seen   time.Time
	// acceptedAt is when the target answered the opening packet; the zero value until then.
	acceptedAt time.Time
	// busy is set while the caller awaits an answer, since asked.
	busy  bool
	asked time.Time
	// ahead is the target's work for each slot when the request came, this one included.
	ahead float64
	// requested is set once the caller has sent data; sent is the highest number that its
	// data had, and valid once anySent is set.
	requested bool
	sent      uint32
	anySent   bool
	// awaiting is set from a request until the beginning of its answer. Packets may arrive
	// in another order than they were sent, so that others may come first.
	awaiting bool
	// closed is set after the last packet of the target.
	closed bool
	// acknowledged is the caller's last acknowledgement, for a reset.
	acknowledged uint32
	// hinted is when a balancer was last told of the flow.
	hinted time.Time
	// frame is how the opening packet came, until the target has accepted the flow.
	frame *fleetwire.Frame
}

func (e *entry) local() bool { return !e.owner.IsValid() }

// accepted reports whether the target has answered the opening packet.
func (e *entry) accepted() bool { return !e.acceptedAt.IsZero() }

// open reports whether the target holds the flow, as far as is known.
func (e *entry) open() bool { return e.accepted() && !e.closed }

// offer is a walk that waits for the target's word.
type offer struct {
	frame *fleetwire.Frame
	at    time.Time
}

// Agent gives packets to one target and sends its packets to callers. It is safe for
// concurrent use.
type Agent struct {
	node
	cfg  AgentConfig
	self []byte

	mu    sync.Mutex
	stall stall
	flows map[mangokeel.Flow]*entry
	// offers are packets of unknown flows that the target was asked about.
	offers  map[mangokeel.Flow]offer
	lost    map[mangokeel.Flow]time.Time
	gate    gate
	service service
	queue   queue
	loads   map[netip.AddrPort]*estimate
	// busy and open count the local entries that are busy, and those that are accepted
	// and not closed.
	busy, open int
	// ends are the flows of a target that has ended, which are reset at endAt.
	ends   []mangokeel.Flow
	endAt  time.Time
	buf    []byte
	order  []*fleet.Target
	serial uint64
	// said is the last announcement.
	said *fleetwire.Announcement
}

// NewAgent returns an agent that decides by a view.
func NewAgent(cfg AgentConfig, codec mangokeel.Codec, view *fleet.View, link Link, opts ...Option) *Agent {
	return &Agent{
		node: newNode(codec, view, link, opts), cfg: cfg, self: fleetwire.Address(cfg.Address),
		flows: map[mangokeel.Flow]*entry{}, offers: map[mangokeel.Flow]offer{},
		lost: map[mangokeel.Flow]time.Time{}, loads: map[netip.AddrPort]*estimate{},
	}
}

// Frame takes a frame from a balancer or another agent.
func (a *Agent) Frame(raw []byte) {
	x := &fleetwire.Frame{}
	rest, err := fleetwire.Split(raw, x)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	s := a.view.State()
	if x.GetRevision() > s.Revision {
		a.newer()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(x)
	if x.GetKind() == fleetwire.Kind_KIND_HINT {
		a.hint(x)
		return
	}
	p, err := a.codec.Parse(rest)
	if err != nil || p.Returned {
		a.events.count(Malformed)
		return
	}
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	late, stale := a.stall.observe(a.now())
	switch x.GetKind() {
	case fleetwire.Kind_KIND_OPEN:
		if stale {
			a.events.decide(Dropped, f, "reason", "the process did not run", "copy", p.Copy)
			return
		}
		x.Late = x.GetLate() || late
		a.opening(s, x, f, p, rest)
	case fleetwire.Kind_KIND_DATA:
		a.data(s, x, f, p, rest)
	default:
		a.events.count(Malformed)
	}
}

// opening handles the opening packet of a flow.
func (a *Agent) opening(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	if e := a.flows[f]; e != nil && e.opened == p.Sequence {
		e.seen = now
		if e.local() && !e.closed {
			a.deliver(raw)
			return
		}
		if !e.local() && s.Agents[e.owner] != nil && !contains(x.GetPassed(), e.owner) {
			x.Passed = append(x.Passed, a.self)
			a.forward(e.owner, x, raw)
			return
		}
	}
	if e := a.flows[f]; e != nil {
		a.forget(f, e) // the caller uses the port again
	}
	delete(a.lost, f)
	a.place(s, x, f, p, raw)
}

// deliver gives a packet to the target.
func (a *Agent) deliver(raw []byte) {
	a.events.count(Delivered)
	a.link.Target(raw)
}

// accept gives an opening packet to the target.
func (a *Agent) accept(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	e := &entry{opened: p.Sequence, seen: now, frame: x}
	a.flows[f] = e
	a.setBusy(e, true)
	a.gate.opened(now)
	a.events.decide(Opened, f, "busy", a.busy, "slots", a.gate.slots, "hops", len(x.GetPassed()), "waited", x.GetWaited(),
		"revision", x.GetRevision())
	a.deliver(raw)
	if len(x.GetPassed()) > 0 {
		a.tell(e, x, f)
	}
}

// tell lets the balancer and the directory know that this agent has a flow.
func (a *Agent) tell(e *entry, x *fleetwire.Frame, f mangokeel.Flow) {
	now := a.now()
	if now.Sub(e.hinted) < hintPeriod {
		return
	}
	e.hinted = now
	h := &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_HINT, Origin: a.self, Opened: e.opened, Load: a.load(),
		Revision: a.view.State().Revision, Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address),
	}
	a.send(fleetwire.ParseAddress(x.GetOrigin()), h, nil)
	if passed := x.GetPassed(); len(passed) > 0 {
		a.send(fleetwire.ParseAddress(passed[0]), h, nil)
	}
}

// forward sends a frame on to another agent.
func (a *Agent) forward(to netip.AddrPort, x *fleetwire.Frame, raw []byte) {
	x.Load = a.load()
	a.events.count(Forwarded)
	a.send(to, x, raw)
}

func (a *Agent) send(to netip.AddrPort, x *fleetwire.Frame, raw []byte) {
	if !to.IsValid() {
		return
	}
	out, err := fleetwire.Append(a.buf[:0], x, raw)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	a.buf = out
	a.link.Frame(to, out)
}

// data handles a packet of a flow that was opened before.
func (a *Agent) data(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	e := a.flows[f]
	if e == nil {
		a.unknown(s, x, f, p, raw)
		return
	}
	e.seen = now
	if !e.local() {
		a.toOwner(s, e, x, f, p, raw)
		return
	}
	a.asked(e, f, p, raw)
	a.deliver(raw)
	if len(x.GetPassed()) > 0 {
		a.tell(e, x, f)
	}
}

// toOwner passes a packet to the agent that this directory placed its flow at.
func (a *Agent) toOwner(s *fleet.State, e *entry, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if s.Agents[e.owner] == nil || contains(x.GetPassed(), e.owner) {
		a.forget(f, e)
		a.unknown(s, x, f, p, raw)
		return
	}
	x.Passed = append(x.Passed, a.self)
	a.forward(e.owner, x, raw)
}

func contains(passed [][]byte, agent netip.AddrPort) bool {
	for _, b := range passed {
		if fleetwire.ParseAddress(b) == agent {
			return true
		}
	}
	return false
}

// asked notes what the caller sent.
func (a *Agent) asked(e *entry, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	e.acknowledged = p.Acknowledged
	if p.Size > 0 && !e.closed && e.news(p) {
		if !e.busy || !e.requested {
			a.events.decide(Asked, f, "request", lazyRequest{a.codec, raw}, "busy", a.busy, "slots", a.gate.slots)
		}
		e.requested, e.awaiting = true, true
		a.setBusy(e, true)
	}
	if p.Reset || p.Final {
		a.unanswered(e, f, "given up by the caller")
		a.setBusy(e, false)
		a.setClosed(e)
	}
}

// news reports whether data of the caller belongs to a request that is not answered yet, and
// is no repetition of an earlier one.
func (e *entry) news(p mangokeel.Packet) bool {
	newer := !e.anySent || int32(p.Sequence-e.sent) > 0
	if newer {
		e.sent, e.anySent = p.Sequence, true
	}
	return newer || e.requested
}

// unanswered notes that a request of a flow ends without an answer, if one is under way.
func (a *Agent) unanswered(e *entry, f mangokeel.Flow, reason string) {
	if e.awaiting {
		a.failed(e, f, reason)
	}
}

// began takes over what the beginning of an answer says.
func (a *Agent) began(e *entry, f mangokeel.Flow, p mangokeel.Packet) {
	if p.Failed {
		a.failed(e, f, "failed answer")
		return
	}
	e.awaiting = false
	a.service.outcome(a.now(), false)
}

// failed notes a request that the target did not serve.
func (a *Agent) failed(e *entry, f mangokeel.Flow, reason string) {
	now := a.now()
	e.awaiting = false
	a.service.outcome(now, true)
	a.events.decide(Failed, f, "reason", reason, "after", now.Sub(e.asked), "ahead", e.ahead, "failing", a.service.failing)
}

// unknown looks for the owner of a flow: first at the own target, then at the agents that
// have not been asked.
func (a *Agent) unknown(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	if t, ok := a.lost[f]; ok && now.Sub(t) < lostLife {
		a.events.count(Dropped)
		return
	}
	route := s.Routes[f.Address]
	if !x.GetWalk() {
		x.Walk = true
		a.walk(s, route, x, f)
	}
	a.events.decide(Walked, f, "request", lazyRequest{a.codec, raw}, "known", a.gate.known, "left", len(x.GetNext()), "sure", x.GetSure())
	if a.mayHold(route) {
		a.offers[f] = offer{x, now}
		a.deliver(raw)
		return
	}
	a.walkOn(x, f, p, raw)
}

// mayHold reports whether the own target can have flows of a route. Before the target's
// first report, the settings say which service it has.
func (a *Agent) mayHold(route *fleet.Route) bool {
	own := a.cfg.Service
	if a.gate.known {
		own = a.gate.service
	}
	return route == nil || route.Allows(own) || slices.Contains(route.Former, own)
}

// walk lists in a frame the other agents that may have a flow, the likeliest first.
func (a *Agent) walk(s *fleet.State, route *fleet.Route, x *fleetwire.Frame, f mangokeel.Flow) {
	x.Next, x.Sure = nil, false
	if route == nil {
		return
	}
	x.Sure = s.Complete && s.Settled(a.now())
	h := hashOf(f)
	first := route.Choose(h)
	services := []string{first}
	for _, share := range route.Shares {
		if share.Service != first {
			services = append(services, share.Service)
		}
	}
	for _, service := range route.Former {
		if !route.Allows(service) {
			services = append(services, service)
		}
	}
	var list [][]byte
	for _, service := range services {
		a.order = s.Order(a.order[:0], service, mangokeel.AvailabilityZone(x.GetZone()), h)
		for _, t := range a.order {
			switch {
			case t.Agent == a.cfg.Address || contains(x.GetPassed(), t.Agent):
			case len(list) == walkLimit:
				x.Sure = false
			default:
				list = append(list, fleetwire.Address(t.Agent))
			}
		}
	}
	x.Next = list
}

// walkOn passes a packet of an unknown flow to the next agent.
func (a *Agent) walkOn(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if len(x.GetNext()) == 0 {
		a.lose(x, f, p, raw)
		return
	}
	to := fleetwire.ParseAddress(x.GetNext()[0])
	x.Next = x.GetNext()[1:]
	if len(x.GetPassed()) == 0 {
		x.Passed = append(x.Passed, a.self) // the directory learns who answers
	}
	a.forward(to, x, raw)
}

// lose gives up a flow that no agent holds. If all were asked, its target has ended, and a
// reset frees the caller.
func (a *Agent) lose(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now, s := a.now(), a.view.State()
	a.lost[f] = now
	if p.Reset {
		a.events.count(Dropped)
		return
	}
	why := []any{
		"reason", "no agent holds the flow", "sure", x.GetSure(), "complete", s.Complete, "revision", s.Revision,
		"bytes", p.Size, "request",
		lazyRequest{a.codec, raw},
	}
	if !x.GetSure() || !s.Complete || !s.Settled(now) {
		a.events.decide(Lost, f, why...)
		return
	}
	a.events.decide(Ended, f, why...)
	a.link.Caller(f.Caller.Addr(), a.codec.Reset(p))
}

// hint notes who has a flow that this agent placed or was asked for.
func (a *Agent) hint(x *fleetwire.Frame) {
	owner := fleetwire.ParseAddress(x.GetOrigin())
	f := flowOf(x)
	if !owner.IsValid() || owner == a.cfg.Address || !f.Caller.IsValid() {
		a.events.count(Malformed)
		return
	}
	now := a.now()
	if e := a.flows[f]; e != nil {
		if e.local() {
			a.forget(f, e)
		} else {
			e.owner, e.opened, e.seen = owner, x.GetOpened(), now
			return
		}
	}
	a.flows[f] = &entry{owner: owner, opened: x.GetOpened(), seen: now}
}

// Target takes a packet that the target sent.
func (a *Agent) Target(raw []byte) {
	p, err := a.codec.Parse(raw)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.spoke(a.now())
	if p.Returned {
		a.returned(p, raw)
		return
	}
	f := mangokeel.Flow{Caller: p.Destination, Address: p.Source}
	a.answered(f, p)
	a.events.count(Answered)
	a.link.Caller(f.Caller.Addr(), raw)
	a.advance()
}

// answered notes what the target sent.
func (a *Agent) answered(f mangokeel.Flow, p mangokeel.Packet) {
	now := a.now()
	e := a.flows[f]
	if e == nil || !e.local() {
		if p.Reset {
			return
		}
		// The agent started after the flow, or it took the flow for another's.
		e = &entry{acceptedAt: now}
		a.flows[f] = e
		a.open++
		if x, ok := a.offers[f]; ok {
			delete(a.offers, f)
			a.tell(e, x.frame, f)
		}
	}
	e.seen = now
	if p.Accepting && !e.accepted() {
		e.acceptedAt, e.frame = now, nil
		a.open++
	}
	begins := p.Sequence == e.acknowledged
	if p.Size > 0 {
		if e.busy && e.requested {
			a.events.answers.Observe(now.Sub(e.asked).Seconds())
			if !p.Failed { // how fast a target fails says nothing of its work
				a.service.observe(now.Sub(e.asked), e.ahead)
			}
		}
		if e.awaiting && begins {
			a.began(e, f, p)
		}
		a.setBusy(e, false)
		e.requested = false
	}
	if p.Reset || p.Final && begins {
		a.unanswered(e, f, "ended by the target")
	}
	if p.Final || p.Reset {
		a.setBusy(e, false)
		a.setClosed(e)
	}
}

// returned handles a packet that the target did not take.
func (a *Agent) returned(p mangokeel.Packet, raw []byte) {
	a.events.count(Returned)
	a.codec.Clean(raw)
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	s := a.view.State()
	e := a.flows[f]
	if p.Opening {
		if e == nil || !e.local() || e.frame == nil {
			return
		}
		x := e.frame
		a.forget(f, e)
		a.gate.refused(a.now())
		a.pass(s, x, f, p, raw)
		return
	}
	if x, ok := a.offers[f]; ok {
		delete(a.offers, f)
		a.walkOn(x.frame, f, p, raw)
		return
	}
	if e != nil && e.local() {
		wasOpen := e.open()
		a.forget(f, e)
		if wasOpen {
			a.gate.forgot(a.now())
		}
	}
	x := &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_DATA, Revision: s.Revision, Zone: string(a.cfg.Zone),
		Passed: [][]byte{a.self}, Walk: true,
	}
	a.walk(s, s.Routes[f.Address], x, f)
	a.walkOn(x, f, p, raw)
}

func (a *Agent) setBusy(e *entry, busy bool) {
	if e.busy != busy {
		if busy {
			a.busy++
		} else {
			a.busy--
		}
	}
	e.busy = busy
	if busy {
		e.asked = a.now()
		e.ahead = float64(a.busy) / float64(max(1, a.gate.slots))
	}
}

func (a *Agent) setClosed(e *entry) {
	if e.open() {
		a.open--
	}
	e.closed = true
}

// forget drops an entry.
func (a *Agent) forget(f mangokeel.Flow, e *entry) {
	if e.local() {
		a.setBusy(e, false)
		a.setClosed(e)
	}
	delete(a.flows, f)
}

// endFlows resets the flows whose target has ended.
func (a *Agent) endFlows(reason string) {
	for _, f := range a.ends {
		a.end(f, reason)
	}
	a.ends = nil
}

// end resets a flow whose target has ended.
func (a *Agent) end(f mangokeel.Flow, reason string) {
	e := a.flows[f]
	if e == nil || !e.local() {
		return
	}
	if e.open() {
		a.events.decide(Ended, f, "reason", reason)
		a.link.Caller(f.Caller.Addr(), a.codec.Reset(mangokeel.Packet{Source: f.Caller, Destination: f.Address, Acknowledged: e.acknowledged}))
	}
	a.forget(f, e)
}

// Sweep drops what has expired. It is called several times a second.
func (a *Agent) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.stall.observe(now)
	a.advance()
	a.expireQueue(now)
	idle := a.view.State().Idle
	if idle == 0 {
		idle = idleDefault
	}
	for f, e := range a.flows {
		if since := now.Sub(e.asked); e.busy && (since > busyLife || !e.requested && since > requestDelay) {
			a.unanswered(e, f, "no answer")
			a.setBusy(e, false)
		}
		life := idle + idleSlack
		if e.closed {
			life = closedLife
		}
		if now.Sub(e.seen) > life {
			a.forget(f, e)
		}
	}
	for f, x := range a.offers {
		if now.Sub(x.at) > lostLife {
			delete(a.offers, f)
		}
	}
	for f, t := range a.lost {
		if now.Sub(t) > lostLife {
			delete(a.lost, f)
		}
	}
	if len(a.ends) > 0 && !now.Before(a.endAt) {
		a.endFlows("target ended")
	}
}
