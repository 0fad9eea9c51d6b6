package packet

import (
	"math"
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// loadDecayTime is how long what an agent said of its load counts: several service
	// times of small requests.
	loadDecayTime = 200 * time.Millisecond
	// crossZoneCost is what a target in another zone takes longer: a round trip between zones.
	crossZoneCost = 3 * time.Millisecond
	// coldCostFactor is how much longer a cold target takes than its last requests show.
	coldCostFactor = 2.0
	// defaultServiceTime is the service time of a target that has not answered yet: that of a
	// small request.
	defaultServiceTime = 15 * time.Millisecond
	// serviceTimeWeight is the part of the estimate that a new answer replaces.
	serviceTimeWeight = 0.1
	// serviceTimeTTL is how long an agent's word on its service time counts.
	serviceTimeTTL = 2 * time.Second
	// failureWeight is the part of the share of failures that a new answer replaces.
	failureWeight = 0.1
	// failureNoise is the share of failures that counts as none: that of a single one.
	failureNoise = failureWeight
	// failureDecayTime is how long failures count without further answers: a failing target gets
	// flows again after it, so that its recovery shows.
	failureDecayTime = 5 * time.Second
	// failureCost is what a failed answer costs its caller: the deadlines of small requests
	// begin at half a second.
	failureCost = 500 * time.Millisecond
	// abandonedFailureFactor is how much longer than expected a target may work on a request before it has
	// failed it when the caller gives up: most requests take less than twice the mean.
	abandonedFailureFactor = 3
	// minComparedPeers is how many others must be known for a comparison.
	minComparedPeers = 3
	// slowFactor is how much slower than others a target is that takes no flow without a
	// comparison, even with a free slot.
	slowFactor = 2
	// passedFlowTimeout is how long an agent may leave passed flows unanswered before it counts
	// as silent: it accepts them within waitMost.
	passedFlowTimeout = waitMost + 50*time.Millisecond
	// minUnansweredFlows is how many flows it takes.
	minUnansweredFlows = 2
	// initialRetryDelay is after how long a silent agent gets a flow all the same. Each further one that it
	// does not answer doubles the time, up to answerRetryMost: cuts last for seconds.
	initialRetryDelay = time.Second
	maxRetryDelay     = 8 * time.Second
	// maxRequestsPerSlot is how much work for each slot a target gets at most: hosts queue a few
	// requests for each slot.
	maxRequestsPerSlot = 5
	// finishTimeDivisor is the part of a route's target time within which the target must be able
	// to answer one more request. With waitShare and the way it makes up the whole.
	finishTimeDivisor = 3
)

// loadEstimate is what an agent believes of another agent's load.
type loadEstimate struct {
	busy        float64
	serviceTime time.Duration
	// failureRate is the share of requests that the target fails.
	failureRate float64
	updatedAt   time.Time
	// unanswered counts the flows passed to the agent since it last said anything,
	// waiting is the time of the first of them and passed of the last.
	unanswered                    int
	unansweredSince, lastPassedAt time.Time
}

// expectedServiceTime returns the expected service expectedServiceTime of the agent's target.
func (e *loadEstimate) expectedServiceTime(now time.Time) time.Duration {
	if !e.hasServiceTime(now) {
		return defaultServiceTime
	}
	return e.serviceTime
}

// hasServiceTime reports whether the agent told its service time lately.
func (e *loadEstimate) hasServiceTime(now time.Time) bool {
	return e != nil && e.serviceTime > 0 && now.Sub(e.updatedAt) < serviceTimeTTL
}

// expectedFailureRate returns the share of requests that the agent's target fails.
func (e *loadEstimate) expectedFailureRate(now time.Time) float64 {
	if e == nil || now.Sub(e.updatedAt) >= serviceTimeTTL {
		return 0
	}
	return e.failureRate
}

// unresponsive reports whether the agent does not answer.
func (e *loadEstimate) unresponsive(now time.Time) bool {
	return e != nil && e.unanswered >= minUnansweredFlows && now.Sub(e.unansweredSince) > passedFlowTimeout && now.Sub(e.lastPassedAt) < e.retryDelay()
}

// retryDelay returns how long a silent agent gets no flow.
func (e *loadEstimate) retryDelay() time.Duration {
	d := initialRetryDelay
	for range e.unanswered - minUnansweredFlows {
		if d = min(2*d, maxRetryDelay); d == maxRetryDelay {
			break
		}
	}
	return d
}

// recordIgnored notes that the agent left a flow unanswered for so long that its caller has sent a copy.
func (e *loadEstimate) recordIgnored(now time.Time) {
	e.unanswered = max(e.unanswered, minUnansweredFlows)
	if since := now.Add(-passedFlowTimeout - 1); e.unansweredSince.After(since) {
		e.unansweredSince = since
	}
	e.lastPassedAt = now
}

// recordPassed notes a flow that is passed to the agent.
func (e *loadEstimate) recordPassed(now time.Time) {
	if e.unanswered == 0 {
		e.unansweredSince = now
	}
	e.unanswered++
	e.lastPassedAt = now
}

