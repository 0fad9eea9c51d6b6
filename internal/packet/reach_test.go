package packet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a balancer that leaves the rotation although something answers it, or that
// never comes back.
func TestReach(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	heard := now.Add(-2 * controlSilence)
	silent := func() *reach {
		r := &reach{}
		for range cutCopies {
			r.copied(now)
		}
		return r
	}
	later := now.Add(cutTime + time.Millisecond)

	c.Assert(new(reach).cutOff(later, heard), qt.IsFalse, qt.Commentf("no packets"))
	c.Assert(silent().cutOff(now, heard), qt.IsFalse, qt.Commentf("copies at one moment"))
	c.Assert(silent().cutOff(later, later), qt.IsFalse, qt.Commentf("control answers"))
	r := silent()
	r.advanced()
	c.Assert(r.cutOff(later, heard), qt.IsFalse, qt.Commentf("a flow went on"))

	r = silent()
	c.Assert(r.cutOff(later, heard), qt.IsTrue)
	c.Assert(r.cutOff(later.Add(cutLife/2), heard), qt.IsTrue, qt.Commentf("no packets come out of rotation"))
	c.Assert(r.cutOff(later.Add(cutLife), heard), qt.IsFalse, qt.Commentf("control may be away for longer than the agents"))

	r = silent()
	c.Assert(r.cutOff(later, heard), qt.IsTrue)
	c.Assert(r.cutOff(later.Add(time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("control answers again"))
	c.Assert(r.cutOff(later.Add(3*time.Second), later.Add(time.Second)), qt.IsFalse, qt.Commentf("what was seen before counts no more"))
}
