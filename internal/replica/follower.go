package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

func (c *core) handleAppend(call uint64, m *wire.AppendRequest) {
	if !c.admit(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r := &wire.AppendReply{From: c.id(), To: m.GetFrom(), Prev: m.GetPrevIndex(), Stamp: c.stamp(), Echo: m.GetStamp()}
	if m.GetTerm() >= c.term() {
		c.followLeader(m.GetTerm(), m.GetFrom(), m.GetAddress())
		c.compare(m)
		r.Ok, r.Hint = c.fits(m.GetPrevIndex(), m.GetPrevTerm())
	}
	if r.Ok {
		r.Match = m.GetPrevIndex() + uint64(len(m.GetEntries()))
		c.merge(m.GetEntries())
		c.setCommit(max(c.commit, min(m.GetCommit(), r.Match)))
		c.refresh(m)
		c.recover(m)
	}
	r.Term = c.term()
	c.reply(call, r)
}

// fits reports whether the log has the entry before an append. Otherwise it
// returns the last entry that may equal the leader's.
func (c *core) fits(prev, prevTerm uint64) (ok bool, hint uint64) {
	t, known := c.log.term(prev)
	switch {
	case prev < c.log.base:
		return true, 0 // committed, so the leader has the same
	case !known:
		return false, c.log.last()
	case t == prevTerm:
		return true, 0
	case prev <= c.commit:
		broken("committed entry %d has term %d, the leader's has %d", prev, t, prevTerm)
	}
	return false, max(c.commit, c.log.firstOfTerm(prev)-1)
}

// merge appends the entries that are missing and replaces those that differ.
func (c *core) merge(list []*wire.Entry) {
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
			c.cut(e)
		}
		c.log.append(e)
		c.change(e.GetIndex())
		changed = true
	}
	if changed {
		c.findMembership()
	}
}

func (c *core) cut(e *wire.Entry) {
	if e.GetIndex() <= c.commit {
		broken("committed entry %d replaced by one of term %d", e.GetIndex(), e.GetTerm())
	}
	c.log.truncate(e.GetIndex())
}

// refresh takes over the leader's age. The leader sent the message after it got
// the echoed stamp, so the time of the stamp is early enough whatever delays the
// message met.
func (c *core) refresh(m *wire.AppendRequest) {
	if !m.GetSettled() || c.commit < m.GetCommit() || !c.own(m.GetEcho()) {
		return
	}
	c.confirmed = laterTime(c.confirmed, c.timeAt(m.GetEcho().GetNanos()).Add(-time.Duration(m.GetAgeNs())))
}

// compare notices a log that has lost whole records at its end: it lacks entries that this
// instance has confirmed to the same leader. Within a term the log only grows.
func (c *core) compare(m *wire.AppendRequest) {
	if m.GetConfirmed() > c.log.last() && !c.meta.GetCut() {
		c.meta.Cut = true
		c.dirty = true
	}
}

// recover ends the state after a cut tail. The leader must have answered this
// start of the instance, so that it no longer counts what earlier starts
// confirmed, and its commit must be of its own term, so that it includes all that
// earlier leaders committed.
func (c *core) recover(m *wire.AppendRequest) {
	t, ok := c.log.term(m.GetCommit())
	if !c.meta.GetCut() || m.GetEcho().GetStart() != c.meta.GetStarts() || c.commit < m.GetCommit() || !ok || t != m.GetTerm() {
		return
	}
	c.meta.Cut = false
	c.dirty = true
}

func (c *core) handleSnapshot(call uint64, m *wire.SnapshotRequest) {
	if !c.admit(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r := &wire.SnapshotReply{From: c.id(), To: m.GetFrom(), Index: m.GetIndex(), Stamp: c.stamp(), Echo: m.GetStamp()}
	if m.GetTerm() >= c.term() {
		c.followLeader(m.GetTerm(), m.GetFrom(), m.GetAddress())
		r.Offset, r.Done = c.collect(m)
	}
	r.Term = c.term()
	c.reply(call, r)
}

// collect takes one part of a snapshot. It is done when the log reaches the
// snapshot's index.
func (c *core) collect(m *wire.SnapshotRequest) (offset uint64, done bool) {
	if m.GetIndex() <= c.commit {
		return 0, true
	}
	if t, ok := c.log.term(m.GetIndex()); ok && t == m.GetSnapshotTerm() {
		c.setCommit(m.GetIndex())
		return 0, true
	}
	if m.GetOffset() == 0 {
		c.partial = &wire.Snapshot{Index: m.GetIndex(), Term: m.GetSnapshotTerm()}
	}
	s := c.partial
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
	c.restore(s)
	return 0, true
}

// restore replaces the whole log by a snapshot that reaches beyond it.
func (c *core) restore(s *wire.Snapshot) {
	c.partial = nil
	c.state, c.install = s, s
	c.log = entries{base: s.GetIndex(), baseTerm: s.GetTerm()}
	c.unstable = 0
	c.stable = s.GetIndex()
	c.setCommit(s.GetIndex())
	c.findMembership()
}
