package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/replica"
	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

// lagCheckInterval is the interval between checks for lagging nodes.
const lagCheckInterval = 100 * time.Millisecond

// authenticate returns the owner of a key, and false if the key gives no access to the
// team's subtree. Without a team, only the operators' key gives access.
func (c *Control) authenticate(key, team string) (string, bool) {
	if key == "" {
		return "", false
	}
	h := sha256.Sum256([]byte(key))
	if want, _ := hex.DecodeString(c.cfg.Operator); subtle.ConstantTimeCompare(want, h[:]) == 1 {
		return "operator", true
	}
	if team == "" {
		return "", false
	}
	return c.machine.Author(team, h[:])
}

// authorize checks that the state is current and that the key gives access. It returns the
// key's owner, or the code and reason of the rejection.
func (c *Control) authorize(key, team string) (author string, code wire.Code, reason string) {
	if !c.isCurrent() {
		c.metrics.stale.Inc()
		return "", wire.Code_CODE_STALE, "no majority confirmed this instance's state within 2 s"
	}
	author, ok := c.authenticate(key, team)
	if !ok {
		c.metrics.denied.Inc()
		return "", wire.Code_CODE_DENIED, "the key does not open this subtree"
	}
	return author, wire.Code_CODE_ACCEPTED, ""
}

func (c *Control) get(_ context.Context, req *wire.GetRequest) (*wire.GetReply, error) {
	_, operator := c.authenticate(req.GetKey(), "")
	if !operator || !req.GetStale() {
		if _, code, reason := c.authorize(req.GetKey(), roster.TeamOf(req.GetPath())); reason != "" {
			return &wire.GetReply{Code: code, Reason: reason}, nil
		}
	}
	items, r := c.machine.Get(req.GetPath())
	return &wire.GetReply{Code: wire.Code_CODE_ACCEPTED, Revision: r, Items: items, AgeMs: c.ageMs()}, nil
}

func (c *Control) set(ctx context.Context, req *wire.SetRequest) (*wire.SetReply, error) {
	x := req.GetChange()
	author, code, reason := c.authorize(req.GetKey(), x.GetTeam())
	if reason != "" {
		return &wire.SetReply{Outcome: &wire.Outcome{Code: code, Reason: reason}}, nil
	}
	x.Author, x.TimeMs = author, c.timers.Now().UnixMilli()
	result, err := c.propose(ctx, &wire.Command{Body: &wire.Command_Change{Change: x}})
	if err != nil {
		return nil, err
	}
	c.metrics.outcomes.WithLabelValues(result.GetOutcome().GetCode().String()).Inc()
	return &wire.SetReply{Outcome: result.GetOutcome()}, nil
}

func (c *Control) key(ctx context.Context, req *wire.KeyRequest) (*wire.SetReply, error) {
	if _, code, reason := c.authorize(req.GetKey(), ""); reason != "" {
		return &wire.SetReply{Outcome: &wire.Outcome{Code: code, Reason: reason}}, nil
	}
	result, err := c.propose(ctx, &wire.Command{Body: &wire.Command_Key{Key: req.GetChange()}})
	if err != nil {
		return nil, err
	}
	return &wire.SetReply{Outcome: result.GetOutcome()}, nil
}

func (c *Control) history(_ context.Context, req *wire.HistoryRequest) (*wire.HistoryReply, error) {
	if _, code, reason := c.authorize(req.GetKey(), req.GetTeam()); reason != "" {
		return &wire.HistoryReply{Code: code, Reason: reason}, nil
	}
	entries, r, whole := c.machine.History(req.GetTeam(), req.GetAfter())
	resp := &wire.HistoryReply{Code: wire.Code_CODE_ACCEPTED, Entries: entries, Revision: r}
	if !whole {
		resp.Reason = "older changes are no longer kept"
	}
	return resp, nil
}

// watch returns the history of a team once it has an entry after the given revision.
func (c *Control) watch(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.timers.After(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatch), func(time.Time) { cancel() })
	defer timer.Cancel()
	for {
		changed := c.machine.Changed()
		resp, err := c.history(ctx, req)
		if err != nil || resp.GetCode() != wire.Code_CODE_ACCEPTED || len(resp.GetEntries()) > 0 {
			return resp, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resp, nil
		}
	}
}

// diff returns the edits between two revisions of a team's subtree.
func (c *Control) diff(ctx context.Context, req *wire.HistoryRequest) (*wire.DiffReply, error) {
	h, err := c.history(ctx, req)
	if err != nil || h.GetCode() != wire.Code_CODE_ACCEPTED {
		return &wire.DiffReply{Code: h.GetCode(), Reason: h.GetReason()}, err
	}
	if h.GetReason() != "" {
		return &wire.DiffReply{Code: wire.Code_CODE_INVALID, Reason: h.GetReason()}, nil
	}
	return &wire.DiffReply{Code: wire.Code_CODE_ACCEPTED, Edits: roster.Diff(h.GetEntries(), req.GetUntil())}, nil
}

