package packet_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/standin/model"
)

// soak is a fleet with random faults.
type soak struct {
	*model.Fleet
	size size
	c    *qt.C
	r    *rand.Rand
	// out is when each zone was taken out; back when it returned.
	out, back map[mangokeel.AvailabilityZone]time.Time
	log       []string
}

// Guards against any sequence of faults that ends a living flow, opens one where it must not
// be, or leaves the fleet unable to serve. SOAK is the number of seeds, SEED the first one:
//
//	SEED=17 SOAK=1 go test ./internal/packet -run TestSoak -v
func TestSoak(t *testing.T) { soakAll(t, small, number("SOAK", 12)) }

// Guards against the same in a fleet of several times the size. LARGE is the number of seeds.
func TestSoakLarge(t *testing.T) { soakAll(t, large, number("LARGE", 1)) }

func soakAll(t *testing.T, size size, n int) {
	first := number("SEED", 1)
	for seed := first; seed < first+n; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { newSoak(t, size, uint64(seed)).run() })
	}
}

func newSoak(t *testing.T, size size, seed uint64) *soak {
	m := newFleetOf(size, seed)
	m.Apart = true
	return &soak{
		Fleet: m, size: size, c: qt.New(t), r: rand.New(rand.NewPCG(seed, 1)),
		out: map[mangokeel.AvailabilityZone]time.Time{}, back: map[mangokeel.AvailabilityZone]time.Time{},
	}
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func (s *soak) run() {
	const steps = 30
	short, long := load(s.size.perSecond, steps*400*time.Millisecond), load(s.size.perSecond/10, steps*300*time.Millisecond)
	long.Requests, long.Pause = 15, 300*time.Millisecond
	s.Load(short)
	s.Load(long)
	for range steps {
		s.step()
		s.Run(time.Duration(100+s.r.IntN(500)) * time.Millisecond)
		s.checkZones()
	}
	s.heal()
	s.Run(10 * time.Second)
	note := qt.Commentf("%v after %v", s.Stats, s.log)
	s.c.Assert(s.Faults(), qt.HasLen, 0, note)
	s.c.Assert(s.Stats.Broken, qt.Equals, 0, note)
	s.served()
}

// step makes one fault or planned change.
func (s *soak) step() {
	h := s.Hosts[s.r.IntN(len(s.Hosts))]
	b := s.Balancers[s.r.IntN(len(s.Balancers))]
	name := ""
	switch s.r.IntN(14) {
	case 0:
		name = "agent restarts"
		h.StopAgent()
		s.After(time.Duration(50+s.r.IntN(600))*time.Millisecond, h.StartAgentIfStopped)
	case 1:
		name = "target restarts"
		h.StartTarget(target)
		h.Target.ColdUntil = s.Now().Add(2 * time.Second)
		h.Report()
	case 2:
		name = "balancer restarts"
		b.Ready = false
		s.After(500*time.Millisecond, func() { s.Restart(b); b.Ready = true })
	case 3:
		name = "balancer leaves the rotation"
		b.Ready = !b.Ready
	case 4:
		name = "target drains"
		h.Target.Draining = !h.Target.Draining
		h.Report()
	case 5:
		name = "host joins"
		if len(s.Hosts) < 2*s.size.hosts {
			s.AddHost(s.size.zone(s.r.IntN(s.size.zones)), target)
		}
	case 6:
		name = "zone out"
		s.setZone(s.size.zone(s.r.IntN(s.size.zones)), true)
	case 7:
		name = "zones back"
		s.zonesBack()
	case 8:
		name = "frames are lost"
		s.Loss = 0.1 * s.r.Float64()
	case 9:
		name = "agent gets no frames"
		s.Freeze(h.Agent, true)
		s.After(time.Duration(s.r.IntN(1000))*time.Millisecond, func() { s.Freeze(h.Agent, false) })
	case 10:
		name = "target is slow"
		h.Target.Factor = 1 + 4*s.r.Float64()
	case 11:
		name = "control changes its leader"
		s.Complete = !s.Complete
	case 12:
		name = "target fails requests"
		h.Target.FailShare = s.r.Float64()
	case 13:
		name = "agent's process stops and goes on"
		h.Suspend()
		s.After(time.Duration(100+s.r.IntN(2500))*time.Millisecond, h.Resume)
	}
	s.log = append(s.log, name)
}

func (s *soak) setZone(z mangokeel.AvailabilityZone, out bool) {
	s.Revision++
	for _, x := range s.Zones {
		if x.GetName() == string(z) {
			if x.GetOut() == out {
				return
			}
			x.Out, x.Revision = out, s.Revision
			s.note(z, out)
			return
		}
	}
	if !out {
		return
	}
	s.Zones = append(s.Zones, &fleetwire.ZoneState{Name: string(z), Out: true, Revision: s.Revision})
	s.note(z, true)
}

func (s *soak) zonesBack() {
	for i := range s.size.zones {
		s.setZone(s.size.zone(i), false)
	}
}

func (s *soak) note(z mangokeel.AvailabilityZone, out bool) {
	s.Poll()
	if out {
		s.out[z] = s.Now()
		delete(s.back, z)
		return
	}
	delete(s.out, z)
	s.back[z] = s.Now()
}

// checkZones asserts that no flow was opened in a zone that is out.
func (s *soak) checkZones() {
	for _, h := range s.Hosts {
		at, ok := s.out[h.Zone]
		if n := len(h.Target.Opened); ok && n > 0 {
			s.c.Assert(h.Target.Opened[n-1].Sub(at) < 10*time.Millisecond, qt.IsTrue, qt.Commentf("zone %s, %v", h.Zone, s.log))
		}
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.zonesBack()
	s.Loss, s.Complete = 0, true
	for _, h := range s.Hosts {
		h.Resume()
		h.StartAgentIfStopped()
		s.Freeze(h.Agent, false)
		h.Target.Draining, h.Target.Factor, h.Target.FailShare = false, 0, 0
		h.Report()
	}
	for _, b := range s.Balancers {
		b.Ready = true
	}
}

// served asserts that a healed fleet serves everything.
func (s *soak) served() {
	s.Load(load(s.size.perSecond, 3*time.Second))
	asked, inAim := during(s.Fleet, 6*time.Second)
	s.c.Assert(inAim >= asked*97/100, qt.IsTrue, qt.Commentf("%d of %d in aim after %v", inAim, asked, s.log))
}
