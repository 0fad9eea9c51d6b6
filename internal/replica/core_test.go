package replica

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/disk"
	"mangokeel/internal/wire"
)

// bench drives one engine, c0 of c0, c1 and c2, by hand. Its log starts with the
// membership in term 1.
type bench struct {
	*testing.T
	s    *sim
	disk *disk.Fake
	e    *engine
	now  time.Time
	// sent are the messages since the last call of a method.
	sent []message
}

func (b *bench) Now() time.Time { return b.now }

func newBench(t *testing.T) *bench {
	b := &bench{T: t, s: newSim(1), disk: &disk.Fake{}, now: time.Unix(1000, 0)}
	s, _, err := load(b.disk, 1<<20, func() string { return "c0" })
	qt.Assert(t, err, qt.IsNil)
	m := &wire.Membership{}
	for i, id := range []string{"c0", "c1", "c2"} {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		m.Members = append(m.Members, &wire.Member{Id: id, Address: addr.String(), Voter: true})
	}
	qt.Assert(t, s.writeMeta(&wire.Meta{Id: "c0", Cluster: "x", Term: 1, Starts: 1}), qt.IsNil)
	qt.Assert(t, s.append(0, 0, []*wire.Entry{{Index: 1, Term: 1, Body: &wire.Entry_Membership{Membership: m}}}), qt.IsNil)
	b.open()
	return b
}

// open starts the engine anew.
func (b *bench) open() {
	b.e = &engine{
		machine: &chain{s: b.s}, clock: b, opts: buildOptions([]Option{WithSeed(1)}),
		send: func(m message) { b.sent = append(b.sent, m) }, onApplied: func(*wire.Entry, []byte) {},
	}
	qt.Assert(b, b.e.open(b.disk, Config{Name: "c0", Address: netip.MustParseAddrPort("127.0.0.1:1")}), qt.IsNil)
}

func (b *bench) crash() {
	b.disk.Crash()
	b.open()
}

// step feeds one message and returns the last one sent.
func (b *bench) step(m proto.Message) proto.Message {
	b.sent = nil
	b.e.core.step(b.now, 1, m)
	qt.Assert(b, b.e.flush(), qt.IsNil)
	if len(b.sent) == 0 {
		return nil
	}
	return b.sent[len(b.sent)-1].body
}

func (b *bench) vote(from string, term, index, lastTerm uint64) *wire.VoteReply {
	return b.step(&wire.VoteRequest{
		Phase: wire.Phase_PHASE_REAL, Cluster: "x", From: from, To: "c0", Term: term, LastIndex: index, LastTerm: lastTerm,
	}).(*wire.VoteReply)
}

func (b *bench) append(term, prev, prevTerm, commit uint64, echo *wire.Stamp, terms ...uint64) *wire.AppendReply {
	m := &wire.AppendRequest{
		Cluster: "x", From: "c1", To: "c0", Term: term, PrevIndex: prev, PrevTerm: prevTerm, Commit: commit, Echo: echo, Settled: true,
	}
	for i, t := range terms {
		m.Entries = append(m.Entries, &wire.Entry{Index: prev + 1 + uint64(i), Term: t})
	}
	return b.step(m).(*wire.AppendReply)
}

// win makes the engine leader with the vote of c1.
func (b *bench) win() {
	b.now = b.now.Add(2 * maxElection)
	b.e.core.tick(b.now)
	for _, phase := range []wire.Phase{wire.Phase_PHASE_PRE, wire.Phase_PHASE_REAL} {
		term := b.e.core.term()
		asked := term
		if phase == wire.Phase_PHASE_PRE {
			asked++
		}
		b.step(&wire.VoteReply{Phase: phase, From: "c1", Term: term, Asked: asked, Granted: true})
	}
	qt.Assert(b, b.e.core.role, qt.Equals, leader)
}

