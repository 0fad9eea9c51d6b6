package agent_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/agent"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
	"mangokeel/standin"
)

const (
	service = mangokeel.ServiceID(3)
	buckets = 8
)

var (
	all   = []byte{0xff}
	local = netip.MustParseAddrPort("127.0.0.1:0")
)

// control is a control instance and, through route, what its balancers know.
type control struct {
	// cold counts the calls of SetCold.
	cold atomic.Int32

	mu      sync.Mutex
	state   *wire.Update
	view    view.View
	leaves  []bool
	weights map[uint32]uint32
	// frozen are the handles that get no updates.
	frozen map[uint32]bool
}

func newControl(protocol wire.Protocol) *control {
	return &control{weights: map[uint32]uint32{}, frozen: map[uint32]bool{}, state: &wire.Update{Whole: true, NextHandle: 1, Services: []*wire.Service{{
		Id: uint32(service), Buckets: buckets, Zones: []string{"plaisance"}, Protocol: protocol, Reset_: []byte("reset"),
		Secrets: []*wire.Secret{{Number: 1, Key: make([]byte, cid.KeyLen)}},
	}}}}
}

// change edits the state and makes it a new revision and epoch.
func (c *control) change(fn func(*wire.Update)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.edit(fn)
}

func (c *control) edit(fn func(*wire.Update)) {
	u := proto.Clone(c.state).(*wire.Update)
	fn(u)
	u.Revision++
	u.Services[0].Epoch = u.Revision
	c.state = u
	c.view.Apply(u)
}

func targetOf(u *wire.Update, h uint32) *wire.Target {
	i := slices.IndexFunc(u.Targets, func(t *wire.Target) bool { return t.Handle == h })
	if i < 0 {
		return &wire.Target{}
	}
	return u.Targets[i]
}

func without(u *wire.Update, h uint32) {
	u.Targets = slices.DeleteFunc(u.Targets, func(t *wire.Target) bool { return t.Handle == h })
}

// Call implements mangokeel.Remote.
func (c *control) Call(_ context.Context, _ netip.AddrPort, _ string, req, resp proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r := req.(type) {
	case *wire.JoinRequest:
		proto.Merge(resp, c.join(r))
	case *wire.LeaveRequest:
		c.leaves = append(c.leaves, r.Gone)
		c.edit(func(u *wire.Update) {
			t := targetOf(u, r.Id)
			t.State, t.Held = wire.State_STATE_LEAVING, all
			if r.Gone {
				without(u, r.Id)
			}
		})
		proto.Merge(resp, &wire.LeaveReply{Code: wire.Code_CODE_ACCEPTED})
	case *wire.SyncRequest:
		proto.Merge(resp, c.sync(r))
	}
	return nil
}

func (c *control) join(r *wire.JoinRequest) *wire.JoinReply {
	h := c.state.NextHandle
	c.edit(func(u *wire.Update) {
		u.NextHandle++
		// Each target may hold flows of the buckets that move to the new one.
		for _, t := range u.Targets {
			t.Held = all
		}
		u.Targets = append(u.Targets, &wire.Target{
			Handle: h, Service: uint32(service), Zone: r.Zone, Agent: r.Agent, Weight: 256, State: wire.State_STATE_SERVING,
		})
	})
	return &wire.JoinReply{Code: wire.Code_CODE_ACCEPTED, Id: h, Revision: c.state.Revision}
}

func (c *control) sync(r *wire.SyncRequest) *wire.SyncReply {
	if targetOf(c.state, r.Id).Handle == 0 {
		return &wire.SyncReply{Code: wire.Code_CODE_UNKNOWN}
	}
	c.weights[r.Id] = r.Load.GetWeight()
	if t := targetOf(c.state, r.Id); r.Release != nil && r.Release.Epoch == c.state.Services[0].Epoch {
		held := bucket.Bitmap(t.Held)
		c.edit(func(u *wire.Update) {
			for b := range bucket.Bitmap(r.Release.Buckets).All {
				held = bucket.Bitmap(slices.Clone(held)).Without(b)
			}
			targetOf(u, r.Id).Held = held
		})
	}
	reply := &wire.SyncReply{Code: wire.Code_CODE_ACCEPTED}
	if r.Revision < c.state.Revision && !c.frozen[r.Id] {
		reply.Update = c.state
		return reply
	}
	c.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	return reply
}

// fabric is a service address whose packets go to balancers in turn.
type fabric struct {
	control *control
	sock    *net.UDPConn
	data    []*net.UDPConn
	dead    []atomic.Bool
	replies []atomic.Int64
	// lag is the state that the second balancer uses in place of the present one.
	lag atomic.Pointer[view.State]
	// mute is the handle of a target whose replies are lost.
	mute atomic.Uint32
}

