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
	// leaseDuration is how long a node stays in the roster without a contact.
	leaseDuration = 3 * time.Second
	// reportPeriod is how often an instance reports the contacts of nodes to the leader.
	reportPeriod = 250 * time.Millisecond
	// sweepPeriod is how often the leader checks leases and weights.
	sweepPeriod = 250 * time.Millisecond
	// maxSweepGap is the longest time between two sweeps of a running leader. After a
	// longer one the process was suspended, so the contacts before it are out of date.
	maxSweepGap = time.Second
	// instanceTimeout is the time without a report after which an instance counts as
	// partitioned or stopped.
	instanceTimeout = time.Second
	// reconnectTime extends the leases of nodes whose last contact was with such an
	// instance. They leave it after a call has timed out, which takes 2 s, and its
	// contacts of the last moments were not reported.
	reconnectTime = 2500 * time.Millisecond
	// weightPeriod is the minimum time between two changes of a target's weight.
	weightPeriod = 2 * time.Second
	// releasePeriod is how often releases are proposed. Each batch changes epochs, which
	// sends an update to every balancer.
	releasePeriod = time.Second
	// weightChange is the smallest relative change of a weight that is proposed, since
	// each change moves buckets.
	weightChange = 0.2
	// maxWeight is the weight of a target that can take its full share.
	maxWeight = 256
	// lagThreshold is the time after which a node without a change counts as lagging.
	lagThreshold = 2 * time.Second
	// maxExpirations bounds the nodes removed by one command.
	maxExpirations = 512
)

// nodeKey identifies a node.
type nodeKey struct {
	role wire.Role
	id   uint32
}

// contactBuffer collects the contacts of nodes with this instance since the last report.
type contactBuffer struct {
	mu    sync.Mutex
	nodes map[nodeKey]*contact
}

// contact is the latest contact of a node, with what it reported.
type contact struct {
	// at is the time of the contact, or zero if only the revision is new.
	at       time.Time
	revision uint64
	load     *wire.Load
	release  *wire.Release
	ready    uint64
}

func newContactBuffer() *contactBuffer { return &contactBuffer{nodes: map[nodeKey]*contact{}} }

func (h *contactBuffer) add(now time.Time, req *wire.SyncRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[nodeKey{req.GetRole(), req.GetId()}] = &contact{at: now, revision: req.GetRevision(), load: req.GetLoad(), release: releaseOf(req), ready: req.GetReady()}
}

// releaseOf returns an agent's release, restricted to its own handle.
func releaseOf(req *wire.SyncRequest) *wire.Release {
	r := req.GetRelease()
	if r == nil || req.GetRole() != agentRole {
		return nil
	}
	r.Handle = req.GetId()
	return r
}

// recordRevision records that a waiting node is up to date with a revision that changed
// none of its records.
func (h *contactBuffer) recordRevision(req *wire.SyncRequest, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := nodeKey{req.GetRole(), req.GetId()}
	b := h.nodes[k]
	if b == nil {
		b = &contact{}
		h.nodes[k] = b
	}
	b.revision = max(b.revision, revision)
}

// take returns the collected contacts and clears the buffer.
func (h *contactBuffer) take() map[nodeKey]*contact {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.nodes
	h.nodes = map[nodeKey]*contact{}
	return out
}

