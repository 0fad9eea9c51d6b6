package packet

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/overload"
)

// Limits of an agent.
const (
	// defaultIdleTimeout applies if the configuration sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutMargin is added to the idle timeout before an agent removes a flow.
	idleTimeoutMargin = 5 * time.Second
	// closedFlowLifetime is how long a closed flow is kept, so that the caller's last packets
	// still reach their target: eight retransmissions take 10 s.
	closedFlowLifetime = 10 * time.Second
	// answerTimeout is how long an unanswered request counts as work in progress: the longest time
	// that callers wait for small answers.
	answerTimeout = 2500 * time.Millisecond
	// requestTimeout is how long an accepted flow without a request counts as work in progress.
	// The caller sends the request with its first packet, and the longest round trip is 20 ms.
	requestTimeout = 150 * time.Millisecond
	// maxPasses is how many agents may pass an opening packet on before it waits or the caller is
	// refused.
	maxPasses = 2
	// maxSearchPasses is how many agents may have passed on a packet of an open flow whose owner an
	// agent still searches for. It bounds the walk between agents with different views.
	maxSearchPasses = 4
	// hintInterval is the minimum time between hints about one flow: callers retransmit after
	// 200 ms.
	hintInterval = 150 * time.Millisecond
	// maxViewLag is how far one node's view may lag behind another's: control holds a poll for
	// 0.5 s and then collects further changes before it answers.
	maxViewLag = 550 * time.Millisecond
	// searchResultLifetime is how long the result of a failed search is kept.
	searchResultLifetime = time.Second
	// endGracePeriod is the time between the notice that a target stops and the resets of its
	// flows.
	endGracePeriod = 300 * time.Millisecond
)

// AgentConfig identifies an agent and its target.
type AgentConfig struct {
	// Address is where other nodes send frames to this agent.
	Address netip.AddrPort
	Zone    mangokeel.AvailabilityZone
	// Service is the target's service, and Target the address where it takes packets. Reports that
	// name others are rejected. Empty values are not checked.
	Service string
	Target  netip.AddrPort
	// Start distinguishes incarnations of the agent.
	Start uint64
	// ReportPeriod is the time between the target's reports, or 0 if it is not known.
	ReportPeriod time.Duration
	// Overload is the policy for flows that the target cannot take at once.
	Overload overload.Policy
	// LearnCapacity makes the agent learn from the answers what its target can serve, and place long
	// flows by it.
	LearnCapacity bool
}

// flowEntry is an agent's record of a flow.
type flowEntry struct {
	// owner is the agent whose target has the flow, or the zero value if it is this agent.
	owner netip.AddrPort
	// openSequence is the sequence number of the opening packet.
	openSequence uint32
	lastSeen     time.Time
	// passedAt is when this agent passed the opening packet on. ownerNamedAt is when another agent
	// last named the owner.
	passedAt, ownerNamedAt time.Time
	// acceptedAt is when the target last answered an opening packet, or the zero value.
	acceptedAt time.Time
	// busy is set while the caller waits for an answer. requestedAt is when the wait began.
	busy        bool
	requestedAt time.Time
	// loadPerSlot is the target's work in progress for each slot when the request arrived,
	// including the request.
	loadPerSlot float64
	// inProgress is the number of the target's requests when the request arrived, including it.
	inProgress int
	// hasRequest is set once the caller has sent data that is not answered yet. highestSequence is
	// the highest sequence number of the caller's data, and valid only if hasSequence is set.
	hasRequest      bool
	highestSequence uint32
	hasSequence     bool
	// awaitingAnswer is set from a request until the first packet of its answer. Packets may be
	// reordered, so later packets of the answer may arrive while it is set.
	awaitingAnswer bool
	// closed is set once the target or the caller has ended the flow.
	closed bool
	// acknowledged is the caller's last acknowledgement number. A reset needs it.
	acknowledged uint32
	// hintedAt is when the last hint about the flow was sent.
	hintedAt time.Time
	// openFrame is the frame that carried the opening packet. It is nil once the target has
	// accepted the flow.
	openFrame *fleetwire.Frame
	// decision is the one by which the flow was opened.
	decision decision
	// established is set once the caller has sent a packet after the target accepted the flow.
	established bool
	// registrars are the agents that were informed of the flow, registeredRoster is the version of
	// the roster by which they were chosen, registeredEstablished is the value of established that
	// was sent to them, and registeredAt is when all of them were last informed.
	registrars            []registrar
	registeredRoster      uint64
	registeredEstablished bool
	registeredAt          time.Time
}