func newFabric(t *testing.T, c *control, n int) *fabric {
	f := &fabric{control: c, dead: make([]atomic.Bool, n), replies: make([]atomic.Int64, n)}
	open := func() *net.UDPConn {
		s, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { s.Close() })
		return s
	}
	f.sock = open()
	for i := range n {
		d := open()
		f.data = append(f.data, d)
		c.change(func(u *wire.Update) {
			u.Balancers = append(u.Balancers, &wire.Balancer{Id: uint32(i + 1), Data: d.LocalAddr().String()})
		})
	}
	for i := range n {
		go f.back(i)
	}
	go f.forward()
	return f
}

func (f *fabric) addr() string { return f.sock.LocalAddr().String() }

// forward hands each packet to the next live balancer, which sends it to an agent.
func (f *fabric) forward() {
	b := make([]byte, 2048)
	for turn := 0; ; turn++ {
		n, caller, err := f.sock.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		for f.dead[turn%len(f.data)].Load() {
			turn++
		}
		s := f.control.view.State()
		if old := f.lag.Load(); old != nil && turn%len(f.data) == 1 {
			s = old
		}
		f.balance(s, f.data[turn%len(f.data)], caller, b[:n])
	}
}

// back sends the replies at one balancer to the callers.
func (f *fabric) back(i int) {
	b := make([]byte, 2048)
	for {
		n, _, err := f.data[i].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		var h wire.Header
		p, err := wire.SplitPacket(b[:n], &h)
		if err == nil && h.Kind == wire.Kind_KIND_REPLY && !f.dead[i].Load() && h.Handle != f.mute.Load() {
			f.replies[i].Add(1)
			_, _ = f.sock.WriteToUDPAddrPort(p, h.Caller())
		}
	}
}

func (f *fabric) balance(state *view.State, data *net.UDPConn, caller netip.AddrPort, b []byte) {
	s := state.Service(service)
	h := &wire.Header{Service: uint32(service), Epoch: uint64(s.Epoch), Bucket: bucket.Index(caller, service, buckets)}
	h.SetCaller(caller)
	h.SetVia(data.LocalAddr().(*net.UDPAddr).AddrPort())
	to := s.Owner(h.Bucket)
	named, ok := s.Keys.Decode(service, cid.FromPacket(b))
	switch {
	case ok && named >= state.NextHandle:
		h.Kind = wire.Kind_KIND_RELAY
	case ok && s.Targets[named] != nil && s.Targets[named].Open:
		h.Kind, to = wire.Kind_KIND_DELIVER, s.Targets[named]
	case ok:
		h.Kind = wire.Kind_KIND_RESET
	default:
		h.Kind = wire.Kind_KIND_FIND
		s.Chain(h.Bucket, func(t *view.Target) bool {
			h.Chain = append(h.Chain, wire.NewHop(uint32(t.Handle), t.Agent))
			return true
		})
	}
	if to == nil {
		return
	}
	h.Handle = uint32(to.Handle)
	if p, err := wire.AppendPacket(nil, h, b); err == nil {
		_, _ = data.WriteToUDPAddrPort(p, to.Agent)
	}
}

// host runs requests without limits.
type host struct {
	http.Handler
	ctl *control
}

func (host) Update(*view.Service, mangokeel.Handle) {}
func (host) Leave()                                 {}

// SetCold implements agent.Target.
func (h host) SetCold()       { h.ctl.cold.Add(1) }
func (host) Load() *wire.Load { return &wire.Load{Weight: 256} }
func (host) Running() int     { return 0 }
func (host) Close()           {}

// newAgent starts an agent and waits until it has its first view.
func newAgent(t *testing.T, c *control, target netip.AddrPort, h http.Handler) *agent.Agent {
	dir := t.TempDir()
	qt.Assert(t, standin.WriteCert(dir), qt.IsNil)
	cfg := settings.Agent{
		Name: "host", Zone: "plaisance", Service: "/sieste/services/dispatch", Address: local, Target: target,
		Control: []netip.AddrPort{local}, Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
	}
	a, err := agent.New(cfg, c, host{h, c})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		s := a.Status()
		qt.Check(t, s.Counters.Violations, qt.Equals, uint64(0))
		a.Close()
	})
	eventually(t, "first view", func() bool { return a.Status().Service != 0 })
	return a
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// client returns an HTTP/3 client with a connection of its own.
func client(t *testing.T) *http.Client {
	tr := &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		QUICConfig:      &quic.Config{KeepAlivePeriod: 100 * time.Millisecond, MaxIdleTimeout: 20 * time.Second},
	}
	t.Cleanup(func() { tr.Close() })
	return &http.Client{Transport: tr}
}

// lines is a handler that sends numbered lines with its name.
func lines(name string, n int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range n {
			fmt.Fprintf(w, "%s %d\n", name, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	})
}
