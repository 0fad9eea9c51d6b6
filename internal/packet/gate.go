package packet

import (
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// coldRateWindow is the span over which a cold target's rate is bounded.
	coldRateWindow = time.Second
	// coldRateSlack lengthens the window, since packets travel to the target.
	coldRateSlack = 50 * time.Millisecond
	// minColdFlows is what a cold target gets in a window whatever its rate, so that its
	// recovery shows.
	minColdFlows = 1
	// maxUnansweredOpens is how many opening packets a target may leave unanswered for
	// unansweredTime before it gets only one in probePeriod.
	maxUnansweredOpens = 2
	unansweredTimeout  = 150 * time.Millisecond
	probeInterval      = 500 * time.Millisecond
	// reportTimeout is how long a target is silent before an incarnation that claims to be
	// older may follow it: its clock may have gone back. Targets report about each 0.8 s.
	reportTimeout = 3 * time.Second
	// refusalBackoff is how long a target that returned an opening packet gets no other one:
	// about one service time of a small request.
	refusalBackoff = 15 * time.Millisecond
)

// Report is what a target says of itself.
type Report struct {
	// ID and Born, the start by the target's clock, tell incarnations apart.
	ID        string
	StartedAt time.Time
	Service   string
	// Draining targets keep their flows and take no new ones.
	Draining bool
	Slots    int
	// ColdFor is how long the target still bears little.
	ColdFor time.Duration
	// Serial rises with each report of an incarnation.
	Serial uint64
}

// isInitial reports whether no earlier agent can have heard a report of the incarnation, so that it
// holds no flow. Targets repeat reports that fail at once, and wait for a period after others.
// Serials begin with 1.
func (r Report) isInitial(now time.Time, period time.Duration) bool {
	age := now.Sub(r.StartedAt)
	return r.Serial == 1 || r.Serial <= freshReports && age >= 0 && age < period/2
}

// admission decides whether the target takes new flows.
type admission struct {
	// known is set once the target has reported; stopped once it said that it ends.
	known, stopped bool
	ready          bool
	id             string
	startedAt      time.Time
	serial         uint64
	lastReport     time.Time
	service        string
	slots          int
	// coldUntil is the end of the cold time. unsure is set when the target may have
	// become cold since its last report.
	coldUntil time.Time
	maybeCold bool
	// zoneRevision is the revision of the last change of the target's zoneRevision.
	zoneRevision uint64
	// recentOpens are the times of the last opening packets.
	recentOpens []time.Time
	// unanswered counts opening packets since the target last spoke; waiting is the time
	// of the first of them, probed of the last.
	unanswered                int
	unansweredSince, lastOpen time.Time
	backoffUntil              time.Time
}

// isCold reports whether the target bears little.
func (g *admission) isCold(now time.Time) bool { return g.maybeCold || now.Before(g.coldUntil) }

// unresponsive reports whether the target does not answer.
func (g *admission) unresponsive(now time.Time) bool {
	return g.unanswered >= maxUnansweredOpens && now.Sub(g.unansweredSince) > unansweredTimeout
}

// recordOpen notes an opening packet.
func (g *admission) recordOpen(now time.Time) {
	if g.unanswered == 0 {
		g.unansweredSince = now
	}
	g.unanswered++
	g.lastOpen = now
	g.recentOpens = append(g.recentOpens, now)
	for len(g.recentOpens) > 0 && now.Sub(g.recentOpens[0]) > coldRateWindow+coldRateSlack {
		g.recentOpens = g.recentOpens[1:]
	}
}

// recordResponse notes any packet of the target.
func (g *admission) recordResponse(now time.Time) {
	if g.unresponsive(now) {
		g.maybeCold = true // it may have started again
	}
	g.unanswered = 0
}

// recordRefusal notes that the target returned an opening packet.
func (g *admission) recordRefusal(now time.Time) { g.backoffUntil = now.Add(refusalBackoff) }

// recordUnknownFlow notes that the target returned a packet of a flow that it had accepted: it may
// have started again, and be cold.
func (g *admission) recordUnknownFlow(time.Time) { g.maybeCold = true }

// withinColdRate reports whether a cold target withinColdRate one more flow. A rate of 0 is none: the
// configuration bounds nothing.
func (g *admission) withinColdRate(now time.Time, rate float64) bool {
	if rate == 0 {
		return true
	}
	n := 0
	for _, t := range g.recentOpens {
		if now.Sub(t) <= coldRateWindow+coldRateSlack {
			n++
		}
	}
	return n < max(minColdFlows, int(rate))
}

// acceptsService reports whether the own target takes new flows of a service, now or when it
// has less to do.
func (a *Agent) acceptsService(s *fleet.State, service string) bool {
	now := a.now()
	g := &a.gate
	a.checkZoneChange(s)
	return g.known && g.ready && g.service == service && !s.Out[a.cfg.Zone] &&
		(!g.unresponsive(now) || now.Sub(g.lastOpen) >= probeInterval)
}

