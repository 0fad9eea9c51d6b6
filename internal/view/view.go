// Package view holds a node's copy of the settings and the roster.
//
// A node has one View, to which it applies the updates that it receives from control.
// Every reader sees either the state before an update or the state after it:
//
//	var v view.View
//	outcome := v.Apply(update)
//	s := v.State().Service(id)
//
// A View never returns to an older revision, whichever control instance sends an update.
package view

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/wire"
)

// Outcome is the result of Apply.
type Outcome int

// Outcomes of Apply.
const (
	// Applied means that the revision has increased.
	Applied Outcome = iota
	// Unchanged means that the update was for the current revision.
	Unchanged
	// Older means that the update was ignored because its revision is lower.
	Older
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"applied", "unchanged", "older"}[o]
}

// View holds the latest state of a node. The zero value is at revision 0.
type View struct {
	mu    sync.Mutex // held by Apply
	state atomic.Pointer[State]
}

// State is one revision of a view. It is immutable once published.
type State struct {
	// Revision never decreases from one state of a view to the next.
	Revision mangokeel.Revision
	// NextHandle is greater than every handle assigned up to Revision.
	NextHandle mangokeel.Handle
	services   map[mangokeel.ServiceID]*Service
	balancers  map[uint32]*wire.Balancer
}

// Service is a service with its bucket table and targets.
type Service struct {
	*wire.Service
	ID    mangokeel.ServiceID
	Epoch mangokeel.Epoch
	// Address is the address at which callers reach the service.
	Address netip.AddrPort
	// Table has the owners of all buckets at Epoch.
	Table bucket.Table
	// Keys decodes the service's connection IDs. It is never nil.
	Keys *cid.Keys
	// Targets has all targets of the service by handle, including those in availability
	// zones out of service.
	Targets map[mangokeel.Handle]*Target
	// records has the targets as received from control.
	records map[mangokeel.Handle]*wire.Target
	holders holders
}

// Target is a target with its parsed address.
type Target struct {
	*wire.Target
	Handle mangokeel.Handle
	// Agent is the address of the agent's data socket, UDP and TCP.
	Agent netip.AddrPort
	// Open is false while the target's availability zone is out of service.
	Open bool
	Held bucket.Bitmap
}

