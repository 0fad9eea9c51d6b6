// Command balancer accepts any packet of any flow and forwards it to the agent of
// the right target.
package main

import (
	"mangokeel/internal/fabric"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/process"
	"mangokeel/pkg/settings"
)

func main() {
	var cfg settings.Balancer
	process.Main("balancer", &cfg, func(p *process.Process) error {
		calls, err := process.Calls(cfg.TLS)
		if err != nil {
			return err
		}
		remote := jsonrpc.NewClient(append(calls, jsonrpc.WithRegisterer(p.Registry))...)
		b, err := fabric.New(cfg, remote, fabric.WithLogger(p.Log), fabric.WithRegisterer(p.Registry))
		if err != nil {
			return err
		}
		p.SetDump(func() any { return b.Dump() })
		p.Group.Add(func() error {
			defer remote.Close()
			return b.Run()
		}, func(error) { b.Stop() })
		return p.ServeStatus(cfg.Status)
	})
}
