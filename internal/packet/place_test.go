package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against placement that chases early or stale estimates: a target whose first answer
// was quick looked much faster than all others, and for ten seconds after an outage flows were
// passed to it (docs/incidents.md, 6).
func TestEstimatesNeedAnswers(t *testing.T) {
	c := qt.New(t)
	var s service
	s.observe(time.Millisecond, 1)
	c.Assert(s.time() > serviceDefault*3/4, qt.IsTrue, qt.Commentf("%v after one answer", s.time()))
	for range 100 {
		s.observe(60*time.Millisecond, 1)
	}
	c.Assert(s.time() > 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v after many answers", s.time()))

	now := time.Now()
	e := &estimate{service: time.Millisecond, at: now}
	c.Assert(e.time(now.Add(time.Second)), qt.Equals, time.Millisecond)
	c.Assert(e.time(now.Add(serviceLife)), qt.Equals, serviceDefault)
	var unknown *estimate
	c.Assert(unknown.time(now), qt.Equals, serviceDefault)
}

// Guards against an expected time that ignores free slots, the queue, or the way.
func TestCost(t *testing.T) {
	c := qt.New(t)
	const work = 10 * time.Millisecond
	for _, x := range []struct {
		busy       float64
		away, cold bool
		want       time.Duration
	}{
		{0, false, false, work},
		{1, false, false, work},
		{3, false, false, 2 * work},
		{0, true, false, work + awayCost},
		{0, false, true, coldFactor * work},
	} {
		c.Assert(cost(x.busy, work, 2, x.away, x.cold), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}
