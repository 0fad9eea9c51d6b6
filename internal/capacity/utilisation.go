package capacity

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxUtilisation bounds the utilisation that a target reports, so that sums of it stay finite.
	maxUtilisation = 10
	// minUtilisation is the utilisation of an idle target, since 0 stands for one that is not known. It
	// is the unit in which utilisation is sent.
	minUtilisation = 0.001
	// idleUtilisation is the utilisation up to which a target takes every flow: a request then waits
	// for a fifth of its service time on average at a target of two slots (2u²/(1+u) wait, for
	// 1/(2(1-u)) service times), and less at one of more. Callers would not notice the difference,
	// and a flow that its first agent keeps is found at once after an outage.
	idleUtilisation = 0.4
	// keepMargin is how far above the typical utilisation of its service a target may be and still
	// take a flow. The errors of both estimates are about as large.
	keepMargin = 1.1
	// passMargin is how much less utilised than the own one another target must be to get a flow, so
	// that two targets do not exchange flows for nothing.
	passMargin = 1.1
	// awayMargin is the same for a target outside the caller's availability zone, since each request
	// of the flow then crosses zones.
	awayMargin = 1.35
	// minTypical is how many targets a typical value needs.
	minTypical = 3
	// maxOutlier is how many times the median one target's utilisation and capacity count at most.
	maxOutlier = 3
)

// Load is a target's utilisation: the share of its capacity that the requests of its open flows
// take.
type Load struct {
	// Utilisation is 0 if it is not known.
	Utilisation float64
	// Flow is the utilisation that one more flow adds.
	Flow float64
}

// Utilisation returns the load of a target that gets rate requests a second from open flows. It is
// the zero value if the capacity is not known.
func Utilisation(rate, capacity float64, open int) Load {
	if capacity <= 0 {
		return Load{}
	}
	return Reported(max(minUtilisation, rate/capacity), open)
}

// Reported returns the load that another target has reported.
func Reported(utilisation float64, flows int) Load {
	u := min(maxUtilisation, utilisation)
	return Load{Utilisation: u, Flow: u / float64(max(1, flows))}
}

// Known reports whether the load is known.
func (l Load) Known() bool { return l.Utilisation > 0 }

// after returns the utilisation with flows more flows.
func (l Load) after(flows int) float64 { return l.Utilisation + float64(flows)*l.Flow }

// Keep reports whether a target should take one more flow although others of its service may have
// more spare capacity. typical is the utilisation of a typical target of the service, or 0 if it is not known.
func Keep(own Load, typical float64) bool {
	return !own.Known() || typical <= 0 || own.after(1) <= max(idleUtilisation, keepMargin*typical)
}

// Candidate is another target that may get a flow.
type Candidate struct {
	Load Load
	// Pending is how many flows it has been sent that its load does not include.
	Pending int
	// Away is set if it is outside the caller's availability zone.
	Away bool
}

// Cost returns what candidates are compared by: the utilisation with one more flow, and more for a
// target that is away. A target of which nothing is known counts as typical.
func (c Candidate) Cost(own Load, typical float64) float64 {
	l := c.Load
	if !l.Known() {
		l = Load{Utilisation: typical, Flow: own.Flow}
	}
	if l.Utilisation <= minUtilisation { // its flows do not show what one more adds
		l.Flow = own.Flow
	}
	margin := passMargin
	if c.Away {
		margin = awayMargin
	}
	return margin * l.after(c.Pending+1)
}

// Passes reports whether a flow should go to a candidate of this cost instead of the own target.
func Passes(cost float64, own Load) bool { return cost < own.after(1) }

// PassesAway reports whether a flow may go to a target outside the caller's availability zone.
func PassesAway(own Load, typical float64) bool { return own.after(1) > awayMargin*typical }

// Report is what a target reports about itself.
type Report struct {
	// Utilisation and ServiceTime are 0 if they are not known.
	Utilisation float64
	ServiceTime time.Duration
	Slots       int
}

// known reports whether all values are known.
func (r Report) known() bool { return r.Utilisation > 0 && r.ServiceTime > 0 && r.Slots > 0 }

// capacity returns the requests a second that the target serves.
func (r Report) capacity() float64 { return float64(r.Slots) / r.ServiceTime.Seconds() }

// Typical returns the utilisation that all targets of a service would have if their flows were spread
// by capacity, and the median service time. Both are 0 if fewer than minTypical targets are
// known. It reorders list.
//
// The utilisation is the mean weighted by capacity. A median would follow the more numerous kind of
// target, so that these would keep their flows although a faster minority has spare capacity. One report
// with values far out of range counts as maxOutlier times the median at most.
func Typical(list []Report) (utilisation float64, serviceTime time.Duration) {
	list = slices.DeleteFunc(list, func(r Report) bool { return !r.known() })
	if len(list) < minTypical {
		return 0, 0
	}
	middle := len(list) / 2
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.capacity(), b.capacity()) })
	maxCapacity := maxOutlier * list[middle].capacity()
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Utilisation, b.Utilisation) })
	most := maxOutlier * list[middle].Utilisation
	var load, sum float64
	for _, r := range list {
		c := min(maxCapacity, r.capacity())
		load += c * min(most, r.Utilisation)
		sum += c
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.ServiceTime, b.ServiceTime) })
	return load / sum, list[middle].ServiceTime
}

// slowFactor is how many times the service time of a typical target a slow one has, and fastFactor
// the bound below which it is no longer slow. At 1.5, ordinary targets counted as slow by chance.
const (
	slowFactor = 2
	fastFactor = 1.5
)

// Speed is how a target compares with the others of its service.
type Speed int

// Speeds.
const (
	Unknown Speed = iota
	Usual
	Slow
)

// String returns the speed's name.
func (s Speed) String() string { return [...]string{"unknown", "usual", "slow"}[s] }

// Judge returns the speed of a target from its service time and that of a typical target, both in
// any unit and 0 if not known. before is the last result.
func Judge(own, typical float64, before Speed) Speed {
	switch {
	case own <= 0 || typical <= 0:
		return Unknown
	case own > slowFactor*typical, before == Slow && own > fastFactor*typical:
		return Slow
	}
	return Usual
}
