package packet

import (
	"net/netip"
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
	// viewLag is how much older a node's view may be than another's: a poll is held for 0.5 s, and
	// its answer waits for further changes.
	viewLag = 550 * time.Millisecond
	// lostLife is how long the result of a search is remembered.
	lostLife = time.Second
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
	// Period is the time between the target's reports; 0 if it is not known.
	Period time.Duration
}

// entry is what an agent knows of a flow.
type entry struct {
	// owner is the agent whose target has the flow; the zero value for this one.
	owner netip.AddrPort
	// opened is the sequence number of the opening packet.
	opened uint32
	seen   time.Time
	// passed is when this agent passed the opening packet on, and named when it last heard who
	// holds the flow.
	passed, named time.Time
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
	// established is set once the caller has gone on with a flow that the target accepted.
	established bool
	// told are the places that heard of the flow, toldRoster the roster that they were chosen
	// by, and toldAt when all of them were last told.
	told            []place
	toldRoster      uint64
	toldEstablished bool
	toldAt          time.Time
}

func (e *entry) local() bool { return !e.owner.IsValid() }

// accepted reports whether the target has answered the opening packet.
func (e *entry) accepted() bool { return !e.acceptedAt.IsZero() }

// open reports whether the target holds the flow, as far as is known.
func (e *entry) open() bool { return e.accepted() && !e.closed }

// offer is a packet of an unknown flow that the own target was given, and may return.
type offer struct {
	// frame is how the packet came from another agent's search, or nil for an own one.
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
	offers   map[mangokeel.Flow]offer
	searches map[mangokeel.Flow]*search
	lost     map[mangokeel.Flow]lost
	roll     roll
	// started is when the agent was, and completeAt when its view was first complete.
	started, completeAt time.Time
	// aware is set once the agent knows all flows of its target. fresh is set if it has known
	// them since it started, so that the target did not outlive an earlier agent.
	aware, fresh bool
	gate         admission
	service      targetStats
	queue        queue
	loads        map[netip.AddrPort]*loadEstimate
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
	a := &Agent{
		node: newNode(codec, view, link, opts), cfg: cfg, self: fleetwire.Address(cfg.Address),
		flows: map[mangokeel.Flow]*entry{}, offers: map[mangokeel.Flow]offer{}, searches: map[mangokeel.Flow]*search{},
		lost: map[mangokeel.Flow]lost{}, loads: map[netip.AddrPort]*loadEstimate{},
	}
	a.started, a.stall.suspended = a.now(), a.suspended
	return a
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
		a.refresh()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	late, stale := a.stall.observe(a.now())
	a.sendCalls(a.now())
	a.recordSenderLoad(x)
	if a.message(s, x) {
		return
	}
	p, err := a.codec.Parse(rest)
	if err != nil || p.Returned {
		a.events.count(Malformed)
		return
	}
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
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

// message handles a frame without a packet, and reports whether it is one.
func (a *Agent) message(s *fleet.State, x *fleetwire.Frame) bool {
	switch x.GetKind() {
	case fleetwire.Kind_KIND_HINT:
		a.hint(s, x)
	case fleetwire.Kind_KIND_ASK:
		a.ask(s, x)
	case fleetwire.Kind_KIND_UNKNOWN:
		a.unknowing(s, x)
	case fleetwire.Kind_KIND_CALL:
		a.called(s, x)
	case fleetwire.Kind_KIND_HOLD:
		a.hold(x)
	default:
		return false
	}
	return true
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
		if !e.local() && a.there(s, e) && !contains(x.GetPassed(), e.owner) && !a.ignored(e, p) {
			x.Passed = append(x.Passed, a.self)
			a.forward(e.owner, x, raw)
			return
		}
	}
	if e := a.flows[f]; e != nil {
		a.forget(f, e) // the caller uses the port again
	}
	delete(a.lost, f)
	delete(a.searches, f)
	a.placeFlow(s, x, f, p, raw)
}

// ignored reports whether the agent that a flow was passed to has answered nothing since, and the
// caller has sent a copy meanwhile. That agent then counts as silent.
func (a *Agent) ignored(e *entry, p mangokeel.Packet) bool {
	l := a.loads[e.owner]
	if p.Copy == 0 || e.passed.IsZero() || l == nil || l.unanswered == 0 || l.unansweredSince.After(e.passed) {
		return false
	}
	l.recordIgnored(a.now())
	return true
}

// deliver gives a packet to the target.
func (a *Agent) deliver(raw []byte) {
	a.events.count(Delivered)
	a.link.SendToTarget(raw)
}

// accept gives an opening packet to the target.
func (a *Agent) accept(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	e := &entry{opened: p.Sequence, seen: now, frame: x}
	a.flows[f] = e
	a.setBusy(e, true)
	a.gate.recordOpen(now)
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
		Kind: fleetwire.Kind_KIND_HINT, Origin: a.self, Opened: e.opened, Established: e.established, Load: a.load(),
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
	a.link.SendFrame(to, out)
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
	e.established = e.established || e.accepted()
	a.asked(e, f, p, raw)
	a.deliver(raw)
	if len(x.GetPassed()) > 0 {
		a.tell(e, x, f)
	}
}

