package packet

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// rollLimit is how many agents are asked about a flow at most: an outage brings thousands of
	// flows a second that nobody holds.
	rollLimit = 64
	// rollPause is how long an agent rests for each agent that it called, which bounds the calls
	// that it sends to 2,000 a second.
	rollPause = 500 * time.Microsecond
)

// roll has the flows about which all agents of their services are asked at once. The zero value has
// none.
type roll struct {
	// flows may contain some whose search has ended meanwhile.
	flows []mangokeel.Flow
	// next is when they may be asked.
	next time.Time
}

// callRoll asks all agents which know their targets' flows whether they hold one, unless the
// search cannot end with it, or they are too many.
func (a *Agent) callRoll(s *fleet.State, f mangokeel.Flow, q *search) {
	q.awaited = nil
	if a.knows(s, q) {
		q.awaited = a.remaining(s, f, q)
	}
	if len(q.awaited) == 0 || len(q.awaited) > rollLimit {
		a.next(s, f, q)
		return
	}
	now := a.now()
	q.phase, q.until = calling, now.Add(max(0, a.roll.next.Sub(now))+lookTime)
	a.roll.flows = append(a.roll.flows, f)
	a.sendCalls(now)
}

// remaining returns the agents that know their targets' flows and have not said that this is none
// of them.
func (a *Agent) remaining(s *fleet.State, f mangokeel.Flow, q *search) (list []netip.AddrPort) {
	route := s.Routes[f.Address]
	if route == nil {
		return nil
	}
	for _, service := range route.CandidateServices(hashOf(f)) {
		for _, t := range s.Targets[service] {
			if t.KnowsAllFlows && !t.Silent && t.Agent != a.cfg.Address && !q.absent[t.Agent] {
				list = append(list, t.Agent)
			}
		}
	}
	return list
}

// sendCalls asks about the flows that wait for it, if it is time.
func (a *Agent) sendCalls(now time.Time) {
	if len(a.roll.flows) == 0 || now.Before(a.roll.next) {
		return
	}
	s := a.view.State()
	sent := 0
	frames := holdings{}
	for _, f := range a.roll.flows {
		q := a.searches[f]
		if q == nil || q.phase != calling {
			continue
		}
		q.until = now.Add(lookTime)
		for _, agent := range q.awaited {
			h := &fleetwire.Holding{Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address)}
			if a.addHolding(frames, fleetwire.Kind_KIND_CALL, s.Revision, agent, h) {
				sent++
			}
		}
	}
	a.sendHoldings(frames)
	a.roll.flows = a.roll.flows[:0]
	a.roll.next = now.Add(time.Duration(sent) * rollPause)
}

// called answers an agent that asks whether the own target holds any of some flows.
func (a *Agent) called(s *fleet.State, x *fleetwire.Frame) {
	from := fleetwire.ParseAddress(x.GetOrigin())
	if !from.IsValid() {
		a.events.count(Malformed)
		return
	}
	out := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_UNKNOWN, Origin: a.self, Revision: s.Revision, Aware: a.aware}
	for _, h := range x.GetHoldings() {
		f := flowOf(h)
		if e := a.flows[f]; e != nil && e.local() {
			a.sayOwner(s, from, f, e)
			continue
		}
		out.Holdings = append(out.Holdings, h)
	}
	a.send(from, out, nil)
}
