// Package fleet distributes the desired state and the registry of targets to the nodes of a
// deployment.
//
// The desired state is replicated through the log: the operators' configuration and the zones
// that are out of service. The registry is soft state in the leader's memory: the agents
// that announce a target, each under a lease. The log also holds the list of the agents'
// addresses, so that a new leader knows which agents have yet to announce themselves.
//
//	d := fleet.NewDesiredState()                // the log's state machine, on each control instance
//	s := fleet.NewServer(d, log, remote, ...)   // answers polls, admits instances
//	f := fleet.NewFollower(view, remote, ...)   // on each node: keeps a View current
//
// A node's View never goes back to an older revision of the desired state.
package fleet

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/wire"
)

// maxTombstones bounds the removed routes that are kept so that nodes get only what has changed. Each
// change of the configuration copies all of them.
const maxTombstones = 1024

// DesiredState is the state machine replicated by the log. It is safe for concurrent use.
type DesiredState struct {
	mu sync.Mutex
	// state.Config.Version never decreases. The last removed routes stay as tombstones.
	state *fleetwire.Desired
	// changed is closed and replaced at each change.
	changed chan struct{}
}

var _ mangokeel.Machine = (*DesiredState)(nil)

// NewDesiredState returns a desired state without a configuration.
func NewDesiredState() *DesiredState {
	return &DesiredState{state: &fleetwire.Desired{}, changed: make(chan struct{})}
}

// Apply implements mangokeel.Machine. Commands that cannot be decoded change nothing.
func (m *DesiredState) Apply(r mangokeel.Revision, command []byte) []byte {
	var d fleetwire.Command
	if err := wire.Unpack(command, &d); err != nil {
		d.Reset()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &fleetwire.Result{}
	switch x := d.GetBody().(type) {
	case *fleetwire.Command_Install:
		out.Installed = m.install(r, x.Install)
	case *fleetwire.Command_Zone:
		m.setZone(r, x.Zone)
	case *fleetwire.Command_Agents:
		m.changeAgents(x.Agents)
	}
	out.Version = m.state.GetConfig().GetVersion()
	b, err := proto.Marshal(out)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode result at revision %d", r))
	}
	return b
}

// install replaces the configuration if next is newer and sets the revision of each route
// that changes. Removed routes become tombstones.
func (m *DesiredState) install(r mangokeel.Revision, next *fleetwire.Configuration) bool {
	if next.GetVersion() <= m.state.GetConfig().GetVersion() {
		return false
	}
	old := map[string]*fleetwire.Route{}
	for _, x := range m.state.GetConfig().GetRoutes() {
		old[x.GetAddress()] = x
	}
	for _, x := range next.GetRoutes() {
		x.Revision = uint64(r)
		if prev := old[x.GetAddress()]; prev != nil {
			inherit(x, prev)
			delete(old, x.GetAddress())
		}
	}
	for _, x := range m.state.GetConfig().GetRoutes() {
		if old[x.GetAddress()] == nil {
			continue
		}
		if !x.GetGone() {
			x = &fleetwire.Route{Address: x.GetAddress(), Gone: true, Revision: uint64(r)}
		}
		next.Routes = append(next.Routes, x)
	}
	m.forgetRemoved(next)
	m.state.Config = next
	m.advance(r)
	return true
}

