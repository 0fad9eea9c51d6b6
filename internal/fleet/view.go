package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/fleetwire"
)

// Target is an announced target as nodes see it.
type Target struct {
	// Agent is the address for frames to the target's agent. It identifies the target.
	Agent   netip.AddrPort
	Zone    mangokeel.AvailabilityZone
	Service string
	// Ready is false while the target drains.
	Ready bool
	// Silent is set while the agent's lease is expired. The target may still hold flows.
	Silent bool
	// Cold is set while the target is warming up and can take only a small load.
	Cold bool
	// KnowsAllFlows is set if the agent knows every flow that the target may hold.
	KnowsAllFlows bool `json:"Aware"`
	Slots         int
	// Start identifies the agent's incarnation.
	Start uint64

	hash uint64
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  uint32
}

// Route distributes the flows to one address among services.
type Route struct {
	// Shares has weights with a positive sum.
	Shares []Share
	// FormerServices are services of earlier configurations that may still hold flows of the
	// route.
	FormerServices []string `json:"Former"`
	// Timeout is the longest time that callers wait.
	Timeout time.Duration
	// TargetLatency is the time within which callers want an answer, or 0 if there is none.
	TargetLatency time.Duration `json:"Target"`
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
}

// Allows reports whether the route sends new flows to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// ChooseService returns the service for a new flow. A hash always gives the same service while
// the shares do not change.
func (r *Route) ChooseService(hash uint64) string {
	var sum uint64
	for _, s := range r.Shares {
		sum += uint64(s.Weight)
	}
	if sum == 0 {
		return ""
	}
	// The high bits are independent of those that rank the targets.
	at := (hash >> 32) % sum
	for _, s := range r.Shares {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return ""
}

// CandidateServices returns the services that may hold a flow of the route, the most likely one
// first.
func (r *Route) CandidateServices(hash uint64) []string {
	first := r.ChooseService(hash)
	list := []string{first}
	for _, s := range r.Shares {
		if s.Service != first {
			list = append(list, s.Service)
		}
	}
	for _, service := range r.FormerServices {
		if !r.Allows(service) {
			list = append(list, service)
		}
	}
	return list
}

// Service holds the configured limits of a service.
type Service struct {
	// MaxConnections is the maximum number of flows per target; 0 means no limit.
	MaxConnections int `json:"Connections"`
	// ColdRate is the load that a cold target can take, in requests per second.
	ColdRate float64
}

// State is an immutable snapshot of the desired state and the registry as a node knows them.
type State struct {
	// Revision is the revision of the desired state. It never decreases between snapshots.
	Revision uint64
	Routes   map[netip.AddrPort]*Route
	Services map[string]Service
	// ZonesOut has the zones out of service, ZoneRevisions the revision of each zone's last
	// change.
	ZonesOut      map[mangokeel.AvailabilityZone]bool   `json:"Out"`
	ZoneRevisions map[mangokeel.AvailabilityZone]uint64 `json:"Zones"`
	// IdleTimeout is how long a flow may be idle.
	IdleTimeout time.Duration `json:"Idle"`
	// FirstUpdate is when the node received its first reply. Agents may be missing until
	// StartupGrace after it.
	FirstUpdate time.Time `json:"First"`
	// Complete is false while agents may be missing from the leader's registry.
	Complete bool
	// ConfirmedAt is a time at which a majority of the control instances had no newer desired state
	// than this one. It never decreases between snapshots.
	ConfirmedAt time.Time `json:"Confirmed"`
	// Standby is set while the balancers of the node's zone should leave the fabric's rotation.
	Standby bool
	// RosterVersion increases with each change of the targets. LastRosterChange is when this
	// node last learned that an agent joined, left, restarted, fell silent or returned.
	RosterVersion    uint64    `json:"Roster"`
	LastRosterChange time.Time `json:"Steady"`
	// Targets has the targets of each service in ascending order of their agents' addresses.
	Targets map[string][]*Target
	// Agents has the target of each agent.
	Agents map[netip.AddrPort]*Target
	// zones has the targets of all services whose agents are not silent, by zone.
	zones []zoneTargets
}

// zoneTargets has the targets of one availability zone in ascending order of their agents'
// addresses.
type zoneTargets struct {
	hash    uint64
	targets []*Target
}

// StartupGrace is how long targets may be missing after all nodes have started together:
// agents need up to leaderQueryTimeout to find a leader, and learn of their target from its
// next report.
const StartupGrace = 800 * time.Millisecond

// TargetsKnown reports whether a missing target is known not to exist or has had enough time to
// be announced.
func (s *State) TargetsKnown(now time.Time) bool {
	return !s.FirstUpdate.IsZero() && (s.Complete || now.Sub(s.FirstUpdate) > StartupGrace)
}

// HasZone reports whether a zone has agents that are not silent.
func (s *State) HasZone(zone mangokeel.AvailabilityZone) bool {
	return slices.ContainsFunc(s.zones, func(z zoneTargets) bool { return z.targets[0].Zone == zone })
}

// registrarCount is the number of registrars of a flow, the agents that record its owner. With three, one may be
// lost while another is frozen.
const registrarCount = 3

// Registrars appends to list the registrars of a flow. They depend neither on
// the flow's service nor on the caller's zone, are in as many zones as possible, and change for
// few flows when agents join or leave.
func (s *State) Registrars(list []*Target, flow uint64) []*Target {
	var zones [registrarCount]*zoneTargets
	n := 0
	for i := range s.zones {
		z := &s.zones[i]
		at := n
		for at > 0 && mix64(zones[at-1].hash^flow) < mix64(z.hash^flow) {
			at--
		}
		if at == registrarCount {
			continue
		}
		n = min(n+1, registrarCount)
		copy(zones[at+1:n], zones[at:n-1])
		zones[at] = z
	}
	if n == 0 {
		return list
	}
	first := len(list)
	for i := range registrarCount {
		var best *Target
		for _, t := range zones[i%n].targets {
			if (best == nil || mix64(t.hash^flow) > mix64(best.hash^flow)) && !slices.Contains(list[first:], t) {
				best = t
			}
		}
		if best != nil {
			list = append(list, best)
		}
	}
	return list
}

// RankTargets appends to list the targets of a service in the order of their responsibility
// for a flow: those that are not silent first, then those in zone, then by rendezvous hash.
func (s *State) RankTargets(list []*Target, service string, zone mangokeel.AvailabilityZone, flow uint64) []*Target {
	var buf [maxStackRanked]ranked
	ranks := buf[:0]
	for _, t := range s.Targets[service] {
		ranks = append(ranks, rank(t, zone, flow))
	}
	slices.SortFunc(ranks, ranked.compare)
	for _, r := range ranks {
		list = append(list, r.target)
	}
	return list
}

// FirstTargets appends to list the first targets of RankTargets, at most maxFirstTargets. Unlike
// RankTargets it does not sort all targets.
func (s *State) FirstTargets(list []*Target, service string, zone mangokeel.AvailabilityZone, flow uint64) []*Target {
	var buf [maxFirstTargets]ranked
	n := 0
	for _, t := range s.Targets[service] {
		r := rank(t, zone, flow)
		if n == maxFirstTargets && r.compare(buf[n-1]) > 0 {
			continue
		}
		n = min(n+1, maxFirstTargets)
		at := n - 1
		for ; at > 0 && r.compare(buf[at-1]) < 0; at-- {
			buf[at] = buf[at-1]
		}
		buf[at] = r
	}
	for _, r := range buf[:n] {
		list = append(list, r.target)
	}
	return list
}

// SampleTargets appends to list up to n targets of a service, chosen at random by seed.
func (s *State) SampleTargets(list []*Target, service string, seed uint64, n int) []*Target {
	all, first := s.Targets[service], len(list)
	if n >= len(all) {
		return append(list, all...)
	}
	for i := range uint64(n) {
		if t := all[mix64(seed+i)%uint64(len(all))]; !slices.Contains(list[first:], t) {
			list = append(list, t)
		}
	}
	return list
}

const (
	// maxStackRanked is the number of targets that are ranked without heap allocation.
	maxStackRanked = 64
	// maxFirstTargets is how many targets FirstTargets returns: the first one and some to use while
	// its agent does not respond.
	maxFirstTargets = 4
)

// ranked is a target with its rank for a flow. The highest rank comes first.
type ranked struct {
	rank   uint64
	target *Target
}

// rank returns the rank of a target for a flow of a caller in zone.
func rank(t *Target, zone mangokeel.AvailabilityZone, flow uint64) ranked {
	h := mix64(t.hash^flow) >> 2
	if t.Zone == zone {
		h |= 1 << 62
	}
	if !t.Silent {
		h |= 1 << 63
	}
	return ranked{h, t}
}

// compare returns a negative number if r comes before x.
func (r ranked) compare(x ranked) int {
	if c := cmp.Compare(x.rank, r.rank); c != 0 {
		return c
	}
	return r.target.Agent.Compare(x.target.Agent)
}

// mix64 is the 64-bit finalizer of MurmurHash3. Each input bit affects all output bits.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// View holds the current State of a node. The zero value holds an empty State.
type View struct {
	state atomic.Pointer[State]
	mu    sync.Mutex
	// announcements is this node's copy of the registry, by agent.
	announcements map[string]*fleetwire.Announcement
	// announcedTerm has the term of the leader that last sent each announcement.
	announcedTerm map[string]uint64
	// completeTerm is the last term in which the leader's registry was complete.
	completeTerm uint64
	lastContact  atomic.Pointer[time.Time]
	// oldestContact is the result of OldestAgentContact.
	oldestContact atomic.Pointer[time.Time]
	// typical is the result of TypicalLoad.
	typical atomic.Pointer[TypicalLoad]
}

// OldestAgentContact returns a time since which every agent that is not silent has reached the
// leader, or the zero time before the first reply.
func (v *View) OldestAgentContact() time.Time {
	if t := v.oldestContact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// LastContact returns when a leader last answered, or the zero time if none has.
func (v *View) LastContact() time.Time {
	if t := v.lastContact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// State returns the current state. It is never nil.
func (v *View) State() *State {
	if s := v.state.Load(); s != nil {
		return s
	}
	return &State{}
}

// Apply merges a leader's reply into the state and reports whether anything changed.
func (v *View) Apply(r *fleetwire.PollReply, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastContact.Store(&now)
	v.applyTypicalLoad(r, now)
	// The computed time is too late by the reply's unknown transit time. This does no harm:
	// searches query registrars only after the reply has arrived, so the messages of all agents had
	// as much time to arrive.
	oldest := now.Add(-time.Duration(r.GetHeardMs()) * time.Millisecond)
	v.oldestContact.Store(&oldest)
	old := v.State()
	next := *old
	if next.FirstUpdate.IsZero() {
		next.FirstUpdate = now
	}
	if at := now.Add(-time.Duration(r.GetUnconfirmedMs()) * time.Millisecond); at.After(next.ConfirmedAt) {
		next.ConfirmedAt = at
	}
	changed := next.Complete != r.GetComplete() || next.Standby != r.GetStandby()
	next.Complete, next.Standby = r.GetComplete(), r.GetStandby()
	changed = v.applyDesired(r, &next) || changed
	if v.applyRegistry(r) {
		v.rebuildTargets(&next)
		if !sameAgents(old, &next) {
			next.LastRosterChange = now
		}
		changed = true
	}
	v.state.Store(&next)
	return changed
}

func (v *View) applyDesired(r *fleetwire.PollReply, next *State) bool {
	if r.GetDesired() <= next.Revision {
		return false
	}
	routes := map[netip.AddrPort]*Route{}
	if !r.GetWhole() {
		maps.Copy(routes, next.Routes)
	}
	for _, x := range r.GetRoutes() {
		a, err := netip.ParseAddrPort(x.GetAddress())
		if err != nil {
			continue // control validates addresses before it accepts routes
		}
		if x.GetGone() {
			delete(routes, a)
			continue
		}
		route := &Route{
			FormerServices: x.GetFormer(), Timeout: time.Duration(x.GetTimeoutMs()) * time.Millisecond,
			TargetLatency: time.Duration(x.GetTargetMs()) * time.Millisecond, Priority: int(x.GetPriority()),
		}
		for _, s := range x.GetShares() {
			route.Shares = append(route.Shares, Share{s.GetService(), s.GetWeight()})
		}
		routes[a] = route
	}
	next.Routes = routes
	next.Services = map[string]Service{}
	for _, x := range r.GetServices() {
		next.Services[x.GetName()] = Service{int(x.GetConnections()), x.GetColdRate()}
	}
	next.ZonesOut, next.ZoneRevisions = map[mangokeel.AvailabilityZone]bool{}, map[mangokeel.AvailabilityZone]uint64{}
	for _, z := range r.GetZones() {
		next.ZoneRevisions[mangokeel.AvailabilityZone(z.GetName())] = z.GetRevision()
		if z.GetOut() {
			next.ZonesOut[mangokeel.AvailabilityZone(z.GetName())] = true
		}
	}
	next.IdleTimeout = time.Duration(r.GetIdleMs()) * time.Millisecond
	next.Revision = r.GetDesired()
	return true
}

// applyRegistry merges announcements and reports whether any changed. While the leader's
// registry is incomplete, announcements of earlier leaders are kept. Once it is complete, those
// that this leader never sent are deleted.
func (v *View) applyRegistry(r *fleetwire.PollReply) bool {
	if v.announcements == nil {
		v.announcements, v.announcedTerm = map[string]*fleetwire.Announcement{}, map[string]uint64{}
	}
	changed := false
	for _, a := range r.GetAnnouncements() {
		v.announcedTerm[a.GetAgent()] = r.GetTerm()
	}
	if r.GetComplete() && v.completeTerm != r.GetTerm() {
		v.completeTerm = r.GetTerm()
		for agent := range v.announcements {
			if v.announcedTerm[agent] != r.GetTerm() {
				delete(v.announcements, agent)
				delete(v.announcedTerm, agent)
				changed = true
			}
		}
	}
	if r.GetAll() && r.GetComplete() {
		listed := map[string]bool{}
		for _, a := range r.GetAnnouncements() {
			listed[a.GetAgent()] = true
		}
		for agent := range v.announcements {
			if !listed[agent] {
				delete(v.announcements, agent)
				delete(v.announcedTerm, agent)
				changed = true
			}
		}
	}
	for _, agent := range r.GetRemoved() {
		if v.announcements[agent] != nil {
			delete(v.announcements, agent)
			delete(v.announcedTerm, agent)
			changed = true
		}
	}
	for _, a := range r.GetAnnouncements() {
		old := v.announcements[a.GetAgent()]
		if a.GetService() == "" { // the agent announced itself to an earlier leader only
			if old == nil {
				continue
			}
			silent := proto.CloneOf(old)
			silent.State = a.GetState()
			a = silent
		}
		v.announcements[a.GetAgent()] = a
		changed = changed || old == nil || old.GetSerial() != a.GetSerial() ||
			old.GetStart() != a.GetStart() || old.GetState() != a.GetState()
	}
	return changed
}

// sameAgents reports whether two states have the same incarnations of agents with the same
// services and zones, and the same of them are silent.
func sameAgents(a, b *State) bool {
	if len(a.Agents) != len(b.Agents) {
		return false
	}
	for agent, x := range a.Agents {
		y := b.Agents[agent]
		if y == nil || x.Start != y.Start || x.Silent != y.Silent || x.Service != y.Service || x.Zone != y.Zone {
			return false
		}
	}
	return true
}

// rebuildTargets rebuilds a state's targets from the announcements.
func (v *View) rebuildTargets(s *State) {
	s.Targets, s.Agents = map[string][]*Target{}, map[netip.AddrPort]*Target{}
	s.RosterVersion++
	zones := map[mangokeel.AvailabilityZone][]*Target{}
	for _, a := range v.announcements {
		agent, err := netip.ParseAddrPort(a.GetAgent())
		if err != nil || a.GetService() == "" {
			continue // the leader validates announcements
		}
		t := &Target{
			Agent: agent, Zone: mangokeel.AvailabilityZone(a.GetZone()), Service: a.GetService(),
			Ready: a.GetState() == fleetwire.State_STATE_READY, Silent: a.GetState() == fleetwire.State_STATE_SILENT, Cold: a.GetCold(), KnowsAllFlows: a.GetAware(),
			Slots: int(a.GetLoad().GetSlots()), Start: a.GetStart(),
			hash: xxhash.Sum64String(a.GetAgent()),
		}
		s.Targets[t.Service] = append(s.Targets[t.Service], t)
		s.Agents[agent] = t
		if !t.Silent {
			zones[t.Zone] = append(zones[t.Zone], t)
		}
	}
	byAgent := func(a, b *Target) int { return a.Agent.Compare(b.Agent) }
	for _, list := range s.Targets {
		slices.SortFunc(list, byAgent)
	}
	s.zones = nil
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		slices.SortFunc(zones[name], byAgent)
		s.zones = append(s.zones, zoneTargets{xxhash.Sum64String(string(name)), zones[name]})
	}
}
