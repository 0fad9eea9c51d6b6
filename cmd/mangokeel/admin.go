package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"mangokeel/internal/wire"
)

type replaceCommand struct {
	c    *client
	Args struct {
		Old     string `positional-arg-name:"OLD" description:"id or name of the instance that leaves"`
		Address string `positional-arg-name:"NEW" description:"ip:port of the instance that takes its place"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *replaceCommand) Execute([]string) error {
	key, err := x.c.key()
	if err != nil {
		return err
	}
	var resp wire.ReplaceReply
	req := &wire.ReplaceRequest{Key: key, Old: x.Args.Old, Address: x.Args.Address}
	if err := x.c.call("replace", req, &resp, func() coded { return &resp }); err != nil {
		return err
	}
	return x.c.print(&resp, func(w io.Writer) { fmt.Fprintln(w, "accepted; status shows when the new instance votes") })
}

type keyCommand struct {
	c    *client
	Args struct {
		Action string `positional-arg-name:"issue|revoke|hash"`
		Team   string `positional-arg-name:"TEAM"`
		Name   string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *keyCommand) Execute([]string) error {
	value := rand.Text()
	hash := sha256.Sum256([]byte(value))
	change := &wire.KeyChange{Id: changeID(), Team: x.Args.Team, Name: x.Args.Name}
	switch x.Args.Action {
	case "hash":
		fmt.Fprintf(x.c.out, "key:  %s\nhash: %s\n", value, hex.EncodeToString(hash[:]))
		return nil
	case "issue":
		change.Hash = hash[:]
	case "revoke":
		change.Revoke = true
	default:
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "key: " + x.Args.Action + " is not issue, revoke or hash"}
	}
	if err := x.c.change(change); err != nil {
		return err
	}
	if !change.GetRevoke() {
		fmt.Fprintln(x.c.out, value)
	}
	return nil
}

func (c *client) change(x *wire.KeyChange) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	var resp wire.SetReply
	return c.call("key", &wire.KeyRequest{Key: key, Change: x}, &resp, func() coded { return resp.GetOutcome() })
}

type dumpCommand struct {
	c    *client
	Args struct {
		URL string `positional-arg-name:"URL" description:"http://IP:PORT of a process's status address"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *dumpCommand) Execute([]string) error {
	url := x.Args.URL
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	if !strings.HasSuffix(url, "/dump") {
		url = strings.TrimSuffix(url, "/") + "/dump"
	}
	req, err := http.NewRequestWithContext(x.c.ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "URL")
	}
	client := &http.Client{Timeout: x.c.Timeout}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("dump: %s", resp.Status)
	}
	_, err = io.Copy(x.c.out, resp.Body)
	return err
}
