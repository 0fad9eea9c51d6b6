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
	// minElection is also how long an instance refuses candidates after it heard
	// from a leader.
	minElection = 500 * time.Millisecond
	maxElection = 1000 * time.Millisecond
	// firstElection bounds election timeouts within starting of a start, while no leader
	// was heard of. It is below minElection because pre-votes protect a working leader,
	// and after a loss of all power there is none to wait for.
	firstElection = 100 * time.Millisecond
	starting      = 2 * time.Second
	// identifyInterval separates the questions of the first start. Instances start
	// within some 300 ms of each other.
	identifyInterval = 200 * time.Millisecond
	// standing is how long an instance that stands for election waits for the others' answers: a
	// few round trips. Later it makes way for one that may have just started.
	standing = 30 * time.Millisecond
	// firstTerm is the term of the entry that creates the cluster.
	firstTerm = 1
	// announceInterval is well below the time that a machine takes to start.
	announceInterval = 500 * time.Millisecond
	// uncommittedLimit bounds the memory of a leader whose followers are slow.
	uncommittedLimit = 1 << 14
	// retryTimeout is the time after which entries or a snapshot part that were
	// not answered are sent again.
	retryTimeout = time.Second
	// entryOverhead is counted for each entry besides its command.
	entryOverhead = 32
)

// NoAge is the age that an instance reports without any confirmation by a
// majority.
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

// message is a request to another instance, or the reply to a call.
type message struct {
	// to is where a request goes. Replies have the zero value.
	to netip.AddrPort
	// call is the incoming call that the message answers, or 0 for requests.
	call uint64
	body proto.Message
	// err refuses the call.
	err error
}

// ready is what must happen before the core goes on, in this order: write meta,
// send early if meta was nil, write snapshot, append entries, sync, send early if
// meta was not nil, send messages, apply up to commit.
type ready struct {
	meta     *wire.Meta
	snapshot *wire.Snapshot
	// entries follow the entry with index prev and term prevTerm and replace
	// whatever came after it.
	entries        []*wire.Entry
	prev, prevTerm uint64
	// early messages do not depend on this instance's disk.
	early    []message
	messages []message
	commit   uint64
}

// peer is what a leader knows of another member.
type peer struct {
	id   string
	addr netip.AddrPort
	// start is the highest start count seen. Replies of earlier starts are
	// ignored, because the disk may have lost what they confirmed.
	start uint64
	// match is the last entry known to be synced there. It falls only when start
	// rises.
	match uint64
	// next is the first entry to send. It is above match.
	next uint64
	// busy is the stamp of the unanswered request that carried entries or a part
	// of a snapshot, or 0.
	busy uint64
	// acked is the latest send time of a request that was answered in this term.
	acked uint64
	// added is when the leader began to send to the member.
	added time.Time
	// echo is the newest stamp received.
	echo *wire.Stamp
	// snapshot and offset are the snapshot being sent, or nil.
	snapshot *wire.Snapshot
	offset   uint64
}

// ballot is an answer to a candidate.
type ballot struct{ granted, cut bool }

// core decides what one instance of the replicated log does. It does no I/O: its
// methods take the time and messages, and take returns what is to be done.
type core struct {
	name    string
	address netip.AddrPort
	// bootstrap lists the instances of the first start.
	bootstrap []netip.AddrPort
	opts      options

	// started is the time of the start.
	started time.Time
	// now never falls within a span.
	now time.Time
	// span counts how often the clock went backwards; zero is the time at which
	// it began. Stamps of other spans are ignored.
	span uint64
	zero time.Time

	// meta.Term never falls, and meta.Vote never changes within a term once set.
	meta  *wire.Meta
	log   entries
	state *wire.Snapshot
	// membership is the last one in the log, committed or not.
	membership      *wire.Membership
	membershipIndex uint64
	// commit never falls. Entries up to commit never change.
	commit uint64
	// stable is the last synced entry.
	stable uint64

	role       role
	leader     string
	leaderAddr netip.AddrPort
	// heard is when the leader was last heard of, in this span.
	heard    time.Time
	deadline time.Time
	// stood is when the instance last asked for pre-votes, in this span.
	stood   time.Time
	ballots map[string]ballot
	// confirmed is a time in this span at which a majority confirmed commit.
	confirmed time.Time

	// Leader only.
	peers map[string]*peer
	// since is when the leadership began.
	since time.Time
	// opening is the first entry of the leader's term.
	opening uint64
	beat    time.Time
	// announced is the last time former voters were told of the cluster.
	announced time.Time

	// partial is the snapshot being received.
	partial *wire.Snapshot
	// fresh holds the empty instances found for the first start.
	fresh map[netip.AddrPort]*wire.VoteReply
	// known is set once another cluster is known to exist.
	known bool

	dirty    bool
	unstable uint64 // first entry to persist, or 0
	install  *wire.Snapshot
	early    []message
	messages []message
	counts   counts
}

