package packet

import (
	"net/netip"
	"slices"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// maxHeldPackets is how many packets of a flow are held during its search. Callers have at
	// most 16 in flight and retransmit those that are dropped.
	maxHeldPackets = 4
	// maxSearchRounds is how many rounds a search has. Together they last as long as an agent
	// needs to settle after its start, and as all agents need to poll control, which they do every
	// 0.5 s.
	maxSearchRounds = 6
	// maxSearches bounds the concurrent searches of an agent. When many callers return after an
	// outage, it then sends at most 3,000 queries a second: three in each round.
	maxSearches = 128
	// replyTimeout is how long registrars have to answer: several round trips and a sweep.
	replyTimeout = 100 * time.Millisecond
	// roundPause separates the rounds of a search. Owners register their flows within
	// maxRegisterDelay.
	roundPause = maxRegisterDelay
	// maxReportAge is the maximum age of control's last contact with each agent for a flow to count as
	// ended. They poll every 0.5 s, and so does the agent that searches. The bound exposes an
	// agent that stopped before it could register a flow.
	maxReportAge = 1200 * time.Millisecond
	// maxOffersPerBatch is how many agents that do not know their targets' flows are asked at
	// once, maxOfferBatches how many batches one round has. One round thus covers all agents of an
	// availability zone; later rounds and searches ask the others.
	maxOffersPerBatch = 32
	maxOfferBatches   = 3
	// offerTimeout is how long these agents have to answer: a round trip, the target's answer and
	// a sweep.
	offerTimeout = 150 * time.Millisecond
	// maxControlAge is how recently control must have answered an agent whose reply may end a
	// flow. It is shorter than a lease, so that the other nodes still have the agent in their
	// views.
	maxControlAge = 2 * time.Second
	// settlingTime is how long after an agent's first complete view all owners have registered
	// their flows with it, and how long after a membership change all nodes have the same ranking:
	// control's next answer, maxRegisterDelay and the transmission.
	settlingTime = 300 * time.Millisecond
	// restartSettlingTime replaces settlingTime for an agent that was restarted beside a running
	// target. Other agents may have been restarted too, and be silent until their leases end.
	restartSettlingTime = 6 * time.Second
	// maxFreshSerial is the highest serial that a target can reach within half a report period.
	// Without the limit, a clock that went back could make an old target look new.
	maxFreshSerial = 4
)

// heldPacket is a packet that waits for the end of a search.
type heldPacket struct {
	frame *fleetwire.Frame
	raw   []byte
}

// searchPhase is what a search waits for.
type searchPhase int

const (
	// askingRegistrars waits for the answers of the flow's registrars.
	askingRegistrars searchPhase = iota
	// offeringPacket waits for agents that do not know all flows of their targets and offer them
	// the packet.
	offeringPacket
	// queryingAgents waits for the answers of all other agents.
	queryingAgents
	// pausingRound waits for the next round.
	pausingRound
)

// search looks for the owner of a flow that an agent does not know. It first asks the flow's
// registrars, which owners keep informed, and then the agents that do not know what their targets
// hold because they have been restarted. The number of registrars does not depend on the size of
// the fleet, and the number of other agents is bounded for each packet.
//
// A registrar may not know a flow: the owner's messages can be lost, and the registrar may have
// started later. A flow therefore counts as ended only if no registrar knows it, if no other agent
// may hold it without knowing, if this agent's view is complete and recent, and if one of these
// holds:
//   - Each agent of the flow's services has reported that its target does not hold it.
//   - The services have too many agents to ask, the registrars would know the flow, and each
//     owner had the time to inform all of them: either all nodes have had the same registrars
//     for long enough, or all agents have contacted control since the search began.
//
// A flow also counts as ended if the target that had it returns its packet.
type search struct {
	packet    mangokeel.Packet
	startedAt time.Time
	// held contains at least one packet.
	held []heldPacket
	// localTargetPending is set while the local target has the first packet and has not returned it.
	localTargetPending bool
	phase              searchPhase
	deadline           time.Time
	// pending are the agents whose answers are awaited in this phase.
	pending []netip.AddrPort
	// registrars counts the flow's registrars in the current round, unknownReplies those that know
	// no owner, and settledReplies those of them that would know it.
	registrars, unknownReplies, settledReplies int
	// rounds counts the rounds so far, including the current one.
	rounds int
	// viewComplete is set if the view was complete at the beginning of the current round.
	viewComplete bool
	// rosterSteady is set if all nodes had the same registrars for settlingTime before the current
	// round, agentsReported if all agents had the time to register the flow.
	rosterSteady, agentsReported bool
	// pendingHint is a registrar's answer that is kept while the local target is asked.
	pendingHint *fleetwire.Frame
	// returnedByOwner is set once the local target, which had the flow, returned its packet.
	returnedByOwner bool
	// nonOwners are agents that know all flows of their targets and reported that this flow is not
	// among them. They cannot get the flow later: a flow never reaches a target after its caller's
	// first packet with data.
	nonOwners map[netip.AddrPort]bool
	// returned are the agents whose targets were offered the packet and returned it. allOffered is
	// set if they include every agent that may hold the flow without knowing it.
	returned   map[netip.AddrPort]bool
	allOffered bool
	// offerBatches counts the batches of agents that were asked in the current round.
	offerBatches int
}

