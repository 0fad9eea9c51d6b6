package packet

import (
	"math"
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/capacity"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/overload"
)

const (
	// loadDecayTime is the time over which a reported load decays linearly to zero: several
	// service times of small requests.
	loadDecayTime = 200 * time.Millisecond
	// crossZoneCost is the extra latency of a target in another zone: a round trip between zones.
	crossZoneCost = 3 * time.Millisecond
	// coldCostFactor is how much longer a cold target takes than its recent requests show.
	coldCostFactor = 2.0
	// defaultServiceTime is the service time of a target that has not answered yet: that of a
	// small request.
	defaultServiceTime = 15 * time.Millisecond
	// serviceTimeWeight is the weight of a new answer in the moving average of service times.
	serviceTimeWeight = 0.1
	// serviceTimeTTL is how long a service time or failure rate that an agent reported is valid.
	serviceTimeTTL = 2 * time.Second
	// failureWeight is the weight of a new outcome in the moving average of failures.
	failureWeight = 0.1
	// failureNoise is the failure rate up to which a target counts as healthy: the rate after a
	// single failure.
	failureNoise = failureWeight
	// failureDecayTime is the time over which a failure rate decays to zero without further
	// outcomes. A failing target gets flows again as it decays, so that its recovery becomes
	// visible.
	failureDecayTime = 5 * time.Second
	// failureCost is the latency that a failed answer counts as: the deadlines of small requests
	// start at half a second.
	failureCost = 500 * time.Millisecond
	// abandonedFailureFactor bounds the time that a target may work on a request, as a multiple of
	// the expected time. If the caller gives up later than that, the target has failed the request.
	// Most requests take less than twice the mean.
	abandonedFailureFactor = 3
	// minComparedPeers is how many peers with a known service time a comparison needs.
	minComparedPeers = 3
	// slowFactor is how many times the default and the service time of most peers a target must
	// exceed to count as slow. A slow target accepts a flow, even with a free slot, only if no
	// other target has a lower expected latency.
	slowFactor = 2
	// passedFlowTimeout is how long an agent may leave passed flows unanswered before it is
	// considered unresponsive. It accepts them within overload.MaxWait.
	passedFlowTimeout = overload.MaxWait + 50*time.Millisecond
	// minUnansweredFlows is how many passed flows must be unanswered before their agent is
	// considered unresponsive.
	minUnansweredFlows = 2
	// initialRetryDelay is how long an unresponsive agent gets no flow before it is tried again.
	// Each further flow that it does not answer doubles the delay, up to maxRetryDelay, since
	// network partitions last for seconds.
	initialRetryDelay = time.Second
	maxRetryDelay     = 8 * time.Second
	// sampledTargets is how many targets are compared for a new flow that the own target does not
	// take.
	sampledTargets = 8
)

// Reasons for which an agent refuses flows whatever the load of the targets is.
const (
	refusedNoRoute = "no route"
	// refusedNoTarget flows found no target that accepts new flows.
	refusedNoTarget = "no target accepts the flow"
	// refusedOutdated flows would be routed by an older configuration than flows before.
	refusedOutdated = "configuration outdated"
)

// loadEstimate is an agent's estimate of the load and health of another agent's target.
type loadEstimate struct {
	busy        float64
	serviceTime time.Duration
	// failureRate is the share of requests that the target fails.
	failureRate float64
	// utilisation is the share of the target's learned capacity that its flows take.
	utilisation capacity.Load
	updatedAt   time.Time
	// unanswered counts the flows passed to the agent since its last message. unansweredSince is
	// the time of the first of them, lastPassedAt of the last.
	unanswered                    int
	unansweredSince, lastPassedAt time.Time
}

// expectedServiceTime returns the expected service time of the agent's target.
func (e *loadEstimate) expectedServiceTime(now time.Time) time.Duration {
	if !e.hasServiceTime(now) {
		return defaultServiceTime
	}
	return e.serviceTime
}

// hasServiceTime reports whether the agent has recently reported a service time.
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

// unresponsive reports whether the agent has stopped answering passed flows and is not yet due to
// be tried again.
func (e *loadEstimate) unresponsive(now time.Time) bool {
	return e != nil && e.unanswered >= minUnansweredFlows && now.Sub(e.unansweredSince) > passedFlowTimeout &&
		now.Sub(e.lastPassedAt) < e.retryDelay()
}

