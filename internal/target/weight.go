package target

import (
	"sync"
	"time"

	"mangokeel/internal/limit"
)

// FullWeight is the weight of a target that can take its full configured limit.
const FullWeight = 256

const (
	// failingWeight is the weight of a target whose requests fail. It leaves a few
	// from which to learn that the target has recovered.
	failingWeight = 1
	// coldWeight is the weight of a cold target.
	coldWeight = FullWeight / 8
	// idleDoubling is the time without pressure that doubles the weight of a target.
	// Otherwise one that gets little work would stay cold, and get little work,
	// beside others that are warm.
	idleDoubling = 5 * time.Second
)

// weigher converts a limit into a weight in steps of a factor of two, so that few changes are
// reported to control. The zero value belongs to a cold target.
type weigher struct {
	mu sync.Mutex
	// floor is the weight that a target without pressure has reached.
	floor uint32
	// raised is when floor changed last.
	raised time.Time
	// last are the counts of the latest call.
	last limit.Counts
}

// setCold sets the weight of a cold target.
func (g *weigher) setCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.raised = time.Time{}
}

// weigh returns the weight for a limiter's state.
func (g *weigher) weigh(now time.Time, s stats) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	pressed := s.queued > 0 || s.Refused > g.last.Refused || s.Collapses > g.last.Collapses
	g.last = s.Counts
	switch {
	case s.failing || pressed || g.raised.IsZero():
		g.floor, g.raised = coldWeight, now
	case now.Sub(g.raised) >= idleDoubling:
		g.floor, g.raised = min(FullWeight, 2*g.floor), now
	}
	if s.failing {
		return failingWeight
	}
	w := uint32(FullWeight)
	for w > g.floor && s.share < float64(w)/FullWeight {
		w /= 2
	}
	return w
}
