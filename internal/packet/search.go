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
	// maxHeldPackets is how many packets of a flow wait for the end of its search. Callers have at
	// most 16 in flight, and send those again that are dropped.
	maxHeldPackets = 4
	// maxSearchRounds is how many looks a search has. They take as long as an agent that has just
	// started needs to settle, and as all agents need to poll control, each 0.5 s.
	maxSearchRounds = 6
	// maxSearches bounds the searches under way at an agent: a crowd of callers after an outage
	// makes it send 3,000 questions a second at most, three for each look.
	maxSearches = 128
	// replyTimeout is how long places have to answer: several round trips, and a sweep.
	replyTimeout = 100 * time.Millisecond
	// roundPause separates the looks of a search. Owners tell places of their flows within
	// tellTime.
	roundPause = maxRegisterDelay
	// maxReportAge is how long ago control must have heard of all agents, at the latest, before a flow
	// counts as ended: they poll each 0.5 s, and so does the agent that searches. An agent
	// that stopped before it could tell of a flow is noticed by this.
	maxReportAge = 1200 * time.Millisecond
	// maxOffersPerBatch is how many agents that do not know their targets' flows are asked at once, and
	// offerBatches how often in one look, so that all agents of an availability zone are
	// asked in one. Later looks and searches ask others.
	maxOffersPerBatch = 32
	maxOfferBatches   = 3
	// offerTimeout is how long they have: a round trip, the target's answer, and a sweep.
	offerTimeout = 150 * time.Millisecond
	// maxControlAge is how long ago control must have answered an agent whose word ends a flow: a
	// lease ends later, so that the others still know the agent by it.
	maxControlAge = 2 * time.Second
	// settlingTime is how long after an agent's first complete view all owners have told it which
	// flows they hold, and how long after a change of the agents all nodes have the same order:
	// control's next answer, tellTime, and the way.
	settlingTime = 300 * time.Millisecond
	// restartSettlingTime is the same for an agent that was started again beside an older target.
	// Others may have been started again as well, and be silent until their leases end.
	restartSettlingTime = 6 * time.Second
	// maxFreshSerial is how many reports a target sends within half a period at most, as a clock
	// that has gone back may hide how old it is.
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
	// askingRegistrars searches wait for the places' answers, offering ones for agents that do not know
	// all flows of their targets, calling ones for all others, and pausing ones for the next look.
	askingRegistrars searchPhase = iota
	offeringPacket
	queryingAgents
	pausingRound
)

// search looks for the owner of a flow that an agent does not know. It asks the places of the
// flow, which owners keep informed, and then those agents which themselves do not know what
// their targets hold, because they have started again. The number of places does not depend on
// the size of the fleet, and that of the others is bounded for each packet.
//
// Places may not know of a flow: what owners tell them can be lost, and they may have started
// since. So a flow only counts as ended if its places do not know it, if no other agent may hold it
// without knowing, if this agent's view is complete and recent, and if one of these holds:
//   - each agent of its services has said that its target does not hold it;
//   - in a service of many agents, the places would know it, and all nodes have had the same places
//     for so long, or control has heard of all agents since, that each owner had the time to tell
//     all of them.
//
// A flow also counts as ended if the target that had it returns its packet.
type search struct {
	packet    mangokeel.Packet
	startedAt time.Time
	// held has at least one packet.
	held []heldPacket
	// ownTargetPending is set while the ownTargetPending target has the first packet and has not returned it.
	ownTargetPending bool
	phase            searchPhase
	deadline         time.Time
	// pending are the agents whose answers are due in this phase.
	pending []netip.AddrPort
	// registrars counts the registrars of the present look, unknownReplies those that do not know an owner, and
	// settledReplies those of them that would.
	registrars, unknownReplies, settledReplies int
	rounds                                     int
	// viewComplete is set if the view was at the beginning of the present look.
	viewComplete bool
	// rosterSteady is set if all nodes have had the same places for a while, and agentsReported if all agents
	// had the time to tell of the flow, before the present look.
	rosterSteady, agentsReported bool
	// pendingHint is the answer of a place while the own target is asked.
	pendingHint *fleetwire.Frame
	// returnedByOwner is set once the own target, which had the flow, returned its packet.
	returnedByOwner bool
	// nonOwners are the agents that know all flows of their targets, and that this is none of them.
	// A flow does not come to a target later than its caller's first packet with data.
	nonOwners map[netip.AddrPort]bool
	// returned are the agents whose targets were offered the packet and returned it. offered is
	// set if none was left out that may hold the flow without knowing it.
	returned   map[netip.AddrPort]bool
	allOffered bool
	// offerBatches counts the offerBatches of agents that were asked in the present look.
	offerBatches int
}

