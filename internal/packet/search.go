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
	// holdLimit is how many packets of a flow wait for the end of its search. Callers have at
	// most 16 in flight, and send those again that are dropped.
	holdLimit = 4
	// lookLimit is how many looks a search has. They take as long as an agent that has just
	// started needs to settle, and as all agents need to poll control, each 0.5 s.
	lookLimit = 6
	// searchLimit bounds the searches under way at an agent: a crowd of callers after an outage
	// makes it send 3,000 questions a second at most, three for each look.
	searchLimit = 128
	// lookTime is how long places have to answer: several round trips, and a sweep.
	lookTime = 100 * time.Millisecond
	// lookPause separates the looks of a search. Owners tell places of their flows within
	// tellTime.
	lookPause = tellTime
	// hearTime is how long ago control must have heard of all agents, at the latest, before a flow
	// counts as ended: they poll each 0.5 s, and so does the agent that searches. An agent
	// that stopped before it could tell of a flow is noticed by this.
	hearTime = 1200 * time.Millisecond
	// offerLimit is how many agents that do not know their targets' flows are asked at once, and
	// offerBatches how often in one look, so that all agents of an availability zone are
	// asked in one. Later looks and searches ask others.
	offerLimit   = 32
	offerBatches = 3
	// offerTime is how long they have: a round trip, the target's answer, and a sweep.
	offerTime = 150 * time.Millisecond
	// touchTime is how long ago control must have answered an agent whose word ends a flow: a
	// lease ends later, so that the others still know the agent by it.
	touchTime = 2 * time.Second
	// settleTime is how long after an agent's first complete view all owners have told it which
	// flows they hold, and how long after a change of the agents all nodes have the same order:
	// control's next answer, tellTime, and the way.
	settleTime = 300 * time.Millisecond
	// restartTime is the same for an agent that was started again beside an older target.
	// Others may have been started again as well, and be silent until their leases end.
	restartTime = 6 * time.Second
	// freshReports is how many reports a target sends within half a period at most, as a clock
	// that has gone back may hide how old it is.
	freshReports = 4
)

// held is a packet that waits for the end of a search.
type held struct {
	frame *fleetwire.Frame
	raw   []byte
}

// phase is what a search waits for.
type phase int

const (
	// looking searches wait for the places' answers, offering ones for agents that do not know
	// all flows of their targets, calling ones for all others, and pausing ones for the next look.
	looking phase = iota
	offering
	calling
	pausing
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
	packet mangokeel.Packet
	began  time.Time
	// held has at least one packet.
	held []held
	// own is set while the own target has the first packet and has not returned it.
	own   bool
	phase phase
	until time.Time
	// awaited are the agents whose answers are due in this phase.
	awaited []netip.AddrPort
	// places counts the places of the present look, unknowing those that do not know an owner, and
	// settled those of them that would.
	places, unknowing, settled int
	looks                      int
	// complete is set if the view was at the beginning of the present look.
	complete bool
	// steady is set if all nodes have had the same places for a while, and heard if all agents
	// had the time to tell of the flow, before the present look.
	steady, heard bool
	// named is the answer of a place while the own target is asked.
	named *fleetwire.Frame
	// denied is set once the own target, which had the flow, returned its packet.
	denied bool
	// absent are the agents that know all flows of their targets, and that this is none of them.
	// A flow does not come to a target later than its caller's first packet with data.
	absent map[netip.AddrPort]bool
	// returned are the agents whose targets were offered the packet and returned it. offered is
	// set if none was left out that may hold the flow without knowing it.
	returned map[netip.AddrPort]bool
	offered  bool
	// batches counts the batches of agents that were asked in the present look.
	batches int
}

// lost is the end of a search that found nothing.
type lost struct {
	at time.Time
	// ended is set when the caller was told.
	ended bool
	// returned are the agents whose targets have returned the flow's packet.
	returned map[netip.AddrPort]bool
}

// unknown handles a packet of a flow that this agent has no entry for.
func (a *Agent) unknown(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	if x.GetOffer() {
		a.offered(s, x, f, raw)
		return
	}
	if q := a.searches[f]; q != nil && len(q.held) < holdLimit {
		q.held = append(q.held, held{x, slices.Clone(raw)})
		return
	}
	l, wasLost := a.lost[f]
	if a.searches[f] != nil || wasLost && l.ended || len(x.GetPassed()) >= passLimit {
		a.events.count(Dropped)
		return
	}
	a.search(s, x, f, p, raw, a.mayHold(s.Routes[f.Address]))
}

