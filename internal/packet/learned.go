package packet

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/capacity"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// typicalTTL is how long the typical load that control sent is valid: agents poll twice a second,
	// and a change of the leader takes up to two seconds.
	typicalTTL = 3 * time.Second
	// judgePeriod is how often the own target is compared with others, and bounds the log lines
	// about it.
	judgePeriod = 500 * time.Millisecond
	// maxBusyFactor is how many times its slots the requests of a target may be for it to get a flow
	// because of its utilisation.
	maxBusyFactor = 2
	// utilisationSample is how many targets are drawn, so that with four availability zones some of them are
	// in the caller's zone. maxCompared is how many of them are compared, which takes most of the
	// time: the best of six is in the upper third with a probability of 90%.
	utilisationSample = 12
	maxCompared       = 6
)

// learnedLoad is what an agent learns about its own target from the requests and answers. The zero
// value has no data and records none.
type learnedLoad struct {
	enabled   bool
	estimator capacity.Estimator
	demand    capacity.Demand
	speed     capacity.Speed
	judgedAt  time.Time
}

// utilisation returns the own target's utilisation, which is not known while it is cold.
func (a *Agent) utilisation(now time.Time) capacity.Load {
	if !a.learned.enabled || a.admission.isCold(now) {
		return capacity.Load{}
	}
	return capacity.Utilisation(a.learned.demand.Rate(now, a.open), a.learned.estimator.Capacity(now, a.admission.slots), a.open)
}

// recordOpenFlow records a change of the number of open flows by one. It must be called before open
// changes.
func (a *Agent) recordOpenFlow(opened bool) {
	switch {
	case !a.learned.enabled:
	case opened:
		a.learned.demand.RecordOpen(a.now(), a.open)
	default:
		a.learned.demand.RecordClose(a.now(), a.open)
	}
}

// recordRequest records a request that the own target has got.
func (a *Agent) recordRequest() {
	if a.learned.enabled {
		a.learned.demand.RecordRequest(a.now(), a.open)
		a.learned.estimator.RecordRequest(a.now(), a.busy)
	}
}

// recordAnswer records an answer of the own target to the request of a flow. If the process stalled
// in between, the time of the answer is not that of the target.
func (a *Agent) recordAnswer(e *flowEntry, failed bool) {
	if a.learned.enabled {
		now := a.now()
		a.learned.estimator.RecordAnswer(capacity.Answer{
			At: now, Took: now.Sub(e.requestedAt), InProgress: e.inProgress, Slots: a.admission.slots, Cold: a.admission.isCold(now),
			Failed: failed || !a.stall.resumedBefore(e.requestedAt),
		})
	}
}

// recordTimeout records that a flow no longer counts as busy although the own target has not answered.
// After a stall of the process the answers may still be in its sockets.
func (a *Agent) recordTimeout(e *flowEntry) {
	if a.learned.enabled && e.hasRequest && a.stall.resumedBefore(e.requestedAt) {
		a.learned.estimator.RecordTimeout(a.now())
	}
}

// typicalUtilisation returns the utilisation of a typical target of the service, or 0 if it is not
// known: what control sent, or, if control has not answered lately, what other agents reported.
func (a *Agent) typicalUtilisation(s *fleet.State, service string, flow uint64, now time.Time) float64 {
	if t := a.view.TypicalLoad(); now.Sub(t.At) < typicalTTL {
		return t.Utilisation
	}
	var buf [utilisationSample]capacity.Report
	reports := buf[:0]
	a.targetBuf = s.SampleTargets(a.targetBuf[:0], service, flow, utilisationSample)
	for _, t := range a.targetBuf[:min(len(a.targetBuf), utilisationSample)] {
		e := a.loads[t.Agent]
		reports = append(reports, capacity.Report{
			Utilisation: e.expectedUtilisation(now).Utilisation, ServiceTime: e.expectedServiceTime(now), Slots: t.Slots,
		})
	}
	utilisation, _ := capacity.Typical(reports)
	return utilisation
}

// comparison is the result of comparing targets by utilisation for a long flow. The zero value says
// nothing.
type comparison struct {
	own     capacity.Load
	typical float64
	// underused is set if the own target is less utilised than a typical one. It should take a flow even
	// if its slots are busy at this instant: the flow outlasts the instant, and where a slot is free
	// now is mostly a target with less spare capacity.
	underused bool
	// target is less utilised than the own one. It is nil if the own one should take the flow or none of
	// those compared is.
	target *fleet.Target
}

