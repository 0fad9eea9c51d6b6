package packet

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/capacity"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// coldRateWindow is the window over which the rate of new flows to a cold target is bounded.
	coldRateWindow = time.Second
	// coldRateSlack extends the window by the time that packets may travel to the target.
	coldRateSlack = 50 * time.Millisecond
	// minColdFlows is how many flows a cold target gets per window whatever its rate, so that its
	// recovery becomes visible.
	minColdFlows = 1
	// maxUnansweredOpens is how many opening packets a target may leave unanswered for longer than
	// unansweredTimeout before it gets only one per probeInterval.
	maxUnansweredOpens = 2
	unansweredTimeout  = 150 * time.Millisecond
	probeInterval      = 500 * time.Millisecond
	// reportTimeout is how long ago the last report must be before one with a lower serial, or of an
	// incarnation with an earlier start time, counts: the target's clock may have been set back, or
	// another sender's report may have had a false serial. Targets report about every 0.8 s.
	reportTimeout = 3 * time.Second
	// defaultReportPeriod applies if the settings do not name the time between reports.
	defaultReportPeriod = 800 * time.Millisecond
	// refusalBackoff is how long a target that returned an opening packet gets no further one:
	// about the service time of a small request.
	refusalBackoff = 15 * time.Millisecond
)

// Errors of HandleReport.
var (
	// ErrForeignReport is returned for a report that is not about the agent's own target.
	ErrForeignReport = errors.New("the report is not about this agent's target")
	// ErrOldReport is returned for a report of an incarnation that has announced its stop or that
	// another incarnation has replaced.
	ErrOldReport = errors.New("the report is from an incarnation that has ended")
)

// Report is a status report of a target.
type Report struct {
	// ID and StartedAt, which is by the target's clock, identify the incarnation.
	ID        string
	StartedAt time.Time
	Service   string
	// Address is where the target takes packets, or the zero value if the report does not include it.
	Address netip.AddrPort
	// Draining targets keep their flows and accept no new ones.
	Draining bool
	Slots    int
	// ColdFor is how long the target remains cold and can handle only a low rate of new flows.
	ColdFor time.Duration
	// Serial increases with each report of an incarnation, starting with 1.
	Serial uint64
}

// isInitial reports whether no earlier agent can have received a report of this incarnation, so
// that the target holds no flows of an earlier agent. Targets retry failed reports at once and
// send the next report one period after a successful one, so a low serial within half a period of
// the start means that no report has succeeded before.
func (r Report) isInitial(now time.Time, period time.Duration) bool {
	age := now.Sub(r.StartedAt)
	return r.Serial == 1 || r.Serial <= maxFreshSerial && age >= 0 && age < period/2
}

// admission holds the target's state and decides whether the target gets new flows.
type admission struct {
	// known is set once the target has reported, stopped once it has announced that it stops.
	known, stopped bool
	ready          bool
	id             string
	startedAt      time.Time
	serial         uint64
	lastReport     time.Time
	// deferred is the last report of another incarnation that may have replaced the current one, or
	// nil. deferredStop is set once that one has announced its stop.
	deferred     *Report
	deferredStop bool
	service      string
	slots        int
	// coldUntil is when the target stops being cold by its last report. maybeCold is set if the
	// target may have become cold since then.
	coldUntil time.Time
	maybeCold bool
	// zoneRevision is the revision of the last change of the target's zone.
	zoneRevision uint64
	// recentOpens has the times of the opening packets within the cold rate window.
	recentOpens []time.Time
	// unanswered counts the opening packets since the target last sent a packet; unansweredSince
	// is the time of the first of them, lastOpen of the last.
	unanswered                int
	unansweredSince, lastOpen time.Time
	backoffUntil              time.Time
}

// isCold reports whether the target is or may be cold.
func (g *admission) isCold(now time.Time) bool { return g.maybeCold || now.Before(g.coldUntil) }

// unresponsive reports whether the target has stopped answering opening packets.
func (g *admission) unresponsive(now time.Time) bool {
	return g.unanswered >= maxUnansweredOpens && now.Sub(g.unansweredSince) > unansweredTimeout
}

// recordOpen records an opening packet that is delivered to the target.
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

// recordResponse records any packet that the target sent.
func (g *admission) recordResponse(now time.Time) {
	if g.unresponsive(now) {
		g.maybeCold = true // it may have restarted
	}
	g.unanswered = 0
}

// recordRefusal records that the target returned an opening packet.
func (g *admission) recordRefusal(now time.Time) { g.backoffUntil = now.Add(refusalBackoff) }

// recordUnknownFlow records that the target returned a packet of a flow that it had accepted: it
// may have restarted and be cold.
func (g *admission) recordUnknownFlow(time.Time) { g.maybeCold = true }