func (b *bench) ack(from string, start, match uint64) {
	c := b.e.core
	b.step(&wire.AppendReply{
		From: from, To: "c0", Term: c.term(), Ok: true, Match: match, Stamp: &wire.Stamp{Start: start, Nanos: 1}, Echo: c.stamp(),
	})
}

// Guards against a second vote in a term after a crash.
func TestVoteSurvivesCrash(t *testing.T) {
	b := newBench(t)
	qt.Assert(t, b.vote("c1", 5, 1, 1).GetGranted(), qt.IsTrue)
	b.crash()
	qt.Assert(t, b.vote("c2", 5, 9, 4).GetGranted(), qt.IsFalse)
	qt.Assert(t, b.vote("c1", 5, 1, 1).GetGranted(), qt.IsTrue)
	qt.Assert(t, b.vote("c2", 6, 9, 4).GetGranted(), qt.IsTrue)
}

// Guards against the commit of an entry of an earlier term by counting copies: a
// member with a later entry could still win and replace it.
func TestCommitOwnTermOnly(t *testing.T) {
	b := newBench(t)
	b.append(2, 1, 1, 0, nil, 2)
	b.win()
	b.ack("c1", 1, 2)
	qt.Assert(t, b.e.core.commit, qt.Equals, uint64(0))
	b.ack("c1", 1, 3)
	qt.Assert(t, b.e.core.commit, qt.Equals, uint64(3))
}

// Guards against an acknowledgement that a member's later start has not kept.
func TestAcknowledgementOfEarlierStart(t *testing.T) {
	b := newBench(t)
	b.win()
	b.ack("c1", 2, 1)
	b.ack("c1", 1, 2)
	qt.Assert(t, b.e.core.commit, qt.Equals, uint64(0))
	b.ack("c1", 2, 2)
	qt.Assert(t, b.e.core.commit, qt.Equals, uint64(2))
	b.ack("c2", 3, 2)
	b.ack("c2", 4, 1)
	qt.Assert(t, b.e.core.peers["c2"].match, qt.Equals, uint64(1))
}

// Guards against a vote of an instance whose log lost its tail, and against a
// leader's answer to an earlier start that ends this state too soon.
func TestCutLogDoesNotCount(t *testing.T) {
	b := newBench(t)
	b.append(2, 1, 1, 0, nil, 2, 2)
	name := segmentName(1)
	file, err := b.disk.Read(name)
	qt.Assert(t, err, qt.IsNil)
	b.disk.Flip(name, len(file)-1)
	b.crash()
	qt.Assert(t, b.e.core.log.last(), qt.Equals, uint64(1))
	b.crash()
	r := b.vote("c2", 3, 1, 1)
	qt.Assert(t, r.GetGranted() && r.GetCut(), qt.IsTrue)
	early, now := &wire.Stamp{Start: 2, Nanos: 1}, b.e.core.stamp()
	b.append(4, 1, 1, 1, now)
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsTrue, qt.Commentf("commit of an earlier term"))
	b.append(4, 1, 1, 3, early, 2, 4)
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsTrue, qt.Commentf("answer to an earlier start"))
	b.append(4, 3, 4, 3, now)
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsFalse)
}

// Guards against a vote of an instance whose log lost whole records at its end, which it
// cannot see itself: the leader knows what the instance had confirmed.
func TestLostRecordsAreNoticed(t *testing.T) {
	b := newBench(t)
	b.append(2, 1, 1, 0, nil, 2)
	confirmed := func(i uint64) {
		b.step(&wire.AppendRequest{Cluster: "x", From: "c1", To: "c0", Term: 2, PrevIndex: i, PrevTerm: 2, Commit: 2, Confirmed: i})
	}
	confirmed(2)
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsFalse)
	confirmed(5)
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsTrue)
	b.crash()
	qt.Assert(t, b.e.core.meta.GetCut(), qt.IsTrue, qt.Commentf("after a restart"))
	r := b.vote("c2", 3, 5, 2)
	qt.Assert(t, r.GetGranted() && r.GetCut(), qt.IsTrue)
}

