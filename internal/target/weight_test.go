package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/limit"
)

// Guards against a target that stays cold beside warm ones because it gets little
// work, and against a weight that grows under pressure.
func TestWeight(t *testing.T) {
	c := qt.New(t)
	var g weigher
	now := time.Unix(0, 0)
	cold := stats{share: 1.0 / 8}
	c.Check(g.weigh(now, cold), qt.Equals, uint32(32))
	c.Check(g.weigh(now.Add(4*time.Second), cold), qt.Equals, uint32(32))
	for i, want := range []uint32{64, 128, 256, 256} {
		now = now.Add(idleDoubling)
		c.Check(g.weigh(now, cold), qt.Equals, want, qt.Commentf("%d", i))
	}
	cold.Counts = limit.Counts{Refused: 1}
	c.Check(g.weigh(now, cold), qt.Equals, uint32(32))
	c.Check(g.weigh(now, stats{share: 0.6, Counts: cold.Counts}), qt.Equals, uint32(128))
	c.Check(g.weigh(now, stats{share: 1, failing: true, Counts: cold.Counts}), qt.Equals, uint32(1))
}
