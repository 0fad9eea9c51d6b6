package control

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	// lease is how long a silent node stays in the roster.
	lease = 3 * time.Second
	// reportPeriod is how often an instance tells the leader what it heard.
	reportPeriod = 250 * time.Millisecond
	// sweepPeriod is how often the leader looks for ended leases and new weights.
	sweepPeriod = 250 * time.Millisecond
	// sweepGap is the longest time between two sweeps of a running leader. After
	// a longer one the process was stopped, and what it last heard says nothing.
	sweepGap = time.Second
	// weightPeriod is the shortest time between two weights of one target.
	weightPeriod = 2 * time.Second
	// releasePeriod is how often releases are proposed. Each batch changes epochs,
	// and so costs every balancer an update; chains may shrink a second later.
	releasePeriod = time.Second
	// weightChange is the smallest relative change of a weight that is proposed,
	// because each one moves buckets.
	weightChange = 0.2
	// maxWeight is the weight of a target that can bear its full share.
	maxWeight = 256
	// lagAge is the time within which a change should be in force everywhere.
	lagAge = 2 * time.Second
	// maxExpire bounds the nodes removed by one command.
	maxExpire = 512
)

// nodeKey identifies a node.
type nodeKey struct {
	role wire.Role
	id   uint32
}

// heard is what this instance heard from nodes since the last report.
type heard struct {
	mu    sync.Mutex
	nodes map[nodeKey]*beat
}

type beat struct {
	at       time.Time
	revision uint64
	load     *wire.Load
	release  *wire.Release
	ready    uint64
}

func newHeard() *heard { return &heard{nodes: map[nodeKey]*beat{}} }

func (h *heard) add(now time.Time, req *wire.SyncRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[nodeKey{req.GetRole(), req.GetId()}] = &beat{at: now, revision: req.GetRevision(), load: req.GetLoad(), release: releaseOf(req), ready: req.GetReady()}
}

// releaseOf returns the node's release for its own handle only.
func releaseOf(req *wire.SyncRequest) *wire.Release {
	r := req.GetRelease()
	if r == nil || req.GetRole() != agentRole {
		return nil
	}
	r.Handle = req.GetId()
	return r
}

// reached notes that a waiting node needs no record to be at a revision.
func (h *heard) reached(req *wire.SyncRequest, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := nodeKey{req.GetRole(), req.GetId()}
	b := h.nodes[k]
	if b == nil {
		// The time was already reported; the zero time leaves it as it is.
		b = &beat{}
		h.nodes[k] = b
	}
	b.revision = max(b.revision, revision)
}

// take returns and forgets what was heard.
func (h *heard) take() map[nodeKey]*beat {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.nodes
	h.nodes = map[nodeKey]*beat{}
	return out
}

// restore puts back what could not be reported, under what was heard since.
func (h *heard) restore(nodes map[nodeKey]*beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, old := range nodes {
		b := h.nodes[k]
		if b == nil {
			h.nodes[k] = old
			continue
		}
		b.revision = max(b.revision, old.revision)
		if b.at.IsZero() {
			b.at, b.load, b.release, b.ready = old.at, old.load, old.release, old.ready
		}
	}
}

// neverHeard is the silence in a beat that only tells a revision.
const neverHeard = math.MaxUint32

func beats(now time.Time, nodes map[nodeKey]*beat) []*wire.Beat {
	out := make([]*wire.Beat, 0, len(nodes))
	for k, b := range nodes {
		silent := uint32(neverHeard)
		if !b.at.IsZero() {
			silent = uint32(now.Sub(b.at).Milliseconds())
		}
		out = append(out, &wire.Beat{Role: k.role, Id: k.id, SilentMs: silent, Revision: b.revision, Load: b.load, Release: b.release, Ready: b.ready})
	}
	return out
}

// report tells the leader what this instance heard.
func (c *Control) report(now time.Time) {
	st := c.log.Status()
	nodes := c.heard.take()
	if len(nodes) == 0 {
		return
	}
	list := beats(now, nodes)
	if st.Leading {
		c.leases.hear(now, list)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, tryTimeout)
	defer cancel()
	if _, err := c.ask(ctx, st, &wire.ForwardRequest{Beats: list}); err != nil {
		c.metrics.unreported.Inc()
		c.heard.restore(nodes)
	}
}