// compareUtilisation compares the own target, which accepts the flow, with others. Only the first agent of a
// flow decides by utilisation: the next one keeps its passes for a target that is full.
func (a *Agent) compareUtilisation(s *fleet.State, x *fleetwire.Frame, f mangokeel.Flow, service string) (r comparison) {
	now := a.now()
	if len(x.GetPassed()) > 0 || !a.learned.enabled || !a.learned.demand.HasLongFlows(now, a.open) {
		return r
	}
	if r.own = a.utilisation(now); !r.own.Known() {
		return r
	}
	flow := hashOf(f)
	r.typical = a.typicalUtilisation(s, service, flow, now)
	if capacity.Keep(r.own, r.typical) {
		r.underused = r.own.Utilisation < r.typical
		return r
	}
	zone := mangokeel.AvailabilityZone(x.GetZone())
	var lowest float64
	compared := 0
	a.targetBuf = s.SampleTargets(a.targetBuf[:0], service, flow, utilisationSample)
	// All targets of a small service are drawn, in the same order for each flow.
	first := int(flow % uint64(max(1, len(a.targetBuf))))
	for i := range a.targetBuf {
		t := a.targetBuf[(first+i)%len(a.targetBuf)]
		away := t.Zone != zone && a.cfg.Zone == zone
		if t.Cold || !a.acceptsFlows(s, t) || away && !capacity.PassesAway(r.own, r.typical) {
			continue
		}
		e := a.loads[t.Agent]
		if e.unresponsive(now) || e.expectedFailureRate(now) > failureNoise ||
			e.expectedBusy(now) >= float64(maxBusyFactor*max(1, t.Slots)) {
			continue
		}
		if compared++; compared > maxCompared {
			break
		}
		c := capacity.Candidate{Load: e.expectedUtilisation(now), Pending: e.pendingFlows(now), Away: away}
		if cost := c.Cost(r.own, r.typical); capacity.Passes(cost, r.own) && (r.target == nil || cost < lowest) {
			r.target, lowest = t, cost
		}
	}
	return r
}

// expectedUtilisation returns the utilisation that the agent has reported lately.
func (e *loadEstimate) expectedUtilisation(now time.Time) capacity.Load {
	if e == nil || now.Sub(e.updatedAt) >= serviceTimeTTL {
		return capacity.Load{}
	}
	return e.utilisation
}

// pendingFlows returns how many flows were passed to the agent that its load does not include.
func (e *loadEstimate) pendingFlows(now time.Time) int {
	if e == nil || now.Sub(e.lastPassedAt) >= passedFlowTimeout {
		return 0
	}
	return e.unanswered
}

// judgeTarget compares the own target with a typical one and logs a change of the result.
func (a *Agent) judgeTarget(now time.Time) {
	l := &a.learned
	if !l.enabled || now.Sub(l.judgedAt) < judgePeriod {
		return
	}
	l.judgedAt = now
	var own, typical time.Duration
	if l.estimator.Confidence(now) > 0 {
		own = l.estimator.ServiceTime(now)
	}
	if t := a.view.TypicalLoad(); now.Sub(t.At) < typicalTTL {
		typical = t.ServiceTime
	}
	speed := capacity.Judge(own.Seconds(), typical.Seconds(), l.speed)
	if speed != l.speed {
		a.events.logChange("target judged", "speed", speed, "before", l.speed, "service_time", own.Round(time.Microsecond*100), "typical", typical.Round(time.Microsecond*100),
			"utilisation", rounded(a.utilisation(now).Utilisation), "flows", a.open, "busy", a.busy, "slots", a.admission.slots)
	}
	l.speed = speed
}

// rounded returns a utilisation as it is logged.
func rounded(utilisation float64) float64 { return math.Round(utilisation*perMille) / perMille }

// registerLearned registers metrics about what the agent learns, if it does.
func (a *Agent) registerLearned(r prometheus.Registerer) error {
	if !a.learned.enabled {
		return nil
	}
	for _, g := range []struct {
		name, help string
		value      func(now time.Time) float64
	}{
		{"target_capacity", "Requests a second that the target can serve; 0 if not known.", func(now time.Time) float64 {
			return a.learned.estimator.Capacity(now, a.admission.slots)
		}},
		{"target_utilisation", "Share of the capacity that the requests of open flows take; 0 if not known.", func(now time.Time) float64 {
			return a.utilisation(now).Utilisation
		}},
		{"typical_utilisation", "Mean of target_utilisation of the service's targets, weighted by capacity, as received from control.", func(time.Time) float64 {
			return a.view.TypicalLoad().Utilisation
		}},
		{"requests_per_flow", "Requests that a flow brings; 0 if not known.", func(now time.Time) float64 {
			return a.learned.demand.RequestsPerFlow(now, a.open)
		}},
	} {
		err := r.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: g.name, Help: g.help}, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return g.value(a.now())
		}))
		if err != nil {
			return err
		}
	}
	return nil
}
