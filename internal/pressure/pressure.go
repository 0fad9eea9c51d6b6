// Package pressure sums up, for each service, what the metrics of agents of the packet path show about
// demand, what the targets serve, and which flows are refused. It reads no network:
//
//	before, err := pressure.Parse(page, time.Now())
//	after, err := pressure.Parse(later, time.Now())
//	for _, s := range pressure.Summarize([]pressure.Window{after.Since(before)}) { ... }
//
// Flows count for the service of the target beside the agent that opened or refused them.
package pressure

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Opened is the outcome of a flow that was opened. Any other outcome is the reason of a refusal.
const Opened = "opened"

// clockStep is how much the start of a process may appear to move: it is computed from the time of the
// machine's boot, which the system rounds to seconds and moves when it sets its clock.
const clockStep = time.Second

// Flow is what the counters distinguish about new flows. Priority and Zone are empty if the agent
// did not know them.
type Flow struct {
	Outcome, Priority, Zone string
}

// Sample is what the metrics of one agent show at one time. Counters begin at the start of the process.
type Sample struct {
	// Service is that of the agent's target.
	Service string
	// At is when the sample was taken, Started when the process started, or the zero value if that is
	// not known.
	At, Started time.Time
	// Slots, Busy and Waiting are gauges: what the target works on at once, its requests in progress,
	// and the flows that wait for it.
	Slots, Busy, Waiting float64
	// Flows counts new flows.
	Flows map[Flow]float64
	// Waits has the times for which flows waited before they were opened, Answers the times from a
	// request to the first byte of its answer.
	Waits, Answers Histogram
}

// Window is what an agent counted in a time.
type Window struct {
	// Sample has the last gauges, and counts what came within Length.
	Sample
	// Length is at least 0.
	Length time.Duration
	// Restarted is set if the process restarted within Length, so that what the earlier one counted
	// since the first sample is missing.
	Restarted bool
}

// Since returns the window from an earlier sample of the same agent.
func (s *Sample) Since(before *Sample) Window {
	w := Window{Sample: *s, Length: max(0, s.At.Sub(before.At))}
	if s.Started.Sub(before.Started).Abs() > clockStep || s.countsLess(before) {
		w.Restarted = true
		return w
	}
	w.Flows = make(map[Flow]float64, len(s.Flows))
	for f, n := range s.Flows {
		w.Flows[f] = n - before.Flows[f]
	}
	w.Waits, w.Answers = s.Waits.minus(before.Waits), s.Answers.minus(before.Answers)
	return w
}

// countsLess reports whether a counter is below that of an earlier sample.
func (s *Sample) countsLess(before *Sample) bool {
	for f, n := range before.Flows {
		if s.Flows[f] < n {
			return true
		}
	}
	return s.Waits.Count() < before.Waits.Count() || s.Answers.Count() < before.Answers.Count()
}

// SinceStart returns the window from the start of the process. It returns false if the start is not
// known or not before the sample.
func (s *Sample) SinceStart() (Window, bool) {
	w := Window{Sample: *s, Length: s.At.Sub(s.Started)}
	return w, !s.Started.IsZero() && w.Length > 0
}

// Rates are the flows of a group in a second.
type Rates struct {
	// Name is the priority or zone of the group, or empty if the agents did not know it.
	Name            string
	Opened, Refused float64
}

// Demand returns the flows in a second that were asked for. A refused caller that comes back counts
// again.
func (r Rates) Demand() float64 { return r.Opened + r.Refused }

// RefusedShare returns the share of the demand that was refused, or 0 without demand.
func (r Rates) RefusedShare() float64 { return share(r.Refused, r.Demand()) }

// Reason is how often flows were refused for a reason.
type Reason struct {
	Name string
	// Refused is the number of flows in a second.
	Refused float64
}

// Service is the sum over the agents of a service.
type Service struct {
	Rates
	Agents               int
	Slots, Busy, Waiting float64
	// Answers is the number of answers in a second that have begun.
	Answers float64
	// Reasons has the most frequent reason first.
	Reasons []Reason
	// Priorities and Zones split the demand. Priorities are in the order of their numbers.
	Priorities, Zones []Rates
	// WaitTimes and AnswerTimes have the times of the window.
	WaitTimes, AnswerTimes Histogram
}

// ShareOf returns the share of a part in the service's demand, or 0 without demand.
func (s *Service) ShareOf(part Rates) float64 { return share(part.Demand(), s.Demand()) }

// ShareOfRefused returns the share of a reason in the service's refusals, or 0 without any.
func (s *Service) ShareOfRefused(r Reason) float64 { return share(r.Refused, s.Refused) }

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// sums is a Service in the making.
type sums struct {
	Service
	reasons           map[string]float64
	priorities, zones map[string]Rates
}

// Summarize returns the services of a list of windows, one for each agent, in the order of their names.
// Rates are the sums of each agent's rate in its own window.
func Summarize(list []Window) []Service {
	services := map[string]*sums{}
	for i := range list {
		w := &list[i]
		s := services[w.Service]
		if s == nil {
			s = &sums{reasons: map[string]float64{}, priorities: map[string]Rates{}, zones: map[string]Rates{}}
			s.Name = w.Service
			services[w.Service] = s
		}
		s.add(w)
	}
	out := make([]Service, 0, len(services))
	for _, s := range services {
		for name, n := range s.reasons {
			s.Reasons = append(s.Reasons, Reason{name, n})
		}
		slices.SortFunc(s.Reasons, func(a, b Reason) int {
			return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Name, b.Name))
		})
		s.Priorities, s.Zones = sorted(s.priorities), sorted(s.zones)
		out = append(out, s.Service)
	}
	slices.SortFunc(out, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (s *sums) add(w *Window) {
	s.Agents++
	s.Slots += w.Slots
	s.Busy += w.Busy
	s.Waiting += w.Waiting
	s.WaitTimes, s.AnswerTimes = s.WaitTimes.plus(w.Waits), s.AnswerTimes.plus(w.Answers)
	s.Answers += perSecond(w.Answers.Count(), w.Length)
	for f, n := range w.Flows {
		if n == 0 {
			continue
		}
		r := Rates{Opened: perSecond(n, w.Length)}
		if f.Outcome != Opened {
			r = Rates{Refused: r.Opened}
			s.reasons[f.Outcome] += r.Refused
		}
		s.Opened += r.Opened
		s.Refused += r.Refused
		addTo(s.priorities, f.Priority, r)
		addTo(s.zones, f.Zone, r)
	}
}

func addTo(groups map[string]Rates, name string, r Rates) {
	g := groups[name]
	groups[name] = Rates{name, g.Opened + r.Opened, g.Refused + r.Refused}
}

// perSecond returns a rate, or 0 if no time has passed.
func perSecond(n float64, d time.Duration) float64 { return share(n, d.Seconds()) }

// sorted returns groups in the order of their names, numbers by their value.
func sorted(groups map[string]Rates) []Rates {
	out := make([]Rates, 0, len(groups))
	for _, g := range groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b Rates) int {
		x, errX := strconv.Atoi(a.Name)
		y, errY := strconv.Atoi(b.Name)
		if errX == nil && errY == nil && x != y {
			return cmp.Compare(x, y)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}