// State returns the current state. It is never nil.
func (v *View) State() *State {
	if s := v.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Apply advances the view to the update's revision. Updates for lower revisions are
// ignored.
func (v *View) Apply(u *wire.Update) Outcome {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.State()
	r := mangokeel.Revision(u.GetRevision())
	if r < old.Revision {
		return Older
	}
	if r == old.Revision && old.Revision > 0 {
		return Unchanged
	}
	v.state.Store(old.next(u))
	return Applied
}

// next returns the state after u. Services that u does not change are shared with s.
func (s *State) next(u *wire.Update) *State {
	n := &State{
		Revision:   mangokeel.Revision(u.GetRevision()),
		NextHandle: max(s.NextHandle, mangokeel.Handle(u.GetNextHandle())),
		services:   map[mangokeel.ServiceID]*Service{},
		balancers:  map[uint32]*wire.Balancer{},
	}
	if !u.GetWhole() {
		maps.Copy(n.services, s.services)
		maps.Copy(n.balancers, s.balancers)
	}
	for _, b := range u.GetBalancers() {
		setOrDelete(n.balancers, b.GetId(), b, b.GetGone())
	}
	for id, d := range updatedServices(n.services, u) {
		if d.record == nil || d.record.GetGone() {
			delete(n.services, id)
			continue
		}
		n.services[id] = newService(d.record, d.targets)
	}
	return n
}

// serviceRecords has the records of a service that an update changes.
type serviceRecords struct {
	record  *wire.Service
	targets map[mangokeel.Handle]*wire.Target
}

// updatedServices returns the services that u changes, with their records after it.
func updatedServices(services map[mangokeel.ServiceID]*Service, u *wire.Update) map[mangokeel.ServiceID]*serviceRecords {
	all := map[mangokeel.ServiceID]*serviceRecords{}
	of := func(id uint32) *serviceRecords {
		sid := mangokeel.ServiceID(id)
		d := all[sid]
		if d == nil {
			d = &serviceRecords{targets: map[mangokeel.Handle]*wire.Target{}}
			if old := services[sid]; old != nil {
				d.record = old.Service
				maps.Copy(d.targets, old.records)
			}
			all[sid] = d
		}
		return d
	}
	for _, x := range u.GetServices() {
		of(x.GetId()).record = x
	}
	for _, t := range u.GetTargets() {
		setOrDelete(of(t.GetService()).targets, mangokeel.Handle(t.GetHandle()), t, t.GetGone())
	}
	return all
}

func setOrDelete[K comparable, V any](m map[K]V, k K, v V, gone bool) {
	if gone {
		delete(m, k)
		return
	}
	m[k] = v
}

// newService returns a service with its bucket table, targets and keys.
func newService(x *wire.Service, targets map[mangokeel.Handle]*wire.Target) *Service {
	svc := &Service{
		Service: x,
		ID:      mangokeel.ServiceID(x.GetId()),
		Epoch:   mangokeel.Epoch(x.GetEpoch()),
		Keys:    newKeys(x),
		Targets: map[mangokeel.Handle]*Target{},
		records: targets,
	}
	svc.Address, _ = netip.ParseAddrPort(x.GetAddress())
	var holding []*Target
	for h, t := range targets {
		if n := svc.addTarget(h, t); n != nil && n.Open && !n.Held.Empty() {
			holding = append(holding, n)
		}
	}
	slices.SortFunc(holding, func(a, b *Target) int { return cmp.Compare(b.Handle, a.Handle) })
	svc.holders = newHolders(holding, x.GetBuckets())
	svc.Table = bucket.New(Members(x, targets), x.GetBuckets())
	return svc
}

// addTarget adds a target and returns it, or nil if its address is malformed.
func (s *Service) addTarget(h mangokeel.Handle, t *wire.Target) *Target {
	agent, err := netip.ParseAddrPort(t.GetAgent())
	if err != nil {
		return nil
	}
	n := &Target{
		Target: t,
		Handle: h,
		Agent:  agent,
		Open:   slices.Contains(s.GetZones(), t.GetZone()),
		Held:   heldBuckets(t),
	}
	s.Targets[h] = n
	return n
}

// heldBuckets returns the buckets of which t may hold flows.
func heldBuckets(t *wire.Target) bucket.Bitmap {
	if len(t.GetPacked()) > 0 {
		return bucket.Unpack(t.GetPacked())
	}
	return t.GetHeld()
}

func newKeys(x *wire.Service) *cid.Keys {
	secrets := make([]cid.Secret, 0, len(x.GetSecrets()))
	for _, k := range x.GetSecrets() {
		secrets = append(secrets, cid.Secret{Number: uint8(k.GetNumber()), Key: k.GetKey()})
	}
	keys, err := cid.NewKeys(secrets)
	if err != nil {
		return &cid.Keys{}
	}
	return keys
}

// Members returns the eligible targets of a service in ascending order of their handles, as
// bucket.New requires: those that serve, have a weight and are in an availability zone in
// service.
func Members(x *wire.Service, targets map[mangokeel.Handle]*wire.Target) []bucket.Member {
	var m []bucket.Member
	for h, t := range targets {
		if t.GetService() != x.GetId() || t.GetState() != wire.State_STATE_SERVING || t.GetWeight() == 0 {
			continue
		}
		if slices.Contains(x.GetZones(), t.GetZone()) {
			m = append(m, bucket.Member{Handle: h, Weight: t.GetWeight()})
		}
	}
	slices.SortFunc(m, func(a, b bucket.Member) int { return cmp.Compare(a.Handle, b.Handle) })
	return m
}

// Service returns a service, or nil if it does not exist.
func (s *State) Service(id mangokeel.ServiceID) *Service { return s.services[id] }

// Services calls yield for each service in no particular order.
func (s *State) Services(yield func(*Service) bool) {
	for _, x := range s.services {
		if !yield(x) {
			return
		}
	}
}

// Balancers returns the balancers by ID. The map must not be modified.
func (s *State) Balancers() map[uint32]*wire.Balancer { return s.balancers }

// Owner returns the owner of bucket b, or nil if no target is eligible.
func (s *Service) Owner(b uint32) *Target {
	h, ok := s.Table.Owner(b)
	if !ok {
		return nil
	}
	return s.Targets[h]
}

// Chain calls yield for the owner of bucket b and then for each earlier owner
// that may still hold flows of it, newest handle first.
func (s *Service) Chain(b uint32, yield func(*Target) bool) {
	owner := s.Owner(b)
	if owner != nil && !yield(owner) {
		return
	}
	for _, t := range s.holders.of(b) {
		if t != owner && !yield(t) {
			return
		}
	}
}
