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

// Parameters of the comparison with a plain UDP relay.
const (
	// minThroughputRatio is the design's lower limit for the balancer's throughput
	// relative to a plain UDP relay.
	minThroughputRatio = 0.7
	payloadSize        = 1200
	senders            = 4
	// maxInFlight is the maximum number of packets in flight for each sender. It
	// keeps the relay busy without overflowing a socket buffer.
	maxInFlight   = 64
	rounds        = 5
	roundDuration = 400 * time.Millisecond
)

// sink counts received packets by sender. The last byte of a packet is the sender's
// index.
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

// throughput sends packets to the address for one round and returns how many arrive
// at s per second.
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

// send keeps up to maxInFlight packets of sender i in flight until end and returns
// how many arrived.
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

// bareRelay starts a plain UDP relay that forwards datagrams to one address with the
// given number of readers, and returns its own address.
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

// BenchmarkForward compares the throughput of the balancer over loopback with that
// of a plain UDP relay, in alternating rounds of the same run.
func BenchmarkForward(b *testing.B) {
	const readers = 1
	s := newSink(b)
	bal := startBalancerFor(b, []netip.AddrPort{s.addr()}, fabric.WithReadersPerSocket(readers))
	relay := bareRelay(b, readers, s.addr())
	for b.Loop() {
		var own, bare []float64
		for range rounds {
			bare = append(bare, s.throughput(b, relay))
			own = append(own, s.throughput(b, bal.service))
		}
		slices.Sort(own)
		slices.Sort(bare)
		ratio := own[rounds/2] / bare[rounds/2]
		b.ReportMetric(own[rounds/2], "packets/s")
		b.ReportMetric(bare[rounds/2], "bare-packets/s")
		b.ReportMetric(ratio, "ratio")
		if ratio < minThroughputRatio {
			b.Errorf("throughput ratio to a plain relay is %.2f, want at least %.2f", ratio, minThroughputRatio)
		}
	}
}

// generator is a Fabric that generates packets from synthetic caller addresses.
type generator struct {
	// nextCaller returns the number of the next caller, or false to end the run.
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

// flowHolder is an agent that opens a flow for each packet it receives unless it
// already holds one.
type flowHolder struct {
	table *flow.Table
	// held is the number of flows in table.
	held     atomic.Uint64
	received atomic.Uint64
}

// newFlowHolder starts an agent for the service of startBalancerFor and returns it
// with its address.
func newFlowHolder(t testing.TB) (*flowHolder, netip.AddrPort) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(randomLoopback(), 0)))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_ = c.SetReadBuffer(4 << 20)
	fh := &flowHolder{table: flow.New(flow.Config{Service: 1, Handle: 1, Protocol: wire.Protocol_PROTOCOL_UDP})}
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
				fh.table.Receive(time.Now(), p)
			}
			fh.held.Store(uint64(fh.table.Len()))
			fh.received.Add(1)
		}
	}()
	return fh, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkNewFlows measures how many new flows per second one balancer forwards to
// an agent that opens them. The agent already holds 200,000 flows, and every second
// packet belongs to one of these. A single agent with one goroutine receives all
// packets, so the result is limited by the agent as well as by the balancer.
func BenchmarkNewFlows(b *testing.B) {
	const held = 200_000
	fh, addr := newFlowHolder(b)
	var sent atomic.Uint64
	g := &generator{closed: make(chan struct{}), nextCaller: func() (uint32, bool) {
		i := sent.Add(1)
		for i > fh.received.Load()+2*maxInFlight && i <= uint64(held+2*b.N) {
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
	bal := startBalancerFor(b, []netip.AddrPort{addr}, fabric.WithPacketListener(func(netip.AddrPort) (mangokeel.Fabric, error) { return g, nil }))
	eventually(b, func() bool { return fh.received.Load() >= held })
	b.ResetTimer()
	eventually(b, func() bool { return fh.received.Load() >= uint64(held+2*b.N) })
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "new-flows/s")
	if n := fh.held.Load(); n < held+uint64(b.N)-2 {
		b.Errorf("agent holds %d flows after %d initial and %d new ones", n, held, b.N)
	}
	bal.Stop()
}