// search begins a search. The own target is asked first if it may hold the flow.
func (a *Agent) search(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte, own bool) {
	if len(a.searches) >= searchLimit {
		a.events.count(Dropped)
		return
	}
	q := &search{
		packet: p, began: a.now(), held: []held{{x, slices.Clone(raw)}}, own: own,
		absent: map[netip.AddrPort]bool{}, returned: map[netip.AddrPort]bool{},
	}
	if l := a.lost[f]; l.returned != nil {
		q.returned = l.returned
	}
	a.searches[f] = q
	if own {
		a.offers[f] = offer{at: a.now()}
		a.deliver(raw)
	}
	a.look(s, f, q)
}

// look asks the places of a flow who holds it.
func (a *Agent) look(s *fleet.State, f mangokeel.Flow, q *search) {
	now := a.now()
	q.phase, q.until = looking, now.Add(lookTime)
	q.looks++
	q.named = nil
	q.complete = s.Complete
	q.steady = now.Sub(s.Steady) >= settleTime
	if q.heard = !a.view.AllHeard().Before(q.began.Add(tellTime)); !q.heard && !q.steady {
		a.refresh()
	}
	a.order = s.Places(a.order[:0], hashOf(f))
	q.awaited, q.places, q.unknowing, q.settled, q.batches = nil, len(a.order), 0, 0, 0
	a.events.decide(Searched, f, "request", lazyRequest{a.codec, q.held[0].raw}, "places", q.places, "look", q.looks,
		"complete", s.Complete, "roster", s.Roster)
	x := a.about(fleetwire.Kind_KIND_ASK, s, f)
	for _, t := range a.order {
		if t.Agent != a.cfg.Address {
			q.awaited = append(q.awaited, t.Agent)
			a.send(t.Agent, x, nil)
			continue
		}
		q.unknowing++
		if a.settled(s) {
			q.settled++
		}
	}
	a.searchOn(s, f, q)
}

// about returns a frame of this agent about a flow.
func (a *Agent) about(kind fleetwire.Kind, s *fleet.State, f mangokeel.Flow) *fleetwire.Frame {
	return &fleetwire.Frame{
		Kind: kind, Origin: a.self, Revision: s.Revision, Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address),
	}
}

// ask answers an agent that searches for a flow.
func (a *Agent) ask(s *fleet.State, x *fleetwire.Frame) {
	f, from := flowOf(x), fleetwire.ParseAddress(x.GetOrigin())
	if !f.Caller.IsValid() || !from.IsValid() {
		a.events.count(Malformed)
		return
	}
	e := a.flows[f]
	if e == nil || !e.local() && !a.there(s, e) {
		a.sayUnknown(s, from, f, a.settled(s))
		return
	}
	a.sayOwner(s, from, f, e)
}

// sayOwner tells an agent who holds a flow.
func (a *Agent) sayOwner(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, e *entry) {
	x := a.about(fleetwire.Kind_KIND_HINT, s, f)
	x.Opened, x.Established, x.Passed = e.opened, e.established, [][]byte{a.self}
	if !e.local() {
		x.Origin = fleetwire.Address(e.owner)
	}
	a.send(to, x, nil)
}

func (a *Agent) sayUnknown(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, settled bool) {
	x := a.about(fleetwire.Kind_KIND_UNKNOWN, s, f)
	x.Settled, x.Aware = settled, a.aware
	a.send(to, x, nil)
}

// unknowing takes over that another agent does not know who holds a flow, or, in an answer to a
// CALL frame, that its target does not hold some.
func (a *Agent) unknowing(s *fleet.State, x *fleetwire.Frame) {
	from := fleetwire.ParseAddress(x.GetOrigin())
	f := flowOf(x)
	if q := a.searches[f]; q != nil {
		q.absent[from] = q.absent[from] || x.GetAware()
		if q.phase == looking && x.GetSettled() && slices.Contains(q.awaited, from) {
			q.settled++
		}
		a.replied(s, f, from, q.phase == looking || x.GetSettled())
	}
	for _, h := range x.GetHoldings() {
		f := flowOf(h)
		q := a.searches[f]
		if q == nil || !x.GetAware() {
			continue
		}
		q.absent[from] = true
		if q.phase == calling {
			a.replied(s, f, from, true)
		}
	}
}

