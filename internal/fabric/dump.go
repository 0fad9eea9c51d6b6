package fabric

import (
	"maps"
	"net/netip"
	"slices"

	"mangokeel"
	"mangokeel/internal/view"
)

// Dump is a balancer's state for people.
type Dump struct {
	ID             uint32             `json:"id"`
	Zone           string             `json:"zone"`
	DataAddress    netip.AddrPort     `json:"data"`
	ControlAddress netip.AddrPort     `json:"control"`
	Revision       mangokeel.Revision `json:"revision"`
	NextHandle     mangokeel.Handle   `json:"next_handle"`
	// Polls and Moves count long polls and changes to another control instance.
	Polls           uint64        `json:"polls"`
	ControlSwitches uint64        `json:"moves"`
	Connections     int           `json:"connections"`
	Services        []ServiceDump `json:"services"`
}

// ServiceDump is one service of a Dump.
type ServiceDump struct {
	ID      mangokeel.ServiceID `json:"id"`
	Team    string              `json:"team"`
	Name    string              `json:"name"`
	Epoch   mangokeel.Epoch     `json:"epoch"`
	Address netip.AddrPort      `json:"address"`
	// Error says why the sockets are not open; empty when they are.
	Error   string       `json:"error,omitempty"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is one target of a ServiceDump.
type TargetDump struct {
	Handle mangokeel.Handle `json:"handle"`
	Host   string           `json:"host"`
	Zone   string           `json:"zone"`
	Agent  netip.AddrPort   `json:"agent"`
	State  string           `json:"state"`
	Weight uint32           `json:"weight"`
	// Open is false while the availability zone is out of service.
	Open bool `json:"open"`
	// OwnedBuckets is the number of buckets.
	OwnedBuckets int `json:"owned"`
}

// Dump returns the present state. It is called from any goroutine.
func (b *Balancer) Dump() Dump {
	s := b.view.State()
	polls, moves := b.follower.Counts()
	d := Dump{
		ID: b.follower.ID(), Zone: b.cfg.Zone, DataAddress: b.dataSocket.address, ControlAddress: b.follower.Control(),
		Revision: s.Revision, NextHandle: s.NextHandle, Polls: polls, ControlSwitches: moves, Connections: b.streams.count(),
	}
	for svc := range s.Services {
		d.Services = append(d.Services, b.dumpService(svc))
	}
	slices.SortFunc(d.Services, func(a, b ServiceDump) int { return int(a.ID) - int(b.ID) })
	return d
}

func (b *Balancer) dumpService(svc *view.Service) ServiceDump {
	b.mu.Lock()
	failure := b.bindErrors[svc.ID]
	b.mu.Unlock()
	d := ServiceDump{
		ID: svc.ID, Team: svc.GetTeam(), Name: svc.GetName(), Epoch: svc.Epoch,
		Address: b.listenAddress(svc), Error: failure,
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
