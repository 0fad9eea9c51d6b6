package overload

import (
	"slices"
	"time"
)

const (
	// rounding is the error that adding up shares may cause.
	rounding = 1e-9
	// turnWeight is the weight of the last turn in the mean: a target's speed shows in some ten
	// answers.
	turnWeight = 0.1
)

// Waiting is a flow that waits, with the value that its owner has stored.
type Waiting[T any] struct {
	Opening
	Value T
	// Since is when the wait began, Until when it ends at the latest.
	Since, Until time.Time
	// earlier counts the flows of the same caller, priority and lateness that waited when it came.
	earlier int
}

// Queue holds flows that wait for a target, in the order in which they are served: those whose answers
// can still arrive in time first, then the most urgent, then those of callers with fewer waiting flows
// (Policy.Fair), then the oldest. After an outage all callers return at once and most of their packets
// are late already; serving those first would make the others late as well.
//
// Reserves change that order: a priority with a reserve is served out of turn in proportion to its
// share, and has its share of the places even if flows of other priorities take all of them.
type Queue[T any] struct {
	policy Policy
	list   []Waiting[T]
	// credit has, for a priority with a reserve, the flows that it may be served out of turn. It grows
	// by the reserve with each flow that is served while one of that priority waits, and stays below
	// 1 plus the reserve.
	credit map[int]float64
	// next is the index in list of the flow that is served next.
	next int
	// turn is the mean time between two flows that were served while others waited, or 0 if it is not
	// known. lastTurn is when the last one was served, or the zero time if none waited then.
	turn     time.Duration
	lastTurn time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any](p Policy) *Queue[T] { return &Queue[T]{policy: p, credit: map[int]float64{}} }

// precedes reports whether w is served before v regardless of their arrival.
func (w *Waiting[T]) precedes(v *Waiting[T]) bool {
	if w.Late != v.Late {
		return v.Late
	}
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	return w.earlier < v.earlier
}

// sameClass reports whether w and v differ in their arrival alone.
func (w *Waiting[T]) sameClass(v *Waiting[T]) bool {
	return w.Late == v.Late && w.Priority == v.Priority
}

// waiting returns how many flows of a priority wait.
func (q *Queue[T]) waiting(priority int) (n int) {
	for i := range q.list {
		if q.list[i].Priority == priority {
			n++
		}
	}
	return n
}

// Len returns how many flows wait.
func (q *Queue[T]) Len() int { return len(q.list) }

// Contains reports whether a flow waits whose value fn accepts.
func (q *Queue[T]) Contains(fn func(T) bool) bool {
	return slices.ContainsFunc(q.list, func(w Waiting[T]) bool { return fn(w.Value) })
}

// Offer adds a flow if it may wait for the target.
func (q *Queue[T]) Offer(now time.Time, t Target, o Opening, v T) Decision {
	if places := t.Slots * maxQueuedPerSlot; len(q.list) >= places && float64(q.waiting(o.Priority)) >= q.policy.Reserves[o.Priority]*float64(places) {
		return QueueFull
	}
	limit := MaxWaitFor(o.Aim)
	w := Waiting[T]{Opening: o, Value: v, Since: now, Until: now.Add(limit)}
	if q.policy.Fair {
		for i := range q.list {
			if x := &q.list[i]; w.sameClass(x) && w.Caller == x.Caller {
				w.earlier++
			}
		}
	}
	at := len(q.list)
	for at > 0 && w.precedes(&q.list[at-1]) {
		at--
	}
	if q.policy.Early && q.expectedWait(t, &w, at) > limit {
		return NotInTime
	}
	q.list = slices.Insert(q.list, at, w)
	q.choose()
	return Wait
}

// expectedWait returns the expected time until w is served if it is inserted at an index.
func (q *Queue[T]) expectedWait(t Target, w *Waiting[T], at int) time.Duration {
	turns := float64(at + 1)
	if share := q.policy.Reserves[w.Priority]; share > 0 {
		ahead := 1
		for i := range q.list[:at] {
			if w.Priority == q.list[i].Priority {
				ahead++
			}
		}
		turns = min(turns, float64(ahead)/share)
	}
	return time.Duration(turns * float64(q.turnTime(t)))
}

// turnTime returns the expected time between two flows that are served: the mean of what the queue has
// seen, or an estimate from the target's service time if that is not known.
func (q *Queue[T]) turnTime(t Target) time.Duration {
	if q.turn == 0 {
		return t.perRequest()
	}
	return q.turn
}

// observeTurn records that a flow is served at now.
func (q *Queue[T]) observeTurn(t Target, now time.Time) {
	if !q.lastTurn.IsZero() {
		q.turn = q.turnTime(t)
		q.turn += time.Duration(turnWeight * float64(now.Sub(q.lastTurn)-q.turn))
	}
	q.lastTurn = time.Time{}
	if len(q.list) > 1 {
		q.lastTurn = now
	}
}

// Next returns the flow that is served next.
func (q *Queue[T]) Next() (Waiting[T], bool) {
	if len(q.list) == 0 {
		return Waiting[T]{}, false
	}
	return q.list[q.next], true
}

// Take removes the flow that Next returns because the target takes it.
func (q *Queue[T]) Take(now time.Time, t Target) {
	if len(q.list) == 0 {
		return
	}
	q.observeTurn(t, now)
	served := q.list[q.next].Priority
	for priority, share := range q.policy.Reserves {
		switch {
		case q.waiting(priority) == 0:
			delete(q.credit, priority) // a share that is not used is not saved up
		case priority == served:
			q.credit[priority] = max(0, q.credit[priority]+share-1)
		default:
			q.credit[priority] += share
		}
	}
	q.Remove()
}

// Remove removes the flow that Next returns without serving it.
func (q *Queue[T]) Remove() {
	if len(q.list) == 0 {
		return
	}
	q.list = slices.Delete(q.list, q.next, q.next+1)
	if len(q.list) == 0 {
		q.lastTurn = time.Time{}
	}
	q.choose()
}

// Expire removes and returns the flows whose wait has ended at now.
func (q *Queue[T]) Expire(now time.Time) (out []Waiting[T]) {
	q.list = slices.DeleteFunc(q.list, func(w Waiting[T]) bool {
		if now.Before(w.Until) {
			return false
		}
		out = append(out, w)
		return true
	})
	if len(out) > 0 {
		q.choose()
	}
	if len(q.list) == 0 {
		q.lastTurn = time.Time{}
	}
	return out
}

// choose sets next to the first flow, or to the first one in time of the priority whose reserve has the
// greatest credit of at least one flow.
func (q *Queue[T]) choose() {
	q.next = 0
	best := 0.0
	for i := range q.list {
		w := &q.list[i]
		if c := q.credit[w.Priority]; !w.Late && c > 1-rounding && c > best {
			q.next, best = i, c
		}
	}
}
