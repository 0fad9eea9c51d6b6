package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"mangokeel/internal/wire"
)

type diffCommand struct {
	c    *client
	Args struct {
		Team string `positional-arg-name:"TEAM"`
		From uint64 `positional-arg-name:"FROM"`
	} `positional-args:"yes" required:"yes"`
	Until uint64 `long:"until" value-name:"REVISION" description:"last revision to compare; default: the present one"`
}

// Execute implements flags.Commander.
func (x *diffCommand) Execute([]string) error {
	key, err := x.c.key()
	if err != nil {
		return err
	}
	var resp wire.DiffReply
	req := &wire.HistoryRequest{Key: key, Team: x.Args.Team, After: x.Args.From, Until: x.Until}
	if err := x.c.call("diff", req, &resp, func() coded { return &resp }); err != nil {
		return err
	}
	return x.c.print(&resp, func(w io.Writer) { printEdits(w, resp.GetEdits()) })
}

func printEdits(w io.Writer, edits []*wire.Edit) {
	for _, e := range edits {
		fmt.Fprintf(w, "  %s\n", e.GetPath())
		printLines(w, "  - ", e.GetBefore())
		printLines(w, "  + ", e.GetAfter())
	}
}

func printLines(w io.Writer, prefix, text string) {
	for line := range strings.Lines(text) {
		fmt.Fprintf(w, "%s%s\n", prefix, strings.TrimSuffix(line, "\n"))
	}
}

type historyCommand struct {
	c     *client
	After uint64 `long:"after" value-name:"REVISION" description:"list only later changes"`
	Args  struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *historyCommand) Execute([]string) error {
	resp, err := x.c.history("history", x.Args.Team, x.After)
	if err != nil {
		return err
	}
	return x.c.print(resp, func(w io.Writer) { printEntries(w, resp.GetEntries()) })
}

func (c *client) history(method, team string, after uint64) (*wire.HistoryReply, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	var resp wire.HistoryReply
	req := &wire.HistoryRequest{Key: key, Team: team, After: after, WaitMs: uint32(watchWait.Milliseconds())}
	err = c.call(method, req, &resp, func() coded { return &resp })
	return &resp, err
}

func printEntries(w io.Writer, entries []*wire.HistoryEntry) {
	for _, e := range entries {
		fmt.Fprintf(w, "%d  %s  %s\n", e.GetRevision(), time.UnixMilli(e.GetTimeMs()).UTC().Format(time.RFC3339), e.GetAuthor())
		printEdits(w, e.GetEdits())
	}
}

// watchWait is how long control holds one poll of a watch.
const watchWait = 4 * time.Second

type watchCommand struct {
	c     *client
	After uint64 `long:"after" value-name:"REVISION" description:"begin with the changes after this revision; default: the present one"`
	Args  struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *watchCommand) Execute([]string) error {
	after := x.After
	if after == 0 {
		now, err := x.c.get("/" + x.Args.Team)
		if err != nil {
			return err
		}
		after = now.GetRevision()
	}
	for x.c.ctx.Err() == nil {
		resp, err := x.c.history("watch", x.Args.Team, after)
		if err != nil {
			return err
		}
		if len(resp.GetEntries()) == 0 {
			continue
		}
		if err := x.c.print(resp, func(w io.Writer) { printEntries(w, resp.GetEntries()) }); err != nil {
			return err
		}
		after = resp.GetEntries()[len(resp.GetEntries())-1].GetRevision()
	}
	return nil
}
