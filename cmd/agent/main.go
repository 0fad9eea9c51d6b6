// Command agent runs beside a target, announces it and owns its flows.
package main

import (
	"mangokeel/internal/agent"
	"mangokeel/internal/claim"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/process"
	"mangokeel/internal/target"
	"mangokeel/pkg/settings"
)

func main() {
	var cfg settings.Agent
	process.Main("agent", &cfg, func(p *process.Process) error { return start(p, cfg) })
}

func start(p *process.Process, cfg settings.Agent) error {
	calls, err := process.Calls(cfg.TLS)
	if err != nil {
		return err
	}
	remote := jsonrpc.NewClient(append(calls, jsonrpc.WithRegisterer(p.Registry))...)
	k := claim.NewManager(remote, claim.WithLogger(p.Log), claim.WithRegisterer(p.Registry))
	h, err := target.New(cfg.Target, target.WithLogger(p.Log), target.WithRegisterer(p.Registry), target.WithClaims(k))
	if err != nil {
		return err
	}
	a, err := agent.New(cfg, remote, h, agent.WithLogger(p.Log), agent.WithClaims(k, calls...))
	if err != nil {
		return err
	}
	left := make(chan struct{})
	p.Registry.MustRegister(agent.NewCollector(a))
	p.SetDump(func() any { return a.Status() })
	p.Group.Add(func() error {
		defer remote.Close()
		defer close(left)
		return a.Run()
	}, func(error) { a.Stop() })
	return p.ServeStatus(cfg.Status, left)
}
