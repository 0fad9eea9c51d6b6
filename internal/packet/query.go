package packet

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// maxQueriedAgents is how many agents are queried about a flow at most: after an outage,
	// thousands of flows a second arrive that no agent holds.
	maxQueriedAgents = 64
	// queryInterval is the pause after a batch for each frame that it sent. It bounds the frames
	// to 2,000 a second.
	queryInterval = 500 * time.Microsecond
)

// queryBatch collects the flows about which all agents of their services are queried at once. The
// zero value is empty.
type queryBatch struct {
	// flows may contain some whose search has ended since.
	flows []mangokeel.Flow
	// nextAt is when the next batch may be sent.
	nextAt time.Time
}

// queryAllAgents asks all agents that know their targets' flows whether they hold one. It skips
// the queries if the replies could not end the search, or if there are too many agents.
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

// possibleOwners returns the other agents of the flow's services that are not silent, know all
// flows of their targets, and have not reported that this flow is not among them.
func (a *Agent) possibleOwners(s *fleet.State, f mangokeel.Flow, q *search) (list []netip.AddrPort) {
	route := s.Routes[f.Address]
	if route == nil {
		return nil
	}
	for _, service := range route.CandidateServices(hashOf(f)) {
		for _, t := range s.Targets[service] {
			if t.KnowsAllFlows && !t.Silent && t.Agent != a.cfg.Address && !q.nonOwners[t.Agent] {
				list = append(list, t.Agent)
			}
		}
	}
	return list
}

// sendQueries sends the collected queries if the pause after the last batch is over.
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

// handleCall answers an agent that asks which of some flows the local target holds.
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
