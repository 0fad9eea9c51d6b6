package roster

import (
	"cmp"
	"slices"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

// resetLen is the length of a stateless reset key in bytes.
const resetLen = 32

// service is one live service.
type service struct {
	record  *wire.Service
	targets map[mangokeel.Handle]*wire.Target
	// held has the buckets that targets may hold without owning them. Records
	// carry them packed.
	held map[mangokeel.Handle]bucket.Bitmap
	// table is always the one computed from record and targets after a step.
	table bucket.Table
	// configured are the availability zones in the settings document, those that
	// are taken out included.
	configured []string
	// wanted is the claim home that the service should have. It follows record and
	// targets as table does.
	wanted []uint32
	// journal has the records that agents of the service need.
	journal *journal
}

// create adds a service for a path. The number of buckets is fixed for the life of
// a service, because nodes index flows by it.
func (s *step) create(team, name, path string, buckets uint32) *service {
	id := s.m.nextService
	s.m.nextService++
	svc := &service{
		record: &wire.Service{
			Id: id, Team: team, Name: name, Buckets: buckets, Epoch: s.revision, Revision: s.revision,
			Secrets: []*wire.Secret{{Number: 1, Key: s.derive("connection id", id, cid.KeyLen)}},
			Reset_:  s.derive("stateless reset", id, resetLen),
			Home:    &wire.Home{},
		},
		targets: map[mangokeel.Handle]*wire.Target{},
		held:    map[mangokeel.Handle]bucket.Bitmap{},
		table:   bucket.New(nil, buckets),
		journal: &journal{tombs: maxServiceTombs},
	}
	s.services[id] = svc.record
	s.m.services[id] = svc
	s.m.index.paths[path] = id
	return svc
}

// remove ends a service and all its targets.
func (s *step) remove(svc *service, path string) {
	for h := range svc.targets {
		s.drop(h)
	}
	id := svc.record.GetId()
	delete(s.m.services, id)
	delete(s.m.index.paths, path)
	if a := svc.record.GetAddress(); s.m.index.addresses[a] == id {
		delete(s.m.index.addresses, a)
	}
	s.services[id] = &wire.Service{Id: id, Revision: s.revision, Gone: true}
}

// configure brings the record in line with its settings document.
func (s *step) configure(svc *service, x *settings.Service) {
	svc.configured = sortedZones(x.Zones)
	r := s.service(svc)
	if old := r.GetAddress(); s.m.index.addresses[old] == r.GetId() {
		delete(s.m.index.addresses, old)
	}
	r.Address = x.Address.String()
	s.m.index.addresses[r.Address] = r.GetId()
	r.Protocol = protocolOf(x.Protocol)
	r.Slots, r.Connections, r.Queue = uint32(x.Slots), uint32(x.Connections), uint32(x.Queue)
	r.WaitMs, r.DrainMs, r.ClaimMs = millis(x.Wait), millis(x.Drain), millis(x.Claims)
	r.Rules = rulesOf(x.Rules)
}

// rezone sets the availability zones in service. Targets of a zone that leaves
// hold nothing any more. Registrations of a zone that returns end: an agent that
// missed the absence would otherwise continue flows whose callers were told that
// they had ended. The agents join again under new handles.
func (s *step) rezone(svc *service, zones []string) {
	old := svc.record.GetZones()
	if slices.Equal(old, zones) {
		return
	}
	id := svc.record.GetId()
	s.service(svc).Zones = zones
	s.moved[id], s.chained[id] = true, true
	for h, t := range svc.targets {
		was, is := slices.Contains(old, t.GetZone()), slices.Contains(zones, t.GetZone())
		switch {
		case !was && is:
			s.drop(h)
		case was && !is:
			s.mark(svc, h, nil)
		}
	}
}

// retable recomputes the owners and marks where flows may remain.
func (s *step) retable(svc *service) {
	svc.wanted = svc.want()
	next := bucket.New(view.Members(svc.record, svc.targets), svc.record.GetBuckets())
	moved := false
	for b := range svc.record.GetBuckets() {
		was, _ := svc.table.Owner(b)
		is, _ := next.Owner(b)
		if was == is {
			continue
		}
		moved = true
		s.hold(svc, was, b)
		s.own(svc, is, b)
	}
	if moved {
		svc.table = next
		s.chained[svc.record.GetId()] = true
	}
}

// hold notes that h may hold flows of a bucket that it no longer owns.
func (s *step) hold(svc *service, h mangokeel.Handle, b uint32) {
	t := svc.targets[h]
	if t == nil || !slices.Contains(svc.record.GetZones(), t.GetZone()) {
		return
	}
	s.mark(svc, h, svc.held[h].With(b))
	s.target(h).HeldEpoch = s.revision
}

// own clears the mark of a bucket for its owner.
func (s *step) own(svc *service, h mangokeel.Handle, b uint32) {
	if svc.held[h].Has(b) {
		s.mark(svc, h, svc.held[h].Without(b))
	}
}

// mark replaces the marks of a target. Its record gets them at the end of the
// step.
func (s *step) mark(svc *service, h mangokeel.Handle, held bucket.Bitmap) {
	if len(held) == 0 && len(svc.held[h]) == 0 {
		return
	}
	svc.held[h] = held
	s.target(h)
	s.marked[h] = true
}

// rehome moves the claim home one step. The first home needs no joint step. A
// joint step whose next home lost a member continues with another next home,
// which is safe because claims under both need a majority of the old one.
func (s *step) rehome(x *wire.Rehome) *wire.Outcome {
	svc := s.m.services[x.GetService()]
	if svc == nil {
		return refused(wire.Code_CODE_UNKNOWN, "", "no such service")
	}
	home := svc.record.GetHome()
	joint := len(home.GetNext()) > 0
	if home.GetEpoch() != x.GetEpoch() || (x.GetDone() && !joint) {
		return &wire.Outcome{Code: wire.Code_CODE_CONFLICT, Revision: home.GetEpoch()}
	}
	next := &wire.Home{Epoch: s.revision, Now: home.GetNow(), Next: x.GetNext()}
	switch {
	case x.GetDone():
		next.Now, next.Next = home.GetNext(), nil
	case len(x.GetNext()) == 0:
		return refused(wire.Code_CODE_INVALID, "", "the next home is empty")
	case len(home.GetNow()) == 0:
		next.Now, next.Next = x.GetNext(), nil
	}
	s.service(svc).Home = next
	return accepted(s.revision)
}

// Home is the claim home of a service and the one it should have.
type Home struct {
	Service uint32
	Home    *wire.Home
	// Want lists the serving targets in service by availability zone, with a 0
	// between zones.
	Want []uint32
}

// Homes returns the claim homes that are joint or not as they should be.
func (m *Machine) Homes() []Home {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Home
	for id, svc := range m.services {
		if svc.record.GetProtocol() != wire.Protocol_PROTOCOL_HTTP {
			continue
		}
		h := Home{Service: id, Home: svc.record.GetHome(), Want: svc.wanted}
		if len(h.Home.GetNext()) > 0 || !slices.Equal(h.Home.GetNow(), h.Want) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Home) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (svc *service) want() []uint32 {
	var fit []*wire.Target
	for _, t := range svc.targets {
		if t.GetState() == wire.State_STATE_SERVING && slices.Contains(svc.record.GetZones(), t.GetZone()) {
			fit = append(fit, t)
		}
	}
	slices.SortFunc(fit, func(a, b *wire.Target) int {
		return cmp.Or(cmp.Compare(a.GetZone(), b.GetZone()), cmp.Compare(a.GetHandle(), b.GetHandle()))
	})
	var out []uint32
	for i, t := range fit {
		if i > 0 && t.GetZone() != fit[i-1].GetZone() {
			out = append(out, 0)
		}
		out = append(out, t.GetHandle())
	}
	return out
}

func sortedZones(zones []string) []string { return slices.Compact(slices.Sorted(slices.Values(zones))) }

func protocolOf(name string) wire.Protocol {
	if name == "udp" {
		return wire.Protocol_PROTOCOL_UDP
	}
	return wire.Protocol_PROTOCOL_HTTP
}

func rulesOf(rules []settings.Rule) []*wire.Rule {
	var out []*wire.Rule
	for _, r := range rules {
		out = append(out, &wire.Rule{Method: r.Method, Prefix: r.Prefix, Class: classOf(r.Class), Once: r.Once, Stream: r.Stream})
	}
	return out
}

func classOf(name string) wire.Class {
	switch name {
	case "urgent":
		return wire.Class_CLASS_URGENT
	case "bulk":
		return wire.Class_CLASS_BULK
	}
	return wire.Class_CLASS_NORMAL
}

func millis(d settings.Duration) uint32 { return uint32(d.Value().Milliseconds()) }