// failedSearch is the result of a search that found no owner.
type failedSearch struct {
	at time.Time
	// ended is set if the flow counts as ended.
	ended bool
	// returned are the agents whose targets have returned the flow's packet.
	returned map[netip.AddrPort]bool
}

// handleUnknownFlow handles a packet of a flow that this agent has no entry for.
func (a *Agent) handleUnknownFlow(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if x.GetOffer() {
		a.handleOffer(s, x, f, p, raw)
		return
	}
	if q := a.searches[f]; q != nil && len(q.held) < maxHeldPackets {
		q.held = append(q.held, heldPacket{x, slices.Clone(raw)})
		return
	}
	l, wasLost := a.failedSearches[f]
	if a.searches[f] != nil || wasLost && l.ended || len(x.GetPassed()) >= maxSearchPasses {
		a.events.count(Dropped)
		return
	}
	a.startSearch(s, x, f, p, raw, a.mayHold(s.Routes[f.Address]))
}

// startSearch begins a search. If askLocal is set, the local target is offered the packet first.
func (a *Agent) startSearch(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte, askLocal bool) {
	if len(a.searches) >= maxSearches {
		a.events.count(Dropped)
		return
	}
	q := &search{
		packet: p, startedAt: a.now(), held: []heldPacket{{x, slices.Clone(raw)}}, localTargetPending: askLocal,
		nonOwners: map[netip.AddrPort]bool{}, returned: map[netip.AddrPort]bool{},
	}
	if l := a.failedSearches[f]; l.returned != nil {
		q.returned = l.returned
	}
	a.searches[f] = q
	if askLocal {
		a.offers[f] = offer{at: a.now(), final: p.Final}
		a.deliver(raw)
	}
	a.startRound(s, f, q)
}

// startRound asks the registrars of a flow for its owner.
func (a *Agent) startRound(s *fleet.State, f mangokeel.Flow, q *search) {
	now := a.now()
	q.phase, q.deadline = askingRegistrars, now.Add(replyTimeout)
	q.rounds++
	q.pendingHint = nil
	q.viewComplete = s.Complete
	q.rosterSteady = now.Sub(s.LastRosterChange) >= settlingTime
	if q.agentsReported = !a.view.OldestAgentContact().Before(q.startedAt.Add(maxRegisterDelay)); !q.agentsReported && !q.rosterSteady {
		a.refresh()
	}
	a.targetBuf = s.Registrars(a.targetBuf[:0], hashOf(f))
	q.pending, q.registrars, q.unknownReplies, q.settledReplies, q.offerBatches = nil, len(a.targetBuf), 0, 0, 0
	a.events.record(Searched, f, "request", lazyRequestID{a.codec, q.held[0].raw}, "places", q.registrars, "look", q.rounds,
		"complete", s.Complete, "roster", s.RosterVersion)
	x := a.newFlowFrame(fleetwire.Kind_KIND_ASK, s, f)
	for _, t := range a.targetBuf {
		if t.Agent != a.cfg.Address {
			q.pending = append(q.pending, t.Agent)
			a.send(t.Agent, x, nil)
			continue
		}
		q.unknownReplies++
		if a.settled(s) {
			q.settledReplies++
		}
	}
	a.continueSearch(s, f, q)
}