// counts are events since the start.
type counts struct {
	elections, leaderships, depositions, backwards, refused uint64
}

func broken(format string, args ...any) {
	panic(errors.AssertionFailedf("replica: broken invariant: "+format, args...))
}

func newCore(now time.Time, cfg Config, o options, s *stored) *core {
	c := &core{
		name:    cfg.Name,
		address: cfg.Address,
		opts:    o,
		now:     now,
		zero:    now,
		meta:    s.meta,
		log:     s.entries,
		state:   s.snapshot,
		commit:  s.snapshot.GetIndex(),
		stable:  s.entries.last(),
	}
	for _, m := range cfg.Members {
		c.bootstrap = append(c.bootstrap, m.Address)
	}
	c.findMembership()
	c.started = now
	// The others may have waited for this instance: it asks for pre-votes at once.
	c.deadline = now
	return c
}

func (c *core) id() string { return c.meta.GetId() }

func (c *core) term() uint64 { return c.meta.GetTerm() }

// observe takes over the time. A clock that went backwards voids everything that
// was measured with it.
func (c *core) observe(now time.Time) {
	if !now.Before(c.now) {
		c.now = now
		return
	}
	c.counts.backwards++
	c.now, c.zero = now, now
	c.span++
	c.heard, c.confirmed, c.stood = time.Time{}, time.Time{}, time.Time{}
	c.resetDeadline()
	if c.role == leader {
		c.follow(c.term(), "")
	}
}

// nanos returns a time of this span for stamps. It is never 0.
func (c *core) nanos() uint64 { return uint64(c.now.Sub(c.zero)) + 1 }

func (c *core) stamp() *wire.Stamp {
	return &wire.Stamp{Start: c.meta.GetStarts(), Span: c.span, Nanos: c.nanos()}
}

// own reports whether a stamp was made by this instance in this span.
func (c *core) own(s *wire.Stamp) bool {
	return s != nil && s.GetStart() == c.meta.GetStarts() && s.GetSpan() == c.span && s.GetNanos() <= c.nanos()
}

func (c *core) resetDeadline() {
	if c.leader == "" && c.span == 0 && c.now.Sub(c.started) < starting {
		c.deadline = c.now.Add(firstElection/3 + time.Duration(c.opts.rand.Int64N(int64(firstElection))))
		return
	}
	spread := time.Duration(c.opts.rand.Int64N(int64(maxElection - minElection)))
	c.deadline = c.now.Add(minElection + spread)
}

// tick must be called at least once per heartbeat interval.
func (c *core) tick(now time.Time) {
	c.observe(now)
	switch {
	case c.role == leader:
		c.tickLeader()
	case c.now.Before(c.deadline):
	case c.empty():
		c.identify()
	default:
		c.campaign()
	}
}

// step handles a request or a reply. call names the incoming call of a request.
func (c *core) step(now time.Time, call uint64, body proto.Message) {
	c.observe(now)
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
		broken("message of type %T", body)
	}
}

func (c *core) send(to netip.AddrPort, body proto.Message) {
	c.messages = append(c.messages, message{to: to, body: body})
}

func (c *core) reply(call uint64, body proto.Message) {
	c.messages = append(c.messages, message{call: call, body: body})
}

func (c *core) refuse(call uint64, reason string) {
	c.counts.refused++
	c.messages = append(c.messages, message{call: call, err: errors.New(reason)})
}

// empty reports whether the log never had an entry.
func (c *core) empty() bool {
	return c.log.last() == 0 && c.state == nil && !c.meta.GetCut()
}

// admit checks the addressing of a request and joins the sender's cluster while
// the log is empty. Then the instance never confirmed an entry of any cluster, and
// its id is known only to clusters that count on it.
func (c *core) admit(call uint64, cluster, to string) bool {
	switch {
	case to != c.id():
		c.refuse(call, "instance "+to+" is not here")
		return false
	case cluster == "" || c.meta.GetCluster() != cluster && !c.empty():
		c.refuse(call, "other cluster")
		return false
	case c.meta.GetCluster() != cluster:
		c.meta.Cluster = cluster
		c.dirty = true
		c.fresh = nil
		// Terms of the other cluster had leaders of their own.
		c.leader, c.heard = "", time.Time{}
	}
	return true
}

