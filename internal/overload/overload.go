// Package overload decides about new flows that a target cannot take at once: which of them may
// wait, in which order those that wait are served, and which are refused.
//
// All decisions are functions of values. Nothing here has a clock, a network or a lock, so that a
// test can play a load against them.
//
//	p := overload.Policy{Early: true, Fair: true}
//	q := overload.NewQueue[request](p)
//	if p.Full(target, aim) {
//		d := q.Offer(now, target, overload.Opening{Priority: 1, Aim: aim}, r)
//		if d != overload.Wait { refuse(d) }
//	}
//	for w, ok := q.Next(); ok; w, ok = q.Next() { q.Take(now, target); open(w) } // as long as the target is not full
//
// A flow that may wait either gets its turn within the bound of its wait, or is refused at that bound.
// With Policy.Early, a flow whose turn cannot come within the bound is refused at once instead: its
// caller can try again while the answer would still be in time, and the others are not made late by
// callers that come back after a wait in vain.
package overload

import (
	"net/netip"
	"time"
)

const (
	// waitDivisor determines how long a flow may wait: the time within which its caller wants the
	// answer divided by it. Under lasting overload all flows wait that long, and the target's own
	// queue, the request itself and the transmission to the caller must fit into the rest.
	waitDivisor = 4
	// MaxWait bounds the wait: callers send a copy of an opening packet after 200 ms.
	MaxWait = 150 * time.Millisecond
	// finishTimeDivisor gives the part of a caller's time within which a target must be able to
	// answer one more request. The wait in the queue, bounded by waitDivisor, and the network
	// latency take up the rest.
	finishTimeDivisor = 3
	// maxRequestsPerSlot bounds the requests that a target gets per slot, running and queued: hosts
	// queue a few requests per slot.
	maxRequestsPerSlot = 5
	// maxQueuedPerSlot is how many flows may wait for each slot.
	maxQueuedPerSlot = 16
)

// Policy is what operators may choose. The zero value is the policy for targets that decide by the
// length of their queue alone.
type Policy struct {
	// Early refuses a flow at once if its turn cannot come within the bound of its wait.
	Early bool
	// Fair serves the first waiting flow of each caller before the second one of any caller of the
	// same priority.
	Fair bool
	// Reserves has, for a priority, the share of the flows served from the queue that is kept for it
	// while flows of it wait. Each is above 0, and their sum is at most 1.
	Reserves map[int]float64
}

// Target is the load of a target.
type Target struct {
	// Slots is how many requests the target works on at once, at least 1.
	Slots int
	// Busy is how many requests it has, running and queued.
	Busy int
	// ServiceTime is the time that a request takes in a slot.
	ServiceTime time.Duration
}

// latency returns the expected time until the target has answered one more request.
func (t Target) latency() time.Duration {
	return time.Duration(float64(t.ServiceTime) * max(1, float64(t.Busy+1)/float64(t.Slots)))
}

// perRequest returns the mean time between two answers of a target that is busy.
func (t Target) perRequest() time.Duration {
	return t.ServiceTime / time.Duration(max(1, t.Slots))
}

// Full reports whether the target could not answer one more request within its part of aim, the time
// within which the caller wants the answer, or has reached its bound of requests per slot.
func (t Target) Full(aim time.Duration) bool {
	switch {
	case t.Busy < t.Slots:
		return false
	case t.Busy >= t.Slots*maxRequestsPerSlot:
		return true
	}
	return t.latency() > aim/finishTimeDivisor
}

// MaxWaitFor returns how long a flow may wait whose caller wants the answer within aim.
func MaxWaitFor(aim time.Duration) time.Duration { return min(aim/waitDivisor, MaxWait) }

// Opening is a new flow.
type Opening struct {
	// Late is set if the answer can no longer arrive within Aim.
	Late bool
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// Caller identifies the caller, who may open several flows.
	Caller netip.Addr
	// Aim is the time within which the caller wants the answer.
	Aim time.Duration
}

// Decision is the result of Queue.Offer.
type Decision int

// Decisions.
const (
	// Wait means that the flow waits.
	Wait Decision = iota
	// QueueFull refuses a flow because too many wait.
	QueueFull
	// NotInTime refuses a flow because its turn cannot come within the bound of its wait.
	NotInTime
)

// String returns the reason as it is logged.
func (d Decision) String() string {
	return [...]string{"waits", "queue full", "cannot be served in time"}[d]
}