// newFlowFrame returns a frame from this agent that names a flow.
func (a *Agent) newFlowFrame(kind fleetwire.Kind, s *fleet.State, f mangokeel.Flow) *fleetwire.Frame {
	return &fleetwire.Frame{
		Kind: kind, Origin: a.encodedAddress, Revision: s.Revision, Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address),
	}
}

// handleAsk answers an agent that searches for a flow.
func (a *Agent) handleAsk(s *fleet.State, x *fleetwire.Frame) {
	f, from := flowOf(x), fleetwire.ParseAddress(x.GetOrigin())
	if !f.Caller.IsValid() || !from.IsValid() {
		a.events.count(Malformed)
		return
	}
	e := a.flows[f]
	if e == nil || !e.local() && !a.ownerPresent(s, e) {
		a.replyUnknown(s, from, f, a.settled(s))
		return
	}
	a.replyOwner(s, from, f, e)
}

// replyOwner informs an agent which agent holds a flow.
func (a *Agent) replyOwner(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, e *flowEntry) {
	x := a.newFlowFrame(fleetwire.Kind_KIND_HINT, s, f)
	x.Opened, x.Established, x.Passed = e.openSequence, e.established, [][]byte{a.encodedAddress}
	if !e.local() {
		x.Origin = fleetwire.Address(e.owner)
	}
	a.send(to, x, nil)
}

// replyUnknown informs an agent that this one knows no owner of a flow. settled is set if this agent
// would know the owner if there were one.
func (a *Agent) replyUnknown(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, settled bool) {
	x := a.newFlowFrame(fleetwire.Kind_KIND_UNKNOWN, s, f)
	x.Settled, x.Aware = settled, a.aware
	a.send(to, x, nil)
}

// handleUnknown handles the reply of an agent that knows no owner of a flow. In a reply to a CALL
// frame, the holdings are flows that its target does not hold.
func (a *Agent) handleUnknown(s *fleet.State, x *fleetwire.Frame) {
	from := fleetwire.ParseAddress(x.GetOrigin())
	f := flowOf(x)
	if q := a.searches[f]; q != nil {
		q.nonOwners[from] = q.nonOwners[from] || x.GetAware()
		if q.phase == askingRegistrars && x.GetSettled() && slices.Contains(q.pending, from) {
			q.settledReplies++
		}
		a.recordReply(s, f, from, q.phase == askingRegistrars || x.GetSettled())
	}
	for _, h := range x.GetHoldings() {
		f := flowOf(h)
		q := a.searches[f]
		if q == nil || !x.GetAware() {
			continue
		}
		q.nonOwners[from] = true
		if q.phase == queryingAgents {
			a.recordReply(s, f, from, true)
		}
	}
}

// recordReply records that an agent has answered a search. unknown is set if it knows no owner, or
// if its target has returned the packet.
func (a *Agent) recordReply(s *fleet.State, f mangokeel.Flow, from netip.AddrPort, unknown bool) {
	q := a.searches[f]
	if q == nil {
		return
	}
	i := slices.Index(q.pending, from)
	if i < 0 {
		return
	}
	q.pending = slices.Delete(q.pending, i, i+1)
	switch {
	case !unknown:
	case q.phase == offeringPacket:
		q.returned[from] = true
	case q.phase == askingRegistrars:
		q.unknownReplies++
	}
	a.continueSearch(s, f, q)
}

// withholdHint handles a hint that names a flow's owner. It returns true if a search is in
// progress that cannot use the hint, or keeps it for later.
func (a *Agent) withholdHint(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, owner netip.AddrPort) bool {
	q := a.searches[f]
	if q == nil {
		return false
	}
	self := owner == a.cfg.Address
	q.returnedByOwner = q.returnedByOwner || self && x.GetEstablished()
	switch {
	case self || s.Agents[owner] == nil || containsAddress(q.held[0].frame.GetPassed(), owner):
		// The named agent is the one that searches, has left, or has passed the packet on.
		a.recordReply(s, f, lastForwarder(x), self)
		return true
	case q.localTargetPending:
		// The hint may be outdated, so the local target is more likely to have the flow.
		q.pendingHint = x
		a.recordReply(s, f, lastForwarder(x), false)
		return true
	}
	return false
}

