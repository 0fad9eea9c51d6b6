package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"mangokeel/standin"
)

// rereadPeriod is how often the list of balancers is read again.
const rereadPeriod = 100 * time.Millisecond

// fabricCommand runs the fabric in front of one service until SIGTERM.
type fabricCommand struct {
	Listen    address  `long:"listen" required:"true" description:"public address of the service, UDP and TCP" value-name:"IP:PORT"`
	Balancer  []string `long:"balancer" description:"service socket of a balancer; the port defaults to that of --listen" value-name:"IP[:PORT]"`
	Balancers string   `long:"balancers" description:"file with one balancer on each line, read again while running; used in place of --balancer" value-name:"FILE"`
	Seed      uint64   `long:"seed" default:"1" description:"seed of all random choices"`
	Loss      float64  `long:"loss" description:"share of packets to lose, 0 to 1"`
	Duplicate float64  `long:"duplicate" description:"share of packets to send twice, 0 to 1"`
	Reorder   float64  `long:"reorder" description:"share of packets to delay by up to 5 ms, 0 to 1"`
}

// Execute implements flags.Commander.
func (c *fabricCommand) Execute([]string) error {
	first, err := c.list()
	if err != nil {
		return err
	}
	f, err := standin.NewFabric(c.Listen.AddrPort, standin.WithSeed(c.Seed), standin.WithBalancers(first),
		standin.WithFaults(standin.Faults{Loss: c.Loss, Duplicate: c.Duplicate, Reorder: c.Reorder}))
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.follow(ctx, f)
	fmt.Printf("%+v\n", f.Counts())
	return nil
}

// list returns the balancers from the file, or from the command line.
func (c *fabricCommand) list() ([]netip.AddrPort, error) {
	if c.Balancers == "" {
		return standin.ParseBalancers(c.Balancer, c.Listen.Port())
	}
	b, err := os.ReadFile(c.Balancers)
	if err != nil {
		return nil, err
	}
	return standin.ParseBalancers(strings.Split(string(b), "\n"), c.Listen.Port())
}

// follow reads the list of balancers until ctx ends. A list that cannot be read
// changes nothing.
func (c *fabricCommand) follow(ctx context.Context, f *standin.Fabric) {
	tick := time.NewTicker(rereadPeriod)
	defer tick.Stop()
	var last string
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		list, err := c.list()
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
