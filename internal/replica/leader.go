package replica

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/wire"
)

// becomeLeader makes the instance the leader of its term. It appends an empty entry
// at once, because entries of earlier terms commit only together with an entry of
// the leader's own term.
func (c *core) becomeLeader() {
	c.counts.leaderships++
	c.role, c.ballots, c.partialSnapshot = leader, nil, nil
	c.leader, c.leaderAddr = c.id(), c.address
	c.leaderSince = c.now
	c.peers = map[string]*peer{}
	c.updatePeers()
	c.termStartIndex = c.log.last() + 1
	c.appendInCurrentTerm(&wire.Entry{})
	c.broadcast()
}

// updatePeers brings peers in line with the membership: it keeps the state of members
// that remain, adds new members and drops removed ones.
func (c *core) updatePeers() {
	peers := map[string]*peer{}
	for _, m := range c.membership.GetMembers() {
		if m.GetId() == c.id() {
			continue
		}
		p := c.peers[m.GetId()]
		if p == nil {
			p = &peer{id: m.GetId(), next: c.log.last() + 1, addedAt: c.now}
		}
		p.addr, _ = netip.ParseAddrPort(m.GetAddress())
		peers[p.id] = p
	}
	c.peers = peers
}

// eachPeer calls fn for each peer in membership order. Map order would make the
// messages differ between runs with the same input.
func (c *core) eachPeer(fn func(p *peer)) {
	for _, m := range c.membership.GetMembers() {
		if p := c.peers[m.GetId()]; p != nil {
			fn(p)
		}
	}
}

// settled reports whether the instance leads and has committed the first entry of
// its term. Until then it may not know which entries earlier leaders committed.
func (c *core) settled() bool { return c.role == leader && c.commit >= c.termStartIndex }

// ackedByMajority returns the latest time, in the unit of nanos, at which a majority
// is known to have followed this leader.
func (c *core) ackedByMajority() uint64 {
	return quorumValue(c.membership, func(id string) uint64 {
		if id == c.id() {
			return c.spanNanos()
		}
		if p := c.peers[id]; p != nil {
			return p.ackedAt
		}
		return 0
	})
}

// lastContacts returns, for each other member, the send time of the last request that
// it answered, or the time at which the leader added it if that is later. It returns
// nil on an instance that does not lead.
func (c *core) lastContacts() map[string]time.Time {
	if c.role != leader {
		return nil
	}
	out := make(map[string]time.Time, len(c.peers))
	for id, p := range c.peers {
		out[id] = p.addedAt
		if p.ackedAt > 0 {
			out[id] = laterTime(p.addedAt, c.timeAt(p.ackedAt))
		}
	}
	return out
}

// tickLeader does the leader's part of tick. It steps down when no majority has answered
// within maxElectionTimeout, and otherwise sends heartbeats when they are due.
func (c *core) tickLeader() {
	lastAck := c.leaderSince
	if n := c.ackedByMajority(); n > 0 {
		lastAck = laterTime(lastAck, c.timeAt(n))
	}
	if c.now.Sub(lastAck) > maxElectionTimeout {
		c.becomeFollower(c.term(), "")
		return
	}
	c.updateConfirmed()
	if c.now.Sub(c.lastHeartbeat) < heartbeatInterval {
		return
	}
	c.lastHeartbeat = c.now
	c.eachPeer(c.heartbeat)
	c.notifyFormerVoters()
}

// notifyFormerVoters informs the instances at the addresses of former voters that the
// cluster exists. The addresses may be those of the first start. Once all of the first
// voters have lost their disks and been replaced one by one, empty instances
// started there would otherwise create a second cluster.
func (c *core) notifyFormerVoters() {
	if c.now.Sub(c.lastAnnouncement) < announceInterval {
		return
	}
	c.lastAnnouncement = c.now
	for _, a := range c.membership.GetFormer() {
		to, err := netip.ParseAddrPort(a)
		if err == nil {
			c.send(to, &wire.VoteRequest{Phase: wire.Phase_PHASE_IDENTIFY, Cluster: c.meta.GetCluster(), From: c.id()})
		}
	}
}

