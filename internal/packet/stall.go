package packet

import "time"

const (
	// lateAfter is how long a process must not have run for the packets in its sockets to count as
	// late. Sweeps come every 50 ms, and a quota of processor time stops a process for less than
	// 100 ms. A refusal must reach the caller before its first copy, 200 ms after the opening
	// packet, can open the flow elsewhere.
	lateAfter = 100 * time.Millisecond
	// staleAfter is how long a process must not have run for these packets to be useless: by then
	// callers have sent the first copy and balancers have handed it to another agent.
	staleAfter = 200 * time.Millisecond
	// socketDrainTime is how long a process needs after a stall to read its sockets. Packets count
	// as late or stale during this time only.
	socketDrainTime = 100 * time.Millisecond
)

// stallDetector detects that the process did not run for a while, because its instance was frozen,
// suspended or far too slow. The zero value is ready to use.
type stallDetector struct {
	// lastRun is when the process last ran, resumedAt when it continued after its last stall, and
	// stalledFor how long that stall lasted.
	lastRun, resumedAt time.Time
	stalledFor         time.Duration
	// suspended returns for how long the instance has been suspended since it started, which the
	// monotonic clock does not count. It is nil if that is not known. lastSuspended is the last
	// value that it returned.
	suspended     func() time.Duration
	lastSuspended time.Duration
}

// observe records that the process runs. It reports whether a packet that the process reads now
// may have waited in its socket for so long that it is late, or stale. It must be called at
// intervals shorter than lateAfter.
func (s *stallDetector) observe(now time.Time) (late, stale bool) {
	if s.lastRun.IsZero() && s.suspended != nil {
		s.lastSuspended = s.suspended()
	}
	if !s.lastRun.IsZero() {
		monotonic, wall := now.Sub(s.lastRun), now.Round(0).Sub(s.lastRun.Round(0))
		if gap := monotonic + s.suspension(monotonic, wall); gap > lateAfter {
			s.resumedAt, s.stalledFor = now, gap
		}
	}
	s.lastRun = now
	late = !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < socketDrainTime
	return late, late && s.stalledFor > staleAfter
}

// suspension returns for how long the instance was suspended while the monotonic and the wall
// clock advanced by the given times. The wall clock may also be set, so a difference between the
// clocks only triggers the query.
func (s *stallDetector) suspension(monotonic, wall time.Duration) time.Duration {
	if s.suspended == nil || wall-monotonic <= lateAfter {
		return 0
	}
	before := s.lastSuspended
	s.lastSuspended = s.suspended()
	return s.lastSuspended - before
}

// stalled reports whether the process has just resumed after a stall that observe has not seen yet.
func (s *stallDetector) stalled(now time.Time) bool {
	return !s.lastRun.IsZero() && now.Sub(s.lastRun) > lateAfter
}

// resumedBefore reports whether t is after the end of the last stall.
func (s *stallDetector) resumedBefore(t time.Time) bool { return t.After(s.resumedAt) }