// restore returns contacts that could not be reported to the buffer. Newer ones take precedence.
func (h *contactBuffer) restore(nodes map[nodeKey]*contact) {
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

// noContact is the value of Beat.silent_ms in a record that carries only a revision.
const noContact = math.MaxUint32

func encodeContacts(now time.Time, nodes map[nodeKey]*contact) []*wire.Beat {
	out := make([]*wire.Beat, 0, len(nodes))
	for k, b := range nodes {
		silent := uint32(noContact)
		if !b.at.IsZero() {
			silent = uint32(now.Sub(b.at).Milliseconds())
		}
		out = append(out, &wire.Beat{Role: k.role, Id: k.id, SilentMs: silent, Revision: b.revision, Load: b.load, Release: b.release, Ready: b.ready})
	}
	return out
}

// report sends the contacts of nodes to the leader.
func (c *Control) report(now time.Time) {
	st := c.log.Status()
	nodes := c.contacts.take()
	list := encodeContacts(now, nodes)
	if st.Leading {
		c.leases.recordContacts(now, c.cfg.Name, list)
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, attemptTimeout)
	defer cancel()
	if _, err := c.callLeader(ctx, st, &wire.ForwardRequest{Report: true, Beats: list}); err != nil {
		c.metrics.unreported.Inc()
		c.contacts.restore(nodes)
	}
}

// leases holds the leader's state of all nodes.
type leases struct {
	mu sync.Mutex
	// leadingSince is when this instance became leader, or resumed after a suspension. No
	// lease expires within leaseDuration of it.
	leadingSince time.Time
	// term is the term to which leadingSince belongs, or 0 if the instance does not lead.
	term    uint64
	sweptAt time.Time
	// releasedAt is when releases were last proposed.
	releasedAt time.Time
	nodes      map[nodeKey]*nodeState
	// instances has the time of each instance's last report.
	instances map[string]time.Time
	// lagRevision was current at least one lagThreshold ago; nextLagRevision replaces it
	// at the next update. lagRevisionAt is the time of the last update.
	lagRevision, nextLagRevision uint64
	lagRevisionAt                time.Time
	// lagging counts the nodes whose revision is lower than lagRevision.
	lagging int
	// wantedHomes has the target homes of services whose homes differ from them.
	wantedHomes map[uint32]wantedHome
}

type nodeState struct {
	at time.Time
	// reportedBy is the instance with which the node was last in contact.
	reportedBy string
	revision   uint64
	load       *wire.Load
	release    *wire.Release
	// ready is the epoch of the joint home for which the agent has declared itself ready.
	ready uint64
	// lastWeightAt is when a weight was last proposed.
	lastWeightAt time.Time
}

func newLeases() *leases {
	return &leases{nodes: map[nodeKey]*nodeState{}, instances: map[string]time.Time{}}
}

func (l *leases) recordContacts(now time.Time, from string, list []*wire.Beat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances[from] = now
	for _, b := range list {
		k := nodeKey{b.GetRole(), b.GetId()}
		n := l.nodes[k]
		if n == nil {
			n = &nodeState{}
			l.nodes[k] = n
		}
		n.update(now, from, b)
	}
}

func (n *nodeState) update(now time.Time, from string, b *wire.Beat) {
	n.revision = max(n.revision, b.GetRevision())
	if b.GetSilentMs() == noContact {
		return
	}
	at := now.Add(-time.Duration(b.GetSilentMs()) * time.Millisecond)
	if at.Before(n.at) {
		return
	}
	n.at, n.reportedBy = at, from
	n.ready = b.GetReady()
	if b.GetLoad() != nil {
		n.load = b.GetLoad()
	}
	if b.GetRelease() != nil {
		n.release = b.GetRelease()
	}
}

// observeLeadership records whether this instance leads and reports whether it does. Its
// state is cleared when the leadership ends.
func (l *leases) observeLeadership(now time.Time, st mangokeel.LogStatus) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !st.Leading {
		l.term, l.lagging = 0, 0
		clear(l.nodes)
		clear(l.instances)
		return false
	}
	if l.term != st.Term || now.Sub(l.sweptAt) > maxSweepGap {
		l.term, l.leadingSince = st.Term, now
	}
	l.sweptAt = now
	return true
}

