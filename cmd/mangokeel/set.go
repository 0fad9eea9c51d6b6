package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"gopkg.in/yaml.v3"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

type setCommand struct {
	c    *client
	Base *uint64 `short:"b" long:"base" value-name:"REVISION" description:"revision that the change was made from; default: the present one"`
	ID   string  `long:"id" value-name:"ID" description:"id of the change, to resend it after a lost answer; default: random"`
	File string  `short:"f" long:"file" value-name:"FILE" description:"document of the PATH, or without any PATH a map from paths to documents"`
	Wait bool    `short:"w" long:"wait" description:"wait until the change is in force on all nodes (operators' keys only)"`
	Args struct {
		Items []string `positional-arg-name:"PATH[=@FILE|=YAML]"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *setCommand) Execute([]string) error {
	items, err := x.items()
	if err != nil {
		return err
	}
	teams := byTeam(items)
	if len(teams) > 1 && (x.Base != nil || x.ID != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "set: --base and --id need the documents of one team"}
	}
	for _, part := range teams {
		if err := x.send(part); err != nil {
			return err
		}
	}
	return nil
}

// byTeam splits documents into one step for each team.
func byTeam(items []*wire.Item) [][]*wire.Item {
	var out [][]*wire.Item
	at := map[string]int{}
	for _, it := range items {
		team := roster.TeamOf(it.GetPath())
		i, ok := at[team]
		if !ok {
			i = len(out)
			at[team] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], it)
	}
	return out
}

func (x *setCommand) send(items []*wire.Item) error {
	change := &wire.Change{Id: x.ID, Team: roster.TeamOf(items[0].GetPath()), Items: items}
	if x.Base == nil {
		now, err := x.c.get("/" + change.GetTeam())
		if err != nil {
			return err
		}
		change.Base = now.GetRevision()
	} else {
		change.Base = *x.Base
	}
	o, err := x.c.set(change)
	if err != nil || !x.Wait {
		return err
	}
	return x.c.wait(o.GetRevision())
}

func (x *setCommand) items() ([]*wire.Item, error) {
	args := x.Args.Items
	switch {
	case x.File != "" && len(args) == 1 && !strings.Contains(args[0], "="):
		args = []string{args[0] + "=@" + x.File}
	case x.File != "" && len(args) == 0:
		return itemsOf(x.File)
	case x.File != "" || len(args) == 0:
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "set: needs one PATH with --file, or items"}
	}
	var items []*wire.Item
	for _, s := range args {
		path, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, &flags.Error{Type: flags.ErrMarshal, Message: s + ": not PATH=@FILE or PATH=YAML"}
		}
		if name, file := strings.CutPrefix(value, "@"); file {
			b, err := os.ReadFile(name)
			if err != nil {
				return nil, errors.Wrap(err, "read document")
			}
			value = string(b)
		}
		items = append(items, &wire.Item{Path: path, Value: value})
	}
	return items, nil
}

// itemsOf reads a file that maps paths to documents.
func itemsOf(file string) ([]*wire.Item, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read documents")
	}
	var root yaml.Node
	if err := yaml.Unmarshal(b, &root); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode || len(root.Content[0].Content) == 0 {
		return nil, errors.Newf("%s: not a map from paths to documents", file)
	}
	var items []*wire.Item
	pairs := root.Content[0].Content
	for i := 0; i+1 < len(pairs); i += 2 {
		doc, err := yaml.Marshal(pairs[i+1])
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		items = append(items, &wire.Item{Path: pairs[i].Value, Value: string(doc)})
	}
	return items, nil
}

// set sends a change and prints its outcome.
func (c *client) set(change *wire.Change) (*wire.Outcome, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	if change.GetId() == "" {
		change.Id = changeID()
	}
	var resp wire.SetReply
	err = c.call("set", &wire.SetRequest{Key: key, Change: change}, &resp, func() coded { return resp.GetOutcome() })
	o := resp.GetOutcome()
	if err != nil && o == nil {
		return nil, errors.Wrapf(err, "change id %s", change.GetId())
	}
	if err != nil && !c.JSON {
		return o, err
	}
	if printErr := c.print(o, func(w io.Writer) { fmt.Fprintf(w, "accepted at revision %d\n", o.GetRevision()) }); printErr != nil {
		return o, printErr
	}
	return o, err
}
