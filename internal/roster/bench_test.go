package roster_test

import (
	"fmt"
	"testing"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Design size: 4,800 services with 40,000 targets and 700 balancers.
const (
	manyServices  = 4800
	manyTargets   = 40000
	manyBalancers = 700
)

// large returns a machine of design size.
func large() *driver {
	d := newDriver()
	for team := range 48 {
		name := fmt.Sprint("team", team)
		var items []string
		for i := range manyServices / 48 {
			address := fmt.Sprintf("10.0.%d.%d:443", team, i)
			items = append(items, fmt.Sprintf("/%s/services/s%d", name, i), "address: "+address+"\nprotocol: http\nzones: [port-louis, plaisance, ebene]\n")
		}
		d.force(name, items...)
	}
	batch := &wire.CommandBatch{}
	for i := range manyTargets {
		batch.Commands = append(batch.Commands, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinRequest{
			Role: wire.Role_ROLE_AGENT, Incarnation: []byte("incarnation"), Zone: zones[i%3], Host: fmt.Sprint("host", i),
			Service: fmt.Sprintf("/team%d/services/s%d", i%48, i/48%100),
			Agent:   fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Target: fmt.Sprintf("10.2.%d.%d:1", i/250, i%250),
		}}})
	}
	for i := range manyBalancers {
		batch.Commands = append(batch.Commands, &wire.Command{Body: &wire.Command_Join{Join: &wire.JoinRequest{
			Role: wire.Role_ROLE_BALANCER, Incarnation: []byte("incarnation"), Zone: zones[i%3], Data: fmt.Sprintf("10.3.%d.%d:1", i/250, i%250),
		}}})
	}
	d.apply(&wire.Command{Body: &wire.Command_Batch{Batch: batch}})
	return d
}

// BenchmarkApplyWeight measures the change of one target's weight.
func BenchmarkApplyWeight(b *testing.B) {
	d := large()
	i := uint32(0)
	for b.Loop() {
		i++
		x := &wire.Weight{Handle: 1 + i%manyTargets, Weight: 100 + i%2*50}
		d.apply(&wire.Command{Body: &wire.Command_Weights{Weights: &wire.Weights{Weights: []*wire.Weight{x}}}})
	}
}

// BenchmarkApplyChange measures the change of one service's settings.
func BenchmarkApplyChange(b *testing.B) {
	d := large()
	i := 0
	for b.Loop() {
		i++
		d.force("team1", "/team1/services/s1", fmt.Sprintf("address: 10.0.1.1:443\nprotocol: http\nzones: [ebene]\nslots: %d\n", i%8))
	}
}

// BenchmarkUpdate measures what one node costs for each change, when it needs the
// change and when it does not.
func BenchmarkUpdate(b *testing.B) {
	d := large()
	before := d.revision
	d.apply(&wire.Command{Body: &wire.Command_Weights{Weights: &wire.Weights{Weights: []*wire.Weight{{Handle: 1, Weight: 256}}}}})
	for _, x := range []struct {
		name    string
		role    wire.Role
		service mangokeel.ServiceID
	}{{"balancer", wire.Role_ROLE_BALANCER, 0}, {"agent", wire.Role_ROLE_AGENT, 1}, {"other", wire.Role_ROLE_AGENT, 2}} {
		b.Run(x.name, func(b *testing.B) {
			for b.Loop() {
				d.Update(before, x.role, x.service)
			}
		})
	}
}

// BenchmarkHomes measures the leader's search for claim homes that must move.
func BenchmarkHomes(b *testing.B) {
	d := large()
	for b.Loop() {
		d.Homes()
	}
}

// BenchmarkSnapshot measures a snapshot and prints its size.
func BenchmarkSnapshot(b *testing.B) {
	d := large()
	for b.Loop() {
		x, err := d.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(x)), "bytes")
	}
}