// completeSearch ends the search for a flow whose owner is now known, and handles the held
// packets.
func (a *Agent) completeSearch(s *fleet.State, f mangokeel.Flow) {
	q, e := a.searches[f], a.flows[f]
	if q == nil || e == nil {
		return
	}
	delete(a.searches, f)
	delete(a.failedSearches, f)
	for i, h := range q.held {
		if e.local() && i == 0 { // the target already has the first packet
			if len(h.frame.GetPassed()) > 0 {
				a.sendHint(e, h.frame, f)
			}
			continue
		}
		p, err := a.codec.Parse(h.raw)
		if err != nil {
			a.events.count(Malformed)
			continue
		}
		a.handleData(s, h.frame, f, p, h.raw)
	}
}

// continueSearch starts the next phase of a search once the current one has its answers or has
// timed out.
func (a *Agent) continueSearch(s *fleet.State, f mangokeel.Flow, q *search) {
	over := !a.now().Before(q.deadline)
	switch q.phase {
	case askingRegistrars:
		if !over && (len(q.pending) > 0 || q.localTargetPending) {
			return
		}
		if q.pendingHint != nil { // the local target has not returned the packet
			q.localTargetPending = false
			a.handleHint(s, q.pendingHint)
			return
		}
		if !a.offerPacket(s, f, q) {
			a.queryAllAgents(s, f, q)
		}
	case offeringPacket:
		if !over && len(q.pending) > 0 {
			return
		}
		if over || q.offerBatches == maxOfferBatches || !a.offerPacket(s, f, q) {
			a.queryAllAgents(s, f, q)
		}
	case queryingAgents:
		if over || len(q.pending) == 0 {
			a.finishRound(s, f, q)
		}
	case pausingRound:
		if over || s.Complete && !q.viewComplete {
			a.startRound(s, f, q)
		}
	}
}

// finishRound pauses before the next round, or ends the search.
func (a *Agent) finishRound(s *fleet.State, f mangokeel.Flow, q *search) {
	ended := q.returnedByOwner && !q.localTargetPending || q.allOffered && a.noKnownOwner(s, q) && a.noOtherOwner(s, f, q)
	if ended || q.rounds == maxSearchRounds {
		a.failSearch(s, f, q, ended)
		return
	}
	q.phase, q.deadline, q.pending = pausingRound, a.now().Add(roundPause), nil
}

// noOtherOwner reports whether no other agent holds a flow that no registrar knows: all agents
// have reported so, or they are too many to query and the registrars would know the flow.
func (a *Agent) noOtherOwner(s *fleet.State, f mangokeel.Flow, q *search) bool {
	n := len(a.possibleOwners(s, f, q))
	registrarsInformed := q.settledReplies == q.registrars && (q.rosterSteady || q.agentsReported) && a.now().Sub(a.view.OldestAgentContact()) < maxReportAge
	return n == 0 || n > maxQueriedAgents && registrarsInformed
}

// noKnownOwner reports whether the local target does not hold the flow, no registrar knows its
// owner, and this agent's view is complete and recent.
func (a *Agent) noKnownOwner(s *fleet.State, q *search) bool {
	lastContact := a.view.LastContact()
	return s.Complete && a.now().Sub(lastContact) < maxControlAge && a.stall.resumedBefore(lastContact) &&
		!q.localTargetPending && q.registrars > 0 && q.unknownReplies == q.registrars
}

// offerPacket offers the flow's packet to targets whose agents are silent or do not know all their
// flows, except those that have returned it. It returns false if there are none. An agent that has
// passed the packet on is asked too: it may have followed a hint while its target had the packet.
func (a *Agent) offerPacket(s *fleet.State, f mangokeel.Flow, q *search) bool {
	route := s.Routes[f.Address]
	q.pending, q.allOffered = nil, false
	if route == nil {
		return false
	}
	x, h := q.held[0].frame, hashOf(f)
	q.allOffered = true
	for _, service := range route.CandidateServices(h) {
		a.targetBuf = s.RankTargets(a.targetBuf[:0], service, mangokeel.AvailabilityZone(x.GetZone()), h)
		for _, t := range a.targetBuf {
			switch {
			case t.KnowsAllFlows && !t.Silent || t.Agent == a.cfg.Address || q.returned[t.Agent]:
				continue
			case len(q.pending) < maxOffersPerBatch:
				q.pending = append(q.pending, t.Agent)
			}
			q.allOffered = false // until all of them have returned it
		}
	}
	if len(q.pending) == 0 {
		return false
	}
	q.offerBatches++
	q.phase, q.deadline = offeringPacket, a.now().Add(offerTimeout)
	out := &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_DATA, Revision: x.GetRevision(), Origin: x.GetOrigin(), Zone: x.GetZone(), Offer: true,
		Passed: append(slices.Clone(x.GetPassed()), a.encodedAddress),
	}
	for _, agent := range q.pending {
		a.send(agent, out, q.held[0].raw)
	}
	return true
}

