package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"mangokeel/standin"
)

type targetCommand struct {
	Listen  address       `long:"listen" required:"true" description:"address to serve on" value-name:"IP:PORT"`
	Host    string        `long:"host" required:"true" description:"name of the host in answers"`
	Slots   int           `long:"slots" default:"2" description:"requests that run at once"`
	Service time.Duration `long:"service" default:"10ms" description:"time of one request on a warm target"`
	Cold    int           `long:"cold" default:"50" description:"requests until a cold target is warm"`
	Factor  int           `long:"factor" default:"5" description:"how many times slower a cold target is"`
	Bears   int           `long:"bears" default:"20" description:"present requests a cold target survives"`
	Down    time.Duration `long:"down" default:"3s" description:"time a target that fell over stays down"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	t := standin.NewTarget(standin.TargetConfig{
		Host: c.Host, Slots: c.Slots, Service: c.Service,
		ColdRequests: c.Cold, ColdFactor: c.Factor, Bears: c.Bears, Down: c.Down,
	})
	srv := &http.Server{Addr: c.Listen.String(), Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
