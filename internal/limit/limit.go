// Package limit decides which requests a target gets and when.
//
// A Limiter has neither clock nor socket. Its owner offers each request, reports
// when an answer starts or ends, and carries out the events that Poll returns:
//
//	d := l.Offer(now, limit.Request{Class: limit.Urgent, Deadline: deadline})
//	switch d.Verdict {
//	case limit.Start:  // run it, then l.Done(now, d.ID, limit.Completed)
//	case limit.Wait:   // an event with d.ID follows
//	case limit.Refuse: // answer now with d.RetryAfter
//	}
//	for _, e := range l.Poll(now) { ... }
//
// A target is believed by what it does, not by what it reports: its limit grows
// with work completed at its normal service time and falls to the cold share when
// its service time rises under full load.
//
// A Limiter is not safe for concurrent use.
package limit

import (
	"math"
	"slices"
	"time"

	"mangokeel/internal/wire"
)

// Class is the priority of a request; lower is more urgent.
type Class int

// Classes in the order in which they start.
const (
	Urgent Class = iota
	Normal
	Bulk
	classes
)

// ClassOf returns the class of a rule; unspecified is Normal.
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

// ID identifies an admitted or waiting request of one Limiter.
type ID uint64

// Verdict is what happens to a request.
type Verdict int

// Verdicts of Offer and Poll.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Reason says why a request was refused.
type Reason int

// Reasons of refusals.
const (
	// None belongs to requests that were not refused.
	None Reason = iota
	// Full means that the wait would be longer than the queue's bounds.
	Full
	// Late means that the deadline cannot be met.
	Late
	// Connections means that too many streams are open.
	Connections
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"none", "full", "late", "connections"}[r]
}

// Result is how a request ended.
type Result int

// Results of requests.
const (
	// Completed means that the target did the work.
	Completed Result = iota
	// Failed means that the target failed or did not answer.
	Failed
	// Cancelled means that the caller went away; it says nothing of the target.
	Cancelled
)

// Config is the bounds that a service's settings give. Values of 0 mean the
// defaults of New.
type Config struct {
	// Slots is the upper limit of requests at the target at one time.
	Slots int
	// Connections bounds running, waiting and streaming requests together.
	Connections int
	// Queue bounds the number of waiting requests.
	Queue int
	// Wait bounds the time in the queue.
	Wait time.Duration
}

// Defaults of a Config.
const (
	defaultSlots       = 2
	defaultConnections = 2000
	defaultQueue       = 64
	defaultWait        = 500 * time.Millisecond
)

// Request is what a decision depends on.
type Request struct {
	Class Class
	// Kind groups requests of similar service time, for example by rule.
	Kind uint32
	// Deadline is zero for none.
	Deadline time.Time
	// Hold means that the owner calls Begin when the target gets the work. The
	// slot is held from the start, and the service time counts from Begin.
	Hold bool
}

// Decision is the outcome of an offer, and an event for a request that waited.
type Decision struct {
	Verdict Verdict
	// ID is 0 for requests refused at once.
	ID     ID
	Reason Reason
	// RetryAfter is the expected wait of a refused request's class.
	RetryAfter time.Duration
}

// Bounds of the ramp and the queue.
const (
	// coldShare is the part of the configured slots that a cold target gets.
	coldShare = 1.0 / 8
	// doubling is the number of completions at normal service time that double
	// the limit, so 24 lead from the cold share to all slots.
	doubling = 8
	// bulkShare is the part of starts that bulk work gets while it waits.
	bulkShare = 0.1
	// bulkCredit bounds the starts that bulk work can save up.
	bulkCredit = 2
	// maxPause bounds the pause between requests while the limit is below one.
	maxPause = time.Second
)

// work is one request that waits or holds a slot.
type work struct {
	Request
	id ID
	// giveUp is the latest start. It leaves the caller at least half of the time
	// that was left at arrival to try elsewhere.
	giveUp time.Time
	// began is zero until the target gets the work.
	began time.Time
}

