package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/timer"
)

// Guards against a call order of Virtual that depends on map iteration or goroutine
// scheduling.
func TestAdvanceRunsInOrder(t *testing.T) {
	c := qt.New(t)
	v := timer.NewVirtual(time.Unix(0, 0))
	var got []string
	v.Every(2*time.Second, func(time.Time) { got = append(got, "every") })
	v.After(3*time.Second, func(time.Time) { got = append(got, "after") })
	s := v.After(time.Second, func(time.Time) { got = append(got, "cancelled") })
	s.Cancel()
	v.Advance(4 * time.Second)
	c.Assert(got, qt.DeepEquals, []string{"every", "after", "every"})
	c.Assert(v.Now(), qt.Equals, time.Unix(4, 0))
}
