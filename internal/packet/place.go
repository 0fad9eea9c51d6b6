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
	// estimateLife is how long what an agent said of its load counts: several service
	// times of small requests.
	estimateLife = 200 * time.Millisecond
	// awayCost is what a target in another zone takes longer: a round trip between zones.
	awayCost = 3 * time.Millisecond
	// coldFactor is how much longer a cold target takes than its last requests show.
	coldFactor = 2.0
	// serviceDefault is the service time of a target that has not answered yet: that of a
	// small request.
	serviceDefault = 15 * time.Millisecond
	// serviceShare is the part of the estimate that a new answer replaces.
	serviceShare = 0.1
	// serviceLife is how long an agent's word on its service time counts.
	serviceLife = 2 * time.Second
	// failShare is the part of the share of failures that a new answer replaces.
	failShare = 0.1
	// failNoise is the share of failures that counts as none: that of a single one.
	failNoise = failShare
	// failLife is how long failures count without further answers: a failing target gets
	// flows again after it, so that its recovery shows.
	failLife = 5 * time.Second
	// failCost is what a failed answer costs its caller: the deadlines of small requests
	// begin at half a second.
	failCost = 500 * time.Millisecond
	// blameFactor is how much longer than expected a target may work on a request before it has
	// failed it when the caller gives up: most requests take less than twice the mean.
	blameFactor = 3
	// slowLeast is how many others must be known for a comparison.
	slowLeast = 3
	// slowFactor is how much slower than others a target is that takes no flow without a
	// comparison, even with a free slot.
	slowFactor = 2
	// answerLimit is how long an agent may leave passed flows unanswered before it counts
	// as silent: it accepts them within waitMost.
	answerLimit = waitMost + 50*time.Millisecond
	// answerLeast is how many flows it takes.
	answerLeast = 2
	// answerRetry is after how long a silent agent gets a flow all the same. Each further one that it
	// does not answer doubles the time, up to answerRetryMost: cuts last for seconds.
	answerRetry     = time.Second
	answerRetryMost = 8 * time.Second
	// queueFactor is how much work for each slot a target gets at most: hosts queue a few
	// requests for each slot.
	queueFactor = 5
	// finishShare is the part of a route's target time within which the target must be able
	// to answer one more request. With waitShare and the way it makes up the whole.
	finishShare = 3
)

// estimate is what an agent believes of another agent's load.
type estimate struct {
	busy    float64
	service time.Duration
	// failing is the share of requests that the target fails.
	failing float64
	at      time.Time
	// unanswered counts the flows passed to the agent since it last said anything,
	// waiting is the time of the first of them and passed of the last.
	unanswered      int
	waiting, passed time.Time
}

// time returns the expected service time of the agent's target.
func (e *estimate) time(now time.Time) time.Duration {
	if !e.timed(now) {
		return serviceDefault
	}
	return e.service
}

// timed reports whether the agent told its service time lately.
func (e *estimate) timed(now time.Time) bool {
	return e != nil && e.service > 0 && now.Sub(e.at) < serviceLife
}

// failures returns the share of requests that the agent's target fails.
func (e *estimate) failures(now time.Time) float64 {
	if e == nil || now.Sub(e.at) >= serviceLife {
		return 0
	}
	return e.failing
}

// silent reports whether the agent does not answer.
func (e *estimate) silent(now time.Time) bool {
	return e != nil && e.unanswered >= answerLeast && now.Sub(e.waiting) > answerLimit && now.Sub(e.passed) < e.retry()
}

// retry returns how long a silent agent gets no flow.
func (e *estimate) retry() time.Duration {
	d := answerRetry
	for range e.unanswered - answerLeast {
		if d = min(2*d, answerRetryMost); d == answerRetryMost {
			break
		}
	}
	return d
}

// ignore notes that the agent left a flow unanswered for so long that its caller has sent a copy.
func (e *estimate) ignore(now time.Time) {
	e.unanswered = max(e.unanswered, answerLeast)
	if since := now.Add(-answerLimit - 1); e.waiting.After(since) {
		e.waiting = since
	}
	e.passed = now
}

