package fabric_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/fabric"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

// fakeControl is an in-memory control instance that serves one update to all nodes.
type fakeControl struct {
	mu     sync.Mutex
	update *wire.Update
	// leaveCalls holds the gone field of each leave call.
	leaveCalls []bool
}

// Call implements mangokeel.Remote.
func (c *fakeControl) Call(ctx context.Context, _ netip.AddrPort, _ string, req, resp proto.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r := resp.(type) {
	case *wire.JoinReply:
		r.Code, r.Id = wire.Code_CODE_ACCEPTED, 9
	case *wire.SyncReply:
		r.Code = wire.Code_CODE_ACCEPTED
		if req.(*wire.SyncRequest).GetRevision() < c.update.GetRevision() {
			r.Update = proto.Clone(c.update).(*wire.Update)
		} else {
			c.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			c.mu.Lock()
		}
	case *wire.LeaveReply:
		r.Code = wire.Code_CODE_ACCEPTED
		c.leaveCalls = append(c.leaveCalls, req.(*wire.LeaveRequest).GetGone())
	}
	return ctx.Err()
}

// change modifies the served update and increments its revision.
func (c *fakeControl) change(fn func(u *wire.Update)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := proto.Clone(c.update).(*wire.Update)
	u.Revision++
	fn(u)
	c.update = u
}

// echoAgent is an agent that echoes packets and TCP connections on one address and
// records the headers it receives.
type echoAgent struct {
	packets *net.UDPConn
	streams *net.TCPListener
	headers chan *wire.Header
}

func (a *echoAgent) addr() netip.AddrPort { return a.packets.LocalAddr().(*net.UDPAddr).AddrPort() }

// randomLoopback returns a random loopback address, so that the ephemeral port of
// another connection cannot collide with the port of a UDP and TCP socket pair.
func randomLoopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
}

func startAgent(t testing.TB) *echoAgent {
	p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.LocalAddr().(*net.UDPAddr).AddrPort()))
	qt.Assert(t, err, qt.IsNil)
	a := &echoAgent{packets: p, streams: l, headers: make(chan *wire.Header, 1000)}
	t.Cleanup(func() { p.Close(); l.Close() })
	go a.echoPackets()
	go a.echoStreams()
	return a
}

func (a *echoAgent) echoPackets() {
	b := make([]byte, 1<<16)
	for {
		n, _, err := a.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		h := &wire.Header{}
		payload, err := wire.SplitPacket(b[:n], h)
		if err != nil {
			continue
		}
		select {
		case a.headers <- proto.Clone(h).(*wire.Header):
		default:
		}
		h.Kind = wire.Kind_KIND_REPLY
		out, _ := wire.AppendPacket(nil, h, payload)
		_, _ = a.packets.WriteToUDPAddrPort(out, h.Via())
	}
}

func (a *echoAgent) echoStreams() {
	for {
		c, err := a.streams.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var size [2]byte
			_, _ = io.ReadFull(c, size[:])
			header := make([]byte, int(size[0])<<8|int(size[1]))
			_, _ = io.ReadFull(c, header)
			h := &wire.Header{}
			if proto.Unmarshal(header, h) != nil || h.GetKind() != wire.Kind_KIND_STREAM {
				return
			}
			a.headers <- h
			_, _ = io.Copy(c, c)
			_ = c.CloseWrite()
		}()
	}
}

// testBalancer is a running balancer with its fake control instance and agents.
type testBalancer struct {
	*fabric.Balancer
	control   *fakeControl
	agents    []*echoAgent
	service   netip.AddrPort
	reg       *prometheus.Registry
	runResult chan error
}

// startBalancer runs a balancer with one UDP service that has n echoing agents.
func startBalancer(t testing.TB, n int, opts ...fabric.Option) *testBalancer {
	var agents []*echoAgent
	var addrs []netip.AddrPort
	for range n {
		a := startAgent(t)
		agents, addrs = append(agents, a), append(addrs, a.addr())
	}
	bal := startBalancerFor(t, addrs, opts...)
	bal.agents = agents
	return bal
}

// startBalancerFor runs a balancer with one UDP service that has agents at the given
// addresses. Their handles are numbered from 1.
func startBalancerFor(t testing.TB, agents []netip.AddrPort, opts ...fabric.Option) *testBalancer {
	bal := &testBalancer{reg: prometheus.NewRegistry(), runResult: make(chan error, 1), service: netip.AddrPortFrom(randomLoopback(), 17443)}
	u := &wire.Update{Whole: true, Revision: 1, NextHandle: nextHandle}
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Address = bal.service.String()
	u.Services = []*wire.Service{svc}
	for i, a := range agents {
		tgt := target(uint32(i+1), 1, "plaisance")
		tgt.Agent = a.String()
		u.Targets = append(u.Targets, tgt)
	}
	bal.control = &fakeControl{update: u}
	cfg := settings.Balancer{Name: "b", Zone: "plaisance", Address: bal.service.Addr(), Data: netip.AddrPortFrom(bal.service.Addr(), 0), Control: []netip.AddrPort{{}}}
	opts = append([]fabric.Option{fabric.WithRegisterer(bal.reg), fabric.WithGracePeriod(0), fabric.WithShutdownDelay(100 * time.Millisecond)}, opts...)
	var err error
	bal.Balancer, err = fabric.New(cfg, bal.control, opts...)
	qt.Assert(t, err, qt.IsNil)
	go func() { bal.runResult <- bal.Run() }()
	t.Cleanup(bal.Stop)
	eventually(t, func() bool { return bal.metricSum("mangokeel_balancer_services") == 1 })
	return bal
}