// sweep runs the leader's periodic tasks: it expires leases and proposes weights,
// releases and claim homes.
func (c *Control) sweep(now time.Time) {
	if !c.leases.observeLeadership(now, c.log.Status()) {
		return
	}
	c.leases.countLagging(now, uint64(c.machine.Revision()))
	batch := &wire.CommandBatch{}
	batch.Commands = append(batch.Commands, c.expireCommands(now)...)
	batch.Commands = append(batch.Commands, c.loadCommands(now)...)
	batch.Commands = append(batch.Commands, c.homeCommands(now)...)
	if len(batch.GetCommands()) == 0 {
		return
	}
	if _, err := c.propose(c.ctx, &wire.Command{Body: &wire.Command_Batch{Batch: batch}}); err != nil {
		_ = level.Warn(c.logger).Log("msg", "sweep was not accepted", "err", err)
	}
}

// countLagging counts the nodes that have not reached lagRevision.
func (l *leases) countLagging(now time.Time, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lagRevisionAt) >= lagThreshold {
		l.lagRevision, l.nextLagRevision, l.lagRevisionAt = l.nextLagRevision, revision, now
	}
	l.lagging = 0
	for _, n := range l.nodes {
		if n.revision < l.lagRevision {
			l.lagging++
		}
	}
}

// expireCommands returns the command that removes the nodes with expired leases, if any.
func (c *Control) expireCommands(now time.Time) []*wire.Command {
	x := &wire.Expire{}
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	for _, t := range c.machine.Targets() {
		if len(x.GetHandles()) < maxExpirations && c.leases.expired(now, nodeKey{agentRole, t.GetHandle()}) {
			x.Handles = append(x.Handles, t.GetHandle())
		}
	}
	for _, b := range c.machine.Balancers() {
		if len(x.GetBalancers()) < maxExpirations && c.leases.expired(now, nodeKey{wire.Role_ROLE_BALANCER, b.GetId()}) {
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

// expired reports whether a node's lease has expired. A node without a contact has either
// joined within the last report period or been silent since this instance became leader; its
// lease starts with the first sweep that finds it. mu is held.
func (l *leases) expired(now time.Time, k nodeKey) bool {
	n := l.nodes[k]
	if n == nil {
		n = &nodeState{at: now}
		l.nodes[k] = n
	}
	at := later(n.at, l.leadingSince)
	if last, ok := l.instances[n.reportedBy]; ok && now.Sub(last) > instanceTimeout {
		return now.Sub(at) > leaseDuration+reconnectTime
	}
	return now.Sub(at) > leaseDuration
}

// loadCommands returns the commands for new weights and releases, and removes the state of
// nodes that are no longer in the roster.
func (c *Control) loadCommands(now time.Time) []*wire.Command {
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	weights := &wire.Weights{}
	releasing := now.Sub(c.leases.releasedAt) >= releasePeriod
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
		if w, ok := n.weightToPropose(now, t); ok {
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
		c.leases.releasedAt = now
	}
	slices.SortFunc(weights.GetWeights(), func(a, b *wire.Weight) int { return cmp.Compare(a.GetHandle(), b.GetHandle()) })
	if len(weights.GetWeights()) > 0 {
		c.metrics.weights.Add(float64(len(weights.GetWeights())))
		out = append(out, &wire.Command{Body: &wire.Command_Weights{Weights: weights}})
	}
	return out
}

// weightToPropose returns the weight to propose for a target, if any. A drop to 0 is never
// delayed, because the target cannot take any work.
func (n *nodeState) weightToPropose(now time.Time, t *wire.Target) (*wire.Weight, bool) {
	if n.load == nil {
		return nil, false
	}
	is, want := t.GetWeight(), min(n.load.GetWeight(), maxWeight)
	if is == want || (want > 0 && now.Sub(n.lastWeightAt) < weightPeriod) {
		return nil, false
	}
	if is > 0 && want > 0 && math.Abs(float64(want)-float64(is)) <= weightChange*float64(is) {
		return nil, false
	}
	n.lastWeightAt = now
	return &wire.Weight{Handle: t.GetHandle(), Weight: want}, true
}

// nodes returns the leader's view of all nodes, or, if below is not 0, of those whose
// revision is lower.
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
