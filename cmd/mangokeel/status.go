package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/wire"
)

// statusTimeout bounds the question to one instance, so that a dead one does not
// hide the others.
const statusTimeout = 2 * time.Second

type statusCommand struct{ c *client }

// Execute implements flags.Commander.
func (x *statusCommand) Execute([]string) error {
	replies, err := x.c.statuses()
	if err != nil {
		return err
	}
	return x.c.printStatuses(replies)
}

// statuses asks every instance. Those that do not answer have only a reason.
func (c *client) statuses() ([]*wire.StatusReply, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	instances, err := c.instances()
	if err != nil {
		return nil, err
	}
	remote, err := c.remote()
	if err != nil {
		return nil, err
	}
	defer remote.Close()
	var out []*wire.StatusReply
	answers := 0
	for _, a := range instances {
		var resp wire.StatusReply
		ctx, cancel := context.WithTimeout(c.ctx, min(c.Timeout, statusTimeout))
		err := remote.Call(ctx, a, "status", &wire.StatusRequest{Key: key}, &resp)
		cancel()
		switch {
		case err != nil:
			resp.Reason = err.Error()
		case resp.GetCode() != wire.Code_CODE_ACCEPTED:
			return nil, &outcomeError{resp.GetCode(), describe(&resp)}
		default:
			answers++
		}
		if resp.GetId() == "" {
			resp.Id = a.String()
		}
		out = append(out, &resp)
	}
	if answers == 0 {
		return nil, errors.Newf("no control instance answered: %s", out[0].GetReason())
	}
	return out, nil
}

func (c *client) printStatuses(replies []*wire.StatusReply) error {
	if c.JSON {
		for _, r := range replies {
			if err := c.print(r, nil); err != nil {
				return err
			}
		}
		return nil
	}
	table(c.out, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tROLE\tTERM\tAPPLIED\tCOMMITTED\tAGE\tNOTE")
		for _, r := range replies {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.GetId(), roleOf(r), r.GetTerm(), r.GetApplied(), r.GetCommitted(), ageOf(r), r.GetReason())
		}
	})
	fmt.Fprintln(c.out)
	printInstances(c.out, replies)
	fmt.Fprintln(c.out)
	printNodes(c.out, nodesOf(replies))
	return nil
}

// printInstances shows the members as the instance with the newest state knows
// them.
func printInstances(out io.Writer, replies []*wire.StatusReply) {
	newest := slices.MaxFunc(replies, func(a, b *wire.StatusReply) int { return cmp.Compare(a.GetApplied(), b.GetApplied()) })
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "MEMBER\tNAME\tADDRESS\tSTATE")
		for _, m := range newest.GetInstances() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.GetId(), m.GetName(), m.GetAddress(), memberState(m))
		}
	})
}

func memberState(m *wire.Instance) string {
	switch {
	case m.GetJoining() && m.GetReplaces() != "":
		return "joining for " + m.GetReplaces()
	case m.GetJoining():
		return "joining"
	case m.GetVoter():
		return "voter"
	}
	return "learner"
}

func roleOf(r *wire.StatusReply) string {
	switch {
	case r.GetCode() != wire.Code_CODE_ACCEPTED:
		return "silent"
	case r.GetLeading():
		return "leader"
	case r.GetVoter():
		return "follower"
	}
	return "learner"
}

func ageOf(r *wire.StatusReply) string {
	return (time.Duration(r.GetAgeMs()) * time.Millisecond).Truncate(time.Millisecond).String()
}

// nodesOf returns the nodes of the first answer that has any.
func nodesOf(replies []*wire.StatusReply) []*wire.Node {
	for _, r := range replies {
		if len(r.GetNodes()) > 0 {
			return r.GetNodes()
		}
	}
	return nil
}

func printNodes(out io.Writer, nodes []*wire.Node) {
	table(out, func(w io.Writer) {
		fmt.Fprintln(w, "NODE\tID\tHOST\tZONE\tSTATE\tWEIGHT\tREVISION\tSILENT\tADDRESS\tSERVICE")
		for _, n := range nodes {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", lower(n.GetRole().String(), "ROLE_"), n.GetId(), n.GetHost(), n.GetZone(),
				stateOf(n), n.GetWeight(), n.GetRevision(), time.Duration(n.GetSilentMs())*time.Millisecond, n.GetAddress(), n.GetService())
		}
	})
}

func stateOf(n *wire.Node) string {
	switch {
	case n.GetRole() == wire.Role_ROLE_BALANCER:
		return "-"
	case !n.GetOpen():
		return "zone out"
	}
	return lower(n.GetState().String(), "STATE_")
}

func lower(s, prefix string) string { return strings.ToLower(strings.TrimPrefix(s, prefix)) }

type topCommand struct {
	c      *client
	Every  time.Duration `long:"every" value-name:"DURATION" description:"repeat with this period; default: print once"`
	Number int           `short:"n" long:"number" default:"50" value-name:"N" description:"number of targets"`
}

// Execute implements flags.Commander.
func (x *topCommand) Execute([]string) error {
	for {
		replies, err := x.c.statuses()
		if err != nil {
			return err
		}
		x.print(nodesOf(replies))
		if x.Every <= 0 {
			return nil
		}
		select {
		case <-x.c.ctx.Done():
			return nil
		case <-time.After(x.Every):
		}
	}
}

// print shows the targets with the most flows first.
func (x *topCommand) print(nodes []*wire.Node) {
	nodes = slices.DeleteFunc(nodes, func(n *wire.Node) bool { return n.GetRole() != wire.Role_ROLE_AGENT })
	slices.SortStableFunc(nodes, func(a, b *wire.Node) int { return cmp.Compare(b.GetLoad().GetFlows(), a.GetLoad().GetFlows()) })
	table(x.c.out, func(w io.Writer) {
		fmt.Fprintln(w, "HOST\tSERVICE\tZONE\tSTATE\tWEIGHT\tFLOWS\tRUNNING\tQUEUED\tREFUSED")
		for _, n := range nodes[:min(len(nodes), x.Number)] {
			l := n.GetLoad()
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", n.GetHost(), n.GetService(), n.GetZone(), stateOf(n),
				n.GetWeight(), l.GetFlows(), l.GetRunning(), l.GetQueued(), l.GetRefused())
		}
	})
}
