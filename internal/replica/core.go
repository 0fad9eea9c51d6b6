package replica

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// minElectionTimeout is the minimum election timeout. It is also how long an instance
	// refuses candidates after a message from a leader.
	minElectionTimeout = 500 * time.Millisecond
	maxElectionTimeout = 1000 * time.Millisecond
	// startupElectionTimeout scales the election timeout while no leader is known during
	// startupPeriod after a start. It may be below minElectionTimeout because pre-votes
	// protect a working leader, and after a complete power loss there is no leader to
	// wait for.
	startupElectionTimeout = 100 * time.Millisecond
	startupPeriod          = 2 * time.Second
	// preVoteWindow is how long after its pre-vote request an instance refuses equal
	// candidates with a higher ID: a few round trips. After that it yields to a
	// candidate that may have just started.
	preVoteWindow = 30 * time.Millisecond
	// firstTerm is the term of the entry that creates the cluster. No leader has it.
	firstTerm = 1
	// announceInterval is the interval between messages to the addresses of former
	// voters. It is well below the time a machine takes to start.
	announceInterval = 500 * time.Millisecond
	// uncommittedLimit is the number of uncommitted entries above which a leader
	// refuses proposals. It bounds the memory of a leader whose followers are slow.
	uncommittedLimit = 1 << 14
	// retryTimeout is the time after which unanswered entries or snapshot parts are
	// sent again.
	retryTimeout = time.Second
	// entryOverhead is the number of bytes counted for an entry in addition to its
	// command.
	entryOverhead = 32
)

// NoAge is the age that an instance reports when no majority has confirmed its
// state.
const NoAge = 24 * time.Hour

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// message is a request to another instance or the reply to an incoming call.
type message struct {
	// to is the destination of a request. It is the zero value for replies.
	to netip.AddrPort
	// call identifies the incoming call that the message answers. It is 0 for requests.
	call uint64
	body proto.Message
	// err, if not nil, rejects the call; body is then unused.
	err error
}

// ready holds the work to complete before the core continues, in this order: write
// meta, send early if meta is nil, write snapshot, append entries, sync, send early
// if meta is not nil, send messages, apply entries up to commit.
type ready struct {
	meta     *wire.Meta
	snapshot *wire.Snapshot
	// entries follow the entry with index prev and term prevTerm and replace all
	// entries after it.
	entries        []*wire.Entry
	prev, prevTerm uint64
	// early messages do not depend on the writes of snapshot and entries.
	early    []message
	messages []message
	commit   uint64
}

// peer is a leader's replication state for another member.
type peer struct {
	id   string
	addr netip.AddrPort
	// start is the highest start count seen. Replies from earlier starts are ignored
	// because the disk may have lost entries that they confirmed.
	start uint64
	// match is the index of the last entry known to be synced on the member. It
	// decreases only when start increases.
	match uint64
	// next is the index of the first entry to send. It is greater than match.
	next uint64
	// inFlight is the send time, as returned by core.spanNanos, of the unanswered request that
	// carried entries or a snapshot part. It is 0 if there is none.
	inFlight uint64
	// ackedAt is the latest send time, as returned by core.spanNanos, of a request that was
	// answered in this term.
	ackedAt uint64
	// addedAt is the time at which the leader began to send to the member.
	addedAt time.Time
	// echo is the newest stamp received from the member. It is returned in requests.
	echo *wire.Stamp
	// snapshot is the snapshot being sent, or nil; offset is the next byte to send.
	snapshot *wire.Snapshot
	offset   uint64
}

// ballot is a voter's reply to a candidate. cut reports that the voter's log lost its
// tail. lost reports that an instance with another ID answers at the voter's address, so that
// the voter's data folder no longer exists.
type ballot struct{ granted, cut, lost bool }