// targetStats estimates how long a target works on a request and how often it fails. The zero
// value has no estimate.
type targetStats struct {
	meanServiceTime float64
	// failureAverage is the share of failures at the time failed.
	failureAverage float64
	lastOutcome    time.Time
}

// recordServiceTime takes an answer that came d after its request, with that much work for each slot
// at the time.
func (s *targetStats) recordServiceTime(d time.Duration, ahead float64) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = float64(defaultServiceTime) // one answer says little
	}
	s.meanServiceTime += serviceTimeWeight * (float64(d)/max(1, ahead) - s.meanServiceTime)
}

// recordOutcome takes over whether the target could serve a request.
func (s *targetStats) recordOutcome(now time.Time, failed bool) {
	s.failureAverage = (1 - failureWeight) * s.failureRate(now)
	if failed {
		s.failureAverage += failureWeight
	}
	s.lastOutcome = now
}

// failureRate returns the share of requests that the target fails.
func (s *targetStats) failureRate(now time.Time) float64 {
	return s.failureAverage * max(0, 1-float64(now.Sub(s.lastOutcome))/float64(failureDecayTime))
}

// serviceTime returns the estimate.
func (s *targetStats) serviceTime() time.Duration {
	if s.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return time.Duration(s.meanServiceTime)
}

// expectedBusy returns the work in progress that is to be expected: what the agent told, and the flows
// that were passed to it and not answered.
func (e *loadEstimate) expectedBusy(now time.Time) float64 {
	if e == nil {
		return 0
	}
	left := 1 - float64(now.Sub(e.updatedAt))/float64(loadDecayTime)
	placed := 0
	if now.Sub(e.lastPassedAt) < passedFlowTimeout {
		placed = e.unanswered
	}
	return max(0, left)*e.busy + float64(placed)
}

// perMille is the unit of fleetwire.Load.Failing.
const perMille = 1000

// load returns what this agent tells of its target.
func (a *Agent) load() *fleetwire.Load {
	return &fleetwire.Load{
		Busy:      uint32(max(0, a.busy) + len(a.queue.list)),
		Flows:     uint32(max(0, a.open)),
		Slots:     uint32(a.gate.slots),
		ServiceUs: uint32(min(a.service.meanServiceTime/float64(time.Microsecond), math.MaxUint32)),
		Failing:   uint32(perMille * a.service.failureRate(a.now())),
	}
}

// recordSenderLoad takes over what the sender of a frame says of its load.
func (a *Agent) recordSenderLoad(x *fleetwire.Frame) {
	l := x.GetLoad()
	if l == nil {
		return
	}
	var from netip.AddrPort
	switch passed := x.GetPassed(); {
	case x.GetKind() == fleetwire.Kind_KIND_HINT:
		from = fleetwire.ParseAddress(x.GetOrigin())
	case len(passed) > 0:
		from = fleetwire.ParseAddress(passed[len(passed)-1])
	}
	if from.IsValid() {
		a.loads[from] = &loadEstimate{
			busy:        float64(l.GetBusy()),
			serviceTime: time.Duration(l.GetServiceUs()) * time.Microsecond,
			failureRate: float64(l.GetFailing()) / perMille,
			updatedAt:   a.now(),
		}
	}
}

// chooseService decides by which configuration a flow is opened: the newest of this agent's and
// the sender's. It returns false if the route does not exist.
func (a *Agent) chooseService(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow) (service string, ok bool) {
	if x.GetRevision() > s.Revision {
		return x.GetService(), x.GetService() != ""
	}
	route := s.Routes[f.Address]
	if route == nil {
		return "", false
	}
	service = x.GetService()
	if !route.Allows(service) {
		service = route.Choose(hashOf(f))
	}
	x.Revision, x.Service = s.Revision, service
	return service, service != ""
}

// placeFlow finds a target for a new flow.
func (a *Agent) placeFlow(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, ok := a.chooseService(s, x, f)
	if !ok {
		a.refuse(x, f, p, "no route")
		return
	}
	own := len(a.queue.list) == 0 && a.acceptsNow(s, service, f)
	if own && a.busy < a.gate.slots && !a.slowerThanPeers(s, service) && !a.failsMoreThanPeers(s, service) {
		a.accept(x, f, p, raw)
		return
	}
	if a.passToBetter(s, x, f, service, p, raw, false) {
		return
	}
	if own {
		a.accept(x, f, p, raw)
		return
	}
	a.queueOrRefuse(s, x, f, service, p, raw)
}

// placeElsewhere finds another target after the own one did not take a flow.
func (a *Agent) placeElsewhere(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, ok := a.chooseService(s, x, f)
	if !ok {
		a.refuse(x, f, p, "no route")
		return
	}
	if !a.passToBetter(s, x, f, service, p, raw, true) {
		a.queueOrRefuse(s, x, f, service, p, raw)
	}
}

// passToBetter passes a new flow to the agent of a better target, if there is one and the frame
// has not been passed on too often.
func (a *Agent) passToBetter(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte, returned bool) bool {
	if len(x.GetPassed()) >= passLimit {
		return false
	}
	t := a.betterTarget(s, x, f, service, returned)
	if t == nil {
		return false
	}
	a.passToAgent(t, x, f, p, raw)
	return true
}