func (e *flowEntry) local() bool { return !e.owner.IsValid() }

// accepted reports whether the target has answered the opening packet.
func (e *flowEntry) accepted() bool { return !e.acceptedAt.IsZero() }

// open reports whether the target holds the flow, as far as the agent knows.
func (e *flowEntry) open() bool { return e.accepted() && !e.closed }

// offer is a packet of an unknown flow that was given to the local target, which may return it.
type offer struct {
	// frame carried the packet from an agent that searches for the owner. It is nil if this agent
	// searches.
	frame *fleetwire.Frame
	at    time.Time
	// final is set if the packet ends the caller's side of the flow.
	final bool
}

// Agent gives packets to one target and sends the target's packets to callers. It is safe for
// concurrent use.
type Agent struct {
	node
	cfg            AgentConfig
	encodedAddress []byte

	mu    sync.Mutex
	stall stallDetector
	flows map[mangokeel.Flow]*flowEntry
	// offers are the packets of unknown flows that the target was given.
	offers         map[mangokeel.Flow]offer
	searches       map[mangokeel.Flow]*search
	failedSearches map[mangokeel.Flow]failedSearch
	queries        queryBatch
	// startedAt is when the agent started, completeAt when its view first was complete.
	startedAt, completeAt time.Time
	// aware is set once the agent knows all flows of its target. fresh is set if it has known them
	// since it started, because the target had no earlier agent.
	aware, fresh bool
	admission    admission
	stats        targetStats
	learned      learnedLoad
	queue        *overload.Queue[queuedPacket]
	loads        map[netip.AddrPort]*loadEstimate
	revisions    revisions
	// busy counts the local entries that are busy, open those that are accepted and not closed.
	busy, open int
	// endingFlows are the flows of a target that has announced its stop. They are reset at
	// resetAt, or at once if the target restarts.
	endingFlows []mangokeel.Flow
	resetAt     time.Time
	frameBuf    []byte
	targetBuf   []*fleet.Target
	flowBuf     []mangokeel.Flow
	serial      uint64
	// lastAnnouncement is the last announcement to control, or nil if the next one must differ from it.
	lastAnnouncement *fleetwire.Announcement
	absence          absence
	// vacant is set once there is certainly no target. It is cleared by the target's first report.
	vacant bool
}

// NewAgent returns an agent that makes its decisions by view and sends through link.
func NewAgent(cfg AgentConfig, codec mangokeel.Codec, view *fleet.View, link Link, opts ...Option) *Agent {
	a := &Agent{
		node: newNode(codec, view, link, opts), cfg: cfg, encodedAddress: fleetwire.Address(cfg.Address),
		flows: map[mangokeel.Flow]*flowEntry{}, offers: map[mangokeel.Flow]offer{}, searches: map[mangokeel.Flow]*search{},
		failedSearches: map[mangokeel.Flow]failedSearch{}, loads: map[netip.AddrPort]*loadEstimate{},
		queue: overload.NewQueue[queuedPacket](cfg.Overload),
	}
	a.startedAt, a.stall.suspended = a.now(), a.suspended
	a.learned.enabled = cfg.LearnCapacity
	return a
}

// HandleFrame handles a frame from a balancer or another agent.
func (a *Agent) HandleFrame(raw []byte) {
	x := &fleetwire.Frame{}
	rest, err := fleetwire.Split(raw, x)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	if max(x.GetRevision(), x.GetKnown()) > a.view.State().Revision {
		a.refresh()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.view.State()
	late, stale := a.stall.observe(a.now())
	a.sendQueries(a.now())
	a.recordSenderLoad(x)
	if a.handleControlFrame(s, x) {
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
			a.events.record(Dropped, f, "reason", "the process did not run", "copy", p.Copy)
			return
		}
		x.Late = x.GetLate() || late
		a.handleOpening(s, x, f, p, rest)
	case fleetwire.Kind_KIND_DATA:
		a.handleData(s, x, f, p, rest)
	default:
		a.events.count(Malformed)
	}
}

