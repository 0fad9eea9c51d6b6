package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mangokeel/standin"
)

// rereadPeriod is how often the list of balancers is read again.
const rereadPeriod = 100 * time.Millisecond

// fabricCommand runs the fabric in front of one service until SIGTERM.
type fabricCommand struct {
	Address   string  `long:"address" description:"public ip:port of the service, UDP and TCP" required:"true"`
	Balancers string  `long:"balancers" description:"file that lists balancers as ip or ip:port, one on a line; read again while running" required:"true"`
	Seed      uint64  `long:"seed" description:"seed of all random choices" default:"1"`
	Loss      float64 `long:"loss" description:"share of packets to lose, 0 to 1"`
	Duplicate float64 `long:"duplicate" description:"share of packets to send twice, 0 to 1"`
	Reorder   float64 `long:"reorder" description:"share of packets to delay by up to 5 ms, 0 to 1"`
}

// Execute implements flags.Commander.
func (c *fabricCommand) Execute([]string) error {
	public, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	first, err := standin.ReadBalancers(c.Balancers, public.Port())
	if err != nil {
		return err
	}
	f, err := standin.NewFabric(public, standin.WithSeed(c.Seed), standin.WithBalancers(first),
		standin.WithFaults(standin.Faults{Loss: c.Loss, Duplicate: c.Duplicate, Reorder: c.Reorder}))
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.follow(ctx, f, public.Port())
	fmt.Printf("%+v\n", f.Counts())
	return nil
}

// follow reads the list of balancers until ctx ends. A list that cannot be read
// changes nothing.
func (c *fabricCommand) follow(ctx context.Context, f *standin.Fabric, port uint16) {
	tick := time.NewTicker(rereadPeriod)
	defer tick.Stop()
	var last string
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		list, err := standin.ReadBalancers(c.Balancers, port)
		state := fmt.Sprint(list, err)
		if state == last {
			continue
		}
		last = state
		if err != nil {
			fmt.Fprintln(os.Stderr, "standin fabric:", err)
			continue
		}
		f.SetBalancers(list)
	}
}