// withinColdRate reports whether a cold target may get one more flow. A rate of 0 means that the
// configuration sets no bound.
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

// acceptsService reports whether the own target accepts new flows of a service, now or once it has
// free capacity.
func (a *Agent) acceptsService(s *fleet.State, service string) bool {
	now := a.now()
	g := &a.admission
	a.checkZoneChange(s)
	return g.known && g.ready && g.service == service && !s.ZonesOut[a.cfg.Zone] &&
		(!g.unresponsive(now) || now.Sub(g.lastOpen) >= probeInterval)
}

// acceptsNow reports whether the own target can accept a new flow of a service now.
func (a *Agent) acceptsNow(s *fleet.State, service string, f mangokeel.Flow) bool {
	now := a.now()
	g := &a.admission
	limits := s.Services[service]
	switch {
	case !a.acceptsService(s, service):
		return false
	case now.Before(g.backoffUntil) || a.targetLoad().Full(targetTime(s.Routes[f.Address])):
		return false
	case limits.MaxConnections > 0 && a.open >= limits.MaxConnections:
		return false
	case g.isCold(now) && !g.withinColdRate(now, limits.ColdRate):
		return false
	}
	return true
}

// checkZoneChange detects a state change of the target's zone. The target may be cold after its
// zone has returned to service, until it reports again.
func (a *Agent) checkZoneChange(s *fleet.State) {
	if r := s.ZoneRevisions[a.cfg.Zone]; r != a.admission.zoneRevision {
		a.admission.zoneRevision = r
		a.admission.maybeCold = true
	}
}

// RejectReport records a report that cannot be read.
func (a *Agent) RejectReport(id string, err error) { a.events.recordReport(Rejected, id, err) }

// checkReport reports whether a report is about the agent's own target. Reports of other senders
// can arrive at the same address.
func (a *Agent) checkReport(r Report) error {
	switch {
	case a.cfg.Service != "" && r.Service != a.cfg.Service:
		return errors.Wrapf(ErrForeignReport, "service %q instead of %q", r.Service, a.cfg.Service)
	case a.cfg.Target.IsValid() && r.Address.IsValid() && r.Address != a.cfg.Target:
		return errors.Wrapf(ErrForeignReport, "address %s instead of %s", r.Address, a.cfg.Target)
	}
	return nil
}

// SetService changes the service of the target by the settings, after these were read again.
func (a *Agent) SetService(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if name != a.cfg.Service {
		a.events.logChange("service of the target changed", "service", name, "before", a.cfg.Service)
		a.cfg.Service = name
	}
}

// HandleReport applies a status report of the target. It returns ErrForeignReport or ErrOldReport
// if it ignores the report.
func (a *Agent) HandleReport(r Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkReport(r); err != nil {
		a.events.recordReport(Rejected, r.ID, err)
		return err
	}
	now := a.now()
	g := &a.admission
	same := g.known && r.ID == g.id && r.StartedAt.Equal(g.startedAt)
	switch {
	case same && g.stopped:
		return ErrOldReport
	case same && r.Serial <= g.serial && now.Sub(g.lastReport) < reportTimeout:
		// Duplicate or reordered, unless another sender's report had a false serial. A drain is never
		// taken back, so it counts in either case.
		g.ready = g.ready && !r.Draining
		return nil
	case same || !g.known:
	case !r.StartedAt.After(g.startedAt) && now.Sub(g.lastReport) < reportTimeout:
		return ErrOldReport
	case !g.stopped && a.mayStillReport(now):
		a.deferReport(r)
		return nil
	}
	a.applyReport(r, now)
	return nil
}

// mayStillReport reports whether the current incarnation of the target may be running: less than one
// and a half periods have passed since its last report, or since this process has resumed after a
// stall, in which reports could not be received.
func (a *Agent) mayStillReport(now time.Time) bool {
	period := a.cfg.ReportPeriod
	if period == 0 {
		period = defaultReportPeriod
	}
	since := a.admission.lastReport
	if a.stall.resumedAt.After(since) {
		since = a.stall.resumedAt
	}
	return a.stall.stalled(now) || now.Sub(since) < period+period/2
}

// deferReport keeps the first report of another incarnation until the current one has missed a
// report. Only one of them can run: if the current one reports again, the other sender is not the
// target. Until then the target may be the other one, which may be cold.
func (a *Agent) deferReport(r Report) {
	g := &a.admission
	if g.deferred == nil {
		a.events.logChange("report of another incarnation deferred", "id", r.ID, "current", g.id, "silent", a.now().Sub(g.lastReport))
	}
	g.deferred, g.deferredStop = &r, false
	g.maybeCold = g.maybeCold || r.ColdFor > 0
}

