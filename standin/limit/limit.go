// Package limit computes how many requests of an outage anybody could have served in time.
//
// It replays the requests around an outage of all targets with a server that knows everything: when
// each request began, until when its answer counts, and which slots are free. No real system can do
// better, so that the difference between its result and what was served bounds what a better policy
// can gain.
//
//	served := limit.Serve(limit.Outage{From: from, Until: until, ...}, requests, services)
//	fmt.Println(limit.Count(served, from, to))
//
// Requests that begin during the outage reach a target only with one of the copies that callers
// send; Outage.Copies has their ages.
package limit

import (
	"cmp"
	"slices"
	"time"
)

// Class is a kind of request. Its times are positive.
type Class struct {
	Name, Service string
	// Rate is the number of requests per second.
	Rate float64
	// Work is the mean time that a request occupies a slot of a warm target.
	Work time.Duration
	// TargetTime and Timeout are the times since its beginning within which an answer counts as
	// in time, and at all.
	TargetTime, Timeout time.Duration
	// Value and LateValue are what an answer in time and a later one are worth. Value is not
	// smaller.
	Value, LateValue float64
}

// Service is a group of targets.
type Service struct {
	Slots int
	// ColdFactor is how many times as long requests take after the outage; 1 if the targets
	// survived it. ColdFor is how long that lasts.
	ColdFactor float64
	ColdFor    time.Duration
}

// Outage is a time during which no packet reaches a target. All times are since the start of the
// day.
type Outage struct {
	From, Until time.Duration
	// Copies has the ages at which callers repeat a packet that was not answered, in ascending
	// order. If it is empty, requests reach a target as soon as the outage ends.
	Copies []time.Duration
	// Request is the time from a caller's packet to the start of the work, with the opening of a
	// flow; Answer is the time from the end of the work to the caller.
	Request, Answer time.Duration
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Failed Outcome = iota
	Late
	InTime
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"failed", "late", "in time"}[o] }

// Request is one request of a class.
type Request struct {
	Class   *Class
	Begins  time.Duration
	Outcome Outcome

	arrives time.Duration
}

// Requests returns the requests of the classes that begin between two times, evenly spread.
func Requests(classes []Class, from, to time.Duration) (list []Request) {
	for i := range classes {
		c := &classes[i]
		if c.Rate <= 0 {
			continue
		}
		gap := time.Duration(float64(time.Second) / c.Rate)
		for at := from + gap/2; at < to; at += gap {
			list = append(list, Request{Class: c, Begins: at})
		}
	}
	return list
}

// Serve sets the outcomes of all requests. Requests of services that are not in services fail.
func Serve(o Outage, list []Request, services map[string]Service) {
	byService := map[string][]*Request{}
	for i := range list {
		r := &list[i]
		r.Outcome, r.arrives = Failed, o.arrival(r)
		byService[r.Class.Service] = append(byService[r.Class.Service], r)
	}
	for name, requests := range byService {
		if s := services[name]; s.Slots > 0 {
			o.serve(s, requests)
		}
	}
}

// arrival returns when a request reaches its target.
func (o Outage) arrival(r *Request) time.Duration {
	sent := r.Begins
	if arrives := sent + o.Request; arrives < o.From || arrives >= o.Until {
		return arrives
	}
	if len(o.Copies) == 0 {
		return max(sent, o.Until) + o.Request
	}
	for _, age := range o.Copies {
		if sent = r.Begins + age; sent >= o.Until {
			return sent + o.Request
		}
	}
	return r.Begins + r.Class.Timeout // no copy is sent after the outage
}

// serve serves the requests of one service. Each time a slot is free, it takes the request that is
// worth most for its work: those that can be answered in time first, and of equal ones that with the
// earliest deadline.
func (o Outage) serve(s Service, requests []*Request) {
	slices.SortStableFunc(requests, func(a, b *Request) int { return cmp.Compare(a.arrives, b.arrives) })
	free := make([]time.Duration, s.Slots) // when each slot is free
	var waiting []*Request
	var now time.Duration
	for next := 0; next < len(requests) || len(waiting) > 0; {
		slot := slices.Index(free, slices.Min(free))
		now = max(now, free[slot])
		if len(waiting) == 0 && next < len(requests) {
			now = max(now, requests[next].arrives)
		}
		if now >= o.From && now < o.Until {
			now = o.Until
		}
		for next < len(requests) && requests[next].arrives <= now {
			waiting = append(waiting, requests[next])
			next++
		}
		best, outcome := o.best(s, waiting, now)
		if best < 0 {
			waiting = waiting[:0] // none of them can be answered any more
			continue
		}
		r := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		done := now + o.work(s, r, now)
		if now < o.From && done > o.From {
			done = o.Until // the outage interrupts the work
		} else {
			r.Outcome = outcome
		}
		free[slot] = done
	}
}

// best returns the index of the request to serve next and its outcome, or -1 if none is left that
// can be answered.
func (o Outage) best(s Service, waiting []*Request, now time.Duration) (best int, outcome Outcome) {
	best = -1
	var value float64
	var deadline time.Duration
	for i, r := range waiting {
		work := o.work(s, r, now)
		answered := now + work + o.Answer - r.Begins
		v, until, x := r.Class.Value, r.Class.TargetTime, InTime
		if answered > until {
			v, until, x = r.Class.LateValue, r.Class.Timeout, Late
		}
		if answered > until {
			continue
		}
		v /= work.Seconds()
		if best < 0 || x > outcome || x == outcome && (v > value || v == value && r.Begins+until < deadline) {
			best, outcome, value, deadline = i, x, v, r.Begins+until
		}
	}
	return best, outcome
}

// work returns how long a request occupies a slot from now on.
func (o Outage) work(s Service, r *Request, now time.Duration) time.Duration {
	if now >= o.Until && now < o.Until+s.ColdFor {
		return time.Duration(float64(r.Class.Work) * s.ColdFactor)
	}
	return r.Class.Work
}

// Counts has the requests of a window by outcome, and what the answers are worth.
type Counts struct {
	Asked, InTime, Late, Failed int
	// Worth is the value of all answers as a share of the value that all in time would have.
	Worth float64
}

// Count counts the requests that began between two times.
func Count(list []Request, from, to time.Duration) (n Counts) {
	var got, most float64
	for _, r := range list {
		if r.Begins < from || r.Begins >= to {
			continue
		}
		n.Asked++
		most += r.Class.Value
		switch r.Outcome {
		case InTime:
			n.InTime++
			got += r.Class.Value
		case Late:
			n.Late++
			got += r.Class.LateValue
		default:
			n.Failed++
		}
	}
	if most > 0 {
		n.Worth = got / most
	}
	return n
}
