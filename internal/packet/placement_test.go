package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against placement by early or stale service times: after one quick answer a target looked
// much faster than all others, and flows were passed to it for ten seconds after an outage
// (docs/incidents.md, 6).
func TestEstimatesNeedAnswers(t *testing.T) {
	c := qt.New(t)
	var s targetStats
	s.recordServiceTime(time.Millisecond, 1)
	c.Assert(s.serviceTime() > defaultServiceTime*3/4, qt.IsTrue, qt.Commentf("%v after one answer", s.serviceTime()))
	for range 100 {
		s.recordServiceTime(60*time.Millisecond, 1)
	}
	c.Assert(s.serviceTime() > 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v after many answers", s.serviceTime()))

	now := time.Now()
	e := &loadEstimate{serviceTime: time.Millisecond, updatedAt: now}
	c.Assert(e.expectedServiceTime(now.Add(time.Second)), qt.Equals, time.Millisecond)
	c.Assert(e.expectedServiceTime(now.Add(serviceTimeTTL)), qt.Equals, defaultServiceTime)
	var unknown *loadEstimate
	c.Assert(unknown.expectedServiceTime(now), qt.Equals, defaultServiceTime)
}

// Guards against an expected latency that ignores free slots, queued requests, or the distance
// between zones.
func TestExpectedLatency(t *testing.T) {
	c := qt.New(t)
	const work = 10 * time.Millisecond
	for _, x := range []struct {
		busy            float64
		crossZone, cold bool
		want            time.Duration
	}{
		{0, false, false, work},
		{1, false, false, work},
		{3, false, false, 2 * work},
		{0, true, false, work + crossZoneCost},
		{0, false, true, coldCostFactor * work},
	} {
		c.Assert(expectedLatency(x.busy, work, 2, x.crossZone, x.cold), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}
