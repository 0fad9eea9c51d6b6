package replica

import (
	"mangokeel/internal/wire"
)

// startPreVote requests pre-votes if the instance is eligible to lead.
func (c *core) startPreVote() {
	c.resetDeadline()
	if !c.eligible() {
		return
	}
	c.role, c.preVoteStartedAt = preCandidate, c.now
	c.requestVotes(wire.Phase_PHASE_PRE, c.term()+1)
}

// eligible reports whether the instance may become leader. A voter removed by an
// uncommitted membership may still lead, although its own vote does not count: it can
// be the only instance whose log is long enough.
func (c *core) eligible() bool {
	if isVoter(c.membership, c.id()) {
		return true
	}
	return c.membershipIndex > c.commit && isVoter(c.membershipAt(c.membershipIndex-1), c.id())
}

// startElection increments the term and requests votes.
func (c *core) startElection() {
	c.counts.elections++
	c.becomeFollower(c.term()+1, "")
	c.meta.Vote = c.id()
	c.metaDirty = true
	c.role = candidate
	c.resetDeadline()
	c.requestVotes(wire.Phase_PHASE_REAL, c.term())
}

// requestVotes starts a round of voting and sends requests to the other voters.
func (c *core) requestVotes(phase wire.Phase, term uint64) {
	c.ballots = map[string]ballot{c.id(): {granted: true, cut: c.meta.GetCut()}}
	for _, id := range voterIDs(c.membership) {
		if id == c.id() {
			continue
		}
		c.send(memberFromWire(findMember(c.membership, id)).Address, &wire.VoteRequest{
			Phase:     phase,
			Cluster:   c.meta.GetCluster(),
			From:      c.id(),
			To:        id,
			Term:      term,
			LastIndex: c.log.last(),
			LastTerm:  c.log.lastTerm(),
		})
	}
	c.countBallots()
}

// countBallots checks whether the ballots suffice to win. A voter whose log lost its tail
// may have lost a committed entry, so it does not count towards a majority. If every
// voter whose data folder still exists grants its vote, and they are a majority, the candidate
// wins regardless: its log is then the longest, and an entry that it lacks is on no disk.
// Without this exception a power failure of all instances could leave the log without a leader
// permanently.
func (c *core) countBallots() {
	won := hasMajority(c.membership, func(id string) bool { b := c.ballots[id]; return b.granted && !b.cut })
	all := hasMajority(c.membership, func(id string) bool { return c.ballots[id].granted })
	for _, id := range voterIDs(c.membership) {
		all = all && (c.ballots[id].granted || c.ballots[id].lost)
	}
	switch {
	case !won && !all:
	case c.role == preCandidate:
		c.startElection()
	default:
		c.becomeLeader()
	}
}

func (c *core) handleVote(call uint64, m *wire.VoteRequest) {
	r := &wire.VoteReply{Phase: m.GetPhase(), From: c.id(), Asked: m.GetTerm()}
	switch m.GetPhase() {
	case wire.Phase_PHASE_IDENTIFY, wire.Phase_PHASE_PROMISE, wire.Phase_PHASE_ACCEPT:
		c.answerSeed(m, r)
		c.reply(call, r)
		return
	default:
	}
	if m.GetTo() != c.id() {
		// The candidate learns that the voter's data folder is no longer at this address.
		r.Cluster, r.Address, r.Empty = c.meta.GetCluster(), c.address.String(), c.empty()
		c.reply(call, r)
		return
	}
	if !c.acceptRequest(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r.Granted = !c.hasLeaderOtherThan(m.GetFrom()) && c.grantVote(m)
	r.Cut = c.meta.GetCut()
	r.Term = c.term()
	c.reply(call, r)
}

// hasLeaderOtherThan reports whether the instance is the leader or received a message from a leader
// other than the candidate within minElectionTimeout. Candidates are then refused whatever their
// term, so that an instance that lost contact cannot depose a working leader. A leader that asks for
// votes itself has stepped down or restarted.
func (c *core) hasLeaderOtherThan(id string) bool {
	if c.role == leader {
		return true
	}
	return c.leader != id && !c.leaderHeardAt.IsZero() && c.now.Sub(c.leaderHeardAt) < minElectionTimeout
}

// grantVote reports whether the instance votes for the candidate, and records a vote that
// is not a pre-vote.
func (c *core) grantVote(m *wire.VoteRequest) bool {
	current := m.GetLastTerm() > c.log.lastTerm() ||
		m.GetLastTerm() == c.log.lastTerm() && m.GetLastIndex() >= c.log.last()
	if m.GetPhase() == wire.Phase_PHASE_PRE {
		granted := current && m.GetTerm() > c.term() && !c.hasPriority(m)
		if granted && c.role == preCandidate && m.GetFrom() < c.id() {
			// Yield to the lower ID. If both continued, they would split the votes.
			c.role = follower
			c.resetDeadline()
		}
		return granted
	}
	if m.GetTerm() > c.term() {
		c.becomeFollower(m.GetTerm(), "")
	}
	free := c.meta.GetVote() == "" || c.meta.GetVote() == m.GetFrom()
	if !current || m.GetTerm() != c.term() || !free {
		return false
	}
	c.meta.Vote = m.GetFrom()
	c.metaDirty = true
	c.resetDeadline()
	return true
}

// hasPriority reports whether this instance is itself a recent pre-candidate with an
// equal log and a lower ID than the candidate. If both continued, each with its own
// vote, both would lose an election timeout.
func (c *core) hasPriority(m *wire.VoteRequest) bool {
	same := m.GetLastIndex() == c.log.last() && m.GetLastTerm() == c.log.lastTerm()
	recent := c.role == preCandidate && c.now.Sub(c.preVoteStartedAt) < preVoteWindow
	return same && recent && c.id() < m.GetFrom()
}

func (c *core) handleVoteReply(m *wire.VoteReply) {
	switch m.GetPhase() {
	case wire.Phase_PHASE_IDENTIFY:
		c.handleIdentity(m)
		return
	case wire.Phase_PHASE_PROMISE, wire.Phase_PHASE_ACCEPT:
		c.handleFoundingReply(m)
		return
	default:
	}
	if m.GetTerm() > c.term() {
		c.becomeFollower(m.GetTerm(), "")
		return
	}
	pre := c.role == preCandidate && m.GetPhase() == wire.Phase_PHASE_PRE && m.GetAsked() == c.term()+1
	vote := c.role == candidate && m.GetPhase() == wire.Phase_PHASE_REAL && m.GetAsked() == c.term()
	if !pre && !vote {
		return
	}
	if m.GetAddress() == "" {
		c.ballots[m.GetFrom()] = ballot{granted: m.GetGranted(), cut: m.GetCut()}
	} else {
		c.recordLostVoters(m)
	}
	c.countBallots()
}

// recordLostVoters records that the voters at the address of the replying instance have lost
// their data folders. An instance of another cluster proves nothing.
func (c *core) recordLostVoters(m *wire.VoteReply) {
	if !m.GetEmpty() && m.GetCluster() != c.meta.GetCluster() {
		return
	}
	for _, x := range c.membership.GetMembers() {
		if x.GetAddress() == m.GetAddress() && x.GetId() != m.GetFrom() {
			c.ballots[x.GetId()] = ballot{lost: true}
		}
	}
}
