package roster

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// step is the execution of one log entry. It replaces each record it touches by
// a copy, computes the tables of the touched services once at its end, and then
// enters the new records in the journals.
type step struct {
	m        *Machine
	revision uint64
	seed     []byte
	targets  map[mangokeel.Handle]*wire.Target
	services map[uint32]*wire.Service
	// balancers has the new records and tombstones.
	balancers map[uint32]*wire.Balancer
	// marked has the targets whose held buckets changed.
	marked map[mangokeel.Handle]bool
	// moved has the services whose table may have changed.
	moved map[uint32]bool
	// chained has the services whose chains changed whatever the table.
	chained map[uint32]bool
}

func newStep(m *Machine, r uint64, seed []byte) *step {
	return &step{
		m:         m,
		revision:  r,
		seed:      seed,
		targets:   map[mangokeel.Handle]*wire.Target{},
		services:  map[uint32]*wire.Service{},
		balancers: map[uint32]*wire.Balancer{},
		marked:    map[mangokeel.Handle]bool{},
		moved:     map[uint32]bool{},
		chained:   map[uint32]bool{},
	}
}

// target returns a copy of the record that this step may modify, or nil.
func (s *step) target(h mangokeel.Handle) *wire.Target {
	if t := s.targets[h]; t != nil && !t.GetGone() {
		return t
	}
	t := s.m.targets[h]
	if t == nil {
		return nil
	}
	t = proto.CloneOf(t)
	s.put(t)
	return t
}

// put makes t the record of its handle.
func (s *step) put(t *wire.Target) {
	t.Revision = s.revision
	h := mangokeel.Handle(t.GetHandle())
	s.targets[h] = t
	s.m.targets[h] = t
	s.m.services[t.GetService()].targets[h] = t
}

// service returns a copy of the record that this step may modify.
func (s *step) service(svc *service) *wire.Service {
	id := svc.record.GetId()
	if s.services[id] == nil {
		svc.record = proto.CloneOf(svc.record)
		svc.record.Revision = s.revision
		s.services[id] = svc.record
	}
	return svc.record
}

// drop removes a target and leaves a tombstone.
func (s *step) drop(h mangokeel.Handle) {
	t := s.m.targets[h]
	if t == nil {
		return
	}
	delete(s.m.targets, h)
	delete(s.m.announced, h)
	delete(s.m.targetStarts, t.GetHandle())
	s.m.index.forget(t)
	id := t.GetService()
	svc := s.m.services[id]
	s.moved[id] = true
	s.chained[id] = s.chained[id] || len(svc.held[h]) > 0
	delete(svc.targets, h)
	delete(svc.held, h)
	s.targets[h] = &wire.Target{Handle: t.GetHandle(), Service: id, Revision: s.revision, Gone: true}
}

// finish recomputes tables and enters the step's records in the journals.
func (s *step) finish() {
	for _, id := range slices.Sorted(maps.Keys(s.moved)) {
		if svc := s.m.services[id]; svc != nil {
			s.retable(svc)
		}
	}
	for h := range s.marked {
		if t := s.targets[h]; !t.GetGone() {
			t.Packed = s.m.services[t.GetService()].held[h].Pack()
		}
	}
	for id := range s.chained {
		if svc := s.m.services[id]; svc != nil && s.chained[id] {
			s.service(svc).Epoch = s.revision
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		s.m.enter(entry{service: s.services[id]})
	}
	for _, h := range slices.Sorted(maps.Keys(s.targets)) {
		s.m.enter(entry{target: s.targets[h]})
	}
	for _, id := range slices.Sorted(maps.Keys(s.balancers)) {
		s.m.enter(entry{balancer: s.balancers[id]})
	}
}

// derive returns n secret bytes that depend on the proposer's seed, the purpose
// and the id. n is at most 32.
func (s *step) derive(purpose string, id uint32, n int) []byte {
	h := sha256.New()
	h.Write(s.seed)
	h.Write([]byte(purpose))
	h.Write(binary.BigEndian.AppendUint32(nil, id))
	return h.Sum(nil)[:n]
}

func (x *index) forget(t *wire.Target) {
	h := mangokeel.Handle(t.GetHandle())
	if x.agents[t.GetAgent()] == h {
		delete(x.agents, t.GetAgent())
	}
	if x.endpoints[t.GetTarget()] == h {
		delete(x.endpoints, t.GetTarget())
	}
}