// toOwner passes a packet to the agent that this directory placed its flow at.
func (a *Agent) toOwner(s *fleet.State, e *entry, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if !a.there(s, e) || contains(x.GetPassed(), e.owner) {
		a.forget(f, e)
		a.unknown(s, x, f, p, raw)
		return
	}
	x.Passed = append(x.Passed, a.self)
	a.forward(e.owner, x, raw)
}

// there reports whether the agent that holds a flow has not left. One that has just joined may hold
// it before this agent's view has it.
func (a *Agent) there(s *fleet.State, e *entry) bool {
	return s.Agents[e.owner] != nil || a.now().Sub(e.named) < viewLag
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
		a.givenUp(e, f)
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

// givenUp notes that the caller ends a flow. A request that its target cannot have answered yet says
// nothing of the target.
func (a *Agent) givenUp(e *entry, f mangokeel.Flow) {
	expected := time.Duration(float64(a.service.serviceTime()) * max(1, e.ahead))
	if a.now().Sub(e.asked) < abandonedFailureFactor*expected {
		e.awaiting = false
	}
	a.unanswered(e, f, "given up by the caller")
}

// began takes over what the beginning of an answer says.
func (a *Agent) began(e *entry, f mangokeel.Flow, p mangokeel.Packet) {
	if p.Failed {
		a.failed(e, f, "failed answer")
		return
	}
	e.awaiting = false
	a.service.recordOutcome(a.now(), false)
}

// failed notes a request that the target did not serve.
func (a *Agent) failed(e *entry, f mangokeel.Flow, reason string) {
	now := a.now()
	e.awaiting = false
	a.service.recordOutcome(now, true)
	a.events.decide(Failed, f, "reason", reason, "after", now.Sub(e.asked), "ahead", e.ahead, "failing", a.service.failureAverage)
}

// hint notes who has a flow that this agent placed or asks for.
func (a *Agent) hint(s *fleet.State, x *fleetwire.Frame) {
	owner := fleetwire.ParseAddress(x.GetOrigin())
	f := flowOf(x)
	if !owner.IsValid() || !f.Caller.IsValid() {
		a.events.count(Malformed)
		return
	}
	if a.namedInVain(s, x, f, owner) {
		return
	}
	if owner == a.cfg.Address {
		return // it has ended here meanwhile
	}
	a.owned(f, owner, x.GetOpened(), x.GetEstablished())
	a.found(s, f)
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
	a.stall.observe(a.now())
	a.gate.recordResponse(a.now())
	if p.Returned {
		a.returned(p, raw)
		return
	}
	f := mangokeel.Flow{Caller: p.Destination, Address: p.Source}
	a.answered(f, p)
	a.events.count(Answered)
	a.link.SendToCaller(f.Caller.Addr(), raw)
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
		e = &entry{acceptedAt: now, established: true}
		a.flows[f] = e
		a.open++
		if x, ok := a.offers[f]; ok && x.frame != nil {
			a.tell(e, x.frame, f)
		}
		delete(a.offers, f)
		a.found(a.view.State(), f)
	}
	e.seen = now
	if p.Accepting && !e.accepted() {
		e.acceptedAt, e.frame = now, nil
		a.open++
		a.tellFirst(f, e)
	}
	begins := p.Sequence == e.acknowledged
	if p.Size > 0 {
		if e.requested { // the end of the answer may have overtaken its data
			a.events.answers.Observe(now.Sub(e.asked).Seconds())
			if !p.Failed { // how fast a target fails says nothing of its work
				a.service.recordServiceTime(now.Sub(e.asked), e.ahead)
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
		a.gate.recordRefusal(a.now())
		a.placeElsewhere(s, x, f, p, raw)
		return
	}
	if x, ok := a.offers[f]; ok {
		a.declined(s, f, x)
		return
	}
	if e != nil && e.local() {
		wasOpen := e.open()
		a.forget(f, e)
		if wasOpen {
			a.gate.recordUnknownFlow(a.now())
		}
	}
	x := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_DATA, Revision: s.Revision, Zone: string(a.cfg.Zone), Passed: [][]byte{a.self}}
	if a.searches[f] == nil {
		a.search(s, x, f, p, raw, false)
	}
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
		a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(mangokeel.Packet{Source: f.Caller, Destination: f.Address, Acknowledged: e.acknowledged}))
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
	s := a.view.State()
	idle := s.Idle
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
	a.aware = a.aware || now.Sub(a.started) > idle+idleSlack
	a.observeView(s, now)
	a.tellPlaces(s, now)
	a.expireSearches(s, now)
	a.sendCalls(now)
	if len(a.ends) > 0 && !now.Before(a.endAt) {
		a.endFlows("target ended")
	}
}