// handleOffer gives a packet of an unknown flow to the local target at the request of an agent that
// searches for the owner.
func (a *Agent) handleOffer(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if !a.mayHold(s.Routes[f.Address]) {
		a.replyUnknown(s, lastForwarder(x), f, true)
		return
	}
	a.offers[f] = offer{x, a.now(), p.Final}
	a.deliver(raw)
}

// handleReturnedOffer handles a packet of an unknown flow that the local target returned.
func (a *Agent) handleReturnedOffer(s *fleet.State, f mangokeel.Flow, x offer) {
	delete(a.offers, f)
	if x.frame != nil {
		a.replyUnknown(s, lastForwarder(x.frame), f, true)
		return
	}
	q := a.searches[f]
	if q == nil || !q.localTargetPending {
		return
	}
	q.localTargetPending = false
	if q.pendingHint != nil {
		a.handleHint(s, q.pendingHint)
		return
	}
	a.continueSearch(s, f, q)
}

// failSearch ends a search that found no owner. If the flow has ended, its caller gets a reset,
// unless the packet was one.
func (a *Agent) failSearch(s *fleet.State, f mangokeel.Flow, q *search, ended bool) {
	delete(a.searches, f)
	now := a.now()
	a.failedSearches[f] = failedSearch{at: now, ended: ended, returned: q.returned}
	keyvals := []any{
		"reason", "no owner found", "looks", q.rounds, "denied", q.returnedByOwner, "places", q.registrars, "unknowing", q.unknownReplies,
		"settled", q.settledReplies, "steady", q.rosterSteady, "heard", q.agentsReported, "offered", q.allOffered, "absent", len(q.nonOwners),
		"complete", s.Complete, "control", now.Sub(a.view.LastContact()), "revision", s.Revision, "bytes", q.packet.Size, "request",
		lazyRequestID{a.codec, q.held[0].raw},
	}
	if !ended || q.packet.Reset {
		a.events.record(Lost, f, keyvals...)
		return
	}
	a.events.record(Ended, f, keyvals...)
	a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(q.packet))
}

// expireSearches continues the searches whose phase has timed out, and removes old results.
func (a *Agent) expireSearches(s *fleet.State, now time.Time) {
	a.flowBuf = a.flowBuf[:0]
	for f := range a.searches {
		a.flowBuf = append(a.flowBuf, f)
	}
	slices.SortFunc(a.flowBuf, compareFlows)
	for _, f := range a.flowBuf {
		if q := a.searches[f]; q != nil {
			a.continueSearch(s, f, q)
		}
	}
	for f, x := range a.offers {
		if now.Sub(x.at) > searchResultLifetime {
			delete(a.offers, f)
		}
	}
	for f, l := range a.failedSearches {
		if now.Sub(l.at) > searchResultLifetime {
			delete(a.failedSearches, f)
		}
	}
}

// mayHold reports whether the local target may hold flows of a route. Before the target's first
// report, its service is known from the settings only.
func (a *Agent) mayHold(route *fleet.Route) bool {
	if a.vacant {
		return false
	}
	own := a.cfg.Service
	if a.admission.known {
		own = a.admission.service
	}
	return route == nil || route.Allows(own) || slices.Contains(route.FormerServices, own)
}

// lastForwarder returns the agent that last passed a frame on, or the zero value.
func lastForwarder(x *fleetwire.Frame) netip.AddrPort {
	passed := x.GetPassed()
	if len(passed) == 0 {
		return netip.AddrPort{}
	}
	return fleetwire.ParseAddress(passed[len(passed)-1])
}
