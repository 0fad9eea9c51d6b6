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
	// immediateRegistrars is how many places hear of a flow when it is accepted, in case a frame is lost.
	immediateRegistrars = 2
	// registerDelay is how old a flow is before all its places hear of it. Most flows carry one request
	// and have ended by then.
	registerDelay = 100 * time.Millisecond
	// maxRegisterDelay is how old it is when they have heard: a sweep later.
	maxRegisterDelay = registerDelay + 50*time.Millisecond
	// registerInterval is how often places hear of a flow again, in case a frame was lost.
	registerInterval = 5 * time.Second
	// maxHoldingsPerFrame is how many flows a frame names, so that it fits into one packet of 1,500 bytes.
	maxHoldingsPerFrame = 48
)

// registrar is an incarnation of an agent that was told of a flow.
type registrar struct {
	agent netip.AddrPort
	start uint64
}

// holdingFrames are frames that name flows and are not sent yet, by the agent that gets them.
type holdingFrames map[netip.AddrPort]*fleetwire.Frame

// addHolding adds a flow to the frame for an agent, which is sent once it is full, and reports
// whether it began a frame.
func (a *Agent) addHolding(frames holdingFrames, kind fleetwire.Kind, revision uint64, to netip.AddrPort, h *fleetwire.Holding) (began bool) {
	x := frames[to]
	if x == nil {
		began = true
		x = &fleetwire.Frame{Kind: kind, Origin: a.encodedAddress, Revision: revision}
		frames[to] = x
	}
	x.Holdings = append(x.Holdings, h)
	if len(x.GetHoldings()) == maxHoldingsPerFrame {
		a.send(to, x, nil)
		delete(frames, to)
	}
	return began
}

// sendHoldings sends the frames that are left.
func (a *Agent) sendHoldings(frames holdingFrames) {
	for to, x := range frames {
		a.send(to, x, nil)
	}
}

// registerFlows tells the places of the own target's flows that it holds them: flows that have
// lasted for a while, places that are new or have started again, and all of them now and then.
func (a *Agent) registerFlows(s *fleet.State, now time.Time) {
	frames := holdingFrames{}
	for f, e := range a.flows {
		if !e.local() || !e.open() || now.Sub(e.acceptedAt) < registerDelay {
			continue
		}
		again := now.Sub(e.registeredAt) > registerInterval || e.registeredEstablished != e.established
		if again || e.registeredRoster != s.Roster {
			a.registerFlow(s, frames, f, e, again)
		}
	}
	a.sendHoldings(frames)
}

// registerAccepted tells the first places of a flow that the own target has accepted it. It is called
// before the caller hears, so that no packet of the flow can be looked for in vain, even if this
// process stops at once.
func (a *Agent) registerAccepted(f mangokeel.Flow, e *flowEntry) {
	s := a.view.State()
	a.orderBuf = s.Places(a.orderBuf[:0], hashOf(f))
	x := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_HOLD, Origin: a.encodedAddress, Revision: s.Revision, Holdings: []*fleetwire.Holding{newHolding(f, e)}}
	for _, t := range a.orderBuf[:min(immediateRegistrars, len(a.orderBuf))] {
		if t.Agent != a.cfg.Address {
			a.send(t.Agent, x, nil)
		}
	}
}

func newHolding(f mangokeel.Flow, e *flowEntry) *fleetwire.Holding {
	return &fleetwire.Holding{
		Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address), Opened: e.openSequence, Established: e.established,
	}
}

// registerFlow adds a flow to the frames for its places, or only for those that are new.
func (a *Agent) registerFlow(s *fleet.State, frames holdingFrames, f mangokeel.Flow, e *flowEntry, all bool) {
	if all {
		e.registeredAt = a.now()
	}
	e.registeredRoster, e.registeredEstablished = s.Roster, e.established
	a.orderBuf = s.Places(a.orderBuf[:0], hashOf(f))
	told := make([]registrar, 0, len(a.orderBuf))
	for _, t := range a.orderBuf {
		p := registrar{t.Agent, t.Start}
		told = append(told, p)
		if t.Agent == a.cfg.Address || !all && slices.Contains(e.registrars, p) {
			continue
		}
		a.addHolding(frames, fleetwire.Kind_KIND_HOLD, s.Revision, t.Agent, newHolding(f, e))
	}
	e.registrars = told
}

// handleHold takes over which flows another agent's target holds.
func (a *Agent) handleHold(x *fleetwire.Frame) {
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
		a.recordOwner(f, owner, h.GetOpened(), h.GetEstablished())
	}
}

// recordOwner notes that another agent's target holds a flow. Copies of an opening packet may have
// opened it at two targets; the one that the caller goes on with counts. A flow that the own target
// serves stays: if it no longer does, it returns the next packet.
func (a *Agent) recordOwner(f mangokeel.Flow, owner netip.AddrPort, opened uint32, established bool) {
	e := a.flows[f]
	if e != nil && e.established && e.owner != owner && (!established || e.local() && !e.closed) {
		return
	}
	if e != nil && e.local() {
		a.removeFlow(f, e)
	}
	if e == nil || e.local() {
		e = &flowEntry{}
		a.flows[f] = e
	}
	e.owner, e.openSequence, e.established, e.lastSeen, e.ownerNamedAt = owner, opened, established, a.now(), a.now()
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
	case a.completeAt.IsZero() || now.Sub(a.completeAt) < settlingTime:
		return false
	case !a.fresh && now.Sub(a.startedAt) < restartSettlingTime:
		return false
	case now.Sub(a.stall.resumedAt) < settlingTime: // what owners told meanwhile may be lost
		return false
	}
	heard := a.view.Heard()
	return now.Sub(heard) < maxControlAge && a.stall.resumedBefore(heard)
}