// handleControlFrame handles a frame that carries no packet. It returns false for all other
// frames.
func (a *Agent) handleControlFrame(s *fleet.State, x *fleetwire.Frame) bool {
	switch x.GetKind() {
	case fleetwire.Kind_KIND_HINT:
		a.handleHint(s, x)
	case fleetwire.Kind_KIND_ASK:
		a.handleAsk(s, x)
	case fleetwire.Kind_KIND_UNKNOWN:
		a.handleUnknown(s, x)
	case fleetwire.Kind_KIND_CALL:
		a.handleCall(s, x)
	case fleetwire.Kind_KIND_HOLD:
		a.handleHold(x)
	default:
		return false
	}
	return true
}

// handleOpening handles the opening packet of a flow.
func (a *Agent) handleOpening(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	if e := a.flows[f]; e != nil && e.openSequence == p.Sequence {
		e.lastSeen = now
		if e.local() && !e.closed {
			a.deliver(raw)
			return
		}
		if !e.local() && a.ownerPresent(s, e) && !containsAddress(x.GetPassed(), e.owner) && !a.ownerUnresponsive(e, p) {
			x.Passed = append(x.Passed, a.encodedAddress)
			a.forward(e.owner, x, raw)
			return
		}
	}
	if e := a.flows[f]; e != nil {
		a.removeFlow(f, e) // the caller has reused the port
	}
	delete(a.failedSearches, f)
	delete(a.searches, f)
	a.placeFlow(s, x, f, p, raw)
}

// ownerUnresponsive reports whether the agent to which a flow was passed has sent nothing since,
// although the caller has sent a copy. If so, it marks that agent as unresponsive.
func (a *Agent) ownerUnresponsive(e *flowEntry, p mangokeel.Packet) bool {
	l := a.loads[e.owner]
	if p.Copy == 0 || e.passedAt.IsZero() || l == nil || l.unanswered == 0 || l.unansweredSince.After(e.passedAt) {
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

// openFlow records a new flow and gives its opening packet to the target.
func (a *Agent) openFlow(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	e := &flowEntry{openSequence: p.Sequence, lastSeen: now, openFrame: x, decision: decision{x.GetRevision(), x.GetService()}}
	a.flows[f] = e
	a.setBusy(e, true)
	a.admission.recordOpen(now)
	a.events.record(Opened, f, "busy", a.busy, "slots", a.admission.slots, "hops", len(x.GetPassed()), "waited", x.GetWaited(),
		"revision", x.GetRevision())
	a.events.countFlow(Opened.String(), a.view.State(), f.Address, mangokeel.AvailabilityZone(x.GetZone()))
	a.deliver(raw)
	if len(x.GetPassed()) > 0 || x.GetOutdated() {
		a.sendHint(e, x, f)
	}
}

// sendHint informs the balancer and the directory that this agent has a flow, and by which
// configuration it was opened. If that is newer than the balancer's, it informs all agents that passed the
// frame on. It sends at most one hint in each hintInterval.
func (a *Agent) sendHint(e *flowEntry, x *fleetwire.Frame, f mangokeel.Flow) {
	now := a.now()
	if now.Sub(e.hintedAt) < hintInterval {
		return
	}
	e.hintedAt = now
	h := &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_HINT, Origin: a.encodedAddress, Opened: e.openSequence, Established: e.established, Load: a.load(),
		Revision: a.view.State().Revision, Known: x.GetRevision(), Service: x.GetService(),
		Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address),
	}
	if d := e.decision; d.revision > x.GetRevision() {
		h.Known, h.Service = d.revision, d.service
	}
	a.send(fleetwire.ParseAddress(x.GetOrigin()), h, nil)
	for i, agent := range x.GetPassed() {
		if i == 0 || x.GetOutdated() {
			a.send(fleetwire.ParseAddress(agent), h, nil)
		}
	}
}

// forward sends a frame with this agent's load on to another agent.
func (a *Agent) forward(to netip.AddrPort, x *fleetwire.Frame, raw []byte) {
	x.Load = a.load()
	a.events.count(Forwarded)
	a.send(to, x, raw)
}