// pass notes a flow that is passed to the agent.
func (e *estimate) pass(now time.Time) {
	if e.unanswered == 0 {
		e.waiting = now
	}
	e.unanswered++
	e.passed = now
}

// service estimates how long a target works on a request and how often it fails. The zero
// value has no estimate.
type service struct {
	mean float64
	// failing is the share of failures at the time failed.
	failing float64
	failed  time.Time
}

// observe takes an answer that came d after its request, with that much work for each slot
// at the time.
func (s *service) observe(d time.Duration, ahead float64) {
	if s.mean == 0 {
		s.mean = float64(serviceDefault) // one answer says little
	}
	s.mean += serviceShare * (float64(d)/max(1, ahead) - s.mean)
}

// outcome takes over whether the target could serve a request.
func (s *service) outcome(now time.Time, failed bool) {
	s.failing = (1 - failShare) * s.failures(now)
	if failed {
		s.failing += failShare
	}
	s.failed = now
}

// failures returns the share of requests that the target fails.
func (s *service) failures(now time.Time) float64 {
	return s.failing * max(0, 1-float64(now.Sub(s.failed))/float64(failLife))
}

// time returns the estimate.
func (s *service) time() time.Duration {
	if s.mean == 0 {
		return serviceDefault
	}
	return time.Duration(s.mean)
}

// value returns the work in progress that is to be expected: what the agent told, and the flows
// that were passed to it and not answered.
func (e *estimate) value(now time.Time) float64 {
	if e == nil {
		return 0
	}
	left := 1 - float64(now.Sub(e.at))/float64(estimateLife)
	placed := 0
	if now.Sub(e.passed) < answerLimit {
		placed = e.unanswered
	}
	return max(0, left)*e.busy + float64(placed)
}

// thousandths is the unit of fleetwire.Load.Failing.
const thousandths = 1000

// load returns what this agent tells of its target.
func (a *Agent) load() *fleetwire.Load {
	return &fleetwire.Load{
		Busy:      uint32(max(0, a.busy) + len(a.queue.list)),
		Flows:     uint32(max(0, a.open)),
		Slots:     uint32(a.gate.slots),
		ServiceUs: uint32(min(a.service.mean/float64(time.Microsecond), math.MaxUint32)),
		Failing:   uint32(thousandths * a.service.failures(a.now())),
	}
}

// learn takes over what the sender of a frame says of its load.
func (a *Agent) learn(x *fleetwire.Frame) {
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
		a.loads[from] = &estimate{
			busy:    float64(l.GetBusy()),
			service: time.Duration(l.GetServiceUs()) * time.Microsecond,
			failing: float64(l.GetFailing()) / thousandths,
			at:      a.now(),
		}
	}
}

