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
	// all flows of their targets, and pausing ones for the next look.
	looking phase = iota
	offering
	pausing
)

// search looks for the owner of a flow that an agent does not know. It asks the places of the
// flow, which owners keep informed, and then those agents which themselves do not know what
// their targets hold, because they have started again. The number of places does not depend on
// the size of the fleet, and that of the others is bounded for each packet.
//
// A flow counts as ended if all of its places answer, do not know it, and would know it; if no
// other agent may hold it without knowing; and if this agent's view is complete and recent.
// The first places hear of a flow before its caller does, the last a little later. So besides,
// all nodes must have had the same places for a while; or control must have heard of all agents
// since the search began, when they have had the time to tell. A flow also counts as ended if the
// target that had it returns its packet.
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
	// places counts the places of the present look, unknowing those of them whose answers say
	// that the flow has no owner.
	places, unknowing int
	looks             int
	// steady is set if all nodes have had the same places for a while, and heard if all agents
	// had the time to tell of the flow, before the present look.
	steady, heard bool
	// named is the answer of a place while the own target is asked.
	named *fleetwire.Frame
	// agreed is set if the present look says that the flow has ended, and denied once the own
	// target, which had it, returned its packet.
	agreed, denied bool
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
	q := &search{packet: p, began: a.now(), held: []held{{x, slices.Clone(raw)}}, own: own, returned: map[netip.AddrPort]bool{}}
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
	q.steady = now.Sub(s.Steady) >= settleTime
	if q.heard = !a.view.AllHeard().Before(q.began.Add(tellTime)); !q.heard && !q.steady {
		a.newer()
	}
	a.order = s.Places(a.order[:0], hashOf(f))
	q.awaited, q.places, q.unknowing, q.batches = nil, len(a.order), 0, 0
	a.events.decide(Searched, f, "request", lazyRequest{a.codec, q.held[0].raw}, "places", q.places, "look", q.looks,
		"complete", s.Complete, "roster", s.Roster)
	x := a.about(fleetwire.Kind_KIND_ASK, s, f)
	for _, t := range a.order {
		if t.Agent != a.cfg.Address {
			q.awaited = append(q.awaited, t.Agent)
			a.send(t.Agent, x, nil)
		} else if a.settled(s) {
			q.unknowing++
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
	if e == nil || !e.local() && s.Agents[e.owner] == nil {
		a.sayUnknown(s, from, f, a.settled(s))
		return
	}
	out := a.about(fleetwire.Kind_KIND_HINT, s, f)
	out.Opened, out.Established, out.Passed = e.opened, e.established, [][]byte{a.self}
	if !e.local() {
		out.Origin = fleetwire.Address(e.owner)
	}
	a.send(from, out, nil)
}

func (a *Agent) sayUnknown(s *fleet.State, to netip.AddrPort, f mangokeel.Flow, settled bool) {
	x := a.about(fleetwire.Kind_KIND_UNKNOWN, s, f)
	x.Settled = settled
	a.send(to, x, nil)
}

// replied notes that an agent has answered a search, and whether its answer says that the flow
// has no owner.
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
	case q.phase == offering && unknowing:
		q.returned[from] = true
	case unknowing:
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
		q.agreed = a.agrees(s, q)
		if !a.offer(s, f, q) {
			a.next(s, f, q)
		}
	case offering:
		if !over && len(q.awaited) > 0 {
			return
		}
		if over || q.batches == offerBatches || !a.offer(s, f, q) {
			a.next(s, f, q)
		}
	case pausing:
		if over {
			a.look(s, f, q)
		}
	}
}

// agrees reports whether the present look says that the flow has ended.
func (a *Agent) agrees(s *fleet.State, q *search) bool {
	now := a.now()
	heard := a.view.Heard()
	complete := s.Complete && now.Sub(heard) < touchTime && a.stall.since(heard) && now.Sub(a.view.AllHeard()) < hearTime
	return complete && !q.own && q.places > 0 && q.unknowing == q.places && (q.steady || q.heard)
}

// next pauses before the next look, or ends the search.
func (a *Agent) next(s *fleet.State, f mangokeel.Flow, q *search) {
	if ended := q.agreed && q.offered || q.denied && !q.own; ended || q.looks == lookLimit {
		a.giveUp(s, f, q, ended)
		return
	}
	q.phase, q.until, q.awaited = pausing, a.now().Add(lookPause), nil
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
		"reason", "no agent holds the flow", "looks", q.looks, "agreed", q.agreed, "denied", q.denied, "steady", q.steady, "heard", q.heard,
		"offered", q.offered, "unknowing", q.unknowing,
		"complete", s.Complete, "control", now.Sub(a.view.Heard()), "revision", s.Revision, "bytes", q.packet.Size,
		"request",
		lazyRequest{a.codec, q.held[0].raw},
	}
	if !ended || q.packet.Reset {
		a.events.decide(Lost, f, why...)
		return
	}
	a.events.decide(Ended, f, why...)
	a.link.Caller(f.Caller.Addr(), a.codec.Reset(q.packet))
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
