package control_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/control"
	"mangokeel/internal/timer"
	"mangokeel/internal/wire"
)

// clock drives a cluster on virtual time.
type clock struct {
	*cluster
	timers *stoppable
}

// stoppable skips periodic work while stopped, as a stopped process does.
type stoppable struct {
	*timer.Virtual
	stopped atomic.Bool
}

// Every implements mangokeel.Timers.
func (s *stoppable) Every(period time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	return s.Virtual.Every(period, func(now time.Time) {
		if !s.stopped.Load() {
			fn(now)
		}
	})
}

func newClock(c *qt.C, n int) *clock {
	s := &stoppable{Virtual: timer.NewVirtual(time.Unix(0, 0))}
	return &clock{cluster: newCluster(c, n, s), timers: s}
}

// during runs fn, which waits for virtual time, while time advances.
func (x *clock) during(fn func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			x.timers.Advance(20 * time.Millisecond)
		}
	}
}

// run advances time by d. Before each of its steps, node syncs at an instance.
// The pause lets the background work of each step finish.
func (x *clock) run(d time.Duration, i int, node *wire.SyncRequest) {
	const step = 125 * time.Millisecond
	for range d / step {
		if node != nil {
			node.WaitMs = 0
			x.c.Assert(x.sync(i, node).GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
		}
		x.timers.Advance(step)
		time.Sleep(3 * time.Millisecond)
	}
}

func (x *clock) present(node *wire.SyncRequest) bool {
	return x.instances[x.leader].machine.Target(mangokeel.Handle(node.GetId())) != nil
}

func (x *clock) enter(i, host int) (node *wire.SyncRequest) {
	x.during(func() { node = x.join(i, host) })
	return node
}

// Guards against a silent node that stays, a node that is removed although
// another instance hears it, and a new leader that removes nodes it has not had
// time to hear of.
func TestLeases(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 3)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	alive, silent := x.enter(0, 1), x.enter(0, 2)
	x.run(500*time.Millisecond, 1, silent)
	x.run(2500*time.Millisecond, 2, alive)
	c.Assert(x.present(silent), qt.IsTrue)
	x.with(func() { x.leader, x.term = 1, 2 })
	x.run(2500*time.Millisecond, 2, alive)
	c.Assert(x.present(silent), qt.IsTrue)
	x.run(1500*time.Millisecond, 2, alive)
	c.Assert(x.present(silent), qt.IsFalse)
	c.Assert(x.present(alive), qt.IsTrue)
}

// Guards against nodes that are removed because the instance they polled froze or
// was cut off, before they had time to move to another one.
func TestNodesOfSilentInstance(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 3)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	moves, dies := x.enter(1, 1), x.enter(1, 2)
	for range 8 {
		x.sync(1, dies)
		x.run(125*time.Millisecond, 1, moves)
	}
	x.with(func() { x.cut = "1" })
	// A poll of 1 s, a call that times out after 2 s, and the pause before the next.
	x.run(3250*time.Millisecond, 0, nil)
	x.run(3*time.Second, 2, moves)
	c.Assert(x.present(moves), qt.IsTrue)
	c.Assert(x.present(dies), qt.IsFalse)
}

// Guards against a leader that was stopped for longer than a lease, still leads,
// and removes every node because none was in contact meanwhile.
func TestStoppedLeaderKeepsNodes(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 1)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	node := x.enter(0, 1)
	x.run(time.Second, 0, node)
	x.timers.stopped.Store(true)
	x.timers.Advance(10 * time.Second)
	x.timers.stopped.Store(false)
	x.run(2500*time.Millisecond, 0, nil)
	c.Assert(x.present(node), qt.IsTrue)
	x.run(1500*time.Millisecond, 0, nil)
	c.Assert(x.present(node), qt.IsFalse)
}

// Guards against weights that flap into the log, and against a target that can
// bear nothing and keeps its share.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 2)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	node := x.enter(1, 1)
	weight := func() uint32 { return x.instances[0].machine.Target(mangokeel.Handle(node.GetId())).GetWeight() }
	report := func(w uint32, d time.Duration) uint32 {
		node.Load = &wire.Load{Weight: w}
		x.run(d, 1, node)
		return weight()
	}
	c.Assert(report(100, time.Second), qt.Equals, uint32(100))
	c.Assert(report(119, 4*time.Second), qt.Equals, uint32(100))
	c.Assert(report(150, time.Second), qt.Equals, uint32(150))
	c.Assert(report(256, 500*time.Millisecond), qt.Equals, uint32(150))
	c.Assert(report(0, time.Second), qt.Equals, uint32(0))
	c.Assert(report(10, 4*time.Second), qt.Equals, uint32(10))

	before := len(x.entries)
	for i := range 40 {
		report(uint32(i%2*256), 250*time.Millisecond)
	}
	c.Assert(len(x.entries)-before <= 10, qt.IsTrue, qt.Commentf("%d entries", len(x.entries)-before))
}

