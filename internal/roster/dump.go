package roster

import (
	"maps"
	"slices"
)

// Dump is the state for people. It has neither documents nor secrets.
type Dump struct {
	Revision  uint64            `json:"revision"`
	Teams     map[string]uint64 `json:"teams"`
	Services  []ServiceDump     `json:"services"`
	Balancers []string          `json:"balancers"`
	Outcomes  int               `json:"outcomes"`
	// Entries and Floor are those of the journal of all records.
	Entries int    `json:"entries"`
	Floor   uint64 `json:"floor"`
}

// ServiceDump is one service of a Dump.
type ServiceDump struct {
	ID      uint32       `json:"id"`
	Path    string       `json:"path"`
	Address string       `json:"address"`
	Epoch   uint64       `json:"epoch"`
	Zones   []string     `json:"zones"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is one target of a ServiceDump.
type TargetDump struct {
	Handle uint32 `json:"handle"`
	Host   string `json:"host"`
	Zone   string `json:"zone"`
	Agent  string `json:"agent"`
	State  string `json:"state"`
	Weight uint32 `json:"weight"`
	// Owned and Held count buckets.
	Owned int `json:"owned"`
	Held  int `json:"held"`
}

// Dump returns the state for people.
func (m *Machine) Dump() Dump {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := Dump{Revision: m.revision, Teams: map[string]uint64{}, Outcomes: len(m.outcomes.order), Entries: len(m.all.entries), Floor: m.all.floor}
	for n, t := range m.teams {
		d.Teams[n] = t.revision
	}
	for _, id := range slices.Sorted(maps.Keys(m.services)) {
		d.Services = append(d.Services, m.services[id].dump())
	}
	for _, id := range slices.Sorted(maps.Keys(m.balancers)) {
		d.Balancers = append(d.Balancers, m.balancers[id].GetData())
	}
	return d
}

func (svc *service) dump() ServiceDump {
	owned := map[uint32]int{}
	for b := range svc.table.Buckets() {
		h, _ := svc.table.Owner(b)
		owned[uint32(h)]++
	}
	d := ServiceDump{ID: svc.record.GetId(), Path: pathOf(svc.record), Address: svc.record.GetAddress(), Epoch: svc.record.GetEpoch(), Zones: svc.record.GetZones()}
	for _, h := range slices.Sorted(maps.Keys(svc.targets)) {
		t := svc.targets[h]
		held := 0
		for range svc.held[h].All {
			held++
		}
		d.Targets = append(d.Targets, TargetDump{
			Handle: t.GetHandle(), Host: t.GetHost(), Zone: t.GetZone(), Agent: t.GetAgent(), State: t.GetState().String(),
			Weight: t.GetWeight(), Owned: owned[t.GetHandle()], Held: held,
		})
	}
	return d
}
