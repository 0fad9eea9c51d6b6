package replica

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// The seeds choose the first entry of the log, which holds the membership, by a vote in
// two rounds (single-decree Paxos): a seed that has promises of a majority asks them to
// accept the value of the highest ballot that one of them has accepted, or else its own.
// A value that a majority has accepted is chosen, and no other one can be. Only the chosen
// value is ever written to a log, so all logs begin with the same entry. Each seed stores
// what it has promised and accepted before it answers.

const (
	// identifyInterval is the shortest interval between identify requests on the first start.
	identifyInterval = 200 * time.Millisecond
	// minAttemptTimeout is how long an attempt, of this instance or of another one that it
	// has voted for, may take at first: two round trips and two writes of a busy disk. It
	// doubles with each attempt of this instance that fails, up to maxAttemptTimeout, and
	// allows for the four writes of an attempt as slow as this instance's last one.
	minAttemptTimeout = 500 * time.Millisecond
	maxAttemptTimeout = 16 * time.Second
	// foundingWait is how long a seed waits for all others before it creates the cluster
	// with a majority. Instances start within about 300 ms of each other; one that is
	// left out has to be admitted later.
	foundingWait = time.Second
	// foundingStagger is the additional delay of each seed after the first one. Attempts
	// collide only if one takes longer; the writes of a busy disk took up to 470 ms.
	foundingStagger = 500 * time.Millisecond
	// reservedRound is the lowest round. Only the first seed uses it, once, and needs no
	// promises for it. This saves a write of each seed when nothing fails.
	reservedRound = 1
)

// foundingAttempt is a seed's attempt to create the cluster.
type foundingAttempt struct {
	ballot *wire.FoundingBallot
	// cluster and membership are the value to propose.
	cluster    string
	membership *wire.Membership
	// adopted is the highest ballot among the accepted values reported so far, or nil.
	adopted *wire.FoundingBallot
	// accepting is set once a majority has promised. The value does not change after that.
	accepting bool
	// votes holds the seeds that have promised, or accepted once accepting is set.
	votes map[netip.AddrPort]bool
}