// failedSearch is the end of a search that found nothing.
type failedSearch struct {
	at time.Time
	// ended is set when the caller was told.
	ended bool
	// returned are the agents whose targets have returned the flow's packet.
	returned map[netip.AddrPort]bool
}

// handleUnknownFlow handles a packet of a flow that this agent has no entry for.
func (a *Agent) handleUnknownFlow(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if x.GetOffer() {
		a.handleOffer(s, x, f, raw)
		return
	}
	if q := a.searches[f]; q != nil && len(q.held) < maxHeldPackets {
		q.held = append(q.held, heldPacket{x, slices.Clone(raw)})
		return
	}
	l, wasLost := a.failedSearches[f]
	if a.searches[f] != nil || wasLost && l.ended || len(x.GetPassed()) >= maxPasses {
		a.events.count(Dropped)
		return
	}
	a.startSearch(s, x, f, p, raw, a.mayHold(s.Routes[f.Address]))
}

// startSearch begins a startSearch. The own target is asked first if it may hold the flow.
func (a *Agent) startSearch(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte, own bool) {
	if len(a.searches) >= maxSearches {
		a.events.count(Dropped)
		return
	}
	q := &search{
		packet: p, startedAt: a.now(), held: []heldPacket{{x, slices.Clone(raw)}}, ownTargetPending: own,
		nonOwners: map[netip.AddrPort]bool{}, returned: map[netip.AddrPort]bool{},
	}
	if l := a.failedSearches[f]; l.returned != nil {
		q.returned = l.returned
	}
	a.searches[f] = q
	if own {
		a.offers[f] = offer{at: a.now()}
		a.deliver(raw)
	}
	a.startRound(s, f, q)
}