func (a *Agent) send(to netip.AddrPort, x *fleetwire.Frame, raw []byte) {
	if !to.IsValid() {
		return
	}
	out, err := fleetwire.Append(a.frameBuf[:0], x, raw)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	a.frameBuf = out
	a.link.SendFrame(to, out)
}

// handleData handles a packet of a flow that is already open.
func (a *Agent) handleData(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	now := a.now()
	e := a.flows[f]
	if e == nil {
		a.handleUnknownFlow(s, x, f, p, raw)
		return
	}
	e.lastSeen = now
	if !e.local() {
		a.forwardToOwner(s, e, x, f, p, raw)
		return
	}
	e.established = e.established || e.accepted()
	a.recordCallerPacket(e, f, p, raw)
	a.deliver(raw)
	if len(x.GetPassed()) > 0 || max(x.GetRevision(), x.GetKnown()) < e.decision.revision {
		a.sendHint(e, x, f) // an earlier one may be lost
	}
}

// forwardToOwner passes a packet to the agent that has its flow.
func (a *Agent) forwardToOwner(s *fleet.State, e *flowEntry, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if !a.ownerPresent(s, e) || containsAddress(x.GetPassed(), e.owner) {
		a.removeFlow(f, e)
		a.handleUnknownFlow(s, x, f, p, raw)
		return
	}
	x.Passed = append(x.Passed, a.encodedAddress)
	a.forward(e.owner, x, raw)
}

// ownerPresent reports whether the owner of a flow is still a member of the fleet. An owner that
// joined recently may name itself before it appears in this agent's view.
func (a *Agent) ownerPresent(s *fleet.State, e *flowEntry) bool {
	return s.Agents[e.owner] != nil || a.now().Sub(e.ownerNamedAt) < maxViewLag
}

func containsAddress(passed [][]byte, agent netip.AddrPort) bool {
	for _, b := range passed {
		if fleetwire.ParseAddress(b) == agent {
			return true
		}
	}
	return false
}

// recordCallerPacket updates a flow by a packet from its caller.
func (a *Agent) recordCallerPacket(e *flowEntry, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	e.acknowledged = p.Acknowledged
	if p.Size > 0 && !e.closed && e.recordData(p) {
		begins := !e.busy || !e.hasRequest
		if begins {
			a.events.record(Asked, f, "request", lazyRequestID{a.codec, raw}, "busy", a.busy, "slots", a.admission.slots)
		}
		e.hasRequest, e.awaitingAnswer = true, true
		a.setBusy(e, true)
		if begins {
			a.recordRequest()
		}
	}
	if p.Reset || p.Final {
		a.endedByCaller(e, f)
		a.setBusy(e, false)
		a.setClosed(e)
	}
}

// recordData records the sequence number of a data packet from the caller. It returns false if the
// packet repeats one of a request that has been answered.
func (e *flowEntry) recordData(p mangokeel.Packet) bool {
	newer := !e.hasSequence || int32(p.Sequence-e.highestSequence) > 0
	if newer {
		e.highestSequence, e.hasSequence = p.Sequence, true
	}
	return newer || e.hasRequest
}

// failPendingRequest counts the request in progress, if there is one, as failed.
func (a *Agent) failPendingRequest(e *flowEntry, f mangokeel.Flow, reason string) {
	if e.awaitingAnswer {
		a.requestFailed(e, f, reason)
	}
}

// endedByCaller handles a request whose caller ends the flow. The request does not count as failed
// if the target had no time to answer it.
func (a *Agent) endedByCaller(e *flowEntry, f mangokeel.Flow) {
	expected := time.Duration(float64(a.stats.serviceTime()) * max(1, e.loadPerSlot))
	if a.now().Sub(e.requestedAt) < abandonedFailureFactor*expected {
		e.awaitingAnswer = false
	}
	a.failPendingRequest(e, f, "ended by the caller")
}

// answerBegan records whether the first packet of an answer reports success or failure.
func (a *Agent) answerBegan(e *flowEntry, f mangokeel.Flow, p mangokeel.Packet) {
	if p.Failed {
		a.requestFailed(e, f, "failed answer")
		return
	}
	e.awaitingAnswer = false
	a.stats.recordOutcome(a.now(), false)
}