// core is the consensus state machine of one instance. It performs no I/O: its
// methods receive the time and messages, and takeReady returns the resulting work.
type core struct {
	name    string
	address netip.AddrPort
	// seeds lists the addresses of the instances that create the cluster, sorted. It is
	// empty on an instance that is not one of them.
	seeds []netip.AddrPort
	opts  options

	// startedAt is the time at which the instance started.
	startedAt time.Time
	// now is the current time. It never decreases within a span.
	now time.Time
	// span is the number of times the clock went backwards. spanStart is the start
	// time of the current span. Stamps of other spans are ignored.
	span      uint64
	spanStart time.Time

	// meta.Term never decreases, and meta.Vote never changes within a term once set.
	meta *wire.Meta
	log  entries
	// snapshot is the latest snapshot, or nil.
	snapshot *wire.Snapshot
	// membership is the latest membership in the log, committed or not.
	membership      *wire.Membership
	membershipIndex uint64
	// commit is the index of the last committed entry. It never decreases, and entries
	// up to it never change.
	commit uint64
	// stable is the index of the last synced entry.
	stable uint64

	role       role
	leader     string
	leaderAddr netip.AddrPort
	// leaderHeardAt is the time of the last message from the leader in this span, or zero.
	leaderHeardAt time.Time
	// deadline is the time of the next election or identify attempt.
	deadline time.Time
	// preVoteStartedAt is the time of the last pre-vote request in this span, or zero.
	preVoteStartedAt time.Time
	ballots          map[string]ballot
	// confirmedAt is the latest known time in this span at which a majority confirmed
	// commit, or zero.
	confirmedAt time.Time

	// peers and the fields up to lastAnnouncement are used only by a leader.
	peers map[string]*peer
	// leaderSince is the time at which the leadership began.
	leaderSince time.Time
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	// lastHeartbeat is the time of the last heartbeat.
	lastHeartbeat time.Time
	// lastAnnouncement is the last time the cluster was announced to former voters.
	lastAnnouncement time.Time

	// partialSnapshot is the snapshot being received, or nil.
	partialSnapshot *wire.Snapshot
	// emptyInstances holds the identify replies of empty seeds by address, and an entry for
	// this one.
	emptyInstances map[netip.AddrPort]*wire.VoteReply
	// attempt is this instance's attempt to create the cluster, or nil.
	attempt *foundingAttempt
	// foundingSince is the time from which the delays before an attempt count.
	foundingSince time.Time
	// attemptTimeout is the least time that the next attempt may take.
	attemptTimeout time.Duration
	// highestRound is the highest round of a ballot seen.
	highestRound uint64
	// otherClusterKnown reports whether a cluster other than this instance's is known to
	// exist.
	otherClusterKnown bool

	// metaDirty reports whether meta must be written.
	metaDirty bool
	// firstUnstable is the index of the first entry to persist, or 0.
	firstUnstable uint64
	// receivedSnapshot is a received snapshot to store, or nil.
	receivedSnapshot *wire.Snapshot
	early            []message
	messages         []message
	counts           counts
}

// counts holds the numbers of events since the start.
type counts struct {
	elections, leaderships, depositions, backwards, refused uint64
}

func panicInvariant(format string, args ...any) {
	panic(errors.AssertionFailedf("replica: invariant violated: "+format, args...))
}

func newCore(now time.Time, cfg Config, o options, s *recoveredState) *core {
	c := &core{
		name:      cfg.Name,
		address:   cfg.Address,
		opts:      o,
		now:       now,
		spanStart: now,
		meta:      s.meta,
		log:       s.entries,
		snapshot:  s.snapshot,
		commit:    s.snapshot.GetIndex(),
		stable:    s.entries.last(),
	}
	c.seeds = seedAddresses(s.meta.GetSeeds(), cfg.Address)
	c.updateMembership()
	c.startedAt, c.foundingSince, c.attemptTimeout = now, now, minAttemptTimeout
	// Request pre-votes at once: the other instances may be waiting for this one.
	c.deadline = now
	return c
}

func (c *core) id() string { return c.meta.GetId() }

func (c *core) term() uint64 { return c.meta.GetTerm() }

// updateClock updates the current time. If the clock went backwards, it starts a new span
// and discards all times measured in the previous one; a leader steps down.
func (c *core) updateClock(now time.Time) {
	if !now.Before(c.now) {
		c.now = now
		return
	}
	c.counts.backwards++
	c.now, c.spanStart, c.foundingSince = now, now, now
	c.span++
	c.leaderHeardAt, c.confirmedAt, c.preVoteStartedAt = time.Time{}, time.Time{}, time.Time{}
	c.resetDeadline()
	if c.role == leader {
		c.becomeFollower(c.term(), "")
	}
}

// spanNanos returns the time since the start of the span in nanoseconds, plus 1 so that it
// is never 0.
func (c *core) spanNanos() uint64 { return uint64(c.now.Sub(c.spanStart)) + 1 }

