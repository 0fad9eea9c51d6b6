package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Snapshot implements mangokeel.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	x := &wire.RosterSnapshot{
		Revision: m.revision, NextHandle: m.nextHandle, NextService: m.nextService, NextBalancer: m.nextBalancer,
		Floor: m.all.floor, TargetIncarnations: m.targetStarts, BalancerIncarnations: m.balancerStarts,
	}
	for _, n := range slices.Sorted(maps.Keys(m.teams)) {
		t := m.teams[n]
		x.Teams = append(x.Teams, &wire.TeamState{Name: n, Revision: t.revision, Documents: t.documents, History: t.history, Keys: t.keys})
	}
	for _, e := range m.all.entries {
		if m.current(e) {
			include(x, e)
		}
	}
	for _, id := range m.outcomes.order {
		x.Outcomes = append(x.Outcomes, &wire.StoredOutcome{Id: id, Outcome: m.outcomes.byID[id]})
	}
	for _, h := range slices.Sorted(maps.Keys(m.announced)) {
		x.Announced = append(x.Announced, uint32(h))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(x)
}

func include(x *wire.RosterSnapshot, e entry) {
	switch {
	case e.service != nil:
		x.Services = append(x.Services, e.service)
	case e.target != nil:
		x.Targets = append(x.Targets, e.target)
	case e.balancer != nil:
		x.Balancers = append(x.Balancers, e.balancer)
	}
}

// Restore implements mangokeel.Machine.
func (m *Machine) Restore(r mangokeel.Revision, snapshot []byte) error {
	var x wire.RosterSnapshot
	if err := proto.Unmarshal(snapshot, &x); err != nil {
		return errors.Mark(errors.Wrap(err, "decode snapshot"), mangokeel.ErrCorrupt)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.wake()
	m.reset()
	m.revision = max(x.GetRevision(), uint64(r))
	m.nextHandle, m.nextService, m.nextBalancer = x.GetNextHandle(), x.GetNextService(), x.GetNextBalancer()
	for _, t := range x.GetTeams() {
		m.restoreTeam(t)
	}
	for _, o := range x.GetOutcomes() {
		m.outcomes.store(o.GetId(), o.GetOutcome())
	}
	if err := m.restoreRecords(&x); err != nil {
		return err
	}
	for _, h := range x.GetAnnounced() {
		m.announced[mangokeel.Handle(h)] = true
	}
	maps.Copy(m.targetStarts, x.GetTargetIncarnations())
	maps.Copy(m.balancerStarts, x.GetBalancerIncarnations())
	m.restoreJournals(&x)
	return nil
}

func (m *Machine) restoreTeam(x *wire.TeamState) {
	t := m.team(x.GetName())
	t.revision, t.history = x.GetRevision(), x.GetHistory()
	maps.Copy(t.documents, x.GetDocuments())
	maps.Copy(t.keys, x.GetKeys())
}

func (m *Machine) restoreRecords(x *wire.RosterSnapshot) error {
	for _, r := range x.GetServices() {
		if r.GetGone() {
			continue
		}
		m.services[r.GetId()] = &service{
			record: r, targets: map[mangokeel.Handle]*wire.Target{}, held: map[mangokeel.Handle]bucket.Bitmap{}, journal: &journal{tombs: maxServiceTombs},
		}
		m.index.paths[pathOf(r)] = r.GetId()
		m.index.addresses[r.GetAddress()] = r.GetId()
	}
	for _, t := range x.GetTargets() {
		if t.GetGone() {
			continue
		}
		svc, h := m.services[t.GetService()], mangokeel.Handle(t.GetHandle())
		if svc == nil {
			return errors.Mark(errors.Newf("target %d has no service", h), mangokeel.ErrCorrupt)
		}
		m.targets[h], svc.targets[h] = t, t
		if held := bucket.Unpack(t.GetPacked()); len(held) > 0 {
			svc.held[h] = held
		}
		m.index.agents[t.GetAgent()], m.index.endpoints[t.GetTarget()] = h, h
	}
	for _, b := range x.GetBalancers() {
		if !b.GetGone() {
			m.balancers[b.GetId()] = b
			m.index.data[b.GetData()] = b.GetId()
		}
	}
	for _, svc := range m.services {
		svc.table = bucket.New(view.Members(svc.record, svc.targets), svc.record.GetBuckets())
	}
	return nil
}

// restoreJournals enters all records and tombstones in order of their revisions.
func (m *Machine) restoreJournals(x *wire.RosterSnapshot) {
	var entries []entry
	for _, r := range x.GetServices() {
		entries = append(entries, entry{service: r})
	}
	for _, t := range x.GetTargets() {
		entries = append(entries, entry{target: t})
	}
	for _, b := range x.GetBalancers() {
		entries = append(entries, entry{balancer: b})
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.revision(), b.revision()) })
	m.all.floor, m.peers.floor = x.GetFloor(), x.GetFloor()
	for _, svc := range m.services {
		svc.journal.floor = x.GetFloor()
	}
	for _, e := range entries {
		m.enter(e)
	}
}