// replied notes that an agent has answered a search, and whether its answer says that it knows no
// owner, or that its target has returned the packet.
func (a *Agent) replied(s *fleet.State, f mangokeel.Flow, from netip.AddrPort, unknowing bool) {
	q := a.searches[f]
	if q == nil {
		return
	}
	i := slices.Index(q.awaited, from)
	if i < 0 {
		return
	}
	q.awaited = slices.Delete(q.awaited, i, i+1)
	switch {
	case !unknowing:
	case q.phase == offering:
		q.returned[from] = true
	case q.phase == looking:
		q.unknowing++
	}
	a.searchOn(s, f, q)
}

// namedInVain handles an answer that names a flow's owner, and reports whether a search under way
// does not follow it, or not yet.
func (a *Agent) namedInVain(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, owner netip.AddrPort) bool {
	q := a.searches[f]
	if q == nil {
		return false
	}
	self := owner == a.cfg.Address
	q.denied = q.denied || self && x.GetEstablished()
	switch {
	case self || s.Agents[owner] == nil || contains(q.held[0].frame.GetPassed(), owner):
		// The one that is named looks for the flow itself, has left, or has passed the packet on.
		a.replied(s, f, lastPassed(x), self)
		return true
	case q.own:
		// The own target is likelier to have it than what may be an old word.
		q.named = x
		a.replied(s, f, lastPassed(x), false)
		return true
	}
	return false
}

// found ends a search: the flow's owner is known by now.
func (a *Agent) found(s *fleet.State, f mangokeel.Flow) {
	q, e := a.searches[f], a.flows[f]
	if q == nil || e == nil {
		return
	}
	delete(a.searches, f)
	delete(a.lost, f)
	for i, h := range q.held {
		if e.local() && i == 0 { // the target has it
			if len(h.frame.GetPassed()) > 0 {
				a.tell(e, h.frame, f)
			}
			continue
		}
		p, err := a.codec.Parse(h.raw)
		if err != nil {
			a.events.count(Malformed)
			continue
		}
		a.data(s, h.frame, f, p, h.raw)
	}
}

// searchOn takes a search on if nothing is awaited in its phase, or if the phase is over.
func (a *Agent) searchOn(s *fleet.State, f mangokeel.Flow, q *search) {
	over := !a.now().Before(q.until)
	switch q.phase {
	case looking:
		if !over && (len(q.awaited) > 0 || q.own) {
			return
		}
		if q.named != nil { // the own target is silent
			q.own = false
			a.hint(s, q.named)
			return
		}
		if !a.offer(s, f, q) {
			a.callRoll(s, f, q)
		}
	case offering:
		if !over && len(q.awaited) > 0 {
			return
		}
		if over || q.batches == offerBatches || !a.offer(s, f, q) {
			a.callRoll(s, f, q)
		}
	case calling:
		if over || len(q.awaited) == 0 {
			a.next(s, f, q)
		}
	case pausing:
		if over || s.Complete && !q.complete {
			a.look(s, f, q)
		}
	}
}

// next pauses before the next look, or ends the search.
func (a *Agent) next(s *fleet.State, f mangokeel.Flow, q *search) {
	ended := q.denied && !q.own || q.offered && a.knows(s, q) && a.nowhere(s, f, q)
	if ended || q.looks == lookLimit {
		a.giveUp(s, f, q, ended)
		return
	}
	q.phase, q.until, q.awaited = pausing, a.now().Add(lookPause), nil
}

// nowhere reports whether no agent holds a flow that no place knows: all have said so, or they are too
// many to call and the places would know it.
func (a *Agent) nowhere(s *fleet.State, f mangokeel.Flow, q *search) bool {
	n := len(a.remaining(s, f, q))
	told := q.settled == q.places && (q.steady || q.heard) && a.now().Sub(a.view.AllHeard()) < hearTime
	return n == 0 || n > rollLimit && told
}

