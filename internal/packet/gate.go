package packet

import (
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// coldWindow is the span over which a cold target's rate is bounded.
	coldWindow = time.Second
	// coldSlack lengthens the window, since packets travel to the target.
	coldSlack = 50 * time.Millisecond
	// coldLeast is what a cold target gets in a window whatever its rate, so that its
	// recovery shows.
	coldLeast = 1
	// unansweredLimit is how many opening packets a target may leave unanswered for
	// unansweredTime before it gets only one in probePeriod.
	unansweredLimit = 2
	unansweredTime  = 150 * time.Millisecond
	probePeriod     = 500 * time.Millisecond
	// silentAfter is how long a target is silent before an incarnation that claims to be
	// older may follow it: its clock may have gone back. Targets report about each 0.8 s.
	silentAfter = 3 * time.Second
	// fullPause is how long a target that returned an opening packet gets no other one:
	// about one service time of a small request.
	fullPause = 15 * time.Millisecond
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

// first reports whether no earlier agent can have heard a report of the incarnation, so that it
// holds no flow. Targets repeat reports that fail at once, and wait for a period after others.
// Serials begin with 1.
func (r Report) first(now time.Time, period time.Duration) bool {
	age := now.Sub(r.StartedAt)
	return r.Serial == 1 || r.Serial <= freshReports && age >= 0 && age < period/2
}

// gate decides whether the target takes new flows.
type gate struct {
	// known is set once the target has reported; gone once it said that it ends.
	known, gone bool
	ready       bool
	id          string
	born        time.Time
	serial      uint64
	heard       time.Time
	service     string
	slots       int
	// coldUntil is the end of the cold time. unsure is set when the target may have
	// become cold since its last report.
	coldUntil time.Time
	unsure    bool
	// zone is the revision of the last change of the target's zone.
	zone uint64
	// starts are the times of the last opening packets.
	starts []time.Time
	// unanswered counts opening packets since the target last spoke; waiting is the time
	// of the first of them, probed of the last.
	unanswered      int
	waiting, probed time.Time
	fullUntil       time.Time
}

// coldNow reports whether the target bears little.
func (g *gate) coldNow(now time.Time) bool { return g.unsure || now.Before(g.coldUntil) }

// silent reports whether the target does not answer.
func (g *gate) silent(now time.Time) bool {
	return g.unanswered >= unansweredLimit && now.Sub(g.waiting) > unansweredTime
}

// opened notes an opening packet.
func (g *gate) opened(now time.Time) {
	if g.unanswered == 0 {
		g.waiting = now
	}
	g.unanswered++
	g.probed = now
	g.starts = append(g.starts, now)
	for len(g.starts) > 0 && now.Sub(g.starts[0]) > coldWindow+coldSlack {
		g.starts = g.starts[1:]
	}
}

// spoke notes any packet of the target.
func (g *gate) spoke(now time.Time) {
	if g.silent(now) {
		g.unsure = true // it may have started again
	}
	g.unanswered = 0
}

// refused notes that the target returned an opening packet.
func (g *gate) refused(now time.Time) { g.fullUntil = now.Add(fullPause) }

// forgot notes that the target returned a packet of a flow that it had accepted: it may
// have started again, and be cold.
func (g *gate) forgot(time.Time) { g.unsure = true }

// bears reports whether a cold target bears one more flow. A rate of 0 is none: the
// configuration bounds nothing.
func (g *gate) bears(now time.Time, rate float64) bool {
	if rate == 0 {
		return true
	}
	n := 0
	for _, t := range g.starts {
		if now.Sub(t) <= coldWindow+coldSlack {
			n++
		}
	}
	return n < max(coldLeast, int(rate))
}

// mayAdmit reports whether the own target takes new flows of a service, now or when it
// has less to do.
func (a *Agent) mayAdmit(s *fleet.State, service string) bool {
	now := a.now()
	g := &a.gate
	a.observeZone(s)
	return g.known && g.ready && g.service == service && !s.Out[a.cfg.Zone] &&
		(!g.silent(now) || now.Sub(g.probed) >= probePeriod)
}

// full reports whether one more request of a route would be answered too late.
func (a *Agent) full(route *fleet.Route) bool {
	slots := a.gate.slots
	if a.busy < slots {
		return false
	}
	return a.busy >= slots*queueFactor || cost(float64(a.busy), a.service.time(), slots, false, false) > targetOf(route)/finishShare
}

// admits reports whether the own target may take a new flow of a service now.
func (a *Agent) admits(s *fleet.State, service string, f mangokeel.Flow) bool {
	now := a.now()
	g := &a.gate
	app := s.Services[service]
	switch {
	case !a.mayAdmit(s, service):
		return false
	case now.Before(g.fullUntil) || a.full(s.Routes[f.Address]):
		return false
	case app.Connections > 0 && a.open >= app.Connections:
		return false
	case g.coldNow(now) && !g.bears(now, app.ColdRate):
		return false
	}
	return true
}

// observeZone notes that the target's zone came back: the target may be cold until it
// reports again.
func (a *Agent) observeZone(s *fleet.State) {
	if r := s.Zones[a.cfg.Zone]; r != a.gate.zone {
		a.gate.zone = r
		a.gate.unsure = true
	}
}

// HandleReport takes over what the target says of itself. It returns false for the word of an
// incarnation that another has followed, or that was overtaken by a later one.
func (a *Agent) HandleReport(r Report) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	g := &a.gate
	same := g.known && r.ID == g.id && r.StartedAt.Equal(g.born)
	switch {
	case same && (g.gone || r.Serial <= g.serial):
		return !g.gone // overtaken by a later word
	case same:
	case !g.known:
		a.fresh = r.first(now, a.cfg.Period)
		a.aware = a.aware || a.fresh
	case !r.StartedAt.After(g.born) && now.Sub(g.heard) < silentAfter:
		return false
	default:
		a.events.change("target started again", "id", r.ID, "before", g.id, "flows", a.open)
		a.endBefore(now.Add(-max(0, now.Sub(r.StartedAt))))
		a.endFlows("target started again")
		a.aware = true
	}
	a.observeZone(a.view.State())
	if !g.known || g.id != r.ID || g.ready == r.Draining || g.gone {
		a.events.change("target reports", "id", r.ID, "service", r.Service, "draining", r.Draining, "slots", r.Slots,
			"cold", r.ColdFor, "serial", r.Serial)
	}
	*g = gate{
		known: true, ready: !r.Draining, id: r.ID, born: r.StartedAt, serial: r.Serial, service: r.Service,
		heard: now, slots: max(1, r.Slots), coldUntil: now.Add(r.ColdFor), zone: g.zone, starts: g.starts,
		unanswered: g.unanswered, waiting: g.waiting, probed: g.probed, fullUntil: g.fullUntil,
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
	a.gate.ready, a.gate.gone = false, true
	a.endBefore(a.now())
	a.endAt = a.now().Add(endGrace)
}

// endBefore notes the flows to reset: those that the target accepted before t. An incarnation
// may accept flows before its first report. If its clock is wrong and flows of an earlier
// incarnation stay, the target returns their next packets.
func (a *Agent) endBefore(t time.Time) {
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
	if !g.known || g.gone {
		return nil
	}
	x := &fleetwire.Announcement{
		Agent: a.cfg.Address.String(), Zone: string(a.cfg.Zone), Service: g.service,
		State: fleetwire.State_STATE_DRAINING, Load: a.load(), Cold: g.coldNow(a.now()), Start: a.cfg.Start,
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
	return a.gate.known && !a.gate.gone
}

// AnnouncementChanged reports whether control should hear of the target now.
func (a *Agent) AnnouncementChanged() bool {
	before := a.serialNow()
	a.Announcement()
	return a.serialNow() != before
}

func (a *Agent) serialNow() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serial
}