// Counts is the number of events since the start.
type Counts struct {
	Started, Refused, Completed, Failed, Collapses uint64
}

// Limiter decides for one target.
type Limiter struct {
	cfg Config
	// limit is between cold() and cfg.Slots.
	limit float64
	last  ID
	// running holds the requests in slots; it never exceeds the slots that limit
	// gave at the start of the newest.
	running map[ID]*work
	// streams have left their slots.
	streams map[ID]struct{}
	// queue is in order of arrival for each class.
	queue [classes][]*work
	// credit is the number of starts that bulk work is owed.
	credit float64
	// notBefore is the earliest next start while limit is below one.
	notBefore time.Time
	health    health
	// refused are waiting requests that a decision has already refused.
	refused []Decision
	counts  Counts
}

// New returns a limiter for a cold target.
func New(cfg Config) *Limiter {
	l := &Limiter{
		running: map[ID]*work{},
		streams: map[ID]struct{}{},
		health:  newHealth(),
	}
	l.SetConfig(cfg)
	l.limit = l.cold()
	return l
}

// SetConfig changes the bounds. The limit keeps its share of the slots.
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

// Offer decides on a new request.
func (l *Limiter) Offer(now time.Time, r Request) Decision {
	l.checkInFlight(now)
	if l.late(now, r) {
		return l.refuse(now, 0, r.Class, Late)
	}
	if len(l.running)+len(l.streams)+l.Queued() >= l.cfg.Connections {
		return l.refuse(now, 0, r.Class, Connections)
	}
	w := &work{Request: r, giveUp: l.giveUp(now, r.Deadline)}
	if l.free(now) && !l.waiting(r.Class) {
		l.last++
		w.id = l.last
		l.start(now, w)
		return Decision{Verdict: Start, ID: w.id}
	}
	if !l.fits(now, w, len(l.queue[r.Class])) || !l.makeRoom(now, r.Class) {
		return l.refuse(now, 0, r.Class, Full)
	}
	l.last++
	w.id = l.last
	l.queue[r.Class] = append(l.queue[r.Class], w)
	return Decision{Verdict: Wait, ID: w.id}
}

// giveUp returns the latest start of a request that arrives now.
func (l *Limiter) giveUp(now, deadline time.Time) time.Time {
	wait := l.cfg.Wait
	if !deadline.IsZero() {
		wait = min(wait, deadline.Sub(now)/2)
	}
	return now.Add(wait)
}

