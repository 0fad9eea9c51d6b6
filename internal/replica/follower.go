package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

func (c *core) handleAppend(call uint64, m *wire.AppendRequest) {
	if !c.acceptRequest(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r := &wire.AppendReply{From: c.id(), To: m.GetFrom(), Prev: m.GetPrevIndex(), Stamp: c.stamp(), Echo: m.GetStamp()}
	if m.GetTerm() >= c.term() {
		c.followLeader(m.GetTerm(), m.GetFrom(), m.GetAddress())
		c.detectLostTail(m)
		r.Ok, r.Hint = c.containsPrev(m.GetPrevIndex(), m.GetPrevTerm())
	}
	if r.Ok {
		r.Match = m.GetPrevIndex() + uint64(len(m.GetEntries()))
		c.mergeEntries(m.GetEntries())
		c.setCommit(max(c.commit, min(m.GetCommit(), r.Match)))
		c.updateConfirmedFromLeader(m)
		c.clearCut(m)
	}
	r.Term = c.term()
	c.reply(call, r)
}

// containsPrev reports whether the log contains the entry that precedes an append. If not,
// hint is the index of the last entry that may match the leader's log.
func (c *core) containsPrev(prev, prevTerm uint64) (ok bool, hint uint64) {
	t, known := c.log.term(prev)
	switch {
	case prev < c.log.base:
		return true, 0 // compacted, so committed and equal to the leader's entry
	case !known:
		return false, c.log.last()
	case t == prevTerm:
		return true, 0
	case prev <= c.commit:
		panicInvariant("committed entry %d has term %d, leader has term %d", prev, t, prevTerm)
	}
	return false, max(c.commit, c.log.firstOfTerm(prev)-1)
}

// mergeEntries appends missing entries and replaces conflicting ones.
func (c *core) mergeEntries(list []*wire.Entry) {
	changed := false
	for _, e := range list {
		if e.GetIndex() <= c.log.base {
			continue
		}
		t, known := c.log.term(e.GetIndex())
		if known && t == e.GetTerm() {
			continue
		}
		if known {
			c.truncateFrom(e)
		}
		c.log.append(e)
		c.markUnstable(e.GetIndex())
		changed = true
	}
	if changed {
		c.updateMembership()
	}
}

// truncateFrom removes e's index and all later entries from the log.
func (c *core) truncateFrom(e *wire.Entry) {
	if e.GetIndex() <= c.commit {
		panicInvariant("committed entry %d replaced by one of term %d", e.GetIndex(), e.GetTerm())
	}
	c.log.truncate(e.GetIndex())
}

// updateConfirmedFromLeader updates confirmedAt from the age that the leader reports. The leader sent the
// message after it received the echoed stamp, so the stamp's time is a safe lower bound
// for the send time, however long the message was delayed.
func (c *core) updateConfirmedFromLeader(m *wire.AppendRequest) {
	if !m.GetSettled() || c.commit < m.GetCommit() || !c.isOwnStamp(m.GetEcho()) {
		return
	}
	c.confirmedAt = laterTime(c.confirmedAt, c.timeAt(m.GetEcho().GetNanos()).Add(-time.Duration(m.GetAgeNs())))
}

// detectLostTail detects a log that lost whole records at its end: it lacks entries that this
// instance confirmed to the same leader, although the log only grows within a term.
func (c *core) detectLostTail(m *wire.AppendRequest) {
	if m.GetConfirmed() > c.log.last() && !c.meta.GetCut() {
		c.meta.Cut = true
		c.metaDirty = true
	}
}

// clearCut clears meta.Cut once the log has all committed entries again. The leader must
// have echoed a stamp of the current start, so that it no longer counts what earlier
// starts confirmed. Its commit must be in its own term, so that it includes everything
// that earlier leaders committed.
func (c *core) clearCut(m *wire.AppendRequest) {
	t, ok := c.log.term(m.GetCommit())
	if !c.meta.GetCut() || m.GetEcho().GetStart() != c.meta.GetStarts() || c.commit < m.GetCommit() || !ok || t != m.GetTerm() {
		return
	}
	c.meta.Cut = false
	c.metaDirty = true
}

func (c *core) handleSnapshot(call uint64, m *wire.SnapshotRequest) {
	if !c.acceptRequest(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r := &wire.SnapshotReply{From: c.id(), To: m.GetFrom(), Index: m.GetIndex(), Stamp: c.stamp(), Echo: m.GetStamp()}
	if m.GetTerm() >= c.term() {
		c.followLeader(m.GetTerm(), m.GetFrom(), m.GetAddress())
		r.Offset, r.Done = c.receiveSnapshotPart(m)
	}
	r.Term = c.term()
	c.reply(call, r)
}

// receiveSnapshotPart adds one part of a snapshot. It returns the offset of the next
// expected part and whether the log now reaches the snapshot's index.
func (c *core) receiveSnapshotPart(m *wire.SnapshotRequest) (offset uint64, done bool) {
	if m.GetIndex() <= c.commit {
		return 0, true
	}
	if t, ok := c.log.term(m.GetIndex()); ok && t == m.GetSnapshotTerm() {
		c.setCommit(m.GetIndex())
		return 0, true
	}
	if m.GetOffset() == 0 {
		c.partialSnapshot = &wire.Snapshot{Index: m.GetIndex(), Term: m.GetSnapshotTerm()}
	}
	s := c.partialSnapshot
	if s == nil || s.GetIndex() != m.GetIndex() || s.GetTerm() != m.GetSnapshotTerm() {
		return 0, false
	}
	if m.GetOffset() != uint64(len(s.GetState())) {
		return uint64(len(s.GetState())), false
	}
	s.State = append(s.State, m.GetData()...)
	if !m.GetDone() {
		return uint64(len(s.GetState())), false
	}
	s.Membership = proto.Clone(m.GetMembership()).(*wire.Membership)
	c.restoreSnapshot(s)
	return 0, true
}

// restoreSnapshot replaces the log with a snapshot that the log does not contain.
func (c *core) restoreSnapshot(s *wire.Snapshot) {
	c.partialSnapshot = nil
	c.snapshot, c.receivedSnapshot = s, s
	c.log = entries{base: s.GetIndex(), baseTerm: s.GetTerm()}
	c.firstUnstable = 0
	c.stable = s.GetIndex()
	c.setCommit(s.GetIndex())
	c.updateMembership()
}
