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

// fakeControl is a fakeControl instance in memory.
type fakeControl struct {
	mu         sync.Mutex
	update     *wire.Update
	leaveCalls []bool
}

// Call implements mangokeel.Remote.
func (x *fakeControl) Call(ctx context.Context, _ netip.AddrPort, _ string, req, resp proto.Message) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch r := resp.(type) {
	case *wire.JoinReply:
		r.Code, r.Id = wire.Code_CODE_ACCEPTED, 9
	case *wire.SyncReply:
		r.Code = wire.Code_CODE_ACCEPTED
		if req.(*wire.SyncRequest).GetRevision() < x.update.GetRevision() {
			r.Update = proto.Clone(x.update).(*wire.Update)
		} else {
			x.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			x.mu.Lock()
		}
	case *wire.LeaveReply:
		r.Code = wire.Code_CODE_ACCEPTED
		x.leaveCalls = append(x.leaveCalls, req.(*wire.LeaveRequest).GetGone())
	}
	return ctx.Err()
}

// change changes the served update and gives it the next revision.
func (x *fakeControl) change(fn func(u *wire.Update)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	u := proto.Clone(x.update).(*wire.Update)
	u.Revision++
	fn(u)
	x.update = u
}

// echoAgent echoes packets and connections on one address.
type echoAgent struct {
	packets *net.UDPConn
	streams *net.TCPListener
	headers chan *wire.Header
}

func (a *echoAgent) addr() netip.AddrPort { return a.packets.LocalAddr().(*net.UDPAddr).AddrPort() }

// randomLoopback returns a random randomLoopback address, so that the ephemeral ports of
// other connections never take the port of a socket pair.
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

type testBalancer struct {
	*fabric.Balancer
	control   *fakeControl
	agents    []*echoAgent
	service   netip.AddrPort
	reg       *prometheus.Registry
	runResult chan error
}

// startBalancer runs a balancer with one UDP service of n echoing agents.
func startBalancer(t testing.TB, n int, opts ...fabric.Option) *testBalancer {
	var agents []*echoAgent
	var addrs []netip.AddrPort
	for range n {
		a := startAgent(t)
		agents, addrs = append(agents, a), append(addrs, a.addr())
	}
	x := startBalancerFor(t, addrs, opts...)
	x.agents = agents
	return x
}

// startBalancerFor runs a balancer with one UDP service of the given agents, whose
// handles count from 1.
func startBalancerFor(t testing.TB, agents []netip.AddrPort, opts ...fabric.Option) *testBalancer {
	x := &testBalancer{reg: prometheus.NewRegistry(), runResult: make(chan error, 1), service: netip.AddrPortFrom(randomLoopback(), 17443)}
	u := &wire.Update{Whole: true, Revision: 1, NextHandle: nextHandle}
	svc := service(1, wire.Protocol_PROTOCOL_UDP)
	svc.Address = x.service.String()
	u.Services = []*wire.Service{svc}
	for i, a := range agents {
		y := target(uint32(i+1), 1, "plaisance")
		y.Agent = a.String()
		u.Targets = append(u.Targets, y)
	}
	x.control = &fakeControl{update: u}
	cfg := settings.Balancer{Name: "b", Zone: "plaisance", Address: x.service.Addr(), Data: netip.AddrPortFrom(x.service.Addr(), 0), Control: []netip.AddrPort{{}}}
	opts = append([]fabric.Option{fabric.WithRegisterer(x.reg), fabric.WithGracePeriod(0), fabric.WithShutdownDelay(100 * time.Millisecond)}, opts...)
	var err error
	x.Balancer, err = fabric.New(cfg, x.control, opts...)
	qt.Assert(t, err, qt.IsNil)
	go func() { x.runResult <- x.Run() }()
	t.Cleanup(x.Stop)
	eventually(t, func() bool { return x.metricSum("mangokeel_balancer_services") == 1 })
	return x
}

// metricSum returns the sum over the labels of one metricSum.
func (x *testBalancer) metricSum(name string) float64 {
	families, _ := x.reg.Gather()
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

func eventually(t testing.TB, fn func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !fn(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 5 s")
		}
	}
}

