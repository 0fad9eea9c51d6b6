package fabric_test

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/fabric"
	"mangokeel/internal/flow"
	"mangokeel/internal/wire"
)

// Parameters of the comparison with a bare relay.
const (
	// minThroughputRatio is the design's share of a bare UDP relay.
	minThroughputRatio = 0.7
	payloadSize        = 1200
	senders            = 4
	// maxInFlight bounds the packets under way for each sender, so that no socket
	// buffer overflows and the relay is never idle.
	maxInFlight   = 64
	rounds        = 5
	roundDuration = 400 * time.Millisecond
)

// sink counts packets by their last byte, which names the sender.
type sink struct {
	c        *net.UDPConn
	received [senders]atomic.Uint64
}

func newSink(t testing.TB) *sink {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_ = c.SetReadBuffer(4 << 20)
	s := &sink{c: c}
	for range 2 {
		go func() {
			b := make([]byte, 1<<16)
			for {
				n, _, err := c.ReadFromUDPAddrPort(b)
				if err != nil {
					return
				}
				s.received[b[n-1]].Add(1)
			}
		}()
	}
	return s
}

func (s *sink) addr() netip.AddrPort { return s.c.LocalAddr().(*net.UDPAddr).AddrPort() }

// throughput sends through to for a round and returns packets per second at s.
func (s *sink) throughput(t testing.TB, to netip.AddrPort) float64 {
	var done sync.WaitGroup
	var total atomic.Uint64
	begin := time.Now()
	for i := range senders {
		done.Go(func() { total.Add(s.send(t, to, i, begin.Add(roundDuration))) })
	}
	done.Wait()
	return float64(total.Load()) / time.Since(begin).Seconds()
}

// send keeps window packets under way until end.
func (s *sink) send(t testing.TB, to netip.AddrPort, i int, end time.Time) uint64 {
	c, err := net.Dial("udp", to.String())
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	p := make([]byte, payloadSize)
	p[payloadSize-1] = byte(i)
	first := s.received[i].Load()
	for sent := first; time.Now().Before(end); {
		if sent-s.received[i].Load() >= maxInFlight {
			runtime.Gosched()
			continue
		}
		if _, err := c.Write(p); err != nil {
			t.Error(err)
			return 0
		}
		sent++
	}
	time.Sleep(5 * time.Millisecond)
	return s.received[i].Load() - first
}

// bareRelay copies datagrams to one address with as many readers as a balancer.
func bareRelay(t testing.TB, readers int, to netip.AddrPort) netip.AddrPort {
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { in.Close(); out.Close() })
	_ = in.SetReadBuffer(4 << 20)
	for range readers {
		go func() {
			b := make([]byte, 1<<16)
			for {
				n, _, err := in.ReadFromUDPAddrPort(b)
				if err != nil {
					return
				}
				_, _ = out.WriteToUDPAddrPort(b[:n], to)
			}
		}()
	}
	return in.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkForward compares whole forwarding over loopback with a bare UDP relay
// in the same run, in alternating rounds.
func BenchmarkForward(b *testing.B) {
	const readers = 1
	s := newSink(b)
	x := startBalancerFor(b, []netip.AddrPort{s.addr()}, fabric.WithReadersPerSocket(readers))
	relay := bareRelay(b, readers, s.addr())
	for b.Loop() {
		var own, bare []float64
		for range rounds {
			bare = append(bare, s.throughput(b, relay))
			own = append(own, s.throughput(b, x.service))
		}
		slices.Sort(own)
		slices.Sort(bare)
		ratio := own[rounds/2] / bare[rounds/2]
		b.ReportMetric(own[rounds/2], "packets/s")
		b.ReportMetric(bare[rounds/2], "bare-packets/s")
		b.ReportMetric(ratio, "ratio")
		if ratio < minThroughputRatio {
			b.Errorf("ratio %.2f to a bare relay, bound %.2f", ratio, minThroughputRatio)
		}
	}
}

// generator is a Fabric whose callers exist only as addresses.
type generator struct {
	// nextCaller gives the next caller; false ends the run.
	nextCaller func() (uint32, bool)
	closed     chan struct{}
	once       sync.Once
}

// ReadPacket implements mangokeel.Fabric.
func (g *generator) ReadPacket(b []byte) (int, netip.AddrPort, error) {
	i, ok := g.nextCaller()
	if !ok {
		<-g.closed
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	clear(b[:payloadSize])
	a := netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, i)))
	return payloadSize, netip.AddrPortFrom(a, uint16(1024+i%60000)), nil
}

// WritePacket implements mangokeel.Fabric.
func (g *generator) WritePacket([]byte, netip.AddrPort) error { return nil }

// Close implements mangokeel.Fabric.
func (g *generator) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// flowHolder is an agent that holds the flows of all packets it receives.
type flowHolder struct {
	table *flow.Table
	// held is the number of flows in table.
	held     atomic.Uint64
	received atomic.Uint64
}

// newFlowHolder returns an agent of the service that startWith makes, and its address.
func newFlowHolder(t testing.TB) (*flowHolder, netip.AddrPort) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_ = c.SetReadBuffer(4 << 20)
	k := &flowHolder{table: flow.New(flow.Config{Service: 1, Handle: 1, Protocol: wire.Protocol_PROTOCOL_UDP})}
	go func() {
		b := make([]byte, 1<<16)
		var h wire.Header
		for {
			n, _, err := c.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if _, err := wire.SplitPacket(b[:n], &h); err == nil {
				p := flow.FromHeader(&h)
				p.Opens = true
				k.table.Receive(time.Now(), p)
			}
			k.held.Store(uint64(k.table.Len()))
			k.received.Add(1)
		}
	}()
	return k, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkNewFlows gives the new flows per second that one balancer forwards to
// an agent which opens them, while 200,000 flows are held and a packet of one of
// them comes with each new one. One agent in one goroutine takes all, so it bounds
// the figure together with the balancer.
func BenchmarkNewFlows(b *testing.B) {
	const held = 200_000
	k, addr := newFlowHolder(b)
	var sent atomic.Uint64
	g := &generator{closed: make(chan struct{}), nextCaller: func() (uint32, bool) {
		i := sent.Add(1)
		for i > k.received.Load()+2*maxInFlight && i <= uint64(held+2*b.N) {
			runtime.Gosched()
		}
		switch {
		case i <= held:
			return uint32(i), true
		case i > uint64(held+2*b.N):
			return 0, false
		case i%2 == 0:
			return 1 + uint32(i%held), true
		}
		return uint32(i), true
	}}
	x := startBalancerFor(b, []netip.AddrPort{addr}, fabric.WithPacketListener(func(netip.AddrPort) (mangokeel.Fabric, error) { return g, nil }))
	eventually(b, func() bool { return k.received.Load() >= held })
	b.ResetTimer()
	eventually(b, func() bool { return k.received.Load() >= uint64(held+2*b.N) })
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "new-flows/s")
	if n := k.held.Load(); n < held+uint64(b.N)-2 {
		b.Errorf("%d flows held after %d and %d new ones", n, held, b.N)
	}
	x.Stop()
}
