package packet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// immediateRegistrars is how many registrars are informed of a flow when it is accepted. It is
	// more than one in case a frame is lost.
	immediateRegistrars = 2
	// registerDelay is the age at which a flow is registered with all its registrars. Most flows
	// carry one request and have ended by then.
	registerDelay = 100 * time.Millisecond
	// maxRegisterDelay is the age by which an owner has sent a flow to all its registrars: one
	// sweep later.
	maxRegisterDelay = registerDelay + 50*time.Millisecond
	// registerInterval is how often a flow is registered again, in case a frame was lost.
	registerInterval = 5 * time.Second
	// maxHoldingsPerFrame is how many flows one frame names, so that it fits into a packet of
	// 1,500 bytes.
	maxHoldingsPerFrame = 48
)

// registrar is an incarnation of an agent that was informed of a flow. The registrars of a flow are
// the agents that fleet.State.Registrars returns: its owner keeps them informed, and agents that
// search for the flow ask them.
type registrar struct {
	agent netip.AddrPort
	start uint64
}

// holdingFrames are unsent frames that name flows, by the agent that receives them.
type holdingFrames map[netip.AddrPort]*fleetwire.Frame

// addHolding adds a flow to the frame for an agent and sends the frame once it is full. It reports
// whether it began a new frame.
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

// sendHoldings sends the frames that are not full, in the order of their receivers.
func (a *Agent) sendHoldings(frames holdingFrames) {
	for _, to := range slices.SortedFunc(maps.Keys(frames), netip.AddrPort.Compare) {
		a.send(to, frames[to], nil)
	}
}

// registerFlows informs registrars of the flows the local target holds. It includes flows that have
// reached registerDelay or have just been established, flows with new or restarted registrars, and
// every flow once in each registerInterval.
func (a *Agent) registerFlows(s *fleet.State, now time.Time) {
	a.flowBuf = a.flowBuf[:0]
	for f, e := range a.flows {
		if e.local() && e.open() && now.Sub(e.acceptedAt) >= registerDelay && (e.registeredRoster != s.RosterVersion || e.registrationDue(now)) {
			a.flowBuf = append(a.flowBuf, f)
		}
	}
	slices.SortFunc(a.flowBuf, compareFlows)
	frames := holdingFrames{}
	for _, f := range a.flowBuf {
		e := a.flows[f]
		a.registerFlow(s, frames, f, e, e.registrationDue(now))
	}
	a.sendHoldings(frames)
}

// registrationDue reports whether all registrars of a flow must be informed, and not the new ones only.
func (e *flowEntry) registrationDue(now time.Time) bool {
	return now.Sub(e.registeredAt) > registerInterval || e.registeredEstablished != e.established
}

// registerAccepted informs the first registrars of a flow that the local target has accepted it. It
// must be called before the caller receives the answer, so that later packets of the flow can be
// routed even if this process stops at once.
func (a *Agent) registerAccepted(f mangokeel.Flow, e *flowEntry) {
	s := a.view.State()
	a.targetBuf = s.Registrars(a.targetBuf[:0], hashOf(f))
	x := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_HOLD, Origin: a.encodedAddress, Revision: s.Revision, Holdings: []*fleetwire.Holding{newHolding(f, e)}}
	for _, t := range a.targetBuf[:min(immediateRegistrars, len(a.targetBuf))] {
		if t.Agent != a.cfg.Address {
			a.send(t.Agent, x, nil)
		}
	}
}

// newHolding returns the description of a flow that registrars receive.
func newHolding(f mangokeel.Flow, e *flowEntry) *fleetwire.Holding {
	return &fleetwire.Holding{
		Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address), Opened: e.openSequence, Established: e.established,
	}
}

// registerFlow adds a flow to the frames for all its registrars, or for the new ones only.
func (a *Agent) registerFlow(s *fleet.State, frames holdingFrames, f mangokeel.Flow, e *flowEntry, toAll bool) {
	if toAll {
		e.registeredAt = a.now()
	}
	e.registeredRoster, e.registeredEstablished = s.RosterVersion, e.established
	a.targetBuf = s.Registrars(a.targetBuf[:0], hashOf(f))
	registrars := make([]registrar, 0, len(a.targetBuf))
	for _, t := range a.targetBuf {
		p := registrar{t.Agent, t.Start}
		registrars = append(registrars, p)
		if t.Agent == a.cfg.Address || !toAll && slices.Contains(e.registrars, p) {
			continue
		}
		a.addHolding(frames, fleetwire.Kind_KIND_HOLD, s.Revision, t.Agent, newHolding(f, e))
	}
	e.registrars = registrars
}

// handleHold records the flows that another agent's target holds.
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

// recordOwner records that another agent's target holds a flow.
func (a *Agent) recordOwner(f mangokeel.Flow, owner netip.AddrPort, opened uint32, established bool) {
	e := a.flows[f]
	if e != nil && e.owner != owner && e.takesPrecedence(opened, established) {
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

// takesPrecedence reports whether a flow is kept although another agent names itself the owner. Copies
// of an opening packet may have reached two targets; the one with which the caller continues takes
// precedence. A flow that the local target serves is kept: if the target no longer has it, it returns
// the next packet. So is one that the local target has accepted while the caller has continued with
// neither: the caller may have taken either answer, and this agent must not deny the flow in a search.
func (e *flowEntry) takesPrecedence(opened uint32, established bool) bool {
	if e.established {
		return !established || e.local() && !e.closed
	}
	return !established && e.local() && e.open() && e.openSequence == opened
}

// observeView records when the view first became complete.
func (a *Agent) observeView(s *fleet.State, now time.Time) {
	if a.completeAt.IsZero() && s.Complete && s.Agents[a.cfg.Address] != nil {
		a.completeAt = now
	}
}

// settled reports whether all owners have had the time to register their flows with this agent.
func (a *Agent) settled(s *fleet.State) bool {
	now := a.now()
	a.observeView(s, now)
	switch {
	case a.completeAt.IsZero() || now.Sub(a.completeAt) < settlingTime:
		return false
	case !a.fresh && now.Sub(a.startedAt) < restartSettlingTime:
		return false
	case now.Sub(a.stall.resumedAt) < settlingTime: // registrations sent during the stall may be lost
		return false
	}
	lastContact := a.view.LastContact()
	return now.Sub(lastContact) < maxControlAge && a.stall.resumedBefore(lastContact)
}