// sortedSeeds returns the addresses of the members in the form in which they are recorded.
func sortedSeeds(members []Member) []string {
	var list []netip.AddrPort
	for _, m := range members {
		list = append(list, m.Address)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	var out []string
	for _, a := range slices.Compact(list) {
		out = append(out, a.String())
	}
	return out
}

// seedAddresses parses the recorded seeds. It returns nil if self is not among them.
func seedAddresses(list []string, self netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, x := range list {
		if a, err := netip.ParseAddrPort(x); err == nil {
			out = append(out, a)
		}
	}
	if !slices.Contains(out, self) {
		return nil
	}
	return out
}

// compareBallots orders ballots; nil is the lowest.
func compareBallots(a, b *wire.FoundingBallot) int {
	return cmp.Or(cmp.Compare(a.GetRound(), b.GetRound()), cmp.Compare(a.GetFrom(), b.GetFrom()))
}

// identify asks the other seeds for their identity and starts an attempt to create the
// cluster when it is due. An instance that lost its data folder finds others with a log
// and waits to be admitted.
func (c *core) identify() {
	due := c.foundingDue()
	c.postponeFounding(identifyInterval)
	if !c.mayFound() {
		c.abandonFounding()
		return
	}
	c.failAttempt(2 * c.attemptTimeout)
	if !due {
		c.emptyInstances = map[netip.AddrPort]*wire.VoteReply{c.address: {From: c.id(), Name: c.name}}
		due = c.foundingDue()
	}
	if due {
		c.startFounding()
		return
	}
	c.sendToSeeds(wire.Phase_PHASE_IDENTIFY, &wire.FoundingRequest{})
}

// mayFound reports whether the instance is a seed that knows of no log.
func (c *core) mayFound() bool { return len(c.seeds) > 0 && c.empty() && !c.otherClusterKnown }

// postponeFounding sets the time of the next identify requests or attempt to between d and
// twice as much. The random part ends a series of attempts that collide.
func (c *core) postponeFounding(d time.Duration) {
	c.deadline = c.now.Add(d + time.Duration(c.opts.rand.Int64N(int64(d))))
}

// abandonFounding ends an attempt. What this instance has promised and accepted stays.
func (c *core) abandonFounding() { c.attempt, c.emptyInstances = nil, nil }

// failAttempt ends an attempt, if there is one, and gives the next one more time.
func (c *core) failAttempt(timeout time.Duration) {
	if c.attempt != nil {
		c.attempt = nil
		c.attemptTimeout = min(max(c.attemptTimeout, timeout), maxAttemptTimeout)
	}
}

// voteWritten records that a vote is durable after a write that took the given time. That
// time does not count towards an attempt.
func (c *core) voteWritten(took time.Duration) {
	c.attemptTimeout = min(max(c.attemptTimeout, 4*took), maxAttemptTimeout)
	c.postponeFounding(c.attemptTimeout)
}

// foundingDueAt returns when to attempt to create the cluster: at once with all seeds, or
// with a majority after foundingWait, each seed foundingStagger after the one before. It
// returns false if too few seeds are known.
func (c *core) foundingDueAt() (time.Time, bool) {
	at := c.foundingSince.Add(time.Duration(slices.Index(c.seeds, c.address)) * foundingStagger)
	switch n := len(c.emptyInstances); {
	case n == 0 || !c.mayFound():
		return time.Time{}, false
	case n == len(c.seeds):
		return at, true
	default:
		return at.Add(foundingWait), 2*n > len(c.seeds)
	}
}

// foundingDue reports whether to attempt to create the cluster now.
func (c *core) foundingDue() bool {
	at, ok := c.foundingDueAt()
	return ok && !c.now.Before(at)
}

func (c *core) sendToSeeds(phase wire.Phase, f *wire.FoundingRequest) {
	for _, a := range c.seeds {
		f.Seeds = append(f.Seeds, a.String())
	}
	for _, a := range c.seeds {
		if a != c.address {
			c.send(a, &wire.VoteRequest{Phase: phase, From: c.id(), Founding: f})
		}
	}
}

// startFounding asks the seeds for promises. The value to propose, unless one of them has
// accepted another one, is a cluster of the seeds whose identity is known.
func (c *core) startFounding() {
	m := &wire.Membership{}
	for _, a := range c.seeds {
		if r := c.emptyInstances[a]; r != nil {
			m.Members = append(m.Members, &wire.Member{Id: r.GetFrom(), Name: r.GetName(), Address: a.String(), Voter: true})
		}
	}
	c.emptyInstances = nil
	c.attempt = &foundingAttempt{cluster: c.opts.newIdentity(c.name), membership: m}
	if c.address == c.seeds[0] && c.meta.GetFounding() == nil && c.highestRound == 0 {
		// No seed can have accepted a value in a lower ballot.
		c.attempt.ballot = &wire.FoundingBallot{Round: reservedRound, From: c.id()}
		c.requestFounding(wire.Phase_PHASE_ACCEPT)
		return
	}
	round := max(c.highestRound, c.meta.GetFounding().GetPromised().GetRound(), reservedRound) + 1
	c.attempt.ballot = &wire.FoundingBallot{Round: round, From: c.id()}
	c.requestFounding(wire.Phase_PHASE_PROMISE)
}

// requestFounding starts a phase of the attempt with this instance's own vote.
func (c *core) requestFounding(phase wire.Phase) {
	x := c.attempt
	x.accepting, x.votes = phase == wire.Phase_PHASE_ACCEPT, map[netip.AddrPort]bool{}
	f := &wire.FoundingRequest{Ballot: x.ballot}
	if x.accepting {
		f.Cluster, f.Membership = x.cluster, x.membership
	}
	c.sendToSeeds(phase, f)
	c.voteFounding(phase, f)
	c.countFounding(c.address, c.meta.GetFounding())
}

// answerSeed fills in the reply to a request of a seed without a log, or to one that asks
// for this instance's identity.
func (c *core) answerSeed(m *wire.VoteRequest, r *wire.VoteReply) {
	c.otherClusterKnown = c.otherClusterKnown || m.GetCluster() != "" && m.GetCluster() != c.meta.GetCluster()
	if m.GetPhase() != wire.Phase_PHASE_IDENTIFY && c.mayFound() && slices.Equal(m.GetFounding().GetSeeds(), c.meta.GetSeeds()) {
		c.voteFounding(m.GetPhase(), m.GetFounding())
	}
	r.Known = c.otherClusterKnown
	r.Cluster, r.Name, r.Address, r.Term = c.meta.GetCluster(), c.name, c.address.String(), c.term()
	r.Empty = c.empty()
	if m.GetPhase() != wire.Phase_PHASE_IDENTIFY {
		r.Founding = proto.CloneOf(c.meta.GetFounding())
	} else if len(c.seeds) > 0 && m.GetFrom() != "" && m.GetFounding() == nil {
		// A build before the vote of the seeds would create a cluster without a vote.
		r.Known = true
	}
}

// voteFounding records a promise or accepts a value, unless a higher ballot is promised. It
// ends an attempt of this instance that a higher ballot overtakes.
func (c *core) voteFounding(phase wire.Phase, f *wire.FoundingRequest) {
	have := c.meta.GetFounding()
	if compareBallots(f.GetBallot(), have.GetPromised()) < 0 {
		return
	}
	next := &wire.Founding{Promised: f.GetBallot(), Accepted: have.GetAccepted(), Cluster: have.GetCluster(), Membership: have.GetMembership()}
	if phase == wire.Phase_PHASE_ACCEPT {
		next.Accepted, next.Cluster, next.Membership = f.GetBallot(), f.GetCluster(), f.GetMembership()
	}
	c.meta.Founding = proto.CloneOf(next)
	c.metaDirty = true
	if f.GetBallot().GetFrom() != c.id() {
		c.failAttempt(2 * c.attemptTimeout)
		c.abandonFounding()
	}
	c.postponeFounding(c.attemptTimeout)
}

// countFounding counts a seed's vote in the current phase and takes the next step once a
// majority has voted.
func (c *core) countFounding(from netip.AddrPort, f *wire.Founding) {
	x := c.attempt
	c.highestRound = max(c.highestRound, f.GetPromised().GetRound())
	voted := f.GetPromised()
	if x.accepting {
		voted = f.GetAccepted()
	}
	if compareBallots(voted, x.ballot) != 0 {
		return
	}
	if !x.accepting && compareBallots(f.GetAccepted(), x.adopted) > 0 {
		x.adopted, x.cluster, x.membership = f.GetAccepted(), f.GetCluster(), f.GetMembership()
	}
	x.votes[from] = true
	switch {
	case 2*len(x.votes) <= len(c.seeds):
	case x.accepting:
		c.createCluster(x)
	default:
		c.requestFounding(wire.Phase_PHASE_ACCEPT)
	}
}

// handleIdentity collects replies of empty seeds. It starts over if this or the replying
// instance is not empty, or the replying one knows of a cluster.
func (c *core) handleIdentity(m *wire.VoteReply) {
	a, err := netip.ParseAddrPort(m.GetAddress())
	switch {
	case !c.mayFound() || !m.GetEmpty() || m.GetKnown():
		c.abandonFounding()
		return
	case err != nil || !slices.Contains(c.seeds, a) || c.emptyInstances == nil:
		return
	}
	c.emptyInstances[a] = m
	at, ok := c.foundingDueAt()
	switch {
	case ok && c.now.Before(at):
		c.deadline = earlierTime(c.deadline, at)
	case ok && len(c.emptyInstances) == len(c.seeds):
		c.startFounding()
	}
}

// handleFoundingReply handles the reply to a PROMISE or ACCEPT request.
func (c *core) handleFoundingReply(m *wire.VoteReply) {
	a, err := netip.ParseAddrPort(m.GetAddress())
	switch {
	case !c.mayFound() || !m.GetEmpty() || m.GetKnown():
		c.abandonFounding()
	case err != nil || !slices.Contains(c.seeds, a) || c.attempt == nil:
	case c.attempt.accepting == (m.GetPhase() == wire.Phase_PHASE_ACCEPT):
		c.countFounding(a, m.GetFounding())
	}
}

// createCluster writes the chosen first entry to the log of this instance. The others get
// it from a leader, or choose the same one again if this instance is lost.
func (c *core) createCluster(x *foundingAttempt) {
	c.abandonFounding()
	if cl := c.meta.GetCluster(); cl != "" && cl != x.cluster || findMember(x.membership, c.id()) == nil {
		return
	}
	c.meta.Cluster, c.meta.Term = x.cluster, max(firstTerm, c.term())
	c.meta.Created = c.term()
	c.metaDirty = true
	c.log.append(&wire.Entry{Index: 1, Term: firstTerm, Body: &wire.Entry_Membership{Membership: proto.CloneOf(x.membership)}})
	c.markUnstable(1)
	c.updateMembership()
	// The entry must be durable before the term rises, see undoClusterCreation.
	c.deadline = c.now
}