// leases is what the leader knows of the nodes.
type leases struct {
	mu sync.Mutex
	// since is when this instance began to lead, or resumed after a stop. No
	// lease ends within one lease of it.
	since time.Time
	// term is the one that since belongs to; 0 while not leading.
	term  uint64
	swept time.Time
	// released is when releases were proposed last.
	released time.Time
	nodes    map[nodeKey]*nodeState
	// mark and next are revisions of at least one and of less than one lagAge ago.
	mark, next uint64
	marked     time.Time
	// lagging counts the nodes that do not have mark in force.
	lagging int
	// wanted has the homes that services should have and do not.
	wanted map[uint32]wanted
}

type nodeState struct {
	at       time.Time
	revision uint64
	load     *wire.Load
	release  *wire.Release
	// ready is the epoch of the joint home for which the agent is ready.
	ready uint64
	// weighed is when the last weight was proposed.
	weighed time.Time
}

func newLeases() *leases { return &leases{nodes: map[nodeKey]*nodeState{}} }

func (l *leases) hear(now time.Time, list []*wire.Beat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range list {
		k := nodeKey{b.GetRole(), b.GetId()}
		n := l.nodes[k]
		if n == nil {
			n = &nodeState{}
			l.nodes[k] = n
		}
		n.take(now, b)
	}
}

func (n *nodeState) take(now time.Time, b *wire.Beat) {
	n.revision = max(n.revision, b.GetRevision())
	if b.GetSilentMs() == neverHeard {
		return
	}
	at := now.Add(-time.Duration(b.GetSilentMs()) * time.Millisecond)
	if at.Before(n.at) {
		return
	}
	n.at = at
	n.ready = b.GetReady()
	if b.GetLoad() != nil {
		n.load = b.GetLoad()
	}
	if b.GetRelease() != nil {
		n.release = b.GetRelease()
	}
}

// begin notes whether this instance leads and returns true once leases may end.
func (l *leases) begin(now time.Time, st mangokeel.LogStatus) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !st.Leading {
		l.term, l.lagging = 0, 0
		clear(l.nodes)
		return false
	}
	if l.term != st.Term || now.Sub(l.swept) > sweepGap {
		l.term, l.since = st.Term, now
	}
	l.swept = now
	return true
}

// sweep is the leader's regular work: it ends leases and proposes weights and
// releases.
func (c *Control) sweep(now time.Time) {
	if !c.leases.begin(now, c.log.Status()) {
		return
	}
	c.leases.lag(now, uint64(c.machine.Revision()))
	batch := &wire.CommandBatch{}
	batch.Commands = append(batch.Commands, c.ended(now)...)
	batch.Commands = append(batch.Commands, c.loads(now)...)
	batch.Commands = append(batch.Commands, c.homes(now)...)
	if len(batch.GetCommands()) == 0 {
		return
	}
	if _, err := c.propose(c.ctx, &wire.Command{Body: &wire.Command_Batch{Batch: batch}}); err != nil {
		_ = level.Warn(c.logger).Log("msg", "sweep was not accepted", "err", err)
	}
}

// lag counts the nodes that lag.
func (l *leases) lag(now time.Time, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.marked) >= lagAge {
		l.mark, l.next, l.marked = l.next, revision, now
	}
	l.lagging = 0
	for _, n := range l.nodes {
		if n.revision < l.mark {
			l.lagging++
		}
	}
}

// ended returns the command that removes the nodes whose lease ended, or none.
func (c *Control) ended(now time.Time) []*wire.Command {
	x := &wire.Expire{}
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	for _, t := range c.machine.Targets() {
		if len(x.GetHandles()) < maxExpire && c.leases.over(now, nodeKey{agentRole, t.GetHandle()}) {
			x.Handles = append(x.Handles, t.GetHandle())
		}
	}
	for _, b := range c.machine.Balancers() {
		if len(x.GetBalancers()) < maxExpire && c.leases.over(now, nodeKey{wire.Role_ROLE_BALANCER, b.GetId()}) {
			x.Balancers = append(x.Balancers, b.GetId())
		}
	}
	n := len(x.GetHandles()) + len(x.GetBalancers())
	if n == 0 {
		return nil
	}
	c.metrics.expired.Add(float64(n))
	_ = level.Info(c.logger).Log("msg", "leases ended", "targets", len(x.GetHandles()), "balancers", len(x.GetBalancers()))
	return []*wire.Command{{Body: &wire.Command_Expire{Expire: x}}}
}

