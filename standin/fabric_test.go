package standin_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/standin"
)

// loopback returns port 0 of a random loopback address, so that the ephemeral
// ports of other connections never take the port of a socket pair.
func loopback() netip.AddrPort {
	a := [4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}
	return netip.AddrPortFrom(netip.AddrFrom4(a), 0)
}

// balancer echoes packets and records the callers it saw.
type balancer struct {
	c    *net.UDPConn
	l    *net.TCPListener
	mu   sync.Mutex
	seen map[netip.AddrPort]int
}

func (b *balancer) addr() netip.AddrPort { return b.c.LocalAddr().(*net.UDPAddr).AddrPort() }

func startBalancer(t *testing.T) *balancer {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback()))
	qt.Assert(t, err, qt.IsNil)
	b := &balancer{c: c, seen: map[netip.AddrPort]int{}}
	b.l, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(b.addr()))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { b.c.Close(); b.l.Close() })
	go b.echoPackets()
	go b.echoStreams()
	return b
}

func (b *balancer) echoPackets() {
	p := make([]byte, 100)
	for {
		n, a, err := b.c.ReadFromUDPAddrPort(p)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen[a]++
		b.mu.Unlock()
		_, _ = b.c.WriteToUDPAddrPort(p[:n], a)
	}
}

func (b *balancer) echoStreams() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c)
			c.Close()
		}()
	}
}

func (b *balancer) packets() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, x := range b.seen {
		n += x
	}
	return n
}

func (b *balancer) callers() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.seen))
}

func dial(t *testing.T, f *standin.Fabric, network string) net.Conn {
	c, err := net.Dial(network, f.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return c
}

// Guards against a stand-in that spares balancers the spraying they must bear:
// every balancer must see one caller at the same address, and removed balancers
// must see nothing.
func TestSpraysOneFlow(t *testing.T) {
	c := qt.New(t)
	a, b := startBalancer(t), startBalancer(t)
	f, err := standin.NewFabric(loopback(), standin.WithSeed(7), standin.WithBalancers([]netip.AddrPort{a.addr(), b.addr()}))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	conn := dial(t, f, "udp")
	echo := func() {
		_, err := conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
	}
	for range 100 {
		echo()
	}
	c.Assert(a.packets() > 20 && b.packets() > 20, qt.IsTrue)
	c.Assert(slices.Equal(a.callers(), b.callers()), qt.IsTrue)
	c.Assert(a.callers(), qt.HasLen, 1)
	f.SetBalancers([]netip.AddrPort{a.addr()})
	before := b.packets()
	for range 20 {
		echo()
	}
	c.Assert(b.packets(), qt.Equals, before)
}

// Guards against connections lost because one balancer is down, and against a
// half-closed connection that loses its answer.
func TestStreamsReachALiveBalancer(t *testing.T) {
	c := qt.New(t)
	a, b := startBalancer(t), startBalancer(t)
	a.l.Close()
	f, err := standin.NewFabric(loopback(), standin.WithBalancers([]netip.AddrPort{a.addr(), b.addr()}))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	for range 8 {
		conn := dial(t, f, "tcp").(*net.TCPConn)
		_, err := conn.Write([]byte("fleece"))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.CloseWrite(), qt.IsNil)
		got, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, "fleece")
	}
}

// Guards against faults that are announced but do not happen.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	a := startBalancer(t)
	f, err := standin.NewFabric(loopback(), standin.WithBalancers([]netip.AddrPort{a.addr()}),
		standin.WithFaults(standin.Faults{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2}))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	conn := dial(t, f, "udp")
	for range 500 {
		_, err := conn.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(50 * time.Millisecond)
	n := f.Counts()
	c.Assert(n.Dropped > 50 && n.Duplicated > 50 && n.Reordered > 50, qt.IsTrue, qt.Commentf("%+v", n))
}

// Guards against a list that is half understood.
func TestParseBalancers(t *testing.T) {
	c := qt.New(t)
	got, err := standin.ParseBalancers([]string{"# live", "127.0.0.2", "", "127.0.0.3:9"}, 7)
	c.Assert(err, qt.IsNil)
	c.Assert(fmt.Sprint(got), qt.Equals, "[127.0.0.2:7 127.0.0.3:9]")
	got, err = standin.ParseBalancers([]string{"127.0.0.2", "127.0.0.2 down"}, 7)
	c.Assert(err, qt.IsNotNil)
	c.Assert(got, qt.HasLen, 0)
}
