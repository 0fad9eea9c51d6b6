package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"mangokeel/internal/wire"
)

type getCommand struct {
	c     *client
	Map   bool `long:"map" description:"print a map from paths to documents, the form that set --file takes"`
	Stale bool `long:"stale" description:"accept an answer without a majority (operators' key only)"`
	Args  struct {
		Path string `positional-arg-name:"PATH" description:"/TEAM or a path below it, or / for all teams"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *getCommand) Execute([]string) error {
	resp, err := x.c.read(&wire.GetRequest{Path: x.Args.Path, Stale: x.Stale})
	if err != nil {
		return err
	}
	if x.Map {
		return printMap(x.c.out, resp.GetItems())
	}
	return x.c.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "# revision %d\n", resp.GetRevision())
		for _, it := range resp.GetItems() {
			fmt.Fprintf(w, "# %s\n%s\n", it.GetPath(), strings.TrimRight(it.GetValue(), "\n"))
		}
	})
}

// printMap writes documents as one YAML map.
func printMap(w io.Writer, items []*wire.Item) error {
	root := &yaml.Node{Kind: yaml.MappingNode}
	for _, it := range items {
		var doc yaml.Node
		if err := yaml.Unmarshal([]byte(it.GetValue()), &doc); err != nil {
			return errors.Wrap(err, it.GetPath())
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: it.GetPath()}
		root.Content = append(root.Content, key, doc.Content[0])
	}
	b, err := yaml.Marshal(root)
	if err != nil {
		return errors.Wrap(err, "encode documents")
	}
	_, err = w.Write(b)
	return err
}

func (c *client) get(path string) (*wire.GetReply, error) {
	return c.read(&wire.GetRequest{Path: path})
}

func (c *client) read(req *wire.GetRequest) (*wire.GetReply, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	req.Key = key
	var resp wire.GetReply
	err = c.call("get", req, &resp, func() coded { return &resp })
	return &resp, err
}