// requestFailed counts a request that the target did not serve.
func (a *Agent) requestFailed(e *flowEntry, f mangokeel.Flow, reason string) {
	now := a.now()
	e.awaitingAnswer = false
	a.stats.recordOutcome(now, true)
	a.events.record(Failed, f, "reason", reason, "after", now.Sub(e.requestedAt), "ahead", e.loadPerSlot, "failing", a.stats.failureAverage)
}

// handleHint records which agent has a flow that this agent passed on or searches for.
func (a *Agent) handleHint(s *fleet.State, x *fleetwire.Frame) {
	owner := fleetwire.ParseAddress(x.GetOrigin())
	f := flowOf(x)
	if !owner.IsValid() || !f.Caller.IsValid() {
		a.events.count(Malformed)
		return
	}
	if x.GetKnown() > s.Revision {
		a.revisions.update(s)
		a.revisions.learn(f.Address, decision{x.GetKnown(), x.GetService()}, a.now())
	}
	if a.withholdHint(s, x, f, owner) {
		return
	}
	if owner == a.cfg.Address {
		return // the flow has ended here since
	}
	a.recordOwner(f, owner, x.GetOpened(), x.GetEstablished())
	a.completeSearch(s, f)
}

// HandleTargetPacket handles a packet from the target.
func (a *Agent) HandleTargetPacket(raw []byte) {
	p, err := a.codec.Parse(raw)
	if err != nil {
		a.events.count(Malformed)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stall.observe(a.now())
	a.admission.recordResponse(a.now())
	if !a.admission.known && a.showsTarget(p) {
		a.absence.recordTarget(a.now())
	}
	if p.Returned {
		a.handleReturned(p, raw)
		return
	}
	f := mangokeel.Flow{Caller: p.Destination, Address: p.Source}
	a.recordTargetPacket(f, p)
	a.events.count(Answered)
	a.link.SendToCaller(f.Caller.Addr(), raw)
	a.admitQueued()
}

// recordTargetPacket updates a flow by a packet from its target.
func (a *Agent) recordTargetPacket(f mangokeel.Flow, p mangokeel.Packet) {
	now := a.now()
	e := a.flows[f]
	if e == nil || !e.local() {
		if p.Reset || p.Accepting && e != nil && e.established {
			return
		}
		// The agent started after the flow was opened, or had recorded another owner. In this case the
		// caller may still continue with that one's answer.
		x := a.offers[f]
		next := &flowEntry{acceptedAt: now, established: true, closed: x.final}
		if e != nil {
			next.openSequence, next.established = e.openSequence, !p.Accepting
		}
		e = next
		a.flows[f] = e
		if e.open() {
			a.recordOpenFlow(true)
			a.open++
		}
		if x.frame != nil {
			a.sendHint(e, x.frame, f)
		}
		delete(a.offers, f)
		a.completeSearch(a.view.State(), f)
	}
	e.lastSeen = now
	switch {
	case p.Accepting && !e.accepted():
		e.acceptedAt, e.openFrame = now, nil
		a.recordOpenFlow(true)
		a.open++
		a.registerAccepted(f, e)
	case p.Accepting: // a copy may have opened the flow at a new incarnation
		e.acceptedAt = now
	}
	begins := p.Sequence == e.acknowledged
	if p.Size > 0 {
		if e.hasRequest { // the final packet may arrive before the answer's data
			a.events.answerTimes.Observe(now.Sub(e.requestedAt).Seconds())
			if !p.Failed { // a failure may be faster or slower than the service
				a.stats.recordServiceTime(now.Sub(e.requestedAt), e.loadPerSlot)
			}
			a.recordAnswer(e, p.Failed)
		}
		if e.awaitingAnswer && begins {
			a.answerBegan(e, f, p)
		}
		a.setBusy(e, false)
		e.hasRequest = false
	}
	if p.Reset || p.Final && begins {
		a.failPendingRequest(e, f, "ended by the target")
	}
	if p.Final || p.Reset {
		a.setBusy(e, false)
		a.setClosed(e)
	}
}

// handleReturned handles a packet that the target returned because it does not have, or does not
// take, the flow.
func (a *Agent) handleReturned(p mangokeel.Packet, raw []byte) {
	a.events.count(Returned)
	a.codec.Clean(raw)
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	s := a.view.State()
	e := a.flows[f]
	if p.Opening {
		if e == nil || !e.local() || e.openFrame == nil {
			return
		}
		x := e.openFrame
		a.removeFlow(f, e)
		a.admission.recordRefusal(a.now())
		a.placeElsewhere(s, x, f, p, raw)
		return
	}
	if x, ok := a.offers[f]; ok {
		a.handleReturnedOffer(s, f, x)
		return
	}
	if e != nil && e.local() {
		wasOpen := e.open()
		a.removeFlow(f, e)
		if wasOpen {
			a.admission.recordUnknownFlow(a.now())
		}
	}
	x := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_DATA, Revision: s.Revision, Zone: string(a.cfg.Zone), Passed: [][]byte{a.encodedAddress}}
	if a.searches[f] == nil {
		a.startSearch(s, x, f, p, raw, false)
	}
}

