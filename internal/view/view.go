// Package view is what a node knows of the settings and the roster.
//
// A node keeps one View and feeds it the updates it gets from control with Apply.
// Every reader sees either the state before an update or after it:
//
//	var v view.View
//	outcome := v.Apply(update)
//	s := v.State().Service(id)
//
// A View never goes back to an older revision, whichever control instance the
// update comes from.
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

// Outcome says what Apply did.
type Outcome int

// Outcomes of Apply.
const (
	// Applied means that the revision rose.
	Applied Outcome = iota
	// Unchanged means that the update was for the present revision.
	Unchanged
	// Older means that the update was refused because its revision is lower.
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

// State is one revision of a view. It is never changed after it was published.
type State struct {
	// Revision never falls from one state of a view to the next.
	Revision mangokeel.Revision
	// NextHandle is above every handle given out up to Revision.
	NextHandle mangokeel.Handle
	services   map[mangokeel.ServiceID]*Service
	balancers  map[uint32]*wire.Balancer
}

// Service is one service with its table.
type Service struct {
	*wire.Service
	ID    mangokeel.ServiceID
	Epoch mangokeel.Epoch
	// Address is where callers reach the service.
	Address netip.AddrPort
	// Table has the owners at Epoch.
	Table bucket.Table
	// Keys reads the service's connection IDs. It is never nil.
	Keys *cid.Keys
	// Targets has all targets of the service by handle, those in availability
	// zones that are out included.
	Targets map[mangokeel.Handle]*Target
	// records are the targets as control sent them.
	records map[mangokeel.Handle]*wire.Target
	holders holders
}

// Target is one target with its parsed addresses.
type Target struct {
	*wire.Target
	Handle mangokeel.Handle
	// Agent is the address of the agent's data socket, UDP and TCP.
	Agent netip.AddrPort
	// Open is false when the target's availability zone is out of service.
	Open bool
	Held bucket.Bitmap
}

// State returns the present state. It is never nil.
func (v *View) State() *State {
	if s := v.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Apply moves the view to the update's revision. Updates for lower revisions
// change nothing.
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

// next returns the state that u leads to. Services that u does not touch are
// shared with s.
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
		put(n.balancers, b.GetId(), b, b.GetGone())
	}
	for id, d := range drafts(n.services, u) {
		if d.record == nil || d.record.GetGone() {
			delete(n.services, id)
			continue
		}
		n.services[id] = compile(d.record, d.targets)
	}
	return n
}

// draft is a service whose records change.
type draft struct {
	record  *wire.Service
	targets map[mangokeel.Handle]*wire.Target
}

// drafts returns the services that u touches with their records after it.
func drafts(services map[mangokeel.ServiceID]*Service, u *wire.Update) map[mangokeel.ServiceID]*draft {
	all := map[mangokeel.ServiceID]*draft{}
	of := func(id uint32) *draft {
		sid := mangokeel.ServiceID(id)
		d := all[sid]
		if d == nil {
			d = &draft{targets: map[mangokeel.Handle]*wire.Target{}}
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
		put(of(t.GetService()).targets, mangokeel.Handle(t.GetHandle()), t, t.GetGone())
	}
	return all
}

func put[K comparable, V any](m map[K]V, k K, v V, gone bool) {
	if gone {
		delete(m, k)
		return
	}
	m[k] = v
}

// compile returns the service with its table, targets and keys.
func compile(x *wire.Service, targets map[mangokeel.Handle]*wire.Target) *Service {
	svc := &Service{
		Service: x,
		ID:      mangokeel.ServiceID(x.GetId()),
		Epoch:   mangokeel.Epoch(x.GetEpoch()),
		Keys:    keysOf(x),
		Targets: map[mangokeel.Handle]*Target{},
		records: targets,
	}
	svc.Address, _ = netip.ParseAddrPort(x.GetAddress())
	var holding []*Target
	for h, t := range targets {
		if n := svc.add(h, t); n != nil && n.Open && !n.Held.Empty() {
			holding = append(holding, n)
		}
	}
	slices.SortFunc(holding, func(a, b *Target) int { return cmp.Compare(b.Handle, a.Handle) })
	svc.holders = newHolders(holding, x.GetBuckets())
	svc.Table = bucket.New(Members(x, targets), x.GetBuckets())
	return svc
}

// add returns the parsed target, or nil when its address is malformed.
func (s *Service) add(h mangokeel.Handle, t *wire.Target) *Target {
	agent, err := netip.ParseAddrPort(t.GetAgent())
	if err != nil {
		return nil
	}
	n := &Target{
		Target: t,
		Handle: h,
		Agent:  agent,
		Open:   slices.Contains(s.GetZones(), t.GetZone()),
		Held:   heldOf(t),
	}
	s.Targets[h] = n
	return n
}

// heldOf returns the buckets in which t may hold flows.
func heldOf(t *wire.Target) bucket.Bitmap {
	if len(t.GetPacked()) > 0 {
		return bucket.Unpack(t.GetPacked())
	}
	return t.GetHeld()
}

func keysOf(x *wire.Service) *cid.Keys {
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

// Members returns the eligible targets of a service in the order that
// bucket.New wants: serving, in an availability zone in service, with weight.
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

// Service returns the service or nil.
func (s *State) Service(id mangokeel.ServiceID) *Service { return s.services[id] }

// Services calls yield for each service in no particular order.
func (s *State) Services(yield func(*Service) bool) {
	for _, x := range s.services {
		if !yield(x) {
			return
		}
	}
}

// Balancers returns the balancers by id. The map must not be changed.
func (s *State) Balancers() map[uint32]*wire.Balancer { return s.balancers }

// Owner returns the owner of bucket b, or nil when no target is eligible.
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