// gauge returns the value of a metric.
func gauge(c *qt.C, r *prometheus.Registry, name string) float64 {
	c.Helper()
	families, err := r.Gather()
	c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	c.Fatalf("no metric %s", name)
	return 0
}

// Guards against a wait that ends before all nodes have a revision in force, or
// that does not name the node that lags.
func TestWaitNamesLaggingNodes(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 2)
	registry := prometheus.NewRegistry()
	control.WithRegisterer(registry)(x.instances[0].control)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	node := x.enter(0, 1)
	x.run(500*time.Millisecond, 1, node)
	r := x.set(0, operatorKey, "b", "sieste", 1, "/sieste/drains/host1", "reason: x\n").GetRevision()
	wait := func() (resp *wire.WaitReply) {
		x.during(func() {
			resp = ask(x.cluster, 1, "wait", &wire.WaitRequest{Key: operatorKey, Revision: r, WaitMs: 500}, &wire.WaitReply{})
		})
		return resp
	}
	x.run(4500*time.Millisecond, 1, node)
	c.Assert(gauge(c, registry, "mangokeel_control_lagging"), qt.Equals, 1.0)
	lagging := wait().GetLagging()
	c.Assert(lagging, qt.HasLen, 1)
	c.Assert(lagging[0].GetHost(), qt.Equals, "host1")
	node.Revision = x.sync(1, node).GetUpdate().GetRevision()
	x.run(500*time.Millisecond, 1, node)
	c.Assert(wait().GetLagging(), qt.HasLen, 0)
	c.Assert(gauge(c, registry, "mangokeel_control_lagging"), qt.Equals, 0.0)
}

// Guards against many log entries for nodes that restart in a loop or at once.
func TestFlappingNodesAreBatched(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 1)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	before, start := len(x.entries), x.timers.Now()
	x.during(func() {
		done := make(chan struct{})
		for i := range 100 {
			go func() {
				x.join(0, 1+i%50)
				done <- struct{}{}
			}()
		}
		for range 100 {
			<-done
		}
	})
	c.Assert(x.timers.Now().Sub(start) >= time.Second, qt.IsTrue, qt.Commentf("second joins did not wait"))
	c.Assert(len(x.entries)-before <= 20, qt.IsTrue, qt.Commentf(fmt.Sprint(len(x.entries)-before, " entries")))
}

// Guards against a joint claim home that ends before every new member is ready,
// against one that waits for a member that has left, and against a move that waits
// for a silent member until its lease ends.
func TestHomesFollowTargets(t *testing.T) {
	c := qt.New(t)
	x := newClock(c, 1)
	x.set(0, operatorKey, "a", "sieste", 0, dispatch, document)
	first := x.enter(0, 1)
	x.run(1500*time.Millisecond, 0, first)
	home := func() *wire.Home { return x.instances[0].machine.Service(1).GetHome() }
	c.Assert(home().GetNow(), qt.DeepEquals, []uint32{first.GetId()})
	second, third := x.enter(0, 2), x.enter(0, 3)
	all := func(d time.Duration, nodes ...*wire.SyncRequest) {
		for range d / (125 * time.Millisecond) {
			for _, n := range nodes {
				x.sync(0, n)
			}
			x.run(125*time.Millisecond, 0, nil)
		}
	}
	all(1500*time.Millisecond, first, second, third)
	c.Assert(home().GetNext(), qt.HasLen, 3)
	first.Ready, second.Ready = home().GetEpoch(), home().GetEpoch()
	all(5*time.Second, first, second)
	c.Assert(home().GetNow(), qt.DeepEquals, []uint32{first.GetId()})
	c.Assert(home().GetNext(), qt.DeepEquals, []uint32{first.GetId(), second.GetId()})
	first.Ready, second.Ready = home().GetEpoch(), home().GetEpoch()
	all(time.Second, first, second)
	c.Assert(home().GetNow(), qt.DeepEquals, []uint32{first.GetId(), second.GetId()})
	c.Assert(home().GetNext(), qt.HasLen, 0)

	// The second one falls silent while the home takes in a fourth.
	fourth := x.enter(0, 4)
	all(2*time.Second, first, fourth)
	c.Assert(x.present(second), qt.IsTrue)
	c.Assert(home().GetNext(), qt.DeepEquals, []uint32{first.GetId(), fourth.GetId()})
	first.Ready, fourth.Ready = home().GetEpoch(), home().GetEpoch()
	all(750*time.Millisecond, first, fourth)
	c.Assert(x.present(second), qt.IsTrue)
	c.Assert(home().GetNow(), qt.DeepEquals, []uint32{first.GetId(), fourth.GetId()})
	c.Assert(home().GetNext(), qt.HasLen, 0)
}
