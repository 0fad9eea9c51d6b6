package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"gopkg.in/yaml.v3"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
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
		{"top", "show flows and load of targets", "Shows flows, load and availability zone of the targets.", &topCommand{c: c}},
	}
}

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

// watchWait bounds one poll of a watch. It is below tryTimeout.
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

func table(w io.Writer, fn func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fn(t)
	t.Flush()
}
