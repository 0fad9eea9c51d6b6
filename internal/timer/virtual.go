package timer

import (
	"container/heap"
	"sync"
	"time"

	"mangokeel"
)

// Virtual implements mangokeel.Timers for tests. Its clock moves only in Advance, which
// calls due functions by due time and, at equal times, in the order in which they were
// scheduled. A periodic function is scheduled again each time it is due.
type Virtual struct {
	mu    sync.Mutex
	now   time.Time
	seq   uint64
	queue eventQueue
}

var _ mangokeel.Timers = (*Virtual)(nil)

// NewVirtual returns a Virtual whose clock starts at start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now returns the current virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Every implements mangokeel.Timers.
func (v *Virtual) Every(period time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	return v.add(period, period, fn)
}

// After implements mangokeel.Timers.
func (v *Virtual) After(d time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	return v.add(d, 0, fn)
}

func (v *Virtual) add(d, period time.Duration, fn func(now time.Time)) *event {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seq++
	e := &event{v: v, at: v.now.Add(d), seq: v.seq, period: period, fn: fn}
	heap.Push(&v.queue, e)
	return e
}

// Advance moves the clock forward by d and calls the functions that become due, each
// at its due time.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now.Add(d)
	v.mu.Unlock()
	for v.step(end) {
	}
}

// step runs the next function due by end, or drops it if it was cancelled. If there is
// none, it sets the clock to end and returns false.
func (v *Virtual) step(end time.Time) bool {
	v.mu.Lock()
	if len(v.queue) == 0 || v.queue[0].at.After(end) {
		v.now = end
		v.mu.Unlock()
		return false
	}
	e := heap.Pop(&v.queue).(*event)
	if e.cancelled {
		v.mu.Unlock()
		return true
	}
	v.now = e.at
	if e.period > 0 {
		v.seq++
		e.at, e.seq = e.at.Add(e.period), v.seq
		heap.Push(&v.queue, e)
	}
	now, fn := v.now, e.fn
	v.mu.Unlock()
	fn(now)
	return true
}

// event is a scheduled call. A period of 0 means that it runs once.
type event struct {
	v         *Virtual
	at        time.Time
	seq       uint64
	period    time.Duration
	fn        func(now time.Time)
	cancelled bool
}

// Cancel prevents further calls. The event stays queued until it is due.
func (e *event) Cancel() {
	e.v.mu.Lock()
	defer e.v.mu.Unlock()
	e.cancelled = true
}

// eventQueue is a heap of events ordered by due time, then by sequence number.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
