package replica

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/wire"
)

// becomeLeader opens the leadership with an entry of the new term, because
// entries of earlier terms commit only together with one.
func (c *core) becomeLeader() {
	c.counts.leaderships++
	c.role, c.ballots, c.partial = leader, nil, nil
	c.leader, c.leaderAddr = c.id(), c.address
	c.since = c.now
	c.peers = map[string]*peer{}
	c.syncPeers()
	c.opening = c.log.last() + 1
	c.appendOwn(&wire.Entry{})
	c.broadcast()
}

// syncPeers gives each other member a peer.
func (c *core) syncPeers() {
	peers := map[string]*peer{}
	for _, m := range c.membership.GetMembers() {
		if m.GetId() == c.id() {
			continue
		}
		p := c.peers[m.GetId()]
		if p == nil {
			p = &peer{id: m.GetId(), next: c.log.last() + 1, added: c.now}
		}
		p.addr, _ = netip.ParseAddrPort(m.GetAddress())
		peers[p.id] = p
	}
	c.peers = peers
}

// eachPeer calls fn in the order of the membership, so that the same input gives
// the same messages.
func (c *core) eachPeer(fn func(p *peer)) {
	for _, m := range c.membership.GetMembers() {
		if p := c.peers[m.GetId()]; p != nil {
			fn(p)
		}
	}
}

func (c *core) settled() bool { return c.role == leader && c.commit >= c.opening }

// ackedByMajority returns the latest time (as in nanos) at which a majority is known
// to have followed this leader.
func (c *core) ackedByMajority() uint64 {
	return quorum(c.membership, func(id string) uint64 {
		if id == c.id() {
			return c.nanos()
		}
		if p := c.peers[id]; p != nil {
			return p.acked
		}
		return 0
	})
}

// heardFrom returns when each other member last followed this leader, at the earliest
// when the leader began to send to it. It is nil elsewhere.
func (c *core) heardFrom() map[string]time.Time {
	if c.role != leader {
		return nil
	}
	out := make(map[string]time.Time, len(c.peers))
	for id, p := range c.peers {
		out[id] = p.added
		if p.acked > 0 {
			out[id] = later(p.added, c.at(p.acked))
		}
	}
	return out
}

// lead is the leader's share of tick.
func (c *core) lead() {
	last := c.since
	if n := c.ackedByMajority(); n > 0 {
		last = later(last, c.at(n))
	}
	if c.now.Sub(last) > maxElection {
		c.follow(c.term(), "")
		return
	}
	c.confirm()
	if c.now.Sub(c.beat) < heartbeatInterval {
		return
	}
	c.beat = c.now
	c.eachPeer(c.heartbeat)
	c.announce()
}

// announce tells whatever runs at the addresses of former voters that the cluster
// exists. Otherwise the machines of the first start could create a second one,
// once all of them had lost their disks and been replaced by others, one by one.
func (c *core) announce() {
	if c.now.Sub(c.announced) < announceInterval {
		return
	}
	c.announced = c.now
	for _, a := range c.membership.GetFormer() {
		to, err := netip.ParseAddrPort(a)
		if err == nil {
			c.send(to, &wire.VoteRequest{Phase: wire.Phase_PHASE_IDENTIFY, Cluster: c.meta.GetCluster(), From: c.id()})
		}
	}
}

