// Command control runs one control instance.
package main

import (
	"maps"

	"mangokeel/internal/control"
	"mangokeel/internal/disk"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/process"
	"mangokeel/internal/replica"
	"mangokeel/internal/roster"
	"mangokeel/internal/timer"
	"mangokeel/pkg/settings"
)

func main() {
	var cfg settings.Control
	process.Main("control", &cfg, func(p *process.Process) error { return start(p, &cfg) })
}

func start(p *process.Process, cfg *settings.Control) error {
	folder, err := disk.Open(cfg.Data)
	if err != nil {
		return err
	}
	machine := roster.New()
	calls, err := process.Calls(cfg.TLS)
	if err != nil {
		return err
	}
	remote := jsonrpc.NewClient(append(calls, jsonrpc.WithRegisterer(p.Registry))...)
	node, err := replica.New(replicaConfig(cfg), machine, folder, remote, timer.Real{}, replica.WithLogger(p.Log), replica.WithRegisterer(p.Registry))
	if err != nil {
		return err
	}
	c := control.New(cfg, machine, node, remote, timer.Real{},
		control.WithLogger(p.Log), control.WithRegisterer(p.Registry), control.WithMembers(node))
	methods := c.Methods()
	maps.Copy(methods, node.Methods())
	srv, err := jsonrpc.Listen(cfg.Address, methods, calls...)
	if err != nil {
		return err
	}
	p.SetDump(func() any {
		return map[string]any{"control": c.Dump(), "replica": node.Dump()}
	})
	// The instance ends when its log fails, because it must not serve from a disk
	// it cannot trust.
	p.Group.Add(func() error {
		<-node.Done()
		return node.Err()
	}, func(error) {
		c.Close()
		node.Close()
		srv.Close()
		remote.Close()
	})
	return p.ServeStatus(cfg.Status)
}

func replicaConfig(cfg *settings.Control) replica.Config {
	out := replica.Config{Name: cfg.Name, Address: cfg.Address}
	for _, m := range cfg.Members {
		out.Members = append(out.Members, replica.Member{Name: m.Name, Address: m.Address})
	}
	if len(cfg.Members) == 0 {
		out.Members = []replica.Member{{Name: cfg.Name, Address: cfg.Address}}
	}
	return out
}