// choose decides by which configuration a flow is opened: the newest of this agent's and
// the sender's. It returns false if the route does not exist.
func (a *Agent) choose(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow) (service string, ok bool) {
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

// place finds a target for a new flow.
func (a *Agent) place(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, ok := a.choose(s, x, f)
	if !ok {
		a.refuse(x, f, p, "no route")
		return
	}
	own := len(a.queue.list) == 0 && a.acceptsNow(s, service, f)
	if own && a.busy < a.gate.slots && !a.slow(s, service) && !a.fails(s, service) {
		a.accept(x, f, p, raw)
		return
	}
	if a.passOn(s, x, f, service, p, raw, false) {
		return
	}
	if own {
		a.accept(x, f, p, raw)
		return
	}
	a.waitOrRefuse(s, x, f, service, p, raw)
}

// pass finds another target after the own one did not take a flow.
func (a *Agent) pass(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	service, ok := a.choose(s, x, f)
	if !ok {
		a.refuse(x, f, p, "no route")
		return
	}
	if !a.passOn(s, x, f, service, p, raw, true) {
		a.waitOrRefuse(s, x, f, service, p, raw)
	}
}

// passOn passes a new flow to the agent of a better target, if there is one and the frame
// has not been passed on too often.
func (a *Agent) passOn(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte, returned bool) bool {
	if len(x.GetPassed()) >= passLimit {
		return false
	}
	t := a.better(s, x, f, service, returned)
	if t == nil {
		return false
	}
	a.passTo(t, x, f, p, raw)
	return true
}

// waitOrRefuse lets a flow wait for the own target, or refuses it.
func (a *Agent) waitOrRefuse(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, p mangokeel.Packet, raw []byte) {
	if !a.acceptsService(s, service) || !a.wait(x, f, p, raw) {
		a.refuse(x, f, p, "no target takes the flow")
	}
}

func (a *Agent) passTo(t *fleet.Target, x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) {
	// Copies of the packet must take the same way, or two targets open the flow.
	a.flows[f] = &entry{owner: t.Agent, opened: p.Sequence, seen: a.now(), passed: a.now()}
	e := a.loads[t.Agent]
	if e == nil {
		e = &estimate{at: a.now()}
		a.loads[t.Agent] = e
	}
	e.pass(a.now())
	a.events.decide(Passed, f, "to", t.Agent, "busy", a.busy, "slots", a.gate.slots, "expected", e.value(a.now()),
		"ready", a.gate.ready, "hop", len(x.GetPassed()), "revision", x.GetRevision())
	x.Passed = append(x.Passed, a.self)
	a.forward(t.Agent, x, raw)
}

// better returns the target with the least expected work among those that may take a flow
// and have not passed it on. Unless the own target has returned it, only one with less work
// is better.
func (a *Agent) better(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string, returned bool) *fleet.Target {
	now := a.now()
	var best *fleet.Target
	var least time.Duration
	own := !returned && a.acceptsService(s, service)
	zone := mangokeel.AvailabilityZone(x.GetZone())
	if own {
		least = cost(float64(a.busy+len(a.queue.list)), a.service.time(), a.gate.slots, a.cfg.Zone != zone, a.gate.isCold(now)) +
			risk(a.service.failures(now))
	}
	a.order = s.Order(a.order[:0], service, zone, hashOf(f))
	for _, t := range a.order {
		e := a.loads[t.Agent]
		if !a.takes(s, t) || contains(x.GetPassed(), t.Agent) || e.silent(now) {
			continue
		}
		c := cost(e.value(now), e.time(now), t.Slots, t.Zone != zone, t.Cold) + risk(e.failures(now))
		if best == nil && !own || c < least {
			best, least = t, c
		}
	}
	return best
}

// cost is the time until one more request is answered.
func cost(busy float64, service time.Duration, slots int, away, cold bool) time.Duration {
	c := float64(service) * max(1, (busy+1)/float64(max(1, slots)))
	if cold {
		c *= coldFactor
	}
	if away {
		c += float64(awayCost)
	}
	return time.Duration(c)
}

// risk is what a caller loses on average with a target that fails that share of its requests.
func risk(failing float64) time.Duration {
	if failing <= failNoise {
		return 0
	}
	return time.Duration(failing * float64(failCost))
}

// fails reports whether the own target fails much more of its requests than half of the
// others of its service.
func (a *Agent) fails(s *fleet.State, service string) bool {
	now := a.now()
	own := a.service.failures(now)
	if own <= failNoise {
		return false
	}
	others, better := 0, 0
	for _, t := range s.Targets[service] {
		if !a.takes(s, t) {
			continue
		}
		others++
		if 2*a.loads[t.Agent].failures(now) < own {
			better++
		}
	}
	return 2*better > others
}

// slow reports whether the own target takes much longer for a request than half of the
// others of its service.
func (a *Agent) slow(s *fleet.State, service string) bool {
	own := a.service.time()
	if own <= slowFactor*serviceDefault {
		return false // not worth a comparison
	}
	now := a.now()
	known, faster := 0, 0
	for _, t := range s.Targets[service] {
		e := a.loads[t.Agent]
		if !a.takes(s, t) || !e.timed(now) {
			continue
		}
		known++
		if slowFactor*e.service < own {
			faster++
		}
	}
	return known >= slowLeast && 2*faster > known
}

// takes reports whether another target takes new flows.
func (a *Agent) takes(s *fleet.State, t *fleet.Target) bool {
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