func (x *testBalancer) dial(t testing.TB, network string) net.Conn {
	c, err := net.Dial(network, x.service.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return c
}

// Guards against packets that do not come back, against crashes and lost service
// after garbage, foreign services and oversized packets, and against replies that
// others send in a target's name.
func TestPacketsAndGarbage(t *testing.T) {
	c := qt.New(t)
	x := startBalancer(t, 3)
	conn := x.dial(t, "udp")
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
	raw, err := net.Dial("udp", x.Dump().DataAddress.String())
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
	eventually(t, func() bool { return x.metricSum("mangokeel_balancer_dropped_total") == 12 })
	echo([]byte("stock?"))
	echo(make([]byte, fabric.MaxPacketSize))
	c.Assert(x.metricSum("mangokeel_invariant_violations_total"), qt.Equals, 0.0)
	_, err = json.Marshal(x.Dump())
	c.Assert(err, qt.IsNil)
}

// Guards against a half-closed connection that loses the rest of the answer, and
// against a connection refused because one agent is down.
func TestStreamsTryNextTarget(t *testing.T) {
	c := qt.New(t)
	x := startBalancer(t, 3)
	x.agents[0].streams.Close()
	x.agents[1].streams.Close()
	for range 8 {
		conn := x.dial(t, "tcp").(*net.TCPConn)
		sent := bytes.Repeat([]byte("fleece"), 50_000)
		go func() {
			_, _ = conn.Write(sent)
			_ = conn.CloseWrite()
		}()
		got, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, sent), qt.IsTrue)
		h := <-x.agents[2].headers
		c.Assert(h.GetHandle(), qt.Equals, uint32(3))
		c.Assert(h.Caller().String(), qt.Equals, conn.LocalAddr().String())
	}
	c.Assert(x.metricSum("mangokeel_balancer_stream_redials_total") > 0, qt.IsTrue)
}

// Guards against packets to a zone out of service (I4), on old connections too,
// and against sockets that stay when a service goes.
func TestZoneAndServiceGo(t *testing.T) {
	c := qt.New(t)
	x := startBalancer(t, 2)
	x.control.change(func(u *wire.Update) {
		u.Targets[1].Zone = "ebene"
		u.Services[0].Zones = []string{"plaisance", "ebene"}
	})
	eventually(t, func() bool { return x.Dump().Revision == 2 })
	var conns []net.Conn
	for range 16 {
		conn := x.dial(t, "tcp")
		_, err := conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 1))
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	x.control.change(func(u *wire.Update) { u.Services[0].Zones = []string{"plaisance"} })
	kept := len(x.agents[0].headers)
	c.Assert(kept > 0 && kept < len(conns), qt.IsTrue, qt.Commentf("kept %d", kept))
	eventually(t, func() bool { return x.Dump().Connections == kept })
	for range 64 {
		_, err := x.dial(t, "udp").Write([]byte("x"))
		c.Assert(err, qt.IsNil)
	}
	eventually(t, func() bool { return x.metricSum("mangokeel_balancer_packets_total") == 64 })
	c.Assert(len(x.agents[1].headers), qt.Equals, len(conns)-kept)
	x.control.change(func(u *wire.Update) { u.Services, u.Targets = nil, nil })
	eventually(t, func() bool { return x.Dump().Connections == 0 })
	l, err := net.Listen("tcp", x.service.String())
	c.Assert(err, qt.IsNil)
	l.Close()
}

// Guards against a service that stays closed because its address was taken once,
// and against sockets that stay behind when a service's address changes.
func TestSocketsFollowAddress(t *testing.T) {
	c := qt.New(t)
	var tries atomic.Int32
	x := startBalancer(t, 1, fabric.WithPacketListener(func(a netip.AddrPort) (mangokeel.Fabric, error) {
		if tries.Add(1) < 3 {
			return nil, errors.New("address in use")
		}
		return fabric.ListenPackets(a)
	}))
	c.Assert(x.metricSum("mangokeel_balancer_bind_failures_total"), qt.Equals, 2.0)
	old := x.service
	x.service = netip.AddrPortFrom(old.Addr(), old.Port()+1)
	x.control.change(func(u *wire.Update) { u.Services[0].Address = x.service.String() })
	eventually(t, func() bool {
		_, err := net.Dial("tcp", old.String())
		return err != nil
	})
	// The old sockets close before the new ones open.
	eventually(t, func() bool {
		conn, err := net.Dial("tcp", x.service.String())
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	_, err := x.dial(t, "tcp").Write([]byte("x"))
	c.Assert(err, qt.IsNil)
}

// Guards against a planned stop that refuses connections at once, one that accepts
// them for ever, and one that cuts connections before the drain time or waits
// beyond it.
func TestStopDrains(t *testing.T) {
	for _, x := range []struct {
		drain time.Duration
		ends  bool
	}{{time.Minute, true}, {300 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(x.drain), func(t *testing.T) {
			c := qt.New(t)
			b := startBalancer(t, 1, fabric.WithGracePeriod(100*time.Millisecond), fabric.WithDrainTimeout(x.drain))
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
			if x.ends {
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

// unreachableControl answers no call.
type unreachableControl struct{}

func (unreachableControl) Call(context.Context, netip.AddrPort, string, proto.Message, proto.Message) error {
	return mangokeel.ErrNotSent
}

// Guards against a stop that takes longer than a platform waits before it kills, when
// control never came up and nobody knows of the balancer.
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
