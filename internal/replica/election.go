package replica

import (
	"net/netip"
	"slices"

	"mangokeel/internal/wire"
)

// identify asks the instances of the first start who they are. The one with the
// lowest address creates the cluster once all of them are known to be empty. An
// instance that lost its folder finds others that are not, and waits to be
// admitted.
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

func (c *core) lowest() bool {
	for _, a := range c.bootstrap {
		if a.Compare(c.address) < 0 {
			return false
		}
	}
	return true
}

// create starts a cluster, named after this instance's own id so that no two
// clusters share a name.
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

// campaign asks for pre-votes. Instances that may not lead only wait.
func (c *core) campaign() {
	c.resetDeadline()
	if !c.eligible() {
		return
	}
	c.role, c.stood = preCandidate, c.now
	c.requestVotes(wire.Phase_PHASE_PRE, c.term()+1)
}

// eligible reports whether the instance may lead. A voter that an uncommitted
// membership removes still may, without a vote of its own: it can be the only one
// whose log is long enough.
func (c *core) eligible() bool {
	if isVoter(c.membership, c.id()) {
		return true
	}
	return c.membershipIndex > c.commit && isVoter(c.membershipAt(c.membershipIndex-1), c.id())
}

// elect starts an election in a new term.
func (c *core) elect() {
	c.counts.elections++
	c.follow(c.term()+1, "")
	c.meta.Vote = c.id()
	c.dirty = true
	c.role = candidate
	c.resetDeadline()
	c.requestVotes(wire.Phase_PHASE_REAL, c.term())
}

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
	c.count()
}

// count checks whether the ballots suffice. A voter whose log lost its tail may
// have forgotten a committed entry, so it does not count towards a majority. Only
// when every voter grants its vote may the candidate do without: its log is then
// the longest of all, and what it lacks is on no disk. Without this a power failure
// of all instances could leave the log without a leader for good.
func (c *core) count() {
	won := hasMajority(c.membership, func(id string) bool { b := c.ballots[id]; return b.granted && !b.cut })
	all := true
	for _, id := range voterIDs(c.membership) {
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

// led reports whether the instance leads or has heard from a leader recently.
// Candidates are refused then, without regard to their term, so that an instance
// that lost contact cannot depose a working leader.
func (c *core) led() bool {
	return c.role == leader || !c.heard.IsZero() && c.now.Sub(c.heard) < minElection
}

func (c *core) grant(m *wire.VoteRequest) bool {
	current := m.GetLastTerm() > c.log.lastTerm() ||
		m.GetLastTerm() == c.log.lastTerm() && m.GetLastIndex() >= c.log.last()
	if m.GetPhase() == wire.Phase_PHASE_PRE {
		granted := current && m.GetTerm() > c.term() && !c.precedes(m)
		if granted && c.role == preCandidate && m.GetFrom() < c.id() {
			c.role = follower // both would go on, and split the votes of the others
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

// precedes reports whether this instance stands for election at the same moment
// with an equal log and the lower id. If two went on, each with its own vote, both
// would lose an election timeout.
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