func (c *core) stamp() *wire.Stamp {
	return &wire.Stamp{Start: c.meta.GetStarts(), Span: c.span, Nanos: c.spanNanos()}
}

// isOwnStamp reports whether s was created by this instance in the current start and span.
func (c *core) isOwnStamp(s *wire.Stamp) bool {
	return s != nil && s.GetStart() == c.meta.GetStarts() && s.GetSpan() == c.span && s.GetNanos() <= c.spanNanos()
}

// resetDeadline sets a random election timeout.
func (c *core) resetDeadline() {
	if c.leader == "" && c.span == 0 && c.now.Sub(c.startedAt) < startupPeriod {
		c.deadline = c.now.Add(startupElectionTimeout/3 + time.Duration(c.opts.rand.Int64N(int64(startupElectionTimeout))))
		return
	}
	spread := time.Duration(c.opts.rand.Int64N(int64(maxElectionTimeout - minElectionTimeout)))
	c.deadline = c.now.Add(minElectionTimeout + spread)
}

// tick performs the periodic work of the current role. It must be called at least
// once per heartbeatInterval.
func (c *core) tick(now time.Time) {
	c.updateClock(now)
	switch {
	case c.role == leader:
		c.tickLeader()
	case c.now.Before(c.deadline):
	case c.empty():
		c.identify()
	default:
		c.startPreVote()
	}
}

// step handles a request or a reply. call identifies the incoming call of a request.
func (c *core) step(now time.Time, call uint64, body proto.Message) {
	c.updateClock(now)
	switch m := body.(type) {
	case *wire.VoteRequest:
		c.handleVote(call, m)
	case *wire.VoteReply:
		c.handleVoteReply(m)
	case *wire.AppendRequest:
		c.handleAppend(call, m)
	case *wire.AppendReply:
		c.handleAppendReply(m)
	case *wire.SnapshotRequest:
		c.handleSnapshot(call, m)
	case *wire.SnapshotReply:
		c.handleSnapshotReply(m)
	default:
		panicInvariant("unexpected message type %T", body)
	}
}

func (c *core) send(to netip.AddrPort, body proto.Message) {
	c.messages = append(c.messages, message{to: to, body: body})
}

func (c *core) reply(call uint64, body proto.Message) {
	c.messages = append(c.messages, message{call: call, body: body})
}

func (c *core) rejectCall(call uint64, reason string) {
	c.counts.refused++
	c.messages = append(c.messages, message{call: call, err: errors.New(reason)})
}

// empty reports whether the log has never contained an entry.
func (c *core) empty() bool {
	return c.log.last() == 0 && c.snapshot == nil && !c.meta.GetCut()
}

// acceptRequest validates the recipient and the cluster of a request. An instance with an
// empty log switches to the sender's cluster: it has never confirmed an entry to any
// cluster, and its ID is known only to clusters that rely on it.
func (c *core) acceptRequest(call uint64, cluster, to string) bool {
	switch {
	case to != c.id():
		c.rejectCall(call, "instance "+to+" is not here")
		return false
	case cluster == "" || c.meta.GetCluster() != cluster && !c.empty():
		c.rejectCall(call, "other cluster")
		return false
	case c.meta.GetCluster() != cluster:
		c.meta.Cluster = cluster
		c.metaDirty = true
		c.abandonFounding()
		// The known leader belongs to the previous cluster, whose terms are unrelated.
		c.leader, c.leaderHeardAt = "", time.Time{}
	}
	return true
}

// becomeFollower makes the instance a follower in term, which must not be lower than its
// current term. id is the leader's ID, or empty if it is unknown.
func (c *core) becomeFollower(term uint64, id string) {
	if term < c.term() {
		panicInvariant("term decreases from %d to %d", c.term(), term)
	}
	if c.role == leader {
		c.counts.depositions++
		c.peers = nil
		c.leaderHeardAt = time.Time{}
		c.resetDeadline()
		if term > c.term() && id == "" {
			c.deadline = c.now // the candidate of that term may have lost
		}
	}
	if term > c.term() {
		c.meta.Term, c.meta.Vote = term, ""
		c.metaDirty = true
		c.leader = ""
	}
	if c.leader != "" && id != "" && c.leader != id {
		panicInvariant("leaders %s and %s in term %d", c.leader, id, term)
	}
	if id != "" || c.role == leader {
		c.leader = id
	}
	c.role, c.ballots = follower, nil
}

