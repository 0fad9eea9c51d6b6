// Package limit implements admission control with an adaptive concurrency limit and
// a priority queue in front of one target.
//
// A Limiter does no I/O and reads no clock. The code that uses it offers each request,
// reports when a response starts or ends, and acts on the decisions that Poll returns:
//
//	d := l.Offer(now, limit.Request{Class: limit.Urgent, Deadline: deadline})
//	switch d.Verdict {
//	case limit.Start:  // run it, then l.Done(now, d.ID, limit.Completed)
//	case limit.Wait:   // Poll returns a decision with d.ID later
//	case limit.Refuse: // reject it now, with d.RetryAfter
//	}
//	for _, e := range l.Poll(now) { ... }
//
// The limit depends on observed behaviour only, not on what the target reports. It
// grows with each completion at normal service time. It drops to the cold share when
// the service time rises while all slots are busy, and when the target fails
// repeatedly.
//
// A Limiter is not safe for concurrent use.
package limit

import (
	"math"
	"slices"
	"time"

	"mangokeel/internal/wire"
)

// Class is the priority class of a request. Lower values have higher priority.
type Class int

// Classes, from the highest to the lowest priority.
const (
	Urgent Class = iota
	Normal
	Bulk
	numClasses
)

// ClassOf converts the class of a rule. An unspecified class is Normal.
func ClassOf(c wire.Class) Class {
	switch c {
	case wire.Class_CLASS_URGENT:
		return Urgent
	case wire.Class_CLASS_BULK:
		return Bulk
	default:
		return Normal
	}
}

// ID identifies a running or queued request within one Limiter.
type ID uint64

// Verdict is the admission decision for a request.
type Verdict int