// retryDelay returns how long an unresponsive agent gets no flow.
func (e *loadEstimate) retryDelay() time.Duration {
	d := initialRetryDelay
	for range e.unanswered - minUnansweredFlows {
		if d = min(2*d, maxRetryDelay); d == maxRetryDelay {
			break
		}
	}
	return d
}

// recordIgnored records that the agent left a flow unanswered for so long that its caller has
// retransmitted the opening packet. The agent is then considered unresponsive.
func (e *loadEstimate) recordIgnored(now time.Time) {
	e.unanswered = max(e.unanswered, minUnansweredFlows)
	if since := now.Add(-passedFlowTimeout - 1); e.unansweredSince.After(since) {
		e.unansweredSince = since
	}
	e.lastPassedAt = now
}

// recordPassed records a flow that is passed to the agent.
func (e *loadEstimate) recordPassed(now time.Time) {
	if e.unanswered == 0 {
		e.unansweredSince = now
	}
	e.unanswered++
	e.lastPassedAt = now
}

// targetStats has moving averages of the own target's service time and failures. The zero value has
// no data.
type targetStats struct {
	meanServiceTime float64
	// failureAverage is the failure rate at the time lastOutcome.
	failureAverage float64
	lastOutcome    time.Time
}

// recordServiceTime records an answer that came d after its request. ahead is the target's work per
// slot when the request arrived.
func (s *targetStats) recordServiceTime(d time.Duration, ahead float64) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = float64(defaultServiceTime) // a single answer is no reliable estimate
	}
	s.meanServiceTime += serviceTimeWeight * (float64(d)/max(1, ahead) - s.meanServiceTime)
}

// recordOutcome records whether the target failed a request.
func (s *targetStats) recordOutcome(now time.Time, failed bool) {
	s.failureAverage = (1 - failureWeight) * s.failureRate(now)
	if failed {
		s.failureAverage += failureWeight
	}
	s.lastOutcome = now
}

// failureRate returns the share of requests that the target fails, which decays without outcomes.
func (s *targetStats) failureRate(now time.Time) float64 {
	return s.failureAverage * max(0, 1-float64(now.Sub(s.lastOutcome))/float64(failureDecayTime))
}

// serviceTime returns the mean service time, or the default if there is none yet.
func (s *targetStats) serviceTime() time.Duration {
	if s.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return time.Duration(s.meanServiceTime)
}

// expectedBusy returns the expected number of requests in progress: the load that the agent
// reported, decayed by its age, plus the flows that were passed to the agent and not answered.
func (e *loadEstimate) expectedBusy(now time.Time) float64 {
	if e == nil {
		return 0
	}
	left := 1 - float64(now.Sub(e.updatedAt))/float64(loadDecayTime)
	unanswered := 0
	if now.Sub(e.lastPassedAt) < passedFlowTimeout {
		unanswered = e.unanswered
	}
	return max(0, left)*e.busy + float64(unanswered)
}

// perMille is the denominator of fleetwire.Load.Failing and fleetwire.Load.Utilisation.
const perMille = 1000

// load returns the load of the own target, as agents and control receive it.
func (a *Agent) load() *fleetwire.Load {
	return &fleetwire.Load{
		Busy:      uint32(max(0, a.busy) + a.queue.Len()),
		Flows:     uint32(max(0, a.open)),
		Slots:     uint32(a.admission.slots),
		ServiceUs: uint32(min(a.stats.meanServiceTime/float64(time.Microsecond), math.MaxUint32)),
		Failing:   uint32(perMille * a.stats.failureRate(a.now())),
		// Rounded up, since 0 means unknown.
		Utilisation: uint32(math.Ceil(perMille * a.utilisation(a.now()).Utilisation)),
	}
}

// recordSenderLoad replaces the estimate of an agent by the load in a frame that it sent.
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
			utilisation: capacity.Reported(float64(l.GetUtilisation())/perMille, int(l.GetFlows())),
			updatedAt:   a.now(),
		}
	}
}