// forgetRemoved drops the oldest tombstones of a configuration if there are more than maxTombstones.
// Those of one revision are kept or dropped together.
func (m *DesiredState) forgetRemoved(c *fleetwire.Configuration) {
	var revisions []uint64
	for _, x := range c.GetRoutes() {
		if x.GetGone() {
			revisions = append(revisions, x.GetRevision())
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	m.state.Forgotten = revisions[len(revisions)-maxTombstones-1]
	c.Routes = slices.DeleteFunc(c.Routes, func(x *fleetwire.Route) bool { return x.GetGone() && x.GetRevision() <= m.state.GetForgotten() })
}

// inherit sets the former services of x from the route that it replaces, and keeps the
// revision if the route has not changed.
func inherit(x, prev *fleetwire.Route) {
	if !prev.GetGone() && sameShares(x, prev) {
		x.Former = prev.GetFormer()
		if x.GetTimeoutMs() == prev.GetTimeoutMs() && x.GetPriority() == prev.GetPriority() && x.GetTargetMs() == prev.GetTargetMs() {
			x.Revision = prev.GetRevision()
		}
		return
	}
	former := slices.Clone(prev.GetFormer())
	for _, s := range prev.GetShares() {
		former = append(former, s.GetService())
	}
	slices.Sort(former)
	x.Former = slices.Compact(former)
}

func sameShares(a, b *fleetwire.Route) bool {
	return slices.EqualFunc(a.GetShares(), b.GetShares(), func(x, y *fleetwire.Share) bool {
		return x.GetService() == y.GetService() && x.GetWeight() == y.GetWeight()
	})
}

func (m *DesiredState) setZone(r mangokeel.Revision, x *fleetwire.ZoneChange) {
	for _, z := range m.state.GetZones() {
		if z.GetName() != x.GetZone() {
			continue
		}
		if z.GetOut() != x.GetOut() && z.GetRevision() <= x.GetAfter() {
			z.Out, z.Revision = x.GetOut(), uint64(r)
			m.advance(r)
		}
		return
	}
	m.state.Zones = append(m.state.Zones, &fleetwire.ZoneState{Name: x.GetZone(), Out: x.GetOut(), Revision: uint64(r)})
	m.advance(r)
}

// changeAgents changes the list of agents. The list is not sent to nodes, so the revision
// does not change.
func (m *DesiredState) changeAgents(x *fleetwire.AgentChange) {
	left := map[string]bool{}
	for _, agent := range x.GetLeft() {
		left[agent] = true
	}
	list := append(slices.Clone(m.state.GetAgents()), x.GetJoined()...)
	list = slices.DeleteFunc(list, func(agent string) bool { return left[agent] })
	slices.Sort(list)
	m.state.Agents = slices.Compact(list)
}

// Agents returns the addresses of the agents that may receive flows, in ascending order.
func (m *DesiredState) Agents() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.state.GetAgents())
}

func (m *DesiredState) advance(r mangokeel.Revision) {
	m.state.Revision = uint64(r)
	m.notify()
}

func (m *DesiredState) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements mangokeel.Machine.
func (m *DesiredState) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore implements mangokeel.Machine.
func (m *DesiredState) Restore(r mangokeel.Revision, snapshot []byte) error {
	s := &fleetwire.Desired{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.Wrapf(mangokeel.ErrCorrupt, "decode snapshot at revision %d: %v", r, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.notify()
	return nil
}

// Config returns the version and content of the configuration. The version is 0 until one is
// installed.
func (m *DesiredState) Config() (version uint64, content []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.GetConfig().GetVersion(), m.state.GetConfig().GetContent()
}

// watch returns the current revision and a channel that is closed at the next change.
func (m *DesiredState) watch() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.GetRevision(), m.changed
}

// fillChanges adds the changes after a revision to a reply. Zones and services are few and
// are always sent in full.
func (m *DesiredState) fillChanges(revision uint64, out *fleetwire.PollReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out.Desired = m.state.GetRevision()
	if revision >= out.GetDesired() {
		return
	}
	c := m.state.GetConfig()
	out.Whole = revision == 0 || revision < m.state.GetForgotten()
	for _, x := range c.GetRoutes() {
		if out.GetWhole() && !x.GetGone() || !out.GetWhole() && x.GetRevision() > revision {
			out.Routes = append(out.Routes, proto.CloneOf(x))
		}
	}
	out.Services, out.IdleMs = c.GetServices(), c.GetIdleMs()
	for _, z := range m.state.GetZones() {
		out.Zones = append(out.Zones, proto.CloneOf(z))
	}
}