// leaderNodes returns the leader's view of the nodes.
func (c *Control) leaderNodes(ctx context.Context, below uint64) ([]*wire.Node, error) {
	st := c.log.Status()
	if st.Leading {
		return c.nodes(below), nil
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := c.callLeader(ctx, st, &wire.ForwardRequest{Nodes: true, Below: below})
	return resp.GetNodes(), err
}

// status replies even if this instance is not current, then without the nodes.
func (c *Control) status(ctx context.Context, req *wire.StatusRequest) (*wire.StatusReply, error) {
	if _, ok := c.authenticate(req.GetKey(), ""); !ok {
		return &wire.StatusReply{Code: wire.Code_CODE_DENIED, Reason: "status needs an operators' key"}, nil
	}
	st := c.log.Status()
	resp := &wire.StatusReply{
		Code: wire.Code_CODE_ACCEPTED, Id: st.ID, Leading: st.Leading, Voter: st.Voter, Term: st.Term,
		Applied: uint64(st.Applied), Committed: uint64(st.Committed), AgeMs: uint32(st.Age.Milliseconds()),
		Instances: c.instances(),
	}
	if st.Leader.IsValid() {
		resp.Leader = st.Leader.String()
	}
	nodes, err := c.leaderNodes(ctx, 0)
	if err != nil {
		resp.Reason = "nodes are not known: " + err.Error()
	}
	resp.Nodes = nodes
	return resp, nil
}

// wait replies once a revision is in force on all nodes, or lists those that lag.
func (c *Control) wait(ctx context.Context, req *wire.WaitRequest) (*wire.WaitReply, error) {
	if _, code, reason := c.authorize(req.GetKey(), ""); reason != "" {
		return &wire.WaitReply{Code: code, Reason: reason}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.timers.After(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatch), func(time.Time) { cancel() })
	defer timer.Cancel()
	resp := &wire.WaitReply{Code: wire.Code_CODE_STALE, Reason: "the revision was not reached here"}
	for c.awaitRevision(ctx, mangokeel.Revision(req.GetRevision())) == nil {
		nodes, err := c.leaderNodes(ctx, req.GetRevision())
		switch {
		case err != nil:
			resp = &wire.WaitReply{Code: wire.Code_CODE_STALE, Reason: err.Error()}
		case len(nodes) == 0:
			return &wire.WaitReply{Code: wire.Code_CODE_ACCEPTED, Revision: req.GetRevision()}, nil
		default:
			resp = &wire.WaitReply{Code: wire.Code_CODE_ACCEPTED, Revision: req.GetRevision(), Lagging: nodes}
		}
		if !c.sleep(ctx, lagCheckInterval) {
			break
		}
	}
	return resp, nil
}

// replace is executed by the leader. Other instances forward the call.
func (c *Control) replace(ctx context.Context, req *wire.ReplaceRequest) (*wire.ReplaceReply, error) {
	if _, code, reason := c.authorize(req.GetKey(), ""); reason != "" {
		return &wire.ReplaceReply{Code: code, Reason: reason}, nil
	}
	addr, err := netip.ParseAddrPort(req.GetAddress())
	if err != nil || c.members == nil {
		return &wire.ReplaceReply{Code: wire.Code_CODE_INVALID, Reason: "address: not an ip:port"}, nil
	}
	st := c.log.Status()
	if !st.Leading && st.Leader.IsValid() {
		var resp wire.ReplaceReply
		err := c.remote.Call(ctx, st.Leader, "replace", req, &resp)
		return &resp, err
	}
	err = c.members.Replace(ctx, req.GetOld(), addr)
	switch {
	case errors.Is(err, replica.ErrMember) || errors.Is(err, replica.ErrChanging):
		return &wire.ReplaceReply{Code: wire.Code_CODE_INVALID, Reason: err.Error()}, nil
	case err != nil:
		return nil, err
	}
	return &wire.ReplaceReply{Code: wire.Code_CODE_ACCEPTED}, nil
}

// instances returns the control instances.
func (c *Control) instances() []*wire.Instance {
	if c.members == nil {
		return nil
	}
	var out []*wire.Instance
	for _, m := range c.members.Members() {
		out = append(out, &wire.Instance{
			Id: m.ID, Name: m.Name, Address: m.Address.String(), Voter: m.Voter, Joining: m.Joining, Replaces: m.Replaces,
		})
	}
	return out
}

func (c *Control) dumpCall(_ context.Context, req *wire.DumpRequest) (*wire.DumpReply, error) {
	if _, ok := c.authenticate(req.GetKey(), ""); !ok {
		return &wire.DumpReply{Code: wire.Code_CODE_DENIED, Reason: "dump needs an operators' key"}, nil
	}
	b, err := json.Marshal(c.Dump())
	return &wire.DumpReply{Code: wire.Code_CODE_ACCEPTED, Json: string(b)}, err
}

// Dump returns the state of the instance for the state dump, without secrets.
func (c *Control) Dump() any {
	return struct {
		Status    mangokeel.LogStatus `json:"status"`
		Instances []*wire.Instance    `json:"instances"`
		Roster    roster.Dump         `json:"roster"`
		// Nodes is meaningful only on the leader.
		Nodes []*wire.Node `json:"nodes"`
	}{c.log.Status(), c.instances(), c.machine.Dump(), c.nodes(0)}
}