// chooseService returns the service that a new flow belongs to, by the newest of this agent's
// configuration, the sender's, and what other nodes have decided for the address. If the flow must be
// refused, refusal is the reason.
func (a *Agent) chooseService(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow) (service, refusal string) {
	now := a.now()
	a.revisions.update(s)
	a.revisions.require(x.GetKnown(), now)
	if x.GetRevision() > s.Revision {
		a.revisions.learn(f.Address, decision{x.GetRevision(), x.GetService()}, now)
	}
	if d := a.revisions.decisions[f.Address]; d.revision > x.GetRevision() {
		x.Revision, x.Service, x.Outdated = d.revision, d.service, true
	}
	if x.GetRevision() <= s.Revision {
		x.Outdated = x.GetOutdated() || x.GetRevision() < s.Revision
		x.Revision = s.Revision
		route := s.Routes[f.Address]
		switch {
		case route == nil && a.revisions.newerThan(s.Revision) > 0:
			return "", refusedOutdated
		case route == nil:
			return "", refusedNoRoute
		}
		if !route.Allows(x.GetService()) {
			x.Service = route.ChooseService(hashOf(f))
		}
	}
	switch {
	case x.GetRevision() < a.revisions.oldest(now):
		return "", refusedOutdated
	case x.GetService() == "":
		return "", refusedNoRoute
	}
	return x.GetService(), ""
}

// placeFlow assigns a new flow to a target: the own one, or a better one of another agent.
func (a *Agent) placeFlow(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, refusal := a.chooseService(s, x, f)
	if refusal != "" {
		a.refuse(x, f, p, refusal)
		return
	}
	own := a.queue.Len() == 0 && a.acceptsNow(s, service, f)
	if own && !a.failsMoreThanPeers(s, service) {
		r := a.compareUtilisation(s, x, f, service)
		if r.target != nil {
			a.passToAgent(r.target, x, f, p, raw, "utilisation", rounded(r.own.Utilisation), "typical", r.typical)
			return
		}
		if r.underused || a.busy < a.admission.slots && !a.slowerThanPeers(s, service) {
			a.openFlow(x, f, p, raw)
			return
		}
	}
	if a.passToBetter(s, x, f, service, p, raw, false) {
		return
	}
	if own {
		a.openFlow(x, f, p, raw)
		return
	}
	a.queueOrRefuse(s, x, f, service, p, raw)
}

// placeElsewhere assigns a flow that the own target did not accept to another target.
func (a *Agent) placeElsewhere(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, refusal := a.chooseService(s, x, f)
	if refusal != "" {
		a.refuse(x, f, p, refusal)
		return
	}
	if !a.passToBetter(s, x, f, service, p, raw, true) {
		a.queueOrRefuse(s, x, f, service, p, raw)
	}
}

// passToBetter passes a new flow to the agent of a better target. It returns false if there is none
// or the frame has been passed maxPasses times.
func (a *Agent) passToBetter(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte, returned bool) bool {
	if len(x.GetPassed()) >= maxPasses {
		return false
	}
	t := a.betterTarget(s, x, f, service, returned)
	if t == nil {
		return false
	}
	a.passToAgent(t, x, f, p, raw)
	return true
}

// queueOrRefuse queues a flow for the own target, or refuses it if that is not possible.
func (a *Agent) queueOrRefuse(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte) {
	refusal := refusedNoTarget
	if a.acceptsService(s, service) {
		refusal = a.enqueue(x, f, p, raw)
	}
	if refusal != "" {
		a.refuse(x, f, p, refusal)
	}
}

// passToAgent passes a new flow to the agent of a target. reason has further keys and values for the
// log.
func (a *Agent) passToAgent(t *fleet.Target, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte, reason ...any) {
	// Retransmissions must take the same path, or two targets would open the flow.
	a.flows[f] = &flowEntry{owner: t.Agent, openSequence: p.Sequence, lastSeen: a.now(), passedAt: a.now()}
	e := a.loads[t.Agent]
	if e == nil {
		e = &loadEstimate{updatedAt: a.now()}
		a.loads[t.Agent] = e
	}
	e.recordPassed(a.now())
	a.events.record(Passed, f, append([]any{
		"to", t.Agent, "busy", a.busy, "slots", a.admission.slots, "expected", e.expectedBusy(a.now()),
		"ready", a.admission.ready, "hop", len(x.GetPassed()), "revision", x.GetRevision(),
	}, reason...)...)
	x.Passed = append(x.Passed, a.encodedAddress)
	a.forward(t.Agent, x, raw)
}