// applyDeferred applies a deferred report once the current incarnation has stopped or missed a
// report.
func (a *Agent) applyDeferred(now time.Time) {
	g := &a.admission
	if r := g.deferred; r != nil && (g.stopped || !a.mayStillReport(now)) {
		stop := g.deferredStop
		a.applyReport(*r, now)
		if stop {
			a.stopTarget()
		}
	}
}

// applyReport makes a report the state of the target. A report of another incarnation than the
// current one ends the flows of that one.
func (a *Agent) applyReport(r Report, now time.Time) {
	g := &a.admission
	switch {
	case !g.known:
		a.fresh = r.isInitial(now, a.cfg.ReportPeriod)
		a.aware = a.aware || a.fresh
	case r.ID != g.id || !r.StartedAt.Equal(g.startedAt):
		a.events.logChange("target restarted", "id", r.ID, "before", g.id, "flows", a.open, "silent", now.Sub(g.lastReport))
		a.scheduleResets(now.Add(-max(0, now.Sub(r.StartedAt))))
		a.resetEndingFlows("target restarted")
		a.learned.estimator = capacity.Estimator{}
		a.aware = true
	}
	a.vacant = false
	a.checkZoneChange(a.view.State())
	if !g.known || g.id != r.ID || g.ready == r.Draining || g.stopped {
		a.events.logChange("target status changed", "id", r.ID, "service", r.Service, "draining", r.Draining, "slots", r.Slots,
			"cold", r.ColdFor, "serial", r.Serial)
	}
	a.absence.recordTarget(now)
	*g = admission{
		known: true, ready: !r.Draining, id: r.ID, startedAt: r.StartedAt, serial: r.Serial, service: r.Service,
		lastReport: now, slots: max(1, r.Slots), coldUntil: now.Add(r.ColdFor), zoneRevision: g.zoneRevision,
		recentOpens: g.recentOpens, unanswered: g.unanswered, unansweredSince: g.unansweredSince, lastOpen: g.lastOpen,
		backoffUntil: g.backoffUntil,
	}
}

// HandleTargetStop handles the notice that an incarnation of the target stops. It returns false if
// that is not the current one.
func (a *Agent) HandleTargetStop(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := &a.admission
	if g.deferred != nil && g.deferred.ID == id {
		g.deferredStop = true
	}
	if !g.known || g.id != id {
		return false
	}
	a.stopTarget()
	return true
}

// stopTarget records that the current incarnation of the target stops.
func (a *Agent) stopTarget() {
	a.events.logChange("target is stopping", "id", a.admission.id, "flows", a.open)
	a.admission.ready, a.admission.stopped = false, true
	a.scheduleResets(a.now())
	a.resetAt = a.now().Add(endGracePeriod)
}

// scheduleResets schedules resets of the flows that the target accepted at or before t. The bound
// is needed because a new incarnation may accept flows before its first report. If a wrong clock
// of the target leaves flows of the earlier incarnation in place, the target returns their next
// packets.
func (a *Agent) scheduleResets(t time.Time) {
	for f, e := range a.flows {
		if e.local() && !e.acceptedAt.After(t) {
			a.endingFlows = append(a.endingFlows, f)
		}
	}
}

// Announcement returns the target's state for control, or nil while there is no target.
func (a *Agent) Announcement() *fleetwire.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := &a.admission
	if !g.known || g.stopped {
		return nil
	}
	x := &fleetwire.Announcement{
		Agent: a.cfg.Address.String(), Zone: string(a.cfg.Zone), Service: g.service,
		State: fleetwire.State_STATE_DRAINING, Load: a.load(), Cold: g.isCold(a.now()), Start: a.cfg.Start,
		Aware: a.aware, Fresh: a.fresh && a.now().Sub(a.startedAt) < restartSettlingTime,
	}
	if g.ready {
		x.State = fleetwire.State_STATE_READY
	}
	if o := a.lastAnnouncement; o == nil || o.Service != x.Service || o.State != x.State || o.Cold != x.Cold || o.Aware != x.Aware ||
		o.GetLoad().GetSlots() != x.GetLoad().GetSlots() {
		a.serial++
	}
	x.Serial = a.serial
	a.lastAnnouncement = x
	return x
}

// HasTarget reports whether the target has reported and has not announced its stop.
func (a *Agent) HasTarget() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.known && !a.admission.stopped
}

// AnnouncementChanged reports whether the announcement has changed since it was last built, so that
// control should receive it now.
func (a *Agent) AnnouncementChanged() bool {
	before := a.currentSerial()
	a.Announcement()
	return a.currentSerial() != before
}

// currentSerial returns the serial of the last announcement.
func (a *Agent) currentSerial() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.serial
}