// timeAt converts a value of nanos back to a time.
func (c *core) timeAt(n uint64) time.Time { return c.spanStart.Add(time.Duration(n - 1)) }

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateConfirmed updates the time at which a majority last confirmed commit. It does
// nothing until the leader is settled.
func (c *core) updateConfirmed() {
	if n := c.ackedByMajority(); c.settled() && n > 0 {
		c.confirmedAt = laterTime(c.confirmedAt, c.timeAt(n))
	}
}

func (c *core) broadcast() { c.eachPeer(c.replicate) }

// heartbeat sends an append to p, with outstanding entries unless a request with
// entries or a snapshot part is unanswered. Such a request counts as lost after
// retryTimeout. If p needs a snapshot, heartbeat sends the next part besides the append.
func (c *core) heartbeat(p *peer) {
	if p.inFlight != 0 && c.spanNanos()-p.inFlight > uint64(retryTimeout) {
		p.inFlight = 0
	}
	if p.inFlight == 0 && p.next > c.log.base {
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

// replicate sends outstanding entries, or a snapshot part if they are no longer in
// memory. It does nothing while an earlier one is unanswered.
func (c *core) replicate(p *peer) {
	switch {
	case p.inFlight != 0 || p.next > c.log.last():
	case p.next > c.log.base:
		c.sendEntries(p, p.next)
	default:
		c.sendSnapshot(p)
	}
}

// sendEntries sends a batch of entries from index i, or an empty append when there
// are none.
func (c *core) sendEntries(p *peer, i uint64) {
	var list []*wire.Entry
	if i <= c.log.last() {
		list = c.log.batch(i, c.opts.batchBytes)
		p.inFlight = c.spanNanos()
	}
	t, _ := c.log.term(i - 1)
	c.sendAppend(p, i-1, t, list)
}

// sendAppend sends an append for the entries that follow prev.
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
		Settled:   c.settled() && !c.confirmedAt.IsZero(),
		Confirmed: p.match,
	}
	if m.Settled {
		m.AgeNs = uint64(c.now.Sub(c.confirmedAt))
	}
	c.early = append(c.early, message{to: p.addr, body: m})
}

