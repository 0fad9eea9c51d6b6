package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

type zoneCommand struct {
	c    *client
	Args struct {
		Action string `positional-arg-name:"out|back"`
		Path   string `positional-arg-name:"/TEAM/zones/ZONE"`
	} `positional-args:"yes" required:"yes"`
	Reason string `long:"reason" value-name:"TEXT" description:"reason for the history"`
}

// Execute implements flags.Commander.
func (x *zoneCommand) Execute([]string) error {
	item := &wire.Item{Path: x.Args.Path}
	switch x.Args.Action {
	case "out":
		item.Value = "state: out\n" + reasonLine(x.Reason)
	case "back":
		item.Value = "state: in\n" + reasonLine(x.Reason)
	default:
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "zone: " + x.Args.Action + " is not out or back"}
	}
	return x.c.force("zones", item)
}

func reasonLine(reason string) string {
	if reason == "" {
		return ""
	}
	return fmt.Sprintf("reason: %q\n", reason)
}

type drainCommand struct {
	c    *client
	end  bool
	Args struct {
		Path string `positional-arg-name:"/TEAM/drains/HOST"`
	} `positional-args:"yes" required:"yes"`
	Reason string `long:"reason" value-name:"TEXT" description:"reason for the history"`
}

// Execute implements flags.Commander.
func (x *drainCommand) Execute([]string) error {
	item := &wire.Item{Path: x.Args.Path}
	if !x.end {
		item.Value = fmt.Sprintf("reason: %q\n", x.Reason)
	}
	return x.c.force("drains", item)
}

// maxForce bounds the tries of a change that does not depend on the others.
const maxForce = 10

// force sets one document of a kind whatever the subtree's revision. A conflict
// means that nothing was changed, so the next try is a new change.
func (c *client) force(kind string, item *wire.Item) error {
	team, found, _, ok := roster.SplitPath(item.GetPath())
	if !ok || found != kind {
		return &flags.Error{Type: flags.ErrMarshal, Message: item.GetPath() + ": not a path such as /TEAM/" + kind + "/NAME"}
	}
	var err error
	for range maxForce {
		var now *wire.GetReply
		if now, err = c.get("/" + team); err != nil {
			return err
		}
		_, err = c.set(&wire.Change{Team: team, Base: now.GetRevision(), Items: []*wire.Item{item}})
		if exitCode(err) != exitConflict {
			return err
		}
	}
	return err
}