// Verdicts of Offer and Poll.
const (
	// Start means that the request holds a slot and may run now.
	Start Verdict = iota
	// Wait means that the request is queued. Only Offer returns it.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// Reason is why a request was refused.
type Reason int

// Reasons of refusals.
const (
	// None is the reason of requests that were not refused.
	None Reason = iota
	// Full means that the queue is full or that the request would wait or has
	// waited too long in it.
	Full
	// Late means that the request cannot complete before its deadline.
	Late
	// Connections means that running, queued and streaming requests together have
	// reached Config.Connections.
	Connections
)

// String returns the reason as it appears in metrics.
func (r Reason) String() string {
	return [...]string{"none", "full", "late", "connections"}[r]
}

// Result is the outcome of a request.
type Result int

// Results of requests.
const (
	// Completed means that the target processed the request.
	Completed Result = iota
	// Failed means that the target returned an error or did not respond.
	Failed
	// Cancelled means that the caller gave up. It does not affect the target's
	// health.
	Cancelled
)

// Config holds the limits from the settings of a service. Values that are not
// positive select the defaults.
type Config struct {
	// Slots is the maximum number of concurrent requests at the target.
	Slots int
	// Connections is the maximum number of running, queued and streaming requests.
	Connections int
	// Queue is the maximum number of queued requests.
	Queue int
	// Wait is the maximum time in the queue.
	Wait time.Duration
}

// Defaults for Config.
const (
	defaultSlots       = 2
	defaultConnections = 2000
	defaultQueue       = 64
	defaultWait        = 500 * time.Millisecond
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Class Class
	// Kind groups requests of similar service time, for example by rule.
	Kind uint32
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// Hold means that Begin is called when the request is sent to the target. The
	// slot is occupied from Start on, but the service time is measured from Begin.
	Hold bool
}

// Decision is the result of Offer, or of Poll for a request that was queued.
type Decision struct {
	Verdict Verdict
	// ID is 0 if Offer refused the request.
	ID     ID
	Reason Reason
	// RetryAfter is the expected queueing delay of the class of a refused request.
	RetryAfter time.Duration
}

// Parameters of the limit's growth and of the queue.
const (
	// coldShare is the fraction of the configured slots that a cold target gets. It
	// is also the lower bound of the limit.
	coldShare = 1.0 / 8
	// completionsToDouble is the number of completions at normal service time that double the
	// limit. The limit grows from the cold share to all slots in 24.
	completionsToDouble = 8
	// bulkShare is the fraction of starts reserved for queued Bulk requests, so that
	// other classes cannot starve them. It also reserves queue places for them.
	bulkShare = 0.1
	// maxBulkCredit is the maximum number of starts that Bulk accumulates.
	maxBulkCredit = 2
	// maxPause is the longest pause between requests while the limit is below 1.
	maxPause = time.Second
)

// trackedRequest is a request that is queued or occupies a slot.
type trackedRequest struct {
	Request
	id ID
	// latestStart is when the request is refused if it has not started. At least half of
	// the time between arrival and deadline remains, so that the caller can retry
	// on another target.
	latestStart time.Time
	// began is when the request was sent to the target, or zero before that.
	began time.Time
}

// Counts holds the event counters of a Limiter since New.
type Counts struct {
	Started, Refused, Completed, Failed, Collapses uint64
}

// Limiter admits, queues or refuses the requests to one target.
type Limiter struct {
	cfg Config
	// limit is the current concurrency limit, between coldLimit() and cfg.Slots. Below 1,
	// one request runs at a time, with pauses between requests.
	limit  float64
	lastID ID
	// running holds the requests that occupy slots. A start never takes it beyond
	// Slots, but it can exceed Slots after the
	// limit drops, because running requests are not cancelled.
	running map[ID]*trackedRequest
	// streams holds the detached requests. They count as connections only.
	streams map[ID]struct{}
	// queue holds the queued requests of each class in order of arrival.
	queue [numClasses][]*trackedRequest
	// credit is the number of starts that Bulk has accumulated. At 1 or more, Bulk
	// precedes the other classes.
	credit float64
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	health    health
	// pendingRefusals holds the refusals of queued requests that Poll has not returned yet.
	pendingRefusals []Decision
	counts          Counts
}

// New returns a limiter for a cold target.
func New(cfg Config) *Limiter {
	l := &Limiter{
		running: map[ID]*trackedRequest{},
		streams: map[ID]struct{}{},
		health:  newHealth(),
	}
	l.SetConfig(cfg)
	l.limit = l.coldLimit()
	return l
}

// SetConfig replaces the configuration. The limit is scaled to the new slots.
func (l *Limiter) SetConfig(cfg Config) {
	cfg.Slots = orDefault(cfg.Slots, defaultSlots)
	cfg.Connections = orDefault(cfg.Connections, defaultConnections)
	cfg.Queue = orDefault(cfg.Queue, defaultQueue)
	cfg.Wait = orDefault(cfg.Wait, defaultWait)
	if l.cfg.Slots > 0 {
		l.limit *= float64(cfg.Slots) / float64(l.cfg.Slots)
	}
	l.cfg = cfg
}

func orDefault[T int | time.Duration](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

// Offer starts, queues or refuses a new request.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	l.checkInFlight(now)
	if l.missesDeadline(now, r) {
		return l.refuse(now, 0, r.Class, Late)
	}
	if len(l.running)+len(l.streams)+l.Queued() >= l.cfg.Connections {
		return l.refuse(now, 0, r.Class, Connections)
	}
	w := &trackedRequest{Request: r, latestStart: l.latestStartOf(now, r.Deadline)}
	if l.canStart(now) && !l.mustQueue(r.Class) {
		l.lastID++
		w.id = l.lastID
		l.start(now, w)
		return Decision{Verdict: Start, ID: w.id}
	}
	if !l.startsInTime(now, w, len(l.queue[r.Class])) || !l.makeRoom(now, r.Class) {
		return l.refuse(now, 0, r.Class, Full)
	}
	l.lastID++
	w.id = l.lastID
	l.queue[r.Class] = append(l.queue[r.Class], w)
	return Decision{Verdict: Wait, ID: w.id}
}

// latestStartOf returns the latest start time of a request that arrives now.
func (l *Limiter) latestStartOf(now, deadline time.Time) time.Time {
	wait := l.cfg.Wait
	if !deadline.IsZero() {
		wait = min(wait, deadline.Sub(now)/2)
	}
	return now.Add(wait)
}

// missesDeadline reports whether r would miss its deadline even if it started now.
func (l *Limiter) missesDeadline(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(l.health.minServiceTimeOf(r.Kind)).After(r.Deadline) ||
		!r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// mustQueue reports whether a queued request precedes a new one of class c.
func (l *Limiter) mustQueue(c Class) bool {
	for i := Urgent; i <= c; i++ {
		if len(l.queue[i]) > 0 {
			return true
		}
	}
	return len(l.queue[Bulk]) > 0 && l.credit >= 1
}

// startsInTime reports whether w is expected to start before its latest start time with ahead
// requests of its class queued before it. It accepts the first Bulk request in any
// case, because at the reserved share the expected wait can exceed the maximum time in
// the queue.
func (l *Limiter) startsInTime(now time.Time, w *trackedRequest, ahead int) bool {
	if w.Class == Bulk && ahead == 0 {
		return true
	}
	return !now.Add(l.expectedWait(now, w.Class, ahead)).After(w.latestStart)
}

// makeRoom reports whether the queue can take a request of class c. If the queue is
// full, it refuses the newest request of the lowest class below c, except for Bulk
// requests within their reserved share of the queue.
func (l *Limiter) makeRoom(now time.Time, c Class) bool {
	if l.Queued() < l.cfg.Queue {
		return true
	}
	for low := Bulk; low > c; low-- {
		n := len(l.queue[low])
		if n == 0 || low == Bulk && float64(n) <= bulkShare*float64(l.cfg.Queue) {
			continue
		}
		l.refuseQueued(now, low, n-1, Full)
		return true
	}
	return false
}

// refuseQueued refuses the queued request of class c at index i.
func (l *Limiter) refuseQueued(now time.Time, c Class, i int, why Reason) {
	w := l.queue[c][i]
	l.queue[c] = slices.Delete(l.queue[c], i, i+1)
	l.pendingRefusals = append(l.pendingRefusals, l.refuse(now, w.id, c, why))
}

func (l *Limiter) refuse(now time.Time, id ID, c Class, why Reason) Decision {
	l.counts.Refused++
	return Decision{Verdict: Refuse, ID: id, Reason: why, RetryAfter: l.expectedWait(now, c, len(l.queue[c]))}
}

// expectedWait returns the expected wait of a request of class c that has ahead requests
// of its class queued before it.
func (l *Limiter) expectedWait(now time.Time, c Class, ahead int) time.Duration {
	n := float64(ahead)
	for i := range c {
		n += float64(len(l.queue[i]))
	}
	if c == Bulk {
		n = min(n, float64(ahead)/bulkShare)
	}
	if len(l.running) >= l.Slots() {
		// A running request has on average half of its service time left.
		n += 0.5
	}
	pause := max(0, l.notBefore.Sub(now))
	return pause + time.Duration(n*float64(l.health.meanServiceTime)/l.limit)
}

// canStart reports whether a request may start now.
func (l *Limiter) canStart(now time.Time) bool {
	return len(l.running) < l.Slots() && !now.Before(l.notBefore)
}

// Slots returns the number of requests that may currently run at once.
func (l *Limiter) Slots() int { return max(1, int(l.limit)) }

func (l *Limiter) start(now time.Time, w *trackedRequest) {
	if !w.Hold {
		w.began = now
	}
	l.running[w.id] = w
	l.counts.Started++
	if w.Class == Bulk {
		l.credit = max(0, l.credit-1)
		return
	}
	l.credit = min(maxBulkCredit, l.credit+bulkShare/(1-bulkShare))
}

// Poll returns the decisions on queued requests. It must be called after every change
// of the Limiter and at the time that Wake returns.
func (l *Limiter) Poll(now time.Time) []Decision {
	l.checkInFlight(now)
	l.expireQueued(now)
	events := l.pendingRefusals
	l.pendingRefusals = nil
	for l.canStart(now) {
		w := l.dequeue()
		if w == nil {
			break
		}
		if l.missesDeadline(now, w.Request) {
			events = append(events, l.refuse(now, w.id, w.Class, Late))
			continue
		}
		l.start(now, w)
		events = append(events, Decision{Verdict: Start, ID: w.id})
	}
	return events
}

// expireQueued refuses the queued requests that have reached their latest start time.
func (l *Limiter) expireQueued(now time.Time) {
	for c := range l.queue {
		for i := len(l.queue[c]) - 1; i >= 0; i-- {
			if !now.Before(l.queue[c][i].latestStart) {
				l.refuseQueued(now, Class(c), i, Full)
			}
		}
	}
}

// trimQueue refuses the queued requests that are no longer expected to start in time.
func (l *Limiter) trimQueue(now time.Time) {
	for c := range l.queue {
		for i := len(l.queue[c]) - 1; i >= 0; i-- {
			if !l.startsInTime(now, l.queue[c][i], i) {
				l.refuseQueued(now, Class(c), i, Full)
			}
		}
	}
}

// dequeue removes and returns the next queued request, or nil: a Bulk request if Bulk has
// a credit of at least one start, else the oldest one of the highest class.
func (l *Limiter) dequeue() *trackedRequest {
	if l.credit >= 1 && len(l.queue[Bulk]) > 0 {
		return l.dequeueClass(Bulk)
	}
	for c := range l.queue {
		if len(l.queue[c]) > 0 {
			return l.dequeueClass(Class(c))
		}
	}
	return nil
}

func (l *Limiter) dequeueClass(c Class) *trackedRequest {
	w := l.queue[c][0]
	l.queue[c] = slices.Delete(l.queue[c], 0, 1)
	return w
}

// Wake returns when Poll must be called next if no other method is called before, or
// the zero time if no request is queued.
func (l *Limiter) Wake(now time.Time) time.Time {
	var at time.Time
	for c := range l.queue {
		for _, w := range l.queue[c] {
			if at.IsZero() || w.latestStart.Before(at) {
				at = w.latestStart
			}
		}
	}
	if !at.IsZero() && len(l.running) < l.Slots() && now.Before(l.notBefore) && l.notBefore.Before(at) {
		at = l.notBefore
	}
	return at
}

// Begin records that a request offered with Hold is sent to the target.
func (l *Limiter) Begin(now time.Time, id ID) {
	if w := l.running[id]; w != nil {
		w.began = now
	}
}

// Detach records that the response of a stream, or of a request whose caller reads
// slowly, has started. The request frees its slot and counts as a connection until
// Done.
func (l *Limiter) Detach(now time.Time, id ID) {
	if l.releaseSlot(now, id, Completed) {
		l.streams[id] = struct{}{}
	}
}

// Done records the end of a request. A queued request is removed from the queue.
func (l *Limiter) Done(now time.Time, id ID, r Result) {
	if _, ok := l.streams[id]; ok {
		delete(l.streams, id)
		return
	}
	if l.releaseSlot(now, id, r) {
		return
	}
	for c := range l.queue {
		l.queue[c] = slices.DeleteFunc(l.queue[c], func(w *trackedRequest) bool { return w.id == id })
	}
}

// releaseSlot frees the slot of a request and updates the limit from its result and
// service time. It returns false if the request occupies no slot.
func (l *Limiter) releaseSlot(now time.Time, id ID, r Result) bool {
	w := l.running[id]
	if w == nil {
		return false
	}
	busy := len(l.running) >= l.Slots()
	delete(l.running, id)
	if w.began.IsZero() {
		return true
	}
	service := now.Sub(w.began)
	l.pace(now, service)
	switch r {
	case Completed:
		l.completed(now, w.Kind, service, busy)
	case Failed:
		l.failed(now)
	case Cancelled:
	}
	return true
}

// pace delays the next start while the limit is below 1, so that the target is busy
// for about that fraction of the time.
func (l *Limiter) pace(now time.Time, service time.Duration) {
	if l.limit < 1 {
		l.notBefore = now.Add(min(maxPause, time.Duration(float64(service)*(1/l.limit-1))))
	}
}

func (l *Limiter) completed(now time.Time, kind uint32, service time.Duration, busy bool) {
	l.counts.Completed++
	normal := l.health.recordSuccess(now, kind, service)
	if busy && l.health.collapsed(l.health.slowdown) {
		l.collapse(now)
		return
	}
	if normal {
		l.limit = min(float64(l.cfg.Slots), l.limit*math.Pow(2, 1.0/completionsToDouble))
	}
}

func (l *Limiter) failed(now time.Time) {
	l.counts.Failed++
	l.health.recordFailure(now)
	if l.health.failing(now) {
		l.collapse(now)
	}
}

// checkInFlight detects a collapse from the running requests, as if they completed
// now. Completions alone would miss a target that completes nothing any more.
func (l *Limiter) checkInFlight(now time.Time) {
	if len(l.running) < l.Slots() || l.limit <= l.coldLimit() {
		return
	}
	ratio := l.health.slowdown
	for _, w := range l.running {
		if !w.began.IsZero() {
			ratio = l.health.smooth(ratio, w.Kind, now.Sub(w.began))
		}
	}
	if l.health.collapsed(ratio) {
		l.collapse(now)
	}
}

// SetCold lowers the limit to the cold share, for example after an idle period.
func (l *Limiter) SetCold(now time.Time) {
	l.limit = l.coldLimit()
	l.health.slowdown = 1
	l.trimQueue(now)
}

// collapse lowers the limit to the cold share because the target is overloaded or
// failing.
func (l *Limiter) collapse(now time.Time) {
	if l.limit > l.coldLimit() {
		l.counts.Collapses++
	}
	l.SetCold(now)
}

func (l *Limiter) coldLimit() float64 { return coldShare * float64(l.cfg.Slots) }

// Queued returns the number of queued requests.
func (l *Limiter) Queued() int {
	n := 0
	for c := range l.queue {
		n += len(l.queue[c])
	}
	return n
}

// Running returns the number of requests that occupy slots.
func (l *Limiter) Running() int { return len(l.running) }

// Streams returns the number of detached requests that have not ended.
func (l *Limiter) Streams() int { return len(l.streams) }

// Share returns the limit as a fraction of the configured slots, above 0 and up to 1.
func (l *Limiter) Share() float64 { return l.limit / float64(l.cfg.Slots) }

// Failing reports whether nearly all recent requests failed, the last one recently.
func (l *Limiter) Failing(now time.Time) bool { return l.health.failing(now) }

// Counts returns a copy of the event counters.
func (l *Limiter) Counts() Counts { return l.counts }
