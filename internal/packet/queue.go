package packet

import (
	"slices"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

const (
	// waitShare is the part of a route's target time for which an opening packet may wait.
	// Under lasting overload all wait for so long, and the target's own queue, the request
	// itself and the way to the caller must fit into the rest.
	waitShare = 4
	// waitMost bounds the wait: callers send a copy after 200 ms.
	waitMost = 150 * time.Millisecond
	// targetDefault is the target time of routes that have none.
	targetDefault = 100 * time.Millisecond
	// firstCopy and secondCopy are how old the copies of an opening packet are that callers send.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	// queueLimit is how many opening packets may wait for each slot.
	queueLimit = 16
)

// waiting is an opening packet that waits until its target can take it.
type waiting struct {
	frame  *fleetwire.Frame
	flow   mangokeel.Flow
	packet mangokeel.Packet
	raw    []byte
	// late is set if the answer cannot come within the route's target time any more.
	late     bool
	priority int
	since    time.Time
	until    time.Time
}

// queue holds opening packets: those first whose answers can still come in time, then the most
// urgent, then the oldest. After an outage all callers come at once, and most of them are late
// already: serving those first would make the others late as well. Waiting is better than a refusal in a short overload: callers repeat refused requests
// within milliseconds and have few repetitions.
type queue struct {
	list []waiting
}

// has reports whether a flow waits.
func (q *queue) has(f mangokeel.Flow) bool {
	return slices.ContainsFunc(q.list, func(w waiting) bool { return w.flow == f })
}

// before reports whether w comes before v, whenever they came.
func (w *waiting) before(v *waiting) bool {
	if w.late != v.late {
		return v.late
	}
	return w.priority < v.priority
}

// age returns how old an opening packet is by what its sender says, at least.
func age(p mangokeel.Packet) time.Duration {
	switch p.Copy {
	case 0:
		return 0
	case 1:
		return firstCopy
	}
	return secondCopy
}

// add puts w behind all that do not come after it.
func (q *queue) add(w waiting) {
	i := len(q.list)
	for i > 0 && w.before(&q.list[i-1]) {
		i--
	}
	q.list = slices.Insert(q.list, i, w)
}

// next removes and returns the first one.
func (q *queue) next() (waiting, bool) {
	if len(q.list) == 0 {
		return waiting{}, false
	}
	w := q.list[0]
	q.list = slices.Delete(q.list, 0, 1)
	return w, true
}

// expired removes and returns those that have waited long enough.
func (q *queue) expired(now time.Time) (out []waiting) {
	q.list = slices.DeleteFunc(q.list, func(w waiting) bool {
		if now.Before(w.until) {
			return false
		}
		out = append(out, w)
		return true
	})
	return out
}

// targetOf returns the target time of a route, or of one that is not known.
func targetOf(route *fleet.Route) time.Duration {
	if route == nil || route.Target == 0 {
		return targetDefault
	}
	return route.Target
}

// wait queues an opening packet and reports whether there was room.
func (a *Agent) wait(x *fleetwire.Frame, f mangokeel.Flow, p mangokeel.Packet, raw []byte) bool {
	if a.queue.has(f) {
		return true
	}
	if x.GetWaited() || len(a.queue.list) >= a.gate.slots*queueLimit {
		return false
	}
	x.Waited = true
	d, priority := targetOf(nil), 0
	if route := a.view.State().Routes[f.Address]; route != nil {
		d, priority = targetOf(route), route.Priority
	}
	late := age(p) >= d
	d = min(d/waitShare, waitMost)
	a.events.decide(Queued, f, "busy", a.busy, "slots", a.gate.slots, "ahead", len(a.queue.list), "at_most", d)
	a.queue.add(waiting{
		frame: x, flow: f, packet: p, raw: slices.Clone(raw), late: late, priority: priority, since: a.now(), until: a.now().Add(d),
	})
	return true
}

// advance gives waiting packets to the target while it takes them.
func (a *Agent) advance() {
	s := a.view.State()
	a.dropLate(a.now())
	for len(a.queue.list) > 0 {
		w := a.queue.list[0]
		service, ok := a.chooseService(s, w.frame, w.flow)
		if ok && a.acceptsNow(s, service, w.flow) {
			a.queue.next()
			a.events.waits.Observe(a.now().Sub(w.since).Seconds())
			a.accept(w.frame, w.flow, w.packet, w.raw)
			continue
		}
		if ok && a.acceptsService(s, service) {
			return // the target is full, so that those behind must wait too
		}
		a.queue.next()
		a.placeElsewhere(s, w.frame, w.flow, w.packet, w.raw)
	}
}

// dropLate drops what has waited far too long because the process did not run.
func (a *Agent) dropLate(now time.Time) {
	for _, w := range a.queue.expired(now.Add(-lateTime)) {
		w.frame.Late = true
		a.refuse(w.frame, w.flow, w.packet, "the process did not run")
	}
}

// expireQueue refuses what has waited long enough.
func (a *Agent) expireQueue(now time.Time) {
	for _, w := range a.queue.expired(now) {
		a.refuse(w.frame, w.flow, w.packet, "waited too long")
	}
}
