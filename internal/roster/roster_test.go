package roster_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/roster"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// driver applies commands at rising revisions.
type driver struct {
	*roster.Machine
	revision mangokeel.Revision
	// incarnations has those of the joined targets by handle.
	incarnations map[uint32][]byte
}

func newDriver() *driver { return &driver{Machine: roster.New(), incarnations: map[uint32][]byte{}} }

func (d *driver) apply(cmd *wire.Command) *wire.Result {
	d.revision++
	cmd.Seed = fmt.Appendf(nil, "seed %d", d.revision)
	b, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	var result wire.Result
	if err := proto.Unmarshal(d.Apply(d.revision, b), &result); err != nil {
		panic(err)
	}
	return &result
}

// set proposes a change. items alternates paths and values.
func (d *driver) set(id, team string, base uint64, items ...string) *wire.Outcome {
	c := &wire.Change{Id: id, Team: team, Base: base}
	for i := 0; i < len(items); i += 2 {
		c.Items = append(c.Items, &wire.Item{Path: items[i], Value: items[i+1]})
	}
	return d.apply(&wire.Command{Body: &wire.Command_Change{Change: c}}).GetOutcome()
}

// force sets at the present base under a fresh id.
func (d *driver) force(team string, items ...string) *wire.Outcome {
	_, base := d.Get("/" + team)
	return d.set(fmt.Sprint("force ", d.revision), team, base, items...)
}

func (d *driver) join(host, zone, agent, target, incarnation string) *wire.JoinReply {
	reply := d.apply(&wire.Command{Body: &wire.Command_Join{Join: &wire.JoinRequest{
		Role: wire.Role_ROLE_AGENT, Incarnation: []byte(incarnation), Zone: zone, Service: dispatch, Host: host, Agent: agent, Target: target,
	}}}).GetJoin()
	d.incarnations[reply.GetId()] = []byte(incarnation)
	return reply
}

// enter adds host number i in a zone and returns its handle.
func (d *driver) enter(i int, zone string) uint32 {
	return d.join(fmt.Sprint("host", i), zone, fmt.Sprintf("127.0.0.1:%d", 1000+i), fmt.Sprintf("127.0.0.1:%d", 2000+i), fmt.Sprint(i, d.revision)).GetId()
}

const (
	dispatch = "/sieste/services/dispatch"
	document = "address: 127.0.0.1:8443\nprotocol: http\nzones: [port-louis, plaisance, ebene]\n"
)