// follow makes the instance a follower in a term that is not lower than its own.
func (c *core) follow(term uint64, id string) {
	if term < c.term() {
		broken("term falls from %d to %d", c.term(), term)
	}
	if c.role == leader {
		c.counts.depositions++
		c.peers = nil
		c.heard = time.Time{}
		c.resetDeadline()
	}
	if term > c.term() {
		c.meta.Term, c.meta.Vote = term, ""
		c.dirty = true
		c.leader = ""
	}
	if c.leader != "" && id != "" && c.leader != id {
		broken("leaders %s and %s in term %d", c.leader, id, term)
	}
	if id != "" || c.role == leader {
		c.leader = id
	}
	c.role, c.ballots = follower, nil
}

// followLeader notes a message of the present leader.
func (c *core) followLeader(term uint64, id, address string) {
	if term == c.term() && c.role == leader {
		broken("leaders %s and %s in term %d", c.id(), id, term)
	}
	c.follow(term, id)
	c.leaderAddr, _ = netip.ParseAddrPort(address)
	c.heard = c.now
	c.resetDeadline()
}

// findMembership reads the membership from the log after it changed.
func (c *core) findMembership() {
	m, i := c.log.membershipAt(c.log.last())
	if m == nil || i <= c.state.GetIndex() {
		m, i = c.state.GetMembership(), c.state.GetIndex()
	}
	c.membership, c.membershipIndex = m, i
	if c.role == leader {
		c.updatePeers()
	}
}

// change notes that entries from i on are to be persisted.
func (c *core) change(i uint64) {
	if c.unstable == 0 || i < c.unstable {
		c.unstable = i
	}
	c.stable = min(c.stable, i-1)
}

func (c *core) setCommit(i uint64) {
	if i < c.commit || i > c.log.last() {
		broken("commit moves from %d to %d with %d entries", c.commit, i, c.log.last())
	}
	c.commit = i
}

// pending reports whether take has something to return.
func (c *core) pending() bool {
	return c.dirty || c.unstable != 0 || c.install != nil || len(c.early) > 0 || len(c.messages) > 0
}

// take returns what is to be done now. persisted must be called after it is.
func (c *core) take() ready {
	r := ready{snapshot: c.install, early: c.early, messages: c.messages, commit: c.commit}
	if c.dirty {
		r.meta = proto.Clone(c.meta).(*wire.Meta)
	}
	if c.unstable != 0 && c.unstable <= c.log.last() {
		r.prev = c.unstable - 1
		r.prevTerm, _ = c.log.term(r.prev)
		r.entries = c.log.from(c.unstable)
	}
	c.dirty, c.unstable, c.install, c.early, c.messages = false, 0, nil, nil, nil
	return r
}

// persisted notes that the entries of r are synced.
func (c *core) persisted(now time.Time, r ready) {
	c.observe(now)
	if len(r.entries) == 0 {
		return
	}
	c.stable = r.prev + uint64(len(r.entries))
	if c.role == leader {
		c.advanceCommit()
	}
}

// compacted notes a durable snapshot of the own machine. Entries up to keep
// before it stay in memory for members that lag a little.
func (c *core) compacted(s *wire.Snapshot, keep uint64) {
	c.state = s
	if s.GetIndex() > keep {
		c.log.compact(s.GetIndex() - keep)
	}
}

// propose appends commands when the instance leads and returns the index of the
// first one. After an error nothing was appended.
func (c *core) propose(now time.Time, commands [][]byte) (first uint64, err error) {
	c.observe(now)
	switch {
	case c.role != leader:
		return 0, mangokeel.ErrNotLeader
	case c.log.last()-c.commit > uncommittedLimit:
		return 0, ErrBusy
	}
	first = c.log.last() + 1
	for _, b := range commands {
		c.appendOwn(&wire.Entry{Body: &wire.Entry_Command{Command: b}})
	}
	c.broadcast()
	return first, nil
}

// appendOwn appends an entry in the leader's term.
func (c *core) appendOwn(e *wire.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term()
	c.log.append(e)
	c.change(e.GetIndex())
	if e.GetMembership() != nil {
		c.findMembership()
	}
}

func (c *core) String() string {
	return fmt.Sprintf("%s %s term %d commit %d last %d", c.id(), c.role, c.term(), c.commit, c.log.last())
}
