package main

import (
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand. Its fields are options and arguments.
type command struct {
	name, short, long string
	data              any
}

// register adds the options and commands to the parser.
func (c *client) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Common options", "", &c.options); err != nil {
		return err
	}
	for _, x := range c.commands() {
		if _, err := parser.AddCommand(x.name, x.short, x.long, x.data); err != nil {
			return err
		}
	}
	return nil
}

func (c *client) commands() []command {
	return []command{
		{"get", "print documents", "Prints the documents at and below a path.", &getCommand{c: c}},
		{"set", "change documents in one step", "Sets one or several documents of one team in one step.\n\nAn item is PATH=@FILE, PATH=YAML, PATH= to delete the document, or one PATH with --file. Without any item, --file maps paths to documents; those of several teams take one step for each team.", &setCommand{c: c}},
		{"diff", "compare two revisions", "Prints the paths of a team that differ between two revisions.", &diffCommand{c: c}},
		{"history", "list accepted changes", "Lists the accepted changes of a team.", &historyCommand{c: c}},
		{"watch", "follow accepted changes", "Prints the accepted changes of a team as they happen, until interrupted.", &watchCommand{c: c}},
		{"status", "show control and nodes", "Shows each control instance and the nodes as the leader sees them.", &statusCommand{c: c}},
		{"wait", "wait until a revision is in force", "Waits until a revision is in force on all nodes and names those that lag.", &waitCommand{c: c}},
		{"zone", "take an availability zone out or back", "Takes an availability zone of a team out of service, or back into it.", &zoneCommand{c: c}},
		{"drain", "drain a host", "Drains the targets of a team on a host: they get no new flows and keep those they have.", &drainCommand{c: c}},
		{"undrain", "end the drain of a host", "Returns the targets of a team on a host to service.", &drainCommand{c: c, end: true}},
		{"replace", "replace a control instance", "Admits the control instance at NEW in place of OLD. OLD leaves once NEW has caught up.", &replaceCommand{c: c}},
		{"key", "issue, revoke or hash keys", "Issues or revokes a team's key, or makes an operators' key.", &keyCommand{c: c}},
		{"dump", "print the state of a process", "Prints the state of a process from the /dump page of its status address.", &dumpCommand{c: c}},
		{"pressure", "show demand and refusals of services", "Shows, for each service, the flows that are asked for, opened and refused, what the targets bear, and the times of waits and answers. It reads the metrics of agents of the packet path at their status addresses twice and changes nothing.\n\nFlows are counted at the agent that opens or refuses them, for the service of its target. A refused caller that comes back counts again.", &pressureCommand{c: c}},
		{"story", "tell a request's story from logs", "Prints the lines of log files about a request, a flow (CALLER>ADDRESS) or a caller's end (IP:PORT) in order of time.", &storyCommand{c: c}},
		{"top", "show flows and load of targets", "Shows flows, load and availability zone of the targets.", &topCommand{c: c}},
	}
}

func table(w io.Writer, fn func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fn(t)
	t.Flush()
}
