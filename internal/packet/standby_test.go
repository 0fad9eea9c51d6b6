package packet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/fleet"
	"mangokeel/internal/packet"
	"mangokeel/standin/model"
)

// Guards against a balancer that stays out of rotation on the word of a control that it no longer
// reaches, for example after its process was suspended, and against one that ignores the request.
func TestStandbyNeedsControl(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := &fleet.View{}
	r := reply(1, "s")
	v.Apply(r, now)
	b := packet.NewBalancer(packet.BalancerConfig{Zone: "a", HintAddress: origin}, model.Codec{}, v, sink{},
		packet.WithClock(func() time.Time { return now }))
	c.Assert(b.Serving(now), qt.IsTrue)

	r.Standby = true
	v.Apply(r, now)
	c.Assert(b.Serving(now), qt.IsFalse)
	now = now.Add(900 * time.Millisecond) // control holds polls for half a second
	c.Assert(b.Serving(v.LastContact()), qt.IsFalse)
	now = now.Add(3 * time.Second)
	c.Assert(b.Serving(v.LastContact()), qt.IsTrue)

	v.Apply(r, now)
	c.Assert(b.Serving(v.LastContact()), qt.IsFalse)
	r.Standby = false
	v.Apply(r, now)
	c.Assert(b.Serving(v.LastContact()), qt.IsTrue)
}
