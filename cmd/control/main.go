// Command control runs one control instance.
package main

import (
	"mangokeel/internal/control"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/process"
	"mangokeel/internal/roster"
	"mangokeel/internal/timer"
	"mangokeel/pkg/settings"
)

func main() {
	var cfg settings.Control
	process.Main("control", &cfg, func(p *process.Process) error { return start(p, &cfg) })
}

func start(p *process.Process, cfg *settings.Control) error {
	machine := roster.New()
	remote := jsonrpc.NewClient()
	log := control.NewSolo(cfg.Name, cfg.Address, machine)
	c := control.New(cfg, machine, log, remote, timer.Real{}, control.WithLogger(p.Log), control.WithRegistry(p.Registry))
	srv, err := jsonrpc.Listen(cfg.Address, c.Methods())
	if err != nil {
		return err
	}
	p.SetDump(c.Dump)
	done := make(chan struct{})
	p.Group.Add(func() error {
		<-done
		return nil
	}, func(error) {
		close(done)
		c.Close()
		srv.Close()
		remote.Close()
	})
	return p.ServeStatus(cfg.Status)
}
