package fabric

import (
	"maps"
	"net/netip"
	"slices"

	"mangokeel"
	"mangokeel/internal/view"
)

// Dump is a snapshot of a balancer's state for operators.
type Dump struct {
	ID             uint32             `json:"id"`
	Zone           string             `json:"zone"`
	DataAddress    netip.AddrPort     `json:"data"`
	ControlAddress netip.AddrPort     `json:"control"`
	Revision       mangokeel.Revision `json:"revision"`
	NextHandle     mangokeel.Handle   `json:"next_handle"`
	// Polls counts long polls to control.
	Polls uint64 `json:"polls"`
	// ControlSwitches counts changes to another control instance.
	ControlSwitches uint64        `json:"moves"`
	Connections     int           `json:"connections"`
	Services        []ServiceDump `json:"services"`
}

// ServiceDump is the state of one service in a Dump.
type ServiceDump struct {
	ID      mangokeel.ServiceID `json:"id"`
	Team    string              `json:"team"`
	Name    string              `json:"name"`
	Epoch   mangokeel.Epoch     `json:"epoch"`
	Address netip.AddrPort      `json:"address"`
	// Error is the reason why the sockets could not be opened, or empty.
	Error   string       `json:"error,omitempty"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is the state of one target in a ServiceDump.
type TargetDump struct {
	Handle mangokeel.Handle `json:"handle"`
	Host   string           `json:"host"`
	Zone   string           `json:"zone"`
	Agent  netip.AddrPort   `json:"agent"`
	State  string           `json:"state"`
	Weight uint32           `json:"weight"`
	// Open is false while the availability zone is out of service.
	Open bool `json:"open"`
	// OwnedBuckets is the number of buckets that the target owns.
	OwnedBuckets int `json:"owned"`
}

// Dump returns the current state. It is safe for concurrent use.
func (b *Balancer) Dump() Dump {
	s := b.view.State()
	polls, switches := b.follower.Counts()
	d := Dump{
		ID: b.follower.ID(), Zone: b.cfg.Zone, DataAddress: b.dataSocket.address, ControlAddress: b.follower.Control(),
		Revision: s.Revision, NextHandle: s.NextHandle, Polls: polls, ControlSwitches: switches, Connections: b.streams.count(),
	}
	for svc := range s.Services {
		d.Services = append(d.Services, b.dumpService(svc))
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return int(a.ID) - int(b.ID) })
	return d
}

func (b *Balancer) dumpService(svc *view.Service) ServiceDump {
	b.mu.Lock()
	bindError := b.bindErrors[svc.ID]
	b.mu.Unlock()
	d := ServiceDump{
		ID: svc.ID, Team: svc.GetTeam(), Name: svc.GetName(), Epoch: svc.Epoch,
		Address: b.listenAddress(svc), Error: bindError,
	}
	owned := map[mangokeel.Handle]int{}
	for i := range svc.Table.Buckets() {
		h, _ := svc.Table.Owner(i)
		owned[h]++
	}
	for _, h := range slices.Sorted(maps.Keys(svc.Targets)) {
		t := svc.Targets[h]
		d.Targets = append(d.Targets, TargetDump{
			Handle: h, Host: t.GetHost(), Zone: t.GetZone(), Agent: t.Agent,
			State: t.GetState().String(), Weight: t.GetWeight(), Open: t.Open, OwnedBuckets: owned[h],
		})
	}
	return d
}
