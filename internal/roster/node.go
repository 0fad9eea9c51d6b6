package roster

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/wire"
)

// coldWeight is the weight of a target that has not reported any load: an eighth
// of the full weight of 256, so that a cold target gets a small share until its
// agent reports that it can bear more.
const coldWeight = 32

// join adds a node. A resent join of the same incarnation gets the same id.
func (s *step) join(x *wire.JoinRequest) *wire.JoinReply {
	switch x.GetRole() {
	case wire.Role_ROLE_AGENT:
		return s.joinTarget(x)
	case wire.Role_ROLE_BALANCER:
		return s.joinBalancer(x)
	}
	return joinRefused(wire.Code_CODE_INVALID, "unknown role")
}

func joinRefused(code wire.Code, reason string) *wire.JoinReply {
	return &wire.JoinReply{Code: code, Reason: reason}
}

func (s *step) joinTarget(x *wire.JoinRequest) *wire.JoinReply {
	if reason := checkAgent(x); reason != "" {
		return joinRefused(wire.Code_CODE_INVALID, reason)
	}
	svc := s.m.services[s.m.index.paths[x.GetService()]]
	if svc == nil {
		return joinRefused(wire.Code_CODE_INVALID, "no service at "+x.GetService())
	}
	old, restarted := s.m.index.agents[x.GetAgent()]
	if restarted && s.m.knownTarget(uint32(old), x.GetIncarnation()) {
		return s.joined(uint32(old))
	}
	if h, taken := s.m.index.endpoints[x.GetTarget()]; taken && h != old {
		return joinRefused(wire.Code_CODE_CONFLICT, "target "+x.GetTarget()+" belongs to the agent at "+s.m.targets[h].GetAgent())
	}
	if restarted {
		s.drop(old)
	}
	return s.joined(s.register(svc, x))
}

// register adds the target of a checked request and returns its handle.
func (s *step) register(svc *service, x *wire.JoinRequest) uint32 {
	h := s.m.nextHandle
	s.m.nextHandle++
	t := &wire.Target{
		Handle: h, Service: svc.record.GetId(), Zone: x.GetZone(), Host: x.GetHost(), Agent: x.GetAgent(),
		Target: x.GetTarget(), Weight: coldWeight, State: wire.State_STATE_SERVING,
	}
	if s.m.drained(svc.record.GetTeam(), x.GetHost()) {
		t.State = wire.State_STATE_LEAVING
	}
	s.put(t)
	s.m.targetStarts[h] = x.GetIncarnation()
	s.m.index.agents[t.GetAgent()] = mangokeel.Handle(h)
	s.m.index.endpoints[t.GetTarget()] = mangokeel.Handle(h)
	s.moved[t.GetService()] = true
	return h
}

func checkAgent(x *wire.JoinRequest) string {
	if _, err := netip.ParseAddrPort(x.GetAgent()); err != nil {
		return "agent: not an address"
	}
	if _, err := netip.ParseAddrPort(x.GetTarget()); err != nil {
		return "target: not an address"
	}
	if x.GetZone() == "" || x.GetHost() == "" {
		return "zone and host are required"
	}
	return ""
}

func (s *step) joinBalancer(x *wire.JoinRequest) *wire.JoinReply {
	if _, err := netip.ParseAddrPort(x.GetData()); err != nil {
		return joinRefused(wire.Code_CODE_INVALID, "data: not an address")
	}
	if old, ok := s.m.index.data[x.GetData()]; ok {
		if s.m.knownBalancer(old, x.GetIncarnation()) {
			return s.joined(old)
		}
		s.dropBalancer(old)
	}
	id := s.m.nextBalancer
	s.m.nextBalancer++
	b := &wire.Balancer{Id: id, Data: x.GetData(), Zone: x.GetZone(), Revision: s.revision}
	s.balancers[id] = b
	s.m.balancerStarts[id] = x.GetIncarnation()
	s.m.balancers[id] = b
	s.m.index.data[b.GetData()] = id
	return s.joined(id)
}

func (s *step) joined(id uint32) *wire.JoinReply {
	return &wire.JoinReply{Code: wire.Code_CODE_ACCEPTED, Id: id, Revision: s.revision}
}

