package packet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/standin/model"
)

// resetBound is within what callers of ended flows must hear of it once all agents are back.
const resetBound = 300 * time.Millisecond

// feeds opens long flows over a second.
func feeds(m *model.Fleet, n int, zone mangokeel.AvailabilityZone, pause time.Duration) {
	cfg := load(float64(n), time.Second)
	cfg.Requests, cfg.Pause, cfg.Zone = 10, pause, zone
	m.Load(cfg)
	m.Run(1500 * time.Millisecond)
}

// Guards against flows that are looked for at a part of the agents only: idle flows whose next
// packet comes through another zone reached other targets for seconds and never their own, with
// 163 targets (docs/incidents.md, 14). Load pattern: all callers move to another zone, and their
// balancers know nothing.
func TestFlowsAreFoundAmongMany(t *testing.T) {
	for _, hosts := range []int{10, 50, 200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			m := newFleetOfSize(fleetSize{hosts: hosts, balancers: 12, zones: 4}, 21)
			const flows = 200
			feeds(m, flows, "a", 2*time.Second)
			before := m.Frames
			m.Move("a", "b")
			m.Run(2500 * time.Millisecond)
			assertNoFaults(c, m)
			c.Assert(m.Stats.Failed, qt.Equals, 0, qt.Commentf("%v", m.Stats))
			c.Assert(m.Stats.Resets, qt.Equals, 0, qt.Commentf("%v", m.Stats))
			// Three questions and answers, the packet's ways, hints, and what owners tell
			// twice in this time; nothing of it depends on the number of agents.
			frames := float64(m.Frames-before) / flows
			t.Logf("agents=%d frames for each flow=%.1f", hosts, frames)
			c.Assert(frames < 40, qt.IsTrue, qt.Commentf("%.1f frames for each flow", frames))
			foreign := 0
			for _, h := range m.Hosts {
				foreign += h.Target.Foreign
			}
			c.Assert(foreign <= 2*flows, qt.IsTrue, qt.Commentf("%d packets reached other targets", foreign))
		})
	}
}

// Guards against callers that sit in silence after everything was lost, because nobody dares to
// end their flows (docs/incidents.md, 13). Load pattern: an outage of all agents and targets;
// then callers of long flows go on with them.
func TestFlowsOfAnOutageEnd(t *testing.T) {
	for _, hosts := range []int{10, 50, 200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			m := newFleetOfSize(fleetSize{hosts: hosts, balancers: 12, zones: 4}, 22)
			const flows = 200
			feeds(m, flows, "", 4500*time.Millisecond) // the next requests come after the outage
			runOutage(m)
			for _, b := range m.Balancers {
				m.Restart(b)
			}
			m.Complete = false
			m.Run(resetBound)
			m.Complete = true // the last agent has reported
			m.Poll()
			m.Run(resetBound)
			before := m.Stats
			m.Run(2500 * time.Millisecond)
			after := m.Stats
			t.Logf("agents=%d frames in a second at most=%d, %v", hosts, m.PeakFrames, after)
			assertNoFaults(c, m)
			c.Assert(after.Resets-before.Resets >= flows/2, qt.IsTrue, qt.Commentf("%v", after))
			c.Assert(after.Failed, qt.Equals, 0)
			// From then on a caller that goes on is reset and answered elsewhere in time.
			late := after.Late - before.Late
			c.Assert(late <= (after.Asked-before.Asked)/20, qt.IsTrue, qt.Commentf("%v, before %v", after, before))
			c.Assert(m.PeakFrames < 60*flows, qt.IsTrue, qt.Commentf("%d frames in a second", m.PeakFrames))
		})
	}
}

// Guards against living flows that are reset because what their owner told the places was lost
// (docs/incidents.md, 18). Load pattern: callers move between zones all the time, so that their
// first packet with data comes to balancers that know nothing, and no place has heard of a flow.
func TestFlowsThatNoPlaceHeardOf(t *testing.T) {
	for _, hosts := range []int{7, 42} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			m := newFleetOfSize(fleetSize{hosts: hosts, balancers: 12, zones: 4}, 23)
			m.Lost = fleetwire.Kind_KIND_HOLD
			cfg := load(300, 2*time.Second)
			cfg.Zone = "a"
			m.Load(cfg)
			for range 50 {
				m.Run(20 * time.Millisecond)
				m.Move("a", "b")
				m.Run(20 * time.Millisecond)
				m.Move("b", "a")
			}
			m.Run(3 * time.Second)
			assertNoFaults(c, m)
			c.Assert(m.Stats.Failed <= m.Stats.Asked/100, qt.IsTrue, qt.Commentf("%v", m.Stats))
		})
	}
}
