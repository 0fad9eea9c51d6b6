package main

import "mangokeel/standin/report"

type reportCommand struct {
	Reports []string       `long:"report" required:"true" description:"file written by a caller, named after its service; arguments are further ones" value-name:"FILE"`
	Hosts   map[string]int `long:"hosts" description:"number of hosts of a service; by default those that served count" value-name:"SERVICE:N"`
	Events  string         `long:"events" required:"true" description:"events of the run: seconds, tab, text" value-name:"FILE"`
	Out     string         `long:"out" required:"true" description:"folder for the page and the plots" value-name:"DIR"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute(more []string) error {
	run, err := report.Load(append(c.Reports, more...), c.Hosts, c.Events)
	if err != nil {
		return err
	}
	return run.Write(c.Out)
}