// isFull reports whether one more request of a route would be answered too late.
func (a *Agent) isFull(route *fleet.Route) bool {
	slots := a.gate.slots
	if a.busy < slots {
		return false
	}
	return a.busy >= slots*maxRequestsPerSlot || expectedLatency(float64(a.busy), a.service.serviceTime(), slots, false, false) > targetOf(route)/finishTimeDivisor
}

// acceptsNow reports whether the own target may take a new flow of a service now.
func (a *Agent) acceptsNow(s *fleet.State, service string, f mangokeel.Flow) bool {
	now := a.now()
	g := &a.gate
	app := s.Services[service]
	switch {
	case !a.acceptsService(s, service):
		return false
	case now.Before(g.backoffUntil) || a.isFull(s.Routes[f.Address]):
		return false
	case app.Connections > 0 && a.open >= app.Connections:
		return false
	case g.isCold(now) && !g.withinColdRate(now, app.ColdRate):
		return false
	}
	return true
}

// checkZoneChange notes that the target's zone came back: the target may be cold until it
// reports again.
func (a *Agent) checkZoneChange(s *fleet.State) {
	if r := s.Zones[a.cfg.Zone]; r != a.gate.zoneRevision {
		a.gate.zoneRevision = r
		a.gate.maybeCold = true
	}
}

// HandleReport takes over what the target says of itself. It returns false for the word of an
// incarnation that another has followed, or that was overtaken by a later one.
func (a *Agent) HandleReport(r Report) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	g := &a.gate
	same := g.known && r.ID == g.id && r.StartedAt.Equal(g.startedAt)
	switch {
	case same && (g.stopped || r.Serial <= g.serial):
		return !g.stopped // overtaken by a later word
	case same:
	case !g.known:
		a.fresh = r.isInitial(now, a.cfg.Period)
		a.aware = a.aware || a.fresh
	case !r.StartedAt.After(g.startedAt) && now.Sub(g.lastReport) < reportTimeout:
		return false
	default:
		a.events.change("target started again", "id", r.ID, "before", g.id, "flows", a.open)
		a.scheduleResets(now.Add(-max(0, now.Sub(r.StartedAt))))
		a.endFlows("target started again")
		a.aware = true
	}
	a.checkZoneChange(a.view.State())
	if !g.known || g.id != r.ID || g.ready == r.Draining || g.stopped {
		a.events.change("target reports", "id", r.ID, "service", r.Service, "draining", r.Draining, "slots", r.Slots,
			"cold", r.ColdFor, "serial", r.Serial)
	}
	*g = admission{
		known: true, ready: !r.Draining, id: r.ID, startedAt: r.StartedAt, serial: r.Serial, service: r.Service,
		lastReport: now, slots: max(1, r.Slots), coldUntil: now.Add(r.ColdFor), zoneRevision: g.zoneRevision, recentOpens: g.recentOpens,
		unanswered: g.unanswered, unansweredSince: g.unansweredSince, lastOpen: g.lastOpen, backoffUntil: g.backoffUntil,
	}
	return true
}

// HandleTargetStop takes over that the target ends.
func (a *Agent) HandleTargetStop(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.gate.known || a.gate.id != id {
		return
	}
	a.events.change("target ends", "id", id, "flows", a.open)
	a.gate.ready, a.gate.stopped = false, true
	a.scheduleResets(a.now())
	a.endAt = a.now().Add(endGrace)
}

// scheduleResets notes the flows to reset: those that the target accepted before t. An incarnation
// may accept flows before its first report. If its clock is wrong and flows of an earlier
// incarnation stay, the target returns their next packets.
func (a *Agent) scheduleResets(t time.Time) {
	for f, e := range a.flows {
		if e.local() && !e.acceptedAt.After(t) {
			a.ends = append(a.ends, f)
		}
	}
}

// Announcement returns what to tell control, or nil while there is no target.
func (a *Agent) Announcement() *fleetwire.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := &a.gate
	if !g.known || g.stopped {
		return nil
	}
	x := &fleetwire.Announcement{
		Agent: a.cfg.Address.String(), Zone: string(a.cfg.Zone), Service: g.service,
		State: fleetwire.State_STATE_DRAINING, Load: a.load(), Cold: g.isCold(a.now()), Start: a.cfg.Start,
		Aware: a.aware, Fresh: a.fresh && a.now().Sub(a.started) < restartTime,
	}
	if g.ready {
		x.State = fleetwire.State_STATE_READY
	}
	if o := a.said; o == nil || o.Service != x.Service || o.State != x.State || o.Cold != x.Cold || o.Aware != x.Aware ||
		o.GetLoad().GetSlots() != x.GetLoad().GetSlots() {
		a.serial++
	}
	x.Serial = a.serial
	a.said = x
	return x
}

// HasTarget reports whether there is a target that has not ended.
func (a *Agent) HasTarget() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.known && !a.gate.stopped
}

// AnnouncementChanged reports whether control should hear of the target now.
func (a *Agent) AnnouncementChanged() bool {
	before := a.currentSerial()
	a.Announcement()
	return a.currentSerial() != before
}

func (a *Agent) currentSerial() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serial
}
