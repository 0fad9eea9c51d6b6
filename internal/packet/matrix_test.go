package packet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// plannedChange is a planned operation as a list of steps, matrixStep apart.
type plannedChange struct {
	name  string
	steps []func(s *soak)
}

// fault is a fault to inject. begin starts it and returns a function that ends it.
type fault struct {
	name  string
	begin func(s *soak) (end func())
}

const (
	matrixStep    = 200 * time.Millisecond
	faultDuration = 900 * time.Millisecond
	matrixSteps   = 5
)

func plannedChanges() []plannedChange {
	restart := func(i int) func(s *soak) {
		return func(s *soak) {
			b := s.Balancers[i]
			b.Ready = false
			s.After(matrixStep, func() { s.Restart(b); b.Ready = true })
		}
	}
	return []plannedChange{
		{"balancers restart", []func(*soak){restart(0), restart(1), restart(2), restart(3), restart(4)}},
		{"agents restart", []func(*soak){
			func(s *soak) { s.Hosts[0].StartAgent() },
			func(s *soak) { s.Hosts[1].StartAgent() },
			func(s *soak) { s.Hosts[2].StartAgent() },
		}},
		{"targets are replaced", []func(*soak){
			func(s *soak) { s.AddHost("a", targetConfig) },
			func(s *soak) { s.Hosts[0].Target.Draining = true; s.Hosts[0].Report() },
			func(s *soak) { s.AddHost("b", targetConfig) },
			func(s *soak) { s.Hosts[1].Target.Draining = true; s.Hosts[1].Report() },
		}},
		{"a zone is taken out and returned", []func(*soak){
			func(s *soak) { s.setZone("a", true) },
			func(*soak) {},
			func(*soak) {},
			func(s *soak) { s.setZone("a", false) },
		}},
		{"control elects a new leader", []func(*soak){
			func(s *soak) { s.Complete = false },
			func(*soak) {},
			func(*soak) {},
			func(s *soak) { s.Complete = true },
		}},
	}
}

func faults() []fault {
	return []fault{
		{"none", func(*soak) func() { return func() {} }},
		{"an agent stops", func(s *soak) func() {
			s.Hosts[3].StopAgent()
			return s.Hosts[3].StartAgentIfStopped
		}},
		{"an agent pauses and resumes", func(s *soak) func() {
			s.Hosts[3].Suspend()
			return s.Hosts[3].Resume
		}},
		{"an agent receives no frames", func(s *soak) func() {
			s.Freeze(s.Hosts[3].Agent, true)
			return func() { s.Freeze(s.Hosts[3].Agent, false) }
		}},
		{"a balancer is cut off", func(s *soak) func() {
			s.Balancers[5].CutOff = true
			return func() { s.Balancers[5].CutOff = false }
		}},
		{"frames are lost", func(s *soak) func() {
			s.Loss = 0.1
			return func() { s.Loss = 0 }
		}},
		{"a target restarts", func(s *soak) func() {
			s.Hosts[4].StartTarget(targetConfig)
			s.Hosts[4].Report()
			return func() {}
		}},
		{"a target is slow", func(s *soak) func() {
			s.Hosts[4].Target.Factor = 5
			return func() { s.Hosts[4].Target.Factor = 0 }
		}},
		{"a target fails requests", func(s *soak) func() {
			s.Hosts[4].Target.FailShare = 1
			return func() { s.Hosts[4].Target.FailShare = 0 }
		}},
	}
}

// Guards against a fault during any step of a planned change that breaks a live flow, opens a flow
// in a zone that is out of service, or leaves the fleet unable to serve.
func TestFaultAtEachStep(t *testing.T) {
	for _, x := range plannedChanges() {
		for _, y := range faults() {
			t.Run(x.name+"/"+y.name, func(t *testing.T) {
				for at := range matrixSteps {
					s := newSoak(t, smallFleet, uint64(at))
					s.log = []string{x.name, y.name}
					s.runCase(x, y, at)
				}
			})
		}
	}
}

// runCase runs a planned change and begins a fault at step at.
func (s *soak) runCase(x plannedChange, y fault, at int) {
	short, long := load(150, 3*time.Second), load(15, 2*time.Second)
	long.Requests, long.Pause = 10, 200*time.Millisecond
	s.Load(short)
	s.Load(long)
	s.Run(500 * time.Millisecond)
	for i := range matrixSteps {
		if i == at {
			end := y.begin(s)
			s.After(faultDuration, end)
		}
		if i < len(x.steps) {
			x.steps[i](s)
		}
		s.Run(matrixStep)
		s.checkZones()
	}
	s.Run(2 * faultDuration)
	s.Run(5 * time.Second)
	note := qt.Commentf("fault at step %d: %v", at, s.Stats)
	s.c.Assert(s.Faults(), qt.HasLen, 0, note)
	s.c.Assert(s.Stats.Broken, qt.Equals, 0, note)
	s.assertServing()
}
