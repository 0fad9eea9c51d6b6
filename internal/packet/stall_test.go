package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/timer"
)

// Guards against stalls that are detected although the process ran, and against packets that count
// as late for longer than the process needs to read its sockets.
func TestStall(t *testing.T) {
	c := qt.New(t)
	var s stallDetector
	now := time.Now()
	observe := func(after time.Duration, wantLate, wantStale bool) {
		c.Helper()
		now = now.Add(after)
		late, stale := s.observe(now)
		c.Assert([]bool{late, stale}, qt.DeepEquals, []bool{wantLate, wantStale})
	}
	observe(0, false, false)
	for range 20 {
		observe(lateAfter, false, false)
	}
	observe(staleAfter, true, false)
	observe(socketDrainTime-1, true, false)
	observe(1, false, false)
	observe(staleAfter+1, true, true)
	observe(socketDrainTime, false, false)
}

// Guards against suspensions that go unnoticed because the monotonic clock does not count them,
// and against jumps of the wall clock that count as suspensions.
func TestSuspendedInstance(t *testing.T) {
	c := qt.New(t)
	var slept time.Duration
	s := stallDetector{suspended: func() time.Duration { return slept }}
	s.observe(time.Now())
	c.Assert(s.suspension(time.Millisecond, 5*time.Second), qt.Equals, time.Duration(0))
	slept = 4 * time.Second
	c.Assert(s.suspension(time.Millisecond, 5*time.Second), qt.Equals, slept)
	c.Assert(s.suspension(time.Millisecond, 5*time.Second), qt.Equals, time.Duration(0), qt.Commentf("it counts once"))
	c.Assert(s.suspension(5*time.Second, 5*time.Second), qt.Equals, time.Duration(0))
	c.Assert(timer.Suspended() >= 0, qt.IsTrue)
}
