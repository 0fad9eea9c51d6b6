package main

import (
	"fmt"
	"io"
	"time"

	"mangokeel/internal/wire"
)

type waitCommand struct {
	c    *client
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *waitCommand) Execute([]string) error { return x.c.wait(x.Args.Revision) }

// wait polls until no node lags or the timeout passes.
func (c *client) wait(revision uint64) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	var resp wire.WaitReply
	for end := time.Now().Add(c.Timeout); ; {
		req := &wire.WaitRequest{Key: key, Revision: revision, WaitMs: uint32(watchWait.Milliseconds())}
		if err := c.call("wait", req, &resp, func() coded { return &resp }); err != nil {
			return err
		}
		if len(resp.GetLagging()) == 0 || time.Now().After(end) {
			break
		}
	}
	if err := c.print(&resp, func(w io.Writer) { printWait(w, &resp) }); err != nil {
		return err
	}
	if n := len(resp.GetLagging()); n > 0 {
		return &laggingError{n}
	}
	return nil
}

func printWait(w io.Writer, resp *wire.WaitReply) {
	if len(resp.GetLagging()) == 0 {
		fmt.Fprintf(w, "revision %d is in force on all nodes\n", resp.GetRevision())
		return
	}
	fmt.Fprintln(w, "lagging nodes:")
	printNodes(w, resp.GetLagging())
}
