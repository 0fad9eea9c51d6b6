package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a balancer that leaves the rotation although control or an agent responds, or that
// never returns to it.
func TestReachability(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	lastHeard := now.Add(-2 * controlTimeout)
	unresponsive := func() *reachability {
		r := &reachability{}
		for range cutOffRetransmits {
			r.recordRetransmit(now)
		}
		return r
	}
	later := now.Add(cutOffMinTime + time.Millisecond)

	c.Assert(new(reachability).isCutOff(later, lastHeard), qt.IsFalse, qt.Commentf("no packets"))
	c.Assert(unresponsive().isCutOff(now, lastHeard), qt.IsFalse, qt.Commentf("retransmissions at one moment"))
	c.Assert(unresponsive().isCutOff(later, later), qt.IsFalse, qt.Commentf("control answers"))
	r := unresponsive()
	r.recordProgress()
	c.Assert(r.isCutOff(later, lastHeard), qt.IsFalse, qt.Commentf("a flow made progress"))

	r = unresponsive()
	c.Assert(r.isCutOff(later, lastHeard), qt.IsTrue)
	c.Assert(r.isCutOff(later.Add(cutOffDuration/2), lastHeard), qt.IsTrue, qt.Commentf("no packets arrive out of rotation"))
	c.Assert(r.isCutOff(later.Add(cutOffDuration), lastHeard), qt.IsFalse, qt.Commentf("control may be unreachable for longer than the agents"))

	r = unresponsive()
	c.Assert(r.isCutOff(later, lastHeard), qt.IsTrue)
	c.Assert(r.isCutOff(later.Add(time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("control answers again"))
	c.Assert(r.isCutOff(later.Add(3*time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("earlier retransmissions no longer count"))
}
