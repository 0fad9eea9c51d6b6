package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/fleetwire"
)

func announcement(agent string, serial uint64) *fleetwire.Announcement {
	return &fleetwire.Announcement{Agent: agent, Service: "s", State: fleetwire.State_STATE_READY, Serial: serial, Start: 1}
}

const (
	agentA = "10.0.0.1:7"
	agentB = "10.0.0.2:7"
)

// follow keeps a view current as a follower does.
type follow struct {
	v              View
	term, registry uint64
}

func (f *follow) poll(g *registry, now time.Time) {
	out := &fleetwire.PollReply{}
	g.since(f.term, f.registry, now, out)
	f.v.Apply(out, now)
	f.term, f.registry = out.GetTerm(), out.GetRegistry()
}

// Guards against nodes that forget live targets when a new leader has not heard of them yet,
// and against targets that stay for ever after they left under the old leader.
func TestNewLeaderLosesNoTarget(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	old := newRegistry()
	old.begin(1, now.Add(-time.Minute))
	old.hear(announcement(agentA, 1), now)
	old.hear(announcement(agentB, 1), now)
	f := &follow{}
	f.poll(old, now)
	c.Assert(f.v.State().Agents, qt.HasLen, 2)

	g := newRegistry()
	g.begin(2, now)
	g.hear(announcement(agentA, 1), now)
	f.poll(g, now)
	c.Assert(f.v.State().Agents, qt.HasLen, 2)
	c.Assert(f.v.State().Complete, qt.IsFalse)

	now = now.Add(gathering + time.Millisecond)
	f.term, f.registry = 0, 0 // as Follower does at the first complete answer
	f.poll(g, now)
	c.Assert(f.v.State().Complete, qt.IsTrue)
	c.Assert(f.v.State().Agents, qt.HasLen, 1)
}

// Guards against flows that are given up because their agent was cut off from control for
// some seconds: a silent agent stays known, takes no new flows, and leaves only later.
func TestSilentAgent(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	g := newRegistry()
	g.begin(1, now.Add(-time.Minute))
	g.hear(announcement(agentA, 1), now)
	f := &follow{}
	f.poll(g, now)

	now = now.Add(lease + time.Millisecond)
	c.Assert(g.expire(now), qt.DeepEquals, []string{agentA})
	c.Assert(g.expire(now), qt.HasLen, 0)
	f.poll(g, now)
	x := f.v.State().Targets["s"][0]
	c.Assert(x.Silent, qt.IsTrue)
	c.Assert(x.Ready, qt.IsFalse)

	g.hear(announcement(agentA, 1), now)
	f.poll(g, now)
	c.Assert(f.v.State().Targets["s"][0].Ready, qt.IsTrue)

	now = now.Add(forgotten + time.Millisecond)
	g.expire(now)
	f.poll(g, now)
	c.Assert(f.v.State().Agents, qt.HasLen, 0)
}

// Guards against an agent's older word that overtakes its newer one, and against one of a
// former incarnation that would win because its serial is higher.
func TestAnnouncementsInOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	g := newRegistry()
	g.begin(1, now)
	g.hear(announcement(agentA, 5), now)
	late := announcement(agentA, 4)
	late.State = fleetwire.State_STATE_DRAINING
	g.hear(late, now)
	f := &follow{}
	f.poll(g, now)
	c.Assert(f.v.State().Targets["s"][0].Ready, qt.IsTrue)
	next := announcement(agentA, 1)
	next.Start, next.State = 2, fleetwire.State_STATE_DRAINING
	g.hear(next, now)
	f.poll(g, now)
	c.Assert(f.v.State().Targets["s"][0].Ready, qt.IsFalse)
}

// Guards against nodes that keep removed targets because they missed more removals than are
// remembered.
func TestManyRemovals(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	g := newRegistry()
	g.begin(1, now.Add(-time.Minute))
	g.hear(announcement(agentA, 1), now)
	f := &follow{}
	f.poll(g, now)
	g.remove(agentA)
	for range removalLimit + 10 {
		g.hear(announcement(agentB, 1), now)
		g.remove(agentB)
	}
	f.poll(g, now)
	c.Assert(f.v.State().Agents, qt.HasLen, 0)
}

// Measures what a node does for each packet whose way it does not know yet.
func BenchmarkOrder(b *testing.B) {
	s := &State{Targets: map[string][]*Target{}}
	for i := range 42 {
		s.Targets["s"] = append(s.Targets["s"], &Target{Agent: addr(i), Zone: "z", hash: mix(uint64(i + 1))})
	}
	var list []*Target
	for b.Loop() {
		list = s.Order(list[:0], "s", "z", 7)
	}
}