// setBusy marks whether a flow's caller waits for an answer.
func (a *Agent) setBusy(e *flowEntry, busy bool) {
	if e.busy != busy {
		if busy {
			a.busy++
		} else {
			a.busy--
		}
		if a.busy == 0 {
			a.learned.estimator.RecordIdle()
		}
	}
	e.busy = busy
	if busy {
		e.requestedAt = a.now()
		e.loadPerSlot = float64(a.busy) / float64(max(1, a.admission.slots))
		e.inProgress = a.busy
	}
}

// setClosed marks a flow as closed.
func (a *Agent) setClosed(e *flowEntry) {
	if e.open() {
		a.recordOpenFlow(false)
		a.open--
	}
	e.closed = true
}

// removeFlow deletes the entry of a flow.
func (a *Agent) removeFlow(f mangokeel.Flow, e *flowEntry) {
	if e.local() {
		a.setBusy(e, false)
		a.setClosed(e)
	}
	delete(a.flows, f)
}

// resetEndingFlows resets the flows of a target that has stopped or restarted.
func (a *Agent) resetEndingFlows(reason string) {
	slices.SortFunc(a.endingFlows, compareFlows)
	for _, f := range a.endingFlows {
		a.resetFlow(f, reason)
	}
	a.endingFlows = nil
}

// resetFlow removes a local flow and, if it is open and its caller has continued with it, sends the
// caller a reset. Otherwise the caller may have continued with another target, which holds the flow.
func (a *Agent) resetFlow(f mangokeel.Flow, reason string) {
	e := a.flows[f]
	if e == nil || !e.local() {
		return
	}
	if e.open() && e.established {
		a.events.record(Ended, f, "reason", reason)
		a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(mangokeel.Packet{Source: f.Caller, Destination: f.Address, Acknowledged: e.acknowledged}))
	}
	a.removeFlow(f, e)
}

// Sweep applies all timeouts. It must be called at intervals shorter than lateAfter.
func (a *Agent) Sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.stall.observe(now)
	a.applyDeferred(now)
	a.admitQueued()
	a.refuseExpired(now)
	a.judgeTarget(now)
	s := a.view.State()
	idle := s.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	for f, e := range a.flows {
		if since := now.Sub(e.requestedAt); e.busy && (since > answerTimeout || !e.hasRequest && since > requestTimeout) {
			a.failPendingRequest(e, f, "no answer in time")
			a.recordTimeout(e)
			a.setBusy(e, false)
		}
		lifetime := idle + idleTimeoutMargin
		if e.closed {
			lifetime = closedFlowLifetime
		}
		if now.Sub(e.lastSeen) > lifetime {
			a.removeFlow(f, e)
		}
	}
	a.aware = a.aware || now.Sub(a.startedAt) > idle+idleTimeoutMargin
	a.observeView(s, now)
	a.registerFlows(s, now)
	a.expireSearches(s, now)
	a.sendQueries(now)
	if len(a.endingFlows) > 0 && !now.Before(a.resetAt) {
		a.resetEndingFlows("target ended")
	}
	a.updateVacancy(now)
}