// Guards against a leader that does not tell a member what it had confirmed, or that tells it
// what a start before the present one had.
func TestLeaderTellsWhatWasConfirmed(t *testing.T) {
	b := newBench(t)
	b.win()
	b.ack("c1", 1, 1)
	qt.Assert(t, b.confirmed("c1"), qt.Equals, uint64(1))
	b.ack("c1", 2, 0)
	qt.Assert(t, b.confirmed("c1"), qt.Equals, uint64(0))
}

// confirmed returns what the leader's next heartbeat tells a member.
func (b *bench) confirmed(id string) uint64 {
	b.sent = nil
	b.now = b.now.Add(heartbeatInterval)
	b.e.core.tick(b.now)
	qt.Assert(b, b.e.flush(), qt.IsNil)
	for _, m := range b.sent {
		if a, ok := m.body.(*wire.AppendRequest); ok && a.GetTo() == id {
			return a.GetConfirmed()
		}
	}
	b.Fatalf("no heartbeat to %s", id)
	return 0
}

// Guards against a candidate that counts cut logs towards its majority.
func TestCutVotesNeedAll(t *testing.T) {
	b := newBench(t)
	b.now = b.now.Add(2 * maxElection)
	b.e.core.tick(b.now)
	b.step(&wire.VoteReply{Phase: wire.Phase_PHASE_PRE, From: "c1", Term: 1, Asked: 2, Granted: true, Cut: true})
	qt.Assert(t, b.e.core.role, qt.Equals, preCandidate)
	b.step(&wire.VoteReply{Phase: wire.Phase_PHASE_PRE, From: "c2", Term: 1, Asked: 2, Granted: true, Cut: true})
	qt.Assert(t, b.e.core.role, qt.Equals, candidate)
}

// Guards against a log without a leader when only the leaving voter has the
// entries that a majority of the next voters lacks.
func TestLeavingVoterMayLead(t *testing.T) {
	b := newBench(t)
	m := clone(b.e.core.membership)
	m.Members = append(m.Members[1:], &wire.Member{Id: "c3", Address: "127.0.0.1:4", Voter: true})
	b.step(&wire.AppendRequest{
		Cluster: "x", From: "c1", To: "c0", Term: 2, PrevIndex: 1, PrevTerm: 1,
		Entries: []*wire.Entry{{Index: 2, Term: 2, Body: &wire.Entry_Membership{Membership: m}}},
	})
	qt.Assert(t, b.e.core.eligible(), qt.IsTrue)
	b.append(2, 2, 2, 2, nil)
	qt.Assert(t, b.e.core.eligible(), qt.IsFalse)
}

