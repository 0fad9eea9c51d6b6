package packet

import (
	"slices"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/overload"
)

const (
	// maxResetWait is how long a packet may have waited to be refused with a reset, which must reach
	// the caller before a copy can have opened the flow elsewhere.
	maxResetWait = overload.MaxWait + 25*time.Millisecond
	// defaultTargetTime is the target time of routes that set none.
	defaultTargetTime = 100 * time.Millisecond
	// firstCopyAge and secondCopyAge are the ages at which callers send copies of an opening
	// packet.
	firstCopyAge  = 200 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond
)

// queuedPacket is an opening packet that waits until its target can take it. In a short overload,
// waiting is better than a refusal: callers repeat refused requests within milliseconds and have few
// retries.
type queuedPacket struct {
	frame  *fleetwire.Frame
	flow   mangokeel.Flow
	packet mangokeel.Packet
	raw    []byte
}

// queuedOpening is a queuedPacket with its place in the queue.
type queuedOpening = overload.Waiting[queuedPacket]

// markLate marks the packet as late once it has waited for longer than maxResetWait.
func markLate(w queuedOpening, now time.Time) {
	w.Value.frame.Late = w.Value.frame.GetLate() || now.Sub(w.Since) > maxResetWait
}

// copyAge returns the minimum age of an opening packet by its copy number.
func copyAge(p mangokeel.Packet) time.Duration {
	switch p.Copy {
	case 0:
		return 0
	case 1:
		return firstCopyAge
	}
	return secondCopyAge
}

// targetTime returns the target time of a route, or the default if the route is nil or sets none.
func targetTime(route *fleet.Route) time.Duration {
	if route == nil || route.TargetLatency == 0 {
		return defaultTargetTime
	}
	return route.TargetLatency
}

// targetLoad returns the load of the own target.
func (a *Agent) targetLoad() overload.Target {
	return overload.Target{Slots: max(1, a.admission.slots), Busy: a.busy, ServiceTime: a.stats.serviceTime()}
}

// enqueue queues an opening packet. If it may not wait, the reason is returned.
func (a *Agent) enqueue(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) (refusal string) {
	if a.queue.Contains(func(w queuedPacket) bool { return w.flow == f }) {
		return ""
	}
	if x.GetWaited() {
		return refusedNoTarget
	}
	route := a.view.State().Routes[f.Address]
	o := overload.Opening{Caller: f.Caller.Addr(), Aim: targetTime(route)}
	if route != nil {
		o.Priority = route.Priority
	}
	o.Late = copyAge(p) >= o.Aim
	ahead := a.queue.Len()
	d := a.queue.Offer(a.now(), a.targetLoad(), o, queuedPacket{frame: x, flow: f, packet: p, raw: slices.Clone(raw)})
	if d != overload.Wait {
		return d.String()
	}
	x.Waited = true
	a.events.record(Queued, f, "busy", a.busy, "slots", a.admission.slots, "ahead", ahead, "at_most", overload.MaxWaitFor(o.Aim))
	return ""
}

// admitQueued gives queued packets to the target as long as it takes them.
func (a *Agent) admitQueued() {
	s := a.view.State()
	a.refuseStalled(a.now())
	if a.cfg.Overload.Early {
		a.refuseExpired(a.now())
	}
	for {
		w, ok := a.queue.Next()
		if !ok {
			return
		}
		q := w.Value
		service, refusal := a.chooseService(s, q.frame, q.flow)
		if refusal == "" && a.acceptsNow(s, service, q.flow) {
			a.queue.Take(a.now(), a.targetLoad())
			a.events.waitTimes.Observe(a.now().Sub(w.Since).Seconds())
			a.openFlow(q.frame, q.flow, q.packet, q.raw)
			continue
		}
		if refusal == "" && a.acceptsService(s, service) {
			return // the target is full, so all packets behind must wait too
		}
		a.queue.Remove()
		markLate(w, a.now())
		a.placeElsewhere(s, q.frame, q.flow, q.packet, q.raw)
	}
}

// refuseStalled refuses packets whose deadline passed more than lateAfter ago because the process
// did not run. They count as late, so that their callers get no reset.
func (a *Agent) refuseStalled(now time.Time) {
	for _, w := range a.queue.Expire(now.Add(-lateAfter)) {
		w.Value.frame.Late = true
		a.refuse(w.Value.frame, w.Value.flow, w.Value.packet, "the process did not run")
	}
}

// refuseExpired refuses packets whose deadline has passed.
func (a *Agent) refuseExpired(now time.Time) {
	for _, w := range a.queue.Expire(now) {
		markLate(w, now)
		a.refuse(w.Value.frame, w.Value.flow, w.Value.packet, "waited too long")
	}
}
