package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a balancer that leaves the rotation although something answers it, or that
// never comes back.
func TestReachability(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	heard := now.Add(-2 * controlTimeout)
	silent := func() *reachability {
		r := &reachability{}
		for range cutOffRetransmits {
			r.recordRetransmit(now)
		}
		return r
	}
	later := now.Add(cutOffMinTime + time.Millisecond)

	c.Assert(new(reachability).isCutOff(later, heard), qt.IsFalse, qt.Commentf("no packets"))
	c.Assert(silent().isCutOff(now, heard), qt.IsFalse, qt.Commentf("copies at one moment"))
	c.Assert(silent().isCutOff(later, later), qt.IsFalse, qt.Commentf("control answers"))
	r := silent()
	r.recordProgress()
	c.Assert(r.isCutOff(later, heard), qt.IsFalse, qt.Commentf("a flow went on"))

	r = silent()
	c.Assert(r.isCutOff(later, heard), qt.IsTrue)
	c.Assert(r.isCutOff(later.Add(cutOffDuration/2), heard), qt.IsTrue, qt.Commentf("no packets come out of rotation"))
	c.Assert(r.isCutOff(later.Add(cutOffDuration), heard), qt.IsFalse, qt.Commentf("control may be away for longer than the agents"))

	r = silent()
	c.Assert(r.isCutOff(later, heard), qt.IsTrue)
	c.Assert(r.isCutOff(later.Add(time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("control answers again"))
	c.Assert(r.isCutOff(later.Add(3*time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("what was seen before counts no more"))
}