// sendSnapshot sends the next part of the snapshot to p. A transfer keeps the
// snapshot that it began with, even if a newer one is taken meanwhile.
func (c *core) sendSnapshot(p *peer) {
	if p.snapshot == nil {
		p.snapshot, p.offset = c.snapshot, 0
	}
	s := p.snapshot
	end := min(p.offset+uint64(c.opts.snapshotChunkBytes), uint64(len(s.GetState())))
	p.inFlight = c.spanNanos()
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

// acceptReply validates the header of a reply and records the acknowledgement. It
// returns the peer that sent the reply, or nil when the reply must be ignored: it is
// for another instance, term, start or clock span, or from an earlier start of the
// peer. A reply with a higher term makes the leader step down.
func (c *core) acceptReply(to, from string, term uint64, stamp, echo *wire.Stamp) *peer {
	if to != c.id() || !c.isOwnStamp(echo) {
		return nil
	}
	if term > c.term() {
		c.becomeFollower(term, "")
	}
	p := c.peers[from]
	if c.role != leader || term != c.term() || p == nil || stamp.GetStart() < p.start {
		return nil
	}
	if stamp.GetStart() > p.start {
		p.resetAfterRestart(stamp.GetStart())
	}
	if olderStamp(p.echo, stamp) {
		p.echo = stamp
	}
	p.ackedAt = max(p.ackedAt, echo.GetNanos())
	if p.inFlight == echo.GetNanos() {
		p.inFlight = 0
	}
	return p
}

// resetAfterRestart resets the state of a peer that has restarted. The peer may have
// lost entries that it confirmed before, so match starts again at 0.
func (p *peer) resetAfterRestart(start uint64) {
	if p.start != 0 {
		p.next, p.inFlight = p.match+1, 0
	}
	p.start, p.match, p.echo, p.snapshot = start, 0, nil, nil
}

// olderStamp reports whether a was made before b by the same start of an instance.
func olderStamp(a, b *wire.Stamp) bool {
	if a.GetSpan() != b.GetSpan() {
		return a.GetSpan() < b.GetSpan()
	}
	return a.GetNanos() < b.GetNanos()
}

// handleAppendReply records a successful append, or moves next back to where the
// logs may agree.
func (c *core) handleAppendReply(m *wire.AppendReply) {
	p := c.acceptReply(m.GetTo(), m.GetFrom(), m.GetTerm(), m.GetStamp(), m.GetEcho())
	if p == nil {
		return
	}
	if m.GetOk() {
		c.recordMatch(p, m.GetMatch())
	} else if m.GetPrev() > p.match && m.GetPrev()+1 >= p.next {
		p.next = max(p.match+1, min(m.GetPrev(), m.GetHint()+1))
	}
	c.updateConfirmed()
	c.replicate(p)
}

// recordMatch records that p has synced all entries up to i.
func (c *core) recordMatch(p *peer, i uint64) {
	if i > c.log.last() {
		panicInvariant("member %s confirmed entry %d, but the leader's last entry is %d", p.id, i, c.log.last())
	}
	p.match = max(p.match, i)
	p.next = max(p.next, p.match+1)
	if p.next > c.log.base {
		p.snapshot = nil
	}
	c.advanceCommit()
}

func (c *core) handleSnapshotReply(m *wire.SnapshotReply) {
	p := c.acceptReply(m.GetTo(), m.GetFrom(), m.GetTerm(), m.GetStamp(), m.GetEcho())
	if p == nil || p.snapshot == nil || p.snapshot.GetIndex() != m.GetIndex() {
		return
	}
	if m.GetDone() {
		p.snapshot = nil
		c.recordMatch(p, m.GetIndex())
	} else if m.GetOffset() <= uint64(len(p.snapshot.GetState())) {
		p.offset = m.GetOffset()
	}
	c.replicate(p)
}

// advanceCommit raises commit to the last entry that a majority has synced, provided
// that the entry is of the leader's own term. An entry of an earlier term may still be
// replaced even though a majority has it. advanceCommit also continues a membership
// change.
func (c *core) advanceCommit() {
	n := quorumValue(c.membership, func(id string) uint64 {
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
		c.updateConfirmed()
	}
	c.clearOwnCut()
	c.advanceMembership()
}

// clearOwnCut clears meta.Cut of a leader once an entry of its term is committed and on its disk. Either
// all voters elected it, or a majority whose logs have not lost their ends, so its log has every
// committed entry.
func (c *core) clearOwnCut() {
	if c.meta.GetCut() && c.settled() && c.stable >= c.commit {
		c.meta.Cut = false
		c.metaDirty = true
	}
}

// advanceMembership takes the next step of a membership change once the previous one is
// committed: it ends a joint membership, steps down if this instance is no voter any
// more, or starts the promotion of a joining learner that has caught up.
func (c *core) advanceMembership() {
	if !c.settled() || c.membershipIndex > c.commit {
		return
	}
	if c.membership.GetJoint() {
		c.appendMembership(leaveJoint(c.membership))
		return
	}
	if !isVoter(c.membership, c.id()) {
		c.becomeFollower(c.term(), "")
		return
	}
	if x := joiningMember(c.membership); x != nil && c.peers[x.GetId()].match >= c.commit {
		c.appendMembership(promoteLearner(c.membership, x))
	}
}

// appendMembership appends and replicates a membership.
func (c *core) appendMembership(m *wire.Membership) {
	c.appendInCurrentTerm(&wire.Entry{Body: &wire.Entry_Membership{Membership: m}})
	c.broadcast()
}

// changeMembership starts the membership change computed by fn and returns the index of its
// entry. Only one change runs at a time, except that a joining learner may be removed
// before it is promoted: interrupts is the ID of the member to remove, or empty.
func (c *core) changeMembership(now time.Time, interrupts string, fn func(*wire.Membership) (*wire.Membership, error)) (uint64, error) {
	c.updateClock(now)
	if c.role != leader {
		return 0, mangokeel.ErrNotLeader
	}
	x := joiningMember(c.membership)
	if !c.settled() || c.membershipIndex > c.commit || c.membership.GetJoint() || x != nil && x.GetId() != interrupts {
		return 0, ErrChanging
	}
	m, err := fn(c.membership)
	if err != nil {
		return 0, err
	}
	c.appendMembership(m)
	return c.membershipIndex, nil
}