// late reports whether the deadline cannot be met even if the request starts now.
func (l *Limiter) late(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(l.health.least(r.Kind)).After(r.Deadline) ||
		!r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// waiting reports whether a request of class c would overtake one that waits.
func (l *Limiter) waiting(c Class) bool {
	for i := Urgent; i <= c; i++ {
		if len(l.queue[i]) > 0 {
			return true
		}
	}
	return len(l.queue[Bulk]) > 0 && l.credit >= 1
}

// fits reports whether w, with ahead requests of its class before it, is expected
// to start in time. The first waiting bulk request always fits, because its
// guaranteed share may be slower than the queue's time.
func (l *Limiter) fits(now time.Time, w *work, ahead int) bool {
	if w.Class == Bulk && ahead == 0 {
		return true
	}
	return !now.Add(l.expected(now, w.Class, ahead)).After(w.giveUp)
}

// makeRoom keeps the queue's length within its bound: the newest waiting request
// of a lower class is refused in favour of a higher one. It returns false when no
// request can give way.
func (l *Limiter) makeRoom(now time.Time, c Class) bool {
	if l.Queued() < l.cfg.Queue {
		return true
	}
	for low := Bulk; low > c; low-- {
		n := len(l.queue[low])
		if n == 0 || low == Bulk && float64(n) <= bulkShare*float64(l.cfg.Queue) {
			continue
		}
		l.drop(now, low, n-1, Full)
		return true
	}
	return false
}

// drop refuses the waiting request at index i.
func (l *Limiter) drop(now time.Time, c Class, i int, why Reason) {
	w := l.queue[c][i]
	l.queue[c] = slices.Delete(l.queue[c], i, i+1)
	l.refused = append(l.refused, l.refuse(now, w.id, c, why))
}

func (l *Limiter) refuse(now time.Time, id ID, c Class, why Reason) Decision {
	l.counts.Refused++
	return Decision{Verdict: Refuse, ID: id, Reason: why, RetryAfter: l.expected(now, c, len(l.queue[c]))}
}

// expected returns the expected wait behind ahead requests of class c.
func (l *Limiter) expected(now time.Time, c Class, ahead int) time.Duration {
	n := float64(ahead)
	for i := range c {
		n += float64(len(l.queue[i]))
	}
	if c == Bulk {
		n = min(n, float64(ahead)/bulkShare)
	}
	if len(l.running) >= l.Slots() {
		// Half of a service time is left of those that run, on average.
		n += 0.5
	}
	pause := max(0, l.notBefore.Sub(now))
	return pause + time.Duration(n*float64(l.health.mean)/l.limit)
}

// free reports whether a request may start now.
func (l *Limiter) free(now time.Time) bool {
	return len(l.running) < l.Slots() && !now.Before(l.notBefore)
}

// Slots is the number of requests that may run at one time at present.
func (l *Limiter) Slots() int { return max(1, int(l.limit)) }

func (l *Limiter) start(now time.Time, w *work) {
	if !w.Hold {
		w.began = now
	}
	l.running[w.id] = w
	l.counts.Started++
	if w.Class == Bulk {
		l.credit = max(0, l.credit-1)
		return
	}
	l.credit = min(bulkCredit, l.credit+bulkShare/(1-bulkShare))
}

// Poll returns what became of waiting requests. It is called after every other
// method and at the time that Wake returns.
func (l *Limiter) Poll(now time.Time) []Decision {
	l.checkInFlight(now)
	l.expire(now)
	events := l.refused
	l.refused = nil
	for l.free(now) {
		w := l.pop()
		if w == nil {
			break
		}
		if l.late(now, w.Request) {
			events = append(events, l.refuse(now, w.id, w.Class, Late))
			continue
		}
		l.start(now, w)
		events = append(events, Decision{Verdict: Start, ID: w.id})
	}
	return events
}

// expire refuses the waiting requests whose time in the queue has passed.
func (l *Limiter) expire(now time.Time) {
	for c := range l.queue {
		for i := len(l.queue[c]) - 1; i >= 0; i-- {
			if !now.Before(l.queue[c][i].giveUp) {
				l.drop(now, Class(c), i, Full)
			}
		}
	}
}

// trim refuses the waiting requests that are no longer expected to start in time.
func (l *Limiter) trim(now time.Time) {
	for c := range l.queue {
		for i := len(l.queue[c]) - 1; i >= 0; i-- {
			if !l.fits(now, l.queue[c][i], i) {
				l.drop(now, Class(c), i, Full)
			}
		}
	}
}

// pop takes the next request: bulk when it is owed a start, else by class.
func (l *Limiter) pop() *work {
	if l.credit >= 1 && len(l.queue[Bulk]) > 0 {
		return l.popClass(Bulk)
	}
	for c := range l.queue {
		if len(l.queue[c]) > 0 {
			return l.popClass(Class(c))
		}
	}
	return nil
}

func (l *Limiter) popClass(c Class) *work {
	w := l.queue[c][0]
	l.queue[c] = slices.Delete(l.queue[c], 0, 1)
	return w
}

// Wake returns when Poll has to be called next if nothing else happens, or the
// zero time when nothing waits.
func (l *Limiter) Wake(now time.Time) time.Time {
	var at time.Time
	for c := range l.queue {
		for _, w := range l.queue[c] {
			if at.IsZero() || w.giveUp.Before(at) {
				at = w.giveUp
			}
		}
	}
	if !at.IsZero() && len(l.running) < l.Slots() && now.Before(l.notBefore) && l.notBefore.Before(at) {
		at = l.notBefore
	}
	return at
}

// Begin reports that the target gets a request that was offered with Hold.
func (l *Limiter) Begin(now time.Time, id ID) {
	if w := l.running[id]; w != nil {
		w.began = now
	}
}

// Detach reports that the answer to a stream, or to a request whose caller reads
// slowly, has started: it leaves its slot and counts as a connection.
func (l *Limiter) Detach(now time.Time, id ID) {
	if l.leaveSlot(now, id, Completed) {
		l.streams[id] = struct{}{}
	}
}

// Done reports the end of a request. Requests that still wait leave the queue.
func (l *Limiter) Done(now time.Time, id ID, r Result) {
	if _, ok := l.streams[id]; ok {
		delete(l.streams, id)
		return
	}
	if l.leaveSlot(now, id, r) {
		return
	}
	for c := range l.queue {
		l.queue[c] = slices.DeleteFunc(l.queue[c], func(w *work) bool { return w.id == id })
	}
}

// leaveSlot frees the slot of a request and learns from its service time.
func (l *Limiter) leaveSlot(now time.Time, id ID, r Result) bool {
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

// pace keeps a target with a limit below one idle between requests for the part
// of the time that the limit leaves.
func (l *Limiter) pace(now time.Time, service time.Duration) {
	if l.limit < 1 {
		l.notBefore = now.Add(min(maxPause, time.Duration(float64(service)*(1/l.limit-1))))
	}
}

func (l *Limiter) completed(now time.Time, kind uint32, service time.Duration, busy bool) {
	l.counts.Completed++
	normal := l.health.completed(now, kind, service)
	if busy && l.health.collapsed(l.health.ratio) {
		l.collapse(now)
		return
	}
	if normal {
		l.limit = min(float64(l.cfg.Slots), l.limit*math.Pow(2, 1.0/doubling))
	}
}

func (l *Limiter) failed(now time.Time) {
	l.counts.Failed++
	l.health.failed(now)
	if l.health.failing(now) {
		l.collapse(now)
	}
}

// checkInFlight counts the requests that run as if they ended now, so that a
// target which completes nothing is recognised too.
func (l *Limiter) checkInFlight(now time.Time) {
	if len(l.running) < l.Slots() || l.limit <= l.cold() {
		return
	}
	ratio := l.health.ratio
	for _, w := range l.running {
		if !w.began.IsZero() {
			ratio = l.health.project(ratio, w.Kind, now.Sub(w.began))
		}
	}
	if l.health.collapsed(ratio) {
		l.collapse(now)
	}
}

// SetCold treats the target as cold, as after a time without work.
func (l *Limiter) SetCold(now time.Time) {
	l.limit = l.cold()
	l.health.ratio = 1
	l.trim(now)
}

// collapse treats the target as cold because it no longer copes.
func (l *Limiter) collapse(now time.Time) {
	if l.limit > l.cold() {
		l.counts.Collapses++
	}
	l.SetCold(now)
}

func (l *Limiter) cold() float64 { return coldShare * float64(l.cfg.Slots) }

// Queued is the number of waiting requests.
func (l *Limiter) Queued() int {
	n := 0
	for c := range l.queue {
		n += len(l.queue[c])
	}
	return n
}

// Running is the number of requests in slots, Streams that of those beyond.
func (l *Limiter) Running() int { return len(l.running) }

// Streams is the number of answers that have left their slots.
func (l *Limiter) Streams() int { return len(l.streams) }

// Share is the present limit as a part of the configured slots, above 0 and up to 1.
func (l *Limiter) Share() float64 { return l.limit / float64(l.cfg.Slots) }

// Failing reports whether nearly all recent requests failed.
func (l *Limiter) Failing(now time.Time) bool { return l.health.failing(now) }

// Counts returns the counters.
func (l *Limiter) Counts() Counts { return l.counts }
