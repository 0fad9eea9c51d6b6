package packet

import "time"

const (
	// lateTime is how long a process does not run before it takes what waits in its sockets
	// for late. Sweeps come each 50 ms, and a quota of processor time stops a process for
	// less than a tenth of a second. A refusal must reach the caller before its first copy,
	// 200 ms after the opening packet, can open the flow elsewhere.
	lateTime = 100 * time.Millisecond
	// staleTime is the same for packets that are of no more use: callers have sent the first
	// copy, and balancers have handed it to another agent.
	staleTime = 200 * time.Millisecond
	// drainTime is how long a process then needs to read its sockets.
	drainTime = 100 * time.Millisecond
)

// stall notices that the process did not run for a while, because its instance was frozen,
// suspended or far too slow. The zero value has seen nothing.
type stall struct {
	// seen is when the process last ran for certain, woke when it went on after a stop, and
	// stopped how long that took.
	seen, woke time.Time
	stopped    time.Duration
	// suspended returns for how long the instance has been suspended since it started, which
	// the steady clock does not count. It is nil if that is not known, and slept is what it
	// last returned.
	suspended func() time.Duration
	slept     time.Duration
}

// observe notes that the process runs, and reports whether a packet that it reads now may
// have waited for it for so long that it is late, or stale. It must be called more often than
// lateTime.
func (s *stall) observe(now time.Time) (late, stale bool) {
	if s.seen.IsZero() && s.suspended != nil {
		s.slept = s.suspended()
	}
	if !s.seen.IsZero() {
		steady, day := now.Sub(s.seen), now.Round(0).Sub(s.seen.Round(0))
		if gap := steady + s.suspension(steady, day); gap > lateTime {
			s.woke, s.stopped = now, gap
		}
	}
	s.seen = now
	late = !s.woke.IsZero() && now.Sub(s.woke) < drainTime
	return late, late && s.stopped > staleTime
}

// suspension returns for how long the instance was suspended while the steady clock and the time
// of day went on by so much. The time of day may jump as well, so it only tells when to look.
func (s *stall) suspension(steady, day time.Duration) time.Duration {
	if s.suspended == nil || day-steady <= lateTime {
		return 0
	}
	before := s.slept
	s.slept = s.suspended()
	return s.slept - before
}

// since reports whether t is after the last stop.
func (s *stall) since(t time.Time) bool { return t.After(s.woke) }
