package fabric_test

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fabric"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Design limits on the ratio of the maximum to the mean number of flows per host.
const (
	maxSteadyImbalance = 1.10
	maxRollImbalance   = 1.25
)

// Parameters of the simulation, which advances in steps of one second.
const (
	hosts             = 10
	arrivalsPerSecond = 1000 // new flows per second
	meanFlowLifetime  = 30.0 // seconds, exponentially distributed
	drainSeconds      = 120  // a leaving target keeps 2% of its flows after this time
	rampSeconds       = 30   // from the cold weight to the full weight
	coldWeight        = 32
	fullWeight        = 256
)

// flowSimulation counts the open flows of each target in virtual time.
type flowSimulation struct {
	view     view.View
	random   *rand.Rand
	decision *fabric.Decision
	now      int
	serial   uint32
	targets  [hosts]*wire.Target
	revision uint64
	next     uint32
	flows    map[mangokeel.Handle]int
	// endings maps a time in seconds to the number of flows that end then, by handle.
	endings map[int]map[mangokeel.Handle]int
}

func newFlowSimulation() *flowSimulation {
	f := &flowSimulation{random: rand.New(rand.NewPCG(1, 0)), decision: fabric.NewDecision(), flows: map[mangokeel.Handle]int{}, endings: map[int]map[mangokeel.Handle]int{}, next: 1}
	for i := range hosts {
		f.join(i, fullWeight)
	}
	return f
}

// join registers a target with a new handle for host i.
func (f *flowSimulation) join(i int, weight uint32) {
	f.targets[i] = target(f.next, 1, "plaisance")
	f.targets[i].Weight = weight
	f.next++
	f.publish()
}

// publish applies the current targets to the view under a new revision.
func (f *flowSimulation) publish() {
	f.revision++
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Buckets, svc.Epoch = 4096, f.revision
	u := &wire.Update{Whole: true, Revision: f.revision, NextHandle: f.next, Services: []*wire.Service{svc}}
	for _, t := range f.targets {
		if t != nil {
			u.Targets = append(u.Targets, t)
		}
	}
	f.view.Apply(u)
}

// step advances the time by one second, opening new flows and ending old ones. It
// returns the imbalance afterwards.
func (f *flowSimulation) step() float64 {
	f.now++
	for h, n := range f.endings[f.now] {
		f.flows[h] -= n
	}
	delete(f.endings, f.now)
	s := f.view.State()
	for range arrivalsPerSecond {
		f.serial++
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, f.serial))), uint16(f.serial*7))
		f.decision.Decide(s, s.Service(1), a, nil)
		h := f.decision.Target.Handle
		f.flows[h]++
		end := f.now + 1 + int(f.random.ExpFloat64()*meanFlowLifetime)
		if f.endings[end] == nil {
			f.endings[end] = map[mangokeel.Handle]int{}
		}
		f.endings[end][h]++
	}
	return f.imbalance()
}

// imbalance returns the maximum over the mean number of flows of the serving targets.
func (f *flowSimulation) imbalance() float64 {
	sum, most, serving := 0, 0, 0
	for _, t := range f.targets {
		if t == nil || t.GetState() != wire.State_STATE_SERVING {
			continue
		}
		n := f.flows[mangokeel.Handle(t.GetHandle())]
		serving, sum, most = serving+1, sum+n, max(most, n)
	}
	return float64(most) * float64(serving) / float64(sum)
}

// run advances the time by some seconds and returns the largest imbalance.
func (f *flowSimulation) run(seconds int) float64 {
	worst := 0.0
	for range seconds {
		worst = math.Max(worst, f.step())
	}
	return worst
}

// restart drains host i, joins it again with a new handle and the cold weight, and
// ramps it up to the full weight. It returns the largest imbalance.
func (f *flowSimulation) restart(i int) float64 {
	f.targets[i].State = wire.State_STATE_LEAVING
	f.publish()
	worst := f.run(drainSeconds)
	f.targets[i] = nil
	f.publish()
	worst = math.Max(worst, f.run(5))
	f.join(i, coldWeight)
	for t := range rampSeconds {
		f.targets[i].Weight = coldWeight + uint32((fullWeight-coldWeight)*t/(rampSeconds-1))
		f.publish()
		worst = math.Max(worst, f.run(1))
	}
	return math.Max(worst, f.run(int(2*meanFlowLifetime)))
}

// imbalance returns the largest imbalance in steady state and during a rolling
// restart of all hosts.
func imbalance() (steady, roll float64) {
	f := newFlowSimulation()
	f.run(int(4 * meanFlowLifetime))
	steady = f.run(int(2 * meanFlowLifetime))
	for i := range hosts {
		roll = math.Max(roll, f.restart(i))
	}
	return steady, roll
}

// Guards against a bucket table that gives some hosts too many flows, in steady
// state and during a rolling restart of all hosts.
func TestImbalance(t *testing.T) {
	c := qt.New(t)
	steady, roll := imbalance()
	c.Assert(steady <= maxSteadyImbalance, qt.IsTrue, qt.Commentf("%.3f", steady))
	c.Assert(roll <= maxRollImbalance, qt.IsTrue, qt.Commentf("%.3f", roll))
}

// BenchmarkImbalance reports the values whose limits TestImbalance checks.
func BenchmarkImbalance(b *testing.B) {
	for b.Loop() {
		steady, roll := imbalance()
		b.ReportMetric(steady, "steady-max/mean")
		b.ReportMetric(roll, "roll-max/mean")
	}
}