// startRound asks the places of a flow who holds it.
func (a *Agent) startRound(s *fleet.State, f mangokeel.Flow, q *search) {
	now := a.now()
	q.phase, q.deadline = askingRegistrars, now.Add(replyTimeout)
	q.rounds++
	q.pendingHint = nil
	q.viewComplete = s.Complete
	q.rosterSteady = now.Sub(s.Steady) >= settlingTime
	if q.agentsReported = !a.view.AllHeard().Before(q.startedAt.Add(maxRegisterDelay)); !q.agentsReported && !q.rosterSteady {
		a.newer()
	}
	a.orderBuf = s.Places(a.orderBuf[:0], hashOf(f))
	q.pending, q.registrars, q.unknownReplies, q.settledReplies, q.offerBatches = nil, len(a.orderBuf), 0, 0, 0
	a.events.record(Searched, f, "request", lazyRequestID{a.codec, q.held[0].raw}, "places", q.registrars, "look", q.rounds,
		"complete", s.Complete, "roster", s.Roster)
	x := a.newFlowFrame(fleetwire.Kind_KIND_ASK, s, f)
	for _, t := range a.orderBuf {
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

// newFlowFrame returns a frame of this agent newFlowFrame a flow.
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

// replyOwner tells an agent who holds a flow.
func (a *Agent) replyOwner(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, e *flowEntry) {
	x := a.newFlowFrame(fleetwire.Kind_KIND_HINT, s, f)
	x.Opened, x.Established, x.Passed = e.openSequence, e.established, [][]byte{a.encodedAddress}
	if !e.local() {
		x.Origin = fleetwire.Address(e.owner)
	}
	a.send(to, x, nil)
}

func (a *Agent) replyUnknown(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, settled bool) {
	x := a.newFlowFrame(fleetwire.Kind_KIND_UNKNOWN, s, f)
	x.Settled, x.Aware = settled, a.aware
	a.send(to, x, nil)
}

// handleUnknown takes over that another agent does not know who holds a flow, or, in an answer to a
// CALL frame, that its target does not hold some.
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

// recordReply notes that an agent has answered a search, and whether its answer says that it knows no
// owner, or that its target has returned the packet.
func (a *Agent) recordReply(s *fleet.State, f mangokeel.Flow, from netip.AddrPort, unknowing bool) {
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
	case !unknowing:
	case q.phase == offeringPacket:
		q.returned[from] = true
	case q.phase == askingRegistrars:
		q.unknownReplies++
	}
	a.continueSearch(s, f, q)
}

// withholdHint handles an answer that names a flow's owner, and reports whether a search under way
// does not follow it, or not yet.
func (a *Agent) withholdHint(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, owner netip.AddrPort) bool {
	q := a.searches[f]
	if q == nil {
		return false
	}
	self := owner == a.cfg.Address
	q.returnedByOwner = q.returnedByOwner || self && x.GetEstablished()
	switch {
	case self || s.Agents[owner] == nil || containsAddress(q.held[0].frame.GetPassed(), owner):
		// The one that is named looks for the flow itself, has left, or has passed the packet on.
		a.recordReply(s, f, lastForwarder(x), self)
		return true
	case q.ownTargetPending:
		// The own target is likelier to have it than what may be an old word.
		q.pendingHint = x
		a.recordReply(s, f, lastForwarder(x), false)
		return true
	}
	return false
}

// completeSearch ends a search: the flow's owner is known by now.
func (a *Agent) completeSearch(s *fleet.State, f mangokeel.Flow) {
	q, e := a.searches[f], a.flows[f]
	if q == nil || e == nil {
		return
	}
	delete(a.searches, f)
	delete(a.failedSearches, f)
	for i, h := range q.held {
		if e.local() && i == 0 { // the target has it
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

// continueSearch takes a search on if nothing is awaited in its phase, or if the phase is over.
func (a *Agent) continueSearch(s *fleet.State, f mangokeel.Flow, q *search) {
	over := !a.now().Before(q.deadline)
	switch q.phase {
	case askingRegistrars:
		if !over && (len(q.pending) > 0 || q.ownTargetPending) {
			return
		}
		if q.pendingHint != nil { // the own target is silent
			q.ownTargetPending = false
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

// finishRound pauses before the finishRound look, or ends the search.
func (a *Agent) finishRound(s *fleet.State, f mangokeel.Flow, q *search) {
	ended := q.returnedByOwner && !q.ownTargetPending || q.allOffered && a.noKnownOwner(s, q) && a.noOtherOwner(s, f, q)
	if ended || q.rounds == maxSearchRounds {
		a.failSearch(s, f, q, ended)
		return
	}
	q.phase, q.deadline, q.pending = pausingRound, a.now().Add(roundPause), nil
}

// noOtherOwner reports whether no agent holds a flow that no place knows: all have said so, or they are too
// many to call and the places would know it.
func (a *Agent) noOtherOwner(s *fleet.State, f mangokeel.Flow, q *search) bool {
	n := len(a.possibleOwners(s, f, q))
	told := q.settledReplies == q.registrars && (q.rosterSteady || q.agentsReported) && a.now().Sub(a.view.AllHeard()) < maxReportAge
	return n == 0 || n > maxQueriedAgents && told
}

// noKnownOwner reports whether this agent's view is complete and recent, and no place noKnownOwner an owner.
func (a *Agent) noKnownOwner(s *fleet.State, q *search) bool {
	heard := a.view.Heard()
	return s.Complete && a.now().Sub(heard) < maxControlAge && a.stall.resumedBefore(heard) &&
		!q.ownTargetPending && q.registrars > 0 && q.unknownReplies == q.registrars
}

// offerPacket offers the flow's packet to targets whose agents do not know all their flows, or are
// silent, except those that have returned it. It returns false if there is none.
func (a *Agent) offerPacket(s *fleet.State, f mangokeel.Flow, q *search) bool {
	route := s.Routes[f.Address]
	q.pending, q.allOffered = nil, false
	if route == nil {
		return false
	}
	x, h := q.held[0].frame, hashOf(f)
	q.allOffered = true
	for _, service := range route.Services(h) {
		a.orderBuf = s.Order(a.orderBuf[:0], service, mangokeel.AvailabilityZone(x.GetZone()), h)
		for _, t := range a.orderBuf {
			switch {
			case t.Aware && !t.Silent || t.Agent == a.cfg.Address || q.returned[t.Agent] || containsAddress(x.GetPassed(), t.Agent):
				continue
			case len(q.pending) < maxOffersPerBatch:
				q.pending = append(q.pending, t.Agent)
			}
			q.allOffered = false // until they have returned it
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

// handleOffer handles a packet of a flow that this agent does not know, and that a searching agent
// asks it to offer to its target.
func (a *Agent) handleOffer(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, raw []byte) {
	if !a.mayHold(s.Routes[f.Address]) {
		a.replyUnknown(s, lastForwarder(x), f, true)
		return
	}
	a.offers[f] = offer{x, a.now()}
	a.deliver(raw)
}

// handleReturnedOffer handles a packet of an unknown flow that the own target returned.
func (a *Agent) handleReturnedOffer(s *fleet.State, f mangokeel.Flow, x offer) {
	delete(a.offers, f)
	if x.frame != nil {
		a.replyUnknown(s, lastForwarder(x.frame), f, true)
		return
	}
	q := a.searches[f]
	if q == nil || !q.ownTargetPending {
		return
	}
	q.ownTargetPending = false
	if q.pendingHint != nil {
		a.handleHint(s, q.pendingHint)
		return
	}
	a.continueSearch(s, f, q)
}

// failSearch ends a search that found no owner. If the flow has ended, a reset frees its caller.
func (a *Agent) failSearch(s *fleet.State, f mangokeel.Flow, q *search, ended bool) {
	delete(a.searches, f)
	now := a.now()
	a.failedSearches[f] = failedSearch{at: now, ended: ended, returned: q.returned}
	why := []any{
		"reason", "no agent holds the flow", "looks", q.rounds, "denied", q.returnedByOwner, "places", q.registrars, "unknowing", q.unknownReplies,
		"settled", q.settledReplies, "steady", q.rosterSteady, "heard", q.agentsReported, "offered", q.allOffered, "absent", len(q.nonOwners),
		"complete", s.Complete, "control", now.Sub(a.view.Heard()), "revision", s.Revision, "bytes", q.packet.Size, "request",
		lazyRequestID{a.codec, q.held[0].raw},
	}
	if !ended || q.packet.Reset {
		a.events.record(Lost, f, why...)
		return
	}
	a.events.record(Ended, f, why...)
	a.link.Caller(f.Caller.Addr(), a.codec.Reset(q.packet))
}

// expireSearches takes on the searches whose phase is over, and forgets old results.
func (a *Agent) expireSearches(s *fleet.State, now time.Time) {
	for f, q := range a.searches {
		a.continueSearch(s, f, q)
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

// mayHold reports whether the own target can have flows of a route. Before the target's
// first report, the settings say which service it has.
func (a *Agent) mayHold(route *fleet.Route) bool {
	own := a.cfg.Service
	if a.gate.known {
		own = a.gate.service
	}
	return route == nil || route.Allows(own) || slices.Contains(route.Former, own)
}

// lastForwarder returns the agent that sent a frame on, or the zero value.
func lastForwarder(x *fleetwire.Frame) netip.AddrPort {
	passed := x.GetPassed()
	if len(passed) == 0 {
		return netip.AddrPort{}
	}
	return fleetwire.ParseAddress(passed[len(passed)-1])
}
