package control_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/control"
	"mangokeel/internal/disk"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/loopback"
	"mangokeel/internal/replica"
	"mangokeel/internal/roster"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

// trio is three instances over the replicated log, real disks and loopback.
type trio struct {
	c       *qt.C
	dir     string
	addrs   []netip.AddrPort
	members []replica.Member
	running []*running
	client  *jsonrpc.Client
}

// running is one started instance.
type running struct {
	node    *replica.Node
	control *control.Control
	server  *jsonrpc.Server
	client  *jsonrpc.Client
	machine *roster.Machine
}

func newTrio(c *qt.C) *trio {
	x := &trio{c: c, dir: c.TempDir(), running: make([]*running, 3), client: jsonrpc.NewClient()}
	for i := range 3 {
		x.addrs = append(x.addrs, loopback.Free(c))
		x.members = append(x.members, replica.Member{Name: fmt.Sprint("control-", i), Address: x.addrs[i]})
	}
	for i := range 3 {
		x.start(i)
	}
	c.Cleanup(func() {
		for i := range 3 {
			x.stop(i)
		}
		x.client.Close()
	})
	return x
}

func (x *trio) start(i int) {
	folder, err := disk.Open(filepath.Join(x.dir, fmt.Sprint(i)))
	x.c.Assert(err, qt.IsNil)
	r := &running{client: jsonrpc.NewClient(), machine: roster.New()}
	r.node, err = replica.New(replica.Config{Name: x.members[i].Name, Address: x.addrs[i], Members: x.members},
		r.machine, folder, r.client, timer.Real{})
	x.c.Assert(err, qt.IsNil)
	hash := sha256.Sum256([]byte(operatorKey))
	cfg := &settings.Control{Name: x.members[i].Name, Address: x.addrs[i], Operator: hex.EncodeToString(hash[:])}
	r.control = control.New(cfg, r.machine, r.node, r.client, timer.Real{}, control.WithMembers(r.node))
	methods := r.control.Methods()
	maps.Copy(methods, r.node.Methods())
	r.server, err = jsonrpc.Listen(x.addrs[i], methods)
	x.c.Assert(err, qt.IsNil)
	x.running[i] = r
}

func (x *trio) stop(i int) {
	if r := x.running[i]; r != nil {
		r.server.Close()
		r.control.Close()
		r.node.Close()
		r.client.Close()
		x.running[i] = nil
	}
}