// metricSum returns the sum of a metric over all its labels.
func (bal *testBalancer) metricSum(name string) float64 {
	families, _ := bal.reg.Gather()
	var sum float64
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// eventually waits up to 5 s for fn to return true.
func eventually(t testing.TB, fn func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !fn(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 5 s")
		}
	}
}

func (bal *testBalancer) dial(t testing.TB, network string) net.Conn {
	c, err := net.Dial(network, bal.service.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return c
}

// Guards against lost replies, against crashes or outages after malformed datagrams,
// unknown services and oversized packets, and against replies that a sender other
// than the target's agent sends for a target.
func TestPacketsAndGarbage(t *testing.T) {
	c := qt.New(t)
	bal := startBalancer(t, 3)
	conn := bal.dial(t, "udp")
	echo := func(sent []byte) {
		_, err := conn.Write(sent)
		c.Assert(err, qt.IsNil)
		b := make([]byte, 1<<16)
		n, err := conn.Read(b)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(b[:n], sent), qt.IsTrue)
	}
	echo([]byte("stock?"))
	_, err := conn.Write(make([]byte, fabric.MaxPacketSize+1))
	c.Assert(err, qt.IsNil)
	raw, err := net.Dial("udp", bal.Dump().DataAddress.String())
	c.Assert(err, qt.IsNil)
	defer raw.Close()
	reply := func(h *wire.Header) []byte {
		b, err := wire.AppendPacket(nil, h, []byte("x"))
		c.Assert(err, qt.IsNil)
		return b
	}
	for _, b := range [][]byte{
		{},
		{1},
		{0xff, 0xff, 1},
		{0, 3, 0xff, 0xff, 0xff},
		[]byte("not a packet"),
		reply(&wire.Header{Kind: wire.Kind_KIND_FIND, Service: 1, CallerPort: 5}),
		reply(&wire.Header{Kind: wire.Kind_KIND_REPLY, Service: 1}),
		reply(&wire.Header{Kind: wire.Kind_KIND_REPLY, Service: 1, CallerPort: 1 << 20}),
		reply(&wire.Header{Kind: wire.Kind_KIND_REPLY, Service: 77, CallerPort: 5}),
		reply(&wire.Header{Kind: wire.Kind_KIND_REPLY, Service: 1, CallerPort: 5, Handle: 1}),
		reply(&wire.Header{Kind: wire.Kind_KIND_REPLY, Service: 1, CallerPort: 5, Handle: 50}),
	} {
		_, err := raw.Write(b)
		c.Assert(err, qt.IsNil)
	}
	eventually(t, func() bool { return bal.metricSum("mangokeel_balancer_dropped_total") == 12 })
	echo([]byte("stock?"))
	echo(make([]byte, fabric.MaxPacketSize))
	c.Assert(bal.metricSum("mangokeel_invariant_violations_total"), qt.Equals, 0.0)
	_, err = json.Marshal(bal.Dump())
	c.Assert(err, qt.IsNil)
}

// Guards against losing the rest of a response when the caller half-closes the
// connection, and against refusing a connection because an agent is down.
func TestStreamsTryNextTarget(t *testing.T) {
	c := qt.New(t)
	bal := startBalancer(t, 3)
	bal.agents[0].streams.Close()
	bal.agents[1].streams.Close()
	for range 8 {
		conn := bal.dial(t, "tcp").(*net.TCPConn)
		sent := bytes.Repeat([]byte("fleece"), 50_000)
		go func() {
			_, _ = conn.Write(sent)
			_ = conn.CloseWrite()
		}()
		got, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, sent), qt.IsTrue)
		h := <-bal.agents[2].headers
		c.Assert(h.GetHandle(), qt.Equals, uint32(3))
		c.Assert(h.Caller().String(), qt.Equals, conn.LocalAddr().String())
	}
	c.Assert(bal.metricSum("mangokeel_balancer_stream_redials_total") > 0, qt.IsTrue)
}