// at is the inverse of nanos.
func (c *core) at(n uint64) time.Time { return c.zero.Add(time.Duration(n - 1)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirm updates the time at which a majority confirmed commit.
func (c *core) confirm() {
	if n := c.ackedByMajority(); c.settled() && n > 0 {
		c.confirmed = later(c.confirmed, c.at(n))
	}
}

func (c *core) broadcast() { c.eachPeer(c.replicate) }

// heartbeat sends what is outstanding, or an empty append.
func (c *core) heartbeat(p *peer) {
	if p.busy != 0 && c.nanos()-p.busy > uint64(retryTimeout) {
		p.busy = 0
	}
	if p.busy == 0 && p.next > c.log.base {
		c.sendEntries(p, p.next)
		return
	}
	c.replicate(p)
	if t, ok := c.log.term(p.match); ok {
		c.sendAppend(p, p.match, t, nil)
		return
	}
	c.sendAppend(p, 0, 0, nil)
}

// replicate sends entries or a part of a snapshot unless some are under way.
func (c *core) replicate(p *peer) {
	switch {
	case p.busy != 0 || p.next > c.log.last():
	case p.next > c.log.base:
		c.sendEntries(p, p.next)
	default:
		c.sendSnapshot(p)
	}
}

// sendEntries sends the entries from i on, or an empty append when there are none.
func (c *core) sendEntries(p *peer, i uint64) {
	var list []*wire.Entry
	if i <= c.log.last() {
		list = c.log.batch(i, c.opts.batchBytes)
		p.busy = c.nanos()
	}
	t, _ := c.log.term(i - 1)
	c.sendAppend(p, i-1, t, list)
}

func (c *core) sendAppend(p *peer, prev, prevTerm uint64, list []*wire.Entry) {
	m := &wire.AppendRequest{
		Cluster:   c.meta.GetCluster(),
		From:      c.id(),
		To:        p.id,
		Term:      c.term(),
		Address:   c.address.String(),
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Entries:   list,
		Commit:    c.commit,
		Stamp:     c.stamp(),
		Echo:      p.echo,
		Settled:   c.settled() && !c.confirmed.IsZero(),
		Confirmed: p.match,
	}
	if m.Settled {
		m.AgeNs = uint64(c.now.Sub(c.confirmed))
	}
	c.early = append(c.early, message{to: p.addr, body: m})
}

func (c *core) sendSnapshot(p *peer) {
	if p.snapshot == nil {
		p.snapshot, p.offset = c.state, 0
	}
	s := p.snapshot
	end := min(p.offset+uint64(c.opts.snapshotChunkBytes), uint64(len(s.GetState())))
	p.busy = c.nanos()
	m := &wire.SnapshotRequest{
		Cluster:      c.meta.GetCluster(),
		From:         c.id(),
		To:           p.id,
		Term:         c.term(),
		Address:      c.address.String(),
		Index:        s.GetIndex(),
		SnapshotTerm: s.GetTerm(),
		Offset:       p.offset,
		Data:         s.GetState()[p.offset:end],
		Done:         end == uint64(len(s.GetState())),
		Stamp:        c.stamp(),
	}
	if m.Done {
		m.Membership = s.GetMembership()
	}
	c.early = append(c.early, message{to: p.addr, body: m})
}

// acknowledge returns the peer that a reply in this leader's term came from, or
// nil when the reply counts for nothing.
func (c *core) acknowledge(to, from string, term uint64, stamp, echo *wire.Stamp) *peer {
	if to != c.id() || !c.own(echo) {
		return nil
	}
	if term > c.term() {
		c.follow(term, "")
	}
	p := c.peers[from]
	if c.role != leader || term != c.term() || p == nil || stamp.GetStart() < p.start {
		return nil
	}
	if stamp.GetStart() > p.start {
		p.restarted(stamp.GetStart())
	}
	if older(p.echo, stamp) {
		p.echo = stamp
	}
	p.acked = max(p.acked, echo.GetNanos())
	if p.busy == echo.GetNanos() {
		p.busy = 0
	}
	return p
}

// restarted forgets what earlier starts of the member confirmed.
func (p *peer) restarted(start uint64) {
	if p.start != 0 {
		p.next, p.busy = p.match+1, 0
	}
	p.start, p.match, p.echo, p.snapshot = start, 0, nil, nil
}

func older(a, b *wire.Stamp) bool {
	if a.GetSpan() != b.GetSpan() {
		return a.GetSpan() < b.GetSpan()
	}
	return a.GetNanos() < b.GetNanos()
}

func (c *core) handleAppendReply(m *wire.AppendReply) {
	p := c.acknowledge(m.GetTo(), m.GetFrom(), m.GetTerm(), m.GetStamp(), m.GetEcho())
	if p == nil {
		return
	}
	if m.GetOk() {
		c.matched(p, m.GetMatch())
	} else if m.GetPrev() > p.match && m.GetPrev()+1 >= p.next {
		p.next = max(p.match+1, min(m.GetPrev(), m.GetHint()+1))
	}
	c.confirm()
	c.replicate(p)
}

func (c *core) matched(p *peer, i uint64) {
	if i > c.log.last() {
		broken("%s matches entry %d of %d", p.id, i, c.log.last())
	}
	p.match = max(p.match, i)
	p.next = max(p.next, p.match+1)
	if p.next > c.log.base {
		p.snapshot = nil
	}
	c.advance()
}

func (c *core) handleSnapshotReply(m *wire.SnapshotReply) {
	p := c.acknowledge(m.GetTo(), m.GetFrom(), m.GetTerm(), m.GetStamp(), m.GetEcho())
	if p == nil || p.snapshot == nil || p.snapshot.GetIndex() != m.GetIndex() {
		return
	}
	if m.GetDone() {
		p.snapshot = nil
		c.matched(p, m.GetIndex())
	} else if m.GetOffset() <= uint64(len(p.snapshot.GetState())) {
		p.offset = m.GetOffset()
	}
	c.replicate(p)
}

// advance commits what a majority has synced, if it reaches into the leader's
// own term: an entry of an earlier term on a majority may still be replaced.
func (c *core) advance() {
	n := quorum(c.membership, func(id string) uint64 {
		if id == c.id() {
			return c.stable
		}
		if p := c.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	if t, ok := c.log.term(n); n > c.commit && ok && t == c.term() {
		c.setCommit(n)
		c.confirm()
	}
	c.reform()
}

// reform takes the next step of a membership change once the last is committed.
func (c *core) reform() {
	if !c.settled() || c.membershipIndex > c.commit {
		return
	}
	if c.membership.GetJoint() {
		c.reshape(final(c.membership))
		return
	}
	if !votes(c.membership, c.id()) {
		c.follow(c.term(), "")
		return
	}
	if x := joining(c.membership); x != nil && c.peers[x.GetId()].match >= c.commit {
		c.reshape(promoted(c.membership, x))
	}
}

func (c *core) reshape(m *wire.Membership) {
	c.appendOwn(&wire.Entry{Body: &wire.Entry_Membership{Membership: m}})
	c.broadcast()
}

// alter starts a membership change made by fn. Changes come one at a time; only
// the removal of a joining learner may interrupt its joining.
func (c *core) alter(now time.Time, interrupts string, fn func(*wire.Membership) (*wire.Membership, error)) (uint64, error) {
	c.observe(now)
	if c.role != leader {
		return 0, mangokeel.ErrNotLeader
	}
	x := joining(c.membership)
	if !c.settled() || c.membershipIndex > c.commit || c.membership.GetJoint() || x != nil && x.GetId() != interrupts {
		return 0, ErrChanging
	}
	m, err := fn(c.membership)
	if err != nil {
		return 0, err
	}
	c.reshape(m)
	return c.membershipIndex, nil
}
