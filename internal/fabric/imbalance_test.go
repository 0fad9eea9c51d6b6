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

// Bounds of the design on maximum over mean of flows for each host.
const (
	maxSteadyImbalance = 1.10
	maxRollImbalance   = 1.25
)

// Load of the simulation, with time in whole seconds.
const (
	hosts             = 10
	arrivalsPerSecond = 1000 // new flows per second
	meanFlowLifetime  = 30.0 // seconds, exponential
	drainSeconds      = 120  // after which a leaving target keeps 2% of its flows
	rampSeconds       = 30   // from the cold weight to the full weight
	coldWeight        = 32
	fullWeight        = 256
)

// flowSimulation counts the flows of each handle in virtual time.
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
	// endings has the flows that end at a second, by handle.
	endings map[int]map[mangokeel.Handle]int
}

func newFlowSimulation() *flowSimulation {
	l := &flowSimulation{random: rand.New(rand.NewPCG(1, 0)), decision: fabric.NewDecision(), flows: map[mangokeel.Handle]int{}, endings: map[int]map[mangokeel.Handle]int{}, next: 1}
	for i := range hosts {
		l.join(i, fullWeight)
	}
	return l
}

func (l *flowSimulation) join(i int, weight uint32) {
	l.targets[i] = target(l.next, 1, "plaisance")
	l.targets[i].Weight = weight
	l.next++
	l.publish()
}

func (l *flowSimulation) publish() {
	l.revision++
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Buckets, svc.Epoch = 4096, l.revision
	u := &wire.Update{Whole: true, Revision: l.revision, NextHandle: l.next, Services: []*wire.Service{svc}}
	for _, t := range l.targets {
		if t != nil {
			u.Targets = append(u.Targets, t)
		}
	}
	l.view.Apply(u)
}

// step opens new flows and ends old ones. It returns maximum over mean of the
// flows at the hosts in service.
func (l *flowSimulation) step() float64 {
	l.now++
	for h, n := range l.endings[l.now] {
		l.flows[h] -= n
	}
	delete(l.endings, l.now)
	s := l.view.State()
	for range arrivalsPerSecond {
		l.serial++
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, l.serial))), uint16(l.serial*7))
		l.decision.Decide(s, s.Service(1), a, nil)
		h := l.decision.Target.Handle
		l.flows[h]++
		end := l.now + 1 + int(l.random.ExpFloat64()*meanFlowLifetime)
		if l.endings[end] == nil {
			l.endings[end] = map[mangokeel.Handle]int{}
		}
		l.endings[end][h]++
	}
	return l.imbalance()
}

func (l *flowSimulation) imbalance() float64 {
	sum, most, in := 0, 0, 0
	for _, t := range l.targets {
		if t == nil || t.GetState() != wire.State_STATE_SERVING {
			continue
		}
		x := l.flows[mangokeel.Handle(t.GetHandle())]
		in, sum, most = in+1, sum+x, max(most, x)
	}
	return float64(most) * float64(in) / float64(sum)
}

// run returns the largest imbalance of flows over some seconds.
func (l *flowSimulation) run(seconds int) float64 {
	worst := 0.0
	for range seconds {
		worst = math.Max(worst, l.step())
	}
	return worst
}

// restart drains host i, lets it join cold under a new handle, and ramps it up.
func (l *flowSimulation) restart(i int) float64 {
	l.targets[i].State = wire.State_STATE_LEAVING
	l.publish()
	worst := l.run(drainSeconds)
	l.targets[i] = nil
	l.publish()
	worst = math.Max(worst, l.run(5))
	l.join(i, coldWeight)
	for t := range rampSeconds {
		l.targets[i].Weight = coldWeight + uint32((fullWeight-coldWeight)*t/(rampSeconds-1))
		l.publish()
		worst = math.Max(worst, l.run(1))
	}
	return math.Max(worst, l.run(int(2*meanFlowLifetime)))
}

// imbalance returns the largest values in steady state and during a roll.
func imbalance() (steady, roll float64) {
	l := newFlowSimulation()
	l.run(int(4 * meanFlowLifetime))
	steady = l.run(int(2 * meanFlowLifetime))
	for i := range hosts {
		roll = math.Max(roll, l.restart(i))
	}
	return steady, roll
}

// Guards against a table that loads some hosts more than others, in steady state
// and while every host restarts in turn.
func TestImbalance(t *testing.T) {
	c := qt.New(t)
	steady, roll := imbalance()
	c.Assert(steady <= maxSteadyImbalance, qt.IsTrue, qt.Commentf("%.3f", steady))
	c.Assert(roll <= maxRollImbalance, qt.IsTrue, qt.Commentf("%.3f", roll))
}

// BenchmarkImbalance gives the values that TestImbalance bounds.
func BenchmarkImbalance(b *testing.B) {
	for b.Loop() {
		steady, roll := imbalance()
		b.ReportMetric(steady, "steady-max/mean")
		b.ReportMetric(roll, "roll-max/mean")
	}
}