// knows reports whether this agent's view is complete and recent, and no place knows an owner.
func (a *Agent) knows(s *fleet.State, q *search) bool {
	heard := a.view.Heard()
	return s.Complete && a.now().Sub(heard) < touchTime && a.stall.since(heard) &&
		!q.own && q.places > 0 && q.unknowing == q.places
}

// offer offers the flow's packet to targets whose agents do not know all their flows, or are
// silent, except those that have returned it. It returns false if there is none.
func (a *Agent) offer(s *fleet.State, f mangokeel.Flow, q *search) bool {
	route := s.Routes[f.Address]
	q.awaited, q.offered = nil, false
	if route == nil {
		return false
	}
	x, h := q.held[0].frame, hashOf(f)
	q.offered = true
	for _, service := range route.Services(h) {
		a.order = s.Order(a.order[:0], service, mangokeel.AvailabilityZone(x.GetZone()), h)
		for _, t := range a.order {
			switch {
			case t.Aware && !t.Silent || t.Agent == a.cfg.Address || q.returned[t.Agent] || contains(x.GetPassed(), t.Agent):
				continue
			case len(q.awaited) < offerLimit:
				q.awaited = append(q.awaited, t.Agent)
			}
			q.offered = false // until they have returned it
		}
	}
	if len(q.awaited) == 0 {
		return false
	}
	q.batches++
	q.phase, q.until = offering, a.now().Add(offerTime)
	out := &fleetwire.Frame{
		Kind: fleetwire.Kind_KIND_DATA, Revision: x.GetRevision(), Origin: x.GetOrigin(), Zone: x.GetZone(), Offer: true,
		Passed: append(slices.Clone(x.GetPassed()), a.self),
	}
	for _, agent := range q.awaited {
		a.send(agent, out, q.held[0].raw)
	}
	return true
}

// offered handles a packet of a flow that this agent does not know, and that a searching agent
// asks it to offer to its target.
func (a *Agent) offered(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, raw []byte) {
	if !a.mayHold(s.Routes[f.Address]) {
		a.sayUnknown(s, lastPassed(x), f, true)
		return
	}
	a.offers[f] = offer{x, a.now()}
	a.deliver(raw)
}

// declined handles a packet of an unknown flow that the own target returned.
func (a *Agent) declined(s *fleet.State, f mangokeel.Flow, x offer) {
	delete(a.offers, f)
	if x.frame != nil {
		a.sayUnknown(s, lastPassed(x.frame), f, true)
		return
	}
	q := a.searches[f]
	if q == nil || !q.own {
		return
	}
	q.own = false
	if q.named != nil {
		a.hint(s, q.named)
		return
	}
	a.searchOn(s, f, q)
}

// giveUp ends a search that found no owner. If the flow has ended, a reset frees its caller.
func (a *Agent) giveUp(s *fleet.State, f mangokeel.Flow, q *search, ended bool) {
	delete(a.searches, f)
	now := a.now()
	a.lost[f] = lost{at: now, ended: ended, returned: q.returned}
	why := []any{
		"reason", "no agent holds the flow", "looks", q.looks, "denied", q.denied, "places", q.places, "unknowing", q.unknowing,
		"settled", q.settled, "steady", q.steady, "heard", q.heard, "offered", q.offered, "absent", len(q.absent),
		"complete", s.Complete, "control", now.Sub(a.view.Heard()), "revision", s.Revision, "bytes", q.packet.Size, "request",
		lazyRequest{a.codec, q.held[0].raw},
	}
	if !ended || q.packet.Reset {
		a.events.decide(Lost, f, why...)
		return
	}
	a.events.decide(Ended, f, why...)
	a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(q.packet))
}

// expireSearches takes on the searches whose phase is over, and forgets old results.
func (a *Agent) expireSearches(s *fleet.State, now time.Time) {
	for f, q := range a.searches {
		a.searchOn(s, f, q)
	}
	for f, x := range a.offers {
		if now.Sub(x.at) > lostLife {
			delete(a.offers, f)
		}
	}
	for f, l := range a.lost {
		if now.Sub(l.at) > lostLife {
			delete(a.lost, f)
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

// lastPassed returns the agent that sent a frame on, or the zero value.
func lastPassed(x *fleetwire.Frame) netip.AddrPort {
	passed := x.GetPassed()
	if len(passed) == 0 {
		return netip.AddrPort{}
	}
	return fleetwire.ParseAddress(passed[len(passed)-1])
}
