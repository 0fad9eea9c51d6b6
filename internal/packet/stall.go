package packet

import "time"

const (
	// lateAfter is how long a process does not run before it takes what waits in its sockets
	// for late. Sweeps come each 50 ms, and a quota of processor time stops a process for
	// less than a tenth of a second. A refusal must reach the caller before its first copy,
	// 200 ms after the opening packet, can open the flow elsewhere.
	lateAfter = 100 * time.Millisecond
	// staleAfter is the same for packets that are of no more use: callers have sent the first
	// copy, and balancers have handed it to another agent.
	staleAfter = 200 * time.Millisecond
	// socketDrainTime is how long a process then needs to read its sockets.
	socketDrainTime = 100 * time.Millisecond
)

// stallDetector notices that the process did not run for a while, because its instance was frozen,
// suspended or far too slow. The zero value has seen nothing.
type stallDetector struct {
	// lastRun is when the process last ran for certain, resumedAt when it went on after a stop, and
	// stopped how long that took.
	lastRun, resumedAt time.Time
	stalledFor         time.Duration
	// suspended returns for how long the instance has been suspended since it started, which
	// the steady clock does not count. It is nil if that is not known, and slept is what it
	// last returned.
	suspended     func() time.Duration
	lastSuspended time.Duration
}

// observe notes that the process runs, and reports whether a packet that it reads now may
// have waited for it for so long that it is late, or stale. It must be called more often than
// lateTime.
func (s *stallDetector) observe(now time.Time) (late, stale bool) {
	if s.lastRun.IsZero() && s.suspended != nil {
		s.lastSuspended = s.suspended()
	}
	if !s.lastRun.IsZero() {
		steady, day := now.Sub(s.lastRun), now.Round(0).Sub(s.lastRun.Round(0))
		if gap := steady + s.suspension(steady, day); gap > lateAfter {
			s.resumedAt, s.stalledFor = now, gap
		}
	}
	s.lastRun = now
	late = !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < socketDrainTime
	return late, late && s.stalledFor > staleAfter
}

// suspension returns for how long the instance was suspended while the steady clock and the time
// of day went on by so much. The time of day may jump as well, so it only tells when to look.
func (s *stallDetector) suspension(steady, day time.Duration) time.Duration {
	if s.suspended == nil || day-steady <= lateAfter {
		return 0
	}
	before := s.lastSuspended
	s.lastSuspended = s.suspended()
	return s.lastSuspended - before
}

// resumedBefore reports whether t is after the last stop.
func (s *stallDetector) resumedBefore(t time.Time) bool { return t.After(s.resumedAt) }
