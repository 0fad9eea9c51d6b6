package packet

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// maxQueriedAgents is how many agents are asked about a flow at most: an outage brings thousands of
	// flows a second that nobody holds.
	maxQueriedAgents = 64
	// queryInterval is how long an agent rests for each agent that it called, which bounds the calls
	// that it sends to 2,000 a second.
	queryInterval = 500 * time.Microsecond
)

// queryBatch has the flows about which all agents of their services are asked at once. The zero value has
// none.
type queryBatch struct {
	// flows may contain some whose search has ended meanwhile.
	flows []mangokeel.Flow
	// nextAt is when they may be asked.
	nextAt time.Time
}

// queryAllAgents asks all agents which know their targets' flows whether they hold one, unless the
// search cannot end with it, or they are too many.
func (a *Agent) queryAllAgents(s *fleet.State, f mangokeel.Flow, q *search) {
	q.pending = nil
	if a.noKnownOwner(s, q) {
		q.pending = a.possibleOwners(s, f, q)
	}
	if len(q.pending) == 0 || len(q.pending) > maxQueriedAgents {
		a.finishRound(s, f, q)
		return
	}
	now := a.now()
	q.phase, q.deadline = queryingAgents, now.Add(max(0, a.queries.nextAt.Sub(now))+replyTimeout)
	a.queries.flows = append(a.queries.flows, f)
	a.sendQueries(now)
}

// possibleOwners returns the agents that know their targets' flows and have not said that this is none
// of them.
func (a *Agent) possibleOwners(s *fleet.State, f mangokeel.Flow, q *search) (list []netip.AddrPort) {
	route := s.Routes[f.Address]
	if route == nil {
		return nil
	}
	for _, service := range route.Services(hashOf(f)) {
		for _, t := range s.Targets[service] {
			if t.Aware && !t.Silent && t.Agent != a.cfg.Address && !q.nonOwners[t.Agent] {
				list = append(list, t.Agent)
			}
		}
	}
	return list
}

// sendQueries asks about the flows that wait for it, if it is time.
func (a *Agent) sendQueries(now time.Time) {
	if len(a.queries.flows) == 0 || now.Before(a.queries.nextAt) {
		return
	}
	s := a.view.State()
	sent := 0
	frames := holdingFrames{}
	for _, f := range a.queries.flows {
		q := a.searches[f]
		if q == nil || q.phase != queryingAgents {
			continue
		}
		q.deadline = now.Add(replyTimeout)
		for _, agent := range q.pending {
			h := &fleetwire.Holding{Caller: fleetwire.Address(f.Caller), Address: fleetwire.Address(f.Address)}
			if a.addHolding(frames, fleetwire.Kind_KIND_CALL, s.Revision, agent, h) {
				sent++
			}
		}
	}
	a.sendHoldings(frames)
	a.queries.flows = a.queries.flows[:0]
	a.queries.nextAt = now.Add(time.Duration(sent) * queryInterval)
}

// handleCall answers an agent that asks whether the own target holds any of some flows.
func (a *Agent) handleCall(s *fleet.State, x *fleetwire.Frame) {
	from := fleetwire.ParseAddress(x.GetOrigin())
	if !from.IsValid() {
		a.events.count(Malformed)
		return
	}
	out := &fleetwire.Frame{Kind: fleetwire.Kind_KIND_UNKNOWN, Origin: a.encodedAddress, Revision: s.Revision, Aware: a.aware}
	for _, h := range x.GetHoldings() {
		f := flowOf(h)
		if e := a.flows[f]; e != nil && e.local() {
			a.replyOwner(s, from, f, e)
			continue
		}
		out.Holdings = append(out.Holdings, h)
	}
	a.send(from, out, nil)
}