// Guards against two operators who both change the same revision, and against a
// resent change that runs twice, also after a restore from a snapshot.
func TestChangeOnce(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	first := d.set("a", "sieste", 0, dispatch, document)
	c.Assert(first.GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
	other := d.set("b", "sieste", 0, dispatch, document)
	c.Assert(other.GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	c.Assert(other.GetRevision(), qt.Equals, first.GetRevision())

	b, err := d.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(d.Restore(d.revision, b), qt.IsNil)
	c.Assert(d.set("a", "sieste", 0, dispatch, document).GetRevision(), qt.Equals, first.GetRevision())
	c.Assert(d.set("b", "sieste", first.GetRevision(), dispatch, document).GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	_, revision := d.Get("/sieste")
	c.Assert(revision, qt.Equals, first.GetRevision())
}

// Guards against a change that is accepted in part.
func TestInvalidIsRefusedWhole(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		path, value, want string
		code              wire.Code
	}{
		{"/sieste/services/manuals", document, "address: 127.0.0.1:8443 is the address of " + dispatch, wire.Code_CODE_INVALID},
		{"/sieste/services/manuals", "adress: 127.0.0.1:1\n", "(?s).*adress.*", wire.Code_CODE_INVALID},
		{"/sieste/zones/ebene", "state: gone\n", ".*state.*", wire.Code_CODE_INVALID},
		{"/sieste/other/x", "a: b\n", "not a path.*", wire.Code_CODE_INVALID},
		{"/cnoc/services/desk", "address: 127.0.0.1:1\n", "outside.*", wire.Code_CODE_DENIED},
	} {
		d := newDriver()
		o := d.set("a", "sieste", 0, dispatch, document, x.path, x.value)
		c.Assert(o.GetCode(), qt.Equals, x.code)
		c.Assert(o.GetReason(), qt.Matches, x.want)
		items, revision := d.Get("/sieste")
		c.Assert(items, qt.HasLen, 0)
		c.Assert(revision, qt.Equals, uint64(0))
	}
}

// Guards against two agents that serve one target, and against a restarted agent
// that keeps the floors of its old handle.
func TestTwoAgentsOneTarget(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.force("sieste", dispatch, document)
	first := d.join("h", "ebene", "127.0.0.1:1", "127.0.0.1:9", "i1")
	c.Assert(first.GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
	c.Assert(d.join("h", "ebene", "127.0.0.1:2", "127.0.0.1:9", "i2").GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	c.Assert(d.join("h", "ebene", "127.0.0.1:1", "127.0.0.1:9", "i1").GetId(), qt.Equals, first.GetId())
	again := d.join("h", "ebene", "127.0.0.1:1", "127.0.0.1:9", "i3")
	c.Assert(again.GetId() > first.GetId(), qt.IsTrue)
	c.Assert(d.Target(mangokeel.Handle(first.GetId())), qt.IsNil)
}

// Guards against the end of a drain that returns a departing target to service,
// also after a restore.
func TestUndrainLeavesAnnounced(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.force("sieste", dispatch, document)
	departing := mangokeel.Handle(d.enter(1, "ebene"))
	drained := mangokeel.Handle(d.enter(2, "ebene"))
	d.apply(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
		Role: wire.Role_ROLE_AGENT, Id: uint32(departing), Incarnation: d.incarnations[uint32(departing)],
	}}})
	d.force("sieste", "/sieste/drains/host1", "reason: x\n", "/sieste/drains/host2", "reason: x\n")
	c.Assert(d.Target(drained).GetState(), qt.Equals, wire.State_STATE_LEAVING)
	b, err := d.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(d.Restore(d.revision, b), qt.IsNil)
	d.force("sieste", "/sieste/drains/host1", "", "/sieste/drains/host2", "")
	c.Assert(d.Target(drained).GetState(), qt.Equals, wire.State_STATE_SERVING)
	c.Assert(d.Target(departing).GetState(), qt.Equals, wire.State_STATE_LEAVING)
}

// Guards against a returning zone whose targets continue flows that callers were
// told had ended.
func TestReturningZoneStartsAnew(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.force("sieste", dispatch, document)
	away, stays := d.enter(1, "ebene"), d.enter(2, "plaisance")
	d.force("sieste", "/sieste/zones/ebene", "state: out\n")
	c.Assert(d.Service(1).GetZones(), qt.DeepEquals, []string{"plaisance", "port-louis"})
	c.Assert(d.Target(mangokeel.Handle(away)), qt.Not(qt.IsNil))
	d.force("sieste", "/sieste/zones/ebene", "")
	c.Assert(d.Target(mangokeel.Handle(away)), qt.IsNil)
	c.Assert(d.Target(mangokeel.Handle(stays)), qt.Not(qt.IsNil))
}

// Guards against many updates, or a step back, for a node that missed changes.
func TestManyMissedChangesCostOneUpdate(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.force("sieste", dispatch, document)
	d.enter(1, "ebene")
	var v view.View
	v.Apply(d.Update(0, wire.Role_ROLE_BALANCER, 0))
	for i := range 500 {
		d.enter(2+i%5, "ebene")
	}
	u := d.Update(v.State().Revision, wire.Role_ROLE_BALANCER, 0)
	c.Assert(u.GetWhole(), qt.IsFalse)
	c.Assert(v.Apply(u), qt.Equals, view.Applied)
	c.Assert(v.State().Revision, qt.Equals, d.revision)
	c.Assert(v.State().Service(1).Targets, qt.HasLen, 6)
	c.Assert(v.Apply(u), qt.Equals, view.Unchanged)
}

// Guards against a claim home that changes in one step while it is in use, and
// against a step from an old epoch.
func TestRehomeIsJoint(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.force("sieste", dispatch, document)
	rehome := func(epoch uint64, done bool, next ...uint32) *wire.Outcome {
		return d.apply(&wire.Command{Body: &wire.Command_Rehome{Rehome: &wire.Rehome{Service: 1, Epoch: epoch, Next: next, Done: done}}}).GetOutcome()
	}
	first := rehome(0, false, 1, 2, 3)
	c.Assert(d.Service(1).GetHome().GetNow(), qt.DeepEquals, []uint32{1, 2, 3})
	c.Assert(rehome(0, false, 4, 5, 6).GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	joint := rehome(first.GetRevision(), false, 2, 3, 4)
	c.Assert(d.Service(1).GetHome().GetNow(), qt.DeepEquals, []uint32{1, 2, 3})
	c.Assert(d.Service(1).GetHome().GetNext(), qt.DeepEquals, []uint32{2, 3, 4})
	again := rehome(joint.GetRevision(), false, 3, 4, 5)
	c.Assert(d.Service(1).GetHome().GetNow(), qt.DeepEquals, []uint32{1, 2, 3})
	c.Assert(rehome(joint.GetRevision(), true).GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	rehome(again.GetRevision(), true)
	c.Assert(d.Service(1).GetHome().GetNow(), qt.DeepEquals, []uint32{3, 4, 5})
	c.Assert(d.Service(1).GetHome().GetNext(), qt.HasLen, 0)
}

// Guards against a stopping balancer that is told that it is unknown, joins again,
// and forwards with a view that no longer changes.
func TestLeavingBalancerStays(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	id := d.apply(&wire.Command{Body: &wire.Command_Join{Join: &wire.JoinRequest{
		Role: wire.Role_ROLE_BALANCER, Incarnation: []byte("one"), Zone: "ebene", Data: "127.0.0.1:7100",
	}}}).GetJoin().GetId()
	leave := func(gone bool) {
		d.apply(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{
			Role: wire.Role_ROLE_BALANCER, Id: id, Incarnation: []byte("one"), Gone: gone,
		}}})
	}
	balancers := func() int {
		var v view.View
		v.Apply(d.Update(0, wire.Role_ROLE_BALANCER, 0))
		return len(v.State().Balancers())
	}
	leave(false)
	c.Assert(balancers(), qt.Equals, 1)
	leave(true)
	c.Assert(balancers(), qt.Equals, 0)
}

// Guards against a change of the number of buckets, after which nodes would look
// for flows in other buckets than those they were created in.
func TestBucketsAreFixed(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	doc := "address: 127.0.0.1:80\nprotocol: http\nzones: [ebene]\nbuckets: "
	c.Assert(d.force("sieste", dispatch, doc+"300").GetCode(), qt.Equals, wire.Code_CODE_INVALID)
	c.Assert(d.force("sieste", dispatch, doc+"2048").GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
	o := d.force("sieste", dispatch, doc+"4096")
	c.Assert(o.GetCode(), qt.Equals, wire.Code_CODE_INVALID)
	c.Assert(o.GetReason(), qt.Equals, "buckets: the service has 2048 for life")
}