// over reports whether a node's lease ended. mu is held. A node that was never
// heard has joined within the last report period or has been silent since this
// instance began to lead; its lease starts at the first sweep that sees it.
func (l *leases) over(now time.Time, k nodeKey) bool {
	n := l.nodes[k]
	if n == nil {
		n = &nodeState{at: now}
		l.nodes[k] = n
	}
	at := n.at
	if at.Before(l.since) {
		at = l.since
	}
	return now.Sub(at) > lease
}

// loads returns the commands for new weights and releases, and forgets the nodes
// that are no longer in the roster.
func (c *Control) loads(now time.Time) []*wire.Command {
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	weights := &wire.Weights{}
	releasing := now.Sub(c.leases.released) >= releasePeriod
	var out []*wire.Command
	for k, n := range c.leases.nodes {
		if k.role != agentRole {
			if c.machine.Balancer(k.id) == nil {
				delete(c.leases.nodes, k)
			}
			continue
		}
		t := c.machine.Target(mangokeel.Handle(k.id))
		if t == nil {
			delete(c.leases.nodes, k)
			continue
		}
		if w, ok := n.weigh(now, t); ok {
			weights.Weights = append(weights.Weights, w)
		}
		if len(t.GetPacked()) == 0 {
			n.release = nil
		}
		if n.release != nil && releasing {
			out = append(out, &wire.Command{Body: &wire.Command_Release{Release: n.release}})
			n.release = nil
		}
	}
	if len(out) > 0 {
		c.leases.released = now
	}
	slices.SortFunc(weights.GetWeights(), func(a, b *wire.Weight) int { return cmp.Compare(a.GetHandle(), b.GetHandle()) })
	if len(weights.GetWeights()) > 0 {
		c.metrics.weights.Add(float64(len(weights.GetWeights())))
		out = append(out, &wire.Command{Body: &wire.Command_Weights{Weights: weights}})
	}
	return out
}

// weigh returns the weight to propose for a target, if any. A fall to 0 is never
// delayed, because the target can bear nothing.
func (n *nodeState) weigh(now time.Time, t *wire.Target) (*wire.Weight, bool) {
	if n.load == nil {
		return nil, false
	}
	is, want := t.GetWeight(), min(n.load.GetWeight(), maxWeight)
	if is == want || (want > 0 && now.Sub(n.weighed) < weightPeriod) {
		return nil, false
	}
	if is > 0 && want > 0 && math.Abs(float64(want)-float64(is)) <= weightChange*float64(is) {
		return nil, false
	}
	n.weighed = now
	return &wire.Weight{Handle: t.GetHandle(), Weight: want}, true
}

// nodes returns the nodes as the leader sees them, those with a revision in
// force left out when below is not 0.
func (c *Control) nodes(below uint64) []*wire.Node {
	now := c.timers.Now()
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	var out []*wire.Node
	add := func(role wire.Role, id uint32, x *wire.Node) {
		x.Role, x.Id = role, id
		if n := c.leases.nodes[nodeKey{role, id}]; n != nil {
			x.Revision, x.Load, x.SilentMs = n.revision, n.load, uint32(now.Sub(n.at).Milliseconds())
		}
		if below == 0 || x.GetRevision() < below {
			out = append(out, x)
		}
	}
	for _, t := range c.machine.Targets() {
		svc := c.machine.Service(mangokeel.ServiceID(t.GetService()))
		add(agentRole, t.GetHandle(), &wire.Node{
			Host: t.GetHost(), Zone: t.GetZone(), Service: "/" + svc.GetTeam() + "/services/" + svc.GetName(), Address: t.GetAgent(),
			State: t.GetState(), Weight: t.GetWeight(), Open: slices.Contains(svc.GetZones(), t.GetZone()),
		})
	}
	for _, b := range c.machine.Balancers() {
		add(wire.Role_ROLE_BALANCER, b.GetId(), &wire.Node{Zone: b.GetZone(), Address: b.GetData(), Open: true})
	}
	slices.SortFunc(out, func(a, b *wire.Node) int {
		return cmp.Or(cmp.Compare(a.GetRole(), b.GetRole()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return out
}
