package target

import (
	"context"
	"sync"
	"time"

	"mangokeel"
	"mangokeel/internal/limit"
	"mangokeel/internal/view"
)

// gate lets requests wait for the decisions of a Limiter.
type gate struct {
	timers mangokeel.Timers

	mu sync.Mutex
	l  *limit.Limiter
	// waiting has a channel with room for one decision for each queued request.
	waiting map[limit.ID]chan limit.Decision
	// wake is the time of the armed timer, zero when none is armed.
	wake  time.Time
	timer mangokeel.Subscription
}

func newGate(t mangokeel.Timers) *gate {
	return &gate{timers: t, l: limit.New(limit.Config{}), waiting: map[limit.ID]chan limit.Decision{}}
}

// update takes the bounds from the service's record.
func (g *gate) update(s *view.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l.SetConfig(limit.Config{
		Slots:       int(s.GetSlots()),
		Connections: int(s.GetConnections()),
		Queue:       int(s.GetQueue()),
		Wait:        time.Duration(s.GetWaitMs()) * time.Millisecond,
	})
	g.poll()
}

// setCold sets the limit of a cold target.
func (g *gate) setCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l.SetCold(g.timers.Now())
	g.poll()
}

// ticket is a place in the queue or a slot.
type ticket struct {
	limit.Decision
	ready chan limit.Decision
}

// offer asks for a slot.
func (g *gate) offer(r limit.Request) ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := ticket{Decision: g.l.Offer(g.timers.Now(), r)}
	if t.Verdict == limit.Wait {
		t.ready = make(chan limit.Decision, 1)
		g.waiting[t.ID] = t.ready
	}
	g.poll()
	return t
}

// wait returns the decision on a ticket. When ctx ends first the ticket is
// refused.
func (g *gate) wait(ctx context.Context, t ticket) limit.Decision {
	if t.Verdict != limit.Wait {
		return t.Decision
	}
	select {
	case d := <-t.ready:
		return d
	case <-ctx.Done():
		g.done(t.ID, limit.Cancelled)
		return limit.Decision{Verdict: limit.Refuse, Reason: limit.Late}
	}
}

// begin reports that the target gets the request.
func (g *gate) begin(id limit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l.Begin(g.timers.Now(), id)
}

// detach frees the slot of a request whose answer is still under way.
func (g *gate) detach(id limit.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l.Detach(g.timers.Now(), id)
	g.poll()
}

// done ends a request in whatever state it is.
func (g *gate) done(id limit.ID, r limit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.l.Done(g.timers.Now(), id, r)
	delete(g.waiting, id)
	g.poll()
}

// poll delivers decisions and arms the timer for the next one. It is called with
// mu held.
func (g *gate) poll() {
	now := g.timers.Now()
	for _, d := range g.l.Poll(now) {
		if ready := g.waiting[d.ID]; ready != nil {
			delete(g.waiting, d.ID)
			ready <- d
		}
	}
	at := g.l.Wake(now)
	if at.IsZero() || !g.wake.IsZero() && !at.Before(g.wake) {
		return
	}
	if g.timer != nil {
		g.timer.Cancel()
	}
	g.wake = at
	g.timer = g.timers.After(max(0, at.Sub(now)), g.tick)
}

func (g *gate) tick(time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake = time.Time{}
	g.poll()
}

// stats is a copy of the limiter's state.
type stats struct {
	limit.Counts
	running, queued, streams, slots int
	share                           float64
	failing                         bool
}

func (g *gate) stats() stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return stats{
		Counts: g.l.Counts(), running: g.l.Running(), queued: g.l.Queued(),
		streams: g.l.Streams(), slots: g.l.Slots(), share: g.l.Share(), failing: g.l.Failing(g.timers.Now()),
	}
}
