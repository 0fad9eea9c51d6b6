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
	// tellAtOnce is how many places hear of a flow when it is accepted, in case a frame is lost.
	tellAtOnce = 2
	// tellAfter is how old a flow is before all its places hear of it. Most flows carry one request
	// and have ended by then.
	tellAfter = 100 * time.Millisecond
	// tellTime is how old it is when they have heard: a sweep later.
	tellTime = tellAfter + 50*time.Millisecond
	// tellPeriod is how often places hear of a flow again, in case a frame was lost.
	tellPeriod = 5 * time.Second
	// tellLimit is how many flows a frame names, so that it fits into one packet of 1,500 bytes.
	tellLimit = 48
)

// place is an incarnation of an agent that was told of a flow.
type place struct {
	agent netip.AddrPort
	start uint64
}

// holdings are frames that name flows and are not sent yet, by the agent that gets them.
type holdings map[netip.AddrPort]*fleetwire.Frame

// addHolding adds a flow to the frame for an agent, which is sent once it is full, and reports
// whether it began a frame.
func (a *Agent) addHolding(frames holdings, kind fleetwire.Kind, revision uint64, to netip.AddrPort, h *fleetwire.Holding) (began bool) {
	x := frames[to]
	if x == nil {
		began = true
		x = &fleetwire.Frame{Kind: kind, Origin: a.self, Revision: revision}
		frames[to] = x
	}
	x.Holdings = append(x.Holdings, h)
	if len(x.GetHoldings()) == tellLimit {
		a.send(to, x, nil)
		delete(frames, to)
	}
	return began
}

// sendHoldings sends the frames that are left.
func (a *Agent) sendHoldings(frames holdings) {
	for to, x := range frames {
		a.send(to, x, nil)
	}
}

// tellPlaces tells the places of the own target's flows that it holds them: flows that have
// lasted for a while, places that are new or have started again, and all of them now and then.
func (a *Agent) tellPlaces(s *fleet.State, now time.Time) {
	frames := holdings{}
	for f, e := range a.flows {
		if !e.local() || !e.open() || now.Sub(e.acceptedAt) < tellAfter {
			continue
		}
		again := now.Sub(e.toldAt) > tellPeriod || e.toldEstablished != e.established
		if again || e.toldRoster != s.RosterVersion {
			a.tellFlow(s, frames, f, e, again)
		}
	}
	a.sendHoldings(frames)
}

// tellFirst tells the first places of a flow that the own target has accepted it. It is called
// before the caller hears, so that no packet of the flow can be looked for in vain, even if this
// process stops at once.
func (a *Agent) tellFirst(f mangokeel.Flow, e *entry) {
	s := a.view.State()
	a.order = s.Trackers(a.order[:0], hashOf(f))
	x := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_HOLD, Origin: a.self, Revision: s.Revision, Holdings: []*fleetwire.Holding{holding(f, e)}}
	for _, t := range a.order[:min(tellAtOnce, len(a.order))] {
		if t.Agent != a.cfg.Address {
			a.send(t.Agent, x, nil)
		}
	}
}

func holding(f mangokeel.Flow, e *entry) *fleetwire.Holding {
	return &fleetwire.Holding{
		Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address), Opened: e.opened, Established: e.established,
	}
}

// tellFlow adds a flow to the frames for its places, or only for those that are new.
func (a *Agent) tellFlow(s *fleet.State, frames holdings, f mangokeel.Flow, e *entry, all bool) {
	if all {
		e.toldAt = a.now()
	}
	e.toldRoster, e.toldEstablished = s.RosterVersion, e.established
	a.order = s.Trackers(a.order[:0], hashOf(f))
	told := make([]place, 0, len(a.order))
	for _, t := range a.order {
		p := place{t.Agent, t.Start}
		told = append(told, p)
		if t.Agent == a.cfg.Address || !all && slices.Contains(e.told, p) {
			continue
		}
		a.addHolding(frames, fleetwire.Kind_KIND_HOLD, s.Revision, t.Agent, holding(f, e))
	}
	e.told = told
}

// hold takes over which flows another agent's target holds.
func (a *Agent) hold(x *fleetwire.Frame) {
	owner := fleetwire.ParseAddress(x.GetOrigin())
	if !owner.IsValid() || owner == a.cfg.Address {
		a.events.count(Malformed)
		return
	}
	for _, h := range x.GetHoldings() {
		f := flowOf(h)
		if !f.Caller.IsValid() {
			a.events.count(Malformed)
			continue
		}
		a.owned(f, owner, h.GetOpened(), h.GetEstablished())
	}
}

// owned notes that another agent's target holds a flow. Copies of an opening packet may have
// opened it at two targets; the one that the caller goes on with counts. A flow that the own target
// serves stays: if it no longer does, it returns the next packet.
func (a *Agent) owned(f mangokeel.Flow, owner netip.AddrPort, opened uint32, established bool) {
	e := a.flows[f]
	if e != nil && e.established && e.owner != owner && (!established || e.local() && !e.closed) {
		return
	}
	if e != nil && e.local() {
		a.forget(f, e)
	}
	if e == nil || e.local() {
		e = &entry{}
		a.flows[f] = e
	}
	e.owner, e.opened, e.established, e.seen, e.named = owner, opened, established, a.now(), a.now()
}

// observeView notes when the view first became complete.
func (a *Agent) observeView(s *fleet.State, now time.Time) {
	if a.completeAt.IsZero() && s.Complete && s.Agents[a.cfg.Address] != nil {
		a.completeAt = now
	}
}

// settled reports whether each owner of a flow whose place this agent is has had the time to
// tell it of the flow.
func (a *Agent) settled(s *fleet.State) bool {
	now := a.now()
	a.observeView(s, now)
	switch {
	case a.completeAt.IsZero() || now.Sub(a.completeAt) < settleTime:
		return false
	case !a.fresh && now.Sub(a.started) < restartTime:
		return false
	case now.Sub(a.stall.woke) < settleTime: // what owners told meanwhile may be lost
		return false
	}
	heard := a.view.LastContact()
	return now.Sub(heard) < touchTime && a.stall.since(heard)
}
