package control

import (
	"context"
	"net/netip"
	"sync"

	"mangokeel"
)

// Solo is the log of a single instance in memory, for tests and trials.
type Solo struct {
	id      string
	addr    netip.AddrPort
	machine mangokeel.Machine
	mu      sync.Mutex
	applied mangokeel.Revision
}

var _ mangokeel.Log = (*Solo)(nil)

// NewSolo returns an empty log that applies to machine.
func NewSolo(id string, addr netip.AddrPort, machine mangokeel.Machine) *Solo {
	return &Solo{id: id, addr: addr, machine: machine}
}

// Propose implements mangokeel.Log.
func (s *Solo) Propose(_ context.Context, command []byte) ([]byte, mangokeel.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied++
	return s.machine.Apply(s.applied, command), s.applied, nil
}

// Status implements mangokeel.Log.
func (s *Solo) Status() mangokeel.LogStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mangokeel.LogStatus{ID: s.id, Leader: s.addr, Leading: true, Voter: true, Term: 1, Applied: s.applied, Committed: s.applied}
}
