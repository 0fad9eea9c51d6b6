package packet

import (
	"time"

	"mangokeel"
	"mangokeel/internal/fleetwire"
)

const (
	// refusedProbeInterval separates the probes of an address that refuses connections. Targets that
	// start together with their agent have this long to listen, and the flows of an outage can still
	// be reset within half a second of the last agent's return.
	refusedProbeInterval = 200 * time.Millisecond
	// runningProbeInterval follows a probe that was not refused: a running target has reported by then.
	runningProbeInterval = defaultReportPeriod + defaultReportPeriod/2
	// minRefusedProbes is how many probes in a row must be refused.
	minRefusedProbes = 2
)

// ProbeResult is the result of a connection attempt to a target's address.
type ProbeResult int

const (
	// ProbeUnanswered means that the attempt timed out, or failed in a way that proves nothing.
	ProbeUnanswered ProbeResult = iota
	// ProbeRefused means that nothing listens at the address, so that no target can hold flows there.
	ProbeRefused
	// ProbeAccepted means that a target runs. It may hold flows.
	ProbeAccepted
)

// String returns the result's name.
func (r ProbeResult) String() string { return [...]string{"unanswered", "refused", "accepted"}[r] }

// WithTargetProbe sets a function that starts one connection attempt to the agent's target and reports
// its result later, from another goroutine. It must not block. Without it, an agent learns only from
// the notice of its target's stop that it has none.
func WithTargetProbe(probe func(report func(ProbeResult))) Option {
	return func(n *node) { n.probe = probe }
}

// absence collects the evidence that no target has run beside an agent since the agent started. It
// matters only until the target's first report. The zero value is ready to use.
type absence struct {
	// refused counts the probes in a row that were refused.
	refused int
	// probed is set once a probe has ended. last is the result of the last one.
	probed bool
	last   ProbeResult
	// pending is set while a probe runs. nextProbe is when the next one may start.
	pending   bool
	nextProbe time.Time
}

// proven reports whether nothing listens at the target's address.
func (b *absence) proven() bool { return b.refused >= minRefusedProbes }

// startProbe reports whether a probe is due. If so, it records that one starts.
func (b *absence) startProbe(now time.Time) bool {
	if b.pending || b.proven() || now.Before(b.nextProbe) {
		return false
	}
	b.pending, b.nextProbe = true, now.Add(refusedProbeInterval)
	return true
}

// recordProbe records the result of a probe and reports whether it differs from the last one.
func (b *absence) recordProbe(result ProbeResult, now time.Time) (changed bool) {
	changed = !b.probed || b.last != result
	b.pending, b.probed, b.last = false, true, result
	if result == ProbeRefused {
		b.refused++
	} else {
		b.recordTarget(now)
	}
	return changed
}

// recordTarget records that the target may run.
func (b *absence) recordTarget(now time.Time) {
	b.refused, b.nextProbe = 0, now.Add(runningProbeInterval)
}

// showsTarget reports whether a packet from a target that has not reported may come from one that holds
// flows. After a target's end its host may still answer packets of its flows: data with a reset, and a
// caller's last packet with an acknowledgement.
func (a *Agent) showsTarget(p mangokeel.Packet) bool {
	if p.Returned || p.Accepting || p.Size > 0 {
		return true
	}
	return !p.Reset && !a.offers[mangokeel.Flow{Caller: p.Destination, Address: p.Source}].final
}

// handleProbe handles the result of a probe.
func (a *Agent) handleProbe(result ProbeResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.absence.recordProbe(result, a.now()) && !a.admission.known {
		a.events.logChange("target probed", "result", result, "address", a.cfg.Target)
	}
	a.updateVacancy(a.now())
}

// updateVacancy starts a probe if one is due, and has control informed once there is certainly no
// target.
func (a *Agent) updateVacancy(now time.Time) {
	if a.probe != nil && !a.admission.known && a.absence.startProbe(now) {
		a.events.count(Probed)
		a.probe(a.handleProbe)
	}
	reason := a.vacancyReason()
	if a.vacant == (reason != "") {
		return
	}
	a.vacant = !a.vacant
	if !a.vacant {
		return
	}
	a.aware = true
	for _, q := range a.searches {
		q.localTargetPending = false
	}
	a.serial++
	a.lastAnnouncement = nil // the next one gets a serial of its own
	a.events.count(Vacant)
	a.events.logChange("agent has no target", "reason", reason, "after", now.Sub(a.startedAt), "serial", a.serial)
	a.refresh()
}

// vacancyReason returns why there is certainly no target that holds flows, or an empty string. A target
// has ended once it has announced its stop to this incarnation of the agent and its flows were reset. If
// it has never reported, an earlier incarnation of the agent may have given it flows, unless nothing listens
// at its address.
func (a *Agent) vacancyReason() string {
	g := &a.admission
	switch {
	case a.open > 0 || len(a.endingFlows) > 0 || g.deferred != nil:
		return ""
	case g.stopped:
		return "target announced its stop"
	case !g.known && a.absence.proven():
		return "target refuses connections"
	}
	return ""
}

// Vacancy returns the statement for control that there is no target, or nil. It is nil whenever
// Announcement is not.
func (a *Agent) Vacancy() *fleetwire.Vacancy {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.vacant || a.vacancyReason() == "" {
		return nil
	}
	return &fleetwire.Vacancy{
		Agent: a.cfg.Address.String(), Start: a.cfg.Start, Serial: a.serial, Fresh: a.now().Sub(a.startedAt) < restartSettlingTime,
	}
}