func (s *step) dropBalancer(id uint32) {
	b := s.m.balancers[id]
	if b == nil {
		return
	}
	delete(s.m.balancers, id)
	delete(s.m.balancerStarts, id)
	delete(s.m.index.data, b.GetData())
	s.balancers[id] = &wire.Balancer{Id: id, Revision: s.revision, Gone: true}
}

func (s *step) leave(x *wire.LeaveRequest) *wire.Outcome {
	if x.GetRole() == wire.Role_ROLE_BALANCER {
		if !s.m.knownBalancer(x.GetId(), x.GetIncarnation()) {
			return refused(wire.Code_CODE_UNKNOWN, "", "not in the roster")
		}
		// A leaving balancer forwards until its connections have ended, and stays in
		// the roster so that it gets updates.
		if x.GetGone() {
			s.dropBalancer(x.GetId())
		}
		return accepted(s.revision)
	}
	h := mangokeel.Handle(x.GetId())
	if !s.m.knownTarget(x.GetId(), x.GetIncarnation()) {
		return refused(wire.Code_CODE_UNKNOWN, "", "not in the roster")
	}
	if x.GetGone() {
		s.drop(h)
		return accepted(s.revision)
	}
	s.m.announced[h] = true
	s.setState(h, wire.State_STATE_LEAVING)
	return accepted(s.revision)
}

func (s *step) setState(h mangokeel.Handle, state wire.State) {
	t := s.m.targets[h]
	if t.GetState() == state {
		return
	}
	s.target(h).State = state
	s.moved[t.GetService()] = true
}

func (s *step) expire(x *wire.Expire) {
	for _, h := range x.GetHandles() {
		s.drop(mangokeel.Handle(h))
	}
	for _, id := range x.GetBalancers() {
		s.dropBalancer(id)
	}
}

func (s *step) weights(x *wire.Weights) {
	for _, w := range x.GetWeights() {
		h := mangokeel.Handle(w.GetHandle())
		if t := s.m.targets[h]; t == nil || t.GetWeight() == w.GetWeight() {
			continue
		}
		t := s.target(h)
		t.Weight = w.GetWeight()
		s.moved[t.GetService()] = true
	}
}

// release clears marks unless one was set after the release's epoch: the agent
// cannot have considered those yet.
func (s *step) release(x *wire.Release) {
	h := mangokeel.Handle(x.GetHandle())
	t := s.m.targets[h]
	if t == nil || x.GetEpoch() < t.GetHeldEpoch() {
		return
	}
	svc := s.m.services[t.GetService()]
	held, cleared := svc.held[h], false
	for b := range bucket.Bitmap(x.GetBuckets()).All {
		cleared = cleared || held.Has(b)
		held = held.Without(b)
	}
	if cleared {
		s.mark(svc, h, held)
		s.chained[t.GetService()] = true
	}
}

func (m *Machine) knownTarget(handle uint32, incarnation []byte) bool {
	have, ok := m.targetStarts[handle]
	return ok && bytes.Equal(have, incarnation)
}

func (m *Machine) knownBalancer(id uint32, incarnation []byte) bool {
	have, ok := m.balancerStarts[id]
	return ok && bytes.Equal(have, incarnation)
}

// Known reports whether a node is in the roster under an incarnation.
func (m *Machine) Known(role wire.Role, id uint32, incarnation []byte) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if role == wire.Role_ROLE_BALANCER {
		return m.knownBalancer(id, incarnation)
	}
	return m.knownTarget(id, incarnation)
}

// Target returns the record of a live target, or nil.
func (m *Machine) Target(h mangokeel.Handle) *wire.Target {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.targets[h]
}

// Balancer returns the record of a live balancer, or nil.
func (m *Machine) Balancer(id uint32) *wire.Balancer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.balancers[id]
}

// Targets returns the records of all live targets in no particular order.
func (m *Machine) Targets() []*wire.Target {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Values(m.targets))
}

// Balancers returns the records of all live balancers in no particular order.
func (m *Machine) Balancers() []*wire.Balancer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Values(m.balancers))
}

// Service returns the record of a live service, or nil.
func (m *Machine) Service(id mangokeel.ServiceID) *wire.Service {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if svc := m.services[uint32(id)]; svc != nil {
		return svc.record
	}
	return nil
}