// Guards against packets to a zone out of service (I4), including those of existing
// connections, and against sockets that stay open after their service is removed.
func TestZoneAndServiceGo(t *testing.T) {
	c := qt.New(t)
	bal := startBalancer(t, 2)
	bal.control.change(func(u *wire.Update) {
		u.Targets[1].Zone = "ebene"
		u.Services[0].Zones = []string{"plaisance", "ebene"}
	})
	eventually(t, func() bool { return bal.Dump().Revision == 2 })
	var conns []net.Conn
	for range 16 {
		conn := bal.dial(t, "tcp")
		_, err := conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 1))
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	bal.control.change(func(u *wire.Update) { u.Services[0].Zones = []string{"plaisance"} })
	kept := len(bal.agents[0].headers)
	c.Assert(kept > 0 && kept < len(conns), qt.IsTrue, qt.Commentf("kept %d", kept))
	eventually(t, func() bool { return bal.Dump().Connections == kept })
	for range 64 {
		_, err := bal.dial(t, "udp").Write([]byte("x"))
		c.Assert(err, qt.IsNil)
	}
	eventually(t, func() bool { return bal.metricSum("mangokeel_balancer_packets_total") == 64 })
	c.Assert(len(bal.agents[1].headers), qt.Equals, len(conns)-kept)
	bal.control.change(func(u *wire.Update) { u.Services, u.Targets = nil, nil })
	eventually(t, func() bool { return bal.Dump().Connections == 0 })
	l, err := net.Listen("tcp", bal.service.String())
	c.Assert(err, qt.IsNil)
	l.Close()
}

// Guards against a service that stays closed after its address was temporarily in
// use, and against sockets that stay open after a service's address changed.
func TestSocketsFollowAddress(t *testing.T) {
	c := qt.New(t)
	var tries atomic.Int32
	bal := startBalancer(t, 1, fabric.WithPacketListener(func(a netip.AddrPort) (mangokeel.Fabric, error) {
		if tries.Add(1) < 3 {
			return nil, errors.New("address in use")
		}
		return fabric.ListenPackets(a)
	}))
	c.Assert(bal.metricSum("mangokeel_balancer_bind_failures_total"), qt.Equals, 2.0)
	old := bal.service
	bal.service = netip.AddrPortFrom(old.Addr(), old.Port()+1)
	bal.control.change(func(u *wire.Update) { u.Services[0].Address = bal.service.String() })
	eventually(t, func() bool {
		_, err := net.Dial("tcp", old.String())
		return err != nil
	})
	// The old sockets close before the new ones open.
	eventually(t, func() bool {
		conn, err := net.Dial("tcp", bal.service.String())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	_, err := bal.dial(t, "tcp").Write([]byte("x"))
	c.Assert(err, qt.IsNil)
}

// Guards against a graceful stop that refuses new connections immediately or never,
// closes open connections before the drain timeout, or waits longer than that.
func TestStopDrains(t *testing.T) {
	for _, tc := range []struct {
		drain time.Duration
		ends  bool
	}{{time.Minute, true}, {300 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(tc.drain), func(t *testing.T) {
			c := qt.New(t)
			b := startBalancer(t, 1, fabric.WithGracePeriod(100*time.Millisecond), fabric.WithDrainTimeout(tc.drain))
			conn := b.dial(t, "tcp")
			_, err := conn.Write([]byte("x"))
			c.Assert(err, qt.IsNil)
			b.Stop()
			time.Sleep(50 * time.Millisecond)
			late := b.dial(t, "tcp")
			late.Close()
			time.Sleep(150 * time.Millisecond)
			_, err = net.Dial("tcp", b.service.String())
			c.Assert(err, qt.IsNotNil)
			_, err = io.ReadFull(conn, make([]byte, 1))
			c.Assert(err, qt.IsNil)
			udp := b.dial(t, "udp")
			_, err = udp.Write([]byte("x"))
			c.Assert(err, qt.IsNil)
			_, err = udp.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
			if tc.ends {
				conn.Close()
			}
			select {
			case err := <-b.runResult:
				c.Assert(err, qt.IsNil)
			case <-time.After(5 * time.Second):
				t.Fatal("balancer did not stop")
			}
			b.control.mu.Lock()
			defer b.control.mu.Unlock()
			c.Assert(b.control.leaveCalls, qt.DeepEquals, []bool{false, true})
		})
	}
}

// unreachableControl fails every call.
type unreachableControl struct{}

func (unreachableControl) Call(context.Context, netip.AddrPort, string, proto.Message, proto.Message) error {
	return mangokeel.ErrNotSent
}

// Guards against a slow stop when control was never reachable. The balancer has
// not joined the roster then and need not drain; a platform would kill a process
// that takes long to stop.
func TestStopWithoutControl(t *testing.T) {
	c := qt.New(t)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	b, err := fabric.New(settings.Balancer{Data: local, Control: []netip.AddrPort{local}}, unreachableControl{})
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- b.Run() }()
	b.Stop()
	select {
	case err := <-ended:
		c.Assert(err, qt.IsNil)
	case <-time.After(3 * time.Second):
		t.Fatal("balancer did not stop")
	}
}