// Guards against a manual recovery that loses entries, and against an instance of
// the old cluster that joins the new one.
func TestReform(t *testing.T) {
	b := newBench(t)
	b.append(2, 1, 1, 0, nil, 2, 2)
	cfg := Config{Name: "c0", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	qt.Assert(t, Reform(b.disk, cfg), qt.IsNil)
	b.open()
	qt.Assert(t, b.e.core.admit(1, "x", "c0"), qt.IsFalse)
	b.now = b.now.Add(2 * maxElection)
	b.e.core.tick(b.now)
	qt.Assert(t, b.e.flush(), qt.IsNil)
	qt.Assert(t, b.e.core.settled(), qt.IsTrue)
	qt.Assert(t, b.e.applied, qt.Equals, uint64(5))
	qt.Assert(t, b.e.core.membership.GetFormer(), qt.HasLen, 2)
	qt.Assert(t, Reform(&disk.Fake{}, cfg), qt.ErrorIs, ErrMember)
}

// Guards against a leader that collects entries without end while no follower
// confirms them.
func TestUncommittedLimit(t *testing.T) {
	b := newBench(t)
	b.win()
	_, err := b.e.core.propose(b.now, make([][]byte, uncommittedLimit))
	qt.Assert(t, err, qt.IsNil)
	_, err = b.e.core.propose(b.now, [][]byte{nil})
	qt.Assert(t, err, qt.ErrorIs, ErrBusy)
}

// Guards against two candidates that refuse each other for good: one with the lower
// id and one with the later log (seed 203387 of TestSchedules).
func TestCandidateWithLaterLogIsNotRefused(t *testing.T) {
	b := newBench(t)
	b.now = b.now.Add(2 * maxElection)
	b.e.core.tick(b.now)
	pre := func(lastTerm uint64) bool {
		return b.step(&wire.VoteRequest{
			Phase: wire.Phase_PHASE_PRE, Cluster: "x", From: "c1", To: "c0", Term: 2, LastIndex: 1, LastTerm: lastTerm,
		}).(*wire.VoteReply).GetGranted()
	}
	qt.Assert(t, b.e.core.role, qt.Equals, preCandidate)
	qt.Assert(t, pre(1), qt.IsFalse)
	qt.Assert(t, pre(2), qt.IsTrue)
	b.now = b.now.Add(heartbeatInterval)
	qt.Assert(t, pre(1), qt.IsTrue)
}

// Guards against an instance that stops because the cluster it joins, while its log
// is empty, has a leader in the same term as the one before (seed 300954 of
// TestSchedules).
func TestClusterChangesWhileEmpty(t *testing.T) {
	b := newBench(t)
	b.disk = &disk.Fake{}
	b.open()
	id := b.e.core.id()
	for _, x := range []string{"x", "y", "z"} {
		r := b.step(&wire.AppendRequest{Cluster: x, From: x, To: id, Term: 2})
		qt.Assert(t, r.(*wire.AppendReply).GetOk(), qt.IsTrue)
	}
	b.step(&wire.AppendRequest{Cluster: "z", From: "z", To: id, Term: 2, Entries: []*wire.Entry{{Index: 1, Term: 2}}})
	qt.Assert(t, b.e.core.admit(1, "x", id), qt.IsFalse)
}

// Guards against a second cluster, created by the machines of the first start after
// each of them lost its disk and was replaced by another machine.
func TestNoSecondCluster(t *testing.T) {
	b := newBench(t)
	b.win()
	b.e.core.membership.Former = []string{"127.0.0.1:9"}
	b.now = b.now.Add(announceInterval)
	b.sent = nil
	b.e.core.tick(b.now)
	qt.Assert(t, b.e.flush(), qt.IsNil)
	m := b.sent[len(b.sent)-1]
	qt.Assert(t, m.to, qt.Equals, netip.MustParseAddrPort("127.0.0.1:9"))

	self := netip.MustParseAddrPort("127.0.0.1:1")
	for _, known := range []bool{false, true} {
		b.disk = &disk.Fake{}
		b.open()
		b.e.core.bootstrap = []netip.AddrPort{self}
		if known {
			qt.Assert(t, b.step(m.body).(*wire.VoteReply).GetKnown(), qt.IsTrue)
		}
		b.now = b.now.Add(2 * maxElection)
		b.e.core.tick(b.now)
		qt.Assert(t, b.e.core.empty(), qt.Equals, known)
	}
}

// Guards against a member that counts as silent since the leadership began, although the
// leader has only just begun to send to it: joining instances were removed again before they
// could answer.
func TestNewMemberIsNotSilent(t *testing.T) {
	c := qt.New(t)
	b := newBench(t)
	x := b.e.core
	x.observe(b.now)
	x.role, x.since, x.peers = leader, b.now, map[string]*peer{}
	x.syncPeers()
	b.now = b.now.Add(time.Minute)
	x.observe(b.now)
	m, err := withLearner(x.membership, &wire.Member{Id: "c3", Address: "127.0.0.1:4", Joining: true})
	c.Assert(err, qt.IsNil)
	x.membership = m
	x.syncPeers()
	heard := x.heardFrom()
	c.Assert(heard["c3"], qt.Equals, b.now)
	c.Assert(heard["c1"], qt.Equals, b.now.Add(-time.Minute))
}
