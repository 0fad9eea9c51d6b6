package replica

import (
	"net/netip"
	"slices"

	"mangokeel/internal/wire"
)

// identify asks the bootstrap instances for their identity. The instance with the
// lowest address creates the cluster once all of them report an empty log. An instance
// that lost its data folder finds others with a log and waits to be admitted.
func (c *core) identify() {
	c.deadline = c.now.Add(identifyInterval)
	if c.known || !slices.Contains(c.bootstrap, c.address) || !c.lowest() {
		return
	}
	if c.fresh == nil {
		c.fresh = map[netip.AddrPort]*wire.VoteReply{}
	}
	c.fresh[c.address] = &wire.VoteReply{From: c.id(), Name: c.name}
	if len(c.fresh) == len(c.bootstrap) {
		c.create()
		return
	}
	c.fresh = nil
	for _, a := range c.bootstrap {
		if a != c.address {
			c.send(a, &wire.VoteRequest{Phase: wire.Phase_PHASE_IDENTIFY, From: c.id()})
		}
	}
}

// lowest reports whether no bootstrap address is lower than this instance's.
func (c *core) lowest() bool {
	for _, a := range c.bootstrap {
		if a.Compare(c.address) < 0 {
			return false
		}
	}
	return true
}

// create creates a cluster of the bootstrap instances. It is named after this
// instance's ID so that no two clusters share a name.
func (c *core) create() {
	m := &wire.Membership{}
	for _, a := range c.bootstrap {
		r := c.fresh[a]
		m.Members = append(m.Members, &wire.Member{Id: r.GetFrom(), Name: r.GetName(), Address: a.String(), Voter: true})
	}
	c.fresh = nil
	c.meta.Cluster, c.meta.Term = c.id(), max(firstTerm, c.term())
	c.meta.Created = c.term()
	c.dirty = true
	c.appendOwn(&wire.Entry{Body: &wire.Entry_Membership{Membership: m}})
	c.findMembership()
	c.campaign()
}

// campaign requests pre-votes if the instance is eligible to lead.
func (c *core) campaign() {
	c.resetDeadline()
	if !c.eligible() {
		return
	}
	c.role, c.stood = preCandidate, c.now
	c.requestVotes(wire.Phase_PHASE_PRE, c.term()+1)
}

// eligible reports whether the instance may become leader. A voter removed by an
// uncommitted membership may still lead, although its own vote does not count: it can
// be the only instance whose log is long enough.
func (c *core) eligible() bool {
	if votes(c.membership, c.id()) {
		return true
	}
	return c.membershipIndex > c.commit && votes(c.membershipAt(c.membershipIndex-1), c.id())
}

// elect increments the term and requests votes.
func (c *core) elect() {
	c.counts.elections++
	c.follow(c.term()+1, "")
	c.meta.Vote = c.id()
	c.dirty = true
	c.role = candidate
	c.resetDeadline()
	c.requestVotes(wire.Phase_PHASE_REAL, c.term())
}

// requestVotes starts a round of voting and sends requests to the other voters.
func (c *core) requestVotes(phase wire.Phase, term uint64) {
	c.ballots = map[string]ballot{c.id(): {granted: true, cut: c.meta.GetCut()}}
	for _, id := range voters(c.membership) {
		if id == c.id() {
			continue
		}
		c.send(memberOf(find(c.membership, id)).Address, &wire.VoteRequest{
			Phase:     phase,
			Cluster:   c.meta.GetCluster(),
			From:      c.id(),
			To:        id,
			Term:      term,
			LastIndex: c.log.last(),
			LastTerm:  c.log.lastTerm(),
		})
	}
	c.count()
}

// count checks whether the ballots suffice to win. A voter whose log lost its tail may
// have lost a committed entry, so it does not count towards a majority. If every voter
// grants its vote, the candidate wins regardless: its log is then the longest, and an
// entry that it lacks is on no disk. Without this exception a power failure of all
// instances could leave the log without a leader permanently.
func (c *core) count() {
	won := majority(c.membership, func(id string) bool { b := c.ballots[id]; return b.granted && !b.cut })
	all := true
	for _, id := range voters(c.membership) {
		all = all && c.ballots[id].granted
	}
	switch {
	case !won && !all:
	case c.role == preCandidate:
		c.elect()
	default:
		c.becomeLeader()
	}
}

