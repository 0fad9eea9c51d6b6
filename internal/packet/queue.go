package packet

import (
	"slices"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// waitDivisor determines how long an opening packet may wait: the route's target time divided
	// by it. Under lasting overload all packets wait that long, and the target's own queue, the
	// request itself and the transmission to the caller must fit into the rest.
	waitDivisor = 4
	// maxWait bounds the wait: callers send a copy after 200 ms.
	maxWait = 150 * time.Millisecond
	// maxResetWait is how long a packet may have waited to be refused with a reset, which must reach
	// the caller before a copy can have opened the flow elsewhere.
	maxResetWait = maxWait + 25*time.Millisecond
	// defaultTargetTime is the target time of routes that set none.
	defaultTargetTime = 100 * time.Millisecond
	// firstCopyAge and secondCopyAge are the ages at which callers send copies of an opening
	// packet.
	firstCopyAge  = 200 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond
	// maxQueuedPerSlot is how many opening packets may wait for each slot.
	maxQueuedPerSlot = 16
)

// queuedPacket is an opening packet that waits until its target can take it.
type queuedPacket struct {
	frame  *fleetwire.Frame
	flow   mangokeel.Flow
	packet mangokeel.Packet
	raw    []byte
	// late is set if the answer can no longer arrive within the route's target time.
	late     bool
	priority int
	queuedAt time.Time
	deadline time.Time
}

// queue holds opening packets. Those whose answers can still arrive in time come first, then the
// most urgent, then the oldest. After an outage all callers return at once and most of their
// packets are late already; serving those first would make the others late as well.
//
// In a short overload, waiting is better than a refusal: callers repeat refused requests within
// milliseconds and have few retries.
type queue struct {
	list []queuedPacket
}

// markLate marks the packet as late once it has waited for longer than maxResetWait.
func (w *queuedPacket) markLate(now time.Time) {
	w.frame.Late = w.frame.GetLate() || now.Sub(w.queuedAt) > maxResetWait
}

// contains reports whether a flow's opening packet is queued.
func (q *queue) contains(f mangokeel.Flow) bool {
	return slices.ContainsFunc(q.list, func(w queuedPacket) bool { return w.flow == f })
}

// precedes reports whether w is served before v regardless of their arrival.
func (w *queuedPacket) precedes(v *queuedPacket) bool {
	if w.late != v.late {
		return v.late
	}
	return w.priority < v.priority
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

// insert adds w before the first packet that w precedes.
func (q *queue) insert(w queuedPacket) {
	i := len(q.list)
	for i > 0 && w.precedes(&q.list[i-1]) {
		i--
	}
	q.list = slices.Insert(q.list, i, w)
}

// pop removes and returns the first packet.
func (q *queue) pop() (queuedPacket, bool) {
	if len(q.list) == 0 {
		return queuedPacket{}, false
	}
	w := q.list[0]
	q.list = slices.Delete(q.list, 0, 1)
	return w, true
}

// removeExpired removes and returns the packets whose deadline has passed at now.
func (q *queue) removeExpired(now time.Time) (out []queuedPacket) {
	q.list = slices.DeleteFunc(q.list, func(w queuedPacket) bool {
		if now.Before(w.deadline) {
			return false
		}
		out = append(out, w)
		return true
	})
	return out
}

// targetTime returns the target time of a route, or the default if the route is nil or sets none.
func targetTime(route *fleet.Route) time.Duration {
	if route == nil || route.TargetLatency == 0 {
		return defaultTargetTime
	}
	return route.TargetLatency
}

// enqueue queues an opening packet and reports whether there was room.
func (a *Agent) enqueue(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) bool {
	if a.queue.contains(f) {
		return true
	}
	if x.GetWaited() || len(a.queue.list) >= a.admission.slots*maxQueuedPerSlot {
		return false
	}
	x.Waited = true
	d, priority := targetTime(nil), 0
	if route := a.view.State().Routes[f.Address]; route != nil {
		d, priority = targetTime(route), route.Priority
	}
	late := copyAge(p) >= d
	d = min(d/waitDivisor, maxWait)
	a.events.record(Queued, f, "busy", a.busy, "slots", a.admission.slots, "ahead", len(a.queue.list), "at_most", d)
	a.queue.insert(queuedPacket{
		frame: x, flow: f, packet: p, raw: slices.Clone(raw), late: late, priority: priority, queuedAt: a.now(), deadline: a.now().Add(d),
	})
	return true
}

// admitQueued gives queued packets to the target as long as it takes them.
func (a *Agent) admitQueued() {
	s := a.view.State()
	a.refuseStalled(a.now())
	for len(a.queue.list) > 0 {
		w := a.queue.list[0]
		service, refusal := a.chooseService(s, w.frame, w.flow)
		if refusal == "" && a.acceptsNow(s, service, w.flow) {
			a.queue.pop()
			a.events.waitTimes.Observe(a.now().Sub(w.queuedAt).Seconds())
			a.openFlow(w.frame, w.flow, w.packet, w.raw)
			continue
		}
		if refusal == "" && a.acceptsService(s, service) {
			return // the target is full, so all packets behind must wait too
		}
		a.queue.pop()
		w.markLate(a.now())
		a.placeElsewhere(s, w.frame, w.flow, w.packet, w.raw)
	}
}

// refuseStalled refuses packets whose deadline passed more than lateAfter ago because the process
// did not run. They count as late, so that their callers get no reset.
func (a *Agent) refuseStalled(now time.Time) {
	for _, w := range a.queue.removeExpired(now.Add(-lateAfter)) {
		w.frame.Late = true
		a.refuse(w.frame, w.flow, w.packet, "the process did not run")
	}
}

// refuseExpired refuses packets whose deadline has passed.
func (a *Agent) refuseExpired(now time.Time) {
	for _, w := range a.queue.removeExpired(now) {
		w.markLate(now)
		a.refuse(w.frame, w.flow, w.packet, "waited too long")
	}
}