// followLeader records a message from the leader of term and restarts the election
// timeout.
func (c *core) followLeader(term uint64, id, address string) {
	if term == c.term() && c.role == leader {
		panicInvariant("leaders %s and %s in term %d", c.id(), id, term)
	}
	c.becomeFollower(term, id)
	c.leaderAddr, _ = netip.ParseAddrPort(address)
	c.leaderHeardAt = c.now
	c.resetDeadline()
}

// updateMembership updates membership after the log or the snapshot changed.
func (c *core) updateMembership() {
	m, i := c.log.membershipAt(c.log.last())
	if m == nil || i <= c.snapshot.GetIndex() {
		m, i = c.snapshot.GetMembership(), c.snapshot.GetIndex()
	}
	c.membership, c.membershipIndex = m, i
	if c.role == leader {
		c.updatePeers()
	}
}

// markUnstable marks the entries from index i on as not persisted.
func (c *core) markUnstable(i uint64) {
	if c.firstUnstable == 0 || i < c.firstUnstable {
		c.firstUnstable = i
	}
	c.stable = min(c.stable, i-1)
}

func (c *core) setCommit(i uint64) {
	if i < c.commit || i > c.log.last() {
		panicInvariant("commit index changes from %d to %d, last entry is %d", c.commit, i, c.log.last())
	}
	c.commit = i
}

// pending reports whether takeReady has something to return.
func (c *core) pending() bool {
	return c.metaDirty || c.firstUnstable != 0 || c.receivedSnapshot != nil || len(c.early) > 0 || len(c.messages) > 0
}

// takeReady returns the outstanding work and clears it. The caller must call persisted once
// the work is done.
func (c *core) takeReady() ready {
	r := ready{snapshot: c.receivedSnapshot, early: c.early, messages: c.messages, commit: c.commit}
	if c.metaDirty {
		r.meta = proto.Clone(c.meta).(*wire.Meta)
	}
	if c.firstUnstable != 0 && c.firstUnstable <= c.log.last() {
		r.prev = c.firstUnstable - 1
		r.prevTerm, _ = c.log.term(r.prev)
		r.entries = c.log.from(c.firstUnstable)
	}
	c.metaDirty, c.firstUnstable, c.receivedSnapshot, c.early, c.messages = false, 0, nil, nil, nil
	return r
}

// persisted records that the entries of r are synced.
func (c *core) persisted(now time.Time, r ready) {
	before := c.now
	c.updateClock(now)
	if r.meta != nil && c.mayFound() {
		c.voteWritten(max(0, c.now.Sub(before)))
	}
	if len(r.entries) == 0 {
		return
	}
	c.stable = r.prev + uint64(len(r.entries))
	if c.role == leader {
		c.advanceCommit()
	}
}

// compacted records a durable snapshot of this instance's state. The last keep entries
// before it stay in memory for members that lag slightly.
func (c *core) compacted(s *wire.Snapshot, keep uint64) {
	c.snapshot = s
	if s.GetIndex() > keep {
		c.log.compact(s.GetIndex() - keep)
	}
}

// propose appends commands to the log and returns the index of the first one. It
// returns an error, and appends nothing, if the instance is not the leader or too many
// entries are uncommitted.
func (c *core) propose(now time.Time, commands [][]byte) (first uint64, err error) {
	c.updateClock(now)
	switch {
	case c.role != leader:
		return 0, mangokeel.ErrNotLeader
	case c.log.last()-c.commit > uncommittedLimit:
		return 0, ErrBusy
	}
	first = c.log.last() + 1
	for _, b := range commands {
		c.appendInCurrentTerm(&wire.Entry{Body: &wire.Entry_Command{Command: b}})
	}
	c.broadcast()
	return first, nil
}

// appendInCurrentTerm appends e with the next index and the current term.
func (c *core) appendInCurrentTerm(e *wire.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term()
	c.log.append(e)
	c.markUnstable(e.GetIndex())
	if e.GetMembership() != nil {
		c.updateMembership()
	}
}

func (c *core) String() string {
	return fmt.Sprintf("%s %s term %d commit %d last %d", c.id(), c.role, c.term(), c.commit, c.log.last())
}