// queueOrRefuse lets a flow wait for the own target, or refuses it.
func (a *Agent) queueOrRefuse(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte) {
	if !a.acceptsService(s, service) || !a.wait(x, f, p, raw) {
		a.refuse(x, f, p, "no target takes the flow")
	}
}

func (a *Agent) passToAgent(t *fleet.Target, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	// Copies of the packet must take the same way, or two targets open the flow.
	a.flows[f] = &entry{owner: t.Agent, opened: p.Sequence, seen: a.now(), passed: a.now()}
	e := a.loads[t.Agent]
	if e == nil {
		e = &loadEstimate{updatedAt: a.now()}
		a.loads[t.Agent] = e
	}
	e.recordPassed(a.now())
	a.events.decide(Passed, f, "to", t.Agent, "busy", a.busy, "slots", a.gate.slots, "expected", e.expectedBusy(a.now()),
		"ready", a.gate.ready, "hop", len(x.GetPassed()), "revision", x.GetRevision())
	x.Passed = append(x.Passed, a.self)
	a.forward(t.Agent, x, raw)
}

// betterTarget returns the target with the least expected work among those that may take a flow
// and have not passed it on. Unless the own target has returned it, only one with less work
// is betterTarget.
func (a *Agent) betterTarget(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, returned bool) *fleet.Target {
	now := a.now()
	var best *fleet.Target
	var least time.Duration
	own := !returned && a.acceptsService(s, service)
	zone := mangokeel.AvailabilityZone(x.GetZone())
	if own {
		least = expectedLatency(float64(a.busy+len(a.queue.list)), a.service.serviceTime(), a.gate.slots, a.cfg.Zone != zone, a.gate.isCold(now)) +
			failurePenalty(a.service.failureRate(now))
	}
	a.order = s.Order(a.order[:0], service, zone, hashOf(f))
	for _, t := range a.order {
		e := a.loads[t.Agent]
		if !a.acceptsFlows(s, t) || contains(x.GetPassed(), t.Agent) || e.unresponsive(now) {
			continue
		}
		c := expectedLatency(e.expectedBusy(now), e.expectedServiceTime(now), t.Slots, t.Zone != zone, t.Cold) + failurePenalty(e.expectedFailureRate(now))
		if best == nil && !own || c < least {
			best, least = t, c
		}
	}
	return best
}

// expectedLatency is the time until one more request is answered.
func expectedLatency(busy float64, service time.Duration, slots int, away, cold bool) time.Duration {
	c := float64(service) * max(1, (busy+1)/float64(max(1, slots)))
	if cold {
		c *= coldCostFactor
	}
	if away {
		c += float64(crossZoneCost)
	}
	return time.Duration(c)
}

// failurePenalty is what a caller loses on average with a target that fails that share of its requests.
func failurePenalty(failing float64) time.Duration {
	if failing <= failureNoise {
		return 0
	}
	return time.Duration(failing * float64(failureCost))
}

// failsMoreThanPeers reports whether the own target failsMoreThanPeers much more of its requests than half of the
// others of its service.
func (a *Agent) failsMoreThanPeers(s *fleet.State, service string) bool {
	now := a.now()
	own := a.service.failureRate(now)
	if own <= failureNoise {
		return false
	}
	others, better := 0, 0
	for _, t := range s.Targets[service] {
		if !a.acceptsFlows(s, t) {
			continue
		}
		others++
		if 2*a.loads[t.Agent].expectedFailureRate(now) < own {
			better++
		}
	}
	return 2*better > others
}

// slowerThanPeers reports whether the own target takes much longer for a request than half of the
// others of its service.
func (a *Agent) slowerThanPeers(s *fleet.State, service string) bool {
	own := a.service.serviceTime()
	if own <= slowFactor*defaultServiceTime {
		return false // not worth a comparison
	}
	now := a.now()
	known, faster := 0, 0
	for _, t := range s.Targets[service] {
		e := a.loads[t.Agent]
		if !a.acceptsFlows(s, t) || !e.hasServiceTime(now) {
			continue
		}
		known++
		if slowFactor*e.serviceTime < own {
			faster++
		}
	}
	return known >= minComparedPeers && 2*faster > known
}

// acceptsFlows reports whether another target acceptsFlows new flows.
func (a *Agent) acceptsFlows(s *fleet.State, t *fleet.Target) bool {
	return t.Agent != a.cfg.Address && t.Ready && !s.Out[t.Zone]
}

// refuse tells the caller that a flow was not opened. A copy of an opening packet and a late
// one are dropped instead, since another may have been taken, and so is a packet that others
// may take whom this agent does not know yet: the caller's next copy finds them.
func (a *Agent) refuse(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, reason string) {
	a.events.decide(Refused, f, "reason", reason, "service", x.GetService(), "revision", x.GetRevision(),
		"asked", len(x.GetPassed())+1, "busy", a.busy, "slots", a.gate.slots, "copy", p.Copy)
	if p.Copy == 0 && !x.GetLate() && a.view.State().Settled(a.now()) {
		a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(p))
	}
}