// betterTarget returns the target with the lowest expected latency among those that accept flows,
// respond, and have not passed this flow on; nil if there is none. Unless the own target returned
// the flow or accepts none, the other must have a lower expected latency than the own one.
func (a *Agent) betterTarget(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, returned bool) *fleet.Target {
	now := a.now()
	var best *fleet.Target
	var lowest time.Duration
	own := !returned && a.acceptsService(s, service)
	zone := mangokeel.AvailabilityZone(x.GetZone())
	if own {
		busy := float64(a.busy + a.queue.Len())
		lowest = expectedLatency(busy, a.stats.serviceTime(), a.admission.slots, a.cfg.Zone != zone, a.admission.isCold(now)) +
			failurePenalty(a.stats.failureRate(now))
	}
	// Each agent that the frame passes samples other targets.
	seed := hashOf(f) + uint64(len(x.GetPassed()))*sampledTargets
	a.targetBuf = s.SampleTargets(a.targetBuf[:0], service, seed, sampledTargets)
	for _, t := range a.targetBuf {
		e := a.loads[t.Agent]
		if !a.acceptsFlows(s, t) || containsAddress(x.GetPassed(), t.Agent) || e.unresponsive(now) {
			continue
		}
		c := expectedLatency(e.expectedBusy(now), e.expectedServiceTime(now), t.Slots, t.Zone != zone, t.Cold) +
			failurePenalty(e.expectedFailureRate(now))
		if best == nil && !own || c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

// expectedLatency returns the expected time until a target has answered one more request.
func expectedLatency(busy float64, serviceTime time.Duration, slots int, crossZone, cold bool) time.Duration {
	c := float64(serviceTime) * max(1, (busy+1)/float64(max(1, slots)))
	if cold {
		c *= coldCostFactor
	}
	if crossZone {
		c += float64(crossZoneCost)
	}
	return time.Duration(c)
}

// failurePenalty returns the latency that a target's failure rate counts as when targets are
// compared.
func failurePenalty(failureRate float64) time.Duration {
	if failureRate <= failureNoise {
		return 0
	}
	return time.Duration(failureRate * float64(failureCost))
}

// failsMoreThanPeers reports whether the own target has more than twice the failure rate of most
// other targets of its service.
func (a *Agent) failsMoreThanPeers(s *fleet.State, service string) bool {
	now := a.now()
	own := a.stats.failureRate(now)
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

// slowerThanPeers reports whether the own target has more than slowFactor times the service time
// of most other targets of its service.
func (a *Agent) slowerThanPeers(s *fleet.State, service string) bool {
	own := a.stats.serviceTime()
	if own <= slowFactor*defaultServiceTime {
		return false // close enough to the default
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

// acceptsFlows reports whether t is a target of another agent that accepts new flows.
func (a *Agent) acceptsFlows(s *fleet.State, t *fleet.Target) bool {
	return t.Agent != a.cfg.Address && t.Ready && !s.ZonesOut[t.Zone]
}

// refuse resets a new flow that no target accepted. Retransmitted and late opening packets are
// dropped instead of reset, since a target may have accepted an earlier packet of the flow. So is
// any packet while this agent may not know all targets yet: the caller's retransmission may then
// reach one that accepts it.
func (a *Agent) refuse(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, reason string) {
	s := a.view.State()
	a.events.countFlow(reason, s, f.Address, mangokeel.AvailabilityZone(x.GetZone()))
	a.events.record(Refused, f, "reason", reason, "service", x.GetService(), "revision", x.GetRevision(),
		"asked", len(x.GetPassed())+1, "busy", a.busy, "slots", a.admission.slots, "copy", p.Copy)
	if p.Copy == 0 && !x.GetLate() && s.TargetsKnown(a.now()) {
		a.link.SendToCaller(f.Caller.Addr(), a.codec.Reset(p))
	}
}