func (c *core) handleVote(call uint64, m *wire.VoteRequest) {
	r := &wire.VoteReply{Phase: m.GetPhase(), From: c.id(), Asked: m.GetTerm()}
	if m.GetPhase() == wire.Phase_PHASE_IDENTIFY {
		c.known = c.known || m.GetCluster() != "" && m.GetCluster() != c.meta.GetCluster()
		r.Known = c.known
		r.Cluster, r.Name, r.Address, r.Term = c.meta.GetCluster(), c.name, c.address.String(), c.term()
		r.Empty = c.empty()
		c.reply(call, r)
		return
	}
	if !c.admit(call, m.GetCluster(), m.GetTo()) {
		return
	}
	r.Granted = !c.led() && c.grant(m)
	r.Cut = c.meta.GetCut()
	r.Term = c.term()
	c.reply(call, r)
}

// led reports whether the instance is the leader or received a message from a leader
// within minElection. Candidates are then refused whatever their term, so that an
// instance that lost contact cannot depose a working leader.
func (c *core) led() bool {
	return c.role == leader || !c.heard.IsZero() && c.now.Sub(c.heard) < minElection
}

// grant reports whether the instance votes for the candidate, and records a vote that
// is not a pre-vote.
func (c *core) grant(m *wire.VoteRequest) bool {
	current := m.GetLastTerm() > c.log.lastTerm() ||
		m.GetLastTerm() == c.log.lastTerm() && m.GetLastIndex() >= c.log.last()
	if m.GetPhase() == wire.Phase_PHASE_PRE {
		granted := current && m.GetTerm() > c.term() && !c.precedes(m)
		if granted && c.role == preCandidate && m.GetFrom() < c.id() {
			// Yield to the lower ID. If both continued, they would split the votes.
			c.role = follower
			c.resetDeadline()
		}
		return granted
	}
	if m.GetTerm() > c.term() {
		c.follow(m.GetTerm(), "")
	}
	free := c.meta.GetVote() == "" || c.meta.GetVote() == m.GetFrom()
	if !current || m.GetTerm() != c.term() || !free {
		return false
	}
	c.meta.Vote = m.GetFrom()
	c.dirty = true
	c.resetDeadline()
	return true
}

// precedes reports whether this instance is itself a recent pre-candidate with an
// equal log and a lower ID than the candidate. If both continued, each with its own
// vote, both would lose an election timeout.
func (c *core) precedes(m *wire.VoteRequest) bool {
	same := m.GetLastIndex() == c.log.last() && m.GetLastTerm() == c.log.lastTerm()
	recent := c.role == preCandidate && c.now.Sub(c.stood) < standing
	return same && recent && c.id() < m.GetFrom()
}

func (c *core) handleVoteReply(m *wire.VoteReply) {
	if m.GetPhase() == wire.Phase_PHASE_IDENTIFY {
		c.handleIdentity(m)
		return
	}
	if m.GetTerm() > c.term() {
		c.follow(m.GetTerm(), "")
		return
	}
	pre := c.role == preCandidate && m.GetPhase() == wire.Phase_PHASE_PRE && m.GetAsked() == c.term()+1
	vote := c.role == candidate && m.GetPhase() == wire.Phase_PHASE_REAL && m.GetAsked() == c.term()
	if !pre && !vote {
		return
	}
	c.ballots[m.GetFrom()] = ballot{granted: m.GetGranted(), cut: m.GetCut()}
	c.count()
}

// handleIdentity collects replies of empty bootstrap instances. It starts over if this
// or the replying instance is not empty, or the replying one knows of a cluster.
func (c *core) handleIdentity(m *wire.VoteReply) {
	if !c.empty() || !m.GetEmpty() || m.GetKnown() {
		c.fresh = nil
		return
	}
	a, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || !slices.Contains(c.bootstrap, a) {
		return
	}
	if c.fresh == nil {
		c.fresh = map[netip.AddrPort]*wire.VoteReply{}
	}
	c.fresh[a] = m
}
