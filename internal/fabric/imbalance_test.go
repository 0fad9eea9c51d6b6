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
	steadyBound = 1.10
	rollBound   = 1.25
)

// Load of the simulation, with time in whole seconds.
const (
	hosts     = 10
	arrivals  = 1000 // new flows per second
	meanLife  = 30.0 // seconds, exponential
	drainTime = 120  // after which a leaving target keeps 2% of its flows
	rampTime  = 30   // from the cold weight to the full weight
	coldShare = 32
	fullShare = 256
)

// load counts the flows of each handle in virtual time.
type load struct {
	v      view.View
	random *rand.Rand
	d      *fabric.Decision
	now    int
	serial uint32
	record [hosts]*wire.Target
	rev    uint64
	next   uint32
	flows  map[mangokeel.Handle]int
	// ends has the flows that end at a second, by handle.
	ends map[int]map[mangokeel.Handle]int
}

func newLoad() *load {
	l := &load{random: rand.New(rand.NewPCG(1, 0)), d: fabric.NewDecision(), flows: map[mangokeel.Handle]int{}, ends: map[int]map[mangokeel.Handle]int{}, next: 1}
	for i := range hosts {
		l.join(i, fullShare)
	}
	return l
}

func (l *load) join(i int, weight uint32) {
	l.record[i] = target(l.next, 1, "plaisance")
	l.record[i].Weight = weight
	l.next++
	l.publish()
}

func (l *load) publish() {
	l.rev++
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Buckets, svc.Epoch = 4096, l.rev
	u := &wire.Update{Whole: true, Revision: l.rev, NextHandle: l.next, Services: []*wire.Service{svc}}
	for _, t := range l.record {
		if t != nil {
			u.Targets = append(u.Targets, t)
		}
	}
	l.v.Apply(u)
}

// second opens new flows and ends old ones. It returns maximum over mean of the
// flows at the hosts in service.
func (l *load) second() float64 {
	l.now++
	for h, n := range l.ends[l.now] {
		l.flows[h] -= n
	}
	delete(l.ends, l.now)
	s := l.v.State()
	for range arrivals {
		l.serial++
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, l.serial))), uint16(l.serial*7))
		l.d.Decide(s, s.Service(1), a, nil)
		h := l.d.Target.Handle
		l.flows[h]++
		end := l.now + 1 + int(l.random.ExpFloat64()*meanLife)
		if l.ends[end] == nil {
			l.ends[end] = map[mangokeel.Handle]int{}
		}
		l.ends[end][h]++
	}
	return l.imbalance()
}

func (l *load) imbalance() float64 {
	sum, most, in := 0, 0, 0
	for _, t := range l.record {
		if t == nil || t.GetState() != wire.State_STATE_SERVING {
			continue
		}
		x := l.flows[mangokeel.Handle(t.GetHandle())]
		in, sum, most = in+1, sum+x, max(most, x)
	}
	return float64(most) * float64(in) / float64(sum)
}

// run returns the largest imbalance of flows over some seconds.
func (l *load) run(seconds int) float64 {
	worst := 0.0
	for range seconds {
		worst = math.Max(worst, l.second())
	}
	return worst
}

// restart drains host i, lets it join cold under a new handle, and ramps it up.
func (l *load) restart(i int) float64 {
	l.record[i].State = wire.State_STATE_LEAVING
	l.publish()
	worst := l.run(drainTime)
	l.record[i] = nil
	l.publish()
	worst = math.Max(worst, l.run(5))
	l.join(i, coldShare)
	for t := range rampTime {
		l.record[i].Weight = coldShare + uint32((fullShare-coldShare)*t/(rampTime-1))
		l.publish()
		worst = math.Max(worst, l.run(1))
	}
	return math.Max(worst, l.run(int(2*meanLife)))
}

// imbalance returns the largest values in steady state and during a roll.
func imbalance() (steady, roll float64) {
	l := newLoad()
	l.run(int(4 * meanLife))
	steady = l.run(int(2 * meanLife))
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
	c.Assert(steady <= steadyBound, qt.IsTrue, qt.Commentf("%.3f", steady))
	c.Assert(roll <= rollBound, qt.IsTrue, qt.Commentf("%.3f", roll))
}

// BenchmarkImbalance gives the values that TestImbalance bounds.
func BenchmarkImbalance(b *testing.B) {
	for b.Loop() {
		steady, roll := imbalance()
		b.ReportMetric(steady, "steady-max/mean")
		b.ReportMetric(roll, "roll-max/mean")
	}
}