// leader waits for a leader and returns its number.
func (x *trio) leader() int {
	for range 100 {
		for i, r := range x.running {
			if r != nil && r.node.Status().Leading {
				return i
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.c.Fatal("no leader within 5 s")
	return 0
}

// set sends a change again while the instance has no confirmation by a majority,
// as right after an election.
func (x *trio) set(i int, id string, base uint64, path, value string) *wire.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req := &wire.SetRequest{Key: operatorKey, Change: &wire.Change{
		Id: id, Team: roster.TeamOf(path), Base: base, Items: []*wire.Item{{Path: path, Value: value}},
	}}
	for {
		var resp wire.SetReply
		x.c.Assert(x.client.Call(ctx, x.addrs[i], "set", req, &resp), qt.IsNil)
		if resp.GetOutcome().GetCode() != wire.Code_CODE_STALE {
			return resp.GetOutcome()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a change that runs twice or is lost when the leader dies, and
// against more than 3 s without a leader.
func TestLeaderDies(t *testing.T) {
	c := qt.New(t)
	x := newTrio(c)
	first := x.set(x.leader(), "a", 0, dispatch, document)
	c.Assert(first.GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
	dead := x.leader()
	x.stop(dead)
	start := time.Now()
	again := x.set((dead+1)%3, "a", 0, dispatch, document)
	c.Assert(again.String(), qt.Equals, first.String())
	took := time.Since(start)
	c.Logf("outcome of a resent change %v after the leader stopped", took)
	c.Assert(took < 3*time.Second, qt.IsTrue)
	c.Assert(x.set((dead+2)%3, "b", 0, dispatch, document).GetCode(), qt.Equals, wire.Code_CODE_CONFLICT)
	x.start(dead)
	c.Assert(x.set(x.leader(), "c", first.GetRevision(), "/sieste/zones/ebene", "state: out\n").GetCode(), qt.Equals, wire.Code_CODE_ACCEPTED)
	for i := range x.running {
		x.caughtUp(i)
	}
}

// caughtUp waits until an instance has applied the change of TestLeaderDies.
func (x *trio) caughtUp(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m := x.running[i].machine
	for {
		// The channel is taken before the state is read, so that no change is missed.
		changed := m.Changed()
		if s := m.Service(1); s != nil && len(s.GetZones()) == 2 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			x.c.Fatal("a member has not caught up within 5 s")
		}
	}
}

// counting is a Remote that counts the bytes of messages.
type counting struct {
	mangokeel.Remote
	bytes atomic.Int64
}

func (r *counting) Call(ctx context.Context, addr netip.AddrPort, method string, req, resp proto.Message) error {
	err := r.Remote.Call(ctx, addr, method, req, resp)
	for _, m := range []proto.Message{req, resp} {
		b, _ := protojson.Marshal(m)
		// 50 bytes stand for the frame of JSON-RPC.
		r.bytes.Add(int64(len(b) + 50))
	}
	return err
}

// follower is a node with a view.
type follower struct {
	view.View
	*view.Follower
	counting
}

func (x *trio) follow(join *wire.JoinRequest) *follower {
	f := &follower{counting: counting{Remote: jsonrpc.NewClient()}}
	var id atomic.Uint32
	f.Follower = view.NewFollower(&f.View, &f.counting, x.addrs, join, view.WithJoined(id.Store), view.WithReport(func() view.Report {
		return f.report(id.Load())
	}))
	x.c.Cleanup(f.Close)
	return f
}

// report says that an agent without flows bears its full share.
func (f *follower) report(id uint32) view.Report {
	r := view.Report{Load: &wire.Load{Weight: 256}}
	svc := f.State().Service(1)
	if svc == nil || svc.Targets[mangokeel.Handle(id)] == nil {
		return r
	}
	if held := svc.Targets[mangokeel.Handle(id)].Held; !held.Empty() {
		r.Release = &wire.Release{Handle: id, Epoch: uint64(svc.Epoch), Buckets: held}
	}
	return r
}

// nodes starts a balancer and n agents and waits until all have joined.
func (x *trio) nodes(n int) (*follower, []*follower) {
	b := x.follow(&wire.JoinRequest{Role: wire.Role_ROLE_BALANCER, Zone: "ebene", Data: "127.0.0.1:900"})
	var agents []*follower
	for i := range n {
		agents = append(agents, x.follow(&wire.JoinRequest{
			Role: wire.Role_ROLE_AGENT, Zone: zoneNames[i%3], Service: dispatch, Host: fmt.Sprint("host", i),
			Agent: fmt.Sprint("127.0.0.1:", 1000+i), Target: fmt.Sprint("127.0.0.1:", 2000+i),
		}))
	}
	for b.State().Service(1) == nil || len(b.State().Service(1).Targets) < n {
		time.Sleep(10 * time.Millisecond)
	}
	return b, agents
}

var zoneNames = []string{"port-louis", "plaisance", "ebene"}

// Guards against a change that takes more than 2 s until it is in force on every
// node, and against control traffic above 2 KB/s for a balancer, idle and while
// all targets of a service are drained one by one.
func TestInForceAndTraffic(t *testing.T) {
	c := qt.New(t)
	x := newTrio(c)
	x.set(x.leader(), "a", 0, dispatch, document)
	b, agents := x.nodes(7)
	rate := func(during func()) float64 {
		start, before := time.Now(), b.bytes.Load()
		during()
		return float64(b.bytes.Load()-before) / time.Since(start).Seconds()
	}
	time.Sleep(3 * time.Second)
	idle := rate(func() { time.Sleep(4 * time.Second) })
	var slowest time.Duration
	roll := rate(func() {
		for i := range agents {
			slowest = max(slowest, x.drain(i, b, agents))
			time.Sleep(2 * time.Second)
		}
	})
	c.Logf("slowest change in force after %v; balancer traffic %.0f B/s idle, %.0f B/s during a roll", slowest, idle, roll)
	c.Assert(slowest < 2*time.Second, qt.IsTrue)
	c.Assert(idle < 2048, qt.IsTrue)
	c.Assert(roll < 2048, qt.IsTrue)
}

// drain drains a host and returns how long the change took to be in force.
func (x *trio) drain(i int, b *follower, agents []*follower) time.Duration {
	_, base := x.running[x.leader()].machine.Get("/sieste")
	start := time.Now()
	r := x.set(i%3, fmt.Sprint("drain", i), base, fmt.Sprint("/sieste/drains/host", i), "reason: roll\n").GetRevision()
	for _, f := range append(agents, b) {
		for f.State().Revision < mangokeel.Revision(r) {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
