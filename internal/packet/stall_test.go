package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that takes itself for stopped although it ran, or packets for late
// longer than it needs to read its sockets.
func TestStall(t *testing.T) {
	c := qt.New(t)
	var s stall
	now := time.Now()
	observe := func(after time.Duration, wantLate, wantStale bool) {
		c.Helper()
		now = now.Add(after)
		late, stale := s.observe(now)
		c.Assert([]bool{late, stale}, qt.DeepEquals, []bool{wantLate, wantStale})
	}
	observe(0, false, false)
	for range 20 {
		observe(lateTime, false, false)
	}
	observe(staleTime, true, false)
	observe(drainTime-1, true, false)
	observe(1, false, false)
	observe(staleTime+1, true, true)
	observe(drainTime, false, false)
}
